#include "edge/demand.h"

#include <math.h>
#include <stdlib.h>

#include "base/hash.h"

#define De_HASH_SEED 0x64656d61
/* Rates follow the load with this time constant: a burst of a few seconds
   shows, a clump of requests does not. */
#define De_SMOOTH_SEC 4.0
#define De_SMOOTH_USEC (De_SMOOTH_SEC * (double)Ck_USEC_PER_SEC)
/* Prompts below this tell more of the engine's step than of its reading. */
#define De_READ_TOKENS_MIN 1500
/*
 * The reading rate follows this quantile of what is seen, by small steps: the
 * fastest were prompts that another daemon had already had read there, the
 * slowest waited behind others.
 */
#define De_READ_QUANTILE 0.7
#define De_READ_STEP 0.08
/*
 * Endpoints for a load of "busy" whole endpoints: the load spread over this
 * part of each, and room that grows with its square root, as chance does.  A
 * burst of 1.7 times the load together with the loss of a quarter of the
 * endpoints then still fits; a small service needs more room for its size.
 */
#define De_READING_USED 0.30
#define De_READING_ROOM 2.5
#define De_PLACES_USED 0.55
#define De_PLACES_ROOM 2.0

struct service {
    uint32_t hash;
    double sent;    /* requests in the smoothing window */
    double reading; /* tokens in it */
    double in_long; /* of these, in long prompts */
    double running; /* microseconds of requests in it */
    double read_rate;
    int64_t faded_at;
};

struct de_demand {
    const struct ck_clock *clock;
    size_t count;
    struct service services[De_SERVICES_MAX];
};

struct de_demand *
De_Create(const struct ck_clock *clock)
{
    struct de_demand *demand = calloc(1, sizeof(*demand));
    if (demand != NULL) {
        demand->clock = clock;
    }
    return demand;
}

void
De_Destroy(struct de_demand *demand)
{
    free(demand);
}

uint32_t
De_Hash(const char *service)
{
    return (uint32_t)Hash_String(service, De_HASH_SEED);
}

static void
fade(const struct de_demand *demand, struct service *service)
{
    int64_t now = Ck_Now(demand->clock);
    double part = exp(-(double)(now - service->faded_at) / De_SMOOTH_USEC);
    service->faded_at = now;
    service->sent *= part;
    service->reading *= part;
    service->in_long *= part;
    service->running *= part;
}

static struct service *
find(struct de_demand *demand, const char *name)
{
    uint32_t hash = De_Hash(name);
    for (size_t i = 0; i < demand->count; i++) {
        if (demand->services[i].hash == hash) {
            fade(demand, &demand->services[i]);
            return &demand->services[i];
        }
    }
    if (demand->count == De_SERVICES_MAX) {
        return NULL;
    }
    struct service *service = &demand->services[demand->count++];
    *service =
        (struct service){.hash = hash, .faded_at = Ck_Now(demand->clock)};
    return service;
}

void
De_Sent(struct de_demand *demand, const char *name, int64_t reading,
        bool is_long)
{
    struct service *service = find(demand, name);
    if (service != NULL) {
        service->sent += 1;
        service->reading += (double)reading;
        service->in_long += is_long ? (double)reading : 0;
    }
}

void
De_Ended(struct de_demand *demand, const char *name, int64_t usec)
{
    struct service *service = find(demand, name);
    if (service != NULL) {
        service->running += (double)usec;
    }
}

void
De_First(struct de_demand *demand, const char *name, int64_t reading,
         int64_t usec)
{
    struct service *service = find(demand, name);
    if (service == NULL || reading < De_READ_TOKENS_MIN || usec <= 0) {
        return;
    }
    double rate = (double)reading * (double)Ck_USEC_PER_SEC / (double)usec;
    if (service->read_rate <= 0) {
        service->read_rate = rate;
    }
    double weight =
        rate > service->read_rate ? De_READ_QUANTILE : De_READ_QUANTILE - 1;
    service->read_rate *= 1 + De_READ_STEP * weight;
}

size_t
De_Own(struct de_demand *demand, struct de_rate out[De_SERVICES_MAX])
{
    for (size_t i = 0; i < demand->count; i++) {
        struct service *service = &demand->services[i];
        fade(demand, service);
        out[i] = (struct de_rate){
            .service = service->hash,
            .sent = service->sent / De_SMOOTH_SEC,
            .reading = service->reading / De_SMOOTH_SEC,
            .in_long = service->in_long / De_SMOOTH_SEC,
            .running = service->running / De_SMOOTH_USEC,
            .read_rate = service->read_rate,
        };
    }
    return demand->count;
}

double
De_ReadRate(const struct de_demand *demand, const char *name)
{
    uint32_t hash = De_Hash(name);
    for (size_t i = 0; i < demand->count; i++) {
        if (demand->services[i].hash == hash) {
            return demand->services[i].read_rate;
        }
    }
    return 0;
}

static double
staffing(double busy, double used, double room)
{
    return busy / used + room * sqrt(busy);
}

int
De_Needed(const struct de_load *load)
{
    double needed = 1;
    if (load->read_rate > 0) {
        needed = staffing(load->reading / load->read_rate, De_READING_USED,
                          De_READING_ROOM);
    }
    if (load->slots > 0) {
        double places = staffing(load->running / load->slots, De_PLACES_USED,
                                 De_PLACES_ROOM);
        needed = places > needed ? places : needed;
    }
    return (int)ceil(needed);
}
