/*
 * Hosts of one service: the load to plan for; which hosts to buy, drain and
 * release; and the intents through which hosts are bought. Pure: the caller
 * lists hosts and offers, writes the intents to the log and calls the cloud
 * API. Times are microseconds, prices per hour, loads and capacities requests
 * a second.
 */
#ifndef POLICY_FLEET_H
#define POLICY_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Ft_NAME_MAX 64
#define Ft_QUARTERS_PER_DAY 96

/* Forecast: predicts the load from its level, its trend and earlier days. */

struct ft_forecast {
    double level;
    double trend; /* change of the level a second */
    int64_t updated_at;
    /* Load at this time of earlier days, by quarter of an hour. */
    double day[Ft_QUARTERS_PER_DAY];
    bool has_data[Ft_QUARTERS_PER_DAY];
};

void Ft_Observe(struct ft_forecast *forecast, double per_sec, int64_t wall,
                int64_t now);
double Ft_Predict(const struct ft_forecast *forecast, int64_t ahead,
                  int64_t wall);

/* Plan: decides which hosts to buy, drain and release to carry the load. */

struct ft_offer {
    char data_centre[Ft_NAME_MAX];
    char host_class[Ft_NAME_MAX];
    double price;
    bool reclaimable;
    double capacity; /* load at which a host still meets the latency target */
};

enum ft_host_state {
    FT_STARTING, /* also one whose intent has no result yet */
    FT_RUNNING,
    FT_DRAINING,  /* gets no new requests; to be released */
    FT_RECLAIMED, /* reclaimed by the cloud, still serving for a short time */
};

struct ft_host {
    char id[Ft_NAME_MAX];
    struct ft_offer offer;
    enum ft_host_state state;
    int in_flight; /* requests from all routers */
};

struct ft_need {
    double per_sec;  /* predicted load */
    double headroom; /* fraction of the capacity kept free */
    int hosts_min;
    int hosts_max;
    bool survive_dc_loss;   /* even if a data centre loses all its
                               reclaimable hosts */
    double reclaimable_max; /* largest fraction of the capacity that is
                               reclaimable */
};

/* Offers that recently refused a start. */
struct ft_refusals;

enum ft_step_kind {
    FT_BUY,
    FT_DRAIN,
    FT_RELEASE,
};

struct ft_step {
    enum ft_step_kind kind;
    size_t index; /* of the offer to buy, otherwise of the host */
};

struct ft_inputs {
    const struct ft_offer *offers;
    size_t offer_count;
    const struct ft_host *hosts;
    size_t host_count;
    const struct ft_need *need;
    const struct ft_refusals *refusals; /* may be NULL */
    int64_t now;
};

struct ft_ops {
    const char *name;
    size_t (*plan)(const struct ft_inputs *inputs, struct ft_step *out,
                   size_t size);
};

const struct ft_ops *Ft_Spread(void);
const struct ft_ops *Ft_AllOnDemand(void);
const struct ft_ops *Ft_CheapestOnly(void);

bool Ft_Meets(const struct ft_host *hosts, size_t count,
              const struct ft_need *need);

struct ft_refusals *Ft_RefusalsCreate(void);
void Ft_RefusalsDestroy(struct ft_refusals *refusals);
enum st_status Ft_Refused(struct ft_refusals *refusals,
                          const struct ft_offer *offer,
                          struct rn_random *random, int64_t now);
void Ft_Accepted(struct ft_refusals *refusals, const struct ft_offer *offer);
bool Ft_MayTry(const struct ft_refusals *refusals,
               const struct ft_offer *offer, int64_t now);

/*
 * Intents: each purchase of a host is recorded in the log before the cloud is
 * called, and its outcome is settled afterwards.
 */

enum ft_intent_state {
    FT_UNRECORDED, /* not yet in the log */
    FT_RECORDED,   /* in the log; the cloud may be called */
    FT_CALLED,     /* the cloud was called and has not answered yet */
    FT_UNKNOWN,    /* the answer was lost, or another process made the call */
    FT_BOUGHT,
    FT_REFUSED,
    FT_NOT_CREATED, /* settled: the call created no host */
};

struct ft_intent {
    char token[Ft_NAME_MAX];
    struct ft_offer offer;
    enum ft_intent_state state;
    int64_t state_since; /* when the state was entered */
    char host[Ft_NAME_MAX];
};

enum ft_action {
    FT_WAIT,
    FT_RECORD, /* append the intent to the log */
    FT_CALL,   /* call the cloud; done once for an intent */
    FT_LIST,   /* list the hosts to learn the outcome */
    FT_CLOSE,  /* append the result to the log; the intent is settled */
};

void Ft_IntentInit(struct ft_intent *intent, const char *token,
                   const struct ft_offer *offer, int64_t now);
void Ft_IntentRestore(struct ft_intent *intent, int64_t now);
void Ft_IntentRecorded(struct ft_intent *intent, int64_t now);
void Ft_IntentCalled(struct ft_intent *intent, int64_t now);
void Ft_IntentAnswered(struct ft_intent *intent, int code, const char *host,
                       int64_t now);
void Ft_IntentListed(struct ft_intent *intent, const char *host,
                     int64_t requested_at, int64_t now);
enum ft_action Ft_IntentNext(const struct ft_intent *intent, int64_t now);
bool Ft_IsOrphan(const char *host, const char *token,
                 const struct ft_intent *intents, size_t count);

#ifdef __cplusplus
}
#endif

#endif
