/* Shared by the files of the HTTP server that keeps bytes as they are. */
#ifndef WEB_SERVE_INTERNAL_H
#define WEB_SERVE_INTERNAL_H

#include <bsd/sys/queue.h>

#include "base/buffer.h"
#include "web/serve.h"
#include "web/sock.h"

#define Sv_LINE_MAX 512
#define Sv_AHEAD_MAX 65536 /* bytes of later requests that are kept */
#define Sv_NO_ROOM "no memory for the request; try again"

enum sv_phase {
    READING,   /* a request, or nothing yet */
    HANDLING,  /* the handler has it */
    STREAMING, /* the answer has begun */
    OVER,      /* Sk_Finish() was called */
};

struct sv_request {
    TAILQ_ENTRY(sv_request) link;
    struct sv_server *server;
    struct sk_sock *sock;
    struct h1_parser *parser;
    enum sv_phase phase;
    struct lp_later later;
    bool dead;
    bool have_head;
    bool have_all;
    bool chunked;
    bool no_body; /* the answer to HEAD */
    bool keep;
    int refuse;      /* status of a refusal decided while parsing; 0: none */
    int64_t head_at; /* when the request's first byte came */
    int64_t moved_at;
    void *user;
    struct bf_buffer body;
    size_t body_most;       /* bytes that the body may come to */
    struct bf_buffer ahead; /* bytes behind the request */
    size_t ahead_used;      /* of these */
    bool feeding;           /* sv_feed_ahead() is on the stack */
    bool held_back; /* the next request waits until answers were taken */
};

struct sv_server {
    struct lp_loop *loop;
    const struct ck_clock *clock;
    struct ls_listener *listener;
    const struct sv_ops *ops;
    void *arg;
    struct lg_ledger *ledger; /* NULL: nothing is accounted for */
    const char *name;         /* in the ledger */
    struct sv_limits limits;
    bool draining;
    size_t count;
    size_t open;
    TAILQ_HEAD(sv_list, sv_request) connections;
};

void sv_set_phase(struct sv_request *request, enum sv_phase phase);
/* Sends the rest and ends the connection; the request is freed. */
void sv_finish(struct sv_request *request);
/* Closes the connection; the request is freed. */
void sv_bury(struct sv_request *request);
/* Answers a request of which not all was read, and ends the connection. */
void sv_refuse(struct sv_request *request, int status, const char *why);
extern const struct h1_ops sv_parser_ops;
/* Takes bytes of a connection. */
void sv_on_data(void *arg, const char *data, size_t len);
/* Goes on with the bytes behind the last request. */
void sv_feed_ahead(struct sv_request *request);
/* Tells the ledger what is held for the connection. */
void sv_account(struct sv_request *request);

#endif
