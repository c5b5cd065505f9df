/*
 * Job leases decided by the log.  A lease record names the offset of the
 * lease record it builds on; a reader in log order rejects one whose base is
 * not the last accepted record of its job.  The offset of an accepted take
 * is the fencing number of its holder.
 *
 * Why two holders never act at once: a take is accepted only when no renewal
 * stands between its base and itself.  The base was sent before it was
 * written, and written before the taker saw it; the holder's term runs from
 * the sending, the taker's wait from the seeing.  So the holder's term has
 * ended, by at least the margin, before the take is sent.
 *
 * Pure: times are readings of one host's boot clock in microseconds, passed
 * in.  The margin must cover how far two hosts' clocks drift apart within a
 * term.
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

/* What the log says about a job. */
struct ls_lease {
    struct rc_writer holder;
    uint64_t last;  /* offset of the last accepted record; 0: none */
    uint64_t fence; /* offset of the holder's take; 0: nobody holds it */
};

/* A lease record's body. */
struct ls_change {
    char job[Ls_JOB_MAX];
    enum ls_op op;
    uint64_t base;
};

struct ls_terms {
    int64_t term_usec;
    int64_t margin_usec;
    /*
     * Longest life of an order at an endpoint that does not compare fencing
     * numbers, from Ls_MayAct() to the expiry it carries; 0 where every
     * endpoint compares them.
     */
    int64_t order_usec;
};

/* One host's part in one job. */
struct ls_agent {
    struct rc_writer self;
    struct ls_terms terms;
    struct ls_lease lease;
    bool wanted;     /* this host should hold the job */
    int64_t seen_at; /* when the present "lease" was seen */
    enum ls_op sent; /* our record on its way */
    uint64_t sent_base;
    int64_t sent_at;  /* before it was first sent */
    int64_t until;    /* end of our confirmed term */
    int64_t act_from; /* orders of the holder before us have ended by then */
};

/* Leave to send one order, now. */
struct ls_permit {
    uint64_t fence;
    int64_t life_usec; /* the order must expire this long after the check */
};

/* The judge: what a record does to a job. */
bool Ls_Judge(struct ls_lease *lease, const struct rc_writer *writer,
              uint64_t offset, const struct ls_change *change);

void Ls_Init(struct ls_agent *agent, const struct rc_writer *self,
             const struct ls_terms *terms);
void Ls_Want(struct ls_agent *agent, bool wanted);
void Ls_Sent(struct ls_agent *agent, enum ls_op op, int64_t now);
void Ls_NotWritten(struct ls_agent *agent);
void Ls_Loaded(struct ls_agent *agent, const struct ls_lease *lease,
               int64_t now);
void Ls_Applied(struct ls_agent *agent, const struct rc_writer *writer,
                uint64_t offset, const struct ls_change *change, int64_t now);

enum ls_op Ls_Due(const struct ls_agent *agent, int64_t now,
                  int64_t tail_asked);
bool Ls_Holds(const struct ls_agent *agent);
bool Ls_MayAct(const struct ls_agent *agent, int64_t now,
               struct ls_permit *out);

json_t *Ls_Body(const struct ls_change *change);
bool Ls_Read(const json_t *body, struct ls_change *out);

#ifdef __cplusplus
}
#endif

#endif
