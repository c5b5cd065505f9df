/*
 * Moves the KV cache of one running request from one engine to another: the
 * source engine exports the cache, then the target engine imports it.
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
    const char *handle;    /* for en_resume.kv of the request to the target */
    int tokens;            /* tokens of the answer that the cache covers */
};

typedef void (*kv_done_fn)(void *arg, const struct kv_result *result);

enum st_status Kv_Start(struct lp_loop *loop, const struct jc_target *source,
                        const struct jc_target *target, const char *request,
                        int64_t timeout_usec, kv_done_fn done, void *arg,
                        struct kv_move **out);
void Kv_Cancel(struct kv_move *move);

#ifdef __cplusplus
}
#endif

#endif
