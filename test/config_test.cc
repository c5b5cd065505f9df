// Configuration comes into force on every daemon and never goes back.
#include <gtest/gtest.h>

#include "test/scene.h"

namespace {

using cg::Json;

class Config : public ::testing::Test {
  protected:
    // True when every daemon knows that all of them have read this far.
    bool
    AllKnow(long long offset)
    {
        for (size_t i = 0; i < scene.cluster.Size(); i++) {
            Json status = scene.cluster.Status(i, "ops-key");
            if (status["daemons"].Size() != scene.cluster.Size()) {
                return false;
            }
            for (size_t d = 0; d < status["daemons"].Size(); d++) {
                if (status["daemons"][d]["config_offset"].Int() < offset) {
                    return false;
                }
            }
        }
        return true;
    }

    cg::Scene scene;
};

TEST_F(Config, EveryDaemonLearnsHowFarTheOthersHaveRead)
{
    scene.AddPlain();
    scene.PublishDefaults();
    scene.cluster.AddMany(3);
    ASSERT_TRUE(scene.cluster.WaitReady());
    EXPECT_TRUE(cg::Eventually([&] { return AllKnow(2); }))
        << scene.cluster.Status(0, "ops-key").Dump();
}

} // namespace
