/*
 * Queries on the endpoint table other than the choice.
 */
#include <string.h>

#include "policy/choose.h"
#include "policy/choose_internal.h"

/* Whether the endpoint is out of use because it failed or was slow. */
bool
Ch_Ejected(const struct ch_endpoint *endpoint, int64_t now)
{
    return now < endpoint->ejected_until;
}

/* The health of an endpoint that is not leaving. */
enum ch_health
ch_health(const struct ch_endpoint *endpoint, int64_t now)
{
    if (endpoint->failing_until > now) {
        return CH_FAILING;
    }
    if (endpoint->state == CH_SUSPECT &&
        endpoint->answered_at <= endpoint->suspect_since) {
        return CH_UNRESPONSIVE;
    }
    if (endpoint->state == CH_SUSPECT || Ch_Ejected(endpoint, now)) {
        return CH_DOUBTFUL;
    }
    return endpoint->unreachable_until > now ? CH_UNREACHABLE : CH_HEALTHY;
}

/* Whether the version may get new requests. */
bool
Ch_Trusted(const struct ch_table *table, const char *version)
{
    for (size_t i = 0; i < table->distrusted_count; i++) {
        if (strcmp(table->distrusted[i], version) == 0) {
            return false;
        }
    }
    return true;
}

const struct ch_info *
Ch_Info(const struct ch_endpoint *endpoint)
{
    return &endpoint->info;
}

/* The last reported state of the endpoint. */
enum ch_state
Ch_State(const struct ch_endpoint *endpoint)
{
    return endpoint->state;
}

/* Time until a leaving endpoint stops, at least 0; -1 if not leaving. */
int64_t
Ch_TimeLeft(const struct ch_endpoint *endpoint, int64_t now)
{
    if (endpoint->state != CH_LEAVING) {
        return -1;
    }
    int64_t left = endpoint->gone_at - now;
    return left > 0 ? left : 0;
}

/* Requests of this router in flight at the endpoint. */
double
Ch_Load(const struct ch_endpoint *endpoint, int64_t now)
{
    int slots = endpoint->info.slots > 0 ? endpoint->info.slots : 1;
    return ch_load(endpoint, now) / slots;
}

int
Ch_InFlight(const struct ch_endpoint *endpoint)
{
    return endpoint->in_flight;
}

/* Requests of this router in flight at all endpoints, even removed ones. */
int
Ch_AllInFlight(const struct ch_table *table)
{
    return table->in_flight;
}

/* The limit of this router's requests in flight at the endpoint. */
int
Ch_Limit(const struct ch_endpoint *endpoint)
{
    return (int)endpoint->limit;
}

/* First endpoint of the table, or NULL. */
struct ch_endpoint *
Ch_First(const struct ch_table *table)
{
    return TAILQ_FIRST(&table->endpoints);
}

/* The endpoint after this one, or NULL. */
struct ch_endpoint *
Ch_Next(const struct ch_endpoint *endpoint)
{
    return TAILQ_NEXT(endpoint, entry);
}

/* Sums the free slots of endpoints of this health or a better one. */
static void
count_free_slots(const struct ch_table *table, enum ch_health worst,
                 int64_t now, struct ch_capacity *out)
{
    memset(out, 0, sizeof(*out));
    struct ch_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, &table->endpoints, entry) {
        if (endpoint->state == CH_LEAVING ||
            ch_health(endpoint, now) > worst ||
            !Ch_Trusted(table, endpoint->info.version)) {
            continue;
        }
        out->endpoints++;
        int free_slots = ch_is_rate_blocked(endpoint, now)
                             ? 0
                             : (int)endpoint->limit - endpoint->in_flight;
        out->free_slots += free_slots > 0 ? free_slots : 0;
    }
}

/*
 * Reports the free slots and the drain rate to the queue in front of the
 * table.  Counts the endpoints that Ch_Choose() would use: the healthy and the
 * unreachable ones, and worse ones too in panic or if there are no others.
 */
void
Ch_Capacity(const struct ch_table *table, int64_t now, struct ch_capacity *out)
{
    int worst =
        ch_is_panic(table, NULL, now) ? CH_UNRESPONSIVE : CH_UNREACHABLE;
    count_free_slots(table, (enum ch_health)worst, now, out);
    while (out->endpoints == 0 && worst < CH_FAILING) {
        worst++;
        count_free_slots(table, (enum ch_health)worst, now, out);
    }
    struct ch_window rate = table->completions;
    ch_window_roll(&rate, now);
    int64_t span = now - rate.started_at;
    if (rate.last_good > 0) {
        span += CH_WINDOW_USEC;
    }
    if (span > 0) {
        out->per_sec = (rate.good + rate.last_good) * 1e6 / (double)span;
    }
}

/* Whether the endpoint reports that it is still warming up. */
bool
Ch_IsCold(const struct ch_endpoint *endpoint, int64_t now)
{
    return Wu_IsCold(&endpoint->warmup, now);
}

/* Returns the first obstacle if there are several. */
const char *
Ch_Obstacle(const struct ch_endpoint *endpoint, int64_t now)
{
    const struct ch_table *table = endpoint->table;
    const struct wu_warmup *warmup = &endpoint->warmup;
    bool warmup_blocked = table->cold_per_sec > 0 && !Wu_MaySend(warmup, now);
    if (endpoint->state == CH_LEAVING) {
        return "leaving";
    }
    if (!Ch_Trusted(table, endpoint->info.version)) {
        return "distrusted";
    }
    if (endpoint->failing_until > now) {
        return "failing";
    }
    if (endpoint->state == CH_SUSPECT) {
        return "suspect";
    }
    if (Ch_Ejected(endpoint, now)) {
        return "ejected";
    }
    if (endpoint->unreachable_until > now) {
        return "shunned";
    }
    if (warmup_blocked && Wu_MayBeCold(warmup, now)) {
        return "maybe-cold";
    }
    if (warmup_blocked && Wu_IsCold(warmup, now)) {
        return "cold";
    }
    if (endpoint->in_flight >= (int)endpoint->limit) {
        return "full";
    }
    if (ch_is_brittle_blocked(endpoint, now)) {
        return "brittle";
    }
    struct rs_state rate_limit = endpoint->rate_limit;
    return Rs_IsLimited(&rate_limit) && !Rs_MaySend(&rate_limit, now)
               ? "rate-limited"
               : "ok";
}
