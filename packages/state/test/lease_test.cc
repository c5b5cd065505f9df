/*
 * Leases: single cases, and a bounded search of the interleavings of two
 * hosts.
 */
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/hash.h"
#include "state/lease.h"

namespace {

struct ls_terms
Terms(int64_t term, int64_t margin, int64_t order)
{
    struct ls_terms terms = {};
    terms.term_usec = term;
    terms.margin_usec = margin;
    terms.order_usec = order;
    return terms;
}

struct rc_writer
Writer(int i)
{
    struct rc_writer writer = {};
    writer.node[0] = (char)('a' + i);
    writer.incarnation = 1;
    return writer;
}

/* A log of lease records of one job, and hosts that read it. */
struct SimulatedLog {
    struct Entry {
        struct rc_writer writer;
        struct ls_change change;
    };

    std::vector<Entry> log;
    std::vector<struct ls_agent> agents;
    std::vector<size_t> read;

    SimulatedLog(int count, const struct ls_terms &terms)
        : agents(count), read(count, 0)
    {
        for (int i = 0; i < count; i++) {
            struct rc_writer writer = Writer(i);
            Ls_Init(&agents[i], &writer, &terms);
            Ls_Want(&agents[i], true);
        }
    }

    /*
     * Returns the record that agent i sends now, without adding it to the log.
     */
    Entry
    Send(int i, int64_t now, enum ls_op expected)
    {
        struct ls_agent &agent = agents[i];
        enum ls_op op = Ls_Due(&agent, now, now);
        EXPECT_EQ(expected, op);
        Entry entry = {agent.self, {}};
        entry.change.op = op;
        entry.change.base = agent.lease.last;
        Ls_BeforeSend(&agent, op, now);
        return entry;
    }

    void
    Read(int i, int64_t now)
    {
        while (read[i] < log.size()) {
            const Entry &entry = log[read[i]++];
            Ls_Applied(&agents[i], &entry.writer, read[i], &entry.change, now);
        }
    }

    void
    Append(int i, int64_t now, enum ls_op expected)
    {
        log.push_back(Send(i, now, expected));
    }

    uint64_t
    Fence(int i, int64_t now)
    {
        struct ls_permit permit = {};
        return Ls_MayAct(&agents[i], now, &permit) ? permit.fence : 0;
    }
};

TEST(Lease, BodiesAreReadBackUnchanged)
{
    struct ls_change change = {"snapshots/claims-03", LS_RENEW, 77};
    json_t *body = Ls_Body(&change);
    struct ls_change read;
    EXPECT_TRUE(Ls_Read(body, &read));
    EXPECT_STREQ(change.job, read.job);
    EXPECT_EQ(change.op, read.op);
    EXPECT_EQ(change.base, read.base);
    json_decref(body);
    body = json_pack("{s:s, s:s}", "job", "x", "op", "steal");
    EXPECT_FALSE(Ls_Read(body, &read));
    json_decref(body);
}

/*
 * Two hosts read that the lease is free and both take it.  The second take in
 * the log has a stale base and is rejected; otherwise both hosts would send
 * orders for the same version.
 */
TEST(Lease, TheFirstTakeInTheLogWins)
{
    SimulatedLog sim(2, Terms(30, 3, 0));
    sim.Append(0, 10, LS_TAKE);
    sim.Append(1, 10, LS_TAKE);
    sim.Read(0, 11);
    sim.Read(1, 11);
    EXPECT_EQ(1u, sim.Fence(0, 12));
    EXPECT_EQ(0u, sim.Fence(1, 12));
    EXPECT_EQ(LS_NOTHING, Ls_Due(&sim.agents[1], 40, 40));
    EXPECT_EQ(LS_TAKE, Ls_Due(&sim.agents[1], 41, 41));
}

/*
 * A holder is paused for longer than its term, and another host takes the
 * lease meanwhile.  When the first holder resumes, it must stop by its own
 * clock, although it has not read the other host's take yet.
 */
TEST(Lease, APausedHolderStopsByItsOwnClock)
{
    SimulatedLog sim(2, Terms(30, 3, 0));
    sim.Append(0, 0, LS_TAKE);
    sim.Read(0, 1);
    sim.Read(1, 1);
    EXPECT_EQ(1u, sim.Fence(0, 26));
    EXPECT_EQ(0u, sim.Fence(0, 27));
    sim.Append(1, 31, LS_TAKE);
    sim.Read(1, 32);
    EXPECT_EQ(2u, sim.Fence(1, 33));
    EXPECT_EQ(0u, sim.Fence(0, 33));
    sim.Append(0, 33, LS_RENEW);
    sim.Read(0, 34);
    sim.Read(1, 34);
    EXPECT_EQ(0u, sim.Fence(0, 35));
    EXPECT_EQ(2u, sim.Fence(1, 35));
}

/*
 * The answer to a renewal is lost, and the record is read back only much
 * later.  The term runs from the sending of the renewal, so it may be over
 * when the record is read.
 */
TEST(Lease, ARenewalsTermRunsFromItsSending)
{
    SimulatedLog sim(1, Terms(30, 3, 0));
    sim.Append(0, 0, LS_TAKE);
    sim.Read(0, 1);
    sim.Append(0, 10, LS_RENEW);
    EXPECT_EQ(0u, sim.Fence(0, 30));
    sim.Read(0, 36);
    EXPECT_EQ(1u, sim.Fence(0, 36));
    EXPECT_EQ(0u, sim.Fence(0, 37));
    sim.Append(0, 37, LS_RENEW);
    sim.Read(0, 38);
    EXPECT_EQ(1u, sim.Fence(0, 38));
}

/*
 * A holder that fell behind reloads its state and reads its older renewal a
 * second time, while a new renewal is in flight and may never be written.  The
 * old renewal must not start the term of the new one.
 */
TEST(Lease, ARenewalReadTwiceStartsNoTerm)
{
    SimulatedLog sim(1, Terms(30, 3, 0));
    sim.Append(0, 0, LS_TAKE);
    sim.Read(0, 1);
    struct ls_lease before = sim.agents[0].lease;
    sim.Append(0, 10, LS_RENEW);
    sim.Read(0, 11);
    sim.Send(0, 20, LS_RENEW);
    Ls_Loaded(&sim.agents[0], &before, 25);
    sim.read[0] = 1;
    sim.Read(0, 25);
    EXPECT_EQ(1u, sim.Fence(0, 36));
    EXPECT_EQ(0u, sim.Fence(0, 37));
}

/* A renewal that the log refused is sent again at once. */
TEST(Lease, ARefusedRenewalIsSentAgain)
{
    SimulatedLog sim(1, Terms(30, 3, 0));
    sim.Append(0, 0, LS_TAKE);
    sim.Read(0, 1);
    sim.Send(0, 10, LS_RENEW);
    EXPECT_EQ(LS_NOTHING, Ls_Due(&sim.agents[0], 20, 20));
    Ls_NotWritten(&sim.agents[0]);
    sim.Append(0, 20, LS_RENEW);
    sim.Read(0, 21);
    EXPECT_EQ(1u, sim.Fence(0, 46));
}

/*
 * The log is down for longer than a term.  The holder stops.  The other host
 * could not read the log, so it must not conclude that the lease lapsed.
 * After the outage either host may append first, and the log's order decides.
 */
TEST(Lease, AnOutageLongerThanTheTermDoesNotMoveTheLease)
{
    SimulatedLog sim(2, Terms(30, 3, 0));
    sim.Append(0, 0, LS_TAKE);
    sim.Read(0, 1);
    sim.Read(1, 1);
    EXPECT_EQ(LS_NOTHING, Ls_Due(&sim.agents[1], 100, 5));
    EXPECT_EQ(0u, sim.Fence(0, 100));
    SimulatedLog::Entry renewal = sim.Send(0, 100, LS_RENEW);
    SimulatedLog::Entry take = sim.Send(1, 100, LS_TAKE);
    sim.log.push_back(renewal);
    sim.log.push_back(take);
    sim.Read(0, 101);
    sim.Read(1, 101);
    EXPECT_EQ(1u, sim.Fence(0, 102));
    EXPECT_EQ(0u, sim.Fence(1, 102));
}

/*
 * An order of the old holder, checked at the end of its term, arrives late.
 * An endpoint that does not check fencing numbers would execute it after an
 * order of the new holder, so the new holder waits until such an order has
 * expired.
 */
TEST(Lease, OrdersOfTheOldHolderExpireBeforeTheFirstOfTheNew)
{
    SimulatedLog sim(2, Terms(30, 3, 8));
    sim.Append(0, 0, LS_TAKE);
    sim.Read(0, 1);
    sim.Read(1, 1);
    EXPECT_EQ(0u, sim.Fence(0, 7));
    EXPECT_EQ(1u, sim.Fence(0, 26));
    sim.Append(1, 31, LS_TAKE);
    sim.Read(1, 32);
    EXPECT_EQ(0u, sim.Fence(1, 38));
    EXPECT_EQ(2u, sim.Fence(1, 39));
}

/*
 * A host that shuts down releases its leases at once and sends no more orders.
 */
TEST(Lease, AReleasedJobIsTakenWithoutWaiting)
{
    SimulatedLog sim(2, Terms(30, 3, 0));
    sim.Append(0, 0, LS_TAKE);
    sim.Read(0, 1);
    Ls_Want(&sim.agents[0], false);
    sim.Append(0, 5, LS_RELEASE);
    EXPECT_EQ(0u, sim.Fence(0, 5));
    sim.Read(1, 6);
    sim.Append(1, 6, LS_TAKE);
    sim.Read(1, 7);
    EXPECT_EQ(3u, sim.Fence(1, 8));
}

/*
 * A clock that jumps ahead (after the host was suspended) only ends the term
 * early.
 */
TEST(Lease, AJumpAheadEndsTheHoldersTerm)
{
    SimulatedLog sim(1, Terms(30, 3, 0));
    sim.Append(0, 0, LS_TAKE);
    sim.Read(0, 1);
    EXPECT_EQ(1u, sim.Fence(0, 2));
    EXPECT_EQ(0u, sim.Fence(0, 1000000));
    sim.Append(0, 1000000, LS_RENEW);
    sim.Read(0, 1000001);
    EXPECT_EQ(1u, sim.Fence(0, 1000002));
}

/* Search of all interleavings of two hosts within a bound. */

enum class Fault {
    kNone,
    kTermFromRead,   /* the term runs from reading the record back */
    kTakesEarly,     /* the taker waits one tick too few */
    kNoBase,         /* takes are accepted with any base */
    kNoOrderWait,    /* the new holder sends orders at once */
    kActAfterRelease /* a holder acts until its release is read back */
};

const int kHosts = 2;
const int kTicks = 6;
const int kRecords = 4;
const int kTerm = 3;
const int kMargin = 1;

struct Change {
    int host;
    enum ls_op op;
    uint64_t base;
};

/* Compared by its bytes, so it must be zeroed before use. */
struct Model {
    struct ls_agent agents[kHosts];
    Change in_flight[kHosts]; /* records in flight; LS_NOTHING: none */
    Change log[kRecords];
    int records;
    int read[kHosts];
    int now;
    int clock_ahead[kHosts]; /* ticks by which a host's clock is ahead */
    uint64_t last_fence;     /* fencing number of the newest order sent */
    int order_ends[kHosts];  /* expiry of each host's last order */
    uint64_t order_fences[kHosts]; /* fencing number of that order */
};

struct Search {
    Fault fault;
    int order;
    std::unordered_set<uint64_t> visited;
    std::string failure;
    int takeovers = 0;

    explicit Search(Fault f, int o) : fault(f), order(o)
    {
    }

    static int64_t
    Clock(const Model &m, int i)
    {
        return m.now + m.clock_ahead[i] + 1000 * i;
    }

    void
    Run()
    {
        Model m;
        memset(&m, 0, sizeof(m));
        struct ls_terms terms = Terms(kTerm, kMargin, order);
        for (int i = 0; i < kHosts; i++) {
            struct rc_writer writer = Writer(i);
            Ls_Init(&m.agents[i], &writer, &terms);
            Ls_Want(&m.agents[i], true);
        }
        Visit(m);
    }

    /*
     * Clears the fields that can no longer affect the outcome, so that states
     * that differ only in those count as the same state.
     */
    static uint64_t
    Digest(Model m)
    {
        for (int i = 0; i < kHosts; i++) {
            struct ls_agent &agent = m.agents[i];
            bool holds = Ls_Holds(&agent);
            agent.pending_sent_at =
                agent.pending_op != LS_NOTHING ? agent.pending_sent_at : 0;
            agent.term_end = holds ? agent.term_end : 0;
            agent.orders_from = holds && agent.orders_from > Clock(m, i)
                                    ? agent.orders_from
                                    : 0;
            if (holds || agent.lease.fence == 0) {
                agent.seen_at = 0;
            }
            if (m.order_ends[i] <= m.now) {
                m.order_ends[i] = 0;
                m.order_fences[i] = 0;
            }
        }
        for (int i = 0; i < m.read[0] && i < m.read[1]; i++) {
            m.log[i] = {};
        }
        return Hash_Bytes(&m, sizeof(m), 0);
    }

    void
    Visit(Model m)
    {
        for (int i = 0; i < kHosts; i++) {
            SendOrder(m, i);
        }
        if (!failure.empty() || !visited.insert(Digest(m)).second) {
            return;
        }
        if (m.now < kTicks) {
            Model next = m;
            next.now++;
            Visit(next);
        }
        for (int i = 0; i < kHosts; i++) {
            SendDue(m, i);
            Write(m, i);
            Refuse(m, i);
            Read(m, i);
            Skew(m, i);
            Withdraw(m, i);
        }
    }

    /*
     * Every host behaves as if it had read to the end of the log: with a stale
     * tail that is what a host observes.
     */
    void
    SendDue(Model m, int i)
    {
        struct ls_agent &agent = m.agents[i];
        int64_t now = Clock(m, i);
        int64_t early = fault == Fault::kTakesEarly ? kMargin + 1 : 0;
        enum ls_op op = Ls_Due(&agent, now + early, now + early);
        if (op == LS_NOTHING || m.records == kRecords) {
            return;
        }
        m.in_flight[i] = {i, op, agent.lease.last};
        int64_t term_end = agent.term_end;
        Ls_BeforeSend(&agent, op, now);
        if (fault == Fault::kActAfterRelease) {
            agent.term_end = term_end;
        }
        Visit(m);
    }

    /*
     * The append takes effect; whether its answer is lost makes no difference.
     */
    void
    Write(Model m, int i)
    {
        if (m.in_flight[i].op != LS_NOTHING && m.records < kRecords) {
            m.log[m.records++] = m.in_flight[i];
            m.in_flight[i] = {};
            Visit(m);
        }
    }

    void
    Refuse(Model m, int i)
    {
        if (m.in_flight[i].op != LS_NOTHING) {
            m.in_flight[i] = {};
            Ls_NotWritten(&m.agents[i]);
            Visit(m);
        }
    }

    void
    Read(Model m, int i)
    {
        if (m.read[i] == m.records) {
            return;
        }
        int64_t now = Clock(m, i);
        struct ls_agent &agent = m.agents[i];
        const Change &entry = m.log[m.read[i]++];
        struct ls_change change = {};
        change.op = entry.op;
        change.base = entry.base;
        if (fault == Fault::kNoBase && entry.op == LS_TAKE) {
            change.base = agent.lease.last;
            agent.pending_base = agent.lease.last;
        }
        if (fault == Fault::kTermFromRead && entry.host == i) {
            agent.pending_sent_at = now;
        }
        struct rc_writer writer = Writer(entry.host);
        Ls_Applied(&agent, &writer, (uint64_t)m.read[i], &change, now);
        if (fault == Fault::kNoOrderWait) {
            agent.orders_from = 0;
        }
        Visit(m);
    }

    /*
     * Sends an order whenever the host may: an additional order cannot hide a
     * violation by a later one.
     */
    void
    SendOrder(Model &m, int i)
    {
        struct ls_permit permit;
        if (!Ls_MayAct(&m.agents[i], Clock(m, i), &permit)) {
            return;
        }
        int other = 1 - i;
        if (permit.fence < m.last_fence) {
            failure =
                "an order of an older holder followed one of a newer holder";
        }
        if (order > 0 && m.order_fences[other] != 0 &&
            m.order_fences[other] < permit.fence &&
            m.order_ends[other] > m.now) {
            failure = "an order of the older holder had not expired";
        }
        takeovers += m.last_fence != 0 && permit.fence > m.last_fence;
        m.last_fence = permit.fence;
        m.order_fences[i] = permit.fence;
        m.order_ends[i] = m.now + (int)permit.life_usec;
    }

    /*
     * The drift that the margin must cover: one tick, of either host's clock.
     */
    void
    Skew(Model m, int i)
    {
        if (m.clock_ahead[0] + m.clock_ahead[1] == 0) {
            m.clock_ahead[i] = 1;
            Visit(m);
        }
    }

    void
    Withdraw(Model m, int i)
    {
        if (m.agents[i].wanted && Ls_Holds(&m.agents[i])) {
            Ls_Want(&m.agents[i], false);
            Visit(m);
        }
    }
};

/*
 * Searches every sequence, within the bound, of the steps of two hosts: send a
 * record, have it written or refused, read, advance time, skew a clock, send
 * an order.  The search runs the production code.
 */
TEST(LeaseSearch, NoTwoHoldersActAtOnceWithFences)
{
    Search search(Fault::kNone, 0);
    search.Run();
    EXPECT_EQ("", search.failure);
    EXPECT_GT(search.takeovers, 0);
    printf("states searched: %zu\n", search.visited.size());
}

TEST(LeaseSearch, NoTwoOrdersLiveAtOnceWithoutFences)
{
    Search search(Fault::kNone, 2);
    search.Run();
    EXPECT_EQ("", search.failure);
    EXPECT_GT(search.takeovers, 0);
    printf("states searched: %zu\n", search.visited.size());
}

TEST(LeaseSearch, DetectsEveryInjectedFault)
{
    struct {
        Fault fault;
        int order;
    } table[] = {
        {Fault::kTermFromRead, 0}, {Fault::kTermFromRead, 2},
        {Fault::kTakesEarly, 0},   {Fault::kNoBase, 0},
        {Fault::kNoOrderWait, 2},  {Fault::kActAfterRelease, 0},
    };
    for (const auto &row : table) {
        Search search(row.fault, row.order);
        search.Run();
        EXPECT_NE("", search.failure) << (int)row.fault << " " << row.order;
    }
}

} // namespace
