// Prompts with one message that ends the engines that begin to answer it.
#include <gtest/gtest.h>

#include <random>
#include <thread>

#include "test/scene.h"

namespace {

using cg::HttpResult;
using cg::Millis;

const size_t kEngines = 6;
const size_t kDaemons = 3;
const char kPoison[] = "ends engines";
const char kSystem[] = "you answer questions about skating";
const Millis kTick(25); // a sound request in each
const int kPoisonEvery = 20;
const int kTicks = 400;
const int kBefore = 100; // ticks without the message
const Millis kBoot(1500);
// Once five have ended and all daemons may know of it, three more may end.
const size_t kManyEnded = 5;
const Millis kContact(3000);
const int kEndMost = 3;

using Time = std::chrono::steady_clock::time_point;

class Poison : public ::testing::Test {
  protected:
    void
    Start()
    {
        for (size_t i = 0; i < kEngines; i++) {
            AddEngine();
        }
        scene_.PublishDefaults();
        scene_.cluster.AddMany(kDaemons);
        ASSERT_TRUE(scene_.cluster.WaitReady());
        ASSERT_TRUE(cg::Eventually(
            [&] { return Http(Chat(0, "first")).code == 200; }));
    }

    void
    AddEngine()
    {
        scene_.AddEngine(
            {"--token-us", "20000", "--slots", "8", "--poison", kPoison});
        ended_.push_back({});
    }

    // Engines that ended are replaced after a while.
    void
    Replace()
    {
        for (size_t i = 0; i < ended_.size(); i++) {
            Time now = std::chrono::steady_clock::now();
            if (!ended_[i].known && !scene_.engines[i]->process().Running()) {
                ended_[i] = {true, false, now};
                ends_.push_back(now);
            }
            if (ended_[i].known && !ended_[i].replaced &&
                now > ended_[i].at + kBoot) {
                ended_[i].replaced = true;
                scene_.cluster.Unlist("engine-" + std::to_string(i));
                AddEngine();
                return;
            }
        }
    }

    // A chat of two messages that others share, and one of its own.
    cg::HttpCall
    Chat(size_t daemon, const std::string &shared)
    {
        std::string own = "question " + std::to_string(number_++);
        std::string body =
            R"({"model":"rink","max_tokens":6,"stream":true,"messages":[)"
            R"({"role":"system","content":")" +
            std::string(kSystem) + R"("},{"role":"user","content":")" +
            shared + R"("},{"role":"user","content":")" + own + R"("}]})";
        return scene_.Call(daemon, "POST", "/v1/chat/completions", body);
    }

    int
    LateEnds() const
    {
        int late = 0;
        for (Time end : ends_) {
            late += ends_.size() >= kManyEnded &&
                    end > ends_[kManyEnded - 1] + kContact;
        }
        return late;
    }

    cg::Scene scene_;
    std::vector<Time> ends_;

  private:
    struct Ended {
        bool known;
        bool replaced;
        Time at;
    };

    std::vector<Ended> ended_;
    int number_ = 0;
};

// Every daemon sends such prompts on, and each asks several engines.
TEST_F(Poison, AMessageThatEndsEnginesIsStopped)
{
    Start();
    std::mt19937 random{3};
    std::vector<std::future<HttpResult>> sound;
    std::vector<std::future<HttpResult>> bad;
    for (int tick = 0; tick < kTicks; tick++) {
        std::this_thread::sleep_for(kTick);
        std::string shared = "topic " + std::to_string(random() % 4);
        sound.push_back(HttpAsync(Chat(random() % kDaemons, shared)));
        if (tick >= kBefore && tick % kPoisonEvery == 0) {
            bad.push_back(HttpAsync(Chat(random() % kDaemons, kPoison)));
        }
        Replace();
    }
    int served = 0;
    int after = 0;
    for (size_t i = 0; i < sound.size(); i++) {
        bool whole = ReadCompletion(sound[i].get()).done;
        served += whole;
        after += whole && i >= sound.size() / 2;
    }
    int refused = 0;
    for (auto &one : bad) {
        HttpResult result = one.get();
        refused += result.code == 503 &&
                   result.Header("cornelgate-outcome") == "not-run" &&
                   !result.Header("retry-after").empty();
    }
    std::cout << ends_.size() << " engines ended, " << LateEnds()
              << " of them late, " << served << " of " << sound.size()
              << " sound served, " << after << " in the later half, "
              << refused << " of " << bad.size() << " bad refused\n";
    EXPECT_LE(LateEnds(), kEndMost);
    EXPECT_GE(after * 2, static_cast<int>(sound.size()) / 2);
    EXPECT_GT(refused, 0);
}

} // namespace
