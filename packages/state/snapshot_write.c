/*
 * Writes snapshots.  The entries of a part are converted to text as soon as
 * the part is full, since a state held as JSON objects takes several times the
 * memory.
 */
#include <stdlib.h>

#include "state/snapshot_internal.h"

/*
 * Size limits of a part: its entries and its writers.  The entry that exceeds
 * the limit is still added (a claim with its kept body has less than 12 KiB).
 * With quotes escaped and the longest names, a part stays below 60 KiB.
 */
#define Sn_PART_BYTES ((size_t)24 << 10)
#define Sn_PART_WRITERS ((size_t)100)

struct builder {
    json_t *part; /* entries of the part that is being filled */
    size_t bytes;
    size_t count;
    char *texts[Sn_PARTS_MAX]; /* complete parts */
};

static void
finish_part(struct builder *builder)
{
    if (builder->count < Sn_PARTS_MAX) {
        builder->texts[builder->count] =
            json_dumps(builder->part, JSON_COMPACT);
        builder->count++;
    }
    json_array_clear(builder->part);
    builder->bytes = 0;
}

static void
add_entry(void *arg, json_t *entry)
{
    struct builder *builder = arg;
    builder->bytes += json_dumpb(entry, NULL, 0, JSON_COMPACT) + 1;
    json_array_append_new(builder->part, entry);
    if (builder->bytes >= Sn_PART_BYTES) {
        finish_part(builder);
    }
}

static void
build_parts(const struct sn_replica *replica, struct builder *builder)
{
    if (replica->ops->each != NULL) {
        replica->ops->each(replica->arg, add_entry, builder);
    }
    else {
        json_t *entries = replica->ops->save(replica->arg);
        size_t i;
        json_t *entry;
        json_array_foreach (entries, i, entry) {
            add_entry(builder, json_incref(entry));
        }
        json_decref(entries);
    }
    finish_part(builder);
}

static void
part_written(void *arg, enum wr_result result, uint64_t sequence)
{
    struct sn_replica *replica = arg;
    replica->parts_unwritten--;
}

/* Queues one part; takes ownership of "seen". */
static void
put_part(struct sn_replica *replica, json_t *seen, const char *entries,
         size_t part, size_t parts)
{
    json_int_t covers = (json_int_t)(Sn_Next(replica) - 1);
    json_t *body =
        json_pack("{s:I, s:I, s:I, s:I, s:o, s:s}", "id", covers, "part",
                  (json_int_t)part, "parts", (json_int_t)parts, "covers",
                  covers, "seen", seen, "z", entries);
    replica->parts_unwritten++;
    if (Wr_Put(replica->writer, BG_SNAPSHOT, Sn_KIND, body, 0, part_written,
               replica) != ST_OK) {
        replica->parts_unwritten--;
    }
}

/* Returns up to "count" writers of a list, starting at index "from". */
static json_t *
slice_writers(const json_t *list, size_t from, size_t count)
{
    json_t *part = json_array();
    for (size_t i = from; i < from + count && i < json_array_size(list); i++) {
        json_array_append(part, json_array_get(list, i));
    }
    return part;
}

static void
put_parts(struct sn_replica *replica, const struct builder *builder)
{
    json_t *seen = Se_Save(replica->sequences);
    size_t parts =
        (json_array_size(seen) + Sn_PART_WRITERS - 1) / Sn_PART_WRITERS;
    if (parts < builder->count) {
        parts = builder->count;
    }
    for (size_t i = 0; i < parts; i++) {
        put_part(replica,
                 slice_writers(seen, i * Sn_PART_WRITERS, Sn_PART_WRITERS),
                 i < builder->count ? builder->texts[i] : "[]", i, parts);
    }
    json_decref(seen);
}

/* Whether the parts hold the complete state. */
static bool
is_complete(const struct builder *builder)
{
    for (size_t i = 0; i < builder->count; i++) {
        if (builder->texts[i] == NULL) {
            return false;
        }
    }
    return builder->count < Sn_PARTS_MAX;
}

/*
 * Writes a snapshot of the current state through the replica's writer.
 * Returns ST_UNAVAILABLE while the state is not known or the previous snapshot
 * is still being written, and ST_OVERLOAD for a state of more than 4096 parts,
 * since a truncated snapshot would lose the remaining entries.
 */
enum st_status
Sn_Write(struct sn_replica *replica)
{
    if (!replica->tail_reached || replica->parts_unwritten > 0) {
        return St_Fail(ST_UNAVAILABLE, "no snapshot now; try again later");
    }
    struct builder *builder = calloc(1, sizeof(*builder));
    if (builder == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a snapshot");
    }
    enum st_status status = ST_OK;
    builder->part = json_array();
    build_parts(replica, builder);
    if (is_complete(builder)) {
        put_parts(replica, builder);
    }
    else {
        status = St_Fail(ST_OVERLOAD, "the state is too large for a "
                                      "snapshot; lower its bounds");
    }
    for (size_t i = 0; i < builder->count; i++) {
        free(builder->texts[i]);
    }
    json_decref(builder->part);
    free(builder);
    replica->snapshot_at = Ck_Now(replica->clock);
    return status;
}

bool
Sn_Due(const struct sn_replica *replica)
{
    if (!replica->writing || !replica->tail_reached ||
        replica->parts_unwritten > 0 || Sn_Next(replica) == Pl_FIRST_OFFSET) {
        return false;
    }
    return replica->applied_records >= replica->snapshot_records ||
           Ck_Now(replica->clock) - replica->snapshot_at >=
               replica->snapshot_usec;
}
