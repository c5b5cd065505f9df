#include "edge/demand.h"

#include <math.h>
#include <stdlib.h>

#include "base/hash.h"
#include "policy/prefill_fit.h"

#define De_HASH_SEED 0x64656d61
/*
 * Time constant of the rates: a burst of a few seconds shows in them, a
 * cluster of a few requests does not.
 */
#define De_SMOOTH_SEC 4.0
#define De_SMOOTH_USEC (De_SMOOTH_SEC * (double)Ck_USEC_PER_SEC)
/*
 * The time to the first byte of shorter prompts depends more on the engine's
 * batching step than on its prefill rate.
 */
#define De_PREFILL_TOKENS_MIN 1500
/*
 * The estimated prefill rate follows this quantile of the measured rates in
 * small steps.  The fastest measurements are of prompts that the endpoint had
 * already cached for another daemon; in the slowest the prompt waited behind
 * others.
 */
#define De_PREFILL_QUANTILE 0.7
#define De_PREFILL_STEP 0.08
/*
 * A fitted prefill rate is that of prefill alone.  The decoding steps between
 * the chunks of a prompt take about a third of a busy endpoint's time.
 */
#define De_PREFILL_SHARE (2.0 / 3.0)
/*
 * Square-root staffing.  A load that would keep "busy" endpoints fully
 * occupied is spread at this utilization, and headroom grows with the square
 * root of the load, as its random variation does.  This covers a burst of 1.7
 * times the load together with the loss of a quarter of the endpoints; a small
 * service needs relatively more headroom.
 */
#define De_PREFILL_UTILIZATION 0.30
#define De_PREFILL_HEADROOM 2.5
#define De_SLOT_UTILIZATION 0.55
#define De_SLOT_HEADROOM 2.0
/* With more slots in use, requests wait for one at slow endpoints. */
#define De_SLOT_UTILIZATION_MAX 0.6

/* Lower rates of requests count as this one. */
#define De_OFFERED_MIN 0.0625
/* Binary logarithm of the change that counts; more than a half. */
#define De_OFFERED_HYSTERESIS 0.8

struct service {
    uint32_t hash;
    double requests;           /* decayed count */
    double offered;            /* decayed count */
    int offered_log2;          /* see struct de_rate */
    double prompt_tokens;      /* decayed count */
    double long_prompt_tokens; /* portion of prompt_tokens in long prompts */
    double running_usec;       /* decayed sum of request durations */
    double prefill_rate;       /* of engines without a fixed time */
    struct fi_fit prefill_fit;
    int64_t decayed_at;
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
decay(const struct de_demand *demand, struct service *service)
{
    int64_t now = Ck_Now(demand->clock);
    double factor = exp(-(double)(now - service->decayed_at) / De_SMOOTH_USEC);
    service->decayed_at = now;
    service->requests *= factor;
    service->offered *= factor;
    service->prompt_tokens *= factor;
    service->long_prompt_tokens *= factor;
    service->running_usec *= factor;
}

static struct service *
find(struct de_demand *demand, const char *name)
{
    uint32_t hash = De_Hash(name);
    for (size_t i = 0; i < demand->count; i++) {
        if (demand->services[i].hash == hash) {
            decay(demand, &demand->services[i]);
            return &demand->services[i];
        }
    }
    if (demand->count == De_SERVICES_MAX) {
        return NULL;
    }
    struct service *service = &demand->services[demand->count++];
    *service =
        (struct service){.hash = hash, .decayed_at = Ck_Now(demand->clock)};
    return service;
}

void
De_RecordSent(struct de_demand *demand, const char *name,
              int64_t prompt_tokens, bool is_long)
{
    struct service *service = find(demand, name);
    if (service != NULL) {
        service->requests += 1;
        service->prompt_tokens += (double)prompt_tokens;
        service->long_prompt_tokens += is_long ? (double)prompt_tokens : 0;
    }
}

void
De_RecordOffered(struct de_demand *demand, const char *name)
{
    struct service *service = find(demand, name);
    if (service != NULL) {
        service->offered += 1;
    }
}

/*
 * Random variation around a power of two must not change the result again and
 * again.
 */
static int
round_offered(struct service *service)
{
    double exact =
        log2(fmax(service->offered / De_SMOOTH_SEC, De_OFFERED_MIN));
    if (fabs(exact - service->offered_log2) > De_OFFERED_HYSTERESIS) {
        service->offered_log2 = (int)lround(exact);
    }
    return service->offered_log2;
}

void
De_RecordEnd(struct de_demand *demand, const char *name, int64_t usec)
{
    struct service *service = find(demand, name);
    if (service != NULL) {
        service->running_usec += (double)usec;
    }
}

void
De_RecordFirstByte(struct de_demand *demand, const char *name,
                   int64_t prompt_tokens, int64_t usec)
{
    struct service *service = find(demand, name);
    if (service == NULL || usec <= 0) {
        return;
    }
    Fi_Add(&service->prefill_fit, prompt_tokens, usec);
    if (prompt_tokens < De_PREFILL_TOKENS_MIN) {
        return;
    }
    double rate =
        (double)prompt_tokens * (double)Ck_USEC_PER_SEC / (double)usec;
    if (service->prefill_rate <= 0) {
        service->prefill_rate = rate;
    }
    double weight = rate > service->prefill_rate ? De_PREFILL_QUANTILE
                                                 : De_PREFILL_QUANTILE - 1;
    service->prefill_rate *= 1 + De_PREFILL_STEP * weight;
}

/* The prefill rate of an endpoint that also generates output. */
static double
sustained_prefill_rate(const struct service *service)
{
    double fitted = service->prefill_fit.line.tokens_per_sec;
    return fitted > 0 ? fitted * De_PREFILL_SHARE : service->prefill_rate;
}

size_t
De_LocalRates(struct de_demand *demand, struct de_rate out[De_SERVICES_MAX])
{
    for (size_t i = 0; i < demand->count; i++) {
        struct service *service = &demand->services[i];
        decay(demand, service);
        out[i] = (struct de_rate){
            .service = service->hash,
            .requests_per_sec = service->requests / De_SMOOTH_SEC,
            .offered_log2 = round_offered(service),
            .prompt_tokens_per_sec = service->prompt_tokens / De_SMOOTH_SEC,
            .long_prompt_tokens_per_sec =
                service->long_prompt_tokens / De_SMOOTH_SEC,
            .concurrency = service->running_usec / De_SMOOTH_USEC,
            .prefill_rate = sustained_prefill_rate(service),
        };
    }
    return demand->count;
}

static const struct service *
find_known(const struct de_demand *demand, const char *name)
{
    uint32_t hash = De_Hash(name);
    for (size_t i = 0; i < demand->count; i++) {
        if (demand->services[i].hash == hash) {
            return &demand->services[i];
        }
    }
    return NULL;
}

double
De_PrefillRate(const struct de_demand *demand, const char *name)
{
    const struct service *service = find_known(demand, name);
    if (service == NULL) {
        return 0;
    }
    double fitted = service->prefill_fit.line.tokens_per_sec;
    return fitted > 0 ? fitted : service->prefill_rate;
}

double
De_SustainedPrefillRate(const struct de_demand *demand, const char *name)
{
    const struct service *service = find_known(demand, name);
    return service == NULL ? 0 : sustained_prefill_rate(service);
}

int64_t
De_FixedUsec(const struct de_demand *demand, const char *name)
{
    const struct service *service = find_known(demand, name);
    return service == NULL ? 0 : (int64_t)service->prefill_fit.line.fixed_usec;
}

static int
compare_rates(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

double
De_MedianRate(double *rates, size_t count)
{
    qsort(rates, count, sizeof(*rates), compare_rates);
    return rates[count / 2];
}

static double
staffing(double busy, double utilization, double headroom)
{
    return busy / utilization + headroom * sqrt(busy);
}

int
De_EndpointsNeeded(const struct de_load *load)
{
    double needed = 1;
    if (load->prefill_rate > 0) {
        needed = staffing(load->prompt_tokens_per_sec / load->prefill_rate,
                          De_PREFILL_UTILIZATION, De_PREFILL_HEADROOM);
    }
    if (load->slots > 0) {
        double slots_needed = staffing(load->concurrency / load->slots,
                                       De_SLOT_UTILIZATION, De_SLOT_HEADROOM);
        needed = slots_needed > needed ? slots_needed : needed;
    }
    return (int)ceil(needed);
}

/*
 * The slope of the fitted line contains the decoding steps between the chunks
 * of a prompt, so the minimum uses the whole rate.  The need keeps a share of
 * it for decoding as headroom.
 */
double
De_MinFraction(const struct de_load *load, double max)
{
    if (load->prefill_rate <= 0 || load->slots <= 0) {
        return max;
    }
    double busy =
        load->prompt_tokens_per_sec * De_PREFILL_SHARE / load->prefill_rate;
    double prefill =
        max * staffing(busy, De_PREFILL_UTILIZATION, De_PREFILL_HEADROOM);
    double slots = load->concurrency / load->slots / De_SLOT_UTILIZATION_MAX;
    return fmin(max, fmax(prefill, slots) / De_EndpointsNeeded(load));
}

double
De_MissingForLimit(double requests_per_sec, int needed, double limit_per_sec)
{
    double each = requests_per_sec / needed;
    return limit_per_sec < each ? 1 - limit_per_sec / each : 0;
}
