/*
 * Requests between daemons over TCP frames.  One connection is kept to each
 * daemon that this daemon calls, and closed when idle.  A call ends exactly
 * once.  Its result says whether the request may have been sent: only if not
 * is it certain that the peer has not received it.
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
#include "web/ledger.h"
#include "web/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Lk_PAYLOAD_MAX (Wr_FRAME_MAX - 256) /* bytes */

struct lk_links;
struct lk_call;
struct lk_request;

struct lk_options {
    const char *node;    /* id of this node */
    const char *address; /* IP address to listen on */
    uint16_t port;       /* 0: any free port; see Lk_Port() */
    const char *cluster_key;
    const struct ck_clock *clock;
    int64_t idle_usec; /* connections idle for longer are closed; 0: 60 s */
    struct lg_ledger *ledger; /* NULL: nothing is accounted for */
};

struct lk_result {
    /*
     * The status that the handler returned when "answered"; else ST_TIMEOUT,
     * ST_UNAVAILABLE or ST_OVERLOAD.
     */
    enum st_status status;
    bool answered;
    bool maybe_sent; /* false: the peer has not received the request */
    const void *payload;
    size_t len;
};

typedef void (*lk_done_fn)(void *arg, const struct lk_result *result);

/*
 * Handles a request from another node.  The handler must call Lk_Reply(), at
 * once or later.
 */
typedef void (*lk_handler_fn)(void *arg, struct lk_request *request);

struct lk_counters {
    uint64_t bytes_in;
    uint64_t bytes_out;
    uint64_t frames_in;
    uint64_t frames_out;
    /* connections closed for a wrong MAC or an invalid frame */
    uint64_t denied;
};

enum st_status Lk_Create(struct lp_loop *loop,
                         const struct lk_options *options,
                         struct lk_links **out);
void Lk_Destroy(struct lk_links *links);
uint16_t Lk_Port(const struct lk_links *links);
const struct lk_counters *Lk_Counters(const struct lk_links *links);
size_t Lk_Connections(const struct lk_links *links);

enum st_status Lk_SetHandler(struct lk_links *links, const char *type,
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
