/* Shared by the source files of the links only. */
#ifndef MEMBER_LINK_INTERNAL_H
#define MEMBER_LINK_INTERNAL_H

#include <bsd/sys/queue.h>

#include "member/link.h"

#define Lk_CONNECTIONS_MAX 2048
#define Lk_HELLO_MAX 256 /* bytes; largest frame accepted before the hello */
/* A whole hello on the wire. */
#define Lk_HELLO_ROOM (Wr_FRAME_HEAD_BYTES + Lk_HELLO_MAX + Wr_MAC_BYTES)
#define Lk_QUEUED_FRAMES_MAX 1024              /* frames per connection */
#define Lk_QUEUED_BYTES_MAX (4 * Wr_FRAME_MAX) /* bytes per connection */

struct lk_frame {
    TAILQ_ENTRY(lk_frame) link;
    struct lk_call *call; /* call that sent this request; NULL for answers */
    bool hello;
    bool sealed; /* length and MAC are written; it is being sent */
    size_t body_len;
    size_t sent;
    uint8_t bytes[]; /* length, body, MAC */
};

TAILQ_HEAD(lk_frames, lk_frame);

struct lk_connection {
    TAILQ_ENTRY(lk_connection) link;
    struct lk_links *links;
    struct lp_watch *watch;
    int fd;
    bool outgoing;
    bool connected; /* the TCP connection is established */
    bool ready;     /* the hello of the peer has been received */
    bool closed;
    struct mb_endpoint peer;
    char node[Mb_ID_MAX];
    uint8_t nonce[Wr_NONCE_BYTES];
    uint8_t peer_nonce[Wr_NONCE_BYTES];
    uint64_t sent_sequence;
    uint64_t received_sequence;
    struct lk_frames frames;
    size_t queued_frames;
    size_t queued_bytes;
    uint8_t *in;
    size_t in_len;
    size_t in_max;
    size_t in_flight; /* calls and requests in flight */
    int64_t created_usec;
    int64_t used_usec;
    struct lg_holder holder; /* of a connection that was accepted */
};

struct lk_call {
    TAILQ_ENTRY(lk_call) link;
    struct lk_connection *connection;
    uint64_t id;
    int64_t deadline_usec;
    bool maybe_sent;
    struct lk_frame *frame; /* NULL once it is completely sent */
    lk_done_fn done;
    void *arg;
};

struct lk_request {
    TAILQ_ENTRY(lk_request) link;
    struct lk_links *links;
    struct lk_connection *connection; /* NULL once the connection is closed */
    uint64_t id;
    char from[Mb_ID_MAX];
    size_t len;
    uint8_t payload[];
};

struct lk_handler {
    SLIST_ENTRY(lk_handler) link;
    char type[Wr_TYPE_MAX];
    lk_handler_fn fn;
    void *arg;
};

TAILQ_HEAD(lk_connections, lk_connection);
TAILQ_HEAD(lk_calls, lk_call);
TAILQ_HEAD(lk_requests, lk_request);
SLIST_HEAD(lk_handlers, lk_handler);

struct lk_links {
    struct lp_loop *loop;
    const struct ck_clock *clock;
    struct lg_ledger *ledger;
    char node[Mb_ID_MAX];
    char key[Wr_KEY_MAX];
    uint16_t port;
    int64_t idle_usec;
    struct lp_watch *listener;
    int listener_fd;
    struct lp_timer *timer;
    int64_t timer_usec; /* when it fires; 0: not set */
    struct lk_connections connections;
    struct lk_connections closed; /* waiting to be freed by the timer */
    size_t connection_count;
    struct lk_calls calls;
    uint64_t next_id;
    struct lk_requests requests;
    struct lk_handlers handlers;
    struct lk_counters counters;
};

/* link_call.c */
void lk_on_answer(struct lk_connection *connection,
                  const struct wr_frame *frame);
void lk_finish(struct lk_call *call, const struct lk_result *result);
struct lk_call *lk_call_on(const struct lk_connection *connection);
struct lk_call *lk_expired_call(const struct lk_links *links, int64_t now);

/* link.c */
void lk_on_request(struct lk_connection *connection,
                   const struct wr_frame *frame);
void lk_connection_lost(struct lk_connection *connection);
void lk_arm(struct lk_links *links);

/* link_connection.c */
enum st_status lk_listen(struct lk_links *links, const char *address,
                         uint16_t port);
enum st_status lk_connect(struct lk_links *links, const struct mb_endpoint *to,
                          struct lk_connection **out);
void lk_flush(struct lk_connection *connection);
void lk_close(struct lk_connection *connection);

/* link_frame.c */
size_t lk_frame_bytes(const struct lk_frame *frame);
enum st_status lk_queue(struct lk_connection *connection,
                        const struct wr_frame *frame, struct lk_call *call);
void lk_unqueue(struct lk_connection *connection, struct lk_frame *frame);
struct lk_frame *lk_next_frame(struct lk_connection *connection);
bool lk_seal(struct lk_connection *connection, struct lk_frame *frame);
bool lk_check_mac(struct lk_connection *connection, const uint8_t *body,
                  size_t len);

#endif
