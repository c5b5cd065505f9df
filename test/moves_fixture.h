// Daemons, engines of two versions and a move between them, under load.
#ifndef TEST_MOVES_FIXTURE_H
#define TEST_MOVES_FIXTURE_H

#include <gtest/gtest.h>

#include <atomic>
#include <ctime>
#include <functional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "test/scene.h"

namespace cg {

class Moves : public ::testing::Test {
  protected:
    void
    Start(int deadline_sec, int new_engines = 2)
    {
        for (int i = 0; i < 2; i++) {
            scene.AddEngine({"--token-us", "500", "--slots", "32"}, "v1");
        }
        for (int i = 0; i < new_engines; i++) {
            scene.AddEngine({"--token-us", "500", "--slots", "32"}, "v2");
        }
        long long by = (long long)time(nullptr) + deadline_sec;
        scene.PublishDefaults(",\"move\":{\"from\":\"v1\",\"to\":\"v2\","
                              "\"first_share\":0.1,\"deadline_sec\":" +
                              std::to_string(by) + "}");
        scene.cluster.AddMany(3);
        ASSERT_TRUE(scene.cluster.WaitReady());
    }

    // Runs callers until the condition holds, at most for the limit.
    bool
    LoadUntil(const std::function<bool()> &condition, Millis limit)
    {
        std::atomic<bool> stop{false};
        std::vector<std::thread> callers;
        for (size_t t = 0; t < 6; t++) {
            callers.emplace_back([&, t] {
                for (int n = 0; n < 100000 && !stop; n++) {
                    std::string prompt =
                        std::to_string(t) + "/" + std::to_string(n);
                    HttpResult result =
                        Http(scene.Complete(t % 3, prompt, 10, n % 2 == 0));
                    Completion answer = ReadCompletion(result);
                    whole += answer.done &&
                                     answer.text == ExpectedAnswer(prompt, 10)
                                 ? 1
                                 : 0;
                    asked++;
                    std::this_thread::sleep_for(Millis(5));
                }
            });
        }
        bool held = Eventually(condition, limit);
        stop = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
        return held;
    }

    // The move as one daemon shows it.
    Json
    Move(size_t daemon)
    {
        return scene.cluster.Status(daemon, "ops-key")["moves"][0];
    }

    bool
    AllSay(const std::string &phase)
    {
        for (size_t i = 0; i < scene.cluster.Size(); i++) {
            if (scene.cluster.process(i).Running() &&
                Move(i)["phase"].Str() != phase) {
                return false;
            }
        }
        return true;
    }

    // An engine as one daemon shows it.
    std::string
    StateOf(size_t daemon, const std::string &id)
    {
        Json services = scene.cluster.Status(daemon, "ops-key")["services"];
        for (size_t i = 0; i < services.Size(); i++) {
            Json endpoints = services[i]["endpoints"];
            for (size_t j = 0; j < endpoints.Size(); j++) {
                if (endpoints[j]["id"].Str() == id) {
                    return endpoints[j]["state"].Str();
                }
            }
        }
        return "";
    }

    bool
    AnyShows(const std::string &id, const std::string &state)
    {
        for (size_t i = 0; i < scene.cluster.Size(); i++) {
            if (StateOf(i, id) == state) {
                return true;
            }
        }
        return false;
    }

    // Why failed attempts were not followed by others, as the daemons say.
    std::string
    RetriesRefused()
    {
        std::string lines;
        for (size_t i = 0; i < scene.cluster.Size(); i++) {
            std::istringstream log(scene.cluster.process(i).Stderr());
            for (std::string line; std::getline(log, line);) {
                if (line.find("GT_RETRY_REFUSED") != std::string::npos) {
                    lines += line + "\n";
                }
            }
        }
        return lines;
    }

    long long
    Runs(size_t first, size_t count)
    {
        long long runs = 0;
        for (size_t i = first; i < first + count; i++) {
            runs += scene.engines[i]->Totals()["runs"].Int();
        }
        return runs;
    }

    // Calls a daemon that starts, while its reads of a stream come late; the
    // runs that this brought the new version.
    long long
    RunsOfAStart(size_t daemon, const std::string &late)
    {
        const int kCalls = 100;
        scene.cluster.process(daemon).Kill();
        long long before = Runs(2, 2);
        scene.platform.Fault(Json()
                                 .Set("target", "read")
                                 .Set("stream", late)
                                 .Set("mode", "delay")
                                 .Set("delay_ms", 400)
                                 .Set("count", -1)
                                 .Dump());
        scene.cluster.Restart(daemon);
        int answered = 0;
        EXPECT_TRUE(Eventually(
            [&] {
                std::string prompt = late + "/" + std::to_string(answered);
                HttpResult result =
                    Http(scene.Complete(daemon, prompt, 10, false));
                answered += ReadCompletion(result).done ? 1 : 0;
                return answered >= kCalls;
            },
            Millis(60000)));
        scene.platform.Clear();
        EXPECT_TRUE(scene.cluster.WaitReady());
        return Runs(2, 2) - before;
    }

    Scene scene;
    std::atomic<long long> whole{0};
    std::atomic<long long> asked{0};
};

} // namespace cg

#endif
