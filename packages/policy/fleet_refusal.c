/*
 * Offers that refused a start: each is left alone for a while, longer each
 * time.  A cloud out of one class would otherwise be asked every second
 * while another data centre has hosts.
 */
#include <bsd/sys/queue.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "policy/fleet.h"

#define FIRST_PAUSE (30 * Ck_USEC_PER_SEC)
#define DOUBLINGS_MAX 6

struct refusal {
    SLIST_ENTRY(refusal) entry;
    struct ft_offer offer;
    int count;
    int64_t until;
};

struct ft_refusals {
    SLIST_HEAD(refusal_list, refusal) list;
};

/* Makes an empty table; NULL when there is no memory. */
struct ft_refusals *
Ft_RefusalsCreate(void)
{
    struct ft_refusals *refusals = calloc(1, sizeof(*refusals));
    if (refusals != NULL) {
        SLIST_INIT(&refusals->list);
    }
    return refusals;
}

/* Frees the refusals; NULL is allowed. */
void
Ft_RefusalsDestroy(struct ft_refusals *refusals)
{
    if (refusals == NULL) {
        return;
    }
    struct refusal *refusal;
    struct refusal *next;
    SLIST_FOREACH_SAFE(refusal, &refusals->list, entry, next)
    {
        free(refusal);
    }
    free(refusals);
}

static struct refusal *
find(const struct ft_refusals *refusals, const struct ft_offer *offer)
{
    struct refusal *refusal;
    SLIST_FOREACH (refusal, &refusals->list, entry) {
        if (refusal->offer.reclaimable == offer->reclaimable &&
            strcmp(refusal->offer.data_centre, offer->data_centre) == 0 &&
            strcmp(refusal->offer.host_class, offer->host_class) == 0) {
            return refusal;
        }
    }
    return NULL;
}

/* Enters a refused start; the pause is 30 s, doubled each time, to 32 min. */
enum st_status
Ft_Refused(struct ft_refusals *refusals, const struct ft_offer *offer,
           struct rn_random *random, int64_t now)
{
    struct refusal *refusal = find(refusals, offer);
    if (refusal == NULL) {
        refusal = calloc(1, sizeof(*refusal));
        if (refusal == NULL) {
            return St_Fail(ST_NO_MEMORY, "no memory for a refusal; restart "
                                         "the daemon on a larger host");
        }
        refusal->offer = *offer;
        SLIST_INSERT_HEAD(&refusals->list, refusal, entry);
    }
    int64_t pause = FIRST_PAUSE << refusal->count;
    pause += (int64_t)((double)pause * Rn_Unit(random) / 4);
    refusal->until = now + pause;
    if (refusal->count < DOUBLINGS_MAX) {
        refusal->count++;
    }
    return ST_OK;
}

/* Enters a start that was accepted. */
void
Ft_Accepted(struct ft_refusals *refusals, const struct ft_offer *offer)
{
    struct refusal *refusal = find(refusals, offer);
    if (refusal != NULL) {
        refusal->count = 0;
        refusal->until = 0;
    }
}

/* Whether the offer is not being left alone. */
bool
Ft_MayTry(const struct ft_refusals *refusals, const struct ft_offer *offer,
          int64_t now)
{
    const struct refusal *refusal =
        refusals != NULL ? find(refusals, offer) : NULL;
    return refusal == NULL || now >= refusal->until;
}
