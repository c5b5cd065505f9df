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

    // Reads of all claim slots while the control stream is read kReads times.
    long long
    ReadsOfSlots()
    {
        long long before = Claims();
        long long begun = Reads("control");
        cg::Eventually([&] { return Reads("control") >= begun + kReads; });
        return Claims() - before;
    }

    long long
    Reads(const std::string &stream)
    {
        return scene.platform.Counts()["streams"][stream]["reads"].Int();
    }

    long long
    Claims()
    {
        long long reads = 0;
        for (int slot = 0; slot < 16; slot++) {
            char name[16];
            snprintf(name, sizeof(name), "claims-%02d", slot);
            reads += Reads(name);
        }
        return reads;
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
    // While 4 daemons read the control stream 60 times at twice a second each,
    // 16 slots at twice a second come to 240 reads; with every slot open in
    // every daemon to 960.
    EXPECT_TRUE(cg::Eventually([&] { return ReadsOfSlots() < 480; },
                               cg::Millis(60000)));
}

} // namespace
