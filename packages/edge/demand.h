/*
 * Measures the load of each service on this daemon: prompt tokens per second,
 * concurrent requests, and the prefill rate of its endpoints (prompt tokens
 * that one endpoint processes per second).  The sums over all daemons
 * determine how many endpoints are ordered.
 */
#ifndef EDGE_DEMAND_H
#define EDGE_DEMAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

#define De_SERVICES_MAX 16

struct de_rate {
    uint32_t service; /* hash of the service's name */
    /*
     * Requests a second that callers sent, also those that were refused, as
     * the nearest power of two; it changes with a clear change of the load
     * only.
     */
    int offered_log2;
    double requests_per_sec;
    /* prompt tokens per second that need prefill */
    double prompt_tokens_per_sec;
    /* portion of prompt_tokens_per_sec in long prompts */
    double long_prompt_tokens_per_sec;
    double concurrency; /* mean number of concurrent requests at endpoints */
    /* measured for one endpoint, tokens per second; 0: not measured yet */
    double prefill_rate;
};

struct de_demand;

struct de_demand *De_Create(const struct ck_clock *clock);
void De_Destroy(struct de_demand *demand);
uint32_t De_Hash(const char *service);
/* Counts a request sent with this many prompt tokens to prefill. */
void De_RecordSent(struct de_demand *demand, const char *service,
                   int64_t prompt_tokens, bool is_long);
/* Counts a request of a caller, before it is sent or refused. */
void De_RecordOffered(struct de_demand *demand, const char *service);
/* Counts the end of a request that ran at an endpoint for "usec". */
void De_RecordEnd(struct de_demand *demand, const char *service, int64_t usec);
/*
 * Updates the prefill rate from a time to the first byte, measured while the
 * endpoint had no other prompt of this daemon to prefill.
 */
void De_RecordFirstByte(struct de_demand *demand, const char *service,
                        int64_t prompt_tokens, int64_t usec);
size_t De_LocalRates(struct de_demand *demand,
                     struct de_rate out[De_SERVICES_MAX]);
/*
 * Returns the prefill rate of one endpoint in tokens per second; 0: not known
 * yet.
 */
double De_PrefillRate(const struct de_demand *demand, const char *service);
/* The same for an endpoint that also generates output, for ordering. */
double De_SustainedPrefillRate(const struct de_demand *demand,
                               const char *service);
/*
 * Returns the part of the time to the first token that does not depend on the
 * prompt, in microseconds; 0: short, or not known yet.
 */
int64_t De_FixedUsec(const struct de_demand *demand, const char *service);

/*
 * Returns the median of prefill rates that several daemons measured, at least
 * one; changes their order.
 */
double De_MedianRate(double *rates, size_t count);

/*
 * Load of a service over all daemons.  De_EndpointsNeeded() returns the
 * endpoints that carry it with headroom.
 */
struct de_load {
    double prompt_tokens_per_sec;
    double concurrency;
    double prefill_rate;
    int slots;
};
int De_EndpointsNeeded(const struct de_load *load);
/*
 * Returns the fraction of De_EndpointsNeeded() that still answers on time; at
 * most "max".  For engines with a fixed time only, whose "load" has the rate
 * of De_SustainedPrefillRate().
 */
double De_MinFraction(const struct de_load *load, double max);
/*
 * Fraction of an endpoint that is missing, where "needed" endpoints carry
 * these requests and one takes no more than "limit_per_sec" of them.
 */
double De_MissingForLimit(double requests_per_sec, int needed,
                          double limit_per_sec);

#ifdef __cplusplus
}
#endif

#endif
