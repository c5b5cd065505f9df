/*
 * The steps of one dispatched request: counts the requests in flight and
 * judges the endpoint by their outcome.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "policy/choose.h"
#include "policy/choose_internal.h"

#define CONSECUTIVE_FAILURES_MAX 5 /* an endpoint with so many is ejected */
#define SAMPLES_MIN 20             /* requests before the rate is judged */
#define FAILURE_MARGIN 0.2 /* failure rate over the siblings' that ejects */
#define SLOW_FACTOR 3.0    /* slowness over the siblings' that ejects */
#define SLOW_MIN 10        /* first tokens before slowness is judged */
#define EJECT_USEC (5 * Ck_USEC_PER_SEC)
#define EJECT_DOUBLINGS 6
#define FAILING_USEC (100 * Ck_USEC_PER_MSEC)
#define FAILING_DOUBLINGS 5
#define UNREACHABLE_USEC Ck_USEC_PER_SEC
#define SLOWNESS_GAIN 0.2
#define SLOWNESS_LOW 0.25
#define SLOWNESS_HIGH 16.0
#define SLOWNESS_HALF_LIFE_USEC 30e6
#define LIMIT_CUT 0.8
#define LIMIT_MIN 1.0
#define LIMIT_MAX_PER_SLOT 2.0
#define LIMIT_CUT_PAUSE_USEC Ck_USEC_PER_SEC
#define SERVICE_GAIN 0.02

/* Opens a new window if the current one has ended. */
void
ch_window_roll(struct ch_window *window, int64_t now)
{
    if (now - window->started_at < CH_WINDOW_USEC) {
        return;
    }
    bool is_adjacent = now - window->started_at < 2 * CH_WINDOW_USEC;
    window->last_good = is_adjacent ? window->good : 0;
    window->last_failed = is_adjacent ? window->failed : 0;
    window->good = 0;
    window->failed = 0;
    window->started_at = now;
}

static void
add_net_starts(struct ch_endpoint *endpoint, int64_t now, int amount)
{
    int64_t bucket = now / CH_BUCKET_USEC;
    int64_t fresh = bucket - endpoint->newest_bucket;
    if (fresh > CH_BUCKETS) {
        fresh = CH_BUCKETS;
    }
    for (int64_t i = 0; i < fresh; i++) {
        endpoint->net_starts[(bucket - i) % CH_BUCKETS] = 0;
    }
    if (bucket > endpoint->newest_bucket) {
        endpoint->newest_bucket = bucket;
    }
    endpoint->net_starts[endpoint->newest_bucket % CH_BUCKETS] += amount;
}

/* Own starts minus own ends since the last report was taken. */
static int
net_since_report(const struct ch_endpoint *endpoint)
{
    int64_t first = endpoint->sample.taken / CH_BUCKET_USEC;
    int net = 0;
    for (int i = 0; i < CH_BUCKETS; i++) {
        int64_t bucket = endpoint->newest_bucket - i;
        if (bucket < first || bucket < 0) {
            break;
        }
        net += endpoint->net_starts[bucket % CH_BUCKETS];
    }
    return net;
}

/* Requests of other routers at the endpoint when the report was taken. */
static double
reported_others(const struct ch_endpoint *endpoint)
{
    int own_then = endpoint->in_flight - net_since_report(endpoint);
    int all = endpoint->sample.running + endpoint->sample.waiting;
    return all > own_then ? all - own_then : 0;
}

/*
 * Recomputes the means over all endpoints with which a report is compared: the
 * load from other routers per slot, and the tokens per second of a running
 * request.
 */
void
ch_refresh_means(struct ch_table *table)
{
    double others = 0;
    double slots = 0;
    double tokens = 0;
    double running = 0;
    struct ch_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, &table->endpoints, entry) {
        if (endpoint->reported) {
            others += reported_others(endpoint);
            slots += endpoint->info.slots;
            tokens += endpoint->sample.tokens_per_s;
            running += endpoint->sample.running;
        }
    }
    table->other_load_per_slot = slots > 0 ? others / slots : 0;
    table->tokens_per_request = running > 0 ? tokens / running : 0;
}

/*
 * How many times slower than the mean the endpoint decodes, by its own report.
 * At least 1, so that a report never makes an endpoint more attractive.  One
 * of many routers sends an endpoint too few requests to notice from them that
 * it is slow before callers do.
 */
double
ch_reported_slowness(const struct ch_endpoint *endpoint)
{
    const struct ch_sample *sample = &endpoint->sample;
    if (!endpoint->reported || sample->running < 1 ||
        sample->tokens_per_s <= 0) {
        return 1;
    }
    double own = sample->tokens_per_s / sample->running;
    return fmin(fmax(endpoint->table->tokens_per_request / own, 1),
                SLOWNESS_HIGH);
}

/*
 * Estimates the requests at the endpoint: this router's own, which are exact,
 * and those of other routers, from the last report.  Used unchanged, a report
 * causes herding: until the next report, every router sends to the endpoint
 * that looked idle.  So own requests since the report are added, and the
 * reported load of other routers decays towards the mean of all endpoints,
 * with the mean service time as its time constant.
 */
double
ch_load(const struct ch_endpoint *endpoint, int64_t now)
{
    const struct ch_table *table = endpoint->table;
    double usual = table->other_load_per_slot * endpoint->info.slots;
    if (!endpoint->reported) {
        return endpoint->in_flight + usual;
    }
    double age = (double)(now - endpoint->sample.taken);
    double fresh = age > 0 ? exp(-age / table->mean_service_usec) : 1;
    double others = reported_others(endpoint);
    return endpoint->in_flight + usual + (others - usual) * fresh;
}

/*
 * Ratio of observed to predicted time to the first token.  It decays towards 1
 * with time; otherwise an endpoint that was slow once would never be tried
 * again.
 */
double
ch_slowness(const struct ch_endpoint *endpoint, int64_t now)
{
    double age = (double)(now - endpoint->slowness_at);
    double rest = age > 0 ? exp2(-age / SLOWNESS_HALF_LIFE_USEC) : 1;
    return 1 + (endpoint->slowness - 1) * rest;
}

/* Records that the request was sent to the endpoint of the flight. */
void
Ch_Start(struct ch_table *table, struct ch_flight *flight, int64_t now)
{
    flight->started = now;
    flight->first_token = false;
    flight->endpoint->in_flight++;
    table->in_flight++;
    if (table->cold_per_sec > 0) {
        struct wu_pacing pacing =
            Wu_Pacing(table->cold_per_sec, table->hosts->count + 1);
        Wu_Sent(&flight->endpoint->warmup, &pacing, now);
    }
    Br_Sent(&flight->endpoint->brittle, now);
    if (Rs_IsLimited(&flight->endpoint->rate_limit)) {
        Rs_Sent(&flight->endpoint->rate_limit, now);
    }
    add_net_starts(flight->endpoint, now, 1);
}

static void
limit_cut(struct ch_endpoint *endpoint, int64_t now)
{
    if (now - endpoint->limit_cut_at < LIMIT_CUT_PAUSE_USEC &&
        endpoint->limit_cut_at > 0) {
        return;
    }
    endpoint->limit = fmax(LIMIT_MIN, endpoint->limit * LIMIT_CUT);
    endpoint->limit_cut_at = now;
}

static void
limit_raise(struct ch_endpoint *endpoint)
{
    double most = endpoint->info.slots * LIMIT_MAX_PER_SLOT;
    if (endpoint->in_flight * 2 >= endpoint->limit) {
        endpoint->limit += 1 / endpoint->limit;
    }
    endpoint->limit = fmin(endpoint->limit, most);
}

/*
 * Records the first byte of an answer, and updates the endpoint's slowness and
 * its adaptive limit.
 */
void
Ch_FirstToken(struct ch_table *table, struct ch_flight *flight, int64_t now)
{
    struct ch_endpoint *endpoint = flight->endpoint;
    if (flight->first_token) {
        return;
    }
    flight->first_token = true;
    endpoint->answered_at = now;
    int64_t took = now - flight->started;
    double ratio = (double)took / (double)(flight->predicted + 1);
    double seen = ratio * ch_slowness(endpoint, now);
    seen = fmin(fmax(seen, SLOWNESS_LOW), SLOWNESS_HIGH);
    double before = ch_slowness(endpoint, now);
    endpoint->slowness = before + (seen - before) * SLOWNESS_GAIN;
    endpoint->slowness_at = now;
    endpoint->slowness_count++;
    if (took > 2 * table->settings.first_token && took > flight->predicted) {
        limit_cut(endpoint, now);
    }
    else {
        limit_raise(endpoint);
    }
}

/*
 * Whether two endpoints can replace each other.  If versions have shares, only
 * endpoints of the same version can: ejected endpoints of a bad new version
 * must not keep bad endpoints of the old version in use.
 */
static bool
is_sibling(const struct ch_endpoint *one, const struct ch_endpoint *other)
{
    return one->table->share_count == 0 ||
           strcmp(one->info.version, other->info.version) == 0;
}

/*
 * Limits the share of ejected endpoints.  A fault of the network or of a
 * dependency makes all endpoints fail at once; ejecting all of them would turn
 * a degraded service into an outage.
 */
static bool
may_eject(const struct ch_endpoint *endpoint, int64_t now)
{
    struct ch_table *table = endpoint->table;
    int out = 0;
    int all = 0;
    struct ch_endpoint *sibling;
    TAILQ_FOREACH (sibling, &table->endpoints, entry) {
        if (is_sibling(endpoint, sibling)) {
            all++;
            out += Ch_Ejected(sibling, now);
        }
    }
    return out + 1 <= table->settings.panic_share * all;
}

enum verdict {
    VERDICT_GOOD,
    VERDICT_SLOW,
    VERDICT_FAILING,
};

/*
 * Puts a failing endpoint behind all others in the order of choice.  The first
 * interval is short, so that a recovered endpoint is soon found; it doubles
 * with each further failure.
 */
static void
mark_failing(struct ch_endpoint *endpoint, int64_t now)
{
    int doublings = endpoint->fail_streak - CONSECUTIVE_FAILURES_MAX;
    if (doublings < 0) {
        doublings = 0;
    }
    if (doublings > FAILING_DOUBLINGS) {
        doublings = FAILING_DOUBLINGS;
    }
    endpoint->failing_until = now + (FAILING_USEC << doublings);
}

static void
eject(struct ch_endpoint *endpoint, int64_t now)
{
    if (!may_eject(endpoint, now)) {
        return;
    }
    int doublings = endpoint->ejections < EJECT_DOUBLINGS ? endpoint->ejections
                                                          : EJECT_DOUBLINGS;
    endpoint->ejected_until = now + (EJECT_USEC << doublings);
    endpoint->ejections++;
    /* After its return one failure ejects it again, for twice as long. */
    endpoint->consecutive_failures = CONSECUTIVE_FAILURES_MAX - 1;
    endpoint->slowness = 1;
    endpoint->slowness_count = 0;
    endpoint->window = (struct ch_window){.started_at = now};
}

struct siblings {
    int good;
    int failed;
    double slowness;
    int slowness_count;
};

static struct siblings
sum_siblings(const struct ch_endpoint *endpoint, int64_t now)
{
    struct siblings sum = {0};
    struct ch_endpoint *sibling;
    TAILQ_FOREACH (sibling, &endpoint->table->endpoints, entry) {
        if (sibling == endpoint || !is_sibling(endpoint, sibling)) {
            continue;
        }
        ch_window_roll(&sibling->window, now);
        sum.good += sibling->window.good + sibling->window.last_good;
        sum.failed += sibling->window.failed + sibling->window.last_failed;
        if (sibling->slowness_count >= SLOW_MIN) {
            sum.slowness += ch_slowness(sibling, now);
            sum.slowness_count++;
        }
    }
    return sum;
}

static enum verdict
assess(const struct ch_endpoint *endpoint, int64_t now)
{
    const struct ch_window *window = &endpoint->window;
    if (endpoint->consecutive_failures >= CONSECUTIVE_FAILURES_MAX) {
        return VERDICT_FAILING;
    }
    struct siblings siblings = sum_siblings(endpoint, now);
    int failed = window->failed + window->last_failed;
    int all = failed + window->good + window->last_good;
    int siblings_all = siblings.good + siblings.failed;
    if (all >= SAMPLES_MIN && siblings_all >= SAMPLES_MIN &&
        (double)failed / all >
            (double)siblings.failed / siblings_all + FAILURE_MARGIN) {
        return VERDICT_FAILING;
    }
    if (endpoint->slowness_count < SLOW_MIN || siblings.slowness_count == 0) {
        return VERDICT_GOOD;
    }
    /* Siblings with cache hits must not make this endpoint look slow. */
    double usual = fmax(1, siblings.slowness / siblings.slowness_count);
    return ch_slowness(endpoint, now) > SLOW_FACTOR * usual ? VERDICT_SLOW
                                                            : VERDICT_GOOD;
}

/* Records an outcome, and ejects the endpoint if it fails or is slow. */
void
ch_record_outcome(struct ch_endpoint *endpoint, enum ch_outcome outcome,
                  int64_t now)
{
    ch_window_roll(&endpoint->window, now);
    if (outcome == CH_FAILED) {
        endpoint->window.failed++;
        endpoint->consecutive_failures++;
        endpoint->fail_streak++;
    }
    else {
        endpoint->window.good++;
        endpoint->consecutive_failures = 0;
        endpoint->fail_streak = 0;
        endpoint->failing_until = 0;
        int64_t ejections_reset_usec = EJECT_USEC << EJECT_DOUBLINGS;
        if (now - endpoint->ejected_until > ejections_reset_usec) {
            endpoint->ejections = 0;
        }
    }
    if (endpoint->removed) {
        return;
    }
    enum verdict verdict = assess(endpoint, now);
    if (verdict == VERDICT_FAILING && outcome == CH_FAILED) {
        mark_failing(endpoint, now);
    }
    if (verdict != VERDICT_GOOD && !Ch_Ejected(endpoint, now)) {
        eject(endpoint, now);
    }
}

/*
 * Ends a flight.  A cancelled request is no evidence for or against the
 * endpoint.  A refusal for overload is not counted as a failure, but lowers
 * the adaptive limit.
 */
void
Ch_End(struct ch_table *table, struct ch_flight *flight,
       enum ch_outcome outcome, int64_t now)
{
    struct ch_endpoint *endpoint = flight->endpoint;
    if (endpoint == NULL) {
        return;
    }
    flight->endpoint = NULL;
    endpoint->in_flight--;
    table->in_flight--;
    add_net_starts(endpoint, now, -1);
    ch_window_roll(&table->completions, now);
    table->completions.good++;
    if (outcome == CH_OVERLOADED) {
        limit_cut(endpoint, now);
        Br_Refused(&endpoint->brittle, now);
    }
    if (outcome == CH_UNREACHED) {
        endpoint->unreached_at = now;
        endpoint->unreachable_until = now + UNREACHABLE_USEC;
        Wu_SuspectRestart(&endpoint->warmup, table->cold_usec, now);
        ch_record_outcome(endpoint, CH_FAILED, now);
    }
    if (outcome == CH_GOOD || outcome == CH_FAILED) {
        double took = (double)(now - flight->started);
        table->mean_service_usec +=
            (took - table->mean_service_usec) * SERVICE_GAIN;
        ch_record_outcome(endpoint, outcome, now);
    }
    if (endpoint->removed && endpoint->in_flight == 0) {
        TAILQ_REMOVE(&table->removed, endpoint, entry);
        free(endpoint);
    }
}
