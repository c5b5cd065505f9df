/* Shared by the files of the HTTP server only. */
#ifndef WEB_SERVER_INTERNAL_H
#define WEB_SERVER_INTERNAL_H

#include <bsd/sys/queue.h>
#include <libwebsockets.h>
#include <netinet/in.h>

#include "web/server.h"

#define Hs_NAME_MAX 64
#define Hs_PATH_MAX 1024
#define Hs_QUERY_MAX 1024
#define Hs_HEADERS_MAX 24

struct hs_server {
    TAILQ_ENTRY(hs_server) link;
    struct lp_loop *loop;
    struct lws_vhost *vhost;
    struct ls_listener *listener;
    int port;
    struct in_addr address;
    bool closing; /* every answer ends its connection */
    char mark;    /* its address marks connections without a request yet */
    size_t fresh; /* how many of these there are */
    struct lws_protocols protocols[2];
    const struct hs_ops *ops;
    void *arg;
    const char *const *headers;
    size_t body_max;
    size_t open;
    char name[Hs_NAME_MAX];
};

TAILQ_HEAD(hs_servers, hs_server);

struct hs_request {
    struct hs_server *server;
    struct lws *wsi;
    void *user;
    const char *method;
    char path[Hs_PATH_MAX];
    char query[Hs_QUERY_MAX];
    char *values[Hs_HEADERS_MAX];
    char *body;
    size_t body_len;
    size_t body_expected;
    bool dispatched;
    bool ended;  /* the handler has given the whole answer */
    bool stream; /* the body is sent in chunks */
    bool close_after;
    unsigned char *head; /* answer's header block, behind LWS_PRE */
    size_t head_len;
    unsigned char *out; /* bytes to send */
    size_t out_start;
    size_t out_len;
    size_t out_size;
};

void hs_request_free(struct hs_request *request);

/* What comes in. */
int hs_read_head(struct hs_server *server, struct lws *wsi, const char *path);
int hs_read_body(struct hs_request *request, const void *data, size_t len);
void hs_end_body(struct hs_request *request);

/* What goes out: the loop calls this whenever the caller can take bytes. */
int hs_write(struct hs_request *request);

#endif
