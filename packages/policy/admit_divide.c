/*
 * Division of a limit among daemons. It is a pure function of the received
 * demands, so daemons that received the same demands compute shares that sum
 * to the limit.
 */
#include <math.h>
#include <stdlib.h>

#include "policy/admit_internal.h"

/* Least share of any daemon, as a fraction of the even share. */
#define MIN_SHARE_FACTOR 0.25

static double
effective_demand(const struct am_claimant *claimant, double even)
{
    return fmax(claimant->demand, even * MIN_SHARE_FACTOR);
}

/*
 * Max-min fair level: each demand is met up to this level, so that together
 * they use "available". When "available" exceeds the sum of the demands,
 * *spare is what each responsive daemon gets beyond its demand.
 */
static double
fill_level(double available, double even, const struct am_claimant *claimants,
           size_t count, double *spare)
{
    double sum = 0;
    double highest = 0;
    size_t active = 0;
    *spare = 0;
    for (size_t i = 0; i < count; i++) {
        if (!claimants[i].unresponsive) {
            double demand = effective_demand(&claimants[i], even);
            sum += demand;
            highest = fmax(highest, demand);
            active++;
        }
    }
    if (sum <= available) {
        *spare = active > 0 ? (available - sum) / (double)active : 0;
        return highest;
    }
    double low = 0;
    double high = highest;
    for (int step = 0; step < 60; step++) {
        double level = (low + high) / 2;
        double taken = 0;
        for (size_t i = 0; i < count; i++) {
            if (!claimants[i].unresponsive) {
                taken += fmin(effective_demand(&claimants[i], even), level);
            }
        }
        if (taken > available) {
            high = level;
        }
        else {
            low = level;
        }
    }
    return low;
}

/*
 * This daemon's share of a limit on a rate: small demands are met in full,
 * large ones up to a common level. The even share of an unresponsive daemon
 * stays reserved: that daemon may be serving on the other side of a network
 * partition, where it takes the same even share for itself.
 */
double
am_divide(double limit, const struct am_claimant *claimants, size_t count)
{
    double even = limit / (double)count;
    double available = limit;
    double spare;
    for (size_t i = 0; i < count; i++) {
        available -= claimants[i].unresponsive ? even : 0;
    }
    double level = fill_level(available, even, claimants, count, &spare);
    for (size_t i = 0; i < count; i++) {
        if (claimants[i].self) {
            return fmin(effective_demand(&claimants[i], even), level) + spare;
        }
    }
    return 0;
}

static int
by_rank(const void *a, const void *b)
{
    const struct am_claimant *x = a;
    const struct am_claimant *y = b;
    return (x->rank > y->rank) - (x->rank < y->rank);
}

struct remainder {
    size_t index;
    double fraction;
};

static int
by_fraction(const void *a, const void *b)
{
    const struct remainder *x = a;
    const struct remainder *y = b;
    if (x->fraction != y->fraction) {
        return x->fraction < y->fraction ? 1 : -1;
    }
    return (x->index > y->index) - (x->index < y->index);
}

/*
 * Each peer is taken to use the slots that it last published, or its even
 * share if it published none or is unresponsive. Sorts the claimants by rank,
 * which decides who gets the slots left over by an even division.
 */
struct am_free_slots
am_count_free_slots(int limit, struct am_claimant *claimants, size_t count)
{
    struct am_free_slots slots = {.free = limit};
    qsort(claimants, count, sizeof(*claimants), by_rank);
    for (size_t i = 0; i < count; i++) {
        int even = limit / (int)count + ((int)i < limit % (int)count);
        if (claimants[i].self) {
            slots.even = even;
        }
        else if (claimants[i].unresponsive || claimants[i].slots < 0) {
            slots.free -= even;
        }
        else {
            slots.free -= claimants[i].slots;
        }
    }
    slots.free = slots.free > 0 ? slots.free : 0;
    return slots;
}

/*
 * Like am_divide(), for a limit in whole slots; sorts the claimants by rank.
 * The slots reserved for unresponsive daemons are whole too and depend on the
 * ranks alone, so that each side of a network partition reserves exactly the
 * slots that the other side takes. Returns 0 when there is no memory, because
 * refusing requests keeps the limit.
 */
int
am_divide_whole(int limit, struct am_claimant *claimants, size_t count)
{
    qsort(claimants, count, sizeof(*claimants), by_rank);
    int even = limit / (int)count;
    int extra = limit % (int)count;
    int available = limit;
    for (size_t i = 0; i < count; i++) {
        available -= claimants[i].unresponsive ? even + ((int)i < extra) : 0;
    }
    struct remainder *remainders = calloc(count, sizeof(*remainders));
    if (remainders == NULL) {
        return 0;
    }
    double spare;
    double even_share = (double)limit / (double)count;
    double level = fill_level(available, even_share, claimants, count, &spare);
    int left = available;
    int own = 0;
    for (size_t i = 0; i < count; i++) {
        remainders[i].index = i;
        remainders[i].fraction = -1;
        if (claimants[i].unresponsive) {
            continue;
        }
        double exact =
            fmin(effective_demand(&claimants[i], even_share), level) + spare;
        int whole = (int)(exact + 1e-9);
        remainders[i].fraction = exact - whole;
        left -= whole;
        own += claimants[i].self ? whole : 0;
    }
    qsort(remainders, count, sizeof(*remainders), by_fraction);
    for (size_t i = 0; i < count && (int)i < left; i++) {
        own +=
            remainders[i].fraction >= 0 && claimants[remainders[i].index].self;
    }
    free(remainders);
    return own;
}
