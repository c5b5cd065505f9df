// Engines that report how many requests a second they take from all daemons.
#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

#include "test/scene.h"

namespace {

const size_t kEngines = 3;
const size_t kDaemons = 4;
const double kLimit = 2.4;
const int kAtOnce = 24;
const int kRounds = 3;
const cg::Millis kRoundInterval(200);
// Reports are a second old at the most, and told to all.
const cg::Millis kContact(3000);
const int64_t kWindowUsec = 4000000;

class RateLimit : public ::testing::Test {
  protected:
    void
    Start()
    {
        for (size_t i = 0; i < kEngines; i++) {
            // A completion of five tokens runs for some 0.1 s.
            scene_.AddEngine({"--token-us", "20000", "--slots", "16"});
        }
        scene_.PublishDefaults();
        scene_.cluster.AddMany(kDaemons);
        ASSERT_TRUE(scene_.cluster.WaitReady());
        ASSERT_TRUE(cg::Eventually([&] { return Press(kEngines) > 0; }));
    }

    // Completions at once, over all daemons; returns how many are served.
    int
    Press(int calls)
    {
        std::vector<cg::HttpCall> all;
        for (int i = 0; i < calls; i++) {
            all.push_back(scene_.Complete((size_t)i % kDaemons,
                                          "press " + std::to_string(number_++),
                                          5, false));
        }
        int served = 0;
        for (const cg::HttpResult &result : cg::HttpAll(all)) {
            served += result.code == 200;
        }
        return served;
    }

    void
    SetLimit(double limit)
    {
        for (const auto &engine : scene_.engines) {
            engine->RateLimit(limit);
        }
    }

    // Most runs in a window of those that began after the first "skip".
    int64_t
    WorstWindow(size_t engine, size_t skip)
    {
        std::vector<int64_t> starts = Starts(engine);
        int64_t worst = 0;
        for (size_t i = skip, first = skip; i < starts.size(); i++) {
            while (starts[first] <= starts[i] - kWindowUsec) {
                first++;
            }
            worst = std::max(worst, (int64_t)(i - first + 1));
        }
        return worst;
    }

    std::vector<int64_t>
    Starts(size_t engine)
    {
        cg::Json runs = scene_.engines[engine]->Runs();
        std::vector<int64_t> starts;
        for (size_t i = 0; i < runs.Size(); i++) {
            starts.push_back(runs[i]["started"].Int());
        }
        std::sort(starts.begin(), starts.end());
        return starts;
    }

    cg::Scene scene_;

  private:
    int number_ = 0;
};

// Guards against an engine that gets several times the requests a second that
// it reports to take.
TEST_F(RateLimit, AnEngineGetsNoMoreThanItReportsToTake)
{
    Start();
    SetLimit(kLimit);
    std::this_thread::sleep_for(kContact);
    std::vector<size_t> before;
    for (size_t i = 0; i < kEngines; i++) {
        before.push_back(Starts(i).size());
    }
    for (int round = 0; round < kRounds; round++) {
        Press(kAtOnce);
        std::this_thread::sleep_for(kRoundInterval);
    }
    int64_t allowed = (int64_t)(1.5 * kLimit * (kWindowUsec / 1000000) + 5);
    for (size_t i = 0; i < kEngines; i++) {
        int64_t worst = WorstWindow(i, before[i]);
        std::cout << "engine " << i << ": " << Starts(i).size() - before[i]
                  << " requests, " << worst << " in 4 s, allowed " << allowed
                  << "\n";
        EXPECT_LE(worst, allowed);
        EXPECT_GT(worst, 0);
    }
}

// Guards against engines that stay limited after their limit has ended.
TEST_F(RateLimit, AllRequestsAreServedOnceItIsOver)
{
    Start();
    SetLimit(kLimit);
    std::this_thread::sleep_for(kContact);
    SetLimit(0);
    EXPECT_TRUE(cg::Eventually([&] { return Press(kAtOnce) == kAtOnce; }));
}

} // namespace
