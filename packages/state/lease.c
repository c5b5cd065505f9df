#include "state/lease.h"

#include <bsd/string.h>
#include <string.h>

#define Ls_RENEWALS_PER_TERM 3

static const char *const op_names[] = {
    [LS_NOTHING] = "",
    [LS_TAKE] = "take",
    [LS_RENEW] = "renew",
    [LS_RELEASE] = "release",
};

/*
 * Applies a record to a job's lease; returns false if the record is rejected.
 * The result depends on the records only, so all readers agree on it.
 */
bool
Ls_Accept(struct ls_lease *lease, const struct rc_writer *writer,
          uint64_t offset, const struct ls_change *change)
{
    if (change->base != lease->last) {
        return false;
    }
    bool holder =
        lease->fence != 0 && Rc_CompareWriters(writer, &lease->holder) == 0;
    switch (change->op) {
    case LS_TAKE:
        lease->holder = *writer;
        lease->fence = offset;
        break;
    case LS_RENEW:
        if (!holder) {
            return false;
        }
        break;
    case LS_RELEASE:
        if (!holder) {
            return false;
        }
        lease->fence = 0;
        break;
    case LS_NOTHING:
        return false;
    }
    lease->last = offset;
    return true;
}

/*
 * Starts with a lease that has no holder; the caller then passes in the lease
 * records in log order.
 */
void
Ls_Init(struct ls_agent *agent, const struct rc_writer *self,
        const struct ls_terms *terms)
{
    memset(agent, 0, sizeof(*agent));
    agent->self = *self;
    agent->terms = *terms;
}

/*
 * Sets whether this host should hold the lease.  A holder that should not hold
 * it releases it.
 */
void
Ls_Want(struct ls_agent *agent, bool wanted)
{
    agent->wanted = wanted;
}

/*
 * Notes that a record is about to be sent.  Must be called before the send: a
 * holder paused between sending and this call would start its term too late
 * and keep acting after other hosts consider the term over.
 */
void
Ls_BeforeSend(struct ls_agent *agent, enum ls_op op, int64_t now)
{
    agent->pending_op = op;
    agent->pending_base = agent->lease.last;
    agent->pending_sent_at = now;
    if (op == LS_RELEASE) {
        /* Another host may take the lease as soon as the release is sent. */
        agent->term_end = now;
    }
}

/* Notes that the record in flight was not and will not be written. */
void
Ls_NotWritten(struct ls_agent *agent)
{
    agent->pending_op = LS_NOTHING;
}

static void
confirm(struct ls_agent *agent, enum ls_op op)
{
    const struct ls_terms *terms = &agent->terms;
    if (op != LS_RELEASE) {
        agent->term_end =
            agent->pending_sent_at + terms->term_usec - terms->margin_usec;
    }
    if (op == LS_TAKE) {
        /*
         * The previous holder may have sent an order at the end of its term,
         * and an endpoint that does not check fencing numbers may still
         * execute it until the order expires.  That term had ended when this
         * host's take was sent.
         */
        agent->orders_from = agent->pending_sent_at + terms->order_usec;
    }
}

/*
 * Applies the next lease record of the job.  "now" must be read after the
 * record was received.
 */
void
Ls_Applied(struct ls_agent *agent, const struct rc_writer *writer,
           uint64_t offset, const struct ls_change *change, int64_t now)
{
    bool accepted = Ls_Accept(&agent->lease, writer, offset, change);
    bool ours = Rc_CompareWriters(writer, &agent->self) == 0;
    /*
     * A replica that reloads its state from a snapshot reads older records of
     * this host a second time.  Their base differs from that of the record in
     * flight, and only the sending of the latter starts a new term.
     */
    bool awaited = ours && agent->pending_op == change->op &&
                   agent->pending_base == change->base;
    if (accepted) {
        agent->seen_at = now;
    }
    if (awaited && accepted) {
        confirm(agent, change->op);
    }
    if (awaited) {
        agent->pending_op = LS_NOTHING;
    }
    if (accepted && !ours) {
        agent->term_end = 0;
    }
}

/* Replaces the lease by one loaded from a snapshot. */
void
Ls_Loaded(struct ls_agent *agent, const struct ls_lease *lease, int64_t now)
{
    agent->lease = *lease;
    agent->seen_at = now;
}

/* Whether this host is the holder according to the log. */
bool
Ls_Holds(const struct ls_agent *agent)
{
    return agent->lease.fence != 0 &&
           Rc_CompareWriters(&agent->lease.holder, &agent->self) == 0;
}

static enum ls_op
holder_due(const struct ls_agent *agent, int64_t now)
{
    const struct ls_terms *terms = &agent->terms;
    if (!agent->wanted) {
        return LS_RELEASE;
    }
    int64_t next = agent->term_end + terms->margin_usec - terms->term_usec +
                   terms->term_usec / Ls_RENEWALS_PER_TERM;
    return now >= next ? LS_RENEW : LS_NOTHING;
}

/*
 * Returns the record that this host should append now; its base is
 * agent->lease.last.  "tail_read_at" is when the last read that reached the
 * end of the stream was sent.  A take requires such a read after the holder's
 * term: during a log outage nobody can renew, so missing renewals that could
 * not have been read do not prove that the term lapsed.
 */
enum ls_op
Ls_Due(const struct ls_agent *agent, int64_t now, int64_t tail_read_at)
{
    if (agent->pending_op != LS_NOTHING) {
        return LS_NOTHING;
    }
    if (Ls_Holds(agent)) {
        return holder_due(agent, now);
    }
    if (!agent->wanted) {
        return LS_NOTHING;
    }
    if (agent->lease.fence == 0) {
        return LS_TAKE; /* released or never taken: no term to wait for */
    }
    int64_t free_at = agent->seen_at + agent->terms.term_usec;
    return now >= free_at && tail_read_at >= free_at ? LS_TAKE : LS_NOTHING;
}

/*
 * Whether this host may send an order now; "now" must be read from the clock
 * for this call.  A host that is paused right after the check sends its order
 * late.  The endpoint then rejects the order by its fencing number or, if it
 * does not check fencing numbers, by the order's expiry.
 */
bool
Ls_MayAct(const struct ls_agent *agent, int64_t now, struct ls_permit *out)
{
    if (!Ls_Holds(agent) || now >= agent->term_end ||
        now < agent->orders_from) {
        return false;
    }
    out->fence = agent->lease.fence;
    out->life_usec = agent->terms.order_usec;
    return true;
}

/* Returns the body of a lease record, or NULL if out of memory. */
json_t *
Ls_Body(const struct ls_change *change)
{
    return json_pack("{s:s, s:s, s:I}", "job", change->job, "op",
                     op_names[change->op], "base", (json_int_t)change->base);
}

/* Reads the body of a lease record; returns false if it is malformed. */
bool
Ls_Read(const json_t *body, struct ls_change *out)
{
    memset(out, 0, sizeof(*out));
    const char *op = Rc_Text(body, "op");
    for (int i = LS_TAKE; i <= LS_RELEASE; i++) {
        if (strcmp(op, op_names[i]) == 0) {
            out->op = (enum ls_op)i;
        }
    }
    strlcpy(out->job, Rc_Text(body, "job"), sizeof(out->job));
    out->base = (uint64_t)Rc_Number(body, "base");
    return out->op != LS_NOTHING && out->job[0] != '\0';
}
