// A planned stop cuts off no request.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "test/scene.h"

namespace {

using cg::HttpResult;

// How the requests of a run ended.
struct Tally {
    std::atomic<int> whole{0};
    std::atomic<int> refused{0};  // in words, as not run
    std::atomic<int> no_place{0}; // nobody listened any more
    std::atomic<int> cut{0};

    void
    Count(const HttpResult &result, bool answered)
    {
        if (answered) {
            whole++;
        }
        else if (result.code == 503 &&
                 result.Header("cornelgate-outcome") == "not-run") {
            refused++;
        }
        else if (result.code == 0 &&
                 result.error.find("connect to server") != std::string::npos) {
            no_place++;
        }
        else {
            cut++;
            ADD_FAILURE() << result.code << " " << result.error << " "
                          << result.body << " at "
                          << cg::ClockTime(result.ended) << ", port "
                          << result.local_port << " to " << result.remote_port;
        }
    }
};

/*
 * A daemon is replaced in the middle of the evening's rush. Every request it
 * has taken, streamed or not, ends whole; those that come later are refused
 * as not run, so that the caller can connect to another daemon.
 */
TEST(Drain, AStopUnderLoadCutsNothing)
{
    cg::Scene scene;
    scene.AddEngine({"--token-us", "10000", "--slots", "64"});
    scene.AddPlain({"--work-us", "200000"});
    scene.PublishDefaults(",\"slots\":64");
    scene.cluster.AddMany(2);
    ASSERT_TRUE(scene.cluster.WaitReady());
    std::atomic<bool> stop{false};
    Tally tally;
    std::vector<std::thread> callers;
    for (int t = 0; t < 8; t++) {
        callers.emplace_back([&, t] {
            for (int n = 0; n < 2000 && !stop; n++) {
                std::string name =
                    "c" + std::to_string(t) + "-" + std::to_string(n);
                if (t % 2 == 0) {
                    HttpResult result =
                        cg::Http(scene.Complete(0, name, 150, true));
                    cg::Completion answer = cg::ReadCompletion(result);
                    tally.Count(result, answer.done &&
                                            answer.text ==
                                                cg::ExpectedAnswer(name, 150));
                    continue;
                }
                HttpResult result =
                    cg::Http(scene.Call(0, "POST", "/charge/x", "{}", name));
                tally.Count(result, result.code == 200);
            }
        });
    }
    ASSERT_TRUE(cg::Eventually([&] { return tally.whole > 10; }));
    scene.cluster.process(0).Term();
    EXPECT_EQ(0, scene.cluster.process(0).WaitExit(cg::Millis(60000)));
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(0, tally.cut) << scene.cluster.process(0).Stderr();
    EXPECT_GT(tally.whole, 10);
    EXPECT_NE(std::string::npos,
              scene.cluster.process(0).Stderr().find("GT_STOPPED"));
    EXPECT_EQ(std::string::npos,
              scene.cluster.process(0).Stderr().find("GT_CUT"));
}

TEST(Drain, ReadinessGoesFirst)
{
    cg::Scene scene;
    scene.AddPlain({"--work-us", "1000000"});
    scene.PublishDefaults();
    scene.cluster.AddMany(1);
    ASSERT_TRUE(scene.cluster.WaitReady());
    auto slow = cg::HttpAsync(scene.Call(0, "GET", "/seats/slow"));
    scene.cluster.process(0).Term();
    EXPECT_TRUE(cg::Eventually([&] { return !scene.cluster.IsReady(0); }));
    EXPECT_EQ(200, slow.get().code);
    EXPECT_EQ(0, scene.cluster.process(0).WaitExit());
}

// Guards against a daemon that has stopped in order, nothing cut, and then
// crashes since a read of the host list was under way.
TEST(Drain, AStopDuringAReadOfTheHostListEndsInOrder)
{
    cg::Scene scene;
    scene.AddPlain();
    scene.PublishDefaults();
    scene.cluster.AddMany(1);
    ASSERT_TRUE(scene.cluster.WaitReady());
    scene.platform.Fault("{\"target\":\"hosts\",\"mode\":\"delay\","
                         "\"count\":-1,\"delay_ms\":60000}");
    cg::Process &daemon = scene.cluster.process(0);
    daemon.Term();
    EXPECT_EQ(0, daemon.WaitExit()) << daemon.Stderr();
    EXPECT_NE(std::string::npos, daemon.Stderr().find("GT_STOPPED forced=0"));
}

/* A second signal ends a stop by force, with an event for each request. */
TEST(Drain, ASecondSignalForces)
{
    cg::Scene scene;
    scene.AddPlain({"--work-us", "20000000"});
    scene.PublishDefaults();
    scene.cluster.AddMany(1);
    ASSERT_TRUE(scene.cluster.WaitReady());
    auto slow = cg::HttpAsync(scene.Call(0, "GET", "/seats/slow"));
    ASSERT_TRUE(cg::Eventually([&] {
        return scene.plains[0]->Totals()["started"].Int() > 0 ||
               scene.plains[0]->Runs().Size() > 0;
    }));
    scene.cluster.process(0).Term();
    ASSERT_TRUE(cg::Eventually([&] { return !scene.cluster.IsReady(0); }));
    scene.cluster.process(0).Term();
    EXPECT_EQ(1, scene.cluster.process(0).WaitExit());
    EXPECT_NE(std::string::npos,
              scene.cluster.process(0).Stderr().find("GT_CUT"));
    slow.get();
}

} // namespace
