/* Joins the daemons' events by request id and counts them. */
#include "loss/loss.h"

#include <errno.h>
#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

#include "loss/loss_internal.h"

/* A longer line is malformed: daemons write lines of at most 1 KiB. */
#define Ls_LINE_MAX 65536
#define Ls_REASON_MAX 160
#define Ls_NONE "-"

struct ls_losses *
Ls_Create(void)
{
    struct ls_losses *losses = calloc(1, sizeof(*losses));
    if (losses == NULL) {
        return NULL;
    }
    ls_table_init(&losses->tables[LS_REASON], "reason", false);
    ls_table_init(&losses->tables[LS_CUSTOMER], "customer", false);
    ls_table_init(&losses->tables[LS_ROUTE], "route", false);
    ls_table_init(&losses->tables[LS_ENDPOINT], "endpoint", false);
    ls_table_init(&losses->tables[LS_SECOND], "second", true);
    RB_INIT(&losses->pending);
    TAILQ_INIT(&losses->pending_by_age);
    return losses;
}

void
Ls_Destroy(struct ls_losses *losses)
{
    if (losses == NULL) {
        return;
    }
    for (int i = 0; i < LS_TABLES; i++) {
        ls_table_clear(&losses->tables[i]);
    }
    struct ls_pending *request;
    while ((request = TAILQ_FIRST(&losses->pending_by_age)) != NULL) {
        ls_pending_free(ls_pending_take(losses, request->id));
    }
    free(losses);
}

static void
count_row(struct ls_table *table, const char *name, int64_t number,
          const struct ls_end *end)
{
    struct ls_row *row = ls_table_row(table, name, number);
    if (row != NULL) {
        row->total++;
        row->late += end->reason != NULL && end->late;
        row->lost += end->reason != NULL && !end->late;
    }
}

void
ls_count(struct ls_losses *losses, const struct ls_end *end)
{
    losses->requests++;
    losses->served += end->reason == NULL;
    losses->late += end->reason != NULL && end->late;
    losses->lost += end->reason != NULL && !end->late;
    if (end->reason != NULL) {
        count_row(&losses->tables[LS_REASON], end->reason, 0, end);
    }
    count_row(&losses->tables[LS_CUSTOMER], end->customer, 0, end);
    count_row(&losses->tables[LS_ROUTE], end->route, 0, end);
    count_row(&losses->tables[LS_ENDPOINT], end->endpoint, 0, end);
    count_row(&losses->tables[LS_SECOND], "", (int64_t)floor(end->at), end);
}

/* Returns a string member of an event, or "-" if it is missing or empty. */
static const char *
text_of(const json_t *event, const char *name)
{
    const char *text = json_string_value(json_object_get(event, name));
    return text == NULL || text[0] == '\0' ? Ls_NONE : text;
}

static double
number_of(const json_t *event, const char *name)
{
    return json_number_value(json_object_get(event, name));
}

static void
handle_sent(struct ls_losses *losses, const json_t *event)
{
    ls_pending_add(losses, text_of(event, "id"), text_of(event, "tenant"),
                   text_of(event, "endpoint"), number_of(event, "t"));
}

static void
handle_refused(struct ls_losses *losses, const json_t *event)
{
    char reason[Ls_REASON_MAX];
    snprintf(reason, sizeof(reason), "refused %d: %s",
             (int)number_of(event, "status"), text_of(event, "why"));
    struct ls_end end = {
        .reason = reason,
        .customer = text_of(event, "tenant"),
        .route = text_of(event, "route"),
        .endpoint = Ls_NONE,
        .at = number_of(event, "t"),
    };
    ls_count(losses, &end);
}

static void
handle_end(struct ls_losses *losses, const json_t *event)
{
    struct ls_pending *request = ls_pending_take(losses, text_of(event, "id"));
    const char *outcome = text_of(event, "outcome");
    bool served = strcmp(outcome, "served") == 0;
    double target_msec = number_of(event, "aim_ms");
    bool late = served && target_msec > 0 &&
                number_of(event, "first_ms") > target_msec;
    const char *endpoint = text_of(event, "endpoint");
    if (strcmp(endpoint, Ls_NONE) == 0 && request != NULL) {
        endpoint = request->endpoint;
    }
    struct ls_end end = {
        .reason = late     ? "late"
                  : served ? NULL
                           : outcome,
        .customer = request == NULL ? Ls_NONE : request->customer,
        .route = text_of(event, "route"),
        .endpoint = endpoint,
        .at = number_of(event, "t"),
        .late = late,
    };
    ls_count(losses, &end);
    ls_pending_free(request);
}

static void
handle_event(struct ls_losses *losses, const json_t *event, const char *name)
{
    if (strcmp(name, "attempt.sent") == 0) {
        handle_sent(losses, event);
    }
    else if (strcmp(name, "request.refused") == 0 ||
             strcmp(name, "request.unreadable") == 0) {
        handle_refused(losses, event);
    }
    else if (strcmp(name, "request.end") == 0) {
        handle_end(losses, event);
    }
    else if (strcmp(name, "log.suppressed") == 0 &&
             number_of(event, "lines") > 0) {
        losses->suppressed += (uint64_t)number_of(event, "lines");
    }
}

/*
 * A log collector may have put a prefix before the event, such as a time and a
 * host name; the event begins at the first brace.
 */
void
Ls_AddLine(struct ls_losses *losses, const char *line)
{
    losses->lines++;
    const char *start = strchr(line, '{');
    if (start == NULL) {
        losses->other++;
        return;
    }
    json_t *event = json_loads(start, JSON_REJECT_DUPLICATES, NULL);
    if (event == NULL) {
        losses->malformed++;
        return;
    }
    const char *name = json_string_value(json_object_get(event, "ev"));
    if (name == NULL) {
        losses->other++;
    }
    else {
        handle_event(losses, event, name);
    }
    json_decref(event);
}

/* Skips the rest of a line that is longer than Ls_LINE_MAX. */
static void
skip_line(gzFile file)
{
    int c = 0;
    while (c != -1 && c != '\n') {
        c = gzgetc(file);
    }
}

enum st_status
Ls_AddFile(struct ls_losses *losses, const char *path)
{
    gzFile file = gzopen(path, "rb");
    char *line = malloc(Ls_LINE_MAX);
    if (file == NULL || line == NULL) {
        const char *why = file == NULL ? strerror(errno) : "no memory";
        if (file != NULL) {
            gzclose(file);
        }
        free(line);
        return St_Fail(ST_NOT_FOUND,
                       "%s cannot be read (%s): name a daemon's log, plain "
                       "or compressed with gzip",
                       path, why);
    }
    while (gzgets(file, line, Ls_LINE_MAX) != NULL) {
        if (strchr(line, '\n') == NULL && !gzeof(file)) {
            losses->lines++;
            losses->malformed++;
            skip_line(file);
            continue;
        }
        Ls_AddLine(losses, line);
    }
    int error = Z_OK;
    (void)gzerror(file, &error);
    bool is_directory = error == Z_ERRNO && errno == EISDIR;
    losses->malformed += error != Z_OK && !is_directory;
    gzclose(file);
    free(line);
    return is_directory ? St_Fail(ST_NOT_FOUND,
                                  "%s is a folder: name the logs in it", path)
                        : ST_OK;
}

/*
 * A daemon that is killed logs no end for the requests it had in flight. Their
 * callers saw the connection close, so they are counted as lost.
 */
void
Ls_Finish(struct ls_losses *losses)
{
    struct ls_pending *oldest;
    while ((oldest = TAILQ_FIRST(&losses->pending_by_age)) != NULL) {
        struct ls_pending *request = ls_pending_take(losses, oldest->id);
        struct ls_end end = {
            .reason = "no end in the logs",
            .customer = request->customer,
            .route = Ls_NONE,
            .endpoint = request->endpoint,
            .at = request->sent_at,
        };
        ls_count(losses, &end);
        ls_pending_free(request);
    }
}
