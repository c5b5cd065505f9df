#include "fleet_model.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define USEC_PER_SEC INT64_C(1000000)
#define STEP_USEC (10 * USEC_PER_SEC)
#define DAY_USEC (86400 * USEC_PER_SEC)
#define DATA_CENTRES 4
#define OFFERS (DATA_CENTRES * 2)
#define HOSTS 256
#define START_USEC (180 * USEC_PER_SEC)
#define FORECAST_USEC (300 * USEC_PER_SEC)
#define RECLAIM_NOTICE_USEC (30 * USEC_PER_SEC)

struct sim {
    struct rn_random random;
    struct ft_offer offers[OFFERS];
    struct ft_host hosts[HOSTS];
    int64_t due_at[HOSTS]; /* when it runs or, once reclaimed, is gone */
    size_t count;
    int64_t refused_until[OFFERS];
    struct ft_forecast forecast;
    struct ft_refusals *refusals;
    int64_t now;
    struct fleet_result *out;
};

static double
load(struct sim *s)
{
    double hour = (double)(s->now % DAY_USEC) / 3600e6;
    double lunch = exp(-pow((hour - 12) / 1.2, 2));
    double evening = exp(-pow((hour - 19) / 1.5, 2));
    double noise = 0.95 + 0.1 * Rn_Unit(&s->random);
    return (10 + 40 * lunch + 70 * evening) * noise;
}

static void
set_up(struct sim *s)
{
    for (int i = 0; i < OFFERS; i++) {
        struct ft_offer *offer = &s->offers[i];
        snprintf(offer->data_centre, sizeof(offer->data_centre), "dc%d",
                 i % DATA_CENTRES);
        snprintf(offer->host_class, sizeof(offer->host_class), "a");
        offer->reclaimable = i < DATA_CENTRES;
        offer->price = offer->reclaimable ? 1 + 0.15 * i : 3;
        offer->capacity = 5;
    }
}

static void
remove_host(struct sim *s, size_t i)
{
    s->count--;
    s->hosts[i] = s->hosts[s->count];
    s->due_at[i] = s->due_at[s->count];
}

static void
apply_events(struct sim *s)
{
    double days_per_step = (double)STEP_USEC / (double)DAY_USEC;
    for (int c = 0; c < DATA_CENTRES; c++) {
        bool reclaim = Rn_Unit(&s->random) < 1.0 * days_per_step;
        if (Rn_Unit(&s->random) < 3 * days_per_step) {
            s->refused_until[c] = s->now + 3600 * USEC_PER_SEC;
        }
        for (size_t i = 0; reclaim && i < s->count; i++) {
            struct ft_host *host = &s->hosts[i];
            if (host->offer.reclaimable &&
                strcmp(host->offer.data_centre, s->offers[c].data_centre) ==
                    0) {
                host->state = FT_RECLAIMED;
                s->due_at[i] = s->now + RECLAIM_NOTICE_USEC;
            }
        }
        s->refused_until[c] =
            reclaim ? s->now + 1800 * USEC_PER_SEC : s->refused_until[c];
    }
    for (size_t i = 0; i < s->count; i++) {
        if (s->hosts[i].state == FT_STARTING && s->now >= s->due_at[i]) {
            s->hosts[i].state = FT_RUNNING;
        }
        else if (s->hosts[i].state == FT_RECLAIMED && s->now >= s->due_at[i]) {
            remove_host(s, i--);
        }
    }
}

static void
buy(struct sim *s, size_t offer)
{
    if (s->now < s->refused_until[offer] || s->count == HOSTS) {
        Ft_Refused(s->refusals, &s->offers[offer], &s->random, s->now);
        return;
    }
    Ft_Accepted(s->refusals, &s->offers[offer]);
    struct ft_host *host = &s->hosts[s->count];
    memset(host, 0, sizeof(*host));
    host->offer = s->offers[offer];
    host->state = FT_STARTING;
    s->due_at[s->count] = s->now + START_USEC;
    s->count++;
}

static void
act(struct sim *s, const struct ft_step *steps, size_t count)
{
    for (size_t i = count; i > 0; i--) {
        const struct ft_step *step = &steps[i - 1];
        if (step->kind == FT_BUY) {
            buy(s, step->index);
        }
        else if (step->kind == FT_DRAIN) {
            s->hosts[step->index].state = FT_DRAINING;
            /* One request ends per step, so the rest takes a minute. */
            s->hosts[step->index].in_flight = 6;
        }
        else {
            s->out->cut_off += s->hosts[step->index].in_flight > 0;
            remove_host(s, step->index);
        }
    }
}

static void
account(struct sim *s, double per_sec, double *requests, double *missed,
        double *hours)
{
    double capacity = 0;
    for (size_t i = 0; i < s->count; i++) {
        struct ft_host *host = &s->hosts[i];
        double step_hours = (double)STEP_USEC / 3600e6;
        bool serves = host->state == FT_RUNNING || host->state == FT_RECLAIMED;
        s->out->cost += host->offer.price * step_hours;
        *hours += step_hours;
        s->out->on_demand += host->offer.reclaimable ? 0 : step_hours;
        capacity += serves ? host->offer.capacity : 0;
        host->in_flight -=
            host->state == FT_DRAINING && host->in_flight > 0 ? 1 : 0;
    }
    *requests += per_sec;
    *missed += fmax(0, per_sec - capacity);
}

void
Fleet_Run(const struct ft_ops *ops, uint64_t seed, int days,
          struct fleet_result *out)
{
    struct sim s = {.out = out};
    double requests = 0;
    double missed = 0;
    double hours = 0;
    memset(out, 0, sizeof(*out));
    Rn_Seed(&s.random, seed);
    s.refusals = Ft_RefusalsCreate();
    set_up(&s);
    for (s.now = STEP_USEC; s.now < days * DAY_USEC; s.now += STEP_USEC) {
        double per_sec = load(&s);
        apply_events(&s);
        Ft_Observe(&s.forecast, per_sec, s.now, s.now);
        struct ft_need need = {
            .per_sec = Ft_Predict(&s.forecast, FORECAST_USEC, s.now),
            .headroom = 0.2,
            .hosts_min = 2,
            .hosts_max = 200,
            .survive_dc_loss = true,
            .reclaimable_max = 1,
        };
        struct ft_inputs inputs = {s.offers, OFFERS,     s.hosts, s.count,
                                   &need,    s.refusals, s.now};
        struct ft_step steps[64];
        size_t n = ops->plan(&inputs, steps, 64);
        act(&s, steps, n);
        if (s.now > 600 * USEC_PER_SEC) {
            account(&s, per_sec, &requests, &missed, &hours);
        }
    }
    out->cost /= days;
    out->uncovered = missed / requests;
    out->on_demand /= hours;
    Ft_RefusalsDestroy(s.refusals);
}
