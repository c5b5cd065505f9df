#include "edge/warming.h"

static bool
is_limited(const struct ec_service *service)
{
    return service->cold_per_sec > 0;
}

static void
renew_selection(const struct ga_gate *gate, struct fl_endpoint *endpoint,
                const struct ec_service *service, int64_t now)
{
    struct wu_hosts hosts;
    Ms_ListSenders(gate->mesh, &hosts);
    hosts.completeness.up_usec = now - gate->started_at;
    hosts.completeness.first_start = gate->options.node->first_start;
    Wu_RenewSelection(&endpoint->warmup, &hosts, service->cold_per_sec,
                      endpoint->hash, now);
}

/*
 * Endpoints of an evacuated data centre get no requests and are cold when the
 * evacuation ends, whatever their entries said before.
 */
static bool
was_restored(const struct fl_endpoint *endpoint,
             const struct ec_service *service, int64_t now)
{
    return endpoint->zone_restored_at != 0 &&
           now - endpoint->zone_restored_at < service->cold_usec;
}

enum wa_state
Wa_State(const struct ga_gate *gate, struct fl_endpoint *endpoint,
         const struct ec_service *service, int64_t now)
{
    struct wu_warmup *warmup = &endpoint->warmup;
    if (!is_limited(service)) {
        return WA_OPEN;
    }
    bool cold = Wu_IsCold(warmup, now) || was_restored(endpoint, service, now);
    if (!cold && !Wu_MayBeCold(warmup, now)) {
        return WA_OPEN;
    }
    if (Wu_SelectionIsStale(warmup, now)) {
        renew_selection(gate, endpoint, service, now);
    }
    if (Wu_MaySend(warmup, now)) {
        return WA_OPEN;
    }
    return cold ? WA_CLOSED : WA_MAYBE_COLD;
}

void
Wa_NoteSent(const struct ga_gate *gate, struct fl_endpoint *endpoint,
            const struct ec_service *service, int64_t now)
{
    if (is_limited(service)) {
        struct wu_pacing pacing =
            Wu_Pacing(service->cold_per_sec, Ms_CountAll(gate->mesh));
        Wu_Sent(&endpoint->warmup, &pacing, now);
    }
}

void
Wa_NoteBroken(struct fl_endpoint *endpoint, const struct ec_service *service,
              int64_t now)
{
    Wu_SuspectRestart(&endpoint->warmup, service->cold_usec, now);
}
