#include <gtest/gtest.h>

#include <deque>
#include <iostream>
#include <random>
#include <vector>

#include "base/clock.h"
#include "policy/overload.h"

namespace {

const int64_t kMs = Ck_USEC_PER_MSEC;
const int64_t kSecond = Ck_USEC_PER_SEC;
const int64_t kNow = 1000 * kSecond;

TEST(Overload, NoConnectionsAfterASlowPeriod)
{
    ov_load load = {};
    Ov_RecordTurn(&load, 50 * kMs, kNow);
    EXPECT_TRUE(Ov_MayAccept(&load));
    Ov_RecordTurn(&load, 50 * kMs, kNow + 99 * kMs);
    EXPECT_TRUE(Ov_MayAccept(&load));
    Ov_RecordTurn(&load, 30 * kMs, kNow + 100 * kMs);
    EXPECT_FALSE(Ov_MayAccept(&load));
    Ov_RecordTurn(&load, 19 * kMs, kNow + 120 * kMs);
    EXPECT_TRUE(Ov_MayAccept(&load));
}

// Guards against a host that was frozen and refuses callers although no
// request waits.
TEST(Overload, OneLongTurnIsNotOverload)
{
    ov_load load = {};
    Ov_RecordTurn(&load, 5 * kSecond, kNow);
    EXPECT_TRUE(Ov_MayAccept(&load));
    Ov_RecordTurn(&load, 1 * kMs, kNow + kSecond);
    EXPECT_TRUE(Ov_MayAccept(&load));
}

// What an overloaded host does with connections it cannot read in time.
enum OverloadPolicy {
    kAcceptAll,
    kCloseUnread,
    kNotReady, // reports itself as not ready; callers go to the next host
};

struct Scene {
    size_t hosts;
    double per_sec;       // new connections a second, all to one host
    int64_t serve_usec;   // host time to serve a request
    int64_t close_usec;   // host time to close a connection unread
    int64_t timeout_usec; // how long a caller waits for its answer
};

struct Result {
    int read = 0;   // requests that a host has read
    int served = 0; // of the read ones, answered in time
    int unread = 0; // closed, or given up by the caller, unread
};

class Model {
  public:
    Model(const Scene &scene, OverloadPolicy policy, unsigned seed)
        : scene_(scene), policy_(policy), random_(seed), hosts_(scene.hosts)
    {
    }

    Result
    Run()
    {
        std::exponential_distribution<double> gap(scene_.per_sec / 1e6);
        int64_t next = kNow;
        for (now_ = kNow; now_ < kNow + 10 * kSecond; now_ += kMs) {
            for (; next <= now_; next += 1 + (int64_t)gap(random_)) {
                Arrive(hosts_[target_]);
            }
            for (Host &host : hosts_) {
                Turn(host);
            }
            if ((now_ - kNow) % kSecond == 0) {
                CheckReadiness();
            }
        }
        return result_;
    }

  private:
    static const size_t kAcceptsAtOnce = 64;
    static const size_t kBacklog = 1024;
    static const int64_t kUnreadTimeout = 1 * kSecond;

    struct Host {
        ov_load load = {};
        std::deque<int64_t> backlog;
        std::deque<int64_t> accepted;
        int64_t busy_until = 0;
        int failed_checks = 0;
    };

    void
    Arrive(Host &host)
    {
        if (host.backlog.size() < kBacklog) {
            host.backlog.push_back(now_);
        }
        else {
            result_.unread++;
        }
    }

    void
    Turn(Host &host)
    {
        if (now_ < host.busy_until ||
            (host.backlog.empty() && host.accepted.empty())) {
            return;
        }
        int64_t at = now_;
        for (; !host.accepted.empty(); host.accepted.pop_front()) {
            int64_t since = host.accepted.front();
            if (at - since > kUnreadTimeout) {
                result_.unread++;
                at += scene_.close_usec;
                continue;
            }
            at += scene_.serve_usec;
            result_.read++;
            result_.served += at - since <= scene_.timeout_usec;
        }
        size_t accepted = 0;
        for (; accepted < kAcceptsAtOnce && !host.backlog.empty();
             host.backlog.pop_front()) {
            at += scene_.close_usec;
            if (policy_ == kCloseUnread && !Ov_MayAccept(&host.load)) {
                result_.unread++;
                continue;
            }
            host.accepted.push_back(host.backlog.front());
            accepted++;
        }
        Ov_RecordTurn(&host.load, at - now_, at);
        host.busy_until = at;
    }

    // Two failed readiness checks in a row take a host out.
    void
    CheckReadiness()
    {
        Host &host = hosts_[target_];
        bool overloaded = host.load.overloaded;
        host.failed_checks =
            policy_ == kNotReady && overloaded ? host.failed_checks + 1 : 0;
        if (host.failed_checks >= 2) {
            host.failed_checks = 0;
            target_ = (target_ + 1) % hosts_.size();
        }
    }

    Scene scene_;
    OverloadPolicy policy_;
    std::mt19937 random_;
    std::vector<Host> hosts_;
    size_t target_ = 0;
    int64_t now_ = kNow;
    Result result_;
};

double
ShareInTime(const char *name, const Scene &scene, OverloadPolicy policy)
{
    Result sum;
    for (unsigned seed = 1; seed <= 5; seed++) {
        Result result = Model(scene, policy, seed).Run();
        sum.read += result.read;
        sum.served += result.served;
        sum.unread += result.unread;
    }
    std::cout << name << " at " << scene.per_sec << " a second: " << sum.served
              << " of " << sum.read << " read served in time, " << sum.unread
              << " unread\n";
    return sum.read == 0 ? 0 : (double)sum.served / sum.read;
}

// Guards against a host that reads more requests than it can serve in time and
// then serves few of them in time.
TEST(OverloadModel, ClosingUnreadServesMoreInTime)
{
    // A quarter of a processor, and requests with short deadlines.
    Scene scene = {7, 400, 1200, 120, 300 * kMs};
    for (double per_sec : {400.0, 800.0, 1600.0, 3200.0}) {
        scene.per_sec = per_sec;
        ShareInTime("takes all", scene, kAcceptAll);
        ShareInTime("not ready", scene, kNotReady);
        EXPECT_GE(ShareInTime("closes unread", scene, kCloseUnread), 0.75);
    }
    scene.per_sec = 1600;
    EXPECT_LT(ShareInTime("takes all", scene, kAcceptAll), 0.75);
}

} // namespace
