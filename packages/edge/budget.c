#include "edge/budget.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "edge/config.h"

#define Bu_SERVICES_MAX 64
#define Bu_STEPS 20 /* the window slides in steps of a twentieth */
/*
 * Part of the bound that is used.  Windows slide, requests may be few at the
 * start of one, and hosts may come and go unseen.
 */
#define Bu_PART 0.6

struct service {
    char name[Ec_NAME_MAX];
    int64_t step; /* number of the newest step */
    int firsts[Bu_STEPS];
    int repeats[Bu_STEPS];
};

struct bu_budget {
    const struct ck_clock *clock;
    double ratio;
    double extra;
    int64_t step_usec;
    size_t daemons;
    size_t count;
    struct service services[Bu_SERVICES_MAX];
};

struct bu_budget *
Bu_Create(const struct ck_clock *clock, double ratio, double extra,
          int64_t window_usec)
{
    struct bu_budget *budget = calloc(1, sizeof(*budget));
    if (budget != NULL) {
        budget->clock = clock;
        budget->ratio = ratio;
        budget->extra = extra;
        budget->step_usec = window_usec / Bu_STEPS;
        budget->daemons = 1;
    }
    return budget;
}

void
Bu_Destroy(struct bu_budget *budget)
{
    free(budget);
}

void
Bu_SetDaemons(struct bu_budget *budget, size_t daemons)
{
    budget->daemons = daemons > 0 ? daemons : 1;
}

static struct service *
find(struct bu_budget *budget, const char *name)
{
    for (size_t i = 0; i < budget->count; i++) {
        if (strcmp(budget->services[i].name, name) == 0) {
            return &budget->services[i];
        }
    }
    if (budget->count == Bu_SERVICES_MAX) {
        return NULL;
    }
    struct service *service = &budget->services[budget->count++];
    strlcpy(service->name, name, sizeof(service->name));
    return service;
}

static struct service *
advance(struct bu_budget *budget, const char *name)
{
    struct service *service = find(budget, name);
    if (service == NULL) {
        return NULL;
    }
    int64_t step = Ck_Now(budget->clock) / budget->step_usec;
    int64_t from = service->step + 1;
    if (step - from >= Bu_STEPS) {
        from = step - Bu_STEPS + 1;
    }
    for (; from <= step; from++) {
        service->firsts[from % Bu_STEPS] = 0;
        service->repeats[from % Bu_STEPS] = 0;
    }
    service->step = step;
    return service;
}

/* Counts a request that goes to its first endpoint. */
void
Bu_First(struct bu_budget *budget, const char *service)
{
    struct service *found = advance(budget, service);
    if (found != NULL) {
        found->firsts[found->step % Bu_STEPS]++;
    }
}

static bool
has_room(const struct bu_budget *budget, const struct service *service)
{
    int firsts = 0;
    int repeats = 0;
    for (size_t i = 0; i < Bu_STEPS; i++) {
        firsts += service->firsts[i];
        repeats += service->repeats[i];
    }
    double allowed = Bu_PART * (budget->ratio * firsts +
                                budget->extra / (double)budget->daemons);
    return repeats + 1 <= allowed;
}

bool
Bu_CanRepeat(struct bu_budget *budget, const char *service)
{
    const struct service *found = advance(budget, service);
    return found != NULL && has_room(budget, found);
}

/* Takes one repeat; false when the budget is spent. */
bool
Bu_Repeat(struct bu_budget *budget, const char *service)
{
    struct service *found = advance(budget, service);
    if (found == NULL || !has_room(budget, found)) {
        return false;
    }
    found->repeats[found->step % Bu_STEPS]++;
    return true;
}
