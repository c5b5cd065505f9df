#include <bsd/stdlib.h>
#include <stdio.h>

#include "admin.h"
#include "config/config.h"

#define Am_RETRY_USEC (300 * Ck_USEC_PER_MSEC)
#define Am_ID_BYTES 16

static void
make_id(char out[33])
{
    unsigned char bytes[Am_ID_BYTES];
    arc4random_buf(bytes, sizeof(bytes));
    for (size_t i = 0; i < sizeof(bytes); i++) {
        snprintf(out + 2 * i, 3, "%02x", bytes[i]);
    }
}

static enum st_status
send_change(struct am_session *session, struct am_change *change)
{
    char path[Cf_SECTION_MAX + 32];
    snprintf(path, sizeof(path), "/admin/v1/sections/%s", change->section);
    json_t *body =
        json_pack("{s:I, s:s, s:O}", "base", (json_int_t)change->base, "id",
                  change->id, "body", change->body);
    json_t *answer;
    enum st_status status =
        Am_Call(session, change->patch ? "PATCH" : "PUT", path, body, &answer);
    json_decref(body);
    if (status == ST_OK) {
        json_t *offset = json_object_get(answer, "offset");
        change->offset = (uint64_t)json_integer_value(offset);
    }
    json_decref(answer);
    return status;
}

/*
 * Publishes one section.  Guards against a change made twice: an answer that
 * was lost on the way looks like a daemon that died, and the change may be in
 * force.  It is sent again with the id it had, at the next daemon, and the
 * readers of the log pass over the repetition.
 */
enum st_status
Am_Publish(struct am_session *session, int64_t deadline,
           struct am_change *change)
{
    make_id(change->id);
    bool unknown = false;
    for (;;) {
        enum st_status status = send_change(session, change);
        unknown |= status == ST_UNKNOWN;
        if (unknown && status == ST_DENIED) {
            return St_Fail(ST_UNKNOWN,
                           "the key is refused after an attempt whose "
                           "outcome is not known: the change may be in force "
                           "and have replaced the key; look with the new key");
        }
        if (status != ST_UNAVAILABLE && status != ST_UNKNOWN) {
            return status;
        }
        if (Ck_Now(session->clock) >= deadline) {
            return unknown ? ST_UNKNOWN : status;
        }
        session->current = (session->current + 1) % session->targets.count;
        Am_Sleep(Am_RETRY_USEC);
    }
}
