#include "state/snapshot.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "state/events.h"
#include "state/snapshot_internal.h"

#define Sn_SNAPSHOT_USEC (600 * Ck_USEC_PER_SEC)
#define Sn_SNAPSHOT_RECORDS 20000

static void
partial_free(struct sn_replica *replica, struct sn_partial *partial)
{
    TAILQ_REMOVE(&replica->partials, partial, link);
    for (size_t i = 0; i < partial->parts; i++) {
        json_decref(partial->bodies[i]);
    }
    free((void *)partial->bodies);
    free(partial);
}

static void
discard_partials(struct sn_replica *replica)
{
    struct sn_partial *partial;
    struct sn_partial *next;
    TAILQ_FOREACH_SAFE (partial, &replica->partials, link, next) {
        partial_free(replica, partial);
    }
}

static void
discard_buffered(struct sn_replica *replica)
{
    struct sn_buffered *buffered;
    struct sn_buffered *next;
    TAILQ_FOREACH_SAFE (buffered, &replica->buffered, link, next) {
        Rc_Clear(&buffered->record);
        free(buffered);
    }
    TAILQ_INIT(&replica->buffered);
}

static struct sn_partial *
find_partial(struct sn_replica *replica, const struct rc_record *record)
{
    struct sn_partial *partial;
    TAILQ_FOREACH (partial, &replica->partials, link) {
        if (Rc_CompareWriters(&partial->writer, &record->writer) == 0 &&
            partial->id == Rc_Number(record->body, "id")) {
            return partial;
        }
    }
    return NULL;
}

static struct sn_partial *
add_partial(struct sn_replica *replica, const struct rc_record *record)
{
    int64_t parts = Rc_Number(record->body, "parts");
    if (parts < 1 || parts > Sn_PARTS_MAX) {
        return NULL;
    }
    struct sn_partial *partial = calloc(1, sizeof(*partial));
    if (partial == NULL) {
        return NULL;
    }
    partial->bodies = (json_t **)calloc((size_t)parts, sizeof(json_t *));
    if (partial->bodies == NULL) {
        free(partial);
        return NULL;
    }
    partial->writer = record->writer;
    partial->id = Rc_Number(record->body, "id");
    partial->covers = (uint64_t)Rc_Number(record->body, "covers");
    partial->parts = (size_t)parts;
    TAILQ_INSERT_TAIL(&replica->partials, partial, link);
    return partial;
}

/*
 * Adds one part of a snapshot.  Returns the snapshot if that was its last
 * missing part, otherwise NULL.
 */
static struct sn_partial *
add_part(struct sn_replica *replica, const struct rc_record *record)
{
    struct sn_partial *partial = find_partial(replica, record);
    if (partial == NULL) {
        partial = add_partial(replica, record);
    }
    int64_t part = Rc_Number(record->body, "part");
    if (partial == NULL || part < 0 || (size_t)part >= partial->parts ||
        partial->bodies[part] != NULL) {
        return NULL;
    }
    partial->bodies[part] = json_incref(record->body);
    partial->parts_read++;
    return partial->parts_read == partial->parts ? partial : NULL;
}

/*
 * Loads the entries of one part: a snapshot has them as text, a peer's state
 * as a list.
 */
static void
load_entries(struct sn_replica *replica, const json_t *body)
{
    size_t i;
    json_t *entry;
    json_array_foreach (json_object_get(body, "seen"), i, entry) {
        Se_Load(replica->sequences, entry);
    }
    json_t *entries = json_loads(Rc_Text(body, "z"), 0, NULL);
    json_array_foreach (entries, i, entry) {
        replica->ops->load(replica->arg, entry);
    }
    json_decref(entries);
    json_array_foreach (json_object_get(body, "e"), i, entry) {
        replica->ops->load(replica->arg, entry);
    }
}

static void
apply(struct sn_replica *replica, const struct rc_record *record)
{
    if (Se_Accept(replica->sequences, record) && !Rc_IsKind(record, Sn_KIND)) {
        replica->applied_records++;
        replica->ops->apply(replica->arg, record);
    }
}

static void
replay(struct sn_replica *replica, uint64_t after)
{
    struct sn_buffered *buffered;
    TAILQ_FOREACH (buffered, &replica->buffered, link) {
        if (buffered->record.offset > after) {
            apply(replica, &buffered->record);
        }
    }
    discard_buffered(replica);
}

static void
mark_valid(struct sn_replica *replica)
{
    replica->valid = true;
    replica->no_snapshot = false;
}

static void
load_snapshot(struct sn_replica *replica, const struct sn_partial *partial)
{
    replica->ops->reset(replica->arg);
    Se_Reset(replica->sequences);
    for (size_t i = 0; i < partial->parts; i++) {
        load_entries(replica, partial->bodies[i]);
    }
    mark_valid(replica);
    replay(replica, partial->covers);
}

static void
buffer_record(struct sn_replica *replica, const struct rc_record *record)
{
    struct sn_buffered *buffered = calloc(1, sizeof(*buffered));
    if (buffered == NULL) {
        abort(); /* the state would diverge from other replicas */
    }
    buffered->record = *record;
    json_incref(buffered->record.body);
    TAILQ_INSERT_TAIL(&replica->buffered, buffered, link);
}

static void
note_complete(struct sn_replica *replica, uint64_t covers)
{
    if (covers > replica->snapshot_covers) {
        replica->snapshot_covers = covers;
        replica->applied_records = 0;
        replica->snapshot_at = Ck_Now(replica->clock);
    }
}

/*
 * Processes a part of a snapshot when the state is known: only notes the end
 * of the snapshot, since its parts are written in order.
 */
static void
note_part(struct sn_replica *replica, const struct rc_record *record)
{
    if (Rc_Number(record->body, "part") + 1 ==
        Rc_Number(record->body, "parts")) {
        note_complete(replica, (uint64_t)Rc_Number(record->body, "covers"));
    }
}

static void
load_part(struct sn_replica *replica, const struct rc_record *record)
{
    struct sn_partial *partial = add_part(replica, record);
    if (partial == NULL) {
        return;
    }
    note_complete(replica, partial->covers);
    /*
     * A snapshot whose covered range ends before the first record read leaves
     * a gap of expired records, so it cannot be used.
     */
    if (partial->covers + 1 >= replica->first_read) {
        load_snapshot(replica, partial);
        discard_partials(replica);
    }
    else {
        partial_free(replica, partial);
    }
}

static void
on_record(void *arg, const struct rc_record *record)
{
    struct sn_replica *replica = arg;
    if (!replica->valid && replica->first_read == Pl_FIRST_OFFSET) {
        mark_valid(replica);
    }
    if (replica->valid) {
        apply(replica, record);
    }
    else {
        buffer_record(replica, record);
    }
    if (Rc_IsKind(record, Sn_KIND)) {
        if (replica->valid) {
            note_part(replica, record);
        }
        else {
            load_part(replica, record);
        }
    }
    if (replica->writer != NULL) {
        Wr_Observe(replica->writer, record);
    }
}

static void
on_tail(void *arg)
{
    struct sn_replica *replica = arg;
    if (!replica->valid && replica->first_read == Pl_FIRST_OFFSET) {
        mark_valid(replica);
    }
    if (!replica->valid && !replica->no_snapshot) {
        Ev_Log(&STATE_HOLE, "stream=%s from=%llu", replica->stream,
               (unsigned long long)replica->first_read);
    }
    replica->tail_reached = replica->valid;
    replica->no_snapshot = !replica->valid;
}

/*
 * Discards the state, which can no longer be continued, and reads again from
 * the oldest record.
 */
static void
on_expired(void *arg, uint64_t oldest)
{
    struct sn_replica *replica = arg;
    if (replica->valid) {
        Ev_Log(&STATE_BEHIND, "stream=%s oldest=%llu", replica->stream,
               (unsigned long long)oldest);
    }
    replica->valid = false;
    replica->tail_reached = false;
    replica->first_read = oldest;
    discard_buffered(replica);
    discard_partials(replica);
    Fo_Restart(replica->follower, oldest);
}

static const struct fo_ops follower_ops = {
    .record = on_record,
    .tail = on_tail,
    .expired = on_expired,
};

/* Creates a replica that reads its stream from the first offset. */
enum st_status
Sn_Create(const struct sn_options *options, struct sn_replica **out)
{
    struct sn_replica *replica = calloc(1, sizeof(*replica));
    if (replica == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a replica");
    }
    strlcpy(replica->stream, options->stream, sizeof(replica->stream));
    replica->clock = options->clock;
    replica->writer = options->writer;
    replica->ops = options->ops;
    replica->arg = options->arg;
    replica->snapshot_usec =
        options->snapshot_usec > 0 ? options->snapshot_usec : Sn_SNAPSHOT_USEC;
    replica->snapshot_records = options->snapshot_records > 0
                                    ? options->snapshot_records
                                    : Sn_SNAPSHOT_RECORDS;
    replica->first_read = Pl_FIRST_OFFSET;
    replica->snapshot_at = Ck_Now(options->clock);
    TAILQ_INIT(&replica->buffered);
    TAILQ_INIT(&replica->partials);
    replica->sequences = Se_Create(Se_WRITERS);
    struct fo_options follow = {
        .log = options->log,
        .stream = options->stream,
        .from = Pl_FIRST_OFFSET,
        .poll_usec = options->poll_usec,
        .clock = options->clock,
        .ops = &follower_ops,
        .arg = replica,
    };
    enum st_status status = Fo_Create(&follow, &replica->follower);
    if (status != ST_OK || replica->sequences == NULL) {
        Sn_Destroy(replica);
        return status != ST_OK ? status : St_Fail(ST_NO_MEMORY, "no memory");
    }
    *out = replica;
    return ST_OK;
}

/* Destroys a replica.  Its writer must be destroyed before. */
void
Sn_Destroy(struct sn_replica *replica)
{
    if (replica == NULL) {
        return;
    }
    discard_buffered(replica);
    discard_partials(replica);
    Fo_Destroy(replica->follower);
    Se_Destroy(replica->sequences);
    free(replica);
}

/*
 * Performs the reads and snapshots that are due.  The writer needs a separate
 * Wr_Tick().
 */
void
Sn_Tick(struct sn_replica *replica)
{
    Fo_Tick(replica->follower);
    if (Sn_Due(replica)) {
        Sn_Write(replica);
    }
}

void
Sn_ReadNow(struct sn_replica *replica)
{
    Fo_ReadNow(replica->follower);
}

/* Changes the interval of reads at the tail, in microseconds. */
void
Sn_SetPoll(struct sn_replica *replica, int64_t poll_usec)
{
    Fo_SetPoll(replica->follower, poll_usec);
}

/*
 * Sets whether this replica writes snapshots; one replica of a stream should.
 */
void
Sn_EnableSnapshots(struct sn_replica *replica, bool writing)
{
    replica->writing = writing;
}

/*
 * Replaces the state by a peer's, made by Sn_Export().  A state that covers no
 * more than this replica has read is refused: a peer that restarted with an
 * old state must not set this replica back.  A later state is accepted even if
 * this replica's state is known, since this host may be cut off from the log.
 */
enum st_status
Sn_Import(struct sn_replica *replica, const json_t *state)
{
    uint64_t covers = (uint64_t)Rc_Number(state, "covers");
    bool older = replica->valid && covers < Fo_Next(replica->follower);
    if (older || covers + 1 < replica->first_read) {
        return St_Fail(ST_CONFLICT,
                       "the state of a peer ends at offset %llu, "
                       "which is too old; ask another one",
                       (unsigned long long)covers);
    }
    replica->ops->reset(replica->arg);
    Se_Reset(replica->sequences);
    load_entries(replica, state);
    mark_valid(replica);
    replay(replica, covers);
    Fo_Restart(replica->follower, covers + 1);
    return ST_OK;
}

enum sn_phase
Sn_Phase(const struct sn_replica *replica)
{
    if (replica->tail_reached) {
        return SN_READY;
    }
    return replica->no_snapshot ? SN_GAP : SN_LOADING;
}

/* Returns the offset of the next record to apply. */
uint64_t
Sn_Next(const struct sn_replica *replica)
{
    return Fo_Next(replica->follower);
}

/* Like Fo_AtTail(), but false while the state is not known. */
bool
Sn_AtTail(const struct sn_replica *replica, int64_t *sent_at)
{
    return Fo_AtTail(replica->follower, sent_at) && replica->tail_reached;
}

/*
 * Returns the state for a peer's Sn_Import(), or NULL while it is not known.
 */
json_t *
Sn_Export(const struct sn_replica *replica)
{
    if (!replica->valid) {
        return NULL;
    }
    return json_pack("{s:I, s:o, s:o}", "covers",
                     (json_int_t)(Sn_Next(replica) - 1), "seen",
                     Se_Save(replica->sequences), "e",
                     replica->ops->save(replica->arg));
}
