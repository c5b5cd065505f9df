/*
 * Offers that refused a start: each is not tried again until a backoff has
 * passed, which grows with each refusal. Otherwise a cloud that is out of one
 * host class would be asked every second while another data centre has hosts.
 */
#include <bsd/sys/queue.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "policy/fleet.h"

#define BACKOFF_MIN_USEC (30 * Ck_USEC_PER_SEC)
#define BACKOFF_DOUBLINGS_MAX 6

struct refusal {
    SLIST_ENTRY(refusal) entry;
    struct ft_offer offer;
    int count;
    int64_t retry_at;
};

struct ft_refusals {
    SLIST_HEAD(refusal_list, refusal) list;
};

/* Creates an empty table; NULL when there is no memory. */
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
find_refusal(const struct ft_refusals *refusals, const struct ft_offer *offer)
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

/*
 * Records a refused start; the backoff is 30 s, doubled with each refusal up
 * to 32 min, plus up to a quarter of it at random.
 */
enum st_status
Ft_Refused(struct ft_refusals *refusals, const struct ft_offer *offer,
           struct rn_random *random, int64_t now)
{
    struct refusal *refusal = find_refusal(refusals, offer);
    if (refusal == NULL) {
        refusal = calloc(1, sizeof(*refusal));
        if (refusal == NULL) {
            return St_Fail(ST_NO_MEMORY, "no memory for a refusal; restart "
                                         "the daemon on a larger host");
        }
        refusal->offer = *offer;
        SLIST_INSERT_HEAD(&refusals->list, refusal, entry);
    }
    int64_t backoff = BACKOFF_MIN_USEC << refusal->count;
    backoff += (int64_t)((double)backoff * Rn_Unit(random) / 4);
    refusal->retry_at = now + backoff;
    if (refusal->count < BACKOFF_DOUBLINGS_MAX) {
        refusal->count++;
    }
    return ST_OK;
}

/* Records an accepted start, which resets the offer's backoff. */
void
Ft_Accepted(struct ft_refusals *refusals, const struct ft_offer *offer)
{
    struct refusal *refusal = find_refusal(refusals, offer);
    if (refusal != NULL) {
        refusal->count = 0;
        refusal->retry_at = 0;
    }
}

/* Whether the offer may be tried: its backoff, if any, has passed. */
bool
Ft_MayTry(const struct ft_refusals *refusals, const struct ft_offer *offer,
          int64_t now)
{
    const struct refusal *refusal =
        refusals != NULL ? find_refusal(refusals, offer) : NULL;
    return refusal == NULL || now >= refusal->retry_at;
}
