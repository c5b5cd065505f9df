/*
 * The log: streams of records with offsets from 1, a common append rate, and
 * the last records of a stream readable.  Everything ever appended is kept
 * as the truth for tests.
 */
#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standins/bucket.h"
#include "standins/platform.h"

#define PREFIX "/log/v1/"
#define RECORD_MAX ((size_t)64 << 10)
#define READ_MAX 1000
#define BURST_SECS 0.25
#define NAME_MAX_BYTES 64

struct stream {
    TAILQ_ENTRY(stream) link;
    char name[NAME_MAX_BYTES];
    char **records; /* record of offset N at N - 1 */
    uint64_t count;
    uint64_t size;
    uint64_t oldest; /* oldest readable offset */
    uint64_t marked; /* "next" when a fault was last set */
    int64_t appends;
    int64_t reads;
    int64_t refused;
};

struct pl_log {
    struct sv_program *program;
    TAILQ_HEAD(streams, stream) streams;
    struct bk_bucket bucket;
    uint64_t keep;
    json_t *kinds; /* appended records by their "kind" */
};

/* Creates the log; its rate starts with a quarter of a second in hand. */
struct pl_log *
Pl_LogCreate(struct sv_program *program, const struct pl_options *options)
{
    struct pl_log *log = calloc(1, sizeof(*log));
    if (log == NULL) {
        return NULL;
    }
    log->program = program;
    log->keep = (uint64_t)options->keep;
    log->kinds = json_object();
    TAILQ_INIT(&log->streams);
    double burst = options->append_rate * BURST_SECS;
    Bk_Init(&log->bucket, options->append_rate, burst < 1 ? 1 : burst,
            Ck_Now(Ck_System()));
    return log;
}

/* Frees the log with all records. */
void
Pl_LogDestroy(struct pl_log *log)
{
    struct stream *stream;
    struct stream *next;
    TAILQ_FOREACH_SAFE (stream, &log->streams, link, next) {
        for (uint64_t i = 0; i < stream->count; i++) {
            free(stream->records[i]);
        }
        free(stream->records);
        free(stream);
    }
    json_decref(log->kinds);
    free(log);
}

/* Remembers where every stream ends, for stale reads. */
void
Pl_LogMark(struct pl_log *log)
{
    struct stream *stream;
    TAILQ_FOREACH (stream, &log->streams, link) {
        stream->marked = stream->count + 1;
    }
}

static struct stream *
stream_get(struct pl_log *log, const char *name)
{
    struct stream *stream;
    TAILQ_FOREACH (stream, &log->streams, link) {
        if (strcmp(stream->name, name) == 0) {
            return stream;
        }
    }
    stream = calloc(1, sizeof(*stream));
    if (stream == NULL) {
        abort();
    }
    strlcpy(stream->name, name, sizeof(stream->name));
    stream->oldest = 1;
    stream->marked = 1;
    TAILQ_INSERT_TAIL(&log->streams, stream, link);
    return stream;
}

static void
count_kind(struct pl_log *log, const char *text)
{
    json_t *record = json_loads(text, 0, NULL);
    const char *kind = json_string_value(json_object_get(record, "kind"));
    if (kind != NULL) {
        json_int_t old = json_integer_value(json_object_get(log->kinds, kind));
        json_object_set_new(log->kinds, kind, json_integer(old + 1));
    }
    json_decref(record);
}

static void
stream_append(struct pl_log *log, struct stream *stream, const char *text)
{
    if (stream->count == stream->size) {
        stream->size = stream->size == 0 ? 64 : stream->size * 2;
        stream->records =
            realloc(stream->records, stream->size * sizeof(char *));
        if (stream->records == NULL) {
            abort();
        }
    }
    stream->records[stream->count++] = strdup(text);
    if (log->keep > 0 && stream->count - stream->oldest + 1 > log->keep) {
        stream->oldest = stream->count - log->keep + 1;
    }
    count_kind(log, text);
}

static bool
records_fit(const json_t *records)
{
    if (json_array_size(records) == 0) {
        return false;
    }
    size_t i;
    json_t *record;
    json_array_foreach (records, i, record) {
        if (!json_is_string(record) ||
            json_string_length(record) > RECORD_MAX) {
            return false;
        }
    }
    return true;
}

static void
append(struct pl_log *log, struct hs_request *request, struct stream *stream,
       const struct fl_fault *fault)
{
    struct sv_answer answer = {.code = 200};
    json_t *body = Sv_BodyJson(request);
    json_t *records = json_object_get(body, "records");
    if (!records_fit(records)) {
        answer.code = 400;
        answer.body = json_pack("{s:s}", "error",
                                "send \"records\" as texts of up to 64 KiB");
    }
    else if (!Bk_Take(&log->bucket, Ck_Now(Ck_System()))) {
        stream->refused++;
        answer.code = 429;
        answer.retry_after_sec = 1;
        answer.body = json_pack("{s:s}", "error", "append rate exceeded");
    }
    else {
        stream->appends++;
        json_int_t offset = (json_int_t)stream->count + 1;
        size_t i;
        json_t *record;
        json_array_foreach (records, i, record) {
            stream_append(log, stream, json_string_value(record));
        }
        answer.body = json_pack("{s:I, s:I}", "offset", offset, "count",
                                (json_int_t)json_array_size(records));
    }
    json_decref(body);
    Sv_Answer(log->program, request, fault, &answer);
}

/* The offset the reader is told the next append gets. */
static uint64_t
tail_shown(const struct stream *stream, const struct fl_fault *fault)
{
    uint64_t next = stream->count + 1;
    if (fault->mode == FL_STALE_READ) {
        next = stream->marked;
    }
    else if (fault->mode == FL_SHORT_TAIL) {
        uint64_t cut = (uint64_t)fault->records;
        next = next > cut ? next - cut : 1;
    }
    return next > stream->oldest ? next : stream->oldest;
}

static json_t *
records_between(const struct stream *stream, uint64_t from, uint64_t end)
{
    json_t *list = json_array();
    for (uint64_t offset = from; offset < end; offset++) {
        json_array_append_new(list, json_pack("{s:I, s:s}", "offset",
                                              (json_int_t)offset, "data",
                                              stream->records[offset - 1]));
    }
    return list;
}

static void
read_records(struct pl_log *log, struct hs_request *request,
             struct stream *stream, const struct fl_fault *fault)
{
    stream->reads++;
    struct sv_answer answer = {.code = 200};
    uint64_t from = (uint64_t)Sv_QueryNumber(request, "from", 1);
    uint64_t max = (uint64_t)Sv_QueryNumber(request, "max", READ_MAX);
    uint64_t next = tail_shown(stream, fault);
    answer.body = json_pack("{s:I, s:I}", "oldest", (json_int_t)stream->oldest,
                            "next", (json_int_t)next);
    if (from < stream->oldest) {
        answer.code = 410;
    }
    else {
        uint64_t end = next;
        if (max > READ_MAX) {
            max = READ_MAX;
        }
        if (end > from + max) {
            end = from + max;
        }
        json_object_set_new(answer.body, "records",
                            records_between(stream, from, end));
    }
    Sv_Answer(log->program, request, fault, &answer);
}

/* "/log/v1/STREAM/VERB" split in two; false when it has another form. */
static bool
split_path(const char *path, char name[NAME_MAX_BYTES], const char **verb)
{
    if (strncmp(path, PREFIX, strlen(PREFIX)) != 0) {
        return false;
    }
    path += strlen(PREFIX);
    const char *slash = strchr(path, '/');
    if (slash == NULL || slash == path || slash - path >= NAME_MAX_BYTES) {
        return false;
    }
    memcpy(name, path, (size_t)(slash - path));
    name[slash - path] = '\0';
    *verb = slash + 1;
    return true;
}

static void
serve_stream(struct pl_log *log, struct hs_request *request, const char *name,
             const char *verb)
{
    bool is_append = strcmp(verb, "append") == 0;
    struct fl_query query = {
        .target = verb,
        .path = Hs_Path(request),
        .stream = name,
    };
    struct fl_fault fault = Fl_Take(Sv_Faults(log->program), &query);
    if (Sv_Before(request, &fault)) {
        return;
    }
    struct stream *stream = stream_get(log, name);
    if (is_append && strcmp(Hs_Method(request), "POST") == 0) {
        append(log, request, stream, &fault);
    }
    else if (strcmp(verb, "read") == 0) {
        read_records(log, request, stream, &fault);
    }
    else {
        Sv_Reply(log->program, request, 404,
                 json_pack("{s:s}", "error", "use append or read"));
    }
}

static void
dump_records(struct pl_log *log, struct hs_request *request)
{
    char name[NAME_MAX_BYTES] = "";
    Hs_Query(request, "stream", name, sizeof(name));
    const struct stream *stream = stream_get(log, name);
    Sv_Reply(log->program, request, 200,
             json_pack("{s:I, s:I, s:o}", "oldest", (json_int_t)stream->oldest,
                       "next", (json_int_t)stream->count + 1, "records",
                       records_between(stream, 1, stream->count + 1)));
}

static void
expire(struct pl_log *log, struct hs_request *request)
{
    json_t *body = Sv_BodyJson(request);
    const char *name = json_string_value(json_object_get(body, "stream"));
    json_int_t oldest = json_integer_value(json_object_get(body, "oldest"));
    struct stream *stream = stream_get(log, name != NULL ? name : "");
    if (oldest > 0 && (uint64_t)oldest <= stream->count + 1) {
        stream->oldest = (uint64_t)oldest;
    }
    json_decref(body);
    Sv_Reply(log->program, request, 200, json_object());
}

static void
counts(struct pl_log *log, struct hs_request *request)
{
    json_t *streams = json_object();
    json_int_t appends = 0;
    json_int_t reads = 0;
    json_int_t refused = 0;
    const struct stream *stream;
    TAILQ_FOREACH (stream, &log->streams, link) {
        appends += stream->appends;
        reads += stream->reads;
        refused += stream->refused;
        json_object_set_new(streams, stream->name,
                            json_pack("{s:I, s:I, s:I, s:I}", "appends",
                                      (json_int_t)stream->appends, "reads",
                                      (json_int_t)stream->reads, "refused",
                                      (json_int_t)stream->refused, "records",
                                      (json_int_t)stream->count));
    }
    Sv_Reply(log->program, request, 200,
             json_pack("{s:I, s:I, s:I, s:o, s:O}", "appends", appends,
                       "reads", reads, "refused", refused, "streams", streams,
                       "kinds", log->kinds));
}

/* Serves appends, reads and the log's controls. */
bool
Pl_LogServe(struct pl_log *log, struct hs_request *request)
{
    char name[NAME_MAX_BYTES];
    const char *verb;
    if (split_path(Hs_Path(request), name, &verb)) {
        serve_stream(log, request, name, verb);
    }
    else if (Sv_Is(request, "GET", "/standin/records")) {
        dump_records(log, request);
    }
    else if (Sv_Is(request, "POST", "/standin/expire")) {
        expire(log, request);
    }
    else if (Sv_Is(request, "GET", "/standin/counts")) {
        counts(log, request);
    }
    else {
        return false;
    }
    return true;
}
