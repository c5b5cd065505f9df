// Requests that crash endpoints whatever the parts of their prompts, and that
// their callers repeat.
#include <gtest/gtest.h>

#include <iostream>
#include <string>
#include <vector>

#include "base/clock.h"
#include "policy/poison.h"
#include "policy/test/model/poison_model.h"

namespace {

using cg::PoisonPolicy;
using cg::PoisonResult;
using cg::PoisonScenario;
using cg::SimulatePoison;

const int64_t kMs = Ck_USEC_PER_MSEC;
const int64_t kSecond = Ck_USEC_PER_SEC;
const int64_t kNow = 1000 * kSecond;
const int64_t kGap = 300 * kMs; // between two crashes

class PoisonContent : public testing::Test {
  protected:
    PoisonContent()
    {
        static const pz_ops ops = {
            [](void *, const pz_quarantine *, int, bool) {},
            [](void *, const pz_quarantine *, const char *) {},
            [](void *arg, const pz_quarantine *doubt) {
                static_cast<PoisonContent *>(arg)->doubts_.push_back(*doubt);
            }};
        pz_rule rule = Pz_DefaultRule();
        table_ = Pz_Create(&rule, &ops, this, kNow - 10 * kSecond);
        peer_ = Pz_Create(&rule, &ops, this, kNow - 10 * kSecond);
    }

    ~PoisonContent() override
    {
        Pz_Destroy(table_);
        Pz_Destroy(peer_);
    }

    static pz_request
    Request(uint32_t content, uint32_t service = 1)
    {
        pz_request request = {};
        request.service = service;
        request.customer = 2;
        request.content = content;
        return request;
    }

    // The n-th endpoint crashes under the request, sent after the one before.
    void
    Crash(int n, uint32_t content, bool begun = false, uint32_t endpoint = 0)
    {
        pz_request request = Request(content);
        pz_crash crash = {};
        crash.endpoint =
            endpoint == 0 ? 100 + static_cast<uint32_t>(n) : endpoint;
        crash.ended_at = kNow + n * kGap;
        crash.sent_at = crash.ended_at - kGap / 2;
        Pz_NoteCrash(table_, &request, &crash, begun);
        Pz_ConfirmDead(table_, crash.endpoint);
        if (others_answer_) {
            AnswerOthers(table_, crash.ended_at + 1);
        }
    }

    static void
    AnswerOthers(pz_table *table, int64_t at)
    {
        pz_request other = Request(99);
        Pz_NoteAnswer(table, &other, at);
        Pz_NoteAnswer(table, &other, at);
    }

    // Whether the request is refused for longer than half of "usec".
    static bool
    IsStoppedAt(pz_table *table, uint32_t content, int64_t usec = 0)
    {
        const int64_t now = kNow + 10 * kGap;
        Pz_Evaluate(table, now);
        pz_request request = Request(content);
        const pz_quarantine *found = Pz_FindQuarantine(table, &request, now);
        return found != nullptr && Pz_RetryUsec(found, now) > usec / 2;
    }

    bool
    IsStopped(uint32_t content, int64_t usec = 0) const
    {
        return IsStoppedAt(table_, content, usec);
    }

    bool others_answer_ = true;
    std::vector<pz_quarantine> doubts_;
    pz_table *table_ = nullptr;
    pz_table *peer_ = nullptr;
};

// Guards against a request that goes on crashing endpoints because no other
// request shares anything with it.
TEST_F(PoisonContent, ARequestIsStoppedAfterThreeSuccessiveCrashes)
{
    Crash(0, 7);
    Crash(1, 7);
    EXPECT_FALSE(IsStopped(7));
    Crash(2, 7);
    EXPECT_TRUE(IsStopped(7));
    EXPECT_FALSE(IsStopped(8));
}

// Guards against a stream that crashes endpoints after its first event, and
// whose parts that event clears.
TEST_F(PoisonContent, CrashesDuringTheAnswerCount)
{
    for (int i = 0; i < 3; i++) {
        Crash(i, 7, true);
        pz_request request = Request(7);
        Pz_NoteAnswer(table_, &request, kNow + i * kGap + 1);
    }
    EXPECT_TRUE(IsStopped(7));
}

// Guards against a sound request that is stopped because three endpoints, one
// after the other, crashed for another reason while it waited there.
TEST_F(PoisonContent, AWholeAnswerClearsTheRequest)
{
    Crash(0, 7);
    Crash(1, 7);
    pz_request request = Request(7);
    Pz_NoteWholeAnswer(table_, &request, kNow + kGap + 10 * kMs);
    Crash(2, 7);
    Crash(3, 7);
    EXPECT_FALSE(IsStopped(7));
}

// Guards against one crash of an endpoint that is taken for none, because the
// endpoint started again under its identity.
TEST_F(PoisonContent, AnEndpointThatStartsAgainMayCrashAgain)
{
    for (int i = 0; i < 3; i++) {
        Crash(10 * i, 7, false, 100);
    }
    EXPECT_TRUE(IsStopped(7));
}

// Guards against crashes below the third that a restart of all hosts forgets.
TEST_F(PoisonContent, ADoubtStandsForTwoCrashesAfterARestart)
{
    Crash(0, 7);
    Pz_Evaluate(table_, kNow);
    EXPECT_TRUE(doubts_.empty());
    Crash(1, 7);
    Pz_Evaluate(table_, kNow + kGap);
    ASSERT_EQ(doubts_.size(), 1u);
    EXPECT_EQ(doubts_[0].decided_at, kNow + kGap);

    Pz_ImportDoubt(peer_, &doubts_[0], kNow + 2 * kGap);
    EXPECT_FALSE(IsStoppedAt(peer_, 7));
    std::swap(table_, peer_);
    Crash(2, 7);
    EXPECT_TRUE(IsStopped(7));
}

// Guards against crashes that count twice, from a doubt and from a peer.
TEST_F(PoisonContent, ADoubtAndThePeersItCameFromCountOnce)
{
    Crash(0, 7);
    Crash(1, 7);
    Pz_Evaluate(table_, kNow + kGap);
    ASSERT_EQ(doubts_.size(), 1u);
    pz_crash crashes[8];
    size_t count =
        Pz_ExportCrashes(table_, PZ_BOTH, crashes, 8, kNow + 2 * kGap);
    ASSERT_EQ(count, 2u);
    Pz_ImportDoubt(peer_, &doubts_[0], kNow + 2 * kGap);
    for (size_t i = 0; i < count; i++) {
        Pz_ImportCrash(peer_, &crashes[i]);
    }
    AnswerOthers(peer_, kNow + 2 * kGap);
    EXPECT_FALSE(IsStoppedAt(peer_, 7));
}

// Guards against a doubt that outlives the answer which clears the request.
TEST_F(PoisonContent, AWholeAnswerClearsADoubt)
{
    pz_request request = Request(7);
    pz_quarantine doubt = {};
    Crash(0, 7);
    Crash(1, 7);
    Pz_Evaluate(table_, kNow + kGap);
    ASSERT_EQ(doubts_.size(), 1u);
    doubt = doubts_[0];
    Pz_ImportDoubt(peer_, &doubt, kNow + 2 * kGap);
    Pz_NoteWholeAnswer(peer_, &request, kNow + 2 * kGap);
    std::swap(table_, peer_);
    Crash(4, 7);
    Crash(5, 7);
    EXPECT_FALSE(IsStopped(7));
}

// Guards against a crash through a peer that silence confirms: the peer may
// have failed.
TEST_F(PoisonContent, ACrashThroughAPeerIsNotConfirmedBySilence)
{
    for (uint32_t i = 0; i < 3; i++) {
        pz_request request = Request(7);
        pz_crash crash = {};
        crash.endpoint = 100 + i;
        crash.relayed = true;
        crash.ended_at = kNow + i * kGap;
        crash.sent_at = crash.ended_at - kGap / 2;
        Pz_NoteCrash(table_, &request, &crash, false);
        AnswerOthers(table_, crash.ended_at + 1);
    }
    Pz_Evaluate(table_, kNow + 20 * kSecond);
    EXPECT_FALSE(IsStopped(7));
    for (uint32_t i = 0; i < 3; i++) {
        Pz_ConfirmDead(table_, 100 + i);
    }
    EXPECT_TRUE(IsStopped(7));
}

// Guards against a sound request that waited beside the one that crashed
// three endpoints, and is stopped with it.
TEST_F(PoisonContent, ARequestBesideThePoisonIsNotStopped)
{
    Crash(0, 7);
    Crash(1, 7);
    Crash(1, 8);
    Crash(2, 7);
    EXPECT_TRUE(IsStopped(7));
    Crash(2, 8);
    Crash(3, 8);
    EXPECT_TRUE(IsStopped(7));
    EXPECT_FALSE(IsStopped(8, Pz_QUARANTINE_TTL_USEC));
}

// Guards against a request that nothing is answered beside, and which keeps
// endpoints from answering anything.
TEST_F(PoisonContent, ARequestIsHeldWhileNothingElseIsAnswered)
{
    others_answer_ = false;
    for (int i = 0; i < 3; i++) {
        Crash(i, 7);
    }
    EXPECT_FALSE(IsStopped(7, Pz_QUARANTINE_TTL_USEC));
    EXPECT_TRUE(IsStopped(7, Pz_HOLD_TTL_USEC));
}

// Guards against a part that goes on crashing endpoints, because a request
// with it was stopped and explains the crashes of others.
TEST_F(PoisonContent, AStoppedRequestExplainsItsOwnCrashesOnly)
{
    for (int i = 0; i < 3; i++) {
        Crash(i, 7);
    }
    EXPECT_TRUE(IsStopped(7));
    for (uint32_t i = 0; i < 3; i++) {
        pz_request request = Request(20 + i);
        request.parts[request.count++] = 11;
        pz_crash crash = {};
        crash.endpoint = 200 + i;
        crash.head_received = true;
        crash.ended_at = kNow + i * kGap;
        crash.sent_at = crash.ended_at - kGap / 2;
        request.id = i + 1;
        Pz_NoteCrash(table_, &request, &crash, false);
        Pz_ConfirmDead(table_, crash.endpoint);
        AnswerOthers(table_, crash.ended_at + 1);
    }
    Pz_Evaluate(table_, kNow + 10 * kGap);
    pz_request with_part = Request(8);
    with_part.parts[with_part.count++] = 11;
    EXPECT_NE(Pz_FindQuarantine(table_, &with_part, kNow + 10 * kGap),
              nullptr);
}

// Guards against peers that go on accusing a request which was answered at
// this host since.
TEST_F(PoisonContent, PeersHearThatARequestWasAnswered)
{
    for (int i = 0; i < 3; i++) {
        Crash(i, 7);
    }
    std::vector<pz_crash> crashes(8);
    crashes.resize(
        Pz_ExportCrashes(table_, PZ_BOTH, crashes.data(), 8, kNow + 3 * kGap));
    for (const pz_crash &crash : crashes) {
        Pz_ImportCrash(peer_, &crash);
    }
    pz_request request = Request(7);
    EXPECT_TRUE(IsStoppedAt(peer_, 7));
    Pz_NoteWholeAnswer(table_, &request, kNow + 3 * kGap);
    pz_clear clear;
    ASSERT_EQ(Pz_ExportClears(table_, &clear, 1, kNow + 3 * kGap), 1u);
    Pz_ImportClear(peer_, &clear);
    EXPECT_FALSE(IsStoppedAt(peer_, 7));
}

// Guards against a rack that ends and whose requests displace what is known
// of a part.
TEST_F(PoisonContent, ManyRequestsDoNotDisplaceAPart)
{
    pz_request request = Request(7);
    request.parts[request.count++] = 11;
    pz_crash crash = {};
    crash.endpoint = 100;
    crash.ended_at = kNow;
    crash.sent_at = kNow - kGap;
    Pz_NoteCrash(table_, &request, &crash, false);
    Pz_ConfirmDead(table_, crash.endpoint);
    for (int i = 1; i <= 2000; i++) {
        Crash(0, static_cast<uint32_t>(1000 + i));
    }
    std::vector<pz_crash> rows(1000);
    rows.resize(Pz_ExportCrashes(table_, PZ_BOTH, rows.data(), 1000, kNow));
    size_t parts = 0;
    for (const pz_crash &row : rows) {
        parts += row.depth >= 0;
    }
    EXPECT_EQ(parts, 1u);
}

PoisonPolicy
Policy()
{
    PoisonPolicy policy;
    policy.rule = Pz_DefaultRule();
    return policy;
}

// Requests are stopped by the number of crashes alone.
PoisonPolicy
CountOnly()
{
    PoisonPolicy policy = Policy();
    policy.rule.in_sequence = false;
    policy.rule.other_answers = 0;
    policy.rule.explain_crashes = false;
    return policy;
}

PoisonPolicy
AfterTwo()
{
    PoisonPolicy policy = Policy();
    policy.rule.content_crashes = 2;
    return policy;
}

PoisonPolicy
WithoutContents()
{
    PoisonPolicy policy = Policy();
    policy.rule.content_crashes = 1000;
    return policy;
}

struct Totals {
    int crashes = 0;
    int late = 0;
    int refused = 0;
    int held = 0;
};

Totals
RunSeeds(const std::string &name, const PoisonScenario &scenario,
         const PoisonPolicy &policy, unsigned seeds = 3)
{
    Totals totals;
    for (unsigned seed = 1; seed <= seeds; seed++) {
        PoisonResult result = SimulatePoison(scenario, policy, seed);
        totals.crashes = std::max(totals.crashes, result.request_crashes);
        totals.late = std::max(totals.late, result.request_sent_late);
        totals.refused += result.sound_refused;
        totals.held += result.sound_held;
    }
    std::cout << name << ", " << scenario.hosts << " hosts: most crashes "
              << totals.crashes << ", sent late " << totals.late
              << ", sound refused " << totals.refused << " and held "
              << totals.held << "\n";
    return totals;
}

PoisonScenario
Scenario(size_t hosts)
{
    PoisonScenario scenario;
    scenario.hosts = hosts;
    scenario.endpoints = hosts <= 10 ? 9 : hosts;
    scenario.per_sec = hosts <= 10 ? 100 : 400;
    scenario.poison_fraction = 0;
    scenario.poison_requests = 4;
    scenario.common_fraction = 0.2;
    return scenario;
}

// Guards against repeated poison requests that reach endpoints later than 3 s
// after the third crash, and against sound requests that are stopped.
TEST(PoisonRequests, AreStoppedOnAllHosts)
{
    for (size_t hosts : {7, 60, 300}) {
        Totals totals = RunSeeds("repeats", Scenario(hosts), Policy());
        EXPECT_EQ(totals.late, 0);
        EXPECT_EQ(totals.refused, 0);
    }
}

TEST(PoisonRequests, AreStoppedBesideOtherCrashes)
{
    PoisonScenario scenario = Scenario(7);
    scenario.crash_times = {4.0, 6.5, 7.0, 9.0};
    scenario.crash_fraction = 0.34;
    Totals totals = RunSeeds("crashes", scenario, Policy());
    EXPECT_EQ(totals.late, 0);
    EXPECT_EQ(totals.refused, 0);
}

TEST(PoisonRequests, AreStoppedWhileHostsRestart)
{
    PoisonScenario scenario = Scenario(7);
    scenario.restart_every = 2;
    EXPECT_EQ(RunSeeds("restarts", scenario, Policy()).late, 0);
    scenario.restart_every = 0;
    scenario.restart_all = 9;
    EXPECT_EQ(RunSeeds("all restart", scenario, Policy()).late, 0);
}

TEST(PoisonRequests, AreStoppedWithLateAndLostMessages)
{
    PoisonScenario scenario = Scenario(7);
    scenario.message_loss = 0.3;
    scenario.message_delay_max = 500 * kMs;
    EXPECT_EQ(RunSeeds("late messages", scenario, Policy()).late, 0);
}

// Guards against sound requests that are stopped when endpoints end for other
// reasons, again and again.
TEST(PoisonRequests, NoSoundRequestIsStoppedWhenRacksEnd)
{
    for (size_t hosts : {7, 60, 300}) {
        PoisonScenario scenario = Scenario(hosts);
        scenario.poison_requests = 0;
        scenario.crash_times = {4, 6, 8, 10, 12, 14};
        scenario.crash_fraction = 0.4;
        EXPECT_EQ(RunSeeds("racks", scenario, Policy()).refused, 0);
    }
}

// The ways that were weighed, on the same seeds.
TEST(PoisonRequests, OtherWaysStopTooLittleOrTooMuch)
{
    PoisonScenario repeats = Scenario(7);
    PoisonScenario racks = Scenario(7);
    racks.poison_requests = 0;
    racks.crash_times = {4, 6, 8, 10, 12, 14};
    racks.crash_fraction = 0.8;
    EXPECT_GT(RunSeeds("parts only", repeats, WithoutContents()).late, 0);
    RunSeeds("racks, count only", racks, CountOnly());
    RunSeeds("repeats, count only", repeats, CountOnly());
    RunSeeds("racks, after two", racks, AfterTwo());
    RunSeeds("repeats, after two", repeats, AfterTwo());
    EXPECT_EQ(RunSeeds("racks, three in sequence", racks, Policy()).refused,
              0);
}

} // namespace
