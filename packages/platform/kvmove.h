/*
 * Moves the KV cache of one running request from an engine to another:
 * export at the source, import at the target.
 */
#ifndef PLATFORM_KVMOVE_H
#define PLATFORM_KVMOVE_H

#include "platform/engine.h"
#include "platform/jsoncall.h"

#ifdef __cplusplus
extern "C" {
#endif

struct kv_move;

struct kv_result {
    enum st_status status; /* ST_OK: the target holds the cache */
    const char *handle;    /* to name in the request to the target */
    int tokens;            /* of the answer that the cache covers */
};

typedef void (*kv_done_fn)(void *arg, const struct kv_result *result);

enum st_status Kv_Start(struct lp_loop *loop, const struct jc_target *source,
                        const struct jc_target *target, const char *request,
                        int64_t limit_usec, kv_done_fn done, void *arg,
                        struct kv_move **out);
void Kv_Cancel(struct kv_move *move);

#ifdef __cplusplus
}
#endif

#endif
