// Version moves: a bad version gets little and is taken back, a good one is
// done, and every daemon tells the same.
#include "test/moves_fixture.h"

namespace {

using cg::Millis;
using cg::Moves;

/*
 * A new version of the assistant fails every request. Only a small share may
 * meet it, none soon after its fault shows, no caller may notice, and the
 * operator reads one sentence, the same from every daemon.
 */
TEST_F(Moves, ABadVersionIsTakenBack)
{
    Start(120);
    for (size_t i = 2; i < 4; i++) {
        scene.engines[i]->Fault("{\"mode\":\"error_500\",\"count\":-1}");
    }
    ASSERT_TRUE(LoadUntil([&] { return AllSay("taken back"); }, Millis(60000)))
        << Move(0).Dump();
    EXPECT_EQ(asked, whole);
    std::string sentence = Move(0)["sentence"].Str();
    EXPECT_NE("", sentence);
    for (size_t i = 1; i < 3; i++) {
        EXPECT_EQ(sentence, Move(i)["sentence"].Str());
    }
    long long bad = Runs(2, 2);
    EXPECT_LE(bad * 5, Runs(0, 2));
    LoadUntil([&] { return false; }, Millis(1500));
    EXPECT_EQ(bad, Runs(2, 2)) << "new work after it was taken back";
}

// Guards against callers who are told "unknown" since failures of the old
// version hide those of a bad new one, until no retries are left.  A request
// meets two failing engines at the most, and has three attempts.
TEST_F(Moves, AFailureOfTheOldVersionDoesNotHideABadNewOne)
{
    Start(120, 1);
    scene.engines[0]->Fault("{\"mode\":\"error_500\",\"count\":8}");
    scene.engines[2]->Fault("{\"mode\":\"error_500\",\"count\":-1}");
    ASSERT_TRUE(LoadUntil([&] { return AllSay("taken back"); }, Millis(60000)))
        << Move(0).Dump();
    EXPECT_EQ(asked, whole) << RetriesRefused();
}

/*
 * The daemon that holds the move is killed while the new version carries its
 * small share. Another goes on from what the log says; the bad version is
 * taken back all the same.
 */
TEST_F(Moves, ItsHolderIsKilledInMidMove)
{
    Start(120);
    ASSERT_TRUE(
        LoadUntil([&] { return AllSay("small share"); }, Millis(60000)))
        << Move(0).Dump();
    for (size_t i = 2; i < 4; i++) {
        scene.engines[i]->Fault("{\"mode\":\"error_500\",\"count\":-1}");
    }
    // Which daemon holds it is not told: each in turn would do.
    scene.cluster.process(0).Kill();
    ASSERT_TRUE(LoadUntil([&] { return AllSay("taken back"); }, Millis(90000)))
        << Move(1).Dump();
    EXPECT_EQ(Move(1)["sentence"].Str(), Move(2)["sentence"].Str());
}

TEST_F(Moves, AGoodVersionIsDone)
{
    Start(230);
    ASSERT_TRUE(LoadUntil([&] { return AllSay("done"); }, Millis(280000)))
        << Move(0).Dump();
    EXPECT_EQ(asked, whole);
    EXPECT_EQ(Move(0)["sentence"].Str(), Move(2)["sentence"].Str());
    // Routers act on a record at their next tick, within half a second.
    LoadUntil([&] { return false; }, Millis(2000));
    long long old = Runs(0, 2);
    LoadUntil([&] { return false; }, Millis(1000));
    EXPECT_EQ(old, Runs(0, 2)) << "the old version still gets work";
}

} // namespace
