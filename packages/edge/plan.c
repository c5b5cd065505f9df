#include "edge/plan.h"

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
       struct pn_wish *wishes, size_t count, bool spot)
{
    while (total(wishes, count) < service->wanted) {
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

/*
 * What is there keeps serving until what replaces it does: lasting endpoints
 * beyond the wish go only as far as usable reclaimable ones have come.
 */
static void
keep_until_replaced(const struct pn_service *service,
                    const struct pn_zone *zones, struct pn_wish *wishes,
                    size_t count)
{
    int usable = 0;
    for (size_t i = 0; i < count; i++) {
        usable += zones[i].spot + at_most(zones[i].lasting, wishes[i].lasting);
    }
    int short_by = service->wanted - usable;
    for (size_t i = 0; i < count && short_by > 0; i++) {
        int spare = zones[i].lasting - wishes[i].lasting;
        int keep = at_most(spare > 0 ? spare : 0, short_by);
        wishes[i].lasting += keep;
        short_by -= keep;
        if (wishes[i].lasting + wishes[i].spot > service->max) {
            wishes[i].spot = service->max - wishes[i].lasting;
        }
    }
}

void
Pn_Plan(const struct pn_service *service, const struct pn_zone *zones,
        size_t count, struct pn_wish *wishes)
{
    for (size_t i = 0; i < count; i++) {
        wishes[i] = (struct pn_wish){0, 0};
        if (zones[i].dry) {
            /* Those that are there stay; an order below them ends them. */
            wishes[i].spot = zones[i].spot;
        }
        else if (service->spot_price <= 0) {
            wishes[i].lasting = service->min;
        }
        else {
            wishes[i].spot = service->min;
        }
    }
    if (service->spot_price > 0 && service->spot_price < 1) {
        spread(service, zones, wishes, count, true);
    }
    for (size_t i = 0; i < count; i++) {
        if (wishes[i].spot + wishes[i].lasting < service->min) {
            wishes[i].lasting = service->min - wishes[i].spot;
        }
    }
    spread(service, zones, wishes, count, false);
    keep_until_replaced(service, zones, wishes, count);
}
