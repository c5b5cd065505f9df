#include "state/budget.h"

#include <stdlib.h>

#define Bg_DEFAULT_PER_SEC 2.0
#define Bg_DEFAULT_BURST 10.0

struct bucket {
    double per_sec;
    double burst;
    double tokens;
};

struct bg_budget {
    const struct ck_clock *clock;
    int64_t refilled_at;
    struct bucket buckets[BG_PURPOSES];
};

/*
 * Creates a budget of 2 appends per second for each purpose; returns NULL if
 * out of memory.
 */
struct bg_budget *
Bg_Create(const struct ck_clock *clock)
{
    struct bg_budget *budget = calloc(1, sizeof(*budget));
    if (budget == NULL) {
        return NULL;
    }
    budget->clock = clock;
    budget->refilled_at = Ck_Now(clock);
    for (int i = 0; i < BG_PURPOSES; i++) {
        Bg_SetRate(budget, (enum bg_purpose)i, Bg_DEFAULT_PER_SEC,
                   Bg_DEFAULT_BURST);
    }
    return budget;
}

/* Frees a budget; no writer may use it afterwards. */
void
Bg_Destroy(struct bg_budget *budget)
{
    free(budget);
}

/* Sets the rate and the burst of a purpose and fills its bucket. */
void
Bg_SetRate(struct bg_budget *budget, enum bg_purpose purpose, double per_sec,
           double burst)
{
    struct bucket *bucket = &budget->buckets[purpose];
    bucket->per_sec = per_sec;
    bucket->burst = burst;
    bucket->tokens = burst;
}

static void
refill(struct bg_budget *budget)
{
    int64_t now = Ck_Now(budget->clock);
    double seconds = (double)(now - budget->refilled_at) / Ck_USEC_PER_SEC;
    budget->refilled_at = now;
    if (seconds <= 0) {
        return;
    }
    for (int i = 0; i < BG_PURPOSES; i++) {
        struct bucket *bucket = &budget->buckets[i];
        bucket->tokens += seconds * bucket->per_sec;
        if (bucket->tokens > bucket->burst) {
            bucket->tokens = bucket->burst;
        }
    }
}

/* Takes the token for one append; returns false if the append must wait. */
bool
Bg_Take(struct bg_budget *budget, enum bg_purpose purpose)
{
    refill(budget);
    if (budget->buckets[purpose].tokens >= 1) {
        budget->buckets[purpose].tokens -= 1;
        return true;
    }
    for (int i = BG_PURPOSES - 1; i > (int)purpose; i--) {
        if (budget->buckets[i].tokens >= 1) {
            budget->buckets[i].tokens -= 1;
            return true;
        }
    }
    return false;
}
