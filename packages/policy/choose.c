/*
 * Chooses the endpoint for a request.
 */
#include "policy/choose.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "policy/choose_internal.h"

#define TIE_USEC (5 * Ck_USEC_PER_MSEC) /* closer predictions tie */

/* Time to process the whole prompt on an idle endpoint of usual speed. */
static double
prompt_work(const struct ch_table *table, const struct ch_request *request)
{
    return (double)table->settings.base +
           (double)table->settings.per_token * request->prompt_tokens;
}

/*
 * Predicts the time to the first token: the wait for a slot plus the time to
 * process the prompt.  On average a slot becomes free every mean service time
 * divided by the number of slots.  The prompt shares the accelerator with the
 * running requests, so its time grows with the utilisation.  The load is only
 * an estimate, as other routers have sent requests since the report, so the
 * predicted wait rises smoothly before the last slot is taken.
 */
static int64_t
predict(const struct ch_endpoint *endpoint, const struct ch_request *request,
        double load, int64_t now)
{
    const struct ch_table *table = endpoint->table;
    double slots = endpoint->info.slots;
    double utilisation = load < slots ? load / slots : 1;
    double spread = sqrt(load + 1) / 2;
    double excess = spread * log1p(exp((load + 1 - slots) / spread));
    double work = prompt_work(table, request) * (1 + utilisation);
    double wait = excess * table->mean_service_usec / slots;
    double slowness =
        ch_slowness(endpoint, now) * ch_reported_slowness(endpoint);
    return (int64_t)((work + wait) * slowness);
}

static bool
was_tried(const struct ch_request *request, const struct ch_endpoint *endpoint)
{
    for (size_t i = 0; i < request->tried_count; i++) {
        if (strcmp(request->tried[i], endpoint->info.id) == 0) {
            return true;
        }
    }
    return false;
}

/* The conditions that a candidate must meet. */
struct filter {
    const struct ch_request *request;
    const char *version;         /* NULL: any trusted one */
    enum ch_health worst_health; /* of the candidates let in */
    int64_t now;
    bool at_limit; /* set: one was left out only for a limit on its load */
};

static bool
is_allowed(const struct ch_request *request,
           const struct ch_endpoint *endpoint)
{
    return request->allowed == NULL ||
           request->allowed(request->allowed_arg, &endpoint->info);
}

bool
Ch_AnyAllowed(const struct ch_table *table, const struct ch_request *request)
{
    const struct ch_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, &table->endpoints, entry) {
        if (is_allowed(request, endpoint)) {
            return true;
        }
    }
    return false;
}

/*
 * Whether this host must not send to a cold, or possibly cold, endpoint now:
 * other hosts serve the endpoint, or the interval since the last request of
 * this host is too short.
 */
static bool
must_skip_cold(const struct ch_table *table, struct ch_endpoint *endpoint,
               int64_t now)
{
    struct wu_warmup *warmup = &endpoint->warmup;
    if (table->cold_per_sec <= 0) {
        return false;
    }
    if (Wu_SelectionIsStale(warmup, now)) {
        Wu_RenewSelection(warmup, table->hosts, table->cold_per_sec,
                          endpoint->id_hash, now);
    }
    return !Wu_MaySend(warmup, now);
}

static bool
is_candidate(const struct ch_table *table, struct ch_endpoint *endpoint,
             struct filter *filter)
{
    if (!is_allowed(filter->request, endpoint) ||
        endpoint->state == CH_LEAVING ||
        !Ch_Trusted(table, endpoint->info.version) ||
        was_tried(filter->request, endpoint)) {
        return false;
    }
    if (filter->version != NULL &&
        strcmp(filter->version, endpoint->info.version) != 0) {
        return false;
    }
    if (ch_health(endpoint, filter->now) > filter->worst_health) {
        return false;
    }
    if (filter->worst_health < CH_UNREACHABLE &&
        Wu_MayBeCold(&endpoint->warmup, filter->now) &&
        must_skip_cold(table, endpoint, filter->now)) {
        return false;
    }
    if (Wu_IsCold(&endpoint->warmup, filter->now) &&
        must_skip_cold(table, endpoint, filter->now)) {
        filter->at_limit = true;
        return false;
    }
    if (endpoint->in_flight >= (int)endpoint->limit ||
        ch_is_brittle_blocked(endpoint, filter->now) ||
        ch_is_rate_blocked(endpoint, filter->now)) {
        filter->at_limit = true;
        return false;
    }
    return true;
}

/*
 * Whether so many endpoints look bad that the fault is more likely in the
 * router's own view than in the endpoints.  Requests then do not wait for the
 * remaining good endpoints.
 */
bool
ch_is_panic(const struct ch_table *table, const char *version, int64_t now)
{
    int all = 0;
    int bad = 0;
    struct ch_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, &table->endpoints, entry) {
        if (endpoint->state == CH_LEAVING ||
            (version != NULL &&
             strcmp(version, endpoint->info.version) != 0)) {
            continue;
        }
        all++;
        bad += ch_health(endpoint, now) >= CH_DOUBTFUL;
    }
    return bad > table->settings.panic_share * all;
}

static uint64_t
mix(uint64_t x)
{
    x ^= x >> 33;
    x *= UINT64_C(0xff51afd7ed558ccd);
    x ^= x >> 33;
    x *= UINT64_C(0xc4ceb9fe1a85ec53);
    return x ^ (x >> 33);
}

static size_t
collect_usable(struct ch_table *table, struct filter *filter)
{
    size_t count = 0;
    struct ch_endpoint *endpoint;
    ch_refresh_means(table);
    TAILQ_FOREACH (endpoint, &table->endpoints, entry) {
        if (!is_candidate(table, endpoint, filter)) {
            continue;
        }
        struct ch_candidate *candidate = &table->candidates[count++];
        candidate->endpoint = endpoint;
        candidate->load = ch_load(endpoint, filter->now);
        candidate->predicted =
            predict(endpoint, filter->request, candidate->load, filter->now);
        candidate->rank = mix(filter->request->prefix ^ endpoint->id_hash);
    }
    return count;
}

/*
 * Collects the endpoints that may take the request: those of the best health
 * that any of them has, so that a failing endpoint is used only if no other is
 * left.  While endpoints of better health are at their limit, the request
 * waits for them, except in panic, where too few endpoints would carry all
 * requests.  Even in panic the overflow never goes to failing endpoints.
 */
static size_t
collect(struct ch_table *table, struct filter *filter)
{
    bool panic = ch_is_panic(table, filter->version, filter->now);
    size_t count = 0;
    filter->at_limit = false;
    for (int health = CH_HEALTHY; health <= CH_FAILING && count == 0;
         health++) {
        bool should_wait =
            filter->at_limit && (!panic || health == CH_FAILING);
        if (!should_wait) {
            filter->worst_health = (enum ch_health)health;
            count = collect_usable(table, filter);
        }
    }
    return count;
}

static int
version_in_flight(const struct ch_table *table, const char *version)
{
    int sum = 0;
    struct ch_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, &table->endpoints, entry) {
        if (strcmp(endpoint->info.version, version) == 0) {
            sum += endpoint->in_flight;
        }
    }
    return sum;
}

static bool
is_capped(const struct ch_table *table, const struct ch_share *share)
{
    if (share->max_in_flight == 0) {
        return false;
    }
    return share->max_in_flight < 0 ||
           version_in_flight(table, share->version) >= share->max_in_flight;
}

static bool
is_on_trial(const struct ch_table *table, const char *version)
{
    return table->trial[0] != '\0' && strcmp(table->trial, version) == 0;
}

static const struct ch_share *
larger(const struct ch_share *best, const struct ch_share *share)
{
    return best == NULL || share->share > best->share ? share : best;
}

/* The trusted version with the largest share; NULL if none has a share. */
static const struct ch_share *
main_version(const struct ch_table *table)
{
    const struct ch_share *best = NULL;
    for (size_t i = 0; i < table->share_count; i++) {
        const struct ch_share *share = &table->shares[i];
        if (share->share > 0 && Ch_Trusted(table, share->version)) {
            best = larger(best, share);
        }
    }
    return best;
}

/*
 * The version for a request that has failed once.  During a trial this is the
 * version not on trial, even if it has no share left: its endpoints are kept
 * until the trial is over.
 */
static const struct ch_share *
stable_version(const struct ch_table *table)
{
    const struct ch_share *best = NULL;
    for (size_t i = 0; i < table->share_count; i++) {
        const struct ch_share *share = &table->shares[i];
        if (Ch_Trusted(table, share->version) &&
            !is_on_trial(table, share->version)) {
            best = larger(best, share);
        }
    }
    return table->trial[0] != '\0' ? best : main_version(table);
}

/*
 * Draws a trusted version at random, weighted by share.  If that version is at
 * its cap, the request goes to the main version.  There is no fallback in the
 * other direction: a hanging new version accumulates requests in flight, and a
 * fallback would raise its share just when the old version lacks capacity.
 */
static const struct ch_share *
draw_version(const struct ch_table *table, struct rn_random *random)
{
    double sum = 0;
    for (size_t i = 0; i < table->share_count; i++) {
        if (Ch_Trusted(table, table->shares[i].version)) {
            sum += table->shares[i].share;
        }
    }
    double at = Rn_Unit(random) * sum;
    for (size_t i = 0; i < table->share_count; i++) {
        const struct ch_share *share = &table->shares[i];
        if (!Ch_Trusted(table, share->version) || share->share <= 0) {
            continue;
        }
        at -= share->share;
        if (at < 0) {
            return is_capped(table, share) ? main_version(table) : share;
        }
    }
    return main_version(table);
}

/* Any listed and trusted version, for when none of them has a share. */
static const struct ch_share *
any_trusted_version(const struct ch_table *table)
{
    for (size_t i = 0; i < table->share_count; i++) {
        if (Ch_Trusted(table, table->shares[i].version)) {
            return &table->shares[i];
        }
    }
    return NULL;
}

/* A request that has failed once is not sent to a version on trial. */
static const struct ch_share *
first_version(const struct ch_table *table, const struct ch_request *request,
              struct rn_random *random)
{
    if (request->failed) {
        return stable_version(table);
    }
    return request->is_retry ? main_version(table)
                             : draw_version(table, random);
}

static size_t
collect_by_share(struct ch_table *table, struct filter *filter,
                 struct rn_random *random)
{
    if (table->share_count == 0) {
        return collect(table, filter);
    }
    const struct ch_share *main = main_version(table);
    const struct ch_share *share =
        first_version(table, filter->request, random);
    if (share == NULL) {
        share = main;
    }
    if (share == NULL) {
        share = any_trusted_version(table);
    }
    if (share == NULL) {
        return 0;
    }
    filter->version = share->version;
    size_t count = collect(table, filter);
    if (count == 0 && main != NULL && main != share) {
        bool full = filter->at_limit;
        filter->version = main->version;
        count = collect(table, filter);
        filter->at_limit |= full;
    }
    return count;
}

static size_t
soonest(const struct ch_candidate *candidates, size_t count)
{
    size_t best = 0;
    for (size_t i = 1; i < count; i++) {
        if (candidates[i].predicted < candidates[best].predicted) {
            best = i;
        }
    }
    return best;
}

/*
 * Chooses the endpoint for a request and fills in the flight.  Errors:
 * ST_UNAVAILABLE if no endpoint may take the request, ST_OVERLOAD if all that
 * may take it are at their limit and the request should wait, and ST_TIMEOUT
 * if the first token cannot arrive within the budget.  Sends nothing.
 */
enum st_status
Ch_Choose(struct ch_table *table, const struct ch_request *request,
          int64_t now, struct rn_random *random, struct ch_flight *out)
{
    struct filter filter = {.request = request, .now = now};
    size_t count = collect_by_share(table, &filter, random);
    memset(out, 0, sizeof(*out));
    if (count == 0 && filter.at_limit) {
        return St_Fail(ST_OVERLOAD, "every endpoint is at its limit; wait for "
                                    "a place or add replicas");
    }
    if (count == 0) {
        return St_Fail(ST_UNAVAILABLE, "no endpoint may take the request; "
                                       "try again when one has started");
    }
    size_t at = table->ops->pick(table, request, table->candidates, count,
                                 random, &out->by_affinity);
    if (request->budget > 0 &&
        table->candidates[at].predicted > request->budget) {
        at = soonest(table->candidates, count);
        out->by_affinity = false;
    }
    if (request->budget > 0 &&
        table->candidates[at].predicted > request->budget) {
        return St_Fail(ST_TIMEOUT, "no endpoint gives the first token within "
                                   "the time left; allow more time");
    }
    out->endpoint = table->candidates[at].endpoint;
    out->predicted = table->candidates[at].predicted;
    out->on_trial = is_on_trial(table, out->endpoint->info.version);
    return ST_OK;
}

/*
 * Whether "one" is the better choice.  Ties go to an endpoint in the router's
 * own data centre, then to the cheaper one, then to the one with the lower
 * load per slot.  The last rule matters for endpoints with many slots: their
 * predictions hardly differ while slots are free, and by random draws alone
 * simultaneous requests could all go to one endpoint.
 */
static bool
is_better(const struct ch_candidate *one, const struct ch_candidate *other)
{
    int64_t sooner = other->predicted - one->predicted;
    if (sooner > TIE_USEC || sooner < -TIE_USEC) {
        return sooner > 0;
    }
    if (one->endpoint->same_data_centre != other->endpoint->same_data_centre) {
        return one->endpoint->same_data_centre;
    }
    if (one->endpoint->info.price != other->endpoint->info.price) {
        return one->endpoint->info.price < other->endpoint->info.price;
    }
    return one->load * other->endpoint->info.slots <
           other->load * one->endpoint->info.slots;
}

/* The better of two candidates drawn at random. */
static size_t
pick_of_two(const struct ch_candidate *candidates, size_t count,
            struct rn_random *random)
{
    if (count == 1) {
        return 0;
    }
    size_t one = Rn_Below(random, (uint32_t)count);
    size_t other = Rn_Below(random, (uint32_t)count - 1);
    if (other >= one) {
        other++;
    }
    return is_better(&candidates[one], &candidates[other]) ? one : other;
}

/* The first two in rendezvous order; a single candidate is given twice. */
static void
rank_two(const struct ch_candidate *candidates, size_t count, size_t order[2])
{
    order[0] = 0;
    order[1] = 0;
    for (size_t i = 1; i < count; i++) {
        if (candidates[i].rank > candidates[order[0]].rank) {
            order[1] = order[0];
            order[0] = i;
        }
        else if (order[1] == order[0] ||
                 candidates[i].rank > candidates[order[1]].rank) {
            order[1] = i;
        }
    }
}

/* The load up to which requests are sent to the endpoint for affinity. */
static double
affine_bound(const struct ch_table *table, const struct ch_candidate *all,
             size_t count, const struct ch_endpoint *endpoint)
{
    double load = 1;
    double slots = 0;
    for (size_t i = 0; i < count; i++) {
        load += all[i].load;
        slots += all[i].endpoint->info.slots;
    }
    double own = endpoint->info.slots;
    double bound = table->settings.load_bound * load * own / slots;
    /* Endpoints with fewer than half of their slots in use need no bound. */
    return bound > own / 2 ? bound : own / 2;
}

/*
 * Rendezvous hashing on the prefix, with bounded load: the first or second
 * endpoint in rendezvous order gets the request, unless its load is over its
 * bound, or it would answer later than the better of two random candidates
 * even with the whole prompt in its cache.  Without these conditions the
 * requests of one popular prefix would queue at one endpoint while others are
 * idle.
 */
static size_t
predictive(struct ch_table *table, const struct ch_request *request,
           const struct ch_candidate *candidates, size_t count,
           struct rn_random *random, bool *by_affinity)
{
    size_t other = pick_of_two(candidates, count, random);
    size_t order[2];
    *by_affinity = false;
    if (request->prefix == 0) {
        return other;
    }
    rank_two(candidates, count, order);
    double saved = prompt_work(table, request);
    for (size_t i = 0; i < 2; i++) {
        const struct ch_candidate *preferred = &candidates[order[i]];
        double later =
            (double)(preferred->predicted - candidates[other].predicted);
        if (preferred->load <
                affine_bound(table, candidates, count, preferred->endpoint) &&
            later <= saved) {
            *by_affinity = true;
            return order[i];
        }
    }
    return other;
}

static size_t
no_affinity(struct ch_table *table, const struct ch_request *request,
            const struct ch_candidate *candidates, size_t count,
            struct rn_random *random, bool *by_affinity)
{
    return pick_of_two(candidates, count, random);
}

static const struct ch_ops predictive_ops = {"predictive", predictive};
static const struct ch_ops no_affinity_ops = {"no-affinity", no_affinity};

/* Prefix affinity with bounded load; else the better of two, as predicted. */
const struct ch_ops *
Ch_Predictive(void)
{
    return &predictive_ops;
}

/* The better of two random candidates, as predicted. */
const struct ch_ops *
Ch_NoAffinity(void)
{
    return &no_affinity_ops;
}
