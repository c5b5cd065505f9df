/* Shared by the files of the HTTP server only. */
#ifndef WEB_SERVER_INTERNAL_H
#define WEB_SERVER_INTERNAL_H

#include <bsd/sys/queue.h>
#include <libwebsockets.h>

#include "base/buffer.h"
#include "web/ledger.h"
#include "web/server.h"

#define Hs_NAME_MAX 64
#define Hs_PATH_MAX 1024
#define Hs_QUERY_MAX 1024
#define Hs_HEADERS_MAX 24

struct hs_server {
    struct lp_loop *loop;
    struct lws_vhost *vhost;
    struct ls_listener *listener;
    int port;
    bool closing; /* every answer ends its connection */
    size_t fresh; /* connections without a request yet */
    struct lws_protocols protocols[2];
    const struct hs_ops *ops;
    void *arg;
    const char *const *headers;
    size_t body_max;
    size_t open;
    struct lg_ledger *ledger;
    const char *account;     /* name in the ledger */
    size_t connection_bytes; /* what a connection takes in the library */
    char name[Hs_NAME_MAX];
};

/* A connection; the library's connection refers to it until it is closed. */
struct hs_connection {
    struct hs_server *server;
    struct lws *wsi;
    struct hs_request *request; /* NULL between requests */
    bool fresh;                 /* without a request yet */
    uint64_t read_bytes;        /* when its last answer was complete */
    bool killed;                /* to be closed, and nothing else */
    struct lg_holder holder;
};

struct hs_request {
    struct hs_connection *connection;
    struct hs_server *server;
    struct lws *wsi;
    void *user;
    const char *method;
    char path[Hs_PATH_MAX];
    char query[Hs_QUERY_MAX];
    char *values[Hs_HEADERS_MAX];
    struct bf_buffer body; /* with a NUL behind it once it is whole */
    size_t body_expected;
    bool body_over;  /* the library has told its end */
    int repeats;     /* how often since the connection could be written to */
    bool dispatched; /* or refused */
    bool ended;      /* the handler has given the whole answer */
    bool stream;     /* the body is sent in chunks */
    bool close_after;
    bool cut;            /* there was no room for the answer */
    unsigned char *head; /* answer's header block, behind LWS_PRE */
    size_t head_len;
    unsigned char *out; /* bytes to send */
    size_t out_start;
    size_t out_len;
    size_t out_size;
};

void hs_request_free(struct hs_request *request);

/* What comes in. */
int hs_read_head(struct hs_connection *connection, const char *path);
int hs_read_body(struct hs_request *request, const void *data, size_t len);
int hs_end_body(struct hs_request *request);
void hs_dispatch(struct hs_request *request);
/* Refuses a request of which a part was read, for want of room. */
void hs_refuse_for_room(struct hs_request *request);

/* Has the library close the connection; nothing more is done for it. */
void hs_kill(struct hs_connection *connection);
/* Bytes that have been read of the connection so far. */
uint64_t hs_read_bytes(const struct hs_connection *connection);
void hs_set_phase(struct hs_request *request, enum yd_phase phase);

/* What goes out: the loop calls this whenever the caller can take bytes. */
int hs_write(struct hs_request *request);

#endif
