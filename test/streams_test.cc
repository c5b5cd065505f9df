// Streams survive what happens to their engines, byte for byte.
#include <gtest/gtest.h>

#include <thread>

#include "test/scene.h"

namespace {

using cg::Completion;
using cg::HttpResult;

class Streams : public ::testing::Test {
  protected:
    void
    Start(int engines, const std::vector<std::string> &args)
    {
        for (int i = 0; i < engines; i++) {
            scene.AddEngine(args);
        }
        scene.PublishDefaults();
        scene.cluster.AddMany(1);
        ASSERT_TRUE(scene.cluster.WaitReady());
    }

    // The engine that runs a request now, or -1.
    int
    Busy()
    {
        for (size_t i = 0; i < scene.engines.size(); i++) {
            if (scene.engines[i]->process().Running() &&
                scene.engines[i]->Get("/v1/load").json()["running"].Int() >
                    0) {
                return (int)i;
            }
        }
        return -1;
    }

    long long
    Moved(const std::string &how) const
    {
        return scene.Metric(0, "cg_streams_moved_total{how=\"" + how + "\"}");
    }

    static void
    ExpectWhole(const HttpResult &result, const std::string &prompt,
                int tokens)
    {
        Completion answer = cg::ReadCompletion(result);
        EXPECT_EQ(200, result.code) << result.body;
        EXPECT_TRUE(answer.done) << result.body;
        EXPECT_EQ(cg::ExpectedAnswer(prompt, tokens), answer.text);
        for (size_t i = 0; i < answer.indexes.size(); i++) {
            ASSERT_EQ((int)i, answer.indexes[i]);
        }
    }

    cg::Scene scene;
};

TEST_F(Streams, WholeAndStreamedAnswersAreTheEnginesOwn)
{
    Start(2, {"--token-us", "200"});
    for (int i = 0; i < 20; i++) {
        std::string prompt = "question " + std::to_string(i);
        ExpectWhole(cg::Http(scene.Complete(0, prompt, 30, i % 2 == 0)),
                    prompt, 30);
    }
}

/*
 * A parent reads an answer on the phone when the engine's host dies without
 * notice. The stream must go on at another engine from the very next token.
 */
TEST_F(Streams, AnEngineKilledInMidStream)
{
    Start(3, {"--token-us", "5000"});
    for (bool stream : {true, false}) {
        std::string prompt = stream ? "tell me a lot" : "and more";
        auto answer = cg::HttpAsync(scene.Complete(0, prompt, 200, stream));
        int busy = -1;
        ASSERT_TRUE(cg::Eventually([&] { return (busy = Busy()) >= 0; }));
        scene.engines[(size_t)busy]->process().Kill();
        ExpectWhole(answer.get(), prompt, 200);
    }
}

// Guards against an accepted stream that is cut since the only engines left
// refuse connections for a moment.
TEST_F(Streams, WaitsWhileNoEngineCanBeReached)
{
    Start(2, {"--token-us", "5000"});
    auto answer = cg::HttpAsync(scene.Complete(0, "tell me a lot", 200, true));
    int busy = -1;
    ASSERT_TRUE(cg::Eventually([&] { return (busy = Busy()) >= 0; }));
    scene.engines[(size_t)(1 - busy)]->process().Kill();
    scene.engines[(size_t)busy]->process().Kill();
    EXPECT_TRUE(cg::Eventually(
        [&] { return scene.Metric(0, "cg_streams_waiting_total") > 2; }));
    scene.AddEngine({"--token-us", "200"});
    ExpectWhole(answer.get(), "tell me a lot", 200);
}

/*
 * The cloud announces that a host will be taken. Streams on it go on
 * elsewhere before it is gone, and it gets no new work.
 */
TEST_F(Streams, AReclaimNoticeInMidStream)
{
    Start(3, {"--token-us", "10000"});
    auto answer = cg::HttpAsync(scene.Complete(0, "long story", 300, true));
    int busy = -1;
    ASSERT_TRUE(cg::Eventually([&] { return (busy = Busy()) >= 0; }));
    std::string host = "engine-" + std::to_string(busy);
    scene.engines[(size_t)busy]->Leave(1500);
    scene.platform.Notice(host, 1500);
    ExpectWhole(answer.get(), "long story", 300);
    EXPECT_TRUE(cg::Eventually(
        [&] { return !scene.engines[(size_t)busy]->process().Running(); }));
    ExpectWhole(cg::Http(scene.Complete(0, "after", 10, true)), "after", 10);
}

/*
 * An engine's host freezes in mid-stream: no reset comes, only silence. The
 * stream goes on elsewhere, and the engine gets work again once it thaws.
 */
TEST_F(Streams, AnEngineThatFreezesInMidStream)
{
    Start(2, {"--token-us", "5000"});
    auto answer = cg::HttpAsync(scene.Complete(0, "tell me a lot", 200, true));
    int busy = -1;
    ASSERT_TRUE(cg::Eventually([&] { return (busy = Busy()) >= 0; }));
    scene.engines[(size_t)busy]->process().Stop();
    ExpectWhole(answer.get(), "tell me a lot", 200);
    EXPECT_EQ(1, scene.Metric(0, "cg_streams_stalled_total"));
    scene.engines[(size_t)busy]->process().Cont();
    long long before = scene.engines[(size_t)busy]->Totals()["runs"].Int();
    int asked = 0;
    EXPECT_TRUE(cg::Eventually(
        [&] {
            std::string prompt = "again " + std::to_string(asked++);
            ExpectWhole(cg::Http(scene.Complete(0, prompt, 5, false)), prompt,
                        5);
            return scene.engines[(size_t)busy]->Totals()["runs"].Int() >
                   before;
        },
        cg::Millis(60000)));
}

/*
 * A notice leaves more time than the rest of the answer needs: the stream
 * ends where it is, and nothing is computed twice.
 */
TEST_F(Streams, ANoticeWithTimeEnoughLetsTheStreamEnd)
{
    Start(2, {"--token-us", "5000"});
    auto answer = cg::HttpAsync(scene.Complete(0, "short", 100, true));
    int busy = -1;
    ASSERT_TRUE(cg::Eventually([&] { return (busy = Busy()) >= 0; }));
    scene.engines[(size_t)busy]->Leave(20000);
    scene.platform.Notice("engine-" + std::to_string(busy), 20000);
    ExpectWhole(answer.get(), "short", 100);
    EXPECT_EQ(0, Moved("kv") + Moved("resume"));
    EXPECT_EQ(0, scene.Metric(0, "cg_tokens_recomputed_total"));
}

/*
 * A long answer will not end in time, but its cache can be moved. It goes on
 * elsewhere without its tokens being computed again.
 */
TEST_F(Streams, ANoticeForALongStreamMovesItsCache)
{
    Start(2, {"--token-us", "10000", "--first-us", "1000",
              "--prefill-us-per-token", "2000"});
    std::string prompt(2000, 'p');
    auto answer = cg::HttpAsync(scene.Complete(0, prompt, 400, true));
    int busy = -1;
    ASSERT_TRUE(cg::Eventually([&] { return (busy = Busy()) >= 0; }));
    scene.engines[(size_t)busy]->Leave(2500);
    scene.platform.Notice("engine-" + std::to_string(busy), 2500);
    ExpectWhole(answer.get(), prompt, 400);
    EXPECT_EQ(1, Moved("kv"));
    EXPECT_EQ(0, Moved("resume"));
}

/*
 * The notice comes too late for its cache to be moved. The stream is resumed
 * elsewhere from its tokens; what is computed again is counted.
 */
TEST_F(Streams, ANoticeThatComesTooLateResumes)
{
    Start(2, {"--token-us", "5000", "--kv-us-per-token", "100000"});
    auto answer = cg::HttpAsync(scene.Complete(0, "too late", 300, true));
    int busy = -1;
    ASSERT_TRUE(cg::Eventually([&] { return (busy = Busy()) >= 0; }));
    scene.engines[(size_t)busy]->Leave(100);
    scene.platform.Notice("engine-" + std::to_string(busy), 100);
    ExpectWhole(answer.get(), "too late", 300);
    EXPECT_EQ(1, Moved("resume"));
    EXPECT_GT(scene.Metric(0, "cg_tokens_recomputed_total"), 0);
}

/*
 * The engine that should take a cache is reclaimed as well, while the cache
 * is on its way. The caller notices nothing.
 */
TEST_F(Streams, TheTargetOfAMoveIsReclaimedToo)
{
    Start(3, {"--token-us", "10000", "--kv-us-per-token", "2000"});
    std::string prompt(2000, 'q');
    auto answer = cg::HttpAsync(scene.Complete(0, prompt, 300, true));
    int busy = -1;
    ASSERT_TRUE(cg::Eventually([&] { return (busy = Busy()) >= 0; }));
    scene.engines[(size_t)busy]->Leave(2000);
    scene.platform.Notice("engine-" + std::to_string(busy), 2000);
    for (size_t i = 0; i < 3; i++) {
        if ((int)i != busy && (int)i != (busy + 1) % 3) {
            scene.engines[i]->process().Kill();
        }
    }
    int next = (busy + 1) % 3;
    std::this_thread::sleep_for(cg::Millis(600));
    scene.platform.Notice("engine-" + std::to_string(next), 60000);
    ExpectWhole(answer.get(), prompt, 300);
}

/*
 * An engine sends another request's tokens into a stream. They carry another
 * id and must not reach the caller, who still gets the whole answer.
 */
TEST_F(Streams, CrossedTokensAreDropped)
{
    Start(2, {"--token-us", "500"});
    for (auto &engine : scene.engines) {
        engine->Fault("{\"mode\":\"crossed\",\"count\":1}");
    }
    auto other = cg::HttpAsync(scene.Complete(0, "mine", 100, true));
    ExpectWhole(cg::Http(scene.Complete(0, "yours", 60, true)), "yours", 60);
    ExpectWhole(other.get(), "mine", 100);
    EXPECT_GT(scene.Metric(0, "cg_crossed_answers_total"), 0);
}

TEST_F(Streams, ATruncatedStreamIsGoneOnWith)
{
    Start(3, {"--token-us", "500"});
    for (auto &engine : scene.engines) {
        engine->Fault("{\"mode\":\"truncate\",\"tokens\":7,\"count\":1}");
    }
    ExpectWhole(cg::Http(scene.Complete(0, "cut me", 50, true)), "cut me", 50);
}

/*
 * Every engine fails. The caller gets a final answer at once, and a stream
 * that had begun does not end as if it were whole.
 */
TEST_F(Streams, AStreamThatCannotGoOnIsNotCalledWhole)
{
    Start(2, {"--token-us", "5000"});
    auto answer = cg::HttpAsync(scene.Complete(0, "doomed", 400, true));
    ASSERT_TRUE(cg::Eventually([&] { return Busy() >= 0; }));
    for (auto &engine : scene.engines) {
        engine->process().Kill();
    }
    Completion completion = cg::ReadCompletion(answer.get());
    EXPECT_FALSE(completion.done);
    EXPECT_EQ("unknown", completion.error);
}

TEST_F(Streams, WithoutAnyEngineTheRefusalIsTrue)
{
    Start(1, {});
    scene.engines[0]->process().Kill();
    HttpResult result = cg::Http(scene.Complete(0, "nobody", 5, false));
    EXPECT_GE(result.code, 500);
    EXPECT_NE("ran", result.Header("cornelgate-outcome"));
    EXPECT_NE("", result.Header("retry-after"));
}

// Guards against an engine that goes down since it is sent as much while it is
// cold as when it is warm, by daemons that each find it idle.
TEST_F(Streams, ColdEnginesGetWhatTheyBear)
{
    const int kCalls = 80;
    const std::vector<std::string> args = {
        "--token-us", "200", "--slots", "32", "--cold-per-sec", "4"};
    scene.AddEngine(args);
    scene.AddEngine(args);
    scene.PublishDefaults(",\"cold_usec\":3000000,\"cold_per_sec\":4");
    scene.cluster.AddMany(3);
    ASSERT_TRUE(scene.cluster.WaitReady());
    auto many = [&] {
        std::vector<cg::HttpCall> calls;
        for (int i = 0; i < kCalls; i++) {
            calls.push_back(scene.Complete(
                (size_t)i % 3, "warm " + std::to_string(i), 5, false));
        }
        int fine = 0;
        for (const HttpResult &result : cg::HttpAll(calls)) {
            fine += result.code == 200;
        }
        return fine;
    };
    EXPECT_EQ(kCalls, many());
    // It is cold again without a restart, and a report says so.
    scene.engines[0]->Cold(60000);
    auto runs = [&] { return scene.engines[0]->Totals()["runs"].Int(); };
    for (size_t daemon = 0; daemon < 3; daemon++) {
        EXPECT_TRUE(cg::Eventually([&] {
            std::string status =
                scene.cluster.Status(daemon, "ops-key").Dump();
            return status.find("\"cold\"") != std::string::npos;
        })) << daemon;
    }
    long long before = runs();
    for (int round = 0; round < 4; round++) {
        many();
    }
    EXPECT_TRUE(scene.engines[0]->process().Running());
    EXPECT_LT(runs() - before, kCalls);
}

const char kGone[] = ",\"evacuated\":true";

// The platform section, with more fields of the two data centres.
std::string
Centres(const std::string &first, const std::string &second)
{
    return "{\"data_centres\":[{\"name\":\"dc-1\",\"region\":\"region-1\"" +
           first + "},{\"name\":\"dc-2\",\"region\":\"region-1\"" + second +
           "}],\"teams\":[{\"name\":\"ops\",\"role\":\"operator\","
           "\"key_digest\":\"" +
           cg::KeyDigest("ops-key") +
           "\"},{\"name\":\"derwent\",\"role\":\"editor\",\"key_digest\":\"" +
           cg::KeyDigest("derwent-key") + "\"}]}";
}

// Guards against new work in an evacuated data centre, and outside of the
// regions that a service is bound to; the refusal is true.
TEST_F(Streams, EvacuatedDataCentresAndOtherRegionsGetNothing)
{
    scene.AddEngine({"--token-us", "200"}, "v1", "dc-1");
    scene.AddEngine({"--token-us", "200"}, "v1", "dc-2");
    long long platform = scene.Publish("platform", Centres("", ""));
    long long team = scene.Publish("team/derwent", cg::Scene::DefaultTeam(""));
    scene.cluster.AddMany(1);
    ASSERT_TRUE(scene.cluster.WaitReady());
    auto runs_after = [&](size_t engine, int calls) {
        long long before = scene.engines[engine]->Totals()["runs"].Int();
        for (int i = 0; i < calls; i++) {
            cg::Http(scene.Complete(0, "e " + std::to_string(i), 2, false));
        }
        return scene.engines[engine]->Totals()["runs"].Int() - before;
    };
    ASSERT_TRUE(cg::Eventually([&] { return runs_after(0, 4) > 0; }));
    platform = scene.Publish("platform", Centres(kGone, ""), platform);
    ASSERT_TRUE(cg::Eventually([&] { return runs_after(0, 4) == 0; }));
    EXPECT_EQ(0, runs_after(0, 20));
    EXPECT_EQ(10, runs_after(1, 10));
    platform = scene.Publish("platform", Centres(kGone, kGone), platform);
    HttpResult none;
    ASSERT_TRUE(cg::Eventually([&] {
        none = cg::Http(scene.Complete(0, "nowhere", 2, false));
        return none.code == 503;
    }));
    EXPECT_EQ("not-run", none.Header("cornelgate-outcome"));
    EXPECT_NE(std::string::npos, none.body.find("evacuated")) << none.body;
    EXPECT_EQ(0, runs_after(0, 5) + runs_after(1, 5));
    scene.Publish("platform", Centres("", ""), platform);
    ASSERT_TRUE(cg::Eventually([&] { return runs_after(0, 4) > 0; }));
    scene.Publish("team/derwent",
                  cg::Scene::DefaultTeam(",\"regions\":[\"elsewhere\"]"),
                  team);
    ASSERT_TRUE(cg::Eventually([&] {
        return cg::Http(scene.Complete(0, "nowhere", 2, false)).code == 503;
    }));
    EXPECT_EQ(0, runs_after(0, 5) + runs_after(1, 5));
}

} // namespace
