#include "edge/plan.h"

#include <math.h>

/*
 * Demand is planned with room for a burst and the loss of a data centre; at
 * this part of it an engine is used about half, still on time.
 */
#define Pn_LEAST_PART 0.55

/* Time constant of the load without short peaks. */
#define Pn_STEADY_USEC (12 * Ck_USEC_PER_SEC)

/*
 * A successor has seen no load yet, and after a restart of all hosts callers
 * come back one by one: what it sees at first is no measure.
 */
void
Pn_StartSteady(struct pn_steady *steady, int endpoints, int64_t now)
{
    steady->endpoints = endpoints;
    steady->at = now;
}

/*
 * Retries and queues make a load seem larger for the seconds in which it is
 * served badly; lasting endpoints ordered for that come when it is over, and
 * cost the most.
 */
void
Pn_NoteSteady(struct pn_steady *steady, int needed, int64_t now)
{
    if (steady->at == 0) {
        Pn_StartSteady(steady, needed, now);
    }
    double part = exp(-(double)(now - steady->at) / (double)Pn_STEADY_USEC);
    steady->at = now;
    steady->endpoints = part * steady->endpoints + (1 - part) * needed;
}

static int
at_most(int value, int limit)
{
    return value < limit ? value : limit;
}

/* The data centre with the fewest wished for, the cheapest among equals. */
static size_t
next_zone(const struct pn_service *service, const struct pn_zone *zones,
          const struct pn_wish *wishes, size_t count, bool spot)
{
    size_t best = count;
    for (size_t i = 0; i < count; i++) {
        int have = wishes[i].spot + wishes[i].lasting;
        if (have >= service->max || (spot && zones[i].dry)) {
            continue;
        }
        if (best == count) {
            best = i;
            continue;
        }
        int other = wishes[best].spot + wishes[best].lasting;
        if (have < other ||
            (have == other && zones[i].price < zones[best].price)) {
            best = i;
        }
    }
    return best;
}

static int
total(const struct pn_wish *wishes, size_t count)
{
    int sum = 0;
    for (size_t i = 0; i < count; i++) {
        sum += wishes[i].spot + wishes[i].lasting;
    }
    return sum;
}

static void
spread(const struct pn_service *service, const struct pn_zone *zones,
       struct pn_wish *wishes, size_t count, bool spot, int until)
{
    while (total(wishes, count) < until) {
        size_t zone = next_zone(service, zones, wishes, count, spot);
        if (zone == count) {
            return;
        }
        if (spot) {
            wishes[zone].spot++;
        }
        else {
            wishes[zone].lasting++;
        }
    }
}

/* Endpoints below which answers come late. */
static int
least_of(const struct pn_service *service)
{
    return (int)ceil(service->steady * Pn_LEAST_PART);
}

/*
 * While no reclaimable endpoints are to be had, the next data centre that is
 * reclaimed is not made good, and lasting ones take seconds to start: they
 * are ordered before it goes.
 */
static int
at_risk(const struct pn_zone *zones, size_t count)
{
    int most = 0;
    bool dry = false;
    for (size_t i = 0; i < count; i++) {
        dry |= zones[i].dry;
        most = zones[i].spot > most ? zones[i].spot : most;
    }
    return dry ? most : 0;
}

/*
 * Lasting endpoints stand in for reclaimable ones that are not there: they
 * cost several times as much, so only up to the part of the load's endpoints
 * below which answers come late.
 */
static int
stand_ins(const struct pn_service *service, const struct pn_zone *zones,
          size_t count)
{
    int there = -at_risk(zones, count);
    for (size_t i = 0; i < count; i++) {
        there += zones[i].spot + zones[i].spot_coming;
    }
    int least = least_of(service);
    return least > there ? least - there : 0;
}

static int
more_of(int a, int b)
{
    return a > b ? a : b;
}

/*
 * What serves, or is on its way, stays until enough of what replaces it is
 * usable: an order taken back while its endpoints start leaves a service
 * without either kind, again and again while reclaimable ones are now
 * offered, now not.
 */
static void
keep_until_replaced(const struct pn_service *service,
                    const struct pn_zone *zones, struct pn_wish *wishes,
                    size_t count)
{
    int usable = 0;
    for (size_t i = 0; i < count; i++) {
        usable += at_most(zones[i].spot, wishes[i].spot) +
                  at_most(zones[i].lasting, wishes[i].lasting);
    }
    int short_by = service->wanted - usable;
    for (size_t i = 0; i < count && short_by > 0; i++) {
        int room = service->max - wishes[i].lasting - wishes[i].spot;
        int more = at_most(more_of(zones[i].spot - wishes[i].spot, 0),
                           at_most(short_by, more_of(room, 0)));
        wishes[i].spot += more;
        short_by -= more;
    }
    short_by -= service->wanted - service->steady;
    for (size_t i = 0; i < count && short_by > 0; i++) {
        int have = more_of(zones[i].lasting, zones[i].lasting_ordered);
        int keep = at_most(more_of(have - wishes[i].lasting, 0), short_by);
        wishes[i].lasting += keep;
        short_by -= keep;
        if (wishes[i].lasting + wishes[i].spot > service->max) {
            wishes[i].spot =
                more_of(service->max - wishes[i].lasting, zones[i].spot);
        }
    }
}

void
Pn_Plan(const struct pn_service *service, const struct pn_zone *zones,
        size_t count, struct pn_wish *wishes)
{
    bool offered = service->spot_price > 0 && service->spot_price < 1;
    int lasting = offered ? stand_ins(service, zones, count) : service->wanted;
    for (size_t i = 0; i < count; i++) {
        wishes[i] = (struct pn_wish){0, 0};
        if (offered) {
            /* Those that are there stay; an order below them ends them. */
            wishes[i].spot = zones[i].dry ? zones[i].spot : service->min;
        }
        wishes[i].lasting = more_of(service->min - wishes[i].spot, 0);
        lasting -= wishes[i].lasting;
    }
    if (offered) {
        spread(service, zones, wishes, count, true, service->wanted);
    }
    spread(service, zones, wishes, count, false,
           total(wishes, count) + more_of(lasting, 0));
    keep_until_replaced(service, zones, wishes, count);
}
