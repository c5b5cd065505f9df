/*
 * The endpoints of a table that report a rate limit; see rate_share.h.  Hosts
 * do not tell each other how many requests they get, so all weigh the same.
 */
#include "base/clock.h"
#include "policy/choose.h"
#include "policy/choose_internal.h"

/* Hosts learn of each other within this time. */
#define CH_HOSTS_DELAY_USEC (2 * Ck_USEC_PER_SEC)

enum st_status
Ch_SetRateLimit(struct ch_table *table, const char *id, double per_sec,
                int64_t at, int64_t now)
{
    struct ch_endpoint *reporter = Ch_Find(table, id);
    if (reporter == NULL) {
        return St_Fail(ST_NOT_FOUND, "endpoint %s is not in the table", id);
    }
    Rs_Note(&reporter->rate_limit, per_sec, at, true, now);
    return ST_OK;
}

double
Ch_RateLimit(const struct ch_endpoint *endpoint)
{
    return endpoint->rate_limit.per_sec;
}

static void
list_hosts(const struct ch_table *table, struct rs_hosts *out)
{
    out->list[0] =
        (struct rs_host){table->hosts == NULL ? 0 : table->hosts->own, 1};
    out->count = 1;
    if (table->hosts == NULL) {
        return;
    }
    for (size_t i = 0; i < table->hosts->count && out->count < Rs_HOSTS_MAX;
         i++) {
        out->list[out->count++] = (struct rs_host){table->hosts->peers[i], 1};
    }
}

static void
set_share(struct ch_endpoint *endpoint, int64_t now)
{
    static struct rs_hosts hosts;
    struct rs_state *state = &endpoint->rate_limit;
    list_hosts(endpoint->table, &hosts);
    struct rs_share share =
        Rs_Share(&hosts, endpoint->id_hash, state->per_sec);
    Rs_SetShare(state, &share, CH_HOSTS_DELAY_USEC, now);
}

bool
ch_is_rate_blocked(struct ch_endpoint *endpoint, int64_t now)
{
    struct rs_state *state = &endpoint->rate_limit;
    if (!Rs_IsLimited(state)) {
        return false;
    }
    if (Rs_ShareIsOld(state, now)) {
        set_share(endpoint, now);
    }
    return !Rs_MaySend(state, now);
}
