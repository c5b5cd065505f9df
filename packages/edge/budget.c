#include "edge/budget.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "edge/config.h"

#define Bu_SERVICES_MAX 64
#define Bu_STEPS 20 /* the window slides in steps of 1/20 of its length */
/*
 * Fraction of the bound that hosts spend.  The rest is a margin: windows
 * slide, there may be few requests at the start of a window, and hosts may
 * join or leave unnoticed.
 */
#define Bu_USED_FRACTION 0.6

struct service {
    char name[Ec_NAME_MAX];
    int64_t step; /* number of the newest step */
    int first_attempts[Bu_STEPS];
    int retries[Bu_STEPS];
};

struct bu_budget {
    const struct ck_clock *clock;
    double ratio;
    double extra;
    int64_t step_usec;
    size_t hosts;
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
        budget->hosts = 1;
    }
    return budget;
}

void
Bu_Destroy(struct bu_budget *budget)
{
    free(budget);
}

void
Bu_SetHosts(struct bu_budget *budget, size_t hosts)
{
    budget->hosts = hosts > 0 ? hosts : 1;
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
        service->first_attempts[from % Bu_STEPS] = 0;
        service->retries[from % Bu_STEPS] = 0;
    }
    service->step = step;
    return service;
}

/* Counts the first attempt of a request. */
void
Bu_CountFirst(struct bu_budget *budget, const char *service)
{
    struct service *found = advance(budget, service);
    if (found != NULL) {
        found->first_attempts[found->step % Bu_STEPS]++;
    }
}

static bool
has_room(const struct bu_budget *budget, const struct service *service)
{
    int first_attempts = 0;
    int retries = 0;
    for (size_t i = 0; i < Bu_STEPS; i++) {
        first_attempts += service->first_attempts[i];
        retries += service->retries[i];
    }
    double allowed =
        Bu_USED_FRACTION * (budget->ratio * first_attempts +
                            budget->extra / (double)budget->hosts);
    return retries + 1 <= allowed;
}

bool
Bu_CanRetry(struct bu_budget *budget, const char *service)
{
    const struct service *found = advance(budget, service);
    return found != NULL && has_room(budget, found);
}

/* Takes one retry from the budget; returns false when it is spent. */
bool
Bu_TakeRetry(struct bu_budget *budget, const char *service)
{
    struct service *found = advance(budget, service);
    if (found == NULL || !has_room(budget, found)) {
        return false;
    }
    found->retries[found->step % Bu_STEPS]++;
    return true;
}
