/*
 * Simulates hundreds of hosts and endpoints that have just started, while some
 * hosts, drawn at random, are partitioned or restart.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "policy/warmup.h"

namespace {

constexpr int64_t kSec = 1000000;
constexpr double kPerSec = 16;
// A host counts as known for this long after a message of it was received.
constexpr int64_t kKnownUsec = 60 * kSec;

// Which hosts may send to a cold endpoint.
enum class SendPolicy {
    kAnyHost,     // any host that finds it idle
    kRateDivided, // every host, at an even fraction of the rate
    kNeverCold,   // no host while it is cold
    kSenders,     // the hosts selected by rendezvous hash
};

struct Result {
    int max_per_sec = 0; // requests at one endpoint within one second, at most
    double utilization = 0; // fraction of what all cold endpoints can serve
};

class Simulation {
  public:
    Simulation(SendPolicy policy, size_t hosts, size_t endpoints,
               uint32_t seed)
        : policy_(policy), random_(seed), hosts_(hosts), arrivals_(endpoints)
    {
        for (size_t i = 0; i < hosts; i++) {
            hosts_[i].hash = random_();
            hosts_[i].heard.assign(hosts, 0);
            hosts_[i].warmups.resize(endpoints);
        }
        for (size_t i = 0; i < endpoints; i++) {
            hashes_.push_back((uint32_t)random_());
        }
    }

    // Hosts hear only from hosts on their own side of the partition.
    void
    Partition(double share)
    {
        std::bernoulli_distribution other_side(share);
        for (Host &host : hosts_) {
            host.side = other_side(random_);
        }
    }

    void
    Restart(double share, int64_t now)
    {
        std::bernoulli_distribution hit(share);
        for (Host &host : hosts_) {
            if (hit(random_)) {
                host.started = now;
                host.heard.assign(hosts_.size(), -1);
                host.warmups.assign(hashes_.size(), {});
            }
        }
    }

    Result
    Run(double load, int64_t from, int64_t to)
    {
        std::exponential_distribution<double> gap(load);
        std::uniform_int_distribution<size_t> host(0, hosts_.size() - 1);
        std::uniform_int_distribution<size_t> any(0, hashes_.size() - 1);
        int64_t last_exchange = from;
        ExchangeLiveness(from);
        for (int64_t now = from; now < to;
             now += 1 + (int64_t)(gap(random_) * kSec)) {
            if (now - last_exchange > kSec / 2) {
                ExchangeLiveness(now);
                last_exchange = now;
            }
            Host &at = hosts_[host(random_)];
            size_t first = any(random_);
            for (size_t i = 0; i < hashes_.size(); i++) {
                size_t endpoint = (first + i) % hashes_.size();
                if (MaySend(at, endpoint, now)) {
                    Send(at, endpoint, now);
                    break;
                }
            }
        }
        result_.utilization =
            (double)sent_ /
            ((double)hashes_.size() * kPerSec * (double)(to - from) / kSec);
        return result_;
    }

  private:
    struct Host {
        uint64_t hash = 0;
        bool side = false;
        int64_t started = -kKnownUsec;
        std::vector<int64_t> heard; // -1: never
        std::vector<struct wu_warmup> warmups;
    };

    void
    ExchangeLiveness(int64_t now)
    {
        for (Host &host : hosts_) {
            for (size_t i = 0; i < hosts_.size(); i++) {
                if (hosts_[i].side == host.side) {
                    host.heard[i] = now;
                }
            }
        }
    }

    size_t
    CountKnown(const Host &host, int64_t now) const
    {
        return (size_t)std::count_if(
            host.heard.begin(), host.heard.end(),
            [&](int64_t at) { return at >= 0 && now - at < kKnownUsec; });
    }

    bool
    IsSender(const Host &host, size_t endpoint, size_t max_per_sec,
             int64_t now) const
    {
        size_t higher = 0;
        uint64_t own = Wu_Weight(host.hash, hashes_[endpoint]);
        for (size_t i = 0; i < hosts_.size(); i++) {
            higher += host.heard[i] >= 0 && now - host.heard[i] < kKnownUsec &&
                      Wu_Weight(hosts_[i].hash, hashes_[endpoint]) > own;
        }
        return higher < max_per_sec;
    }

    bool
    MaySend(Host &host, size_t endpoint, int64_t now)
    {
        struct wu_warmup &warmup = host.warmups[endpoint];
        if (policy_ == SendPolicy::kAnyHost) {
            return true;
        }
        if (policy_ == SendPolicy::kNeverCold) {
            return false;
        }
        if (policy_ == SendPolicy::kRateDivided) {
            return now >= warmup.next_send_at;
        }
        if (warmup.selected_at == 0 || now - warmup.selected_at > kSec / 2) {
            size_t known = CountKnown(host, now);
            warmup.selected_at = now;
            struct wu_pacing pacing = Wu_Pacing(kPerSec, known);
            struct wu_completeness completeness = {now - host.started, false,
                                                   known, known};
            warmup.selected = IsSender(
                host, endpoint, Wu_SenderCount(&pacing, &completeness), now);
        }
        return Wu_MaySend(&warmup, now);
    }

    void
    Send(Host &host, size_t endpoint, int64_t now)
    {
        struct wu_pacing pacing = Wu_Pacing(kPerSec, CountKnown(host, now));
        if (policy_ == SendPolicy::kRateDivided) {
            pacing.interval_usec =
                (int64_t)((double)kSec * (double)hosts_.size() / kPerSec);
        }
        Wu_Sent(&host.warmups[endpoint], &pacing, now);
        std::deque<int64_t> &at = arrivals_[endpoint];
        while (!at.empty() && now - at.front() >= kSec) {
            at.pop_front();
        }
        at.push_back(now);
        result_.max_per_sec = std::max(result_.max_per_sec, (int)at.size());
        sent_++;
    }

    SendPolicy policy_;
    std::mt19937 random_;
    std::vector<Host> hosts_;
    std::vector<uint32_t> hashes_;
    std::vector<std::deque<int64_t>> arrivals_;
    Result result_;
    int64_t sent_ = 0;
};

// Simulates twice the load that the cold endpoints can serve, with no warm
// endpoint left.
Result
Simulate(SendPolicy policy, size_t hosts, uint32_t seed, double restarted)
{
    const size_t kEndpoints = 10;
    Simulation simulation(policy, hosts, kEndpoints, seed);
    simulation.Run(1, kSec, 2 * kSec);
    if (seed % 3 != 0) {
        simulation.Partition(seed % 3 == 1 ? 0.1 : 0.5);
    }
    simulation.Restart(restarted, 2 * kSec);
    return simulation.Run(2 * kEndpoints * kPerSec, 2 * kSec, 10 * kSec);
}

// Guards against a cold endpoint that fails because each of many hosts, also
// partitioned ones, finds it idle.
TEST(Warmup, TotalRateOfAllHostsIsBounded)
{
    for (size_t hosts : {1, 2, 7, 15, 16, 17, 69, 300}) {
        for (uint32_t seed = 0; seed < 6; seed++) {
            Result result = Simulate(SendPolicy::kSenders, hosts, seed, 0);
            EXPECT_LE(result.max_per_sec, kPerSec)
                << hosts << " hosts, seed " << seed;
        }
    }
}

// Guards against hosts that start during a network partition, do not know the
// hosts of the other side and use all of what an endpoint can serve.
TEST(Warmup, TotalRateIsBoundedWhenHostsStartPartitioned)
{
    // One and a half times the rate and five requests are allowed.
    const double kAllowed = kPerSec * 1.5 + 5;
    for (size_t hosts : {7, 16, 69}) {
        for (uint32_t seed = 0; seed < 12; seed++) {
            for (double restarted : {0.1, 0.3, 0.7, 1.0}) {
                Result result =
                    Simulate(SendPolicy::kSenders, hosts, seed, restarted);
                EXPECT_LE(result.max_per_sec, kAllowed)
                    << hosts << " hosts, seed " << seed;
            }
        }
    }
}

// Guards against cold endpoints left idle while callers are refused, and
// against a policy that sends them more than they can serve.
TEST(Warmup, SendersUseTheRateAndNoMore)
{
    for (size_t hosts : {7, 69, 300}) {
        Result senders = Simulate(SendPolicy::kSenders, hosts, 0, 0);
        Result rate_divided = Simulate(SendPolicy::kRateDivided, hosts, 0, 0);
        Result any_host = Simulate(SendPolicy::kAnyHost, hosts, 0, 0);
        printf("%zu hosts: senders %d a second, %.2f used; "
               "rate divided %d, %.2f; any host %d, %.2f\n",
               hosts, senders.max_per_sec, senders.utilization,
               rate_divided.max_per_sec, rate_divided.utilization,
               any_host.max_per_sec, any_host.utilization);
        EXPECT_LE(senders.max_per_sec, kPerSec);
        EXPECT_GT(senders.utilization,
                  Simulate(SendPolicy::kNeverCold, hosts, 0, 0).utilization);
        EXPECT_GT(rate_divided.max_per_sec, kPerSec) << hosts;
        EXPECT_GT(any_host.max_per_sec, kPerSec) << hosts;
    }
}

// Guards against an interval so short that three requests fall into one
// second.
TEST(Warmup, SendersTogetherKeepTheRate)
{
    for (double per_sec = 0.1; per_sec < 200; per_sec += 0.7) {
        for (size_t hosts = 1; hosts < 500; hosts += 3) {
            struct wu_pacing pacing = Wu_Pacing(per_sec, hosts);
            int64_t each =
                (kSec + pacing.interval_usec - 1) / pacing.interval_usec;
            EXPECT_LE((double)each * (double)pacing.senders,
                      std::max(per_sec, 1.0))
                << per_sec << " " << hosts;
            EXPECT_GE(pacing.senders, 1u);
        }
    }
}

// Guards against invalid rates and times that would allow requests without an
// interval or keep an endpoint cold for ever.
TEST(Warmup, InvalidInputIsBounded)
{
    for (double per_sec : {0.0, -1.0, -1e300, 1e-300, 0.0 / 0.0}) {
        struct wu_pacing pacing = Wu_Pacing(per_sec, 0);
        EXPECT_EQ(pacing.senders, 1u);
        EXPECT_GT(pacing.interval_usec, kSec);
    }
    struct wu_warmup warmup = {};
    Wu_SetColdLeft(&warmup, INT64_MAX, kSec);
    EXPECT_TRUE(Wu_IsCold(&warmup, kSec + 1));
    EXPECT_FALSE(Wu_IsCold(&warmup, 3600 * kSec));
    Wu_SetColdLeft(&warmup, -5, kSec);
    EXPECT_FALSE(Wu_IsCold(&warmup, kSec));
    Wu_SuspectRestart(&warmup, INT64_MAX, kSec);
    EXPECT_FALSE(Wu_MayBeCold(&warmup, 3600 * kSec));
}

} // namespace
