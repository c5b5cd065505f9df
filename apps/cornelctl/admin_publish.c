#include <bsd/stdlib.h>
#include <stdio.h>

#include "admin.h"
#include "config/config.h"

#define Am_RETRY_INTERVAL_USEC (300 * Ck_USEC_PER_MSEC)
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
    json_t *response;
    enum st_status status = Am_Call(session, change->patch ? "PATCH" : "PUT",
                                    path, body, &response);
    json_decref(body);
    if (status == ST_OK) {
        json_t *offset = json_object_get(response, "offset");
        change->offset = (uint64_t)json_integer_value(offset);
    }
    json_decref(response);
    return status;
}

/*
 * Publishes one section, and retries at the next daemon until the deadline.
 * A lost response cannot be distinguished from a crashed daemon, so the
 * change may already be in force when it is retried.  Each retry carries the
 * same id, and readers of the log skip a change whose id they have already
 * read, so the change takes effect at most once.
 */
enum st_status
Am_Publish(struct am_session *session, int64_t deadline,
           struct am_change *change)
{
    make_id(change->id);
    bool outcome_unknown = false;
    for (;;) {
        enum st_status status = send_change(session, change);
        outcome_unknown |= status == ST_UNKNOWN;
        if (outcome_unknown && status == ST_DENIED) {
            return St_Fail(ST_UNKNOWN,
                           "the key is refused after an attempt whose "
                           "outcome is not known: the change may be in force "
                           "and have replaced the key; look with the new key");
        }
        if (status != ST_UNAVAILABLE && status != ST_UNKNOWN) {
            return status;
        }
        if (Ck_Now(session->clock) >= deadline) {
            return outcome_unknown ? ST_UNKNOWN : status;
        }
        session->current = (session->current + 1) % session->targets.count;
        Am_Sleep(Am_RETRY_INTERVAL_USEC);
    }
}
