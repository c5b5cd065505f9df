/*
 * The endpoints of all services, from their entries in the store, with what
 * this daemon has observed of them.  An endpoint is identified by its ID and
 * start time, since its address may be given to another service once it is
 * free.  After a restart it has a new start time, and the earlier observations
 * are dropped.
 */
#ifndef EDGE_FLEET_H
#define EDGE_FLEET_H

#include <bsd/sys/queue.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "edge/config.h"
#include "edge/fleet_array.h"
#include "policy/brittle.h"
#include "policy/link.h"
#include "policy/rate_share.h"
#include "policy/speed.h"
#include "policy/warmup.h"
#include "web/channel.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A decoded store entry; what each request reads comes first. */
struct fl_entry {
    int slots;
    bool draining;
    bool spot;                /* may be reclaimed at short notice */
    int64_t leaves_usec;      /* time left when it was written; 0: not known */
    int64_t started_ms;       /* start time, milliseconds since 1970 */
    int64_t warmup_left_usec; /* remaining time of its warm-up */
    char id[Ec_NAME_MAX];
    char service[Ec_NAME_MAX];
    char address[Ec_NAME_MAX];
    char zone[Ec_NAME_MAX];
    char version[Ec_NAME_MAX]; /* software version */
};

/* Data centres that can be evacuated at the same time. */
#define Fl_EVACUATED_MAX 64

TAILQ_HEAD(fl_idle_list, fl_idle);

/* Load of a service, per second. */
struct fl_load {
    double requests;
    double prompt_tokens;
    double long_prompt_tokens; /* prompt tokens of long prompts */
};

/* What this daemon knows of a service, apart from its endpoints. */
struct fl_service {
    TAILQ_ENTRY(fl_service) link;
    char name[Ec_NAME_MAX];
    struct fl_array endpoints;
    struct br_service brittle;
    /* Usual time between events and per prompt token, see speeds.h. */
    struct sd_reference pace;
    struct sd_reference prefill;
    int event_tokens;    /* of its streams, when the last sample was taken */
    double prefill_rate; /* De_PrefillRate(), when loads were last summed */
    /* From all peers, as of Ms_Changes(). */
    bool peers_load_known;
    uint64_t peers_load_changes;
    struct fl_load peers_load;
};

TAILQ_HEAD(fl_services, fl_service);

#define Fl_CACHE_LINE 64

/*
 * With thousands of endpoints, each cache line that a request or a message
 * reads of all of them takes time, so the first fields are grouped by use.
 */
struct fl_endpoint {
    /* Read for each message, with "own" of the measured speed. */
    uint32_t hash;  /* of the ID; identifies the endpoint between daemons */
    bool gone;      /* its entry was removed */
    bool evacuated; /* its data centre is evacuated: no new requests */
    /* Accepts connections and sends nothing, see Lv_IsSilent(). */
    bool silent;
    /* requests that this daemon has sent and that have not ended */
    int running;
    /*
     * The requests of all other daemons, from their last messages, like all
     * fields peers_; those of daemons in this data centre only, like all
     * fields zone_peers_.
     */
    int zone_peers_running;
    /* estimates of its speed in the current reports */
    struct sd_estimate zone_peers_speed;
    struct sd_speed measured_speed;

    /* Written when the loads of the peers are summed. */
    int peers_running;
    int connections;
    int64_t peers_prefill_tokens;
    int64_t peers_output_tokens;
    struct sd_estimate peers_speed;
    /* speed relative to the mean of its service; 1: not known, or the mean */
    double speed;
    /* output tokens a second of one stream, by its speed; 0: not known */
    double stream_tokens_per_sec;
    struct fl_service *service;
    int64_t zone_peers_prefill_tokens;
    int64_t zone_peers_output_tokens;
    int64_t first_entry_at; /* when the first entry arrived */

    /* prompt tokens of requests that await their first event */
    int64_t prefill_tokens;
    /* output tokens that the requests are still expected to generate */
    int64_t output_tokens;

    /* Health, see health.h. */
    int64_t ejected_until;
    double failure_rate; /* fraction of recent answers that failed, 0 to 1 */
    double first_byte_usec;  /* recent time to the first byte */
    int64_t last_outcome_at; /* end of the last request, successful or not */
    int64_t last_first_byte_at; /* time of the last first byte; 0: none */
    TAILQ_ENTRY(fl_endpoint) link;
    int64_t removal_held_since; /* start of its removal's hold; 0: none */
    struct fl_idle_list idle;
    struct rs_state rate_limit;
    struct fl_entry entry;

    int refs;
    double logged_speed;
    uint64_t number;       /* in the order in which endpoints were added */
    int64_t last_entry_at; /* when the last entry arrived */
    int notice_asks;       /* requests for the time that it has left */
    int64_t notice_due_at; /* when the next such request may be sent */
    int64_t leaves_at; /* when it is gone, by entry or report; 0: unknown */
    /* when its data centre's evacuation ended; 0: never */
    int64_t zone_restored_at;
    struct wu_warmup warmup;
    struct br_state brittle;

    /* start of its last unresponsive period; 0: never */
    int64_t unresponsive_since;
    int64_t answered_at;
    int64_t byte_at; /* when it last sent bytes to this host, by any path */
    int consecutive_breaks; /* consecutive broken connections */

    /* The link from this host to the endpoint, see paths.h. */
    bool probe_wanted;
    struct li_link link_state;
    /* when bytes last arrived on a direct connection */
    int64_t last_direct_byte_at;
} __attribute__((aligned(Fl_CACHE_LINE)));

/* An idle connection kept for reuse. */
struct fl_idle {
    TAILQ_ENTRY(fl_idle) link;
    struct fl_endpoint *endpoint;
    struct cn_channel *channel;
};

TAILQ_HEAD(fl_list, fl_endpoint);

struct fl_fleet;

struct fl_fleet *Fl_Create(const struct ck_clock *clock);
void Fl_Destroy(struct fl_fleet *fleet);

/*
 * Returns whether an entry changes nothing.  An unchanged or shorter remaining
 * warm-up is no change; a longer one means that the endpoint warms up again.
 */
bool Fl_SameEntry(const struct fl_entry *before, const struct fl_entry *now);

void Fl_Apply(struct fl_fleet *fleet, const struct fl_entry *entry);
/*
 * Notes when the endpoint is gone, by an entry or report.  These arrive with a
 * delay, so the earliest of the times is the most accurate.
 */
void Fl_NoteLeaving(struct fl_endpoint *endpoint, int64_t at);
void Fl_Remove(struct fl_fleet *fleet, const char *id);
/*
 * For the next "usec", removals may be false, because the store was
 * unreachable.  They are put on hold until then.
 */
void Fl_HoldRemovals(struct fl_fleet *fleet, int64_t usec);
void Fl_Tick(struct fl_fleet *fleet);
/*
 * Begins ("begin") or ends an operator's evacuation of a data centre; returns
 * whether that changes anything.
 */
bool Fl_Evacuate(struct fl_fleet *fleet, const char *zone, bool begin);
void Fl_ClearPeerLoads(struct fl_fleet *fleet);

/* All endpoints, as a list and as an array of the same order. */
const struct fl_list *Fl_All(const struct fl_fleet *fleet);
const struct fl_array *Fl_Endpoints(const struct fl_fleet *fleet);
const struct fl_services *Fl_Services(const struct fl_fleet *fleet);
/* NULL: no endpoint of the service is known. */
struct fl_service *Fl_FindService(const struct fl_fleet *fleet,
                                  const char *name);
/*
 * Identifies one start of an endpoint, at all hosts: it may restart under the
 * same ID.
 */
uint32_t Fl_StartHash(const struct fl_endpoint *endpoint);
struct fl_endpoint *Fl_ByHash(const struct fl_fleet *fleet, uint32_t hash);
struct fl_endpoint *Fl_Find(const struct fl_fleet *fleet, const char *id);
bool Fl_Usable(const struct fl_endpoint *endpoint);
bool Fl_HasEndpoints(const struct fl_fleet *fleet);
bool Fl_IsEvacuated(const struct fl_fleet *fleet, const char *zone);
/* Returns the requests running in evacuated data centres. */
int Fl_CountEvacuatedRequests(const struct fl_fleet *fleet);

struct fl_endpoint *Fl_Ref(struct fl_endpoint *endpoint);
void Fl_Unref(struct fl_endpoint *endpoint);

#ifdef __cplusplus
}
#endif

#endif
