/*
 * The commands that compare the documents generated from a questionnaire with
 * the configuration in force: diff, publish.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "changes.h"
#include "config/patch.h"
#include "documents.h"

#define Ct_POLL_INTERVAL_USEC (100 * Ck_USEC_PER_MSEC)

/* A generated section and the version of that section in force. */
struct comparison {
    const char *section;
    uint64_t base;  /* log offset of the version in force; 0: none */
    json_t *before; /* the version in force; NULL: none */
    json_t *after;
    json_t *patch; /* merge patch from before to after; NULL: none */
};

static void
compare(const json_t *config, const struct qn_document *document,
        struct comparison *out)
{
    memset(out, 0, sizeof(*out));
    out->section = document->section;
    out->after = json_loads(document->body, 0, NULL);
    size_t i;
    json_t *entry;
    json_array_foreach (json_object_get(config, "sections"), i, entry) {
        const char *name = json_string_value(json_object_get(entry, "name"));
        if (name == NULL || strcmp(name, document->section) != 0) {
            continue;
        }
        json_t *offset = json_object_get(entry, "offset");
        out->base = (uint64_t)json_integer_value(offset);
        out->before = json_incref(json_object_get(entry, "body"));
        out->patch = Mp_Diff(out->before, out->after);
    }
}

static void
comparison_clear(struct comparison *comparison)
{
    json_decref(comparison->before);
    json_decref(comparison->after);
    json_decref(comparison->patch);
}

static bool
differs(const struct comparison *comparison)
{
    return comparison->patch == NULL ||
           json_object_size(comparison->patch) > 0;
}

/* Generates the documents and fetches the configuration in force. */
static enum st_status
load_inputs(const struct ct_options *options, struct am_session *session,
            struct qn_documents *documents, json_t **config)
{
    struct qn_answers *answers = NULL;
    *config = NULL;
    enum st_status status = Fi_Load(options->operand, &answers, documents);
    Qn_Destroy(answers);
    if (status == ST_OK) {
        status = Am_Open(options, session);
    }
    if (status == ST_OK) {
        status = Am_Get(session, "/admin/v1/config", config);
    }
    return status;
}

/* cornelctl diff FILE --admin LIST */
int
Ct_Diff(const struct ct_options *options)
{
    struct am_session session;
    struct qn_documents documents;
    json_t *config;
    enum st_status status =
        load_inputs(options, &session, &documents, &config);
    size_t count = 0;
    for (size_t i = 0; i < documents.count && status == ST_OK; i++) {
        struct comparison comparison;
        compare(config, &documents.items[i], &comparison);
        count += Ch_Print(stdout, comparison.section, comparison.before,
                          comparison.after);
        comparison_clear(&comparison);
    }
    json_decref(config);
    Qn_DocumentsClear(&documents);
    if (status == ST_OK && count > 0) {
        return CT_DIFFERENT;
    }
    return Ct_Report(status);
}

static size_t
size_of(const json_t *value)
{
    return json_dumpb(value, NULL, 0, JSON_COMPACT);
}

/* Publishes a section, as a merge patch if the patch is smaller. */
static enum st_status
publish_one(struct am_session *session, int64_t deadline,
            const struct comparison *comparison, uint64_t *offset)
{
    size_t full_size = size_of(comparison->after);
    size_t patch_size =
        comparison->patch != NULL ? size_of(comparison->patch) : full_size;
    struct am_change change = {
        .section = comparison->section,
        .base = comparison->base,
        .patch = patch_size < full_size,
        .body = patch_size < full_size ? comparison->patch : comparison->after,
    };
    enum st_status status = Am_Publish(session, deadline, &change);
    if (status == ST_OK) {
        printf("%s: accepted at offset %" PRIu64 " (sent %zu bytes of %zu)\n",
               comparison->section, change.offset,
               change.patch ? patch_size : full_size, full_size);
        *offset = change.offset > *offset ? change.offset : *offset;
    }
    return status;
}

/*
 * Publishes the sections that differ.  The bootstrap key may publish only the
 * platform section; at any other section it fails and names that section.
 */
static enum st_status
publish_all(struct am_session *session, int64_t deadline, const json_t *config,
            const struct qn_documents *documents, uint64_t *offset)
{
    const char *team = json_string_value(json_object_get(config, "team"));
    bool bootstrap_key = team != NULL && strcmp(team, Cf_BOOTSTRAP) == 0;
    enum st_status status = ST_OK;
    for (size_t i = 0; i < documents->count && status == ST_OK; i++) {
        struct comparison comparison;
        compare(config, &documents->items[i], &comparison);
        if (bootstrap_key && strcmp(comparison.section, Cf_PLATFORM) != 0) {
            status = St_Fail(ST_DENIED,
                             "%s is not published yet: the first key does "
                             "not reach it; publish again with "
                             "CORNELGATE_ADMIN_KEY set to a team's key",
                             comparison.section);
        }
        else if (!differs(&comparison)) {
            printf("%s: unchanged at offset %" PRIu64 "\n", comparison.section,
                   comparison.base);
        }
        else {
            status = publish_one(session, deadline, &comparison, offset);
        }
        comparison_clear(&comparison);
    }
    return status;
}

/* Whether the status document reports that the daemon serves callers. */
static bool
is_serving(const json_t *daemon)
{
    const char *state = json_string_value(json_object_get(daemon, "state"));
    return state != NULL &&
           (strcmp(state, "live") == 0 || strcmp(state, "suspect") == 0);
}

static bool
has_offset(const json_t *daemon, uint64_t offset)
{
    json_t *value = json_object_get(daemon, "config_offset");
    return (uint64_t)json_integer_value(value) >= offset;
}

static void
print_lagging(const json_t *daemons, uint64_t offset)
{
    size_t i;
    json_t *daemon;
    json_array_foreach (daemons, i, daemon) {
        if (!is_serving(daemon) || has_offset(daemon, offset)) {
            continue;
        }
        const char *node = json_string_value(json_object_get(daemon, "node"));
        const char *address =
            json_string_value(json_object_get(daemon, "address"));
        const char *state =
            json_string_value(json_object_get(daemon, "state"));
        json_t *at = json_object_get(daemon, "config_offset");
        fprintf(stderr, "lagging: %s at %s, %s, offset %lld of %" PRIu64 "\n",
                node != NULL ? node : "?", address != NULL ? address : "?",
                state, json_integer_value(at), offset);
    }
}

/* Counts the serving daemons and those that have reached the offset. */
static void
count_daemons(const json_t *daemons, uint64_t offset, size_t *serving,
              size_t *up_to_date)
{
    *serving = 0;
    *up_to_date = 0;
    size_t i;
    json_t *daemon;
    json_array_foreach (daemons, i, daemon) {
        if (is_serving(daemon)) {
            (*serving)++;
            *up_to_date += has_offset(daemon, offset) ? 1 : 0;
        }
    }
}

int
Ct_WaitEverywhere(struct am_session *session, int64_t began, int64_t deadline,
                  uint64_t offset)
{
    for (;;) {
        json_t *document;
        size_t serving = 0;
        size_t up_to_date = 0;
        enum st_status status = Am_Get(session, "/admin/v1/status", &document);
        if (status == ST_DENIED) {
            fprintf(stderr,
                    "cornelctl: accepted at offset %" PRIu64 ", but the key "
                    "no longer opens the status: set CORNELGATE_ADMIN_KEY to "
                    "the new key and publish again to see whether it is in "
                    "force everywhere\n",
                    offset);
            return CT_LAGGING;
        }
        json_t *daemons = json_object_get(document, "daemons");
        count_daemons(daemons, offset, &serving, &up_to_date);
        int64_t now = Ck_Now(session->clock);
        bool done = serving > 0 && up_to_date == serving;
        bool expired = !done && now >= deadline;
        if (done) {
            printf("in force on all %zu daemons at offset %" PRIu64
                   " after %.1f s\n",
                   serving, offset, (double)(now - began) / Ck_USEC_PER_SEC);
        }
        else if (expired && status == ST_OK) {
            print_lagging(daemons, offset);
            fprintf(stderr,
                    "cornelctl: in force on %zu of %zu daemons: see the "
                    "lagging ones' logs; they serve again once they caught "
                    "up; publish again to wait on\n",
                    up_to_date, serving);
        }
        json_decref(document);
        if (done) {
            return CT_DONE;
        }
        if (expired) {
            return status == ST_OK ? CT_LAGGING : Ct_Report(status);
        }
        Am_Sleep(Ct_POLL_INTERVAL_USEC);
    }
}

/* cornelctl publish FILE --admin LIST [--wait SECONDS] */
int
Ct_Publish(const struct ct_options *options)
{
    struct am_session session;
    struct qn_documents documents;
    json_t *config;
    uint64_t offset = 0;
    int64_t began = Ck_Now(Ck_System());
    int64_t deadline = began + options->wait_usec;
    enum st_status status =
        load_inputs(options, &session, &documents, &config);
    if (status == ST_OK) {
        json_t *in_force = json_object_get(config, "in_force");
        offset = (uint64_t)json_integer_value(in_force);
        status = publish_all(&session, deadline, config, &documents, &offset);
    }
    json_decref(config);
    Qn_DocumentsClear(&documents);
    if (status != ST_OK) {
        return Ct_Report(status);
    }
    return Ct_WaitEverywhere(&session, began, deadline, offset);
}
