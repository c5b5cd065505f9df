/* Fills the load rows of messages, and sums those of peers. */
#include "edge/peers_internal.h"
#include "edge/speeds.h"

/*
 * A message is some tenths of a second old, and most of a second with many
 * daemons. Of the prompt tokens that it reports as waiting, the endpoint has
 * processed some since. Without this correction, endpoints that have long been
 * idle look busy and cannot be told from busy ones.  The same is true of the
 * output tokens that it reports as expected.
 */
static int64_t
remaining_prefill(const struct fl_endpoint *endpoint, int64_t prefill_tokens,
                  int64_t age_usec)
{
    double processed = endpoint->service->prefill_rate * endpoint->speed *
                       (double)age_usec / (double)Ck_USEC_PER_SEC;
    return (double)prefill_tokens > processed
               ? prefill_tokens - (int64_t)processed
               : 0;
}

static int64_t
remaining_output(const struct fl_endpoint *endpoint,
                 const struct ms_load *load, int64_t age_usec)
{
    double generated = load->requests * endpoint->stream_tokens_per_sec *
                       (double)age_usec / (double)Ck_USEC_PER_SEC;
    return (double)load->output_tokens > generated
               ? load->output_tokens - (int64_t)generated
               : 0;
}

static void
add_load(struct ga_gate *gate, const struct ms_load *load,
         const struct sp_report *of)
{
    struct fl_endpoint *endpoint = Fl_ByHash(gate->fleet, load->endpoint);
    if (endpoint == NULL) {
        return;
    }
    int64_t prefill_tokens =
        remaining_prefill(endpoint, load->prefill_tokens, of->age_usec);
    int64_t output_tokens = remaining_output(endpoint, load, of->age_usec);
    endpoint->peers_running += load->requests;
    endpoint->peers_prefill_tokens += prefill_tokens;
    endpoint->peers_output_tokens += output_tokens;
    Sp_AddReport(gate, endpoint, load, of);
    if (of->same_zone) {
        endpoint->zone_peers_output_tokens += output_tokens;
        endpoint->zone_peers_running += load->requests;
        endpoint->zone_peers_prefill_tokens += prefill_tokens;
    }
}

static void
set_age(struct sp_report *report, int64_t age_usec)
{
    report->age_usec = age_usec;
    report->weight = Sd_ReportWeight(age_usec);
}

struct zone_sum {
    struct ga_gate *gate;
    struct sp_report report;
};

static void
add_zone_load(void *arg, const struct ms_load *load, int64_t age_usec)
{
    struct zone_sum *sum = arg;
    if (age_usec != sum->report.age_usec) {
        set_age(&sum->report, age_usec);
    }
    add_load(sum->gate, load, &sum->report);
}

static void
note_prefill_rates(const struct ga_gate *gate)
{
    struct fl_service *service;
    TAILQ_FOREACH (service, Fl_Services(gate->fleet), link) {
        service->prefill_rate = De_PrefillRate(gate->demand, service->name);
    }
}

/*
 * While a data centre reports summaries, the loads of its daemons are part of
 * those.
 */
void
pe_sum_loads(struct ga_gate *gate)
{
    Fl_ClearPeerLoads(gate->fleet);
    note_prefill_rates(gate);
    struct sp_report report = {.now = Ga_Now(gate)};
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (!Ms_Alive(gate->mesh, peer) ||
            (!peer->same_zone && Zn_IsReported(gate->zones, peer->zone))) {
            continue;
        }
        set_age(&report, report.now - peer->last_message_at);
        report.same_zone = peer->same_zone;
        for (size_t i = 0; i < peer->load_count; i++) {
            add_load(gate, &peer->loads[i], &report);
        }
    }
    struct zone_sum sum = {gate, {.now = report.now}};
    set_age(&sum.report, 0);
    Zn_EachLoad(gate->zones, add_zone_load, &sum);
    Sp_Update(gate);
}

void
pe_fill_loads(const struct ga_gate *gate, struct ms_message *message)
{
    if (message->omits_loads) {
        return;
    }
    const struct fl_array *all = Fl_Endpoints(gate->fleet);
    for (size_t i = 0; i < all->count; i++) {
        const struct fl_endpoint *endpoint = all->list[i];
        if (endpoint->running > 0 && message->load_count < Ms_LOADS_MAX) {
            message->loads[message->load_count++] = (struct ms_load){
                .endpoint = endpoint->hash,
                .requests = endpoint->running,
                .prefill_tokens = endpoint->prefill_tokens,
                .output_tokens = endpoint->output_tokens,
            };
        }
    }
    Sp_FillLoads(gate, message, Ms_LOADS_MAX);
}

void
pe_fill_zone_loads(const struct ga_gate *gate, struct ms_message *message)
{
    message->load_count = 0;
    const struct fl_array *all = Fl_Endpoints(gate->fleet);
    for (size_t i = 0; i < all->count; i++) {
        const struct fl_endpoint *endpoint = all->list[i];
        int running = endpoint->running + endpoint->zone_peers_running;
        if (running > 0 && message->load_count < Ms_SUMMARY_LOADS_MAX) {
            message->loads[message->load_count++] = (struct ms_load){
                .endpoint = endpoint->hash,
                .requests = running,
                .prefill_tokens = endpoint->prefill_tokens +
                                  endpoint->zone_peers_prefill_tokens,
                .output_tokens = endpoint->output_tokens +
                                 endpoint->zone_peers_output_tokens,
            };
        }
    }
    Sp_FillLoads(gate, message, Ms_SUMMARY_LOADS_MAX);
}
