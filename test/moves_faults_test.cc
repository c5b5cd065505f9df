// Version moves beside other faults: failing, slow and starting ones.
#include "test/moves_fixture.h"

namespace {

using cg::Millis;
using cg::Moves;

// Guards against a daemon that starts and sends callers to a version that was
// taken back, until it has read how the move stands.
TEST_F(Moves, ADaemonThatStartsSendsNobodyToAVersionTakenBack)
{
    Start(120);
    for (size_t i = 2; i < 4; i++) {
        scene.engines[i]->Fault("{\"mode\":\"error_500\",\"count\":-1}");
    }
    ASSERT_TRUE(LoadUntil([&] { return AllSay("taken back"); }, Millis(60000)))
        << Move(0).Dump();
    EXPECT_EQ(0, RunsOfAStart(2, "control"));
    EXPECT_EQ(0, RunsOfAStart(1, "config"));
}

// Guards against the same where no router distrusts the version, of which a
// daemon would hear from the others: the operator has withdrawn it.
TEST_F(Moves, ADaemonThatStartsSendsNobodyToAVersionWithdrawn)
{
    const long long kTeamOffset = 2;
    const char move[] = ",\"move\":{\"from\":\"v1\",\"to\":\"v2\","
                        "\"first_share\":0.1,\"withdrawn\":true}";
    Start(120);
    ASSERT_TRUE(
        LoadUntil([&] { return AllSay("small share"); }, Millis(60000)))
        << Move(0).Dump();
    scene.Publish("team/derwent", cg::Scene::DefaultTeam(move), kTeamOffset);
    ASSERT_TRUE(LoadUntil([&] { return AllSay("taken back"); }, Millis(60000)))
        << Move(0).Dump();
    EXPECT_EQ(0, RunsOfAStart(2, "control"));
    EXPECT_EQ(0, RunsOfAStart(1, "config"));
}

// Guards against callers told "unknown" since a long failure of the old
// version hides that of a bad new one in its small share.
TEST_F(Moves, ALongFailureOfTheOldVersionDoesNotHideABadNewOne)
{
    Start(120, 1);
    ASSERT_TRUE(
        LoadUntil([&] { return AllSay("small share"); }, Millis(60000)));
    scene.engines[0]->Fault("{\"mode\":\"error_500\",\"count\":48}");
    scene.engines[2]->Fault("{\"mode\":\"error_500\",\"count\":-1}");
    ASSERT_TRUE(LoadUntil([&] { return AllSay("taken back"); }, Millis(60000)))
        << Move(0).Dump();
    EXPECT_EQ(asked, whole) << RetriesRefused();
}

// Guards against attempts that all go to the engine that fails them, while
// the good one is out of use for having been slow and is not asked.
TEST_F(Moves, AnEngineThatWasSlowIsAskedBeforeOneThatFailedTheRequest)
{
    Start(120, 1);
    ASSERT_TRUE(
        LoadUntil([&] { return AllSay("small share"); }, Millis(60000)));
    scene.engines[1]->Fault(
        "{\"mode\":\"delay\",\"delay_ms\":300,\"count\":-1}");
    ASSERT_TRUE(LoadUntil([&] { return AnyShows("engine-1", "ejected"); },
                          Millis(60000)))
        << scene.cluster.Status(0, "ops-key").Dump();
    scene.engines[1]->Clear();
    scene.engines[0]->Fault("{\"mode\":\"error_500\",\"count\":48}");
    LoadUntil([&] { return scene.engines[0]->FaultHits() >= 48; },
              Millis(10000));
    EXPECT_EQ(asked, whole) << RetriesRefused();
}

// Guards against attempts that stay on a new version that goes bad when it
// carries most requests, while the old one stands idle.
TEST_F(Moves, ABadVersionThatCarriesMostIsNotAskedThreeTimes)
{
    Start(120);
    ASSERT_TRUE(LoadUntil([&] { return Move(0)["share"].Number() >= 0.6; },
                          Millis(150000)))
        << Move(0).Dump();
    for (size_t i = 2; i < 4; i++) {
        scene.engines[i]->Fault("{\"mode\":\"error_500\",\"count\":-1}");
    }
    LoadUntil([&] { return AllSay("taken back"); }, Millis(30000));
    EXPECT_EQ(asked, whole) << RetriesRefused();
}

} // namespace
