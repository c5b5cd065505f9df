#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "base/random.h"
#include "policy/admit.h"

namespace {

const int64_t kSec = 1000000;

/*
 * Daemons whose publications reach each other after a delay, unless a network
 * partition separates them.
 */
struct Cluster {
    struct Message {
        int64_t at;
        size_t from;
        std::vector<struct am_demand> demands;
    };
    std::vector<struct am_limits *> daemons;
    std::vector<int> partition; /* partition that each daemon is in */
    std::vector<Message> in_transit;
    int64_t now = 1000 * kSec;
    int64_t delay = 700000;

    Cluster(size_t count, double per_sec, int max_in_flight)
    {
        for (size_t i = 0; i < count; i++) {
            daemons.push_back(Am_Create(name(i).c_str()));
            partition.push_back(0);
            Am_SetCustomer(daemons[i], "c", per_sec, max_in_flight);
            for (size_t k = 0; k < count; k++) {
                Am_AddPeer(daemons[i], name(k).c_str());
            }
        }
    }

    ~Cluster()
    {
        for (auto *daemon : daemons) {
            Am_Destroy(daemon);
        }
    }

    static std::string
    name(size_t i)
    {
        return "daemon" + std::to_string(i);
    }

    void
    publish(size_t i)
    {
        struct am_demand out[4];
        size_t n = Am_Publish(daemons[i], now, out, 4);
        in_transit.push_back({now + delay, i, {out, out + n}});
    }

    /* Runs half a second with the given number of arrivals per daemon. */
    int
    step(const std::vector<int> &arrivals, bool hold_slots = false)
    {
        int admitted = 0;
        for (size_t i = 0; i < daemons.size(); i++) {
            publish(i);
        }
        for (int tick = 0; tick < 50; tick++) {
            now += 10000;
            for (auto &m : in_transit) {
                for (size_t i = 0; m.at <= now && i < daemons.size(); i++) {
                    if (i != m.from && partition[i] == partition[m.from]) {
                        Am_ReceiveDemands(daemons[i], name(m.from).c_str(),
                                          m.demands.data(), m.demands.size(),
                                          now);
                    }
                }
            }
            in_transit.erase(
                std::remove_if(in_transit.begin(), in_transit.end(),
                               [&](Message &m) { return m.at <= now; }),
                in_transit.end());
            for (size_t i = 0; i < daemons.size(); i++) {
                int due =
                    arrivals[i] * (tick + 1) / 50 - arrivals[i] * tick / 50;
                for (int k = 0; k < due; k++) {
                    int64_t retry;
                    bool ok = Am_Admit(daemons[i], "c", now, &retry) == ST_OK;
                    admitted += ok;
                    if (ok && !hold_slots) {
                        Am_Release(daemons[i], "c", now);
                    }
                }
            }
        }
        return admitted;
    }

    double
    sum_rate()
    {
        double sum = 0;
        struct am_share share;
        for (auto *daemon : daemons) {
            Am_Share(daemon, "c", now, &share);
            sum += share.per_sec;
        }
        return sum;
    }

    int
    sum_slots()
    {
        int sum = 0;
        struct am_share share;
        for (auto *daemon : daemons) {
            Am_Share(daemon, "c", now, &share);
            sum += share.in_flight;
        }
        return sum;
    }
};

TEST(Admit, SharesFollowDemandAndSumToTheLimit)
{
    Cluster f(7, 100, 20);
    std::vector<int> arrivals = {60, 0, 0, 0, 0, 0, 2};
    for (int i = 0; i < 20; i++) {
        f.step(arrivals);
    }
    int admitted = 0;
    for (int i = 0; i < 20; i++) {
        admitted += f.step(arrivals);
        EXPECT_LE(f.sum_rate(), 100.001);
        EXPECT_LE(f.sum_slots(), 20);
    }
    struct am_share busy;
    Am_Share(f.daemons[0], "c", f.now, &busy);
    EXPECT_GT(busy.per_sec, 70);
    EXPECT_GT(admitted, 750);
    EXPECT_LE(admitted, 1000 + 7);
}

/*
 * Guards against a customer that gets twice its limit: in a network partition
 * each side divides the whole limit among the daemons that it still receives
 * demands from.
 */
TEST(Admit, PartitionsTogetherStayAtTheLimit)
{
    for (int alone = 1; alone <= 7; alone++) {
        Cluster f(7, 70, 20);
        std::vector<int> arrivals(7, 40);
        f.step(arrivals);
        for (int i = 0; i < 7; i++) {
            f.partition[(size_t)i] = i < alone ? 0 : 1;
        }
        int admitted = 0;
        for (int i = 0; i < 30; i++) {
            int admitted_now = f.step(arrivals);
            EXPECT_LE(f.sum_rate(), 70.001);
            EXPECT_LE(f.sum_slots(), 20);
            admitted += i >= 10 ? admitted_now : 0;
        }
        EXPECT_LE(admitted, 700 + 7);
        EXPECT_GE(admitted, 600);
    }
}

/* As above, with each daemon isolated from all others. */
TEST(Admit, IsolatedDaemonsStayAtTheLimit)
{
    Cluster f(7, 70, 5);
    for (int i = 0; i < 7; i++) {
        f.partition[(size_t)i] = i;
    }
    std::vector<int> arrivals(7, 40);
    int held = 0;
    for (int i = 0; i < 20; i++) {
        held += f.step(arrivals, true);
        EXPECT_LE(f.sum_rate(), 70.001);
        EXPECT_EQ(5, f.sum_slots());
    }
    EXPECT_EQ(5, held);
}

/*
 * Guards against a burst that moves from one daemon to another and is admitted
 * twice, because the second daemon raised its share before the first one
 * received the new demand.
 */
TEST(Admit, ShareIsRaisedOnlyAfterPeersLoweredTheirs)
{
    Cluster f(5, 100, 0);
    std::vector<int> first = {60, 0, 0, 0, 0};
    std::vector<int> second = {0, 0, 0, 60, 0};
    for (int round = 0; round < 6; round++) {
        for (int i = 0; i < 24; i++) {
            f.step(round % 2 == 0 ? first : second);
            EXPECT_LE(f.sum_rate(), 101);
        }
    }
}

/*
 * Guards against a customer that has seven requests running where six are
 * allowed. On a busy host one daemon's publications arrive seconds late: it
 * has learnt that no peer needs the slots and takes them, while its peers
 * have not received its own demand.
 */
TEST(Admit, SlotsAreTakenOnlyWhenPeersPublishedThemAsFree)
{
    Cluster f(3, 0, 6);
    std::vector<int> none = {0, 0, 0};
    for (int i = 0; i < 8; i++) {
        f.step(none);
    }
    for (int i = 0; i < 7; i++) {
        struct am_demand out[4];
        int64_t retry;
        for (int k = 0; k < 10; k++) {
            Am_Admit(f.daemons[0], "c", f.now, &retry);
        }
        for (int k = 0; k < 10; k++) {
            Am_Release(f.daemons[0], "c", f.now);
        }
        Am_Publish(f.daemons[0], f.now, out, 4);
        for (size_t from = 1; from < 3; from++) {
            size_t n = Am_Publish(f.daemons[from], f.now, out, 4);
            for (size_t to = 0; to < 3; to++) {
                if (to != from) {
                    Am_ReceiveDemands(f.daemons[to],
                                      Cluster::name(from).c_str(), out, n,
                                      f.now);
                }
            }
        }
        EXPECT_LE(f.sum_slots(), 6) << i;
        f.now += 500000;
    }
}

// Guards against two daemons that take the same free slots at once: a customer
// has seven requests running where six are allowed.
TEST(Admit, FreeSlotsAreTakenOnce)
{
    const int kLimit = 6;
    const int kSteps = 200;
    const uint64_t kSeeds = 40;
    const int64_t delays[] = {50000, 700000, 1300000};
    for (uint64_t seed = 1; seed <= kSeeds; seed++) {
        struct rn_random random;
        Rn_Seed(&random, seed);
        Cluster f(3, 0, kLimit);
        std::vector<int> arrivals(3, 0);
        int most = 0;
        for (int i = 0; i < kSteps; i++) {
            for (auto &n : arrivals) {
                if (Rn_Below(&random, 6) == 0) {
                    n = Rn_Below(&random, 2) == 0 ? 10 : 0;
                }
            }
            f.delay = delays[Rn_Below(&random, 3)];
            f.step(arrivals);
            most = std::max(most, f.sum_slots());
        }
        EXPECT_LE(most, kLimit) << "seed " << seed;
    }
}

// Daemons that start one after the other; each one learns of the others at a
// time of its own, after both have started.
struct StartingCluster {
    static constexpr size_t kDaemons = 3;
    static constexpr int64_t kTick = 10000;
    static constexpr int64_t kInterval = 500000;
    struct Message {
        int64_t at;
        size_t to;
        size_t from;
        size_t daemons;
        std::vector<struct am_demand> demands;
    };
    struct am_limits *daemons[kDaemons];
    int64_t started_at[kDaemons];
    int64_t learns_at[kDaemons][kDaemons];
    int64_t publishes_at[kDaemons];
    std::vector<Message> messages;
    struct rn_random random;
    int64_t now = 1000 * kSec;

    explicit StartingCluster(uint64_t seed)
    {
        Rn_Seed(&random, seed);
        for (size_t i = 0; i < kDaemons; i++) {
            daemons[i] = Am_Create(Cluster::name(i).c_str());
            started_at[i] = now + (i > 0 ? Draw(1500000) : 0);
            publishes_at[i] = started_at[i] + Draw(kInterval);
        }
        for (size_t i = 0; i < kDaemons; i++) {
            for (size_t k = 0; k < kDaemons; k++) {
                learns_at[i][k] =
                    std::max(started_at[i], started_at[k]) + Draw(400000);
            }
        }
    }

    ~StartingCluster()
    {
        for (auto *daemon : daemons) {
            Am_Destroy(daemon);
        }
    }

    int64_t
    Draw(int64_t most)
    {
        return Rn_Below(&random, (uint32_t)most);
    }

    void
    Begin(size_t i)
    {
        Am_SetCustomer(daemons[i], "c", 0, 6);
        bool others = false;
        for (size_t k = 0; k < kDaemons; k++) {
            others |= k != i && started_at[k] < started_at[i];
        }
        if (others) {
            Am_Join(daemons[i], now);
        }
    }

    void
    Publish(size_t i)
    {
        struct am_demand out[4];
        publishes_at[i] += kInterval;
        size_t n = Am_Publish(daemons[i], now, out, 4);
        for (size_t to = 0; to < kDaemons; to++) {
            if (to != i && now >= learns_at[i][to]) {
                messages.push_back({now + Draw(100000),
                                    to,
                                    i,
                                    Am_DaemonCount(daemons[i]),
                                    {out, out + n}});
            }
        }
    }

    void
    Deliver()
    {
        for (const Message &message : messages) {
            if (message.at > now || now < started_at[message.to]) {
                continue;
            }
            std::string from = Cluster::name(message.from);
            Am_ReceiveDemands(daemons[message.to], from.c_str(),
                              message.demands.data(), message.demands.size(),
                              now);
            Am_ReceiveDaemonCount(daemons[message.to], from.c_str(),
                                  message.daemons);
        }
        messages.erase(std::remove_if(messages.begin(), messages.end(),
                                      [&](const Message &message) {
                                          return message.at <= now;
                                      }),
                       messages.end());
    }

    // Each daemon gets a request per tick, which is more than it may admit,
    // and no request ends.
    void
    Tick()
    {
        now += kTick;
        Deliver();
        for (size_t i = 0; i < kDaemons; i++) {
            if (now < started_at[i]) {
                continue;
            }
            if (now - kTick < started_at[i]) {
                Begin(i);
            }
            for (size_t k = 0; k < kDaemons; k++) {
                if (k != i && now >= learns_at[i][k]) {
                    Am_AddPeer(daemons[i], Cluster::name(k).c_str());
                }
            }
            if (now >= publishes_at[i]) {
                Publish(i);
            }
            int64_t retry;
            Am_Admit(daemons[i], "c", now, &retry);
        }
    }

    int
    InFlight() const
    {
        int sum = 0;
        for (const auto *daemon : daemons) {
            sum += Am_InFlight(daemon, "c");
        }
        return sum;
    }
};

// Guards against a daemon that divides a limit before it knows of another one
// that has started: together they run more requests than the customer is
// allowed.
TEST(Admit, JoiningDaemonTakesOnlyFreeSlots)
{
    for (uint64_t seed = 1; seed <= 200; seed++) {
        StartingCluster cluster(seed);
        // The first daemon may hold the whole limit before the others start.
        for (int64_t at = 0; at < 6 * kSec; at += StartingCluster::kTick) {
            cluster.Tick();
        }
        EXPECT_LE(cluster.InFlight(), 6) << "seed " << seed;
    }
}

// Guards against daemons that start together and wait forever for each other's
// publications.
TEST(Admit, DaemonsThatStartTogetherServeWithinSeconds)
{
    StartingCluster cluster(1);
    for (size_t i = 0; i < StartingCluster::kDaemons; i++) {
        cluster.started_at[i] = cluster.now;
        for (size_t k = 0; k < StartingCluster::kDaemons; k++) {
            Am_AddPeer(cluster.daemons[i], Cluster::name(k).c_str());
        }
        Am_SetCustomer(cluster.daemons[i], "c", 0, 6);
        Am_Join(cluster.daemons[i], cluster.now);
    }
    for (int64_t at = 0; at < 4 * kSec; at += StartingCluster::kTick) {
        cluster.Tick();
    }
    EXPECT_EQ(6, cluster.InFlight());
}

/*
 * Once its peers have received its demand, a daemon gets the slots that they
 * can spare.
 */
TEST(Admit, SlotsFollowDemand)
{
    Cluster f(3, 0, 6);
    std::vector<int> arrivals = {10, 0, 0};
    for (int i = 0; i < 20; i++) {
        f.step(arrivals, true);
        EXPECT_LE(f.sum_slots(), 6) << i;
    }
    struct am_share share;
    Am_Share(f.daemons[0], "c", f.now, &share);
    EXPECT_GE(share.in_flight, 4);
}

/*
 * Demands change at all daemons all the time. docs/design/limits.md states the
 * bound.
 */
TEST(Admit, OvershootUnderChangingDemandIsBounded)
{
    double worst = 0;
    for (uint64_t seed = 1; seed <= 5; seed++) {
        struct rn_random random;
        Rn_Seed(&random, seed);
        Cluster f(7, 100, 0);
        std::vector<int> arrivals(7, 0);
        for (int i = 0; i < 400; i++) {
            for (auto &n : arrivals) {
                if (Rn_Below(&random, 8) == 0) {
                    n = Rn_Below(&random, 3) == 0 ? 50 : 2;
                }
            }
            f.step(arrivals);
            worst = std::max(worst, f.sum_rate());
        }
    }
    RecordProperty("worst", std::to_string(worst));
    EXPECT_LE(worst, 101);
}

TEST(Admit, ShareOfARemovedDaemonIsDivided)
{
    Cluster f(2, 10, 4);
    Am_DropPeer(f.daemons[0], "daemon1");
    std::vector<int> arrivals = {0, 0};
    f.partition[1] = 1;
    for (int i = 0; i < 12; i++) {
        f.step(arrivals);
    }
    struct am_share share;
    ASSERT_EQ(ST_OK, Am_Share(f.daemons[0], "c", f.now, &share));
    EXPECT_NEAR(10, share.per_sec, 0.01);
    EXPECT_EQ(4, share.in_flight);
}

TEST(Admit, RefusalGivesRetryAfter)
{
    struct am_limits *limits = Am_Create("a");
    int64_t retry;
    int64_t now = kSec;
    EXPECT_EQ(ST_NOT_FOUND, Am_Admit(limits, "c", now, &retry));
    Am_SetCustomer(limits, "c", 0.5, 0);
    EXPECT_EQ(ST_OK, Am_Admit(limits, "c", now, &retry));
    EXPECT_EQ(ST_OVERLOAD, Am_Admit(limits, "c", now, &retry));
    EXPECT_NEAR(2e6, (double)retry, 2e4);
    now += retry;
    EXPECT_EQ(ST_OK, Am_Admit(limits, "c", now, &retry));
    Am_SetCustomer(limits, "d", 0, 1);
    EXPECT_EQ(ST_OK, Am_Admit(limits, "d", now, &retry));
    EXPECT_EQ(ST_OVERLOAD, Am_Admit(limits, "d", now, &retry));
    Am_Release(limits, "d", now);
    EXPECT_EQ(ST_OK, Am_Admit(limits, "d", now, &retry));
    EXPECT_EQ(1, Am_InFlight(limits, "d"));
    Am_Destroy(limits);
}

} // namespace
