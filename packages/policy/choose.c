/*
 * The choice of an endpoint for a request.
 */
#include "policy/choose.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "policy/choose_internal.h"

#define SLACK_USEC (5 * Ck_USEC_PER_MSEC) /* closer predictions are a tie */

/* Work of the whole prompt on an idle endpoint of usual speed. */
static double
prompt_work(const struct ch_table *table, const struct ch_request *request)
{
    return (double)table->settings.base +
           (double)table->settings.per_token * request->prompt_tokens;
}

/*
 * Predicted time to the first token: the wait for a slot, one of which comes
 * free every service time over slots, and the prompt's work, which shares
 * the accelerator with what runs beside it.  The load is not known exactly,
 * as other routers have sent work since the report, so the wait sets in
 * softly before the last slot is taken.
 */
static int64_t
predict(const struct ch_endpoint *endpoint, const struct ch_request *request,
        double load, int64_t now)
{
    const struct ch_table *table = endpoint->table;
    double slots = endpoint->info.slots;
    double beside = load < slots ? load / slots : 1;
    double spread = sqrt(load + 1) / 2;
    double over = spread * log1p(exp((load + 1 - slots) / spread));
    double work = prompt_work(table, request) * (1 + beside);
    double wait = over * table->service / slots;
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

/* What keeps candidates out. */
struct filter {
    const struct ch_request *request;
    const char *version;       /* NULL: any that is trusted */
    enum ch_standing standing; /* the worst that is let in */
    int64_t now;
    bool full; /* set: one of them was left out only for its limit */
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

/* Whether others serve an endpoint that is cold, or may be, at the moment. */
static bool
is_left_to_others(const struct ch_table *table, struct ch_endpoint *endpoint,
                  int64_t now)
{
    struct wu_warmup *warmup = &endpoint->warmup;
    if (table->cold_per_sec <= 0) {
        return false;
    }
    if (Wu_ClaimIsOld(warmup, now)) {
        Wu_RenewClaim(warmup, table->hosts, table->cold_per_sec,
                      endpoint->id_hash, now);
    }
    return !Wu_MaySend(warmup, now);
}

static bool
may_take(const struct ch_table *table, struct ch_endpoint *endpoint,
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
    if (ch_standing(endpoint, filter->now) > filter->standing) {
        return false;
    }
    if (filter->standing < CH_SHUNNED &&
        Wu_IsDoubted(&endpoint->warmup, filter->now) &&
        is_left_to_others(table, endpoint, filter->now)) {
        return false;
    }
    if (Wu_IsCold(&endpoint->warmup, filter->now) &&
        is_left_to_others(table, endpoint, filter->now)) {
        filter->full = true;
        return false;
    }
    if (endpoint->in_flight >= (int)endpoint->limit ||
        ch_is_closed(endpoint, filter->now)) {
        filter->full = true;
        return false;
    }
    return true;
}

/*
 * Whether so many endpoints look bad that the fault is more likely in what
 * the router sees than in them; then work does not wait for the rest.
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
        bad += ch_standing(endpoint, now) >= CH_DOUBTED;
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
        if (!may_take(table, endpoint, filter)) {
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
 * The endpoints that may take the request: those in the best standing that any
 * has, so that one that fails is asked only where no other is left.  Work
 * waits for a place at a better one, unless so many look bad that too few
 * would carry all.  What the others cannot take never goes to one that fails.
 */
static size_t
collect(struct ch_table *table, struct filter *filter)
{
    bool panic = ch_is_panic(table, filter->version, filter->now);
    size_t count = 0;
    filter->full = false;
    for (int standing = CH_SOUND; standing <= CH_FAILING && count == 0;
         standing++) {
        bool should_wait = filter->full && (!panic || standing == CH_FAILING);
        if (!should_wait) {
            filter->standing = (enum ch_standing)standing;
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

/* The trusted version with the largest share; NULL when none has any. */
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
 * The version for what has failed once: beside one on trial the other, even
 * with no share left, as its endpoints are kept until the trial is over.
 */
static const struct ch_share *
settled_version(const struct ch_table *table)
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
 * Draws a version by share among the trusted.  A version at its cap passes
 * the request to the main one, never the other way round: a hanging new
 * version piles up requests in flight, and a fallback onto it would raise
 * its share just when the old version is short.
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

/* With no version left that has a share, any listed and trusted one. */
static const struct ch_share *
warm_version(const struct ch_table *table)
{
    for (size_t i = 0; i < table->share_count; i++) {
        if (Ch_Trusted(table, table->shares[i].version)) {
            return &table->shares[i];
        }
    }
    return NULL;
}

/* What has failed once is not tried on a version that is on trial. */
static const struct ch_share *
first_asked(const struct ch_table *table, const struct ch_request *request,
            struct rn_random *random)
{
    if (request->failed) {
        return settled_version(table);
    }
    return request->again ? main_version(table) : draw_version(table, random);
}

static size_t
collect_by_share(struct ch_table *table, struct filter *filter,
                 struct rn_random *random)
{
    if (table->share_count == 0) {
        return collect(table, filter);
    }
    const struct ch_share *main = main_version(table);
    const struct ch_share *share = first_asked(table, filter->request, random);
    if (share == NULL) {
        share = main;
    }
    if (share == NULL) {
        share = warm_version(table);
    }
    if (share == NULL) {
        return 0;
    }
    filter->version = share->version;
    size_t count = collect(table, filter);
    if (count == 0 && main != NULL && main != share) {
        bool full = filter->full;
        filter->version = main->version;
        count = collect(table, filter);
        filter->full |= full;
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
 * Chooses the endpoint for a request and fills in the flight.
 * ST_UNAVAILABLE: none is there; ST_OVERLOAD: all are at their limit, the
 * request should wait; ST_TIMEOUT: the first token cannot come within the
 * budget.  In each case nothing was sent.
 */
enum st_status
Ch_Choose(struct ch_table *table, const struct ch_request *request,
          int64_t now, struct rn_random *random, struct ch_flight *out)
{
    struct filter filter = {.request = request, .now = now};
    size_t count = collect_by_share(table, &filter, random);
    memset(out, 0, sizeof(*out));
    if (count == 0 && filter.full) {
        return St_Fail(ST_OVERLOAD, "every endpoint is at its limit; wait for "
                                    "a place or add replicas");
    }
    if (count == 0) {
        return St_Fail(ST_UNAVAILABLE, "no endpoint may take the request; "
                                       "try again when one has started");
    }
    size_t at = table->ops->pick(table, request, table->candidates, count,
                                 random, &out->affine);
    if (request->budget > 0 &&
        table->candidates[at].predicted > request->budget) {
        at = soonest(table->candidates, count);
        out->affine = false;
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
 * Whether one is the better choice; near, then cheap, then the less filled
 * decides a tie.  Predictions of a service with many slots are all but equal
 * until they are taken; drawn by chance alone, calls placed at once can all go
 * to one endpoint.
 */
static bool
is_better(const struct ch_candidate *one, const struct ch_candidate *other)
{
    int64_t sooner = other->predicted - one->predicted;
    if (sooner > SLACK_USEC || sooner < -SLACK_USEC) {
        return sooner > 0;
    }
    if (one->endpoint->near != other->endpoint->near) {
        return one->endpoint->near;
    }
    if (one->endpoint->info.price != other->endpoint->info.price) {
        return one->endpoint->info.price < other->endpoint->info.price;
    }
    return one->load * other->endpoint->info.slots <
           other->load * one->endpoint->info.slots;
}

/* The better of two candidates drawn at random. */
static size_t
pick_two(const struct ch_candidate *candidates, size_t count,
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

/* The first two of the rendezvous order; the same one twice if alone. */
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

/* The load up to which affinity may fill the endpoint. */
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
    double bound = table->settings.bound * load * own / slots;
    /* Engines less than half full need no bound. */
    return bound > own / 2 ? bound : own / 2;
}

/*
 * Rendezvous order of the prefix, bounded: the first or second endpoint of
 * the order takes the request unless it holds more than its bounded share of
 * the load, or would be later than the better of two others even with the
 * whole prompt in its cache.  One popular prefix would otherwise queue
 * behind one endpoint while the others idle.
 */
static size_t
predictive(struct ch_table *table, const struct ch_request *request,
           const struct ch_candidate *candidates, size_t count,
           struct rn_random *random, bool *affine)
{
    size_t other = pick_two(candidates, count, random);
    size_t order[2];
    *affine = false;
    if (request->prefix == 0) {
        return other;
    }
    rank_two(candidates, count, order);
    double saved = prompt_work(table, request);
    for (size_t i = 0; i < 2; i++) {
        const struct ch_candidate *home = &candidates[order[i]];
        double later = (double)(home->predicted - candidates[other].predicted);
        if (home->load <
                affine_bound(table, candidates, count, home->endpoint) &&
            later <= saved) {
            *affine = true;
            return order[i];
        }
    }
    return other;
}

static size_t
no_affinity(struct ch_table *table, const struct ch_request *request,
            const struct ch_candidate *candidates, size_t count,
            struct rn_random *random, bool *affine)
{
    return pick_two(candidates, count, random);
}

static const struct ch_ops predictive_ops = {"predictive", predictive};
static const struct ch_ops no_affinity_ops = {"no-affinity", no_affinity};

/* Prefix affinity with bounded load, else two choices by prediction. */
const struct ch_ops *
Ch_Predictive(void)
{
    return &predictive_ops;
}

/* Two choices by prediction alone. */
const struct ch_ops *
Ch_NoAffinity(void)
{
    return &no_affinity_ops;
}
