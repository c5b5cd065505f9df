#include "platform/kvmove.h"

#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"

struct kv_move {
    struct lp_loop *loop;
    struct jc_target source;
    struct jc_target target;
    struct jc_call *call;
    int64_t deadline_usec;
    char handle[En_KV_MAX];
    int tokens;
    kv_done_fn done;
    void *arg;
};

static void
finish(struct kv_move *move, enum st_status status)
{
    struct kv_result result = {
        .status = status,
        .handle = move->handle,
        .tokens = move->tokens,
    };
    move->done(move->arg, &result);
    free(move);
}

static enum st_status
read_handle(struct kv_move *move, const struct jc_answer *answer)
{
    const char *handle =
        json_string_value(json_object_get(answer->body, "kv"));
    if (answer->status != ST_OK || answer->code != 200 || handle == NULL ||
        strlcpy(move->handle, handle, sizeof(move->handle)) >=
            sizeof(move->handle)) {
        return St_Fail(ST_UNAVAILABLE,
                       "an engine did not move a KV cache (HTTP %d); the "
                       "stream is resumed instead",
                       answer->code);
    }
    move->tokens =
        (int)json_integer_value(json_object_get(answer->body, "tokens"));
    return ST_OK;
}

static void
import_done(void *arg, const struct jc_answer *answer)
{
    struct kv_move *move = arg;
    move->call = NULL;
    finish(move, read_handle(move, answer));
}

static enum st_status
post(struct kv_move *move, const struct jc_target *engine, const char *path,
     json_t *body, jc_done_fn done)
{
    int64_t left_usec = move->deadline_usec - Ck_Now(Ck_System());
    enum st_status status =
        left_usec > 0 ? Jc_Start(move->loop, engine, "POST", path, body,
                                 left_usec, done, move, &move->call)
                      : St_Fail(ST_TIMEOUT, "no time left to move a KV cache");
    json_decref(body);
    return status;
}

static void
export_done(void *arg, const struct jc_answer *answer)
{
    struct kv_move *move = arg;
    move->call = NULL;
    enum st_status status = read_handle(move, answer);
    if (status == ST_OK) {
        char from[sizeof(move->source.address) + 8];
        snprintf(from, sizeof(from), "%s:%d", move->source.address,
                 move->source.port);
        status = post(move, &move->target, "/v1/kv/import",
                      json_pack("{s:s,s:s}", "kv", move->handle, "from", from),
                      import_done);
    }
    if (status != ST_OK) {
        finish(move, status);
    }
}

/*
 * Starts a move.  "done" is called exactly once, after this function has
 * returned, unless the move is cancelled.  The source engine continues its
 * stream during the move.
 */
enum st_status
Kv_Start(struct lp_loop *loop, const struct jc_target *source,
         const struct jc_target *target, const char *request,
         int64_t timeout_usec, kv_done_fn done, void *arg,
         struct kv_move **out)
{
    struct kv_move *move = calloc(1, sizeof(*move));
    if (move == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory to move a KV cache");
    }
    move->loop = loop;
    move->source = *source;
    move->target = *target;
    move->deadline_usec = Ck_Now(Ck_System()) + timeout_usec;
    move->done = done;
    move->arg = arg;
    enum st_status status =
        post(move, source, "/v1/kv/export", json_pack("{s:s}", "id", request),
             export_done);
    if (status != ST_OK) {
        free(move);
        return status;
    }
    *out = move;
    return ST_OK;
}

/* Cancels a move and frees it; "done" is not called. */
void
Kv_Cancel(struct kv_move *move)
{
    if (move->call != NULL) {
        Jc_Cancel(move->call);
    }
    free(move);
}
