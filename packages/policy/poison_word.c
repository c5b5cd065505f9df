/* What hosts tell each other of parts that end endpoints. */
#include "policy/poison_internal.h"

/* A word about an end, or about a part that is accused, is told for so long:
   several words to each other host. */
#define Pz_TOLD_USEC (6 * Ck_USEC_PER_SEC)

static bool
is_lately(int64_t at, int64_t now)
{
    return at != 0 && now - at < Pz_TOLD_USEC;
}

size_t
Pz_TellCrashes(const struct pz_table *table, struct pz_crash *out, size_t most,
               int64_t now)
{
    size_t count = 0;
    const struct pz_row *row;
    TAILQ_FOREACH_REVERSE(row, &table->rows, pz_rows, link)
    {
        if (count == most || !is_lately(row->crash.ended_at, now)) {
            break;
        }
        if (row->own && pz_counts(row, now) &&
            row->crash.ended_at > pz_cleared_at(table, &row->crash.key)) {
            out[count++] = row->crash;
        }
    }
    return count;
}

/* Parts that are accused anywhere, and have begun since. */
size_t
Pz_TellClears(const struct pz_table *table, struct pz_clear *out, size_t most,
              int64_t now)
{
    size_t count = 0;
    for (size_t set = 0; set < Pz_SETS; set++) {
        for (size_t way = 0; way < Pz_WAYS && count < most; way++) {
            const struct pz_seen *seen = &table->seen[set][way];
            if (seen->count > 0 && is_lately(seen->accused_at, now) &&
                seen->at > seen->accused_at) {
                out[count++] = (struct pz_clear){seen->key, seen->at};
            }
        }
    }
    return count;
}

size_t
Pz_TellStops(const struct pz_table *table, struct pz_stop *out, size_t most)
{
    size_t count = table->stop_count < most ? table->stop_count : most;
    for (size_t i = 0; i < count; i++) {
        out[i] = table->stops[table->stop_count - 1 - i];
    }
    return count;
}

static void
note_accused(struct pz_table *table, const struct pz_key *key, int64_t at)
{
    struct pz_seen *seen = pz_find_seen(table, key);
    if (seen != NULL && at > seen->accused_at) {
        seen->accused_at = at;
    }
}

void
Pz_HearCrash(struct pz_table *table, const struct pz_crash *crash)
{
    note_accused(table, &crash->key, crash->ended_at);
    if (pz_cleared_at(table, &crash->key) < crash->ended_at) {
        pz_add_crash(table, crash, false);
    }
}

void
Pz_HearClear(struct pz_table *table, const struct pz_clear *clear)
{
    const struct pz_seen *seen = pz_find_seen(table, &clear->key);
    if (seen != NULL && seen->at >= clear->at) {
        return;
    }
    pz_see(table, &clear->key, 1, clear->at);
    pz_lift_cleared(table, &clear->key);
}

/* One that this host knows better of is answered by the word of that. */
void
Pz_HearStop(struct pz_table *table, const struct pz_stop *stop, int64_t now)
{
    note_accused(table, &stop->key, stop->decided_at);
    if (pz_cleared_at(table, &stop->key) > stop->decided_at) {
        return;
    }
    struct pz_stop *known = pz_find_stop(table, &stop->key);
    if (known != NULL) {
        known->seen_at =
            stop->seen_at > known->seen_at ? stop->seen_at : known->seen_at;
        return;
    }
    if (pz_is_current(stop, now) && pz_add_stop(table, stop)) {
        table->ops->stopped(table->arg, stop, 0, true);
    }
}
