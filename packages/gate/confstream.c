#include "gate/confstream.h"

#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/events.h"
#include "state/snapshot.h"

#define Cs_POLL (250 * Ck_USEC_PER_MSEC)
/* A tail seen longer ago than this says nothing about the log's state now. */
#define Cs_FRESH (12 * Ck_USEC_PER_SEC)
/* A piece of the sections' snapshot that fits one record of the log. */
#define Cs_PIECE_BYTES ((size_t)24 << 10)

struct cs_stream {
    struct cs_options options;
    struct sc_state *sections;
    struct wr_writer *writer;
    struct sn_replica *replica;
    bool fast;
    bool whole; /* the end of the stream, or a peer's state, was reached */
    int64_t word_at; /* of a change that is not read yet; -1: none came */
    uint64_t word_offset;
    int64_t age;    /* of the record being applied; -1: not known */
    bool importing; /* a peer's state */
    char *gathered; /* pieces of a snapshot being loaded */
    size_t gathered_len;
};

static void
put_in_force(struct cs_stream *stream)
{
    struct cf_config *config = Sc_Config(stream->sections);
    bool heard = stream->word_at >= 0;
    const struct gt_origin origin = {
        .by = stream->importing ? "peer" : (heard ? "word" : "read"),
        .age_usec = stream->age,
        .word_usec =
            heard ? Ck_Now(stream->options.gate->clock) - stream->word_at : -1,
        .unread_usec = Cs_ReadAge(stream),
    };
    if (config->offset > 0) {
        Gt_SetConfig(stream->options.gate, config, &origin);
    }
    if (Sc_Offset(stream->sections) >= stream->word_offset) {
        stream->word_at = -1;
    }
    stream->options.applied(stream->options.arg, Sc_Offset(stream->sections));
}

/* By the writer's calendar; -1 for a record that does not tell the time. */
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
    /* The replica hands over every record but its own snapshots. */
    Sc_Pass(stream->sections, record->offset - 1);
    char *body = json_dumps(record->body, JSON_COMPACT);
    if (body == NULL ||
        Sc_Apply(stream->sections, record->offset, body) != ST_OK) {
        Sc_Pass(stream->sections, record->offset);
    }
    free(body);
    stream->age = age_of(stream, record);
    put_in_force(stream);
    stream->age = -1;
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
    stream->gathered_len = 0;
}

static json_t *
save(void *arg)
{
    struct cs_stream *stream = arg;
    char *text = Sc_Snapshot(stream->sections);
    size_t len = text != NULL ? strlen(text) : 0;
    json_t *pieces = json_array();
    for (size_t at = 0; at < len; at += Cs_PIECE_BYTES) {
        size_t n = len - at < Cs_PIECE_BYTES ? len - at : Cs_PIECE_BYTES;
        json_t *piece = json_pack("{s:I,s:o}", "total", (json_int_t)len,
                                  "text", json_stringn_nocheck(text + at, n));
        json_array_append_new(pieces, piece);
    }
    free(text);
    return pieces;
}

static void
load(void *arg, const json_t *entry)
{
    struct cs_stream *stream = arg;
    const json_t *piece = json_object_get(entry, "text");
    size_t len = json_string_length(piece);
    size_t total = (size_t)json_integer_value(json_object_get(entry, "total"));
    char *grown = realloc(stream->gathered, stream->gathered_len + len + 1);
    if (grown == NULL) {
        abort();
    }
    memcpy(grown + stream->gathered_len, json_string_value(piece), len);
    stream->gathered = grown;
    stream->gathered_len += len;
    grown[stream->gathered_len] = '\0';
    if (stream->gathered_len < total) {
        return;
    }
    stream->gathered_len = 0;
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

/* Starts to follow the stream from its first record or a snapshot. */
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
        .poll_usec = Cs_POLL,
        .ops = &replica_ops,
        .arg = stream,
    };
    if (status == ST_OK) {
        status = Sn_Create(&replica, &stream->replica);
    }
    stream->fast = true;
    stream->age = -1;
    stream->word_at = -1;
    if (status != ST_OK) {
        Cs_Destroy(stream);
        return status;
    }
    *out = stream;
    return ST_OK;
}

/* Stops following; records not yet settled are left as unknown. */
void
Cs_Destroy(struct cs_stream *stream)
{
    if (stream == NULL) {
        return;
    }
    Sn_Destroy(stream->replica);
    Wr_Destroy(stream->writer);
    Sc_Destroy(stream->sections);
    free(stream->gathered);
    free(stream);
}

/* Does what is due: polls and appends. */
void
Cs_Tick(struct cs_stream *stream)
{
    Sn_Tick(stream->replica);
    stream->whole = stream->whole || Sn_Phase(stream->replica) == SN_READY;
    Wr_Tick(stream->writer);
}

/* Reads at once: there is reason to believe that something is new. */
void
Cs_Kick(struct cs_stream *stream)
{
    Sn_Kick(stream->replica);
}

/* Reads at once, since others have read up to this offset. */
void
Cs_Word(struct cs_stream *stream, uint64_t offset)
{
    if (offset > Sc_Offset(stream->sections)) {
        stream->word_offset = offset;
        if (stream->word_at < 0) {
            stream->word_at = Ck_Now(stream->options.gate->clock);
        }
    }
    Cs_Kick(stream);
}

/*
 * Whether this daemon reads the stream at short intervals.  A few do in each
 * data centre; the others read on their word, and else seldom: 420 daemons
 * at four reads a second would ask the log 1,680 times a second.
 */
void
Cs_SetFast(struct cs_stream *stream, bool fast)
{
    if (fast != stream->fast) {
        stream->fast = fast;
        Sn_SetPoll(stream->replica, fast ? Cs_POLL : Cs_POLL_SLOW);
    }
}

/* Whether this daemon is the one that writes the stream's snapshots. */
void
Cs_SetWriting(struct cs_stream *stream, bool writing)
{
    Sn_SetWriting(stream->replica, writing);
}

/*
 * Takes over the state of a peer, when this daemon cannot read the log or
 * the log no longer holds what it needs.  An older state has no effect, so
 * that a peer restarted with old state never turns this daemon back.
 */
enum st_status
Cs_Import(struct cs_stream *stream, const char *state, size_t len)
{
    json_t *root = json_loadb(state, len, 0, NULL);
    if (root == NULL) {
        return St_Fail(ST_INVALID, "a daemon sent a configuration that is "
                                   "no JSON");
    }
    stream->importing = true;
    enum st_status status = Sn_Import(stream->replica, root);
    stream->importing = false;
    if (status == ST_OK && !json_is_true(json_object_get(root, "partial"))) {
        stream->whole = true;
    }
    json_decref(root);
    return status;
}

/* The sections as far as they have been read. */
const struct sc_state *
Cs_State(const struct cs_stream *stream)
{
    return stream->sections;
}

/* The writer of this daemon on the stream. */
struct wr_writer *
Cs_Writer(struct cs_stream *stream)
{
    return stream->writer;
}

/* How long ago the log was asked, in the last read that came to its end. */
int64_t
Cs_ReadAge(const struct cs_stream *stream)
{
    int64_t asked;
    if (!Sn_AtTail(stream->replica, &asked)) {
        return -1;
    }
    return Ck_Now(stream->options.gate->clock) - asked;
}

/* True while this daemon can read the log to its end. */
bool
Cs_Reading(const struct cs_stream *stream)
{
    int64_t age = Cs_ReadAge(stream);
    return age >= 0 && age < Cs_FRESH;
}

/*
 * Whether all of the stream was ever known here, by the log or by a peer.
 * One answer of the log may end before the last record; a configuration from
 * the midst of the stream is an old one.
 */
bool
Cs_Whole(const struct cs_stream *stream)
{
    return stream->whole;
}

/*
 * The state for a peer, as JSON text to be freed; NULL before it is known.
 * A peer may go on from one that is partial, not serve by it.
 */
char *
Cs_Export(const struct cs_stream *stream)
{
    json_t *state = Sn_Export(stream->replica);
    if (state != NULL && !stream->whole) {
        json_object_set_new(state, "partial", json_true());
    }
    char *text = state != NULL ? json_dumps(state, JSON_COMPACT) : NULL;
    json_decref(state);
    return text;
}
