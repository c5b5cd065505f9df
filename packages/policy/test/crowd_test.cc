#include <gtest/gtest.h>

#include <deque>
#include <iostream>
#include <random>
#include <vector>

#include "base/clock.h"
#include "policy/crowd.h"

namespace {

const int64_t kMs = Ck_USEC_PER_MSEC;
const int64_t kSecond = Ck_USEC_PER_SEC;
const int64_t kNow = 1000 * kSecond;

TEST(Crowd, AHostWhoseTurnsAreLongForAWhileTakesNone)
{
    cr_host host = {};
    Cr_Turn(&host, 50 * kMs, kNow);
    EXPECT_TRUE(Cr_MayTake(&host, 10, 100));
    Cr_Turn(&host, 50 * kMs, kNow + 99 * kMs);
    EXPECT_TRUE(Cr_MayTake(&host, 10, 100));
    Cr_Turn(&host, 30 * kMs, kNow + 100 * kMs);
    EXPECT_FALSE(Cr_MayTake(&host, 10, 100));
    Cr_Turn(&host, 19 * kMs, kNow + 120 * kMs);
    EXPECT_TRUE(Cr_MayTake(&host, 10, 100));
}

// A host that was frozen turns callers away though nothing waits.
TEST(Crowd, OneLongTurnIsNoCrowd)
{
    cr_host host = {};
    Cr_Turn(&host, 5 * kSecond, kNow);
    EXPECT_TRUE(Cr_MayTake(&host, 10, 100));
    Cr_Turn(&host, 1 * kMs, kNow + kSecond);
    EXPECT_TRUE(Cr_MayTake(&host, 10, 100));
}

// Callers take all descriptors, and no endpoint can be connected to.
TEST(Crowd, DescriptorsBoundWhatIsTaken)
{
    cr_host host = {};
    EXPECT_TRUE(Cr_MayTake(&host, 99, 100));
    EXPECT_FALSE(Cr_MayTake(&host, 100, 100));
}

// What a host does with more than it can read.
enum Way {
    kTakeAll,
    kCloseUnread,
    kNotReady, // and the crowd goes to the next host
};

struct Scene {
    size_t hosts;
    double per_sec;        // all new connections, to one host
    int64_t serve_usec;    // of a host's time, for a request
    int64_t close_usec;    // for a connection that is closed unread
    int64_t patience_usec; // of a caller who gets no answer
};

struct Played {
    int read = 0;   // first tries that a host has read
    int served = 0; // of these, in time
    int unread = 0; // closed, or given up unread
};

class Model {
  public:
    Model(const Scene &scene, Way way, unsigned seed)
        : scene_(scene), way_(way), random_(seed), hosts_(scene.hosts)
    {
    }

    Played
    Run()
    {
        std::exponential_distribution<double> gap(scene_.per_sec / 1e6);
        int64_t next = kNow;
        for (now_ = kNow; now_ < kNow + 10 * kSecond; now_ += kMs) {
            for (; next <= now_; next += 1 + (int64_t)gap(random_)) {
                Arrive(hosts_[crowded_]);
            }
            for (Host &host : hosts_) {
                Turn(host);
            }
            if ((now_ - kNow) % kSecond == 0) {
                Probe();
            }
        }
        return played_;
    }

  private:
    static const size_t kAcceptsAtOnce = 64;
    static const size_t kBacklog = 1024;
    static const int64_t kUnreadPatience = 1 * kSecond;

    struct Host {
        cr_host load = {};
        std::deque<int64_t> backlog;
        std::deque<int64_t> taken;
        int64_t busy_until = 0;
        int misses = 0;
    };

    void
    Arrive(Host &host)
    {
        if (host.backlog.size() < kBacklog) {
            host.backlog.push_back(now_);
        }
        else {
            played_.unread++;
        }
    }

    void
    Turn(Host &host)
    {
        if (now_ < host.busy_until ||
            (host.backlog.empty() && host.taken.empty())) {
            return;
        }
        int64_t at = now_;
        for (; !host.taken.empty(); host.taken.pop_front()) {
            int64_t since = host.taken.front();
            if (at - since > kUnreadPatience) {
                played_.unread++;
                at += scene_.close_usec;
                continue;
            }
            at += scene_.serve_usec;
            played_.read++;
            played_.served += at - since <= scene_.patience_usec;
        }
        size_t taken = 0;
        for (; taken < kAcceptsAtOnce && !host.backlog.empty();
             host.backlog.pop_front()) {
            at += scene_.close_usec;
            if (way_ == kCloseUnread && !Cr_MayTake(&host.load, 0, 1000)) {
                played_.unread++;
                continue;
            }
            host.taken.push_back(host.backlog.front());
            taken++;
        }
        Cr_Turn(&host.load, at - now_, at);
        host.busy_until = at;
    }

    // Two questions without an answer take a host out.
    void
    Probe()
    {
        Host &host = hosts_[crowded_];
        bool late = host.load.full;
        host.misses = way_ == kNotReady && late ? host.misses + 1 : 0;
        if (host.misses >= 2) {
            host.misses = 0;
            crowded_ = (crowded_ + 1) % hosts_.size();
        }
    }

    Scene scene_;
    Way way_;
    std::mt19937 random_;
    std::vector<Host> hosts_;
    size_t crowded_ = 0;
    int64_t now_ = kNow;
    Played played_;
};

double
Share(const char *name, const Scene &scene, Way way)
{
    Played sum;
    for (unsigned seed = 1; seed <= 5; seed++) {
        Played played = Model(scene, way, seed).Run();
        sum.read += played.read;
        sum.served += played.served;
        sum.unread += played.unread;
    }
    std::cout << name << " at " << scene.per_sec << " a second: " << sum.served
              << " of " << sum.read << " read served in time, " << sum.unread
              << " unread\n";
    return sum.read == 0 ? 0 : (double)sum.served / sum.read;
}

// A host reads what it can't serve in time, and of that it serves little.
TEST(CrowdModel, WhatIsClosedUnreadLeavesTimeForTheRest)
{
    // A quarter of a processor, and requests with little time.
    Scene scene = {7, 400, 1200, 120, 300 * kMs};
    for (double per_sec : {400.0, 800.0, 1600.0, 3200.0}) {
        scene.per_sec = per_sec;
        Share("takes all", scene, kTakeAll);
        Share("not ready", scene, kNotReady);
        EXPECT_GE(Share("closes unread", scene, kCloseUnread), 0.75);
    }
    scene.per_sec = 1600;
    EXPECT_LT(Share("takes all", scene, kTakeAll), 0.75);
}

} // namespace
