// Starts a small system for each of the two samples, does to it what its
// operators fear, and prints what was promised beside what was seen.
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "test/harness.h"
#include "test/scene.h"

namespace {

using cg::Completion;
using cg::HttpCall;
using cg::HttpResult;
using cg::Json;
using cg::Millis;

struct Sample {
    std::string file;
    std::string engine_service;
    std::string plain_path;
    std::string plain_service;
    std::vector<std::string> data_centres;
    std::string region;
    std::string prompt;
};

struct Row {
    std::string promised;
    std::string seen;
    bool held;
};

std::string
ReadFile(const std::string &path)
{
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

class Demo {
  public:
    Demo(const Sample &sample, const std::string &examples,
         const std::string &out)
        : sample_(sample), cluster_(platform_),
          questionnaire_(out + "/" + sample.file)
    {
        text_ = ReadFile(examples + "/" + sample.file);
        GiveKeys();
        Write();
    }

    std::vector<Row>
    Run()
    {
        StartEndpoints();
        StartDaemons();
        Publish();
        if (!rows_.back().held) {
            return rows_;
        }
        Stream();
        Reclaim();
        LostAnswer();
        PlannedStop();
        Change();
        BadVersion();
        return rows_;
    }

  private:
    void
    Add(const std::string &promised, bool held, const std::string &seen)
    {
        rows_.push_back({promised, seen, held});
    }

    // The digests of the sample belong to nobody's key: each gets a key.
    void
    GiveKeys()
    {
        const std::string mark = "key_digest = \"";
        size_t at = 0;
        for (int n = 0; (at = text_.find(mark, at)) != std::string::npos;
             n++) {
            at += mark.size();
            std::string key =
                n == 0 ? kOperator : "caller-" + std::to_string(n);
            text_.replace(at, 32, cg::KeyDigest(key));
        }
    }

    void
    Write()
    {
        std::ofstream(questionnaire_) << text_;
    }

    void
    List(const std::string &id, int port, const std::string &service,
         const std::string &version, size_t place)
    {
        cg::EndpointHost host;
        host.id = id;
        host.port = port;
        host.service = service;
        host.version = version;
        host.data_centre =
            sample_.data_centres[place % sample_.data_centres.size()];
        host.region = sample_.region;
        host.reclaimable = true;
        cluster_.List(host);
    }

    void
    StartEndpoints()
    {
        for (size_t i = 0; i < 4; i++) {
            engines_.push_back(std::make_unique<cg::Engine>(
                std::vector<std::string>{"--service", sample_.engine_service,
                                         "--version", "v1", "--token-us",
                                         "8000"}));
            List("engine-" + std::to_string(i), engines_[i]->Port(),
                 sample_.engine_service, "v1", i);
        }
        for (size_t i = 0; i < 2; i++) {
            plains_.push_back(std::make_unique<cg::Plain>());
            List("plain-" + std::to_string(i), plains_[i]->Port(),
                 sample_.plain_service, "v1", i);
        }
    }

    void
    StartDaemons()
    {
        for (size_t i = 0; i < 3; i++) {
            cg::DaemonOptions options;
            options.data_centre =
                sample_.data_centres[i % sample_.data_centres.size()];
            options.region = sample_.region;
            options.args = {"--bootstrap-digest", cg::KeyDigest(kFirstKey)};
            cluster_.Add(options);
        }
    }

    cg::RunResult
    Control(const std::vector<std::string> &words, const std::string &key)
    {
        std::vector<std::string> args = words;
        args.insert(args.end(), {"--admin", cluster_.Admin(0), "--wait", "30",
                                 questionnaire_});
        return cg::Run(cg::Program("apps/cornelctl/cornelctl"), args,
                       {{"CORNELGATE_ADMIN_KEY", key}});
    }

    void
    Publish()
    {
        // The first key opens nothing but the platform section.
        Control({"publish"}, kFirstKey);
        cg::RunResult result = Control({"publish"}, kOperator);
        bool ready = cluster_.WaitReady();
        Add("the questionnaire's configuration is published and in force",
            result.status == 0 && ready, LastLine(result));
    }

    static std::string
    LastLine(const cg::RunResult &result)
    {
        std::string text = result.error.empty() ? result.out : result.error;
        while (!text.empty() && text.back() == '\n') {
            text.pop_back();
        }
        size_t line = text.rfind('\n');
        return line == std::string::npos ? text : text.substr(line + 1);
    }

    HttpCall
    Ask(size_t daemon, const std::string &prompt, int tokens) const
    {
        HttpCall call;
        call.method = "POST";
        call.url = cluster_.Url(daemon) + "/v1/completions";
        call.headers["authorization"] = "Bearer caller-1";
        call.headers["cornelgate-deadline-ms"] = "30000";
        call.body = Json()
                        .Set("model", sample_.engine_service)
                        .Set("prompt", prompt)
                        .Set("max_tokens", tokens)
                        .Set("stream", true)
                        .Dump();
        return call;
    }

    static bool
    IsWhole(const HttpResult &result, const std::string &prompt, int tokens)
    {
        Completion answer = cg::ReadCompletion(result);
        return answer.done &&
               answer.text == cg::ExpectedAnswer(prompt, tokens);
    }

    void
    Stream()
    {
        HttpResult result = cg::Http(Ask(0, sample_.prompt, 40));
        bool whole = IsWhole(result, sample_.prompt, 40);
        Add("a caller gets the whole answer, streamed", whole,
            std::to_string(cg::ReadCompletion(result).indexes.size()) +
                " tokens, every byte as the engine's");
    }

    int
    Busy() const
    {
        for (size_t i = 0; i < engines_.size(); i++) {
            if (engines_[i]->Get("/v1/load").json()["running"].Int() > 0) {
                return (int)i;
            }
        }
        return -1;
    }

    void
    Reclaim()
    {
        std::string prompt = sample_.prompt + " In detail, please.";
        auto answer = cg::HttpAsync(Ask(1, prompt, 250));
        int busy = -1;
        cg::Eventually([&] { return (busy = Busy()) >= 0; });
        if (busy >= 0) {
            engines_[(size_t)busy]->Leave(1500);
            platform_.Notice("engine-" + std::to_string(busy), 1500);
        }
        HttpResult result = answer.get();
        bool gone = busy >= 0 && cg::Eventually([&] {
                        return !engines_[(size_t)busy]->process().Running();
                    });
        Add("an answer survives the reclaim of its engine in mid-stream",
            IsWhole(result, prompt, 250) && gone,
            std::to_string(cg::ReadCompletion(result).indexes.size()) +
                " tokens whole, the engine " +
                (gone ? "is gone" : "still runs"));
        if (busy >= 0) {
            cluster_.Unlist("engine-" + std::to_string(busy));
            engines_.erase(engines_.begin() + busy);
        }
    }

    long long
    Runs(const std::string &key) const
    {
        long long runs = 0;
        for (auto &plain : plains_) {
            runs += plain->RunsOfKey(key);
        }
        return runs;
    }

    HttpResult
    Charge(size_t daemon, const std::string &key) const
    {
        return cg::Http(
            "POST", cluster_.Url(daemon) + sample_.plain_path + "order",
            {{"authorization", "Bearer caller-1"}, {"idempotency-key", key}},
            "{\"item\":1}");
    }

    // Asks again, as a caller does, while the first is still being settled
    // or the customer is over its limit.
    HttpResult
    Settled(size_t daemon, const std::string &key) const
    {
        HttpResult result;
        cg::Eventually([&] {
            result = Charge(daemon, key);
            return result.code != 409 && result.code != 429;
        });
        return result;
    }

    void
    LostAnswer()
    {
        for (auto &plain : plains_) {
            plain->Fault("{\"mode\":\"lost_answer\",\"count\":1}");
        }
        HttpResult first = Settled(0, "order-1");
        HttpResult again = Settled(1, "order-1");
        for (auto &plain : plains_) {
            plain->Clear();
        }
        HttpResult good = Settled(0, "order-2");
        HttpResult repeat = Settled(2, "order-2");
        bool held = first.Header("cornelgate-outcome") == "unknown" &&
                    again.Header("cornelgate-outcome") == "unknown" &&
                    Runs("order-1") == 1 && good.code == 200 &&
                    repeat.body == good.body && Runs("order-2") == 1;
        Add("a charge repeated at another daemon runs once", held,
            "answer lost: " + first.Header("cornelgate-outcome") + ", ran " +
                std::to_string(Runs("order-1")) + "x; answered: ran " +
                std::to_string(Runs("order-2")) + "x, same answer twice");
    }

    void
    PlannedStop()
    {
        std::vector<std::future<HttpResult>> answers;
        std::vector<std::string> prompts;
        for (int i = 0; i < 20; i++) {
            prompts.push_back(sample_.prompt + std::to_string(i));
            HttpCall call = Ask(2, prompts.back(), 120);
            call.headers["authorization"] =
                "Bearer caller-" + std::to_string(1 + i % 5);
            answers.push_back(cg::HttpAsync(call));
        }
        cg::Eventually([&] { return Busy() >= 0; });
        cluster_.process(2).Term();
        int whole = 0;
        int refused = 0;
        for (size_t i = 0; i < answers.size(); i++) {
            HttpResult result = answers[i].get();
            whole += IsWhole(result, prompts[i], 120) ? 1 : 0;
            refused +=
                result.Header("cornelgate-outcome") == "not-run" ? 1 : 0;
        }
        int status = cluster_.process(2).WaitExit(Millis(60000));
        Add("a daemon stopped under load cuts off no request",
            whole > 0 && whole + refused == 20 && status == 0,
            std::to_string(whole) + " whole, " + std::to_string(refused) +
                " refused at once over their limit, " +
                std::to_string(20 - whole - refused) + " cut, exit status " +
                std::to_string(status));
        cluster_.Restart(2);
        cluster_.WaitReady();
    }

    void
    Change()
    {
        size_t at = text_.find("peak_per_s = ");
        text_.replace(at, std::string("peak_per_s = 6.0").size(),
                      "peak_per_s = 9.0");
        Write();
        auto begun = std::chrono::steady_clock::now();
        cg::RunResult result = Control({"publish"}, kOperator);
        auto took = std::chrono::duration_cast<Millis>(
            std::chrono::steady_clock::now() - begun);
        Add("a change of configuration is in force everywhere",
            result.status == 0,
            LastLine(result) + " (" + std::to_string(took.count()) + " ms)");
    }

    // Asks at every daemon, as every caller, until the condition holds; the
    // number of answers that were neither whole nor refused as not run.
    int
    AskUntil(const std::function<bool()> &condition)
    {
        int spoilt = 0;
        for (int n = 0; n < 250 && !condition(); n++) {
            std::this_thread::sleep_for(Millis(200)); // below their limits
            std::vector<HttpCall> calls;
            std::vector<std::string> prompts;
            for (int c = 1; c <= 5; c++) {
                prompts.push_back("move " + std::to_string(n * 5 + c));
                calls.push_back(Ask((size_t)(n + c) % 3, prompts.back(), 5));
                calls.back().headers["authorization"] =
                    "Bearer caller-" + std::to_string(c);
            }
            std::vector<HttpResult> results = cg::HttpAll(calls);
            for (size_t i = 0; i < results.size(); i++) {
                spoilt += IsWhole(results[i], prompts[i], 5) ||
                                  results[i].Header("cornelgate-outcome") ==
                                      "not-run"
                              ? 0
                              : 1;
            }
        }
        return spoilt;
    }

    Json
    Move(size_t daemon) const
    {
        return cluster_.Status(daemon, kOperator)["moves"][0];
    }

    long long
    RunsOfNew() const
    {
        long long runs = 0;
        for (auto &engine : news_) {
            runs += engine->Totals()["runs"].Int();
        }
        return runs;
    }

    void
    BadVersion()
    {
        for (size_t i = 0; i < 2; i++) {
            news_.push_back(
                std::make_unique<cg::Engine>(std::vector<std::string>{
                    "--service", sample_.engine_service, "--version", "v2"}));
            news_.back()->Fault("{\"mode\":\"error_500\",\"count\":-1}");
            List("new-" + std::to_string(i), news_.back()->Port(),
                 sample_.engine_service, "v2", i);
        }
        std::string old = "version = \"v1\";";
        text_.replace(text_.find(old), old.size(),
                      "move = { from = \"v1\"; to = \"v2\"; by = "
                      "\"2030-01-01T00:00:00Z\"; first_percent = 10.0; "
                      "take_back = false; };");
        Write();
        Control({"publish"}, kOperator);
        int spoilt =
            AskUntil([&] { return Move(0)["phase"].Str() == "taken back"; });
        long long bad = RunsOfNew();
        bool same = cg::Eventually([&] {
            return Move(0)["sentence"].Str() == Move(1)["sentence"].Str() &&
                   Move(0)["sentence"].Str() == Move(2)["sentence"].Str();
        });
        int rounds = 0;
        spoilt += AskUntil([&] { return rounds++ == 5; });
        Add("a bad version is taken back, and every daemon says so",
            spoilt == 0 && same && RunsOfNew() == bad &&
                Move(0)["phase"].Str() == "taken back",
            Move(0)["sentence"].Str() + " (it got " + std::to_string(bad) +
                " requests; callers saw " + std::to_string(spoilt) +
                " of its faults)");
    }

    const std::string kFirstKey = "first-key";
    const std::string kOperator = "operator-key";
    Sample sample_;
    std::string text_;
    cg::Platform platform_;
    cg::Cluster cluster_;
    std::string questionnaire_;
    std::vector<std::unique_ptr<cg::Engine>> engines_;
    std::vector<std::unique_ptr<cg::Plain>> plains_;
    std::vector<std::unique_ptr<cg::Engine>> news_;
    std::vector<Row> rows_;
};

int
Show(const Sample &sample, const std::vector<Row> &rows)
{
    int broken = 0;
    std::printf("\n%s\n", sample.file.c_str());
    for (const Row &row : rows) {
        std::printf("  %-6s %s\n         %s\n", row.held ? "held" : "BROKEN",
                    row.promised.c_str(), row.seen.c_str());
        broken += row.held ? 0 : 1;
    }
    return broken;
}

} // namespace

int
main(int argc, char **argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: demo EXAMPLES-DIR OUTPUT-DIR SAMPLE\n");
        return 2;
    }
    const Sample samples[] = {
        {"derwent.cfg",
         "rink-assistant",
         "/box-office/",
         "box-office",
         {"tasmania-1", "tasmania-2", "tasmania-3", "tasmania-4"},
         "tasmania",
         "When can families skate on Saturday?"},
        {"nakashima.cfg",
         "adhesive-advice",
         "/order-desk/",
         "order-desk",
         {"kyushu-1", "kyushu-2", "kyushu-3", "kyushu-4"},
         "kyushu",
         "Which glue holds cedar to steamed oak?"},
    };
    int broken = 0;
    for (const Sample &sample : samples) {
        if (sample.file != argv[3]) {
            continue;
        }
        Demo demo(sample, argv[1], argv[2]);
        broken += Show(sample, demo.Run());
    }
    return broken == 0 ? 0 : 1;
}
