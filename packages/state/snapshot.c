#include "state/snapshot.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "state/events.h"
#include "state/snapshot_internal.h"

#define Sn_SNAPSHOT_USEC (600 * Ck_USEC_PER_SEC)
#define Sn_SNAPSHOT_RECORDS 20000

static void
set_free(struct sn_replica *replica, struct sn_set *set)
{
    TAILQ_REMOVE(&replica->sets, set, link);
    for (size_t i = 0; i < set->parts; i++) {
        json_decref(set->bodies[i]);
    }
    free((void *)set->bodies);
    free(set);
}

static void
forget_sets(struct sn_replica *replica)
{
    struct sn_set *set;
    struct sn_set *next;
    TAILQ_FOREACH_SAFE (set, &replica->sets, link, next) {
        set_free(replica, set);
    }
}

static void
forget_kept(struct sn_replica *replica)
{
    struct sn_kept *kept;
    struct sn_kept *next;
    TAILQ_FOREACH_SAFE (kept, &replica->kept, link, next) {
        Rc_Clear(&kept->record);
        free(kept);
    }
    TAILQ_INIT(&replica->kept);
}

static struct sn_set *
find_set(struct sn_replica *replica, const struct rc_record *record)
{
    struct sn_set *set;
    TAILQ_FOREACH (set, &replica->sets, link) {
        if (Rc_CompareWriters(&set->writer, &record->writer) == 0 &&
            set->id == Rc_Number(record->body, "id")) {
            return set;
        }
    }
    return NULL;
}

static struct sn_set *
add_set(struct sn_replica *replica, const struct rc_record *record)
{
    int64_t parts = Rc_Number(record->body, "parts");
    if (parts < 1 || parts > Sn_PARTS_MAX) {
        return NULL;
    }
    struct sn_set *set = calloc(1, sizeof(*set));
    if (set == NULL) {
        return NULL;
    }
    set->bodies = (json_t **)calloc((size_t)parts, sizeof(json_t *));
    if (set->bodies == NULL) {
        free(set);
        return NULL;
    }
    set->writer = record->writer;
    set->id = Rc_Number(record->body, "id");
    set->covers = (uint64_t)Rc_Number(record->body, "covers");
    set->parts = (size_t)parts;
    TAILQ_INSERT_TAIL(&replica->sets, set, link);
    return set;
}

/* Notes one part.  Returns its set when that is whole now. */
static struct sn_set *
take_part(struct sn_replica *replica, const struct rc_record *record)
{
    struct sn_set *set = find_set(replica, record);
    if (set == NULL) {
        set = add_set(replica, record);
    }
    int64_t part = Rc_Number(record->body, "part");
    if (set == NULL || part < 0 || (size_t)part >= set->parts ||
        set->bodies[part] != NULL) {
        return NULL;
    }
    set->bodies[part] = json_incref(record->body);
    set->have++;
    return set->have == set->parts ? set : NULL;
}

/* The entries of one part, as text in a snapshot, as a list from a peer. */
static void
load_entries(struct sn_replica *replica, const json_t *body)
{
    size_t i;
    json_t *entry;
    json_array_foreach (json_object_get(body, "seen"), i, entry) {
        Se_Load(replica->seen, entry);
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
    if (Se_Accept(replica->seen, record) && !Rc_Is(record, Sn_KIND)) {
        replica->applied++;
        replica->ops->apply(replica->arg, record);
    }
}

static void
replay(struct sn_replica *replica, uint64_t after)
{
    struct sn_kept *kept;
    TAILQ_FOREACH (kept, &replica->kept, link) {
        if (kept->record.offset > after) {
            apply(replica, &kept->record);
        }
    }
    forget_kept(replica);
}

static void
begin_valid(struct sn_replica *replica)
{
    replica->valid = true;
    replica->tail_empty = false;
}

static void
load_set(struct sn_replica *replica, const struct sn_set *set)
{
    replica->ops->reset(replica->arg);
    Se_Reset(replica->seen);
    for (size_t i = 0; i < set->parts; i++) {
        load_entries(replica, set->bodies[i]);
    }
    begin_valid(replica);
    replay(replica, set->covers);
}

static void
keep(struct sn_replica *replica, const struct rc_record *record)
{
    struct sn_kept *kept = calloc(1, sizeof(*kept));
    if (kept == NULL) {
        abort(); /* a state without this record would judge unlike others */
    }
    kept->record = *record;
    json_incref(kept->record.body);
    TAILQ_INSERT_TAIL(&replica->kept, kept, link);
}

static void
note_whole(struct sn_replica *replica, uint64_t covers)
{
    if (covers > replica->last_covers) {
        replica->last_covers = covers;
        replica->applied = 0;
        replica->last_at = Ck_Now(replica->clock);
    }
}

/* A replica that knows its state only notes that a snapshot was completed;
 * the parts of one are written in order. */
static void
note_part(struct sn_replica *replica, const struct rc_record *record)
{
    if (Rc_Number(record->body, "part") + 1 ==
        Rc_Number(record->body, "parts")) {
        note_whole(replica, (uint64_t)Rc_Number(record->body, "covers"));
    }
}

static void
load_part(struct sn_replica *replica, const struct rc_record *record)
{
    struct sn_set *set = take_part(replica, record);
    if (set == NULL) {
        return;
    }
    note_whole(replica, set->covers);
    /*
     * A snapshot that ends below the first record read leaves a gap of
     * records that nobody can read any longer: it cannot be used.
     */
    if (set->covers + 1 >= replica->begin) {
        load_set(replica, set);
        forget_sets(replica);
    }
    else {
        set_free(replica, set);
    }
}

static void
on_record(void *arg, const struct rc_record *record)
{
    struct sn_replica *replica = arg;
    if (!replica->valid && replica->begin == Pl_FIRST_OFFSET) {
        begin_valid(replica);
    }
    if (replica->valid) {
        apply(replica, record);
    }
    else {
        keep(replica, record);
    }
    if (Rc_Is(record, Sn_KIND)) {
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
    if (!replica->valid && replica->begin == Pl_FIRST_OFFSET) {
        begin_valid(replica);
    }
    if (!replica->valid && !replica->tail_empty) {
        Ev_Log(&STATE_HOLE, "stream=%s from=%llu", replica->stream,
               (unsigned long long)replica->begin);
    }
    replica->reached = replica->valid;
    replica->tail_empty = !replica->valid;
}

/* The state is not known any longer; begin again at the oldest record. */
static void
on_expired(void *arg, uint64_t oldest)
{
    struct sn_replica *replica = arg;
    if (replica->valid) {
        Ev_Log(&STATE_BEHIND, "stream=%s oldest=%llu", replica->stream,
               (unsigned long long)oldest);
    }
    replica->valid = false;
    replica->reached = false;
    replica->begin = oldest;
    forget_kept(replica);
    forget_sets(replica);
    Fo_Restart(replica->follower, oldest);
}

static const struct fo_ops follower_ops = {
    .record = on_record,
    .tail = on_tail,
    .expired = on_expired,
};

/* Makes a replica that reads its stream from the first offset on. */
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
    replica->begin = Pl_FIRST_OFFSET;
    replica->last_at = Ck_Now(options->clock);
    TAILQ_INIT(&replica->kept);
    TAILQ_INIT(&replica->sets);
    replica->seen = Se_Create(Se_WRITERS);
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
    if (status != ST_OK || replica->seen == NULL) {
        Sn_Destroy(replica);
        return status != ST_OK ? status : St_Fail(ST_NO_MEMORY, "no memory");
    }
    *out = replica;
    return ST_OK;
}

/* Stops following.  The writer must be destroyed before. */
void
Sn_Destroy(struct sn_replica *replica)
{
    if (replica == NULL) {
        return;
    }
    forget_kept(replica);
    forget_sets(replica);
    Fo_Destroy(replica->follower);
    Se_Destroy(replica->seen);
    free(replica);
}

/* Reads and writes what is due.  The writer has a tick of its own. */
void
Sn_Tick(struct sn_replica *replica)
{
    Fo_Tick(replica->follower);
    if (Sn_Due(replica)) {
        Sn_Write(replica);
    }
}

/* Reads now. */
void
Sn_Kick(struct sn_replica *replica)
{
    Fo_Kick(replica->follower);
}

/* Changes the time between reads at the tail, in microseconds. */
void
Sn_SetPoll(struct sn_replica *replica, int64_t poll_usec)
{
    Fo_SetPoll(replica->follower, poll_usec);
}

/* Whether this replica writes snapshots; one of them should. */
void
Sn_SetWriting(struct sn_replica *replica, bool writing)
{
    replica->writing = writing;
}

/*
 * Takes over a peer's state made by Sn_Export().  One that covers no more than
 * this replica has read is refused: a peer that was restarted with an old
 * state must not turn it back.  A later one is taken also by a replica that
 * knows its state, since its own way to the log may be cut.
 */
enum st_status
Sn_Import(struct sn_replica *replica, const json_t *state)
{
    uint64_t covers = (uint64_t)Rc_Number(state, "covers");
    bool older = replica->valid && covers < Fo_Next(replica->follower);
    if (older || covers + 1 < replica->begin) {
        return St_Fail(ST_CONFLICT,
                       "the state of a peer ends at offset %llu, "
                       "which is too old; ask another one",
                       (unsigned long long)covers);
    }
    replica->ops->reset(replica->arg);
    Se_Reset(replica->seen);
    load_entries(replica, state);
    begin_valid(replica);
    replay(replica, covers);
    Fo_Restart(replica->follower, covers + 1);
    return ST_OK;
}

/* What the replica knows about its state. */
enum sn_phase
Sn_Phase(const struct sn_replica *replica)
{
    if (replica->reached) {
        return SN_READY;
    }
    return replica->tail_empty ? SN_HOLE : SN_LOADING;
}

/* The offset that will be applied next. */
uint64_t
Sn_Next(const struct sn_replica *replica)
{
    return Fo_Next(replica->follower);
}

/* As Fo_AtTail(), for a known state. */
bool
Sn_AtTail(const struct sn_replica *replica, int64_t *asked)
{
    return Fo_AtTail(replica->follower, asked) && replica->reached;
}

/* The state for a peer's Sn_Import(); NULL while it is not known. */
json_t *
Sn_Export(const struct sn_replica *replica)
{
    if (!replica->valid) {
        return NULL;
    }
    return json_pack(
        "{s:I, s:o, s:o}", "covers", (json_int_t)(Sn_Next(replica) - 1),
        "seen", Se_Save(replica->seen), "e", replica->ops->save(replica->arg));
}
