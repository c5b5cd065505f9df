/*
 * Requests between daemons over TCP frames.  One connection is kept to each
 * daemon that is called and closed when idle.  A call ends exactly once and
 * says whether its request may have left this process: only if not is it
 * certain that the other side never saw it.
 */
#ifndef MEMBER_LINK_H
#define MEMBER_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/status.h"
#include "member/table.h"
#include "member/wire.h"
#include "web/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Lk_PAYLOAD_MAX (Wr_FRAME_MAX - 256)

struct lk_links;
struct lk_call;
struct lk_request;

struct lk_options {
    const char *node;    /* id of this node */
    const char *address; /* IP number to listen on */
    uint16_t port;       /* 0 picks a free one; see Lk_Port() */
    const char *cluster_key;
    const struct ck_clock *clock;
    int64_t idle_usec; /* a connection unused so long is closed; 0: 60 s */
};

struct lk_result {
    /*
     * ST_OK or the status of the handler when "answered"; else ST_TIMEOUT,
     * ST_UNAVAILABLE or ST_OVERLOAD.
     */
    enum st_status status;
    bool answered;
    bool maybe_sent; /* false: the other side never saw the request */
    const void *payload;
    size_t len;
};

typedef void (*lk_done_fn)(void *arg, const struct lk_result *result);

/* A request from another node.  Lk_Reply() must follow, now or later. */
typedef void (*lk_handler_fn)(void *arg, struct lk_request *request);

struct lk_counters {
    uint64_t bytes_in;
    uint64_t bytes_out;
    uint64_t frames_in;
    uint64_t frames_out;
    uint64_t denied; /* connections dropped for a wrong code or frame */
};

enum st_status Lk_Create(struct lp_loop *loop,
                         const struct lk_options *options,
                         struct lk_links **out);
void Lk_Destroy(struct lk_links *links);
uint16_t Lk_Port(const struct lk_links *links);
const struct lk_counters *Lk_Counters(const struct lk_links *links);
size_t Lk_Connections(const struct lk_links *links);

enum st_status Lk_Handle(struct lk_links *links, const char *type,
                         lk_handler_fn fn, void *arg);
const void *Lk_Payload(const struct lk_request *request, size_t *len);
const char *Lk_From(const struct lk_request *request);
void Lk_Reply(struct lk_request *request, enum st_status status,
              const void *payload, size_t len);

enum st_status Lk_Call(struct lk_links *links, const struct mb_endpoint *to,
                       const char *type, const void *payload, size_t len,
                       int64_t timeout_usec, lk_done_fn done, void *arg,
                       struct lk_call **out);
void Lk_Cancel(struct lk_call *call);

#ifdef __cplusplus
}
#endif

#endif
