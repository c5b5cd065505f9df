/*
 * Job leases decided by the order of records in the log.  Every lease record
 * names as its base the offset of the lease record that it builds on.  A
 * reader that applies the log in order rejects a record whose base is not the
 * last accepted record of its job.  The offset of an accepted take record is
 * the fencing number of the new holder.
 *
 * Two holders never act at the same time.  A take is accepted only if no
 * renewal stands between its base and the take itself.  The holder's term runs
 * from before the base record was sent; the taker waits one term from when it
 * read that record, which is later.  So the holder's term has ended, by at
 * least the margin, before the take is sent.
 *
 * The functions read no clock: callers pass in readings of one host's boot
 * clock in microseconds.  The margin must cover the drift between two hosts'
 * clocks within one term.
 */
#ifndef STATE_LEASE_H
#define STATE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/record.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Ls_JOB_MAX 96
#define Ls_KIND "lease"

enum ls_op {
    LS_NOTHING,
    LS_TAKE,
    LS_RENEW,
    LS_RELEASE,
};

/* The state of one job's lease, as derived from the log. */
struct ls_lease {
    struct rc_writer holder;
    uint64_t last;  /* offset of the last accepted record; 0: none */
    uint64_t fence; /* offset of the holder's take; 0: no holder */
};

struct ls_change {
    char job[Ls_JOB_MAX];
    enum ls_op op;
    uint64_t base;
};

struct ls_terms {
    int64_t term_usec;
    int64_t margin_usec;
    /*
     * How long an order stays valid, from Ls_MayAct() to the expiry that it
     * carries, at an endpoint that does not check fencing numbers; 0 if every
     * endpoint checks them.
     */
    int64_t order_usec;
};

/* One host as a contender for the lease of one job. */
struct ls_agent {
    struct rc_writer self;
    struct ls_terms terms;
    struct ls_lease lease;
    bool wanted;           /* this host should hold the lease */
    int64_t seen_at;       /* when this host read the present lease */
    enum ls_op pending_op; /* type of this host's record in flight */
    uint64_t pending_base;
    int64_t pending_sent_at; /* read before the record was first sent */
    int64_t term_end;        /* end of this host's confirmed term */
    /* orders of the previous holder have expired by then */
    int64_t orders_from;
};

/* Permission to send one order now. */
struct ls_permit {
    uint64_t fence;
    int64_t life_usec; /* the order expires this long after Ls_MayAct() */
};

bool Ls_Accept(struct ls_lease *lease, const struct rc_writer *writer,
               uint64_t offset, const struct ls_change *change);

void Ls_Init(struct ls_agent *agent, const struct rc_writer *self,
             const struct ls_terms *terms);
void Ls_Want(struct ls_agent *agent, bool wanted);
void Ls_BeforeSend(struct ls_agent *agent, enum ls_op op, int64_t now);
void Ls_NotWritten(struct ls_agent *agent);
void Ls_Loaded(struct ls_agent *agent, const struct ls_lease *lease,
               int64_t now);
void Ls_Applied(struct ls_agent *agent, const struct rc_writer *writer,
                uint64_t offset, const struct ls_change *change, int64_t now);

enum ls_op Ls_Due(const struct ls_agent *agent, int64_t now,
                  int64_t tail_read_at);
bool Ls_Holds(const struct ls_agent *agent);
bool Ls_MayAct(const struct ls_agent *agent, int64_t now,
               struct ls_permit *out);

json_t *Ls_Body(const struct ls_change *change);
bool Ls_Read(const json_t *body, struct ls_change *out);

#ifdef __cplusplus
}
#endif

#endif
