#include "edge/warming.h"

/* Daemons come and go; who serves a cold endpoint is found anew this often. */
#define Wa_CLAIM_USEC (500 * Ck_USEC_PER_MSEC)

static bool
is_limited(const struct ec_service *service)
{
    return service->cold_per_sec > 0;
}

static struct wu_part
part_of(const struct ga_gate *gate, const struct ec_service *service)
{
    return Wu_Part(service->cold_per_sec, Ms_CountAll(gate->mesh));
}

static void
renew_claim(const struct ga_gate *gate, struct fl_endpoint *endpoint,
            const struct ec_service *service, int64_t now)
{
    struct wu_warmup *warmup = &endpoint->warmup;
    if (warmup->claimed_at != 0 && now - warmup->claimed_at < Wa_CLAIM_USEC) {
        return;
    }
    warmup->claimed_at = now;
    struct wu_part part = part_of(gate, service);
    struct wu_view view = {
        .up_usec = now - gate->started_at,
        .first_start = gate->options.node->first_start,
        .heard = Ms_CountEverHeard(gate->mesh),
        .known = Ms_CountAll(gate->mesh),
    };
    warmup->claimed =
        Ms_IsFirst(gate->mesh, endpoint->hash, Wu_Places(&part, &view));
}

/*
 * An endpoint that was sent nothing for a while is cold when requests come
 * back, whatever its entry said before.
 */
static bool
has_returned(const struct fl_endpoint *endpoint,
             const struct ec_service *service, int64_t now)
{
    return endpoint->returned_at != 0 &&
           now - endpoint->returned_at < service->cold_usec;
}

enum wa_state
Wa_State(const struct ga_gate *gate, struct fl_endpoint *endpoint,
         const struct ec_service *service)
{
    int64_t now = Ga_Now(gate);
    struct wu_warmup *warmup = &endpoint->warmup;
    bool cold = Wu_IsCold(warmup, now) || has_returned(endpoint, service, now);
    if (!is_limited(service) || (!cold && !Wu_IsDoubted(warmup, now))) {
        return WA_OPEN;
    }
    renew_claim(gate, endpoint, service, now);
    if (Wu_MaySend(warmup, now)) {
        return WA_OPEN;
    }
    return cold ? WA_CLOSED : WA_DOUBTED;
}

void
Wa_Sent(const struct ga_gate *gate, struct fl_endpoint *endpoint,
        const struct ec_service *service)
{
    int64_t now = Ga_Now(gate);
    if (is_limited(service)) {
        struct wu_part part = part_of(gate, service);
        Wu_Sent(&endpoint->warmup, &part, now);
    }
}

void
Wa_Broke(const struct ga_gate *gate, struct fl_endpoint *endpoint,
         const struct ec_service *service)
{
    Wu_Doubt(&endpoint->warmup, service->cold_usec, Ga_Now(gate));
}
