/*
 * The brittle endpoints of a table, which report a refusal limit; see
 * brittle.h.
 */
#include "base/clock.h"
#include "policy/choose.h"
#include "policy/choose_internal.h"

enum st_status
Ch_SetRefusalLimit(struct ch_table *table, const char *id, int refusal_limit,
                   int64_t at)
{
    struct ch_endpoint *reporter = Ch_Find(table, id);
    if (reporter == NULL) {
        return St_Fail(ST_NOT_FOUND, "endpoint %s is not in the table", id);
    }
    if (refusal_limit >= 0) {
        Br_NoteEndpointReport(&table->brittle, &reporter->brittle,
                              refusal_limit, at);
    }
    else if (Br_IsWithdrawn(&table->brittle, &reporter->brittle, at)) {
        Br_Clear(&table->brittle);
    }
    return ST_OK;
}

bool
Ch_IsBrittle(const struct ch_endpoint *endpoint, int64_t now)
{
    return Br_IsBrittle(&endpoint->table->brittle, now);
}

static size_t
host_count(const struct ch_table *table)
{
    return table->hosts == NULL ? 1 : table->hosts->count + 1;
}

/* Computes the rank of this host for each endpoint of the table. */
static void
find_ranks(struct ch_table *table, int64_t now)
{
    struct ch_endpoint *best = NULL;
    struct ch_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, &table->endpoints, entry) {
        size_t rank = table->hosts == NULL
                          ? 0
                          : Wu_Rank(table->hosts, endpoint->id_hash);
        Br_SetRank(&endpoint->brittle, rank, table->count, now);
        if (best == NULL || rank < best->brittle.rank) {
            best = endpoint;
        }
    }
    if (best != NULL) {
        best->brittle.best = true;
    }
}

bool
ch_is_brittle_blocked(const struct ch_endpoint *endpoint, int64_t now)
{
    struct ch_table *table = endpoint->table;
    const struct br_state *state = &endpoint->brittle;
    if (!Br_IsBrittle(&table->brittle, now)) {
        return false;
    }
    if (Br_RankIsOld(state, now)) {
        find_ranks(table, now);
    }
    struct br_quota quota = Br_Quota(table->brittle.refusal_limit,
                                     host_count(table), state->endpoint_count);
    return !Br_MaySend(&table->brittle, state, &quota,
                       (int)ch_load(endpoint, now), endpoint->info.slots, now);
}
