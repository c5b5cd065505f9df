/* Collects the candidates for a request and chooses an endpoint. */
#include <limits.h>
#include <string.h>

#include "base/hash.h"
#include "edge/brittle.h"
#include "edge/exchange.h"
#include "edge/health.h"
#include "edge/rate_limit.h"
#include "edge/warming.h"

#define Xc_CANDIDATES_MAX 1024
/* Most requests sent to an endpoint, as a multiple of its slots. */
#define Xc_ENGINE_FILL 1.25
#define Xc_PLAIN_FILL 3.0
/* Slowness is not computed for services faster than this. */
#define Xc_SLOWNESS_FLOOR_USEC 5000.0

/* Mean time to the first byte over the endpoints of a service. */
static double
mean_first_byte(const struct fl_service *service)
{
    double sum = 0;
    size_t count = 0;
    for (size_t i = 0; service != NULL && i < service->endpoints.count; i++) {
        const struct fl_endpoint *endpoint = service->endpoints.list[i];
        if (endpoint->first_byte_usec > 0) {
            sum += endpoint->first_byte_usec;
            count++;
        }
    }
    return count == 0 ? 0 : sum / (double)count;
}

static bool
was_tried(const struct xc_exchange *exchange, uint32_t hash)
{
    for (size_t i = 0; i < exchange->tried_count; i++) {
        if (exchange->tried[i] == hash) {
            return true;
        }
    }
    return false;
}

/*
 * Prompts that share a part belong to one group, which prefers the same
 * endpoints at all hosts; any other request is a group of its own.
 */
static uint64_t
group_of(const struct hd_request_info *info)
{
    uint64_t group = Px_Group(info);
    return group != 0 ? group : Hash_String(info->id, 0);
}

/* Values that are the same for all candidates of a request. */
struct choice_context {
    int64_t now;
    uint64_t group;
    uint64_t request;
    double mean_first_byte;
    double long_fraction;
    struct px_chains chains;
};

static const char *
closed_by(const struct xc_exchange *exchange, struct fl_endpoint *endpoint,
          enum wa_state warming)
{
    struct ga_gate *gate = exchange->gate;
    if (endpoint->silent) {
        return "silent";
    }
    if (warming == WA_CLOSED) {
        return "cold";
    }
    if (Bt_IsClosed(gate, endpoint)) {
        return "brittle";
    }
    if (Rl_IsClosed(gate, endpoint)) {
        return "rate limit";
    }
    return Po_IsFull(gate, endpoint, exchange->service) ? "full" : NULL;
}

const char *
Xc_ClosedBy(const struct xc_exchange *exchange, struct fl_endpoint *endpoint)
{
    const struct ga_gate *gate = exchange->gate;
    return closed_by(
        exchange, endpoint,
        Wa_State(gate, endpoint, exchange->service, Ga_Now(gate)));
}

/* What the choice needs of every endpoint, also of those not sampled. */
static struct pl_candidate
make_candidate(const struct xc_exchange *exchange,
               const struct choice_context *context,
               struct fl_endpoint *endpoint)
{
    const struct ga_gate *gate = exchange->gate;
    enum wa_state warming =
        Wa_State(gate, endpoint, exchange->service, context->now);
    uint64_t home_key[2] = {context->group, endpoint->hash};
    uint64_t sample_key[2] = {context->request, endpoint->hash};
    return (struct pl_candidate){
        .slots = endpoint->entry.slots,
        .running = endpoint->running + endpoint->peers_running,
        .output_tokens =
            endpoint->output_tokens + endpoint->peers_output_tokens,
        .last_resort =
            He_IsEjected(endpoint, context->now) || warming == WA_MAYBE_COLD,
        .tried = was_tried(exchange, endpoint->hash),
        .full = closed_by(exchange, endpoint, warming) != NULL,
        .unused = Rl_IsUnused(gate, endpoint),
        .home_hash = Hash_Bytes(home_key, sizeof(home_key), 0),
        .sample_hash = (double)Hash_Bytes(sample_key, sizeof(sample_key), 0) /
                       (double)UINT64_MAX,
        .long_lane = (double)endpoint->hash <
                     context->long_fraction * (double)UINT32_MAX,
    };
}

/* The rest, for an endpoint that is compared with others. */
static void
complete_candidate(const struct xc_exchange *exchange,
                   const struct choice_context *context,
                   const struct fl_endpoint *endpoint,
                   struct pl_candidate *candidate)
{
    const struct ga_gate *gate = exchange->gate;
    struct px_uncached uncached =
        Px_CountUncachedOf(gate->prefixes, &exchange->info, &context->chains,
                           endpoint->hash, context->now);
    candidate->prefill_tokens =
        endpoint->prefill_tokens + endpoint->peers_prefill_tokens;
    candidate->speed = endpoint->speed;
    candidate->uncached_tokens = uncached.tokens;
    candidate->uncached_shared = uncached.shared;
    candidate->same_zone =
        strcmp(endpoint->entry.zone, gate->options.node->zone) == 0;
    candidate->failing = He_FailureRate(endpoint, context->now);
    /* Endpoints that are faster than the mean have no slowness. */
    if (context->mean_first_byte > Xc_SLOWNESS_FLOOR_USEC &&
        endpoint->first_byte_usec > context->mean_first_byte) {
        candidate->slowness =
            He_FirstByteUsec(endpoint, context->mean_first_byte,
                             context->now) /
            context->mean_first_byte;
    }
}

static void
add_rates(const struct de_rate *rates, size_t count, uint32_t service,
          struct fl_load *load)
{
    for (size_t i = 0; i < count; i++) {
        if (rates[i].service == service) {
            load->requests += rates[i].requests_per_sec;
            load->prompt_tokens += rates[i].prompt_tokens_per_sec;
            load->long_prompt_tokens += rates[i].long_prompt_tokens_per_sec;
        }
    }
}

/* The peers' part is summed when the first request follows a message. */
static const struct fl_load *
peers_load(const struct ga_gate *gate, struct fl_service *service,
           uint32_t hash)
{
    uint64_t changes = Ms_Changes(gate->mesh);
    if (service->peers_load_known && service->peers_load_changes == changes) {
        return &service->peers_load;
    }
    service->peers_load = (struct fl_load){0};
    service->peers_load_known = true;
    service->peers_load_changes = changes;
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        add_rates(peer->rates, peer->rate_count, hash, &service->peers_load);
    }
    return &service->peers_load;
}

/* Load of a service from all hosts. */
static struct fl_load
load_of(const struct ga_gate *gate, const char *name)
{
    uint32_t hash = De_Hash(name);
    struct fl_load load = {0};
    struct de_rate own[De_SERVICES_MAX];
    add_rates(own, De_LocalRates(gate->demand, own), hash, &load);
    struct fl_service *service = Fl_FindService(gate->fleet, name);
    if (service != NULL) {
        const struct fl_load *peers = peers_load(gate, service, hash);
        load.requests += peers->requests;
        load.prompt_tokens += peers->prompt_tokens;
        load.long_prompt_tokens += peers->long_prompt_tokens;
    }
    return load;
}

/* Fraction of all prompt tokens that belongs to long prompts. */
static double
long_share(const struct fl_load *load)
{
    return load->prompt_tokens > 0
               ? load->long_prompt_tokens / load->prompt_tokens
               : 0;
}

/*
 * Sets what depends on the load and the routes of an engine service.  Returns
 * the fraction of the endpoints that belongs to the long lane.
 */
static double
set_engine_limits(const struct xc_exchange *exchange, size_t endpoints,
                  struct pl_limits *limits)
{
    const struct ga_gate *gate = exchange->gate;
    const char *service = exchange->service->name;
    struct fl_load load = load_of(gate, service);
    double lag = (double)Ms_ReportDelay(gate->mesh) / (double)Ck_USEC_PER_SEC;
    limits->sampled_fraction =
        Pl_SampledFraction(endpoints, load.requests * lag);
    limits->prefill_rate = De_PrefillRate(gate->demand, service);
    limits->target_usec = exchange->route->latency_target_usec -
                          De_FixedUsec(gate->demand, service) -
                          (Ga_Now(gate) - exchange->arrived_at);
    struct pl_urgency urgency = {exchange->service->least_priority,
                                 exchange->service->least_target_usec};
    double fraction;
    if (Pl_IsPatient(&urgency, INT_MAX,
                     exchange->service->slackest_target_usec)) {
        /* Patient requests are taken to be the long ones. */
        fraction = Pl_PatientLaneFraction(endpoints, long_share(&load));
        limits->patient =
            fraction > 0 && Pl_IsPatient(&urgency, exchange->route->priority,
                                         exchange->route->latency_target_usec);
        limits->is_long = limits->patient;
    }
    else {
        fraction = Pl_LongLaneFraction(endpoints, long_share(&load));
        limits->is_long = Pl_IsLong(exchange->info.tokens_in);
    }
    limits->lanes = fraction > 0;
    return fraction;
}

/* Usable endpoints of a service, of the versions that a pick allows. */
struct selection {
    size_t count;
    struct fl_endpoint *endpoints[Xc_CANDIDATES_MAX];
};

static bool
version_allowed(enum ro_pick pick, bool is_new)
{
    switch (pick) {
    case RO_OLD:
    case RO_OLD_ONLY:
    case RO_OLD_FIRST:
        return !is_new;
    case RO_NEW_FIRST:
        return is_new;
    default:
        return true;
    }
}

static bool
in_allowed_region(const struct xc_exchange *exchange,
                  const struct fl_endpoint *endpoint)
{
    return Ga_MayRunAt(exchange->gate, exchange->route, exchange->tenant,
                       endpoint);
}

static void
select_endpoints(const struct xc_exchange *exchange, enum ro_pick pick,
                 struct selection *out)
{
    const struct ga_gate *gate = exchange->gate;
    const char *service = exchange->service->name;
    const struct ro_move *move = Ro_Find(gate->moves, service);
    const struct fl_service *known = Fl_FindService(gate->fleet, service);
    out->count = 0;
    for (size_t i = 0; known != NULL && i < known->endpoints.count &&
                       out->count < Xc_CANDIDATES_MAX;
         i++) {
        struct fl_endpoint *endpoint = known->endpoints.list[i];
        if (Fl_Usable(endpoint) &&
            version_allowed(pick, Ga_HasTargetVersion(move, endpoint)) &&
            in_allowed_region(exchange, endpoint)) {
            out->endpoints[out->count++] = endpoint;
        }
    }
}

/* Candidates of a choice, of which not all are completed. */
struct candidates {
    struct pl_candidate list[Xc_CANDIDATES_MAX];
    bool completed[Xc_CANDIDATES_MAX];
};

/* Number of homes of a group, as Pl_Choose() finds them. */
#define Xc_HOMES 3

/* The hash from which on an endpoint may be a home of the request's group. */
static uint64_t
least_home_hash(const struct pl_candidate *list, size_t count,
                const struct pl_limits *limits)
{
    uint64_t highest[Xc_HOMES] = {0};
    for (size_t i = 0; i < count; i++) {
        const struct pl_candidate *candidate = &list[i];
        uint64_t hash = candidate->home_hash;
        if (hash <= highest[Xc_HOMES - 1] || candidate->tried ||
            candidate->full || candidate->last_resort ||
            (limits->lanes && candidate->long_lane != limits->is_long)) {
            continue;
        }
        size_t at = Xc_HOMES - 1;
        for (; at > 0 && highest[at - 1] < hash; at--) {
            highest[at] = highest[at - 1];
        }
        highest[at] = hash;
    }
    return highest[Xc_HOMES - 1];
}

/* Completes the candidates that are sampled, or homes, or else all. */
static void
complete(const struct xc_exchange *exchange,
         const struct choice_context *context, const struct selection *from,
         const struct pl_limits *limits, bool all,
         struct candidates *candidates)
{
    uint64_t home =
        all ? 0 : least_home_hash(candidates->list, from->count, limits);
    for (size_t i = 0; i < from->count; i++) {
        struct pl_candidate *candidate = &candidates->list[i];
        if (!candidates->completed[i] &&
            (all || candidate->home_hash >= home || candidate->unused ||
             candidate->sample_hash <= limits->sampled_fraction)) {
            complete_candidate(exchange, context, from->endpoints[i],
                               candidate);
            candidates->completed[i] = true;
        }
    }
}

static enum pl_verdict
choose_among(struct xc_exchange *exchange, const struct selection *from,
             struct xc_target *out, struct xc_trace *trace)
{
    static struct candidates candidates;
    static struct pl_judgement judgements[Xc_CANDIDATES_MAX];
    const char *service = exchange->service->name;
    const struct ga_gate *gate = exchange->gate;
    bool engine = exchange->service->engine;
    struct choice_context context = {
        .now = Ga_Now(gate),
        .group = group_of(&exchange->info),
        .request = Hash_String(exchange->info.id, 0),
        .mean_first_byte =
            mean_first_byte(Fl_FindService(gate->fleet, service)),
    };
    Px_Chain(&exchange->info, &context.chains);
    struct pl_limits limits = {
        .engine = engine,
        .fill_max = engine ? Xc_ENGINE_FILL : Xc_PLAIN_FILL,
        .sampled_fraction = 1,
    };
    if (engine) {
        context.long_fraction =
            set_engine_limits(exchange, from->count, &limits);
    }
    for (size_t i = 0; i < from->count; i++) {
        candidates.list[i] =
            make_candidate(exchange, &context, from->endpoints[i]);
        candidates.completed[i] = false;
    }
    bool all = trace != NULL || limits.sampled_fraction >= 1;
    complete(exchange, &context, from, &limits, all, &candidates);
    struct pl_choice choice = {0};
    enum pl_verdict verdict =
        Pl_ChooseAndJudge(candidates.list, from->count, &limits, &choice,
                          trace == NULL ? NULL : judgements);
    /*
     * If no sampled endpoint can be chosen, or only as a last resort, the
     * choice compares the others as well.
     */
    bool sufficed = verdict == PL_CHOSEN &&
                    candidates.completed[choice.index] &&
                    !candidates.list[choice.index].last_resort;
    if (!all && !sufficed) {
        complete(exchange, &context, from, &limits, true, &candidates);
        verdict = Pl_ChooseAndJudge(candidates.list, from->count, &limits,
                                    &choice, NULL);
    }
    if (trace != NULL) {
        *trace = (struct xc_trace){from->count, from->endpoints,
                                   candidates.list, judgements, limits};
    }
    if (verdict == PL_CHOSEN) {
        out->endpoint = from->endpoints[choice.index];
        out->prefill_tokens = choice.prefill_tokens;
        out->expected_usec = choice.expected_usec;
        out->slack_usec = choice.expected_usec > 0
                              ? limits.target_usec - choice.expected_usec
                              : 0;
    }
    return verdict;
}

static void
select_takeover(const struct xc_exchange *exchange, bool same_zone,
                struct selection *out)
{
    const struct fl_endpoint *source = exchange->attempt.endpoint;
    const struct fl_service *known =
        Fl_FindService(exchange->gate->fleet, source->entry.service);
    out->count = 0;
    for (size_t i = 0; known != NULL && i < known->endpoints.count &&
                       out->count < Xc_CANDIDATES_MAX;
         i++) {
        struct fl_endpoint *endpoint = known->endpoints.list[i];
        const struct fl_entry *entry = &endpoint->entry;
        if (Fl_Usable(endpoint) && endpoint != source &&
            endpoint->hash != exchange->move_refusing &&
            strcmp(entry->version, source->entry.version) == 0 &&
            endpoint->running + endpoint->peers_running < entry->slots &&
            (!same_zone || strcmp(entry->zone, source->entry.zone) == 0) &&
            in_allowed_region(exchange, endpoint)) {
            out->endpoints[out->count++] = endpoint;
        }
    }
}

bool
Xc_ChooseTakeover(struct xc_exchange *exchange, struct xc_target *out)
{
    static struct selection selection;
    select_takeover(exchange, true, &selection);
    if (choose_among(exchange, &selection, out, NULL) == PL_CHOSEN) {
        return true;
    }
    select_takeover(exchange, false, &selection);
    return choose_among(exchange, &selection, out, NULL) == PL_CHOSEN;
}

/*
 * Chooses an endpoint for the next attempt.  While a service moves to another
 * version, Ro_Pick() decides the version first.  If no endpoint of that
 * version can take the request, the other version is used instead, with three
 * exceptions: the new version is never used after it was rolled back
 * (RO_OLD_ONLY), and does not stand in for full endpoints of the old one
 * (RO_OLD), nor for none while it is a suspect.
 */
enum pl_verdict
Xc_ChooseTraced(struct xc_exchange *exchange, struct xc_target *out,
                struct xc_trace *trace)
{
    static struct selection selection;
    struct ga_gate *gate = exchange->gate;
    const struct ro_move *move = Ro_Find(gate->moves, exchange->service->name);
    enum ro_pick pick = Ro_Pick(move, exchange->sends > 0);
    if (pick == RO_OLD_FIRST && exchange->head_sent) {
        /* A begun stream resumes at the version that most endpoints have. */
        pick = RO_NEW_FIRST;
    }
    out->version_why = move == NULL ? NULL : "share";
    select_endpoints(exchange, pick, &selection);
    enum pl_verdict verdict = choose_among(exchange, &selection, out, trace);
    if (verdict == PL_CHOSEN || pick == RO_ANY || pick == RO_OLD_ONLY ||
        (pick == RO_OLD && (selection.count > 0 || !Ro_MayStandIn(move)))) {
        return verdict;
    }
    out->version_why = selection.count == 0 ? "none-listed" : "none-free";
    select_endpoints(exchange,
                     pick == RO_NEW_FIRST ? RO_OLD_ONLY : RO_NEW_FIRST,
                     &selection);
    return choose_among(exchange, &selection, out, trace);
}

enum pl_verdict
Xc_Choose(struct xc_exchange *exchange, struct xc_target *out)
{
    return Xc_ChooseTraced(exchange, out, NULL);
}
