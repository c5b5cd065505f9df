/* Keepers of the same slots over one log with injected faults. */
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/test/fake_log.h"
#include "state/keeper.h"
#include "state/test/fake_clock.h"

namespace {

struct World {
    FakeLog log;
    FakeClock clock;
    std::map<std::string, int> runs; /* runs of each key */
    std::map<std::string, std::string> first_answer;
    std::set<std::string> dead;
    uint64_t attempts = 0;
    uint64_t incarnations = 0;
    std::map<enum kp_verdict, int> verdicts;
};

struct Node;

struct Request {
    Node *node;
    struct cl_claim claim;
    bool answered = false;
    enum kp_verdict verdict = KP_NOT_RUN;
    std::string body;
    std::string reason;
};

struct Node {
    World &world;
    std::string name;
    struct bg_budget *budget;
    struct kp_keeper *keeper = nullptr;
    struct rc_writer self = {};
    std::vector<std::unique_ptr<Request>> requests;
    std::vector<Request *> won;      /* won, not dispatched yet */
    std::vector<Request *> running;  /* dispatched, no result yet */
    std::vector<Request *> rerouted; /* claimed at a second keeper */

    Node(World &w, std::string n)
        : world(w), name(std::move(n)), budget(Bg_Create(&w.clock.clock))
    {
        Start();
    }

    ~Node()
    {
        Kp_Destroy(keeper);
        Bg_Destroy(budget);
    }

    static bool
    Dead(void *arg, const struct rc_writer *owner)
    {
        auto *world = static_cast<World *>(arg);
        return world->dead.count(owner->node +
                                 std::to_string(owner->incarnation)) > 0;
    }

    void
    Start()
    {
        snprintf(self.node, sizeof(self.node), "%s", name.c_str());
        self.incarnation = ++world.incarnations;
        struct kp_options options = {};
        options.log = &world.log.log;
        options.clock = &world.clock.clock;
        options.self = self;
        options.budget = budget;
        options.appends_per_slot = 1000;
        options.snapshot_records = 10;
        options.owner_ended = Dead;
        options.owner_ended_arg = &world;
        ASSERT_EQ(ST_OK, Kp_Create(&options, &keeper));
    }

    /*
     * Simulates a crash: the keeper's state is lost and its owners get no
     * answers.
     */
    void
    Restart()
    {
        for (auto &request : requests) {
            request->answered = true;
        }
        Kp_Destroy(keeper);
        world.dead.insert(name + std::to_string(self.incarnation));
        won.clear();
        running.clear();
        rerouted.clear();
        Start();
    }

    Request *
    Claim(const std::string &key, const std::string &body = "b",
          int64_t wait = 300 * Ck_USEC_PER_MSEC)
    {
        auto request = std::make_unique<Request>();
        request->node = this;
        struct cl_claim &claim = request->claim;
        claim = {};
        snprintf(claim.key.customer, sizeof(claim.key.customer), "club");
        snprintf(claim.key.digest, sizeof(claim.key.digest), "%s",
                 key.c_str());
        claim.attempt = {self, ++world.attempts};
        snprintf(claim.body_digest, sizeof(claim.body_digest), "%s",
                 body.c_str());
        claim.wall_ms = world.clock.wall / 1000;
        claim.expires_ms = claim.wall_ms + 3600 * 1000;
        Request *raw = request.get();
        requests.push_back(std::move(request));
        EXPECT_EQ(ST_OK, Kp_Claim(keeper, &claim, world.clock.boot + wait,
                                  OnAnswer, raw));
        return raw;
    }

    /*
     * Claims the latest attempt through another keeper, as if the connection
     * to the first keeper had been lost before it answered.
     */
    void
    Reroute(Node &keeper_node)
    {
        Request *first = requests.empty() ? nullptr : requests.back().get();
        if (first == nullptr || first->answered) {
            return;
        }
        first->answered = true;
        auto second = std::make_unique<Request>();
        second->node = this;
        second->claim = first->claim;
        Request *raw = second.get();
        requests.push_back(std::move(second));
        rerouted.push_back(raw);
        EXPECT_EQ(ST_OK,
                  Kp_Claim(keeper_node.keeper, &raw->claim,
                           world.clock.boot + Ck_USEC_PER_SEC, OnAnswer, raw));
    }

    /*
     * Releases an attempt that will not be dispatched: it may have won at the
     * keeper whose answer was lost.
     */
    void
    ReleaseRerouted(Request *r)
    {
        if (r->answered && r->verdict != KP_WON) {
            Release(r);
        }
    }

    static void
    OnAnswer(void *arg, const struct kp_answer *answer)
    {
        auto *r = static_cast<Request *>(arg);
        if (r->answered) {
            return;
        }
        r->answered = true;
        r->verdict = answer->verdict;
        r->node->world.verdicts[answer->verdict]++;
        if (answer->verdict == KP_WON) {
            r->node->won.push_back(r);
        }
        if (answer->verdict == KP_DONE) {
            r->body.assign((const char *)answer->answer->body,
                           answer->answer->len);
        }
        if (answer->reason != nullptr) {
            r->reason = answer->reason;
        }
    }

    void
    Dispatch(Request *r)
    {
        std::string key = r->claim.key.digest;
        world.runs[key]++;
        world.first_answer[key] =
            "answer " + std::to_string(r->claim.attempt.number);
        running.push_back(r);
    }

    void
    Finish(Request *r)
    {
        const std::string &text = world.first_answer[r->claim.key.digest];
        struct cl_answer answer = {};
        answer.code = 200;
        answer.body = text.data();
        answer.len = text.size();
        Kp_Result(keeper, &r->claim.key, &r->claim.attempt, &answer, nullptr,
                  nullptr);
    }

    void
    Release(Request *r)
    {
        Kp_Release(keeper, &r->claim.key, &r->claim.attempt, nullptr, nullptr);
    }
};

void
Settle(World &world, const std::vector<Node *> &nodes, int steps = 100)
{
    for (int i = 0; i < steps; i++) {
        for (Node *node : nodes) {
            Kp_Tick(node->keeper);
        }
        world.log.Run();
        world.clock.Advance(10 * Ck_USEC_PER_MSEC);
    }
}

/*
 * Requests with the same key reach two hosts in the same millisecond, and both
 * hosts keep the slot.  The order of the two claims in the log decides, not
 * the answers to the appends; otherwise two tickets would be charged.
 */
TEST(Keeper, TwoKeepersOfOneSlotGiveOneWinner)
{
    World world;
    Node a(world, "a");
    Node b(world, "b");
    std::vector<Node *> both = {&a, &b};
    Request *one = a.Claim("k");
    Request *two = b.Claim("k");
    Settle(world, both);
    EXPECT_TRUE(one->answered && two->answered);
    EXPECT_EQ(1, (one->verdict == KP_WON) + (two->verdict == KP_WON));
    EXPECT_EQ(1, (one->verdict == KP_IN_PROGRESS) +
                     (two->verdict == KP_IN_PROGRESS));
    Request *winner = one->verdict == KP_WON ? one : two;
    winner->node->Dispatch(winner);
    winner->node->Finish(winner);
    Settle(world, both);
    for (Node *node : both) {
        Request *retry = node->Claim("k");
        Request *other = node->Claim("k", "other body");
        Settle(world, both);
        EXPECT_EQ(KP_DONE, retry->verdict);
        EXPECT_EQ(world.first_answer["k"], retry->body);
        EXPECT_EQ(KP_REUSED, other->verdict);
    }
}

/*
 * A host crashes after it dispatched a charge and before the result.  A retry
 * on any host must be answered "unknown", at any later time.
 */
TEST(Keeper, ACrashedOwnersClaimIsUnknownAndNeverRunsAgain)
{
    World world;
    Node a(world, "a");
    Node b(world, "b");
    std::vector<Node *> both = {&a, &b};
    Request *first = a.Claim("k");
    Settle(world, both);
    ASSERT_EQ(KP_WON, first->verdict);
    a.Dispatch(first);
    a.Restart();
    for (Node *node : both) {
        Request *retry = node->Claim("k");
        Settle(world, both);
        EXPECT_EQ(KP_UNKNOWN, retry->verdict);
    }
    Request *stuck = b.Claim("late");
    Settle(world, both);
    ASSERT_EQ(KP_WON, stuck->verdict);
    world.clock.Advance(7200 * Ck_USEC_PER_SEC);
    Request *retry = a.Claim("late");
    Settle(world, both);
    EXPECT_EQ(KP_UNKNOWN, retry->verdict);
}

/*
 * The log is down for a while.  New claims are answered "not run", and the
 * same key can be won afterwards.  The result of a charge that was dispatched
 * before the outage is not lost.
 */
TEST(Keeper, AnOutageRefusesClaimsAndKeepsResults)
{
    World world;
    Node a(world, "a");
    std::vector<Node *> all = {&a};
    Request *before = a.Claim("before");
    Settle(world, all);
    ASSERT_EQ(KP_WON, before->verdict);
    a.Dispatch(before);
    world.log.outage = true;
    a.Finish(before);
    Request *refused = a.Claim("during");
    Settle(world, all);
    EXPECT_EQ(KP_NOT_RUN, refused->verdict);
    EXPECT_NE("", refused->reason);
    world.log.outage = false;
    Settle(world, all, 500);
    Request *retry = a.Claim("before");
    Request *again = a.Claim("during");
    Settle(world, all);
    EXPECT_EQ(KP_DONE, retry->verdict);
    EXPECT_EQ(world.first_answer["before"], retry->body);
    EXPECT_EQ(KP_WON, again->verdict);
}

/*
 * The answer to the append of a claim is lost, so its owner is answered "not
 * run", but the record is written later.  The claim must be released;
 * otherwise every retry would be answered "in progress" for hours although
 * nobody runs the request.
 */
TEST(Keeper, AClaimWrittenAfterItsRefusalIsReleased)
{
    World world;
    Node a(world, "a");
    std::vector<Node *> all = {&a};
    Settle(world, all);
    Request *late = a.Claim("k");
    world.log.faults = {FakeLog::Fault::kLate};
    world.log.refused_rate = 1;
    Settle(world, all);
    EXPECT_EQ(KP_NOT_RUN, late->verdict);
    world.log.refused_rate = 0;
    world.log.DeliverLate();
    Settle(world, all, 500);
    Request *retry = a.Claim("k");
    Settle(world, all);
    EXPECT_EQ(KP_WON, retry->verdict);
}

/*
 * A slot that is closed and opened again must continue its sequence numbers.
 * If they restarted, readers would drop its records as duplicates and every
 * claim would time out.
 */
TEST(Keeper, AReopenedSlotIsReadyAgain)
{
    World world;
    Node a(world, "a");
    std::vector<Node *> all = {&a};
    Request *first = a.Claim("k");
    int slot = Cl_Slot(&first->claim.key);
    Kp_Close(a.keeper, slot);
    Settle(world, all);
    EXPECT_EQ(KP_WON, first->verdict);
    EXPECT_FALSE(Kp_IsOpen(a.keeper, slot));
    a.Release(first);
    Settle(world, all);
    EXPECT_TRUE(Kp_IsReady(a.keeper, slot));
    Request *second = a.Claim("k");
    Settle(world, all);
    EXPECT_EQ(KP_WON, second->verdict);
}

/* A new keeper opens a slot whose first records have expired. */
TEST(Keeper, OpensASlotFromItsSnapshot)
{
    World world;
    Node a(world, "a");
    std::vector<Node *> all = {&a};
    Request *done = a.Claim("k");
    Settle(world, all);
    a.Dispatch(done);
    a.Finish(done);
    char stream[32];
    snprintf(stream, sizeof(stream), "claims-%02d", Cl_Slot(&done->claim.key));
    for (int i = 0; i < 60; i++) {
        Request *other = a.Claim("k");
        Settle(world, all, 5);
        ASSERT_NE(KP_WON, other->verdict);
        if (i % 10 == 0) {
            world.clock.Advance(700 * Ck_USEC_PER_SEC);
        }
    }
    FakeLog::Stream &s = world.log.streams[stream];
    world.log.Expire(stream, s.Next() - 3);
    ASSERT_GT(s.oldest, 2u);
    Node b(world, "b");
    Request *retry = b.Claim("k");
    std::vector<Node *> both = {&a, &b};
    Settle(world, both);
    EXPECT_EQ(KP_DONE, retry->verdict);
    EXPECT_EQ(world.first_answer["k"], retry->body);
}

/*
 * Records have expired and no snapshot covers them.  Claims must be refused,
 * since a key that is not in the table may have run.
 */
TEST(Keeper, RefusesClaimsOverAGap)
{
    World world;
    Node a(world, "a");
    std::vector<Node *> all = {&a};
    Request *probe = a.Claim("k");
    Settle(world, all);
    char stream[32];
    snprintf(stream, sizeof(stream), "claims-%02d",
             Cl_Slot(&probe->claim.key));
    a.Release(probe);
    Settle(world, all);
    world.log.Expire(stream, 2);
    Node b(world, "b");
    Request *refused = b.Claim("k");
    std::vector<Node *> both = {&b};
    Settle(world, both);
    EXPECT_EQ(KP_NOT_RUN, refused->verdict);
}

/*
 * Takes one random step of a node: a caller's action or a restart, then a
 * tick.
 */
void
RandomStep(World &world, Node &node, Node &other)
{
    struct rn_random *random = &world.log.random;
    uint32_t what = Rn_Below(random, 100);
    if (what < 25) {
        node.Claim("k" + std::to_string(Rn_Below(random, 4)),
                   Rn_Below(random, 10) == 0 ? "c" : "b",
                   (int64_t)Rn_Below(random, 300) * Ck_USEC_PER_MSEC);
    }
    else if (what < 45 && !node.won.empty()) {
        Request *r = node.won.back();
        node.won.pop_back();
        if (Rn_Below(random, 3) == 0) {
            node.Release(r);
        }
        else {
            node.Dispatch(r);
        }
    }
    else if (what < 60 && !node.running.empty()) {
        node.Finish(node.running.back());
        node.running.pop_back();
    }
    else if (what < 62) {
        node.Restart();
    }
    else if (what < 70) {
        node.Reroute(other);
    }
    else if (what < 74 && !node.rerouted.empty()) {
        node.ReleaseRerouted(node.rerouted.back());
    }
    for (auto &[name, stream] : world.log.streams) {
        if (stream.records.size() > 60) {
            world.log.Expire(name, stream.Next() - 50);
        }
    }
    Kp_Tick(node.keeper);
    world.log.Run((int)Rn_Below(random, 4));
    if (Rn_Below(random, 6) == 0) {
        world.log.DeliverLate();
    }
    world.clock.Advance((int64_t)Rn_Below(random, 20) * Ck_USEC_PER_MSEC);
}

void
CheckKey(World &world, Node &node, const std::string &key,
         const std::vector<Node *> &nodes)
{
    Request *last = node.Claim(key, "b", 2 * Ck_USEC_PER_SEC);
    Settle(world, nodes, 300);
    ASSERT_TRUE(last->answered);
    ASSERT_NE(KP_NOT_RUN, last->verdict) << key;
    ASSERT_NE(KP_IN_PROGRESS, last->verdict) << key;
    if (last->verdict == KP_WON) {
        ASSERT_EQ(0, world.runs[key]) << key;
        node.Release(last);
    }
    if (last->verdict == KP_DONE) {
        ASSERT_EQ(1, world.runs[key]) << key;
        ASSERT_EQ(world.first_answer[key], last->body) << key;
    }
    Settle(world, nodes, 50);
}

/*
 * Two hosts keep the same slot while answers of the log are lost, appends are
 * written late, hosts crash, keys are released and claimed again, attempts are
 * claimed through a second keeper and records expire behind snapshots.  Every
 * key must run at most once (a seat must not be charged twice), and afterwards
 * a claim of each key must get a final verdict.
 */
TEST(Keeper, AKeyRunsAtMostOnceUnderFaults)
{
    World total;
    for (uint64_t seed = 1; seed <= 3000; seed++) {
        World world;
        Rn_Seed(&world.log.random, seed);
        Node a(world, "a");
        Node b(world, "b");
        std::vector<Node *> nodes = {&a, &b};
        world.log.lost_rate = 0.2;
        world.log.refused_rate = 0.1;
        world.log.short_rate = 0.1;
        world.log.overlap_rate = 0.1;
        for (int step = 0; step < 300; step++) {
            size_t i = Rn_Below(&world.log.random, 2);
            RandomStep(world, *nodes[i], *nodes[1 - i]);
            for (const auto &[key, runs] : world.runs) {
                ASSERT_LE(runs, 1) << key << " seed " << seed;
            }
        }
        world.log.lost_rate = world.log.refused_rate = 0;
        world.log.short_rate = world.log.overlap_rate = 0;
        while (world.log.DeliverLate()) {
        }
        Settle(world, nodes, 300);
        for (Node *node : nodes) {
            for (Request *r : node->won) {
                node->Release(r);
            }
            for (Request *r : node->rerouted) {
                node->ReleaseRerouted(r);
            }
            for (Request *r : node->running) {
                node->Finish(r);
            }
        }
        Settle(world, nodes, 100);
        for (int i = 0; i < 4; i++) {
            CheckKey(world, *nodes[i % 2], "k" + std::to_string(i), nodes);
            if (HasFatalFailure()) {
                FAIL() << "seed " << seed;
            }
        }
        for (const auto &[verdict, count] : world.verdicts) {
            total.verdicts[verdict] += count;
        }
    }
    for (int v = KP_WON; v <= KP_NOT_RUN; v++) {
        EXPECT_GT(total.verdicts[(enum kp_verdict)v], 1000) << v;
    }
}

} // namespace
