/*
 * Changes of sections.  A change is checked here, but the order of the log
 * decides whether it is accepted.  The response is the verdict read back from
 * the log, which is looked up by the id in the record.
 */
#include <bsd/stdlib.h>
#include <bsd/string.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "config/sections.h"
#include "gate/admin_internal.h"

#define Ad_ID_BYTES 16
/* Space for the envelope that the writer adds to each record. */
#define Ad_ENVELOPE_BYTES 512

struct ad_publish {
    TAILQ_ENTRY(ad_publish) link;
    struct ad_admin *admin;
    struct hs_request *request; /* NULL: answered, or the caller is gone */
    struct lp_timer *timer;
    bool appending; /* the result of the append is outstanding */
    char id[Sc_ID_MAX];
    char section[Cf_SECTION_MAX];
    char team[Cf_NAME_MAX];
};

static void
publish_destroy(struct ad_publish *publish)
{
    if (publish->request != NULL) {
        Hs_SetUser(publish->request, NULL);
    }
    TAILQ_REMOVE(&publish->admin->publishes, publish, link);
    Lp_TimerDestroy(publish->timer);
    free(publish);
}

/* Frees a publish unless its request or its append is still open. */
static void
publish_free_if_ended(struct ad_publish *publish)
{
    if (publish->request == NULL && !publish->appending) {
        publish_destroy(publish);
    }
}

/* Detaches the request, which the caller must answer at once. */
static struct hs_request *
detach_request(struct ad_publish *publish)
{
    struct hs_request *request = publish->request;
    publish->request = NULL;
    Hs_SetUser(request, NULL);
    Lp_TimerCancel(publish->timer);
    return request;
}

/* The caller closed the connection before the response. */
void
Ad_PublishGone(struct ad_publish *publish)
{
    publish->request = NULL;
    publish_free_if_ended(publish);
}

/* Frees the publish; the server still owns its request. */
void
Ad_PublishDestroy(struct ad_publish *publish)
{
    publish_destroy(publish);
}

static void
answer_verdict(struct hs_request *request, const char *section,
               const struct sc_verdict *verdict)
{
    if (strcmp(verdict->section, section) != 0) {
        Ad_ReplyError(request, St_Fail(ST_INVALID,
                                       "the id was used for section %s: give "
                                       "each change an id of its own",
                                       verdict->section));
        return;
    }
    if (verdict->status != ST_OK) {
        Ad_ReplyError(request,
                      St_Fail(verdict->status, "%s", verdict->reason));
        return;
    }
    Ad_Reply(request, 200,
             json_pack("{s:s, s:I}", "section", section, "offset",
                       (json_int_t)verdict->offset));
}

/*
 * No verdict was read in time.  The append may have taken effect, so the
 * response must claim neither success nor failure.  The id makes a retry
 * of the change safe in both cases.
 */
static void
on_deadline(void *arg)
{
    struct ad_publish *publish = arg;
    struct hs_request *request = detach_request(publish);
    Ev_Log(&CF_VERDICT_UNKNOWN, "section=%s team=%s id=%s", publish->section,
           publish->team, publish->id);
    Ad_ReplyError(
        request, St_Fail(ST_UNKNOWN,
                         "the verdict on the change %s could not be read from "
                         "the log in time: publish the same change again with "
                         "the same id, it takes effect once at most",
                         publish->id));
    publish_free_if_ended(publish);
}

static void
on_appended(void *ticket, enum st_status status)
{
    struct ad_publish *publish = ticket;
    publish->appending = false;
    bool not_written = status == ST_UNAVAILABLE || status == ST_OVERLOAD;
    if (not_written && publish->request != NULL) {
        struct hs_request *request = detach_request(publish);
        Ad_ReplyError(request,
                      St_Fail(status,
                              "the log did not take the change, nothing "
                              "was written: publish again later"));
    }
    publish_free_if_ended(publish);
}

static void
make_id(char out[Sc_ID_MAX])
{
    unsigned char bytes[Ad_ID_BYTES];
    arc4random_buf(bytes, sizeof(bytes));
    for (size_t i = 0; i < sizeof(bytes); i++) {
        snprintf(out + 2 * i, 3, "%02x", bytes[i]);
    }
}

/* The body of the record for a request, or NULL with St_Fail() called. */
static json_t *
make_record(struct hs_request *request, const char *team, const char *section,
            bool patch)
{
    size_t len;
    const char *text = Hs_Body(request, &len);
    json_t *change = json_loadb(text != NULL ? text : "", len,
                                JSON_REJECT_DUPLICATES, NULL);
    json_t *base = json_object_get(change, "base");
    json_t *body = json_object_get(change, "body");
    const char *id = json_string_value(json_object_get(change, "id"));
    json_t *record = NULL;
    if (!json_is_integer(base) || !json_is_object(body) ||
        (id != NULL && (id[0] == '\0' || strlen(id) >= Sc_ID_MAX))) {
        St_Fail(ST_INVALID, "write {\"base\": OFFSET, \"body\": {...}}, and "
                            "an \"id\" of at most 39 bytes if you wish; the "
                            "base is the offset that GET tells");
    }
    else {
        char generated[Sc_ID_MAX];
        make_id(generated);
        record = json_pack("{s:s, s:s, s:O, s:s, s:s, s:O}", "kind",
                           patch ? "patch" : "section", "section", section,
                           "base", base, "author", team, "id",
                           id != NULL ? id : generated, "body", body);
    }
    json_decref(change);
    return record;
}

/*
 * Finds errors that need no append.  A base above the offset read by this
 * daemon is no conflict: the daemon lags behind, and the log decides.
 */
static enum st_status
check_record(const struct sc_state *state, const json_t *record,
             const char *section)
{
    char *text = json_dumps(record, JSON_COMPACT);
    if (text == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the change");
    }
    enum st_status status = ST_OK;
    if (strlen(text) > Sc_RECORD_MAX - Ad_ENVELOPE_BYTES) {
        status = St_Fail(ST_INVALID,
                         "the change has %zu bytes and a record of the log "
                         "takes %d: split it, or send a merge patch",
                         strlen(text), Sc_RECORD_MAX - Ad_ENVELOPE_BYTES);
    }
    else {
        status = Sc_Check(state, text);
    }
    free(text);
    json_int_t base = json_integer_value(json_object_get(record, "base"));
    bool base_ahead = base > 0 && (uint64_t)base > Sc_Offset(state) &&
                      (uint64_t)base > Sc_SectionOffset(state, section);
    return status == ST_CONFLICT && base_ahead ? ST_OK : status;
}

static enum st_status
start_append(struct ad_admin *admin, struct hs_request *request,
             json_t *record)
{
    struct ad_publish *publish = calloc(1, sizeof(*publish));
    if (publish == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the change");
    }
    publish->admin = admin;
    publish->request = request;
    strlcpy(publish->id, json_string_value(json_object_get(record, "id")),
            sizeof(publish->id));
    strlcpy(publish->section,
            json_string_value(json_object_get(record, "section")),
            sizeof(publish->section));
    publish->timer = Lp_TimerCreate(admin->loop, on_deadline, publish);
    TAILQ_INSERT_TAIL(&admin->publishes, publish, link);
    Hs_SetUser(request, publish);
    strlcpy(publish->team,
            json_string_value(json_object_get(record, "author")),
            sizeof(publish->team));
    const char *kind = json_string_value(json_object_get(record, "kind"));
    enum st_status status =
        publish->timer == NULL
            ? St_Fail(ST_NO_MEMORY, "no memory for the change")
            : admin->ops->append(admin->arg, kind, record, on_appended,
                                 publish);
    if (status != ST_OK) {
        publish_destroy(publish);
        return status;
    }
    publish->appending = true;
    Lp_TimerSet(publish->timer, admin->verdict_usec);
    return ST_OK;
}

/* Whether the request retries a change of the section that has a verdict. */
bool
Ad_HasVerdict(struct ad_admin *admin, struct hs_request *request,
              const char *section)
{
    json_t *record = make_record(request, "", section, false);
    const char *id = json_string_value(json_object_get(record, "id"));
    const struct sc_verdict *verdict =
        id != NULL ? Sc_VerdictById(admin->ops->sections(admin->arg), id)
                   : NULL;
    json_decref(record);
    return verdict != NULL && strcmp(verdict->section, section) == 0;
}

static enum st_status
check_team(const struct ad_admin *admin, const char *team, const char *section)
{
    const struct sc_state *state = admin->ops->sections(admin->arg);
    if (Cf_MayPublish(Sc_Config(state), team, section)) {
        return ST_OK;
    }
    return St_Fail(ST_DENIED,
                   "team %s may not publish section %.63s: ask that team, or "
                   "an operator, to publish the change",
                   team, section);
}

static enum st_status
publish(struct ad_admin *admin, struct hs_request *request, const char *team,
        const char *section, bool patch)
{
    const struct sc_state *state = admin->ops->sections(admin->arg);
    if (strcmp(team, Cf_BOOTSTRAP) != 0 &&
        check_team(admin, team, section) != ST_OK) {
        return ST_DENIED;
    }
    json_t *record = make_record(request, team, section, patch);
    if (record == NULL) {
        return ST_INVALID;
    }
    const char *id = json_string_value(json_object_get(record, "id"));
    const struct sc_verdict *verdict = Sc_VerdictById(state, id);
    enum st_status status = ST_OK;
    if (verdict != NULL) {
        answer_verdict(request, section, verdict);
    }
    else {
        status = check_record(state, record, section);
        if (status == ST_OK) {
            status = start_append(admin, request, record);
        }
    }
    json_decref(record);
    return status;
}

/* Serves a PUT or PATCH of a section for an authenticated team. */
void
Ad_Publish(struct ad_admin *admin, struct hs_request *request,
           const char *team, const char *section, bool patch)
{
    enum st_status status = publish(admin, request, team, section, patch);
    if (status != ST_OK) {
        Ad_ReplyError(request, status);
    }
}

/* Writes the audit log: which team changed which section. */
static void
log_verdict(const struct ad_publish *publish, const struct sc_verdict *verdict)
{
    const struct ev_event *event =
        verdict->status == ST_OK ? &CF_ACCEPTED : &CF_REFUSED;
    Ev_Log(event, "section=%s team=%s offset=%" PRIu64 " id=%s %s",
           publish->section, publish->team, verdict->offset, publish->id,
           verdict->reason);
}

/*
 * Answers the pending changes that now have a verdict.  Must be called after
 * records were applied to the sections.
 */
void
Ad_AnswerVerdicts(struct ad_admin *admin)
{
    const struct sc_state *state = admin->ops->sections(admin->arg);
    struct ad_publish *publish;
    struct ad_publish *next;
    TAILQ_FOREACH_SAFE (publish, &admin->publishes, link, next) {
        const struct sc_verdict *verdict = Sc_VerdictById(state, publish->id);
        if (publish->request == NULL || verdict == NULL) {
            continue;
        }
        struct hs_request *request = detach_request(publish);
        log_verdict(publish, verdict);
        answer_verdict(request, publish->section, verdict);
        publish_free_if_ended(publish);
    }
}
