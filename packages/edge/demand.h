/*
 * How much is asked of each service, by this daemon and by all: prompt tokens
 * to be read a second, requests running, and how fast an endpoint has been
 * seen to read.  What capacity is ordered by.
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
    uint32_t service; /* hash of the name */
    double sent;      /* requests a second */
    double reading;   /* prompt tokens a second */
    double in_long;   /* of these, in long prompts */
    double running;   /* requests at endpoints, on average */
    double read_rate; /* of one endpoint, as seen here; 0: not yet */
};

struct de_demand;

struct de_demand *De_Create(const struct ck_clock *clock);
void De_Destroy(struct de_demand *demand);
uint32_t De_Hash(const char *service);
/* A request with so many tokens to be read was sent. */
void De_Sent(struct de_demand *demand, const char *service, int64_t reading,
             bool is_long);
/* A request ended that had been at an endpoint for so long. */
void De_Ended(struct de_demand *demand, const char *service, int64_t usec);
/* The first byte came after so long, where nothing else was being read. */
void De_First(struct de_demand *demand, const char *service, int64_t reading,
              int64_t usec);
size_t De_Own(struct de_demand *demand, struct de_rate out[De_SERVICES_MAX]);
/* Tokens a second that one endpoint reads; 0: not known yet. */
double De_ReadRate(const struct de_demand *demand, const char *service);

/* Endpoints that carry a load with room to spare; pure. */
struct de_load {
    double reading;
    double running;
    double read_rate;
    int slots;
};
int De_Needed(const struct de_load *load);

#ifdef __cplusplus
}
#endif

#endif
