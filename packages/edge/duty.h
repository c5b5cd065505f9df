/*
 * Leader lease.  One daemon, the lease holder, acts for the whole system: it
 * reports usage and orders endpoints.  The lease is kept in a log: a daemon
 * acquires it by appending a record at the log's end and renews it with each
 * later record.  The offset of its first record gives the fencing token
 * ("fence"), which increases and is never used by two holders.  The usage of a
 * window is recorded in the same log before it is reported, so that the next
 * holder repeats the report with the same numbers.
 */
#ifndef EDGE_DUTY_H
#define EDGE_DUTY_H

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

#define Du_WINDOWS 8
#define Du_TENANTS_MAX 64
#define Du_NEEDS_MAX 16
#define Du_MOVES_MAX Ro_MOVES_MAX

struct du_tenant {
    char name[Ec_NAME_MAX];
    uint32_t count;
};

/* Recorded usage of a window. */
struct du_usage {
    int64_t window;
    size_t count;
    struct du_tenant tenants[Du_TENANTS_MAX];
    bool reported;
};

/*
 * Endpoints that the lease holder found a service to need; the next holder
 * starts from this.
 */
struct du_need {
    uint32_t service; /* hash of the name */
    int endpoints;
    double read_rate; /* prompt tokens per second of one endpoint */
};

/* Lease notice that a holder sends to its peers. */
struct du_told {
    int64_t fence; /* 0: no notice */
    /* of the log, after the record that began or renewed the lease */
    int64_t end;
    int64_t left_usec; /* until the lease ends; 0: it was released */
};

struct du_duty;

struct du_options {
    const struct ck_clock *clock;
    struct ag_store *store;
    const char *name; /* of this daemon */
    uint64_t run;     /* identifies this process */
    int64_t lease_usec;
    /*
     * Rank of this daemon among the reachable ones; rank 0 tries first.
     */
    unsigned (*rank)(void *arg);
    void (*changed)(void *arg, bool holder, int64_t fence);
    void *arg;
};

struct du_duty *Du_Create(const struct du_options *options);
void Du_Destroy(struct du_duty *duty);

/* Called several times a second. */
void Du_Tick(struct du_duty *duty);
/* Handles a peer's notice of its current or released lease. */
void Du_Heard(struct du_duty *duty, const struct du_told *told);
/* Returns the notice of this daemon's current or released lease. */
struct du_told Du_Told(const struct du_duty *duty);
/* Records the usage of a window; returns false if that cannot begin now. */
bool Du_RecordUsage(struct du_duty *duty, const struct du_usage *usage);
/* The platform rejected this daemon's fence: it has seen a higher one. */
void Du_FenceRefused(struct du_duty *duty);
/*
 * Releases the lease early; peers that receive the notice may take over at
 * once.
 */
void Du_Resign(struct du_duty *duty);

/* Sets a need to be recorded with the next renewals. */
void Du_SetNeed(struct du_duty *duty, const struct du_need *need);
/* Returns the need recorded last, or NULL. */
const struct du_need *Du_FindNeed(const struct du_duty *duty,
                                  uint32_t service);
/*
 * Sets what tenants recently spent, to be recorded with the next renewals; a
 * large increase brings the renewal forward.
 */
void Du_SetRecent(struct du_duty *duty, const struct qt_recent *rows,
                  size_t count);
/* Returns what tenants had spent by the last record of another daemon. */
size_t Du_InheritedRecent(const struct du_duty *duty,
                          const struct qt_recent **out);
/*
 * Sets a move's status to be recorded with the next renewal.  Returns whether
 * it is recorded; operators must not be told of it before.
 */
bool Du_SetMove(struct du_duty *duty, const struct ro_standing *standing);
size_t Du_Moves(const struct du_duty *duty, const struct ro_standing **out);

bool Du_Holds(const struct du_duty *duty);
int64_t Du_Fence(const struct du_duty *duty);
/* Returns the recorded usage, or NULL if there is none. */
struct du_usage *Du_Usage(struct du_duty *duty, int64_t window);

#ifdef __cplusplus
}
#endif

#endif
