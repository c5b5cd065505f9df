// Version moves: a bad version gets little and is taken back, a good one is
// done, and every daemon tells the same.
#include <gtest/gtest.h>

#include <atomic>
#include <ctime>
#include <sstream>
#include <thread>

#include "test/scene.h"

namespace {

using cg::Json;
using cg::Millis;

class Moves : public ::testing::Test {
  protected:
    void
    Start(int deadline_sec, int new_engines = 2)
    {
        for (int i = 0; i < 2; i++) {
            scene.AddEngine({"--token-us", "500", "--slots", "32"}, "v1");
        }
        for (int i = 0; i < new_engines; i++) {
            scene.AddEngine({"--token-us", "500", "--slots", "32"}, "v2");
        }
        long long by = (long long)time(nullptr) + deadline_sec;
        scene.PublishDefaults(",\"move\":{\"from\":\"v1\",\"to\":\"v2\","
                              "\"first_share\":0.1,\"deadline_sec\":" +
                              std::to_string(by) + "}");
        scene.cluster.AddMany(3);
        ASSERT_TRUE(scene.cluster.WaitReady());
    }

    // Runs callers until the condition holds, at most for the limit.
    bool
    LoadUntil(const std::function<bool()> &condition, Millis limit)
    {
        std::atomic<bool> stop{false};
        std::vector<std::thread> callers;
        for (size_t t = 0; t < 6; t++) {
            callers.emplace_back([&, t] {
                for (int n = 0; n < 100000 && !stop; n++) {
                    std::string prompt =
                        std::to_string(t) + "/" + std::to_string(n);
                    cg::HttpResult result = cg::Http(
                        scene.Complete(t % 3, prompt, 10, n % 2 == 0));
                    cg::Completion answer = cg::ReadCompletion(result);
                    whole += answer.done && answer.text ==
                                                cg::ExpectedAnswer(prompt, 10)
                                 ? 1
                                 : 0;
                    asked++;
                    std::this_thread::sleep_for(Millis(5));
                }
            });
        }
        bool held = cg::Eventually(condition, limit);
        stop = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
        return held;
    }

    // The move as one daemon shows it.
    Json
    Move(size_t daemon)
    {
        return scene.cluster.Status(daemon, "ops-key")["moves"][0];
    }

    bool
    AllSay(const std::string &phase)
    {
        for (size_t i = 0; i < scene.cluster.Size(); i++) {
            if (scene.cluster.process(i).Running() &&
                Move(i)["phase"].Str() != phase) {
                return false;
            }
        }
        return true;
    }

    // An engine as one daemon shows it.
    std::string
    StateOf(size_t daemon, const std::string &id)
    {
        Json services = scene.cluster.Status(daemon, "ops-key")["services"];
        for (size_t i = 0; i < services.Size(); i++) {
            Json endpoints = services[i]["endpoints"];
            for (size_t j = 0; j < endpoints.Size(); j++) {
                if (endpoints[j]["id"].Str() == id) {
                    return endpoints[j]["state"].Str();
                }
            }
        }
        return "";
    }

    bool
    AnyShows(const std::string &id, const std::string &state)
    {
        for (size_t i = 0; i < scene.cluster.Size(); i++) {
            if (StateOf(i, id) == state) {
                return true;
            }
        }
        return false;
    }

    // Why failed attempts were not followed by others, as the daemons say.
    std::string
    RetriesRefused()
    {
        std::string lines;
        for (size_t i = 0; i < scene.cluster.Size(); i++) {
            std::istringstream log(scene.cluster.process(i).Stderr());
            for (std::string line; std::getline(log, line);) {
                if (line.find("GT_RETRY_REFUSED") != std::string::npos) {
                    lines += line + "\n";
                }
            }
        }
        return lines;
    }

    long long
    Runs(size_t first, size_t count)
    {
        long long runs = 0;
        for (size_t i = first; i < first + count; i++) {
            runs += scene.engines[i]->Totals()["runs"].Int();
        }
        return runs;
    }

    // Calls a daemon that starts, while its reads of a stream come late; the
    // runs that this brought the new version.
    long long
    RunsOfAStart(size_t daemon, const std::string &late)
    {
        const int kCalls = 100;
        scene.cluster.process(daemon).Kill();
        long long before = Runs(2, 2);
        scene.platform.Fault(cg::Json()
                                 .Set("target", "read")
                                 .Set("stream", late)
                                 .Set("mode", "delay")
                                 .Set("delay_ms", 400)
                                 .Set("count", -1)
                                 .Dump());
        scene.cluster.Restart(daemon);
        int answered = 0;
        EXPECT_TRUE(cg::Eventually(
            [&] {
                std::string prompt = late + "/" + std::to_string(answered);
                cg::HttpResult result =
                    cg::Http(scene.Complete(daemon, prompt, 10, false));
                answered += cg::ReadCompletion(result).done ? 1 : 0;
                return answered >= kCalls;
            },
            Millis(60000)));
        scene.platform.Clear();
        EXPECT_TRUE(scene.cluster.WaitReady());
        return Runs(2, 2) - before;
    }

    cg::Scene scene;
    std::atomic<long long> whole{0};
    std::atomic<long long> asked{0};
};

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

// Guards against the same when the old version fails for longer, and only
// once the new one carries its small share.
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
