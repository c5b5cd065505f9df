/* Leases: cases by hand, and every interleaving of two hosts in a bound. */
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
struct Bench {
    struct Entry {
        struct rc_writer writer;
        struct ls_change change;
    };

    std::vector<Entry> log;
    std::vector<struct ls_agent> agents;
    std::vector<size_t> read;

    Bench(int count, const struct ls_terms &terms)
        : agents(count), read(count, 0)
    {
        for (int i = 0; i < count; i++) {
            struct rc_writer writer = Writer(i);
            Ls_Init(&agents[i], &writer, &terms);
            Ls_Want(&agents[i], true);
        }
    }

    /* What agent i sends now, not yet in the log. */
    Entry
    Send(int i, int64_t now, enum ls_op expected)
    {
        struct ls_agent &agent = agents[i];
        enum ls_op op = Ls_Due(&agent, now, now);
        EXPECT_EQ(expected, op);
        Entry entry = {agent.self, {}};
        entry.change.op = op;
        entry.change.base = agent.lease.last;
        Ls_Sent(&agent, op, now);
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

TEST(Lease, BodiesSurviveTheLog)
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
 * Two hosts order the same version to different roles: both saw the lease
 * free and took it.  The second take in the log names a stale base.
 */
TEST(Lease, OfTwoTakersTheFirstInTheLogHolds)
{
    Bench bench(2, Terms(30, 3, 0));
    bench.Append(0, 10, LS_TAKE);
    bench.Append(1, 10, LS_TAKE);
    bench.Read(0, 11);
    bench.Read(1, 11);
    EXPECT_EQ(1u, bench.Fence(0, 12));
    EXPECT_EQ(0u, bench.Fence(1, 12));
    EXPECT_EQ(LS_NOTHING, Ls_Due(&bench.agents[1], 40, 40));
    EXPECT_EQ(LS_TAKE, Ls_Due(&bench.agents[1], 41, 41));
}

/*
 * A holder is paused for longer than its term and wakes up; meanwhile
 * another host took the job.  The first one must not go on, although it has
 * not read that yet.
 */
TEST(Lease, APausedHolderStopsByItsOwnClock)
{
    Bench bench(2, Terms(30, 3, 0));
    bench.Append(0, 0, LS_TAKE);
    bench.Read(0, 1);
    bench.Read(1, 1);
    EXPECT_EQ(1u, bench.Fence(0, 26));
    EXPECT_EQ(0u, bench.Fence(0, 27));
    bench.Append(1, 31, LS_TAKE);
    bench.Read(1, 32);
    EXPECT_EQ(2u, bench.Fence(1, 33));
    EXPECT_EQ(0u, bench.Fence(0, 33));
    bench.Append(0, 33, LS_RENEW);
    bench.Read(0, 34);
    bench.Read(1, 34);
    EXPECT_EQ(0u, bench.Fence(0, 35));
    EXPECT_EQ(2u, bench.Fence(1, 35));
}

/*
 * A renewal's answer is lost and the record is read back only much later.
 * The term runs from the sending, so it may be over by then.
 */
TEST(Lease, ALateRenewalCountsFromItsSending)
{
    Bench bench(1, Terms(30, 3, 0));
    bench.Append(0, 0, LS_TAKE);
    bench.Read(0, 1);
    bench.Append(0, 10, LS_RENEW);
    EXPECT_EQ(0u, bench.Fence(0, 30));
    bench.Read(0, 36);
    EXPECT_EQ(1u, bench.Fence(0, 36));
    EXPECT_EQ(0u, bench.Fence(0, 37));
    bench.Append(0, 37, LS_RENEW);
    bench.Read(0, 38);
    EXPECT_EQ(1u, bench.Fence(0, 38));
}

/*
 * A holder that fell behind builds its state again and reads its older
 * renewal a second time, while a new one is on its way and may never land.
 * The old one must not begin the term of the new one.
 */
TEST(Lease, ARenewalReadASecondTimeBeginsNoTerm)
{
    Bench bench(1, Terms(30, 3, 0));
    bench.Append(0, 0, LS_TAKE);
    bench.Read(0, 1);
    struct ls_lease before = bench.agents[0].lease;
    bench.Append(0, 10, LS_RENEW);
    bench.Read(0, 11);
    bench.Send(0, 20, LS_RENEW);
    Ls_Loaded(&bench.agents[0], &before, 25);
    bench.read[0] = 1;
    bench.Read(0, 25);
    EXPECT_EQ(1u, bench.Fence(0, 36));
    EXPECT_EQ(0u, bench.Fence(0, 37));
}

/* A renewal that was refused is sent again, at once. */
TEST(Lease, ARefusedRenewalIsSentAgain)
{
    Bench bench(1, Terms(30, 3, 0));
    bench.Append(0, 0, LS_TAKE);
    bench.Read(0, 1);
    bench.Send(0, 10, LS_RENEW);
    EXPECT_EQ(LS_NOTHING, Ls_Due(&bench.agents[0], 20, 20));
    Ls_NotWritten(&bench.agents[0]);
    bench.Append(0, 20, LS_RENEW);
    bench.Read(0, 21);
    EXPECT_EQ(1u, bench.Fence(0, 46));
}

/*
 * The log is down for longer than a term.  The holder stops; a taker that
 * could not read must not take the silence for a lapse: after the outage
 * each of the two may come first, and the log's order decides.
 */
TEST(Lease, AnOutageLongerThanTheTermMovesNothingByItself)
{
    Bench bench(2, Terms(30, 3, 0));
    bench.Append(0, 0, LS_TAKE);
    bench.Read(0, 1);
    bench.Read(1, 1);
    EXPECT_EQ(LS_NOTHING, Ls_Due(&bench.agents[1], 100, 5));
    EXPECT_EQ(0u, bench.Fence(0, 100));
    Bench::Entry renewal = bench.Send(0, 100, LS_RENEW);
    Bench::Entry take = bench.Send(1, 100, LS_TAKE);
    bench.log.push_back(renewal);
    bench.log.push_back(take);
    bench.Read(0, 101);
    bench.Read(1, 101);
    EXPECT_EQ(1u, bench.Fence(0, 102));
    EXPECT_EQ(0u, bench.Fence(1, 102));
}

/*
 * Endpoints that compare no fencing numbers obey an order of the old holder
 * after one of the new holder: it was checked at the end of the old term and
 * arrived late.  The new holder waits that long before its first order.
 */
TEST(Lease, OrdersOfTheOldHolderEndBeforeTheFirstOfTheNew)
{
    Bench bench(2, Terms(30, 3, 8));
    bench.Append(0, 0, LS_TAKE);
    bench.Read(0, 1);
    bench.Read(1, 1);
    EXPECT_EQ(0u, bench.Fence(0, 7));
    EXPECT_EQ(1u, bench.Fence(0, 26));
    bench.Append(1, 31, LS_TAKE);
    bench.Read(1, 32);
    EXPECT_EQ(0u, bench.Fence(1, 38));
    EXPECT_EQ(2u, bench.Fence(1, 39));
}

/* A host that leaves hands its jobs over at once and orders nothing more. */
TEST(Lease, AReleasedJobIsTakenWithoutWaiting)
{
    Bench bench(2, Terms(30, 3, 0));
    bench.Append(0, 0, LS_TAKE);
    bench.Read(0, 1);
    Ls_Want(&bench.agents[0], false);
    bench.Append(0, 5, LS_RELEASE);
    EXPECT_EQ(0u, bench.Fence(0, 5));
    bench.Read(1, 6);
    bench.Append(1, 6, LS_TAKE);
    bench.Read(1, 7);
    EXPECT_EQ(3u, bench.Fence(1, 8));
}

/* A clock that jumps ahead (a suspended host) only ends a term early. */
TEST(Lease, AJumpAheadEndsTheHoldersTerm)
{
    Bench bench(1, Terms(30, 3, 0));
    bench.Append(0, 0, LS_TAKE);
    bench.Read(0, 1);
    EXPECT_EQ(1u, bench.Fence(0, 2));
    EXPECT_EQ(0u, bench.Fence(0, 1000000));
    bench.Append(0, 1000000, LS_RENEW);
    bench.Read(0, 1000001);
    EXPECT_EQ(1u, bench.Fence(0, 1000002));
}

/* ---- Every interleaving of two hosts within a bound ---- */

enum class Flaw {
    kNone,
    kTermFromAnswer, /* the term runs from the reading back */
    kImpatient,      /* the taker waits one tick less than needed */
    kNoBase,         /* takes count whatever they build on */
    kNoWaitOut,      /* the new holder orders at once */
    kActAfterRelease /* a holder goes on until its release is read back */
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

/* Compared by its bytes, so it is cleared before use. */
struct Model {
    struct ls_agent agents[kHosts];
    Change flights[kHosts]; /* op LS_NOTHING: none */
    Change log[kRecords];
    int records;
    int read[kHosts];
    int now;
    int ahead[kHosts];       /* a clock that gained a tick */
    uint64_t last_fence;     /* of the newest order checked */
    int ends[kHosts];        /* when a host's last order expires */
    uint64_t fences[kHosts]; /* of that order */
};

struct Search {
    Flaw flaw;
    int order;
    std::unordered_set<uint64_t> seen;
    std::string failure;
    int takeovers = 0;

    explicit Search(Flaw f, int o) : flaw(f), order(o)
    {
    }

    static int64_t
    Clock(const Model &m, int i)
    {
        return m.now + m.ahead[i] + 1000 * i;
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

    /* Two states that differ only in what can matter no longer are one. */
    static uint64_t
    Digest(Model m)
    {
        for (int i = 0; i < kHosts; i++) {
            struct ls_agent &agent = m.agents[i];
            bool holds = Ls_Holds(&agent);
            agent.sent_at = agent.sent != LS_NOTHING ? agent.sent_at : 0;
            agent.until = holds ? agent.until : 0;
            agent.act_from =
                holds && agent.act_from > Clock(m, i) ? agent.act_from : 0;
            if (holds || agent.lease.fence == 0) {
                agent.seen_at = 0;
            }
            if (m.ends[i] <= m.now) {
                m.ends[i] = 0;
                m.fences[i] = 0;
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
            Order(m, i);
        }
        if (!failure.empty() || !seen.insert(Digest(m)).second) {
            return;
        }
        if (m.now < kTicks) {
            Model next = m;
            next.now++;
            Visit(next);
        }
        for (int i = 0; i < kHosts; i++) {
            Decide(m, i);
            Land(m, i);
            Refuse(m, i);
            Read(m, i);
            Skew(m, i);
            GiveUp(m, i);
        }
    }

    /* A host always believes that it read to the end: a stale tail shows it
     * just that. */
    void
    Decide(Model m, int i)
    {
        struct ls_agent &agent = m.agents[i];
        int64_t now = Clock(m, i);
        int64_t early = flaw == Flaw::kImpatient ? kMargin + 1 : 0;
        enum ls_op op = Ls_Due(&agent, now + early, now + early);
        if (op == LS_NOTHING || m.records == kRecords) {
            return;
        }
        m.flights[i] = {i, op, agent.lease.last};
        int64_t until = agent.until;
        Ls_Sent(&agent, op, now);
        if (flaw == Flaw::kActAfterRelease) {
            agent.until = until;
        }
        Visit(m);
    }

    /* The append takes effect; its answer, lost or not, changes nothing. */
    void
    Land(Model m, int i)
    {
        if (m.flights[i].op != LS_NOTHING && m.records < kRecords) {
            m.log[m.records++] = m.flights[i];
            m.flights[i] = {};
            Visit(m);
        }
    }

    void
    Refuse(Model m, int i)
    {
        if (m.flights[i].op != LS_NOTHING) {
            m.flights[i] = {};
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
        if (flaw == Flaw::kNoBase && entry.op == LS_TAKE) {
            change.base = agent.lease.last;
            agent.sent_base = agent.lease.last;
        }
        if (flaw == Flaw::kTermFromAnswer && entry.host == i) {
            agent.sent_at = now;
        }
        struct rc_writer writer = Writer(entry.host);
        Ls_Applied(&agent, &writer, (uint64_t)m.read[i], &change, now);
        if (flaw == Flaw::kNoWaitOut) {
            agent.act_from = 0;
        }
        Visit(m);
    }

    /* Orders whenever it may: an order more never makes a later one safe. */
    void
    Order(Model &m, int i)
    {
        struct ls_permit permit;
        if (!Ls_MayAct(&m.agents[i], Clock(m, i), &permit)) {
            return;
        }
        int other = 1 - i;
        if (permit.fence < m.last_fence) {
            failure = "an older holder acted after a newer one";
        }
        if (order > 0 && m.fences[other] != 0 &&
            m.fences[other] < permit.fence && m.ends[other] > m.now) {
            failure = "an order of the older holder was still alive";
        }
        takeovers += m.last_fence != 0 && permit.fence > m.last_fence;
        m.last_fence = permit.fence;
        m.fences[i] = permit.fence;
        m.ends[i] = m.now + (int)permit.life_usec;
    }

    /* The drift that the margin must cover: one tick, of either host. */
    void
    Skew(Model m, int i)
    {
        if (m.ahead[0] + m.ahead[1] == 0) {
            m.ahead[i] = 1;
            Visit(m);
        }
    }

    void
    GiveUp(Model m, int i)
    {
        if (m.agents[i].wanted && Ls_Holds(&m.agents[i])) {
            Ls_Want(&m.agents[i], false);
            Visit(m);
        }
    }
};

/*
 * Every order of sending, landing, refusing, reading, pausing, ticking and
 * ordering by two hosts, within the bound, over the code that runs.
 */
TEST(LeaseSearch, NoTwoHoldersActAtOnceWithFences)
{
    Search search(Flaw::kNone, 0);
    search.Run();
    EXPECT_EQ("", search.failure);
    EXPECT_GT(search.takeovers, 0);
    printf("states searched: %zu\n", search.seen.size());
}

TEST(LeaseSearch, NoTwoOrdersLiveAtOnceWithoutFences)
{
    Search search(Flaw::kNone, 2);
    search.Run();
    EXPECT_EQ("", search.failure);
    EXPECT_GT(search.takeovers, 0);
    printf("states searched: %zu\n", search.seen.size());
}

TEST(LeaseSearch, FindsEveryFlawPutIn)
{
    struct {
        Flaw flaw;
        int order;
    } table[] = {
        {Flaw::kTermFromAnswer, 0}, {Flaw::kTermFromAnswer, 2},
        {Flaw::kImpatient, 0},      {Flaw::kNoBase, 0},
        {Flaw::kNoWaitOut, 2},      {Flaw::kActAfterRelease, 0},
    };
    for (const auto &row : table) {
        Search search(row.flaw, row.order);
        search.Run();
        EXPECT_NE("", search.failure) << (int)row.flaw << " " << row.order;
    }
}

} // namespace
