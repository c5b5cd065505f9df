// Version moves: a new version that begins its answers in time and then takes
// several times as long for each token.
#include "test/moves_fixture.h"

namespace {

using cg::Millis;
using cg::Moves;

// Guards against a version that gets all requests although each token takes
// four times as long as before.
TEST_F(Moves, AVersionThatIsSlowBetweenTokensIsTakenBack)
{
    for (const char *token_usec : {"4000", "16000"}) {
        bool old = scene.engines.empty();
        for (int i = 0; i < 2; i++) {
            scene.AddEngine({"--token-us", token_usec, "--slots", "32"},
                            old ? "v1" : "v2");
        }
    }
    long long by = (long long)time(nullptr) + 230;
    scene.PublishDefaults(",\"move\":{\"from\":\"v1\",\"to\":\"v2\","
                          "\"first_share\":0.1,\"deadline_sec\":" +
                          std::to_string(by) + "}");
    scene.cluster.AddMany(3);
    ASSERT_TRUE(scene.cluster.WaitReady());
    LoadUntil([&] { return AllSay("taken back") || AllSay("done"); },
              Millis(280000));
    std::cout << Move(0).Dump() << "\n";
    EXPECT_EQ(Move(0)["phase"].Str(), "taken back");
}

} // namespace
