#include "gate/confstream.h"

#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/events.h"
#include "state/snapshot.h"

#define Cs_POLL_FAST_USEC (250 * Ck_USEC_PER_MSEC)
/* The log counts as unreachable if not read to its end for this long. */
#define Cs_REACHABLE_USEC (12 * Ck_USEC_PER_SEC)
/* A chunk of the snapshot must fit one record of the log. */
#define Cs_CHUNK_BYTES ((size_t)24 << 10)

struct cs_stream {
    struct cs_options options;
    struct sc_state *sections;
    struct wr_writer *writer;
    struct sn_replica *replica;
    bool fast;
    bool complete;     /* read to the end once, or imported from a peer */
    int64_t notice_at; /* first notice of a change not yet read; -1: none */
    uint64_t notice_offset;
    int64_t age_usec; /* of the record being applied; -1: not known */
    bool importing;   /* the configuration of a peer */
    char *snapshot;   /* the chunks loaded so far */
    size_t snapshot_len;
};

static void
put_in_force(struct cs_stream *stream)
{
    struct cf_config *config = Sc_Config(stream->sections);
    bool notified = stream->notice_at >= 0;
    const struct gt_origin origin = {
        .source = stream->importing ? "peer" : (notified ? "word" : "read"),
        .age_usec = stream->age_usec,
        .since_announced_usec =
            notified ? Ck_Now(stream->options.gate->clock) - stream->notice_at
                     : -1,
        .since_log_read_usec = Cs_ReadAge(stream),
    };
    if (config->offset > 0) {
        Gt_SetConfig(stream->options.gate, config, &origin);
    }
    if (Sc_Offset(stream->sections) >= stream->notice_offset) {
        stream->notice_at = -1;
    }
    stream->options.applied(stream->options.arg, Sc_Offset(stream->sections));
}

/*
 * The age of a record: this wall clock less that of its writer; -1 for a
 * record without a time.
 */
static int64_t
age_of(const struct cs_stream *stream, const struct rc_record *record)
{
    if (record->wall_ms <= 0) {
        return -1;
    }
    int64_t age = Ck_Wall(stream->options.gate->clock) -
                  record->wall_ms * Ck_USEC_PER_MSEC;
    return age > 0 ? age : 0;
}

static void
apply(void *arg, const struct rc_record *record)
{
    struct cs_stream *stream = arg;
    /* The replica passes all records but snapshots, so offsets have gaps. */
    Sc_SkipTo(stream->sections, record->offset - 1);
    char *body = json_dumps(record->body, JSON_COMPACT);
    if (body == NULL ||
        Sc_Apply(stream->sections, record->offset, body) != ST_OK) {
        Sc_SkipTo(stream->sections, record->offset);
    }
    free(body);
    stream->age_usec = age_of(stream, record);
    put_in_force(stream);
    stream->age_usec = -1;
}

static void
reset(void *arg)
{
    struct cs_stream *stream = arg;
    struct sc_state *fresh = NULL;
    if (Sc_Create(&fresh) != ST_OK) {
        abort();
    }
    Sc_Destroy(stream->sections);
    stream->sections = fresh;
    stream->snapshot_len = 0;
}

static json_t *
save(void *arg)
{
    struct cs_stream *stream = arg;
    char *text = Sc_Snapshot(stream->sections);
    size_t len = text != NULL ? strlen(text) : 0;
    json_t *chunks = json_array();
    for (size_t at = 0; at < len; at += Cs_CHUNK_BYTES) {
        size_t n = len - at < Cs_CHUNK_BYTES ? len - at : Cs_CHUNK_BYTES;
        json_t *chunk = json_pack("{s:I,s:o}", "total", (json_int_t)len,
                                  "text", json_stringn_nocheck(text + at, n));
        json_array_append_new(chunks, chunk);
    }
    free(text);
    return chunks;
}

static void
load(void *arg, const json_t *entry)
{
    struct cs_stream *stream = arg;
    const json_t *chunk = json_object_get(entry, "text");
    size_t len = json_string_length(chunk);
    size_t total = (size_t)json_integer_value(json_object_get(entry, "total"));
    char *grown = realloc(stream->snapshot, stream->snapshot_len + len + 1);
    if (grown == NULL) {
        abort();
    }
    memcpy(grown + stream->snapshot_len, json_string_value(chunk), len);
    stream->snapshot = grown;
    stream->snapshot_len += len;
    grown[stream->snapshot_len] = '\0';
    if (stream->snapshot_len < total) {
        return;
    }
    stream->snapshot_len = 0;
    if (Sc_Restore(stream->sections, grown) == ST_OK) {
        put_in_force(stream);
    }
}

static const struct sn_ops replica_ops = {
    .reset = reset,
    .apply = apply,
    .save = save,
    .load = load,
};

/* Starts to read the stream from its first record or a snapshot. */
enum st_status
Cs_Create(const struct cs_options *options, struct cs_stream **out)
{
    struct cs_stream *stream = calloc(1, sizeof(*stream));
    if (stream == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the config stream");
    }
    stream->options = *options;
    struct wr_options writer = {
        .log = options->log,
        .stream = "config",
        .self = options->self,
        .clock = options->gate->clock,
        .budget = options->budget,
    };
    enum st_status status = Sc_Create(&stream->sections);
    if (status == ST_OK) {
        status = Wr_Create(&writer, &stream->writer);
    }
    struct sn_options replica = {
        .log = options->log,
        .stream = "config",
        .clock = options->gate->clock,
        .writer = stream->writer,
        .poll_usec = Cs_POLL_FAST_USEC,
        .ops = &replica_ops,
        .arg = stream,
    };
    if (status == ST_OK) {
        status = Sn_Create(&replica, &stream->replica);
    }
    stream->fast = true;
    stream->age_usec = -1;
    stream->notice_at = -1;
    if (status != ST_OK) {
        Cs_Destroy(stream);
        return status;
    }
    *out = stream;
    return ST_OK;
}

/* The outcome of appends that are still open remains unknown. */
void
Cs_Destroy(struct cs_stream *stream)
{
    if (stream == NULL) {
        return;
    }
    Sn_Destroy(stream->replica);
    Wr_Destroy(stream->writer);
    Sc_Destroy(stream->sections);
    free(stream->snapshot);
    free(stream);
}

/* Polls the stream and sends queued appends, as due. */
void
Cs_Tick(struct cs_stream *stream)
{
    Sn_Tick(stream->replica);
    stream->complete =
        stream->complete || Sn_Phase(stream->replica) == SN_READY;
    Wr_Tick(stream->writer);
}

/* Polls the stream at once, when a new record is likely. */
void
Cs_Kick(struct cs_stream *stream)
{
    Sn_ReadNow(stream->replica);
}

/* Polls the stream at once, as a peer has read it up to this offset. */
void
Cs_HandleNotice(struct cs_stream *stream, uint64_t offset)
{
    if (offset > Sc_Offset(stream->sections)) {
        stream->notice_offset = offset;
        if (stream->notice_at < 0) {
            stream->notice_at = Ck_Now(stream->options.gate->clock);
        }
    }
    Cs_Kick(stream);
}

/*
 * Sets whether this daemon polls the stream at short intervals.  A few daemons
 * in each data centre do; the others poll rarely, and at once when gossip
 * announces a change.  With 420 daemons polling four times a second, the log
 * would get 1,680 reads a second.
 */
void
Cs_SetFastPolling(struct cs_stream *stream, bool fast)
{
    if (fast != stream->fast) {
        stream->fast = fast;
        Sn_SetPoll(stream->replica,
                   fast ? Cs_POLL_FAST_USEC : Cs_POLL_SLOW_USEC);
    }
}

/* Sets whether this daemon writes the snapshots of the stream. */
void
Cs_SetSnapshotWriter(struct cs_stream *stream, bool writing)
{
    Sn_EnableSnapshots(stream->replica, writing);
}

/*
 * Installs the configuration of a peer, when this daemon cannot read the log
 * or the log no longer holds the records it needs.  A configuration older than
 * this daemon's is ignored, so that a peer restarted with old state cannot
 * roll this daemon back.
 */
enum st_status
Cs_Import(struct cs_stream *stream, const char *state, size_t len)
{
    json_t *root = json_loadb(state, len, 0, NULL);
    if (root == NULL) {
        return St_Fail(ST_INVALID, "a peer sent a configuration that is "
                                   "not valid JSON");
    }
    stream->importing = true;
    enum st_status status = Sn_Import(stream->replica, root);
    stream->importing = false;
    if (status == ST_OK && !json_is_true(json_object_get(root, "partial"))) {
        stream->complete = true;
    }
    json_decref(root);
    return status;
}

/* The sections, as of the last record applied. */
const struct sc_state *
Cs_State(const struct cs_stream *stream)
{
    return stream->sections;
}

struct wr_writer *
Cs_Writer(struct cs_stream *stream)
{
    return stream->writer;
}

int64_t
Cs_ReadAge(const struct cs_stream *stream)
{
    int64_t requested_at;
    if (!Sn_AtTail(stream->replica, &requested_at)) {
        return -1;
    }
    return Ck_Now(stream->options.gate->clock) - requested_at;
}

/* Whether this daemon has read the log to its end recently. */
bool
Cs_IsLogReachable(const struct cs_stream *stream)
{
    int64_t age = Cs_ReadAge(stream);
    return age >= 0 && age < Cs_REACHABLE_USEC;
}

/*
 * Whether the stream was ever read to its end here, or a complete
 * configuration was imported from a peer.  A single read may return only the
 * first of the records; the configuration is outdated until the last is read.
 */
bool
Cs_IsComplete(const struct cs_stream *stream)
{
    return stream->complete;
}

/*
 * The configuration for a peer, as JSON text to be freed; NULL before it is
 * known.  A peer may continue reading from a partial one, but must not serve
 * requests with it.
 */
char *
Cs_Export(const struct cs_stream *stream)
{
    json_t *state = Sn_Export(stream->replica);
    if (state != NULL && !stream->complete) {
        json_object_set_new(state, "partial", json_true());
    }
    char *text = state != NULL ? json_dumps(state, JSON_COMPACT) : NULL;
    json_decref(state);
    return text;
}
