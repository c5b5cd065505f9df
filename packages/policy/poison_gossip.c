/* Gossip between hosts about parts that crash endpoints. */
#include "policy/poison_internal.h"

/*
 * Crashes and clears are gossiped for this long after the crash, which is
 * several messages to each peer.
 */
#define Pz_GOSSIP_USEC (6 * Ck_USEC_PER_SEC)

/* Between the crashes that a doubt stands for. */
#define Pz_DOUBT_GAP_USEC (1 * Ck_USEC_PER_SEC)

static bool
is_recent(int64_t at, int64_t now)
{
    return at != 0 && now - at < Pz_GOSSIP_USEC;
}

static bool
is_of_sort(const struct pz_crash *crash, enum pz_sort sort)
{
    return sort == PZ_BOTH ||
           (crash->depth == Pz_CONTENT) == (sort == PZ_CONTENTS);
}

size_t
Pz_ExportCrashes(const struct pz_table *table, enum pz_sort sort,
                 struct pz_crash *out, size_t rows_max, int64_t now)
{
    size_t count = 0;
    const struct pz_crash_entry *entry;
    TAILQ_FOREACH_REVERSE(entry, &table->crashes, pz_crash_list, link)
    {
        if (count == rows_max || !is_recent(entry->crash.ended_at, now)) {
            break;
        }
        if (entry->local && is_of_sort(&entry->crash, sort) &&
            pz_is_counted(table, entry, now) &&
            entry->crash.ended_at > pz_cleared_at(table, &entry->crash.key)) {
            out[count++] = entry->crash;
        }
    }
    return count;
}

/* Parts that a peer reported as implicated and that were answered since. */
size_t
Pz_ExportClears(const struct pz_table *table, struct pz_clear *out,
                size_t rows_max, int64_t now)
{
    size_t count = 0;
    for (size_t set = 0; set < Pz_SETS; set++) {
        for (size_t way = 0; way < Pz_WAYS && count < rows_max; way++) {
            const struct pz_history *history = &table->history[set][way];
            if (history->count > 0 && is_recent(history->implicated_at, now) &&
                history->answered_at > history->implicated_at) {
                out[count++] =
                    (struct pz_clear){history->key, history->answered_at};
            }
        }
    }
    return count;
}

size_t
Pz_ExportQuarantines(const struct pz_table *table, struct pz_quarantine *out,
                     size_t rows_max)
{
    size_t count = table->quarantine_count < rows_max ? table->quarantine_count
                                                      : rows_max;
    for (size_t i = 0; i < count; i++) {
        out[i] = table->quarantines[table->quarantine_count - 1 - i];
    }
    return count;
}

void
pz_note_implicated(struct pz_table *table, const struct pz_key *key,
                   int64_t at)
{
    struct pz_history *history = pz_find_history(table, key);
    if (history != NULL && at > history->implicated_at) {
        history->implicated_at = at;
    }
}

/* Whether a doubt that was imported stands for the crash. */
static bool
is_in_doubt(const struct pz_table *table, const struct pz_crash *crash)
{
    const struct pz_crash_entry *entry;
    TAILQ_FOREACH (entry, &table->crashes, link) {
        if (entry->doubted && pz_same_key(&entry->crash.key, &crash->key) &&
            entry->crash.ended_at >= crash->ended_at) {
            return true;
        }
    }
    return false;
}

void
Pz_ImportCrash(struct pz_table *table, const struct pz_crash *crash)
{
    if (is_in_doubt(table, crash)) {
        return;
    }
    pz_note_implicated(table, &crash->key, crash->ended_at);
    if (pz_cleared_at(table, &crash->key) < crash->ended_at) {
        pz_add_crash(table, crash, false);
    }
}

/* Adds two crashes in sequence in place of those that were forgotten. */
void
Pz_ImportDoubt(struct pz_table *table, const struct pz_quarantine *doubt,
               int64_t now)
{
    if (now - doubt->decided_at > Pz_DOUBT_TTL_USEC ||
        pz_cleared_at(table, &doubt->key) > doubt->decided_at ||
        pz_has_crash(table, &doubt->key)) {
        return;
    }
    for (uint32_t i = 1; i <= Pz_DOUBT_CRASHES; i++) {
        int64_t at =
            doubt->decided_at - (Pz_DOUBT_CRASHES - i) * Pz_DOUBT_GAP_USEC;
        struct pz_crash crash = {
            .key = doubt->key,
            .endpoint = i,
            .depth = Pz_CONTENT,
            .head_received = true,
            .sent_at = at,
            .ended_at = at,
        };
        pz_add_crash(table, &crash, false)->doubted = true;
    }
}

void
Pz_ImportClear(struct pz_table *table, const struct pz_clear *clear)
{
    const struct pz_history *history = pz_find_history(table, &clear->key);
    if (history != NULL && history->answered_at >= clear->at) {
        return;
    }
    pz_note_answer(table, &clear->key, 1, clear->at);
    pz_lift_cleared(table, &clear->key);
}

/*
 * A quarantine is ignored if the part was answered after the decision.  The
 * part is noted as implicated, so that gossip messages clear it at the peers
 * until Pz_GOSSIP_USEC after the decision.
 */
void
Pz_ImportQuarantine(struct pz_table *table,
                    const struct pz_quarantine *quarantine, int64_t now)
{
    pz_note_implicated(table, &quarantine->key, quarantine->decided_at);
    if (pz_cleared_at(table, &quarantine->key) > quarantine->decided_at) {
        return;
    }
    struct pz_quarantine *existing =
        pz_find_quarantine(table, &quarantine->key);
    if (existing != NULL && existing->requested_at == Pz_HOLD) {
        *existing = quarantine->requested_at == Pz_HOLD &&
                            quarantine->decided_at < existing->decided_at
                        ? *existing
                        : *quarantine;
        return;
    }
    if (existing != NULL) {
        existing->requested_at =
            quarantine->requested_at > existing->requested_at
                ? quarantine->requested_at
                : existing->requested_at;
        return;
    }
    if (pz_is_current(quarantine, now) &&
        pz_add_quarantine(table, quarantine)) {
        table->ops->quarantined(table->arg, quarantine, 0, true);
    }
}
