/*
 * Commands on one dispatch: what is in flight at an endpoint, and what its
 * course says about the endpoint.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "policy/choose.h"
#include "policy/choose_internal.h"

#define CONSECUTIVE_MAX 5       /* failures in a row that eject */
#define JUDGED_MIN 20           /* requests before a rate says anything */
#define FAILED_SHARE_MARGIN 0.2 /* over the peers' share, ejects */
#define SLOW_FACTOR 3.0         /* over the peers' slowness, ejects */
#define SLOW_MIN 10             /* first tokens before slowness is judged */
#define EJECT_USEC (5 * Ck_USEC_PER_SEC)
#define EJECT_DOUBLINGS 6
#define FAILING_USEC (100 * Ck_USEC_PER_MSEC)
#define FAILING_DOUBLINGS 5
#define SHUN_USEC Ck_USEC_PER_SEC
#define SLOWNESS_GAIN 0.2
#define SLOWNESS_LOW 0.25
#define SLOWNESS_HIGH 16.0
#define SLOWNESS_HALF_LIFE 30e6
#define LIMIT_CUT 0.8
#define LIMIT_MIN 1.0
#define LIMIT_OF_SLOTS 2.0 /* highest limit, in slots */
#define LIMIT_CUT_PAUSE Ck_USEC_PER_SEC
#define SERVICE_GAIN 0.02

/* Opens a new window when the last is over. */
void
ch_window_roll(struct ch_window *window, int64_t now)
{
    if (now - window->begun < CH_WINDOW_USEC) {
        return;
    }
    bool adjoins = now - window->begun < 2 * CH_WINDOW_USEC;
    window->last_good = adjoins ? window->good : 0;
    window->last_failed = adjoins ? window->failed : 0;
    window->good = 0;
    window->failed = 0;
    window->begun = now;
}

static void
net_add(struct ch_endpoint *endpoint, int64_t now, int amount)
{
    int64_t bucket = now / CH_NET_USEC;
    int64_t fresh = bucket - endpoint->net_bucket;
    if (fresh > CH_NET_BUCKETS) {
        fresh = CH_NET_BUCKETS;
    }
    for (int64_t i = 0; i < fresh; i++) {
        endpoint->net[(bucket - i) % CH_NET_BUCKETS] = 0;
    }
    if (bucket > endpoint->net_bucket) {
        endpoint->net_bucket = bucket;
    }
    endpoint->net[endpoint->net_bucket % CH_NET_BUCKETS] += amount;
}

/* Own starts less own ends since the last report was taken. */
static int
net_since_report(const struct ch_endpoint *endpoint)
{
    int64_t first = endpoint->sample.taken / CH_NET_USEC;
    int net = 0;
    for (int i = 0; i < CH_NET_BUCKETS; i++) {
        int64_t bucket = endpoint->net_bucket - i;
        if (bucket < first || bucket < 0) {
            break;
        }
        net += endpoint->net[bucket % CH_NET_BUCKETS];
    }
    return net;
}

/* What other routers had at the endpoint when the report was taken. */
static double
reported_others(const struct ch_endpoint *endpoint)
{
    int own_then = endpoint->in_flight - net_since_report(endpoint);
    int all = endpoint->sample.running + endpoint->sample.waiting;
    return all > own_then ? all - own_then : 0;
}

/*
 * Renews the means over all endpoints that reports are judged against: the
 * others' load per slot, and the tokens a second per running request.
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
    table->others_per_slot = slots > 0 ? others / slots : 0;
    table->token_rate = running > 0 ? tokens / running : 0;
}

/*
 * How much slower than the mean the endpoint decodes, by its own report: at
 * least 1, so that it can only warn.  A router of many sends an endpoint too
 * little to learn that it is slow before its callers do.
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
    return fmin(fmax(endpoint->table->token_rate / own, 1), SLOWNESS_HIGH);
}

/*
 * Requests at the endpoint as far as can be known: this router's own, which
 * it knows exactly, and those of others, from the last report.  Taken as it
 * is, the report makes herds: every router sends to the endpoint that looked
 * idle until the next report.  So the own requests since it are counted in,
 * and what the report says of the others fades into the mean of all
 * endpoints as fast as requests come and go.
 */
double
ch_load(const struct ch_endpoint *endpoint, int64_t now)
{
    const struct ch_table *table = endpoint->table;
    double usual = table->others_per_slot * endpoint->info.slots;
    if (!endpoint->reported) {
        return endpoint->in_flight + usual;
    }
    double age = (double)(now - endpoint->sample.taken);
    double fresh = age > 0 ? exp(-age / table->service) : 1;
    double others = reported_others(endpoint);
    return endpoint->in_flight + usual + (others - usual) * fresh;
}

/*
 * Observed over predicted time to the first token.  It falls back towards 1
 * with time, or else an endpoint once slow would never be tried again.
 */
double
ch_slowness(const struct ch_endpoint *endpoint, int64_t now)
{
    double age = (double)(now - endpoint->slowness_at);
    double rest = age > 0 ? exp2(-age / SLOWNESS_HALF_LIFE) : 1;
    return 1 + (endpoint->slowness - 1) * rest;
}

/* Counts a request as sent to the endpoint of the flight. */
void
Ch_Start(struct ch_table *table, struct ch_flight *flight, int64_t now)
{
    flight->started = now;
    flight->first_token = false;
    flight->endpoint->in_flight++;
    table->in_flight++;
    if (table->cold_per_sec > 0) {
        struct wu_part part =
            Wu_Part(table->cold_per_sec, table->hosts->count + 1);
        Wu_Sent(&flight->endpoint->warmup, &part, now);
    }
    Br_Sent(&flight->endpoint->room, now);
    net_add(flight->endpoint, now, 1);
}

static void
limit_cut(struct ch_endpoint *endpoint, int64_t now)
{
    if (now - endpoint->limit_cut_at < LIMIT_CUT_PAUSE &&
        endpoint->limit_cut_at > 0) {
        return;
    }
    endpoint->limit = fmax(LIMIT_MIN, endpoint->limit * LIMIT_CUT);
    endpoint->limit_cut_at = now;
}

static void
limit_raise(struct ch_endpoint *endpoint)
{
    double most = endpoint->info.slots * LIMIT_OF_SLOTS;
    if (endpoint->in_flight * 2 >= endpoint->limit) {
        endpoint->limit += 1 / endpoint->limit;
    }
    endpoint->limit = fmin(endpoint->limit, most);
}

/*
 * Records the first byte of an answer: it sets the endpoint's slowness and
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
 * Whether two endpoints can stand in for each other.  Where versions have
 * shares only those of one version can: a bad new version must not keep the
 * old one's bad endpoints in use.
 */
static bool
is_peer(const struct ch_endpoint *one, const struct ch_endpoint *other)
{
    return one->table->share_count == 0 ||
           strcmp(one->info.version, other->info.version) == 0;
}

/*
 * A fault of the network or of a dependency makes all endpoints fail at
 * once; ejecting them all would turn a degraded service into none.
 */
static bool
may_eject(const struct ch_endpoint *endpoint, int64_t now)
{
    struct ch_table *table = endpoint->table;
    int out = 0;
    int all = 0;
    struct ch_endpoint *peer;
    TAILQ_FOREACH (peer, &table->endpoints, entry) {
        if (is_peer(endpoint, peer)) {
            all++;
            out += Ch_Ejected(peer, now);
        }
    }
    return out + 1 <= table->settings.panic_share * all;
}

enum judgement {
    SOUND,
    TOO_SLOW,
    FAILS,
};

/*
 * Sets an endpoint that fails behind all others, at first for so short that
 * one that is well again is soon found to be, then for longer each time.
 */
static void
set_behind(struct ch_endpoint *endpoint, int64_t now)
{
    int doublings = endpoint->fail_streak - CONSECUTIVE_MAX;
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
    /* One more failure after the return ejects again, for twice as long. */
    endpoint->consecutive = CONSECUTIVE_MAX - 1;
    endpoint->slowness = 1;
    endpoint->slowness_count = 0;
    endpoint->window = (struct ch_window){.begun = now};
}

struct peers {
    int good;
    int failed;
    double slowness;
    int slowness_of;
};

static struct peers
sum_peers(const struct ch_endpoint *endpoint, int64_t now)
{
    struct peers sum = {0};
    struct ch_endpoint *peer;
    TAILQ_FOREACH (peer, &endpoint->table->endpoints, entry) {
        if (peer == endpoint || !is_peer(endpoint, peer)) {
            continue;
        }
        ch_window_roll(&peer->window, now);
        sum.good += peer->window.good + peer->window.last_good;
        sum.failed += peer->window.failed + peer->window.last_failed;
        if (peer->slowness_count >= SLOW_MIN) {
            sum.slowness += ch_slowness(peer, now);
            sum.slowness_of++;
        }
    }
    return sum;
}

static enum judgement
judge(const struct ch_endpoint *endpoint, int64_t now)
{
    const struct ch_window *window = &endpoint->window;
    if (endpoint->consecutive >= CONSECUTIVE_MAX) {
        return FAILS;
    }
    struct peers peers = sum_peers(endpoint, now);
    int failed = window->failed + window->last_failed;
    int all = failed + window->good + window->last_good;
    int peers_all = peers.good + peers.failed;
    if (all >= JUDGED_MIN && peers_all >= JUDGED_MIN &&
        (double)failed / all >
            (double)peers.failed / peers_all + FAILED_SHARE_MARGIN) {
        return FAILS;
    }
    if (endpoint->slowness_count < SLOW_MIN || peers.slowness_of == 0) {
        return SOUND;
    }
    /* Peers that answer from their caches must not make this one look slow. */
    double usual = fmax(1, peers.slowness / peers.slowness_of);
    return ch_slowness(endpoint, now) > SLOW_FACTOR * usual ? TOO_SLOW : SOUND;
}

/* Enters an outcome and ejects the endpoint if it stands out by it. */
void
ch_judge(struct ch_endpoint *endpoint, enum ch_outcome outcome, int64_t now)
{
    ch_window_roll(&endpoint->window, now);
    if (outcome == CH_FAILED) {
        endpoint->window.failed++;
        endpoint->consecutive++;
        endpoint->fail_streak++;
    }
    else {
        endpoint->window.good++;
        endpoint->consecutive = 0;
        endpoint->fail_streak = 0;
        endpoint->failing_until = 0;
        int64_t calm = EJECT_USEC << EJECT_DOUBLINGS;
        if (now - endpoint->ejected_until > calm) {
            endpoint->ejections = 0;
        }
    }
    if (endpoint->removed) {
        return;
    }
    enum judgement judgement = judge(endpoint, now);
    if (judgement == FAILS && outcome == CH_FAILED) {
        set_behind(endpoint, now);
    }
    if (judgement != SOUND && !Ch_Ejected(endpoint, now)) {
        eject(endpoint, now);
    }
}

/*
 * Counts a flight as over.  A cancelled one frees its place and says nothing
 * about the endpoint; an overload is no fault of the endpoint, but shrinks
 * the limit.
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
    net_add(endpoint, now, -1);
    ch_window_roll(&table->rate, now);
    table->rate.good++;
    if (outcome == CH_OVERLOADED) {
        limit_cut(endpoint, now);
        Br_Refused(&endpoint->room, now);
    }
    if (outcome == CH_UNREACHED) {
        endpoint->shunned_at = now;
        endpoint->shunned_until = now + SHUN_USEC;
        Wu_Doubt(&endpoint->warmup, table->cold_usec, now);
        ch_judge(endpoint, CH_FAILED, now);
    }
    if (outcome == CH_GOOD || outcome == CH_FAILED) {
        double took = (double)(now - flight->started);
        table->service += (took - table->service) * SERVICE_GAIN;
        ch_judge(endpoint, outcome, now);
    }
    if (endpoint->removed && endpoint->in_flight == 0) {
        TAILQ_REMOVE(&table->removed, endpoint, entry);
        free(endpoint);
    }
}
