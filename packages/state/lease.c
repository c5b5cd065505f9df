#include "state/lease.h"

#include <bsd/string.h>
#include <string.h>

/* A holder renews this often within its term. */
#define Ls_RENEWALS 3

static const char *const op_names[] = {
    [LS_NOTHING] = "",
    [LS_TAKE] = "take",
    [LS_RENEW] = "renew",
    [LS_RELEASE] = "release",
};

/*
 * Applies a record to a job's lease; false when the record does not count.
 * Everyone who reads the same records comes to the same lease.
 */
bool
Ls_Judge(struct ls_lease *lease, const struct rc_writer *writer,
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

/* Begins with a job nobody holds; give it the lease records in order. */
void
Ls_Init(struct ls_agent *agent, const struct rc_writer *self,
        const struct ls_terms *terms)
{
    memset(agent, 0, sizeof(*agent));
    agent->self = *self;
    agent->terms = *terms;
}

/* Whether this host should hold the job; a holder that should not releases. */
void
Ls_Want(struct ls_agent *agent, bool wanted)
{
    agent->wanted = wanted;
}

/*
 * Notes that a record is about to be sent.  Call it before: a holder that
 * was paused between sending and noting would count its term from too late.
 */
void
Ls_Sent(struct ls_agent *agent, enum ls_op op, int64_t now)
{
    agent->sent = op;
    agent->sent_base = agent->lease.last;
    agent->sent_at = now;
    if (op == LS_RELEASE) {
        /* From here on another host may take the job at any moment. */
        agent->until = now;
    }
}

/* Our record surely was not written. */
void
Ls_NotWritten(struct ls_agent *agent)
{
    agent->sent = LS_NOTHING;
}

static void
confirm(struct ls_agent *agent, enum ls_op op)
{
    const struct ls_terms *terms = &agent->terms;
    if (op != LS_RELEASE) {
        agent->until = agent->sent_at + terms->term_usec - terms->margin_usec;
    }
    if (op == LS_TAKE) {
        /*
         * An order that the holder before us checked at the end of its term
         * may still take effect at an endpoint that compares no fencing
         * numbers.  That term had ended when our take was sent.
         */
        agent->act_from = agent->sent_at + terms->order_usec;
    }
}

/*
 * Takes the next lease record of the job into account.  "now" must be read
 * after the record was received.
 */
void
Ls_Applied(struct ls_agent *agent, const struct rc_writer *writer,
           uint64_t offset, const struct ls_change *change, int64_t now)
{
    bool accepted = Ls_Judge(&agent->lease, writer, offset, change);
    bool ours = Rc_CompareWriters(writer, &agent->self) == 0;
    /*
     * A state that is built again from a snapshot passes older records of
     * this host a second time: the base tells them from the one on its way,
     * whose sending alone begins a new term.
     */
    bool awaited =
        ours && agent->sent == change->op && agent->sent_base == change->base;
    if (accepted) {
        agent->seen_at = now;
    }
    if (awaited && accepted) {
        confirm(agent, change->op);
    }
    if (awaited) {
        agent->sent = LS_NOTHING;
    }
    if (accepted && !ours) {
        agent->until = 0;
    }
}

/* Takes over a job's lease from a snapshot. */
void
Ls_Loaded(struct ls_agent *agent, const struct ls_lease *lease, int64_t now)
{
    agent->lease = *lease;
    agent->seen_at = now;
}

/* Whether the log says that this host holds the job. */
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
    int64_t next = agent->until + terms->margin_usec - terms->term_usec +
                   terms->term_usec / Ls_RENEWALS;
    return now >= next ? LS_RENEW : LS_NOTHING;
}

/*
 * What this host should append now; the base is agent->lease.last.
 * "tail_asked" is when the last read that reached the end of the stream was
 * sent: during a log outage nobody can renew, so a silence that could not be
 * read proves nothing about the holder.
 */
enum ls_op
Ls_Due(const struct ls_agent *agent, int64_t now, int64_t tail_asked)
{
    if (agent->sent != LS_NOTHING) {
        return LS_NOTHING;
    }
    if (Ls_Holds(agent)) {
        return holder_due(agent, now);
    }
    if (!agent->wanted) {
        return LS_NOTHING;
    }
    if (agent->lease.fence == 0) {
        return LS_TAKE; /* released or never taken: no term is running */
    }
    int64_t free_at = agent->seen_at + agent->terms.term_usec;
    return now >= free_at && tail_asked >= free_at ? LS_TAKE : LS_NOTHING;
}

/*
 * Whether this host may send an order at this moment; "now" must be read
 * from the clock for this call.  A host paused right after the check sends
 * late: the order's fencing number, or its expiry where endpoints compare no
 * numbers, makes that harmless.
 */
bool
Ls_MayAct(const struct ls_agent *agent, int64_t now, struct ls_permit *out)
{
    if (!Ls_Holds(agent) || now >= agent->until || now < agent->act_from) {
        return false;
    }
    out->fence = agent->lease.fence;
    out->life_usec = agent->terms.order_usec;
    return true;
}

/* A lease record's body; NULL without memory. */
json_t *
Ls_Body(const struct ls_change *change)
{
    return json_pack("{s:s, s:s, s:I}", "job", change->job, "op",
                     op_names[change->op], "base", (json_int_t)change->base);
}

/* Reads a lease record's body; false when it is none. */
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
