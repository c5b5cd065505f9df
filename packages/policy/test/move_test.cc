#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "base/random.h"
#include "move_model.h"
#include "policy/move.h"

namespace {

const int64_t kSec = 1000000;

struct MoveRun {
    struct mv_evidence *evidence = Mv_EvidenceCreate(0.01);
    struct mv_move move;
    struct mv_tick_input input = {2, 1, false, 10, 10};
    int64_t now = kSec;
    uint64_t sequence = 0;

    explicit MoveRun(int64_t deadline = 3601 * kSec)
    {
        struct mv_plan plan = {"rink", "v1", "v2", 0.02, deadline, false};
        EXPECT_EQ(ST_OK, Mv_Begin(&move, &plan, now));
    }

    ~MoveRun()
    {
        Mv_EvidenceDestroy(evidence);
    }

    void
    report(uint32_t old_count, uint32_t old_failed, uint32_t new_count,
           uint32_t new_failed)
    {
        struct mv_cell cell = {};
        snprintf(cell.route, sizeof(cell.route), "/a");
        cell.count[MV_OLD] = old_count;
        cell.failed[MV_OLD] = old_failed;
        cell.count[MV_NEW] = new_count;
        cell.failed[MV_NEW] = new_failed;
        cell.first_token[MV_OLD][20] = old_count - old_failed;
        cell.first_token[MV_NEW][20] = new_count - new_failed;
        Mv_Merge(evidence, "r1", ++sequence, &cell, 1);
        Mv_CloseBlock(evidence);
    }

    /* Ticks until the phase is reached, the move is over or time is up. */
    void
    until(enum mv_phase phase, int64_t most = 4000 * kSec)
    {
        int64_t stop = now + most;
        while (move.phase != phase && !Mv_IsOver(&move) && now < stop) {
            now += kSec;
            if (now % (10 * kSec) == 0) {
                report(90, 0, 10, 0);
            }
            Mv_Tick(&move, evidence, &input, now);
        }
    }

    std::string
    description()
    {
        char out[512];
        Mv_Describe(&move, out, sizeof(out));
        return out;
    }
};

TEST(Move, AGoodVersionIsRolledOutInGrowingStepsBeforeTheDeadline)
{
    MoveRun m;
    std::vector<double> shares;
    EXPECT_EQ(MV_PLANNED, m.move.phase);
    while (!Mv_IsOver(&m.move) && m.now < 3700 * kSec) {
        m.until(MV_DONE, kSec);
        if (shares.empty() || shares.back() != m.move.share) {
            shares.push_back(m.move.share);
        }
    }
    EXPECT_EQ(MV_DONE, m.move.phase);
    EXPECT_LT(m.now, 3601 * kSec);
    ASSERT_GE(shares.size(), 5u);
    EXPECT_LE(shares[0], 0.02);
    for (size_t i = 1; i < shares.size(); i++) {
        EXPECT_GT(shares[i], shares[i - 1]);
        EXPECT_LE(shares[i], shares[i - 1] * 3 + 1e-9);
    }
    EXPECT_NE(std::string::npos, m.description().find("is done, "));
    EXPECT_NE(std::string::npos, m.description().find("before the deadline"));
}

// Guards against a router that, after ten successive failures of the new
// version, goes on sending to it for minutes because it waits for the log,
// which is down.
TEST(Move, ARouterTripsByItselfAfterFewFailures)
{
    struct mv_trip trip;
    Mv_TripInit(&trip);
    for (int i = 0; i < 1000; i++) {
        EXPECT_FALSE(Mv_TripNote(&trip, MV_OLD, MV_GOOD));
        EXPECT_FALSE(Mv_TripNote(&trip, MV_NEW, MV_GOOD));
    }
    int failures = 0;
    while (!Mv_TripNote(&trip, MV_NEW, MV_FAILED) && failures < 100) {
        failures++;
        Mv_TripNote(&trip, MV_OLD, MV_GOOD);
    }
    EXPECT_LE(failures, 6);
    EXPECT_TRUE(Mv_TripNote(&trip, MV_NEW, MV_GOOD));
    Mv_TripInit(&trip);
    for (failures = 1; !Mv_TripNote(&trip, MV_NEW, MV_FAILED); failures++) {
        ASSERT_LT(failures, 100);
    }
    EXPECT_GT(failures, 5);
    EXPECT_LE(failures, 15);
}

// Guards against a router that goes on sending to a version that fails every
// request, because the old version has failed one request before.
TEST(Move, OneFailureOfTheOldVersionDoesNotPreventATrip)
{
    const int kMost = 15;
    for (int good_between : {1, 2, 5}) {
        struct mv_trip trip;
        Mv_TripInit(&trip);
        for (int i = 0; i < 100; i++) {
            EXPECT_FALSE(Mv_TripNote(&trip, MV_OLD, MV_GOOD));
        }
        EXPECT_FALSE(Mv_TripNote(&trip, MV_OLD, MV_FAILED));
        int failures = 1;
        while (failures < 1000 && !Mv_TripNote(&trip, MV_NEW, MV_FAILED)) {
            failures++;
            for (int i = 0; i < good_between; i++) {
                Mv_TripNote(&trip, MV_OLD, MV_GOOD);
            }
        }
        EXPECT_LE(failures, kMost) << good_between;
    }
}

// Guards against a bad version that uses up the retry budget: an engine of the
// old version died with its slots full, and its failures hid those of the new
// version.
TEST(Move, ADeadEngineOfTheOldVersionDoesNotPreventATrip)
{
    const int kMost = 10;
    const int kMostFailures = 40; /* of the retry budget of 50 */
    for (int known : {0, 100}) {
        for (int old_failed : {0, 4, 8, 16, 24, 32, 48}) {
            EXPECT_LE(Trip_AfterOldFailures(known, old_failed, 2), kMost)
                << known << " " << old_failed;
        }
    }
    for (uint64_t seed = 1; seed <= 50; seed++) {
        struct trip_model model = {};
        model.seed = seed;
        model.share = 0.5;
        model.new_engines = 1 + (int)(seed % 2);
        model.new_failure_rate = 1;
        model.requests = 2000;
        model.killed = true;
        model.killed_side = MV_OLD;
        model.in_flight = 16 + (int)seed % 33;
        model.refused = 5;
        struct trip_outcome out;
        Trip_Run(&model, &out);
        EXPECT_TRUE(out.tripped) << seed;
        EXPECT_LE(out.new_failures, kMostFailures) << seed;
    }
}

// Guards against a trip on a good new version because one of its engines died
// with its slots full, or fails all requests, while the other engine answers.
TEST(Move, ADeadEngineOfTheNewVersionDoesNotTrip)
{
    const int kRuns = 100;
    const int kMost = 3;
    for (double share : {0.1, 0.5, 0.95}) {
        int killed = 0;
        int failing = 0;
        for (uint64_t seed = 1; seed <= kRuns; seed++) {
            struct trip_model model = {};
            model.seed = seed;
            model.share = share;
            model.new_engines = 2;
            model.requests = 2000;
            model.killed = true;
            model.killed_side = MV_NEW;
            model.killed_at = 300 + (int)seed;
            model.in_flight = 16;
            model.refused = 5;
            struct trip_outcome out;
            Trip_Run(&model, &out);
            killed += out.tripped;
            model.killed = false;
            model.failing = true;
            model.failing_side = MV_NEW;
            model.failing_at = model.killed_at;
            Trip_Run(&model, &out);
            failing += out.tripped;
        }
        EXPECT_LE(killed, kMost) << share;
        EXPECT_LE(failing, kMost) << share;
    }
}

// Guards against a trip on a good version because the database that both
// versions use was unavailable for a minute.
TEST(Move, AnOutageOfBothVersionsDoesNotTrip)
{
    int full_outage_trips = 0;
    int partial_outage_trips = 0;
    for (uint64_t seed = 1; seed <= 100; seed++) {
        for (double share : {0.02, 0.5, 0.95}) {
            full_outage_trips += Outage_Run(seed, 1, share);
            partial_outage_trips += Outage_Run(seed, 0.4, share);
        }
    }
    EXPECT_EQ(0, full_outage_trips);
    EXPECT_LE(partial_outage_trips, 15);
    MoveRun m;
    m.until(MV_GROWING);
    for (int i = 0; i < 60; i++) {
        m.report(900, i / 6 % 2 == 1 ? 500 : 5, 100, i / 6 % 2 == 1 ? 55 : 1);
    }
    struct mv_finding finding;
    Mv_Finding(m.evidence, &finding);
    EXPECT_FALSE(finding.alarm);
}

// Gossip delivers reports repeatedly.  Guards against counting a report twice,
// which would count as twice the evidence.
TEST(Move, ARepeatedReportCountsOnce)
{
    struct mv_evidence *evidence = Mv_EvidenceCreate(0.01);
    struct mv_cell cell = {};
    cell.count[MV_OLD] = 100;
    cell.count[MV_NEW] = 3;
    cell.failed[MV_NEW] = 1;
    for (int i = 0; i < 50; i++) {
        Mv_Merge(evidence, "r1", 1, &cell, 1);
        Mv_CloseBlock(evidence);
    }
    struct mv_totals totals;
    struct mv_finding finding;
    Mv_Totals(evidence, &totals);
    Mv_Finding(evidence, &finding);
    EXPECT_EQ(3u, totals.count[MV_NEW]);
    EXPECT_FALSE(finding.alarm);
    Mv_EvidenceDestroy(evidence);
}

TEST(Move, TheFindingAndTheSentenceNameRouteAndClass)
{
    MoveRun m;
    m.until(MV_GROWING);
    for (int i = 0; i < 30; i++) {
        struct mv_cell cells[2] = {};
        snprintf(cells[0].route, sizeof(cells[0].route), "/seats");
        cells[0].request_class = 1;
        cells[0].count[MV_OLD] = cells[0].count[MV_NEW] = 20;
        cells[0].failed[MV_NEW] = 8;
        snprintf(cells[1].route, sizeof(cells[1].route), "/hire");
        cells[1].count[MV_OLD] = cells[1].count[MV_NEW] = 2000;
        cells[1].failed[MV_OLD] = cells[1].failed[MV_NEW] = 20;
        Mv_Merge(m.evidence, "r1", ++m.sequence, cells, 2);
        Mv_CloseBlock(m.evidence);
    }
    EXPECT_TRUE(Mv_Tick(&m.move, m.evidence, &m.input, m.now));
    EXPECT_EQ(MV_ROLLED_BACK, m.move.phase);
    EXPECT_EQ(0, m.move.share);
    EXPECT_STREQ("/seats", m.move.finding.route);
    EXPECT_EQ(1, m.move.finding.request_class);
    EXPECT_NE(std::string::npos, m.description().find("taken back"));
    EXPECT_NE(std::string::npos, m.description().find("on route /seats"));
    EXPECT_NE(std::string::npos,
              m.description().find("All requests go to v1"));
}

TEST(Move, ATrippedRouterRollsTheMoveBackInEveryPhase)
{
    for (int phase = MV_PLANNED; phase <= MV_PROBATION; phase++) {
        MoveRun m;
        m.input.new_endpoints = phase == MV_PLANNED ? 0 : 2;
        m.until((enum mv_phase)phase);
        ASSERT_EQ(phase, m.move.phase);
        m.input.any_tripped = true;
        EXPECT_TRUE(Mv_Tick(&m.move, m.evidence, &m.input, m.now));
        EXPECT_EQ(MV_ROLLED_BACK, m.move.phase);
        m.input.any_tripped = false;
        EXPECT_FALSE(Mv_Tick(&m.move, m.evidence, &m.input, m.now));
    }
}

// Guards against a move that ends at low traffic: the old version is shut down
// before the peak shows that the new version fails under load.
TEST(Move, ProbationLastsUntilALoadNearThePeak)
{
    MoveRun m(8 * 3600 * kSec);
    m.input.per_sec = 3;
    m.until(MV_PROBATION);
    ASSERT_EQ(MV_PROBATION, m.move.phase);
    EXPECT_LT(m.move.share, 1);
    EXPECT_GE(m.move.share, 0.8);
    m.until(MV_DONE, 6000 * kSec);
    EXPECT_EQ(MV_PROBATION, m.move.phase);
    m.input.per_sec = 9;
    m.until(MV_DONE, 10 * kSec);
    EXPECT_EQ(MV_DONE, m.move.phase);
}

TEST(Move, TheDeadlineEndsAMoveThatIsNotReady)
{
    MoveRun no_endpoint;
    no_endpoint.input.new_endpoints = 0;
    no_endpoint.until(MV_DONE);
    EXPECT_EQ(MV_ROLLED_BACK, no_endpoint.move.phase);
    EXPECT_EQ(3601 * kSec, no_endpoint.now);
    MoveRun low_capacity;
    low_capacity.input.new_capacity = 0.3;
    low_capacity.until(MV_DONE);
    EXPECT_EQ(MV_ROLLED_BACK, low_capacity.move.phase);
    MoveRun low_traffic;
    low_traffic.input.per_sec = 1;
    low_traffic.until(MV_DONE);
    EXPECT_EQ(MV_DONE, low_traffic.move.phase);
    EXPECT_NE(std::string::npos,
              low_traffic.description().find("not yet carried"));
}

// Guards against a new target version that inherits the share of the previous
// target when an operator revises a running move.
TEST(Move, TheRunningMoveIsRevisedAndWithdrawn)
{
    MoveRun m;
    m.until(MV_PROBATION);
    struct mv_plan plan = m.move.plan;
    EXPECT_FALSE(Mv_Revise(&m.move, &plan, m.now));
    plan.deadline += 60 * kSec;
    EXPECT_TRUE(Mv_Revise(&m.move, &plan, m.now));
    EXPECT_EQ(MV_PROBATION, m.move.phase);
    snprintf(plan.to, sizeof(plan.to), "v3");
    snprintf(plan.from, sizeof(plan.from), "v2");
    EXPECT_TRUE(Mv_Revise(&m.move, &plan, m.now));
    EXPECT_EQ(MV_PLANNED, m.move.phase);
    EXPECT_EQ(0, m.move.share);
    EXPECT_STREQ("v1", m.move.plan.from);
    m.until(MV_GROWING);
    plan = m.move.plan;
    plan.withdrawn = true;
    EXPECT_TRUE(Mv_Revise(&m.move, &plan, m.now));
    EXPECT_EQ(MV_ROLLED_BACK, m.move.phase);
    EXPECT_NE(std::string::npos, m.description().find("withdrawn"));
    plan.withdrawn = false;
    plan.deadline += 60 * kSec;
    EXPECT_FALSE(Mv_Revise(&m.move, &plan, m.now));
    EXPECT_EQ(MV_ROLLED_BACK, m.move.phase);
    MoveRun over;
    over.until(MV_DONE);
    plan = over.move.plan;
    plan.withdrawn = true; /* the old version may be shut down by now */
    EXPECT_FALSE(Mv_Revise(&over.move, &plan, over.now));
    EXPECT_EQ(MV_DONE, over.move.phase);
}

// Guards against a cap per router: with three requests in flight over seven
// routers, each router would send one request to a hanging version, and all
// requests would hang.
TEST(Move, TheFirstShareCapsRequestsInFlightOverAllRouters)
{
    const char *routers[] = {"a", "b", "c", "d", "e", "f", "g"};
    MoveRun m;
    m.until(MV_SMALL);
    for (int in_flight : {0, 3, 50, 100, 600, 6000}) {
        int cap = 0;
        double share = 0;
        for (const char *router : routers) {
            struct mv_allotment a;
            Mv_Allot(&m.move, router, routers, 7, in_flight, &a);
            EXPECT_NE(0, a.max_in_flight);
            cap += a.max_in_flight > 0 ? a.max_in_flight : 0;
            share += a.share / 7;
        }
        EXPECT_GE(cap, 1);
        EXPECT_LE(cap, std::max(1.0, 0.02 * in_flight + 7));
        if (in_flight <= 300) {
            EXPECT_LE(cap, std::max(1, (int)(0.02 * in_flight + 0.999)));
        }
        EXPECT_NEAR(0.02, share, 0.0001);
    }
}

struct Totals {
    int rolled_back = 0;
    int done = 0;
    double delay = 0;
    double worst_share = 0;
};

Totals
run_seeds(enum move_fault fault, int seeds, double per_sec, bool trip,
          double stalls = 0)
{
    Totals sum;
    for (int seed = 1; seed <= seeds; seed++) {
        struct move_model model = {(uint64_t)seed, per_sec, 7,     0.005,
                                   fault,          !trip,   stalls};
        struct move_outcome out;
        Move_Run(&model, &out);
        sum.rolled_back += out.move.phase == MV_ROLLED_BACK;
        sum.done += out.move.phase == MV_DONE;
        sum.delay += (double)(out.ended_at - out.fault_at) / 1e6 / seeds;
        sum.worst_share = std::max(sum.worst_share, out.share_at_end);
    }
    return sum;
}

TEST(Move, GoodVersionsAreRolledOutAtTheStatedRate)
{
    Totals good = run_seeds(FAULT_NONE, 100, 5, true);
    EXPECT_GE(good.done, 97);
    EXPECT_EQ(100, good.done + good.rolled_back);
}

// Guards against rolling a good version back because its engines stall now and
// then: all requests in a stall are late together, and must count as one
// stall.
TEST(Move, EngineStallsRollNoGoodVersionBack)
{
    const int kMoves = 100;
    /* One good version in so many is rolled back. */
    const int kStatedRate = 100;
    const double kPerSec = 50;
    for (double stalls_per_min : {12.0, 30.0}) {
        Totals good =
            run_seeds(FAULT_NONE, kMoves, kPerSec, true, stalls_per_min);
        EXPECT_LE(good.rolled_back, kMoves / kStatedRate) << stalls_per_min;
        Totals slow =
            run_seeds(FAULT_SLOWS, 10, kPerSec, true, stalls_per_min);
        EXPECT_EQ(10, slow.rolled_back) << stalls_per_min;
    }
}

TEST(Move, EachKindOfBadVersionIsRolledBack)
{
    for (int fault = FAULT_FAILS; fault < FAULT_KINDS; fault++) {
        Totals bad = run_seeds((enum move_fault)fault, 10, 10, true);
        EXPECT_EQ(10, bad.rolled_back) << fault;
    }
    EXPECT_LE(run_seeds(FAULT_FAILS, 10, 10, true).worst_share, 0.02);
}

} // namespace
