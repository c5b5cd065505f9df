// What daemons do for control stays small, and what it carries still comes.
#include <gtest/gtest.h>

#include "test/scene.h"

namespace {

class Control : public ::testing::Test {
  protected:
    long long
    Slots(size_t i)
    {
        return scene.cluster.Status(i, "ops-key")["work"]["claim_slots"].Int();
    }

    // Reads of the log while the config stream is read kReads times.
    double
    ReadsOfTheLog()
    {
        Json before = scene.platform.Counts();
        cg::Eventually([&] {
            return Config() >=
                   before["streams"]["config"]["reads"].Int() + kReads;
        });
        Json after = scene.platform.Counts();
        return after["reads"].Number() - before["reads"].Number();
    }

    long long
    Config()
    {
        return scene.platform.Counts()["streams"]["config"]["reads"].Int();
    }

    using Json = cg::Json;
    static constexpr long long kReads = 60;
    cg::Scene scene;
};

// The log answers slowly, and each daemon burns processor time, though nobody
// sends a request: a daemon starts alone and opens all sixteen claim slots,
// the others join, and it goes on reading the slots that they keep.
TEST_F(Control, ADaemonStopsReadingTheClaimSlotsThatOthersKeep)
{
    scene.PublishDefaults();
    scene.cluster.AddMany(4);
    ASSERT_TRUE(scene.cluster.WaitReady());
    ASSERT_TRUE(cg::Eventually([&] {
        long long sum = 0;
        for (size_t i = 0; i < 4; i++) {
            sum += Slots(i);
        }
        return sum == 16;
    }));
    // Of 60 reads of the config stream at 4 a second for each of 4 daemons
    // come 16 slots at 2 a second: 120 reads; with every slot open in every
    // daemon 480.
    EXPECT_TRUE(cg::Eventually([&] { return ReadsOfTheLog() < 240; },
                               cg::Millis(60000)));
}

} // namespace
