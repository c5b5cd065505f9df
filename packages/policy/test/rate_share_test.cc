/*
 * Simulates hosts that divide the rate limits of endpoints, while hosts
 * restart, freeze or are partitioned, callers move, and limits change.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "base/clock.h"
#include "policy/rate_share.h"

namespace {

constexpr int64_t kSec = Ck_USEC_PER_SEC;
constexpr int64_t kMs = Ck_USEC_PER_MSEC;
constexpr int64_t kTick = 10 * kMs;
constexpr int64_t kAnswerUsec = 50 * kMs;
constexpr int64_t kWindowUsec = 4 * kSec;
constexpr int64_t kLearnUsec = 3 * kSec;
constexpr int64_t kAliveUsec = 1500 * kMs;
// Disruptions begin and end at these times.
constexpr int64_t kFrom = 8 * kSec;
constexpr int64_t kTo = 14 * kSec;

enum class Way {
    kEach,   // every host paces itself at an equal part
    kRanked, // a few hosts, equal parts
    kHolders // a few hosts, by the requests that they get
};

enum class Event { kNone, kKills, kFreeze, kCut, kHalved, kMoved, kJoin };

struct Scene {
    size_t hosts;
    double limit;
    double hot = 0; // fraction of all requests that one host gets
    Event event = Event::kNone;
    int64_t delay = 100 * kMs;
    Way way = Way::kHolders;
    size_t endpoints = 6;
    // Requests for the endpoints: as a multiple of what the limits allow, and
    // at least so many a second at each host.
    double load = 4;
    double host_rate = 5;
};

struct Result {
    double worst = 0;  // most requests in a window / allowed
    double served = 0; // requests / what the limits allow
};

class Model {
  public:
    Model(const Scene &scene, unsigned seed) : scene_(scene), random_(seed)
    {
        hosts_.resize(scene.hosts);
        for (size_t i = 0; i < scene.hosts; i++) {
            hosts_[i].hash = random_();
            hosts_[i].states.resize(scene.endpoints);
        }
        for (size_t i = 0; i < scene.endpoints; i++) {
            endpoints_.push_back(random_());
        }
        arrivals_.resize(scene.endpoints);
        joined_ = scene.event == Event::kJoin ? scene.hosts / 2 : scene.hosts;
    }

    Result
    Run()
    {
        const int64_t end = 22 * kSec;
        for (now_ = kSec; now_ < end; now_ += kTick) {
            Disturb();
            Deliver();
            for (size_t i = 0; i < joined_; i++) {
                if (Runs(i)) {
                    Serve(i);
                }
            }
            history_.push_back({now_, Weights()});
        }
        return Judge(end);
    }

  private:
    struct Host {
        uint64_t hash = 0;
        std::vector<rs_state> states;
        int64_t silent_from = 0; // 0: it runs
        int64_t silent_to = 0;
    };

    struct Report {
        int64_t at;
        size_t host; // that got the answer
        size_t endpoint;
        double limit;
        bool told; // peers have been told
    };

    double
    Limit() const
    {
        return scene_.event == Event::kHalved && now_ >= kFrom
                   ? scene_.limit / 2
                   : scene_.limit;
    }

    bool
    Runs(size_t i) const
    {
        return now_ < hosts_[i].silent_from || now_ >= hosts_[i].silent_to;
    }

    // Whether messages between two hosts arrive.
    bool
    Reaches(size_t a, size_t b) const
    {
        bool cut = scene_.event == Event::kCut && now_ >= kFrom && now_ < kTo;
        return !cut || a % 2 == b % 2;
    }

    size_t
    HotHost() const
    {
        return scene_.event == Event::kMoved && now_ >= kFrom ? 1 : 0;
    }

    // Requests a second that a host gets.
    double
    Rate(size_t i) const
    {
        double all = scene_.load * scene_.limit * (double)scene_.endpoints;
        all = std::max(all, scene_.host_rate * (double)scene_.hosts);
        double even = all * (1 - scene_.hot) / (double)joined_;
        return even + (i == HotHost() ? all * scene_.hot : 0);
    }

    std::vector<double>
    Weights() const
    {
        std::vector<double> weights;
        for (size_t i = 0; i < scene_.hosts; i++) {
            weights.push_back(
                std::exp2(std::round(std::log2(std::max(Rate(i), 0.0625)))));
        }
        return weights;
    }

    void
    Disturb()
    {
        bool disturbed = now_ >= kFrom && now_ < kTo;
        if (scene_.event == Event::kKills && disturbed &&
            (now_ - kFrom) % (2 * kSec) == 0) {
            Host &host = hosts_[random_() % hosts_.size()];
            host.silent_from = now_;
            host.silent_to = now_ + kSec;
            host.states.assign(scene_.endpoints, rs_state{});
        }
        if (scene_.event == Event::kFreeze && now_ == kFrom) {
            hosts_[0].silent_from = now_;
            hosts_[0].silent_to = now_ + 3 * kSec;
        }
        if (now_ == kFrom) {
            joined_ = scene_.hosts;
        }
    }

    // Answers reach the host that asked, and then, by gossip, all others.
    void
    Deliver()
    {
        for (Report &report : reports_) {
            if (report.at <= now_ && !report.told) {
                report.told = true;
                Rs_Note(&hosts_[report.host].states[report.endpoint],
                        report.limit, report.at, true, now_);
            }
        }
        while (!reports_.empty() &&
               reports_.front().at + scene_.delay <= now_) {
            const Report report = reports_.front();
            reports_.pop_front();
            for (size_t i = 0; i < joined_; i++) {
                if (i != report.host && Reaches(i, report.host) && Runs(i)) {
                    Rs_Note(&hosts_[i].states[report.endpoint], report.limit,
                            report.at - scene_.delay, false, now_);
                }
            }
        }
    }

    bool
    IsHeard(size_t by, size_t of) const
    {
        const Host &host = hosts_[of];
        int64_t silent = std::max(kAliveUsec, 5 * scene_.delay);
        bool dead = host.silent_to > now_ && now_ - host.silent_from > silent;
        bool cut = scene_.event == Event::kCut && by % 2 != of % 2 &&
                   now_ >= kFrom + silent && now_ < kTo;
        return of < joined_ && !dead && !cut;
    }

    const std::vector<double> &
    OldWeights()
    {
        while (history_.size() > 1 &&
               history_[1].first <= now_ - scene_.delay) {
            history_.pop_front();
        }
        return history_.empty() ? first_weights_ : history_.front().second;
    }

    rs_share
    Share(size_t self, size_t endpoint)
    {
        rs_state &state = hosts_[self].states[endpoint];
        if (scene_.way == Way::kEach) {
            return {1.0 / (double)scene_.hosts, 1};
        }
        auto list = std::make_unique<rs_hosts>();
        bool weighted = scene_.way == Way::kHolders;
        if (first_weights_.empty()) {
            first_weights_ = Weights();
        }
        const std::vector<double> &old = OldWeights();
        list->list[0] = {hosts_[self].hash, weighted ? Weights()[self] : 1};
        list->count = 1;
        size_t expected = 1;
        for (size_t i = 0; i < joined_; i++) {
            expected += i != self;
            if (i != self && IsHeard(self, i)) {
                list->list[list->count++] = {hosts_[i].hash,
                                             weighted ? old[i] : 1};
            }
        }
        rs_share share =
            Rs_Share(list.get(), endpoints_[endpoint], state.per_sec);
        share.fraction *= Rs_PartitionFactor(list->count, expected);
        return share;
    }

    // A request takes an endpoint whose room is about to be lost, else any
    // that has room.
    void
    Serve(size_t self)
    {
        std::poisson_distribution<int> requests(Rate(self) * kTick / kSec);
        for (int n = requests(random_); n > 0; n--) {
            size_t chosen = scene_.endpoints;
            size_t first = random_() % scene_.endpoints;
            for (size_t k = 0; k < scene_.endpoints; k++) {
                size_t i = (first + k) % scene_.endpoints;
                if (MaySend(self, i) &&
                    (chosen == scene_.endpoints ||
                     Rs_IsUnused(&hosts_[self].states[i], now_))) {
                    chosen = i;
                }
            }
            if (chosen < scene_.endpoints) {
                // A host cannot keep to a limit that it has not heard of.
                if (Rs_IsLimited(&hosts_[self].states[chosen])) {
                    arrivals_[chosen].push_back(now_);
                }
                Rs_Sent(&hosts_[self].states[chosen], now_);
                reports_.push_back(
                    {now_ + kAnswerUsec, self, chosen, Limit(), false});
            }
        }
    }

    bool
    MaySend(size_t self, size_t i)
    {
        rs_state &state = hosts_[self].states[i];
        if (!Rs_IsLimited(&state)) {
            return true;
        }
        if (Rs_ShareIsOld(&state, now_)) {
            rs_share share = Share(self, i);
            Rs_SetShare(&state, &share, scene_.delay, now_);
        }
        return Rs_MaySend(&state, now_);
    }

    double
    Allowed(int64_t at) const
    {
        double limit = scene_.limit;
        if (scene_.event == Event::kHalved && at >= kFrom + kWindowUsec) {
            limit /= 2;
        }
        return 1.5 * limit * (double)kWindowUsec / kSec + 5;
    }

    Result
    Judge(int64_t end) const
    {
        Result result;
        size_t counted = 0;
        int64_t from = kSec + kLearnUsec;
        // The first holders wait for as long as a message takes.
        int64_t served_from = from + scene_.delay;
        for (const std::vector<int64_t> &arrivals : arrivals_) {
            size_t first = 0;
            for (size_t i = 0; i < arrivals.size(); i++) {
                while (arrivals[first] <= arrivals[i] - kWindowUsec ||
                       arrivals[first] < from) {
                    if (first == i) {
                        break;
                    }
                    first++;
                }
                if (arrivals[i] >= from) {
                    result.worst =
                        std::max(result.worst, (double)(i - first + 1) /
                                                   Allowed(arrivals[i]));
                    counted += arrivals[i] >= served_from;
                }
            }
        }
        double due = scene_.limit * (double)scene_.endpoints;
        double sec = (double)(end - served_from) / kSec;
        if (scene_.event == Event::kHalved) {
            sec -= (double)(end - kFrom) / kSec / 2;
        }
        result.served = (double)counted / (due * sec);
        return result;
    }

    Scene scene_;
    std::mt19937_64 random_;
    int64_t now_ = 0;
    size_t joined_ = 0;
    std::vector<Host> hosts_;
    std::vector<uint64_t> endpoints_;
    std::vector<std::vector<int64_t>> arrivals_;
    std::deque<Report> reports_;
    std::deque<std::pair<int64_t, std::vector<double>>> history_;
    std::vector<double> first_weights_;
};

Result
Play(const Scene &scene)
{
    Result sum;
    const unsigned seeds = scene.hosts > 50 ? 1 : 3;
    for (unsigned seed = 1; seed <= seeds; seed++) {
        Result result = Model(scene, seed).Run();
        sum.worst = std::max(sum.worst, result.worst);
        sum.served += result.served / seeds;
    }
    printf("%4zu hosts, limit %5.1f, hot %.1f, event %d, way %d: worst %.2f "
           "of the allowed, served %.2f\n",
           scene.hosts, scene.limit, scene.hot, (int)scene.event,
           (int)scene.way, sum.worst, sum.served);
    return sum;
}

// Guards against more requests than an endpoint takes, or much fewer, while
// nothing is disturbed.
TEST(RateShareModel, TheLimitIsKeptAndUsed)
{
    for (size_t hosts : {7, 20, 83}) {
        for (double limit : {0.3, 2.4, 12.0, 50.0}) {
            for (double hot : {0.0, 0.9}) {
                Scene scene{hosts, limit, hot};
                Result result = Play(scene);
                EXPECT_LE(result.worst, 1);
                EXPECT_GE(result.served, 0.9);
            }
        }
    }
}

// Guards against hundreds of hosts of which each sends a request of its own.
TEST(RateShareModel, HundredsOfHostsKeepTheLimit)
{
    for (size_t hosts : {300, 420}) {
        Scene scene{hosts, 2.4};
        scene.delay = 3 * kSec;
        Result result = Play(scene);
        EXPECT_LE(result.worst, 1);
        EXPECT_GE(result.served, 0.9);
    }
}

// Guards against holders that change while both the former and the new ones
// send.
TEST(RateShareModel, TheLimitIsKeptWhileHostsChange)
{
    for (Event event : {Event::kKills, Event::kFreeze, Event::kCut,
                        Event::kHalved, Event::kMoved, Event::kJoin}) {
        for (size_t hosts : {7, 20, 83}) {
            for (double limit : {0.7, 2.4, 12.0}) {
                Scene scene{hosts, limit, event == Event::kMoved ? 0.9 : 0};
                scene.event = event;
                scene.delay = hosts > 50 ? 500 * kMs : 100 * kMs;
                Result result = Play(scene);
                EXPECT_LE(result.worst, 1);
            }
        }
    }
}

// Guards against a division that leaves the limit unused where one host gets
// most requests, or where there are many hosts.
TEST(RateShareModel, AnUnevenLoadUsesTheLimit)
{
    for (size_t hosts : {7, 83}) {
        for (double hot : {0.0, 0.9}) {
            Scene scene{hosts, 2.4, hot};
            double best_other = 0;
            for (Way way : {Way::kEach, Way::kRanked}) {
                scene.way = way;
                best_other = std::max(best_other, Play(scene).served);
            }
            scene.way = Way::kHolders;
            double served = Play(scene).served;
            EXPECT_GE(served, 0.9);
            EXPECT_GE(served, best_other - 0.05);
        }
    }
}

// Guards against an old report of a peer that replaces a newer answer.
TEST(RateShare, AnOlderReportChangesNothing)
{
    rs_state state = {};
    Rs_Note(&state, 2.4, kSec, true, kSec);
    Rs_Note(&state, -1, kSec - 1, false, kSec);
    EXPECT_TRUE(Rs_IsLimited(&state));
    Rs_Note(&state, -1, kSec + 1, false, kSec);
    EXPECT_FALSE(Rs_IsLimited(&state));
}

// Guards against hosts that never learn that an endpoint's limit has ended,
// since they hold no share of it.
TEST(RateShare, AHostWithoutAShareTriesAnEndpointNowAndThen)
{
    rs_state state = {};
    Rs_Note(&state, 2.4, kSec, false, kSec);
    rs_share share = Rs_TrialShare(&state, 100, 15 * kSec);
    EXPECT_EQ(share.fraction, 0);
    share = Rs_TrialShare(&state, 100, 16 * kSec);
    EXPECT_DOUBLE_EQ(share.fraction, 0.001);
    Rs_SetShare(&state, &share, 0, 16 * kSec);
    EXPECT_FALSE(Rs_MaySend(&state, 16 * kSec));
    EXPECT_TRUE(Rs_MaySend(&state, 16 * kSec + 417 * kSec));
}

// Guards against a host that sends as soon as it becomes a holder, while the
// former holder does not know it yet.
TEST(RateShare, ANewHolderWaitsUntilTheFormerOneHasStopped)
{
    rs_state state = {};
    rs_share none = {0, 1};
    rs_share half = {0.5, 2};
    Rs_Note(&state, 2, kSec, true, kSec);
    Rs_SetShare(&state, &none, kSec, kSec);
    Rs_SetShare(&state, &half, kSec, 2 * kSec);
    EXPECT_FALSE(Rs_MaySend(&state, 4 * kSec - 1));
    EXPECT_TRUE(Rs_MaySend(&state, 4 * kSec));
}

// Guards against two halves of a partitioned network that each use the whole
// limit, and against a share that shrinks with the first host that is lost.
TEST(RateShare, APartitionReducesTheShare)
{
    EXPECT_DOUBLE_EQ(Rs_PartitionFactor(10, 20), 0.625);
    EXPECT_DOUBLE_EQ(Rs_PartitionFactor(6, 7), 1);
}

} // namespace
