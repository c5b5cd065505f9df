// Engines that say how many refusals in a second they bear.
#include <gtest/gtest.h>

#include <thread>

#include "test/scene.h"

namespace {

const size_t kEngines = 3;
const size_t kDaemons = 4;
const int kBorne = 4;
const int kAtOnce = 60;
const int kRounds = 8;
// Reports are a second old at the most, and told to all.
const cg::Millis kContact(3000);

class Brittle : public ::testing::Test {
  protected:
    void
    Start()
    {
        for (size_t i = 0; i < kEngines; i++) {
            // A completion of five tokens runs for some 0.2 s.
            scene_.AddEngine({"--token-us", "40000", "--slots", "8"});
        }
        scene_.PublishDefaults();
        scene_.cluster.AddMany(kDaemons);
        ASSERT_TRUE(scene_.cluster.WaitReady());
        ASSERT_TRUE(cg::Eventually([&] { return Press(kEngines) > 0; }));
    }

    // Completions at once, over all daemons; how many are served.
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

    int
    Falls()
    {
        int falls = 0;
        for (const auto &engine : scene_.engines) {
            falls += engine->Falls();
        }
        return falls;
    }

    void
    SetBrittle(int most)
    {
        for (const auto &engine : scene_.engines) {
            engine->Brittle(most);
        }
    }

    cg::Scene scene_;

  private:
    int number_ = 0;
};

// All callers press on engines that let none wait, and these fall over.
TEST_F(Brittle, EnginesStandUnderMoreThanTheyCanTake)
{
    Start();
    for (const auto &engine : scene_.engines) {
        // They say so, and do not mean it yet.
        engine->Brittle(kBorne * 1000);
    }
    std::this_thread::sleep_for(kContact);
    SetBrittle(kBorne);
    std::this_thread::sleep_for(kContact);
    int served = 0;
    for (int round = 0; round < kRounds; round++) {
        served += Press(kAtOnce);
    }
    std::cout << served << " of " << kRounds * kAtOnce << " served, "
              << Falls() << " falls\n";
    EXPECT_LE(Falls(), 2 + (int)kEngines / 10);
    EXPECT_GT(served, 0);
}

// Engines that are not brittle any more are used to the half only.
TEST_F(Brittle, AllPlacesAreUsedOnceItIsOver)
{
    Start();
    SetBrittle(kBorne);
    std::this_thread::sleep_for(kContact);
    SetBrittle(-1);
    EXPECT_TRUE(cg::Eventually([&] { return Press(kAtOnce) == kAtOnce; }));
}

} // namespace
