// A request that ends each endpoint of a plain service that begins to run it,
// and that its caller sends again and again to all daemons.
#include <gtest/gtest.h>

#include <iostream>
#include <thread>

#include "test/scene.h"

namespace {

using cg::HttpResult;
using cg::Millis;
using Time = std::chrono::steady_clock::time_point;

const size_t kEndpoints = 6;
const size_t kDaemons = 3;
const char kPoison[] = "ends endpoints";
const Millis kTick(100);
const int kTicks = 100;
const int kSoundPerTick = 3;
const Millis kBoot(1500);
// Once three have ended and all daemons may know of it, no more may end.
const size_t kManyEnded = 3;
const Millis kContact(3000);

Time
Now()
{
    return std::chrono::steady_clock::now();
}

class PoisonRequest : public ::testing::Test {
  protected:
    void
    Start()
    {
        for (size_t i = 0; i < kEndpoints; i++) {
            AddPlain();
        }
        scene_.PublishDefaults();
        scene_.cluster.AddMany(kDaemons);
        ASSERT_TRUE(scene_.cluster.WaitReady());
        ASSERT_TRUE(cg::Eventually([&] {
            return Http(scene_.Call(0, "POST", "/seats/x", "first")).code ==
                   200;
        }));
        // Daemons decide nothing in their first seconds.
        std::this_thread::sleep_for(kContact);
    }

    // Repeats the request beside sound ones; returns how many endpoints ended
    // late.
    int
    Repeat(const std::string &path)
    {
        std::vector<std::future<HttpResult>> sound;
        std::vector<std::future<HttpResult>> bad;
        for (int tick = 0; tick < kTicks; tick++) {
            std::this_thread::sleep_for(kTick);
            for (int i = 0; i < kSoundPerTick; i++) {
                std::string body = "sound " + std::to_string(number_++);
                sound.push_back(HttpAsync(scene_.Call(
                    static_cast<size_t>(i) % kDaemons, "POST", path, body)));
            }
            bad.push_back(HttpAsync(scene_.Call(
                static_cast<size_t>(tick) % kDaemons, "POST", path, kPoison)));
            Replace();
        }
        int stopped = 0;
        for (auto &one : sound) {
            stopped +=
                one.get().body.find("do not repeat it") != std::string::npos;
        }
        int refused = 0;
        for (auto &one : bad) {
            refused += one.get().code == 503;
        }
        int late = 0;
        for (Time end : ends_) {
            late += ends_.size() >= kManyEnded &&
                    end > ends_[kManyEnded - 1] + kContact;
        }
        std::cout << ends_.size() << " endpoints ended, " << late
                  << " of them late, " << refused << " of " << bad.size()
                  << " repeats refused\n";
        EXPECT_EQ(stopped, 0);
        EXPECT_GT(refused, 0);
        return late;
    }

    cg::Scene scene_;

  private:
    void
    AddPlain()
    {
        scene_.AddPlain({"--poison", kPoison, "--work-us", "30000"});
        ended_.push_back({});
    }

    // Endpoints that ended are replaced after a while.
    void
    Replace()
    {
        for (size_t i = 0; i < ended_.size(); i++) {
            if (!ended_[i].known && !scene_.plains[i]->process().Running()) {
                ended_[i] = {true, false, Now()};
                ends_.push_back(Now());
            }
            if (ended_[i].known && !ended_[i].replaced &&
                Now() > ended_[i].at + kBoot) {
                ended_[i].replaced = true;
                scene_.cluster.Unlist("seats-" + std::to_string(i));
                scene_.cluster.Unlist("charge-" + std::to_string(i));
                AddPlain();
                return;
            }
        }
    }

    struct Ended {
        bool known;
        bool replaced;
        Time at;
    };

    std::vector<Ended> ended_;
    std::vector<Time> ends_;
    int number_ = 0;
};

// Guards against a request that is sent on and on although endpoints end under
// it, since nothing remembers it once it was answered.
TEST_F(PoisonRequest, ARepeatedRequestIsStopped)
{
    Start();
    EXPECT_EQ(Repeat("/seats/x"), 0);
}

// The same for one that may run once.
TEST_F(PoisonRequest, ARepeatedRequestThatMayRunOnceIsStopped)
{
    Start();
    EXPECT_EQ(Repeat("/charge/x"), 0);
}

} // namespace
