#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "base/random.h"
#include "policy/admit.h"

namespace {

const int64_t kSec = 1000000;

/* Daemons that hear each other with a delay, unless cut off. */
struct Fleet {
    struct Message {
        int64_t at;
        size_t from;
        std::vector<struct am_demand> demands;
    };
    std::vector<struct am_limits *> daemons;
    std::vector<int> side; /* of a cut */
    std::vector<Message> mail;
    int64_t now = 1000 * kSec;
    int64_t delay = 700000;

    Fleet(size_t count, double per_sec, int max_in_flight)
    {
        for (size_t i = 0; i < count; i++) {
            daemons.push_back(Am_Create(name(i).c_str()));
            side.push_back(0);
            Am_SetCustomer(daemons[i], "c", per_sec, max_in_flight);
            for (size_t k = 0; k < count; k++) {
                Am_AddPeer(daemons[i], name(k).c_str());
            }
        }
    }

    ~Fleet()
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
        mail.push_back({now + delay, i, {out, out + n}});
    }

    /* Half a second with the given arrivals per daemon. */
    int
    step(const std::vector<int> &arrivals, bool hold_places = false)
    {
        int admitted = 0;
        for (size_t i = 0; i < daemons.size(); i++) {
            publish(i);
        }
        for (int tick = 0; tick < 50; tick++) {
            now += 10000;
            for (auto &m : mail) {
                for (size_t i = 0; m.at <= now && i < daemons.size(); i++) {
                    if (i != m.from && side[i] == side[m.from]) {
                        Am_Hear(daemons[i], name(m.from).c_str(),
                                m.demands.data(), m.demands.size(), now);
                    }
                }
            }
            mail.erase(std::remove_if(mail.begin(), mail.end(),
                                      [&](Message &m) { return m.at <= now; }),
                       mail.end());
            for (size_t i = 0; i < daemons.size(); i++) {
                int now_due =
                    arrivals[i] * (tick + 1) / 50 - arrivals[i] * tick / 50;
                for (int k = 0; k < now_due; k++) {
                    int64_t retry;
                    bool ok = Am_Admit(daemons[i], "c", now, &retry) == ST_OK;
                    admitted += ok;
                    if (ok && !hold_places) {
                        Am_Done(daemons[i], "c", now);
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
    sum_places()
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
    Fleet f(7, 100, 20);
    std::vector<int> arrivals = {60, 0, 0, 0, 0, 0, 2};
    for (int i = 0; i < 20; i++) {
        f.step(arrivals);
    }
    int admitted = 0;
    for (int i = 0; i < 20; i++) {
        admitted += f.step(arrivals);
        EXPECT_LE(f.sum_rate(), 100.001);
        EXPECT_LE(f.sum_places(), 20);
    }
    struct am_share busy;
    Am_Share(f.daemons[0], "c", f.now, &busy);
    EXPECT_GT(busy.per_sec, 70);
    EXPECT_GT(admitted, 750);
    EXPECT_LE(admitted, 1000 + 7);
}

/*
 * A customer gets twice its limit. The daemons were cut into two sides, and
 * each side shared the whole limit among those it still heard.
 */
TEST(Admit, CutSidesTogetherStayAtTheLimit)
{
    for (int alone = 1; alone <= 7; alone++) {
        Fleet f(7, 70, 20);
        std::vector<int> arrivals(7, 40);
        f.step(arrivals);
        for (int i = 0; i < 7; i++) {
            f.side[(size_t)i] = i < alone ? 0 : 1;
        }
        int admitted = 0;
        for (int i = 0; i < 30; i++) {
            int now_admitted = f.step(arrivals);
            EXPECT_LE(f.sum_rate(), 70.001);
            EXPECT_LE(f.sum_places(), 20);
            admitted += i >= 10 ? now_admitted : 0;
        }
        EXPECT_LE(admitted, 700 + 7);
        EXPECT_GE(admitted, 600);
    }
}

/* As above, each daemon out of reach of all others. */
TEST(Admit, DaemonsThatHearNobodyStayAtTheLimit)
{
    Fleet f(7, 70, 5);
    for (int i = 0; i < 7; i++) {
        f.side[(size_t)i] = i;
    }
    std::vector<int> arrivals(7, 40);
    int held = 0;
    for (int i = 0; i < 20; i++) {
        held += f.step(arrivals, true);
        EXPECT_LE(f.sum_rate(), 70.001);
        EXPECT_EQ(5, f.sum_places());
    }
    EXPECT_EQ(5, held);
}

/*
 * A customer's burst moves from one daemon to another and is admitted twice:
 * the second daemon raised its part before the first one heard of it.
 */
TEST(Admit, ADaemonRaisesOnlyAfterTheOthersGaveWay)
{
    Fleet f(5, 100, 0);
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
 * A customer has seven requests running where six are allowed. On a busy host
 * one daemon's words come seconds late: it has heard that nobody else wants
 * the places, and takes those of the others, which have not heard of it.
 */
TEST(Admit, PlacesAreTakenOnlyWhenTheOthersSayTheyGaveThem)
{
    Fleet f(3, 0, 6);
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
            Am_Done(f.daemons[0], "c", f.now);
        }
        Am_Publish(f.daemons[0], f.now, out, 4);
        for (size_t from = 1; from < 3; from++) {
            size_t n = Am_Publish(f.daemons[from], f.now, out, 4);
            for (size_t to = 0; to < 3; to++) {
                if (to != from) {
                    Am_Hear(f.daemons[to], Fleet::name(from).c_str(), out, n,
                            f.now);
                }
            }
        }
        EXPECT_LE(f.sum_places(), 6) << i;
        f.now += 500000;
    }
}

// Guards against two daemons that take the same free places at once: a
// customer has seven requests running where six are allowed.
TEST(Admit, PlacesThatAreFreeAreTakenOnce)
{
    const int kLimit = 6;
    const int kSteps = 200;
    const uint64_t kSeeds = 40;
    const int64_t delays[] = {50000, 700000, 1300000};
    for (uint64_t seed = 1; seed <= kSeeds; seed++) {
        struct rn_random random;
        Rn_Seed(&random, seed);
        Fleet f(3, 0, kLimit);
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
            most = std::max(most, f.sum_places());
        }
        EXPECT_LE(most, kLimit) << "seed " << seed;
    }
}

// Daemons that start one after the other, each known to the others only some
// time after it knows of them.
struct Starting {
    static constexpr size_t kDaemons = 3;
    static constexpr int64_t kTick = 10000;
    static constexpr int64_t kInterval = 500000;
    struct Word {
        int64_t at;
        size_t to;
        size_t from;
        size_t daemons;
        std::vector<struct am_demand> demands;
    };
    struct am_limits *daemons[kDaemons];
    int64_t starts[kDaemons];
    int64_t knows[kDaemons][kDaemons];
    int64_t publishes[kDaemons];
    std::vector<Word> words;
    struct rn_random random;
    int64_t now = 1000 * kSec;

    explicit Starting(uint64_t seed)
    {
        Rn_Seed(&random, seed);
        for (size_t i = 0; i < kDaemons; i++) {
            daemons[i] = Am_Create(Fleet::name(i).c_str());
            starts[i] = now + (i > 0 ? Draw(1500000) : 0);
            publishes[i] = starts[i] + Draw(kInterval);
        }
        for (size_t i = 0; i < kDaemons; i++) {
            for (size_t k = 0; k < kDaemons; k++) {
                knows[i][k] = std::max(starts[i], starts[k]) + Draw(400000);
            }
        }
    }

    ~Starting()
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
            others |= k != i && starts[k] < starts[i];
        }
        if (others) {
            Am_Join(daemons[i], now);
        }
    }

    void
    Publish(size_t i)
    {
        struct am_demand out[4];
        publishes[i] += kInterval;
        size_t n = Am_Publish(daemons[i], now, out, 4);
        for (size_t to = 0; to < kDaemons; to++) {
            if (to != i && now >= knows[i][to]) {
                words.push_back({now + Draw(100000),
                                 to,
                                 i,
                                 Am_Daemons(daemons[i]),
                                 {out, out + n}});
            }
        }
    }

    void
    Deliver()
    {
        for (const Word &word : words) {
            if (word.at > now || now < starts[word.to]) {
                continue;
            }
            std::string from = Fleet::name(word.from);
            Am_Hear(daemons[word.to], from.c_str(), word.demands.data(),
                    word.demands.size(), now);
            Am_HearCount(daemons[word.to], from.c_str(), word.daemons);
        }
        words.erase(
            std::remove_if(words.begin(), words.end(),
                           [&](const Word &word) { return word.at <= now; }),
            words.end());
    }

    // Every daemon is asked for more than it may give, and nothing ends.
    void
    Tick()
    {
        now += kTick;
        Deliver();
        for (size_t i = 0; i < kDaemons; i++) {
            if (now < starts[i]) {
                continue;
            }
            if (now - kTick < starts[i]) {
                Begin(i);
            }
            for (size_t k = 0; k < kDaemons; k++) {
                if (k != i && now >= knows[i][k]) {
                    Am_AddPeer(daemons[i], Fleet::name(k).c_str());
                }
            }
            if (now >= publishes[i]) {
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

// Guards against a daemon that divides a limit before it knows of one that
// has started: together they run more than the customer is allowed.
TEST(Admit, ADaemonThatJoinsTakesOnlyWhatTheOthersLeave)
{
    for (uint64_t seed = 1; seed <= 200; seed++) {
        Starting start(seed);
        // The first is alone and may hold the whole limit already.
        for (int64_t at = 0; at < 6 * kSec; at += Starting::kTick) {
            start.Tick();
        }
        EXPECT_LE(start.InFlight(), 6) << "seed " << seed;
    }
}

// Guards against daemons that start together and wait for each other's word
// for good.
TEST(Admit, DaemonsThatStartTogetherServeWithinSeconds)
{
    Starting start(1);
    for (size_t i = 0; i < Starting::kDaemons; i++) {
        start.starts[i] = start.now;
        for (size_t k = 0; k < Starting::kDaemons; k++) {
            Am_AddPeer(start.daemons[i], Fleet::name(k).c_str());
        }
        Am_SetCustomer(start.daemons[i], "c", 0, 6);
        Am_Join(start.daemons[i], start.now);
    }
    for (int64_t at = 0; at < 4 * kSec; at += Starting::kTick) {
        start.Tick();
    }
    EXPECT_EQ(6, start.InFlight());
}

/* The same once they have heard of it: it gets what they can spare. */
TEST(Admit, PlacesMoveToWhereTheyAreWanted)
{
    Fleet f(3, 0, 6);
    std::vector<int> arrivals = {10, 0, 0};
    for (int i = 0; i < 20; i++) {
        f.step(arrivals, true);
        EXPECT_LE(f.sum_places(), 6) << i;
    }
    struct am_share share;
    Am_Share(f.daemons[0], "c", f.now, &share);
    EXPECT_GE(share.in_flight, 4);
}

/* Demands that change everywhere all the time: what the docs state. */
TEST(Admit, OvershootUnderRestlessDemandIsBounded)
{
    double worst = 0;
    for (uint64_t seed = 1; seed <= 5; seed++) {
        struct rn_random random;
        Rn_Seed(&random, seed);
        Fleet f(7, 100, 0);
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

TEST(Admit, ADaemonThatLeftGivesItsPartBack)
{
    Fleet f(2, 10, 4);
    Am_DropPeer(f.daemons[0], "daemon1");
    std::vector<int> arrivals = {0, 0};
    f.side[1] = 1;
    for (int i = 0; i < 12; i++) {
        f.step(arrivals);
    }
    struct am_share share;
    ASSERT_EQ(ST_OK, Am_Share(f.daemons[0], "c", f.now, &share));
    EXPECT_NEAR(10, share.per_sec, 0.01);
    EXPECT_EQ(4, share.in_flight);
}

TEST(Admit, RefusalSaysWhenToComeAgain)
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
    Am_Done(limits, "d", now);
    EXPECT_EQ(ST_OK, Am_Admit(limits, "d", now, &retry));
    EXPECT_EQ(1, Am_InFlight(limits, "d"));
    Am_Destroy(limits);
}

} // namespace
