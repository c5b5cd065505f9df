#include <gtest/gtest.h>

#include <memory>
#include <stdexcept>
#include <vector>

#include "test/harness.h"

namespace {

using cg::Json;
using cg::Millis;

TEST(Harness, StartsStopsAndEndsAProcess)
{
    cg::Platform platform;
    EXPECT_EQ(200, platform.Get("/hosts/v1").code);
    platform.process().Stop();
    cg::HttpResult stopped =
        cg::Http("GET", platform.Address() + "/hosts/v1", {}, "", Millis(200));
    EXPECT_EQ(0, stopped.code);
    platform.process().Cont();
    EXPECT_EQ(200, platform.Get("/hosts/v1").code);
    EXPECT_GT(platform.process().RssKilobytes(), 0);
    platform.process().Term();
    EXPECT_EQ(0, platform.process().WaitExit());
}

// Guards against callers of a daemon that has ended who meet a process of
// another test in its place.
TEST(Harness, AHeldPortIsGivenToNobodyElse)
{
    const int kTries = 30000; // more than there are ports to be given
    cg::HeldPort held;
    std::vector<std::unique_ptr<cg::HeldPort>> others;
    for (int i = 0; i < 64; i++) {
        others.push_back(std::make_unique<cg::HeldPort>());
    }
    int taken = 0;
    for (int i = 0; i < kTries; i++) {
        cg::HeldPort other;
        taken += other.number() == held.number();
    }
    EXPECT_EQ(0, taken);
    std::string url = "127.0.0.1:" + std::to_string(held.number());
    EXPECT_NE(std::string::npos,
              cg::Http("GET", url).error.find("connect to server"));
}

TEST(Harness, AProgramThatDoesNotStartIsAnError)
{
    cg::ProcessOptions options;
    options.program = cg::Program("standins/standin_platform");
    options.args = {"--no-such-flag"};
    EXPECT_THROW(cg::Process process(options), std::runtime_error);
}

TEST(Harness, EveryCallOfManyGetsItsOwnAnswer)
{
    cg::Engine engine({"--token-us", "100", "--slots", "64"});
    std::vector<cg::HttpCall> calls;
    for (int i = 0; i < 50; i++) {
        cg::HttpCall call;
        call.method = "POST";
        call.url = engine.Address() + "/v1/completions";
        call.body = Json()
                        .Set("prompt", "question " + std::to_string(i))
                        .Set("stream", i % 2 == 0)
                        .Dump();
        calls.push_back(call);
    }
    std::vector<cg::HttpResult> results = cg::HttpAll(calls);
    for (int i = 0; i < 50; i++) {
        cg::Completion answer = cg::ReadCompletion(results[(size_t)i]);
        EXPECT_TRUE(answer.done) << results[(size_t)i].error;
        EXPECT_EQ(cg::ExpectedAnswer("question " + std::to_string(i)),
                  answer.text);
    }
    EXPECT_EQ(50, engine.Totals()["runs"].Int());
}

TEST(Harness, ACallerMayLeaveAStream)
{
    cg::Engine engine({"--token-us", "1000"});
    cg::HttpCall call;
    call.method = "POST";
    call.url = engine.Address() + "/v1/completions";
    call.body =
        Json().Set("prompt", "tokens=100000").Set("stream", true).Dump();
    call.on_data = [](const std::string &) { return false; };
    EXPECT_FALSE(cg::Http(call).complete);
    EXPECT_TRUE(cg::Eventually(
        [&] { return engine.Runs()[0]["outcome"].Str() == "gone"; }));
}

} // namespace
