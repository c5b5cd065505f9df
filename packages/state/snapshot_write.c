/*
 * Writing snapshots.  A part's entries are turned into text as soon as the
 * part is full: as objects a state takes several times the memory.
 */
#include <stdlib.h>

#include "state/snapshot_internal.h"

/*
 * A part's entries and writers.  With the last entry added whole (a claim
 * with its kept body has less than 12 KiB), quotes escaped and the longest
 * names, a part stays below 60 KiB.
 */
#define Sn_PART_BYTES ((size_t)24 << 10)
#define Sn_PART_WRITERS ((size_t)100)

struct cutter {
    json_t *part; /* entries of the part being filled */
    size_t bytes;
    size_t count;
    char *texts[Sn_PARTS_MAX]; /* parts that are full */
};

static void
cut(struct cutter *cutter)
{
    if (cutter->count < Sn_PARTS_MAX) {
        cutter->texts[cutter->count] = json_dumps(cutter->part, JSON_COMPACT);
        cutter->count++;
    }
    json_array_clear(cutter->part);
    cutter->bytes = 0;
}

static void
add_entry(void *arg, json_t *entry)
{
    struct cutter *cutter = arg;
    cutter->bytes += json_dumpb(entry, NULL, 0, JSON_COMPACT) + 1;
    json_array_append_new(cutter->part, entry);
    if (cutter->bytes >= Sn_PART_BYTES) {
        cut(cutter);
    }
}

static void
cut_state(const struct sn_replica *replica, struct cutter *cutter)
{
    if (replica->ops->each != NULL) {
        replica->ops->each(replica->arg, add_entry, cutter);
    }
    else {
        json_t *entries = replica->ops->save(replica->arg);
        size_t i;
        json_t *entry;
        json_array_foreach (entries, i, entry) {
            add_entry(cutter, json_incref(entry));
        }
        json_decref(entries);
    }
    cut(cutter);
}

static void
part_written(void *arg, enum wr_result result, uint64_t sequence)
{
    struct sn_replica *replica = arg;
    replica->unwritten--;
}

/* Queues one part; takes "seen" over. */
static void
put_part(struct sn_replica *replica, json_t *seen, const char *entries,
         size_t part, size_t parts)
{
    json_int_t covers = (json_int_t)(Sn_Next(replica) - 1);
    json_t *body =
        json_pack("{s:I, s:I, s:I, s:I, s:o, s:s}", "id", covers, "part",
                  (json_int_t)part, "parts", (json_int_t)parts, "covers",
                  covers, "seen", seen, "z", entries);
    replica->unwritten++;
    if (Wr_Put(replica->writer, BG_EVIDENCE, Sn_KIND, body, 0, part_written,
               replica) != ST_OK) {
        replica->unwritten--;
    }
}

/* At most "count" of the writers in a list, from "from" on. */
static json_t *
slice(const json_t *list, size_t from, size_t count)
{
    json_t *part = json_array();
    for (size_t i = from; i < from + count && i < json_array_size(list); i++) {
        json_array_append(part, json_array_get(list, i));
    }
    return part;
}

static void
put_parts(struct sn_replica *replica, const struct cutter *cutter)
{
    json_t *seen = Se_Save(replica->seen);
    size_t parts =
        (json_array_size(seen) + Sn_PART_WRITERS - 1) / Sn_PART_WRITERS;
    if (parts < cutter->count) {
        parts = cutter->count;
    }
    for (size_t i = 0; i < parts; i++) {
        put_part(replica, slice(seen, i * Sn_PART_WRITERS, Sn_PART_WRITERS),
                 i < cutter->count ? cutter->texts[i] : "[]", i, parts);
    }
    json_decref(seen);
}

/* Whether everything was cut. */
static bool
whole(const struct cutter *cutter)
{
    for (size_t i = 0; i < cutter->count; i++) {
        if (cutter->texts[i] == NULL) {
            return false;
        }
    }
    return cutter->count < Sn_PARTS_MAX;
}

/*
 * Writes a snapshot of the present state through the replica's writer.
 * ST_UNAVAILABLE while the state is not known or the last one is still being
 * written; ST_OVERLOAD for a state beyond 4096 parts, since one that was cut
 * short would lose the rest.
 */
enum st_status
Sn_Write(struct sn_replica *replica)
{
    if (!replica->reached || replica->unwritten > 0) {
        return St_Fail(ST_UNAVAILABLE, "no snapshot now; try again later");
    }
    struct cutter *cutter = calloc(1, sizeof(*cutter));
    if (cutter == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a snapshot");
    }
    enum st_status status = ST_OK;
    cutter->part = json_array();
    cut_state(replica, cutter);
    if (whole(cutter)) {
        put_parts(replica, cutter);
    }
    else {
        status = St_Fail(ST_OVERLOAD, "the state is too large for a "
                                      "snapshot; lower its bounds");
    }
    for (size_t i = 0; i < cutter->count; i++) {
        free(cutter->texts[i]);
    }
    json_decref(cutter->part);
    free(cutter);
    replica->last_at = Ck_Now(replica->clock);
    return status;
}

/* Whether it is time for a snapshot. */
bool
Sn_Due(const struct sn_replica *replica)
{
    if (!replica->writing || !replica->reached || replica->unwritten > 0 ||
        Sn_Next(replica) == Pl_FIRST_OFFSET) {
        return false;
    }
    return replica->applied >= replica->snapshot_records ||
           Ck_Now(replica->clock) - replica->last_at >= replica->snapshot_usec;
}
