/* What the other daemons have sent to each endpoint. */
#include "edge/peers_internal.h"

/*
 * A word is some tenths of a second old, with many daemons most of one; what
 * it told to be waiting has been read since, as far as the endpoint got.
 * Taken as it stands, endpoints that have long been idle look busy, and those
 * that are busy now cannot be told from them.
 */
static int64_t
still_waiting(const struct ga_gate *gate, const struct fl_endpoint *endpoint,
              int64_t reading, int64_t age_usec)
{
    double read = De_ReadRate(gate->demand, endpoint->entry.service) *
                  (double)age_usec / (double)Ck_USEC_PER_SEC;
    return (double)reading > read ? reading - (int64_t)read : 0;
}

static void
add_near_loads(struct ga_gate *gate, const struct ms_peer *peer)
{
    for (size_t i = 0; i < peer->load_count; i++) {
        const struct ms_load *load = &peer->loads[i];
        struct fl_endpoint *endpoint = Fl_ByHash(gate->fleet, load->endpoint);
        if (endpoint != NULL) {
            endpoint->near_running += load->running;
            endpoint->near_reading += still_waiting(
                gate, endpoint, load->reading, Ga_Now(gate) - peer->heard_at);
        }
    }
}

static void
add_far_load(void *arg, const struct ms_load *load, int64_t age_usec)
{
    struct ga_gate *gate = arg;
    struct fl_endpoint *endpoint = Fl_ByHash(gate->fleet, load->endpoint);
    if (endpoint != NULL) {
        endpoint->others_running += load->running;
        endpoint->others_reading +=
            still_waiting(gate, endpoint, load->reading, age_usec);
    }
}

static void
add_far_loads(struct ga_gate *gate, const struct ms_peer *peer)
{
    for (size_t i = 0; i < peer->load_count; i++) {
        add_far_load(gate, &peer->loads[i], Ga_Now(gate) - peer->heard_at);
    }
}

void
pe_sum_loads(struct ga_gate *gate)
{
    Fl_ClearOthers(gate->fleet);
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (!Ms_Alive(gate->mesh, peer)) {
            continue;
        }
        if (peer->near) {
            add_near_loads(gate, peer);
        }
        else if (!Zn_IsReported(gate->zones, peer->zone)) {
            add_far_loads(gate, peer);
        }
    }
    Zn_EachLoad(gate->zones, add_far_load, gate);
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        endpoint->others_running += endpoint->near_running;
        endpoint->others_reading += endpoint->near_reading;
    }
}
