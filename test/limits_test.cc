// Limits of a customer hold over all daemons together.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

#include "test/scene.h"

namespace {

using cg::HttpResult;
using cg::Millis;

// Gives the customer a limit and waits until every daemon has it in force.
bool
PutInForce(cg::Scene &scene, const std::string &limit)
{
    long long offset = scene.Publish(
        "team/derwent",
        "{\"customers\":[{\"name\":\"families\"," + limit +
            ",\"key_digest\":\"" + cg::KeyDigest("key-of-the-customer") +
            "\"}],\"services\":[{\"name\":\"seats\",\"kind\":\"plain\","
            "\"prefix\":\"/seats/\",\"slots\":64,\"idempotent\":true,"
            "\"move\":{\"to\":\"v1\"}}]}",
        2);
    return cg::Eventually([&] {
        for (size_t i = 0; i < scene.cluster.Size(); i++) {
            cg::Json status = scene.cluster.Status(i, "ops-key");
            if (status["config"]["in_force"].Int() < offset) {
                return false;
            }
        }
        return true;
    });
}

/*
 * One large customer's callers are spread by the balancer over all daemons.
 * If each daemon allowed the whole limit, the customer would get three times
 * what it pays for, and the small ones would wait.
 */
TEST(Limits, ARateHoldsOverAllDaemonsTogether)
{
    const double kPerSec = 30;
    const size_t kDaemons = 3;
    cg::Scene scene;
    scene.AddPlain();
    scene.PublishDefaults();
    scene.cluster.AddMany(kDaemons);
    ASSERT_TRUE(scene.cluster.WaitReady());
    ASSERT_TRUE(PutInForce(scene, "\"requests_per_sec\":30"));
    std::atomic<int> admitted{0};
    std::atomic<int> refused{0};
    std::atomic<int> other{0};
    auto begun = std::chrono::steady_clock::now();
    std::vector<std::thread> callers;
    for (size_t t = 0; t < 9; t++) {
        callers.emplace_back([&, t] {
            for (int n = 0; n < 150; n++) {
                HttpResult result =
                    cg::Http(scene.Call(t % kDaemons, "GET", "/seats/free"));
                if (result.code == 200) {
                    admitted++;
                }
                else if (result.code == 429 &&
                         result.Header("cornelgate-outcome") == "not-run" &&
                         !result.Header("retry-after").empty()) {
                    refused++;
                }
                else {
                    other++;
                }
                std::this_thread::sleep_for(Millis(20));
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    double seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begun)
            .count();
    EXPECT_EQ(0, other);
    EXPECT_GT(refused, 0);
    EXPECT_GT(admitted, 0);
    // A second's worth may have been saved up before.
    EXPECT_LE(admitted, kPerSec * (seconds + 1) * 1.05)
        << seconds << " s, " << refused << " refused";
}

// The most runs that the endpoint had at once, by its own record.
size_t
MostAtOnce(const cg::Json &runs)
{
    std::vector<std::pair<double, int>> edges;
    for (size_t i = 0; i < runs.Size(); i++) {
        edges.emplace_back(runs[i]["started"].Number(), 1);
        edges.emplace_back(runs[i]["finished"].Number(), -1);
    }
    // An end and a start at the same instant: the end came first.
    std::sort(edges.begin(), edges.end());
    size_t most = 0;
    int now = 0;
    for (const auto &edge : edges) {
        now += edge.second;
        most = std::max(most, (size_t)std::max(now, 0));
    }
    return most;
}

/*
 * Requests at once are limited over all daemons too. The endpoint's record
 * says how many overlapped; how many of a round were answered does not, since
 * on a busy machine a round takes longer than one of its requests.
 */
TEST(Limits, RequestsAtOnceHoldOverAllDaemonsTogether)
{
    const size_t kDaemons = 3;
    const size_t kAtOnce = 6;
    cg::Scene scene;
    scene.AddPlain({"--work-us", "300000"});
    scene.PublishDefaults();
    scene.cluster.AddMany(kDaemons);
    ASSERT_TRUE(scene.cluster.WaitReady());
    ASSERT_TRUE(PutInForce(scene, "\"max_in_flight\":6"));
    for (int round = 0; round < 5; round++) {
        std::vector<cg::HttpCall> calls;
        for (size_t i = 0; i < 30; i++) {
            calls.push_back(scene.Call(i % kDaemons, "GET", "/seats/x"));
        }
        int admitted = 0;
        for (const HttpResult &result : cg::HttpAll(calls)) {
            admitted += result.code == 200 ? 1 : 0;
            EXPECT_TRUE(result.code == 200 || result.code == 429)
                << result.code << result.body;
        }
        EXPECT_GT(admitted, 0);
    }
    std::string logs;
    for (size_t i = 0; i < kDaemons; i++) {
        logs += scene.cluster.process(i).Stderr();
    }
    EXPECT_LE(MostAtOnce(scene.plains[0]->Runs()), kAtOnce) << logs;
}

} // namespace
