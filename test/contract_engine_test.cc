#include <gtest/gtest.h>

#include "test/contract.h"

namespace {

using cg::Completion;
using cg::HttpResult;
using cg::Json;

const std::vector<std::string> kFast = {"--token-us", "200", "--slots", "4"};

class ContractEngine : public ::testing::Test {
  protected:
    Json
    Ask(const std::string &prompt, bool stream)
    {
        return Json()
            .Set("model", "assistant")
            .Set("prompt", prompt)
            .Set("stream", stream);
    }

    HttpResult
    Send(const Json &body, const std::string &id = "")
    {
        cg::Headers headers;
        if (!id.empty()) {
            headers["x-request-id"] = id;
        }
        return cg::Http("POST", engine.address() + "/v1/completions", headers,
                        body.Dump());
    }

    // A run that goes on until it is cancelled.
    std::future<HttpResult>
    SendLong(const std::string &id)
    {
        cg::HttpCall call;
        call.method = "POST";
        call.url = engine.address() + "/v1/completions";
        call.headers["x-request-id"] = id;
        call.body = Ask(id + " tokens=100000", true).Dump();
        auto pending = cg::HttpAsync(call);
        EXPECT_TRUE(cg::Eventually([&] { return Running() >= 1; }));
        return pending;
    }

    long long
    Running()
    {
        Json load = engine.Get("/v1/load").json();
        return load["running"].Int() + load["waiting"].Int();
    }

    void
    Cancel(const std::string &id)
    {
        engine.Post("/v1/cancel", Json().Set("id", id));
    }

    cg::ContractTarget<cg::Engine> engine{"CG_ENGINE_ADDRESS", kFast};
};

TEST_F(ContractEngine, AStreamNumbersItsTokensAndEndsWithUsage)
{
    HttpResult result = Send(Ask("count tokens=20", true), "req-1");
    Completion answer = cg::ReadCompletion(result);
    EXPECT_EQ("req-1", result.Header("x-request-id"));
    EXPECT_TRUE(answer.done);
    ASSERT_EQ(20U, answer.indexes.size());
    for (int i = 0; i < 20; i++) {
        EXPECT_EQ(i, answer.indexes[(size_t)i]);
    }
    for (const std::string &id : answer.ids) {
        EXPECT_EQ("req-1", id);
    }
    EXPECT_EQ(20, answer.usage["completion_tokens"].Int());
    EXPECT_EQ(cg::ExpectedAnswer("count tokens=20"), answer.text);
}

TEST_F(ContractEngine, AWholeAnswerIsTheSameText)
{
    HttpResult result = Send(Ask("whole", false), "req-2");
    EXPECT_EQ("req-2", result.Header("x-request-id"));
    EXPECT_EQ("req-2", result.json()["id"].Str());
    EXPECT_EQ(cg::ExpectedAnswer("whole"), cg::ReadCompletion(result).text);
}

TEST_F(ContractEngine, ChatsAreAnsweredToo)
{
    Json message = Json().Set("role", "user").Set("content", "hello");
    Json body = Json().Set("messages", Json().Add(message));
    HttpResult result = engine.Post("/v1/chat/completions", body);
    EXPECT_EQ(cg::ExpectedAnswer(cg::ChatPrompt("hello")),
              cg::ReadCompletion(result).text);
}

TEST_F(ContractEngine, MaxTokensBoundsTheAnswer)
{
    HttpResult result =
        Send(Ask("bounded tokens=50", true).Set("max_tokens", 5));
    Completion answer = cg::ReadCompletion(result);
    EXPECT_EQ(5U, answer.indexes.size());
    EXPECT_EQ(cg::ExpectedAnswer("bounded tokens=50", 5), answer.text);
}

/*
 * A caller's text has a gap or says something twice.  Its stream moved to
 * another engine after some tokens; that engine has to go on exactly there.
 */
TEST_F(ContractEngine, AResumedStreamGoesOnWhereItStopped)
{
    std::string prompt = "resume tokens=30";
    std::string whole = cg::ExpectedAnswer(prompt);
    std::string head = cg::ExpectedAnswer(prompt, 12);
    Json resume = Json().Set("text", head).Set("tokens", 12);
    HttpResult result = Send(Ask(prompt, true).Set("resume", resume));
    Completion answer = cg::ReadCompletion(result);
    ASSERT_EQ(18U, answer.indexes.size());
    EXPECT_EQ(12, answer.indexes.front());
    EXPECT_EQ(29, answer.indexes.back());
    EXPECT_EQ(whole, head + answer.text);
    EXPECT_GE(answer.usage["recomputed_tokens"].Int(), 12);
}

TEST_F(ContractEngine, AWrongResumeIsRefused)
{
    if (engine.standin() == nullptr) {
        GTEST_SKIP() << "a real engine believes the text";
    }
    Json resume = Json().Set("text", " wrong").Set("tokens", 1);
    EXPECT_EQ(400, Send(Ask("resume", true).Set("resume", resume)).code);
}

/*
 * A reclaim costs the work of a long prompt again.  The cache was exported
 * in time, but the engine that resumes must really use it.
 */
TEST_F(ContractEngine, AMovedCacheSavesRecomputing)
{
    cg::Engine target(kFast);
    auto pending = SendLong("kv-run");
    Json exported;
    EXPECT_TRUE(cg::Eventually([&] {
        exported =
            engine.Post("/v1/kv/export", Json().Set("id", "kv-run")).json();
        return !exported["kv"].Str().empty();
    }));
    std::string handle = exported["kv"].Str();
    HttpResult imported =
        target.Post("/v1/kv/import",
                    Json().Set("kv", handle).Set("from", engine.address()));
    EXPECT_EQ(200, imported.code);
    EXPECT_EQ(exported["tokens"].Int(), imported.json()["tokens"].Int());
    std::string prompt = "kv-run tokens=100000";
    int given = (int)exported["tokens"].Int() - ((int)prompt.size() + 3) / 4;
    Json body =
        Ask(prompt, true)
            .Set("kv", handle)
            .Set("max_tokens", given + 3)
            .Set("resume", Json()
                               .Set("text", cg::ExpectedAnswer(prompt, given))
                               .Set("tokens", given));
    HttpResult resumed = target.Post("/v1/completions", body);
    Completion answer = cg::ReadCompletion(resumed);
    EXPECT_EQ(0, answer.usage["recomputed_tokens"].Int()) << resumed.body;
    EXPECT_EQ(3U, answer.indexes.size());
    Cancel("kv-run");
    pending.get();
}

/*
 * A stream is lost although its cache was being moved.  The exporting engine
 * is reclaimed during the transfer; the import has to fail and say so.
 */
TEST_F(ContractEngine, AnImportFailsWhenItsSourceGoes)
{
    cg::Engine source({"--kv-us-per-token", "100000"});
    cg::Engine target(kFast);
    cg::HttpCall run;
    run.method = "POST";
    run.url = source.Address() + "/v1/completions";
    run.headers["x-request-id"] = "moved";
    run.body = Ask("tokens=100000", true).Dump();
    auto pending = cg::HttpAsync(run);
    Json exported;
    EXPECT_TRUE(cg::Eventually([&] {
        exported =
            source.Post("/v1/kv/export", Json().Set("id", "moved")).json();
        return !exported["kv"].Str().empty();
    }));
    cg::HttpCall import;
    import.method = "POST";
    import.url = target.Address() + "/v1/kv/import";
    import.body =
        Json().Set("kv", exported["kv"]).Set("from", source.Address()).Dump();
    auto importing = cg::HttpAsync(import);
    source.Leave(50);
    EXPECT_EQ(502, importing.get().code);
    EXPECT_FALSE(cg::ReadCompletion(pending.get()).done);
}

TEST_F(ContractEngine, ACancelledRunEnds)
{
    auto pending = SendLong("cancel-me");
    EXPECT_TRUE(cg::Eventually([&] {
        return engine.Post("/v1/cancel", Json().Set("id", "cancel-me"))
            .json()["cancelled"]
            .True();
    }));
    EXPECT_TRUE(cg::Eventually([&] { return Running() == 0; }));
    pending.get();
}

TEST_F(ContractEngine, RepeatedPrefixesAreCached)
{
    std::string prefix(320, 'p');
    Send(Ask(prefix + "one", false).Set("max_tokens", 1));
    HttpResult second = Send(Ask(prefix + "two", false).Set("max_tokens", 1));
    EXPECT_EQ(80, second.json()["usage"]["cached_tokens"].Int());
    Json events = engine.Get("/v1/cache-events?from=1").json();
    EXPECT_GE(events["events"].Size(), 5U);
    EXPECT_EQ("add", events["events"][0]["op"].Str());
    EXPECT_GE(events["next"].Int(), 6);
}

TEST_F(ContractEngine, TheCacheIsBoundedAndItsEventsHaveGaps)
{
    cg::Engine small(
        {"--cache-blocks", "3", "--event-gap", "2", "--token-us", "1"});
    for (const char *letter : {"a", "b"}) {
        std::string prompt(192, letter[0]);
        small.Post("/v1/completions", Ask(prompt, false).Set("max_tokens", 1));
    }
    Json events = small.Get("/v1/cache-events?from=1").json();
    EXPECT_EQ(10, events["next"].Int()); // 6 added, 3 dropped
    EXPECT_EQ(5U, events["events"].Size());
    Json again =
        small
            .Post("/v1/completions",
                  Ask(std::string(192, 'a'), false).Set("max_tokens", 1))
            .json();
    EXPECT_EQ(0, again["usage"]["cached_tokens"].Int());
}

TEST_F(ContractEngine, UrgentRunsPassWaitingOnes)
{
    if (engine.standin() == nullptr) {
        GTEST_SKIP() << "needs the truth about every run";
    }
    cg::Engine single({"--slots", "1", "--token-us", "1000"});
    std::vector<cg::HttpCall> calls(3);
    std::vector<std::future<HttpResult>> pending;
    const int priorities[] = {0, 0, 5};
    for (int i = 0; i < 3; i++) {
        cg::HttpCall call;
        call.method = "POST";
        call.url = single.Address() + "/v1/completions";
        call.headers["x-request-id"] = "p" + std::to_string(i);
        call.body =
            Ask("tokens=300", false).Set("priority", priorities[i]).Dump();
        pending.push_back(cg::HttpAsync(call));
        ASSERT_TRUE(cg::Eventually(
            [&] { return single.Runs().Size() == (size_t)i + 1; }));
    }
    for (auto &one : pending) {
        one.get();
    }
    Json runs = single.Runs();
    EXPECT_LT(runs[2]["finished"].Int(), runs[1]["finished"].Int());
}

TEST_F(ContractEngine, TheLoadReportSaysWhatRuns)
{
    Json load = engine.Get("/v1/load").json();
    EXPECT_EQ("live", load["state"].Str());
    EXPECT_GT(load["slots"].Int(), 0);
    auto pending = SendLong("load-run");
    EXPECT_EQ(1, engine.Get("/v1/load").json()["running"].Int());
    Cancel("load-run");
    pending.get();
}

TEST_F(ContractEngine, TheLoadReportMayLag)
{
    cg::Engine lagging(
        {"--load-lag-ms", "60000", "--token-us", "1", "--version", "7"});
    Json load = lagging.Get("/v1/load").json();
    EXPECT_EQ("7", load["version"].Str());
    lagging.Leave(60000);
    EXPECT_EQ("live", lagging.Get("/v1/load").json()["state"].Str());
}

TEST_F(ContractEngine, LeavingIsReportedAndTheEndIsHard)
{
    if (engine.standin() == nullptr) {
        GTEST_SKIP() << "a real engine is not reclaimed on demand";
    }
    auto pending = SendLong("cut-off");
    engine.standin()->Leave(200);
    Json load = engine.Get("/v1/load").json();
    EXPECT_EQ("leaving", load["state"].Str());
    EXPECT_LE(load["left_ms"].Int(), 200);
    EXPECT_EQ(3, engine.standin()->process().WaitExit());
    EXPECT_FALSE(cg::ReadCompletion(pending.get()).done);
}

/*
 * An endpoint goes back to a version that was taken back.  A former holder
 * of the lease wakes up and sends an order with its old fence.
 */
TEST_F(ContractEngine, OldFencesAreRefusedWhereChecked)
{
    cg::Engine fenced({"--fenced"});
    cg::Engine open(kFast);
    auto order = [](int fence, const char *version) {
        return Json()
            .Set("fence", fence)
            .Set("service", "s")
            .Set("version", version);
    };
    for (cg::Engine *one : {&fenced, &open}) {
        EXPECT_EQ(200, one->Post("/v1/orders", order(5, "2")).code);
        EXPECT_EQ(200, one->Post("/v1/orders", order(5, "2")).code);
    }
    HttpResult refused = fenced.Post("/v1/orders", order(4, "1"));
    EXPECT_EQ(409, refused.code);
    EXPECT_EQ(5, refused.json()["fence"].Int());
    EXPECT_EQ("2", fenced.Get("/v1/load").json()["version"].Str());
    EXPECT_EQ(200, open.Post("/v1/orders", order(4, "1")).code);
    EXPECT_EQ("1", open.Get("/v1/load").json()["version"].Str());
}

struct StreamCase {
    const char *name;
    const char *fault;
    int code;
    bool done;     // the caller got a whole answer
    bool own;      // and it was the answer to its own request
    size_t tokens; // that the caller saw
    const char *outcome;
};

const StreamCase kStreamFaults[] = {
    {"refused", R"({"mode":"refuse"})", 503, false, false, 0, "none"},
    {"reset before", R"({"mode":"reset_before"})", 0, false, false, 0, "none"},
    {"reset after", R"({"mode":"reset_after"})", 0, false, false, 0, "done"},
    {"lost answer", R"({"mode":"lost_answer"})", 0, false, false, 0, "done"},
    {"error", R"({"mode":"error_500"})", 500, false, false, 0, "error"},
    {"cut", R"({"mode":"truncate","tokens":3})", 200, false, false, 3, "cut"},
    {"garbage", R"({"mode":"garbage","tokens":2})", 200, false, false, 2,
     "cut"},
    {"crossed", R"({"mode":"crossed"})", 200, true, false, 10, "done"},
    {"slow", R"({"mode":"slow","factor":3})", 200, true, true, 10, "done"},
    {"late", R"({"mode":"delay","delay_ms":30})", 200, true, true, 10, "done"},
};

/*
 * A caller gets half an answer, none, or someone else's.  The engine breaks
 * in the middle or confuses two requests; the table says what is seen and
 * whether the engine ran the request.
 */
TEST_F(ContractEngine, FaultsOfAStream)
{
    if (engine.standin() == nullptr) {
        GTEST_SKIP() << "only a stand-in can be asked for faults";
    }
    std::string prompt = "fault tokens=10";
    for (const StreamCase &item : kStreamFaults) {
        SCOPED_TRACE(std::string(item.name) + ": " + item.fault);
        cg::Engine fresh(kFast);
        fresh.Fault(item.fault);
        HttpResult result =
            cg::Http("POST", fresh.Address() + "/v1/completions",
                     {{"x-request-id", "mine"}}, Ask(prompt, true).Dump());
        Completion answer = cg::ReadCompletion(result);
        EXPECT_EQ(item.code, result.code);
        EXPECT_EQ(item.done, answer.done);
        EXPECT_EQ(item.tokens, answer.indexes.size());
        bool own = answer.done && result.Header("x-request-id") == "mine" &&
                   answer.text == cg::ExpectedAnswer(prompt);
        EXPECT_EQ(item.own, own);
        Json runs = fresh.Runs();
        std::string outcome =
            runs.Size() > 0 ? runs[0]["outcome"].Str() : "none";
        EXPECT_EQ(item.outcome, outcome);
    }
}

/*
 * A version looks good until the evening.  It fails only while many requests
 * run, or only after a while, or only on one route.
 */
TEST_F(ContractEngine, FaultsMayWaitForLoadTimeOrRoute)
{
    if (engine.standin() == nullptr) {
        GTEST_SKIP() << "only a stand-in can be asked for faults";
    }
    Json ask = Ask("small tokens=2", false);
    engine.standin()->Fault(R"({"mode":"error_500","after":2})");
    EXPECT_EQ(200, Send(ask).code);
    EXPECT_EQ(200, Send(ask).code);
    EXPECT_EQ(500, Send(ask).code);
    engine.standin()->Clear();
    engine.standin()->Fault(
        R"({"mode":"error_500","path":"/v1/chat/completions"})");
    EXPECT_EQ(200, Send(ask).code);
    EXPECT_EQ(500, engine.Post("/v1/chat/completions", ask).code);
    engine.standin()->Clear();
    engine.standin()->Fault(R"({"mode":"error_500","when_running_over":0})");
    EXPECT_EQ(200, Send(ask).code);
    engine.standin()->Clear();
    auto pending = SendLong("busy");
    engine.standin()->Fault(R"({"mode":"error_500","when_running_over":0})");
    EXPECT_EQ(500, Send(ask).code);
    Cancel("busy");
    pending.get();
}

} // namespace
