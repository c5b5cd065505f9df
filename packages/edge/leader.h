/*
 * Leader lease.  One daemon, the lease holder, acts for the whole system: it
 * reports usage and orders endpoints.  The lease is kept in a log: a daemon
 * acquires it by appending a record at the log's end and renews it with each
 * later record.  The offset of its first record gives the fencing token
 * ("fence"), which increases and is never used by two holders.  The usage of a
 * window is recorded in the same log before it is reported, so that the next
 * holder repeats the report with the same numbers.
 */
#ifndef EDGE_LEADER_H
#define EDGE_LEADER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "edge/quota.h"
#include "edge/rollout.h"
#include "edge/store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Lr_WINDOWS 8
#define Lr_TENANTS_MAX 64
#define Lr_NEEDS_MAX 16
#define Lr_MOVES_MAX Ro_MOVES_MAX

struct lr_tenant {
    char name[Ec_NAME_MAX];
    uint32_t count;
};

/* Recorded usage of a window. */
struct lr_usage {
    int64_t window;
    size_t count;
    struct lr_tenant tenants[Lr_TENANTS_MAX];
    bool reported;
};

/*
 * Endpoints that the lease holder found a service to need; the next holder
 * starts from this.
 */
struct lr_need {
    uint32_t service; /* hash of the name */
    int endpoints;
    double prefill_rate; /* prompt tokens per second of one endpoint */
};

/* Lease notice that a holder sends to its peers. */
struct lr_lease_notice {
    int64_t fence; /* 0: no notice */
    /* log offset after the record that began or renewed the lease */
    int64_t log_end;
    int64_t remaining_usec; /* until the lease ends; 0: it was released */
};

struct lr_lease;

struct lr_options {
    const struct ck_clock *clock;
    struct ag_store *store;
    const char *name; /* name of this daemon */
    uint64_t run;     /* identifies this process */
    int64_t lease_usec;
    /*
     * Returns the rank of this daemon among the reachable ones; rank 0 tries
     * first to acquire the lease.
     */
    unsigned (*rank)(void *arg);
    void (*changed)(void *arg, bool holder, int64_t fence);
    void *arg;
};

struct lr_lease *Lr_Create(const struct lr_options *options);
void Lr_Destroy(struct lr_lease *lease);

/* Called several times a second. */
void Lr_Tick(struct lr_lease *lease);
/* Handles a peer's notice of its current or released lease. */
void Lr_HandleNotice(struct lr_lease *lease,
                     const struct lr_lease_notice *notice);
/* Returns the notice of this daemon's current or released lease. */
struct lr_lease_notice Lr_LeaseNotice(const struct lr_lease *lease);
/* Records the usage of a window; returns false if that cannot begin now. */
bool Lr_RecordUsage(struct lr_lease *lease, const struct lr_usage *usage);
/*
 * To be called when the platform rejects this daemon's fence because it has
 * seen a higher one.
 */
void Lr_FenceRefused(struct lr_lease *lease);
/*
 * Releases the lease early; peers that receive the notice may take over at
 * once.
 */
void Lr_Release(struct lr_lease *lease);

/* Sets a service's need, to be recorded with the next renewals. */
void Lr_SetNeed(struct lr_lease *lease, const struct lr_need *need);
/* Returns the need that was recorded last for a service, or NULL. */
const struct lr_need *Lr_FindNeed(const struct lr_lease *lease,
                                  uint32_t service);
/*
 * Sets what tenants recently spent, to be recorded with the next renewals; a
 * large increase brings the renewal forward.
 */
void Lr_SetRecent(struct lr_lease *lease, const struct qt_recent *rows,
                  size_t count);
/* Returns what tenants had spent by the last record of another daemon. */
size_t Lr_InheritedRecent(const struct lr_lease *lease,
                          const struct qt_recent **out);
/*
 * Sets a move's status to be recorded with the next renewal.  Returns whether
 * it is recorded; operators must not see it before.
 */
bool Lr_SetMove(struct lr_lease *lease, const struct ro_status *status);
size_t Lr_Moves(const struct lr_lease *lease, const struct ro_status **out);

bool Lr_Holds(const struct lr_lease *lease);
int64_t Lr_Fence(const struct lr_lease *lease);
/* Returns the recorded usage, or NULL if there is none. */
struct lr_usage *Lr_Usage(struct lr_lease *lease, int64_t window);

#ifdef __cplusplus
}
#endif

#endif
