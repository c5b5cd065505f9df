#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "fleet_model.h"
#include "policy/fleet.h"

namespace {

const int64_t kSec = 1000000;

struct ft_offer
offer(const char *centre, double price, bool reclaimable = true)
{
    struct ft_offer out = {};
    snprintf(out.data_centre, sizeof(out.data_centre), "%s", centre);
    snprintf(out.host_class, sizeof(out.host_class), "a");
    out.price = price;
    out.reclaimable = reclaimable;
    out.capacity = 5;
    return out;
}

struct Fleet {
    std::vector<struct ft_offer> offers;
    std::vector<struct ft_host> hosts;
    struct ft_need need = {50, 0.2, 2, 100, true, 1};
    struct ft_refusals *refusals = Ft_RefusalsCreate();
    struct rn_random random;
    int64_t now = 100 * kSec;

    Fleet()
    {
        Rn_Seed(&random, 1);
    }

    ~Fleet()
    {
        Ft_RefusalsDestroy(refusals);
    }

    std::vector<struct ft_step>
    plan()
    {
        struct ft_inputs in = {
            offers.data(), offers.size(), hosts.data(), hosts.size(),
            &need,         refusals,      now};
        std::vector<struct ft_step> steps(64);
        steps.resize(Ft_Spread()->plan(&in, steps.data(), steps.size()));
        return steps;
    }

    /* Applies the plan until it is empty; bought hosts run at once. */
    void
    settle()
    {
        for (int round = 0; round < 200; round++) {
            auto steps = plan();
            if (steps.empty()) {
                return;
            }
            for (auto it = steps.rbegin(); it != steps.rend(); it++) {
                if (it->kind == FT_BUY) {
                    struct ft_host host = {};
                    host.offer = offers[it->index];
                    host.state = FT_RUNNING;
                    hosts.push_back(host);
                }
                else if (it->kind == FT_DRAIN) {
                    hosts[it->index].state = FT_DRAINING;
                }
                else {
                    hosts.erase(hosts.begin() + (long)it->index);
                }
            }
        }
        FAIL() << "the plan does not become empty";
    }

    double
    cost()
    {
        double sum = 0;
        for (const auto &host : hosts) {
            sum += host.offer.price;
        }
        return sum;
    }

    /*
     * Capacity left after the worst data centre has lost its reclaimable
     * hosts.
     */
    double
    after_loss()
    {
        double all = 0;
        double most = 0;
        std::map<std::string, double> lost;
        for (const auto &host : hosts) {
            all += host.offer.capacity;
            if (host.offer.reclaimable) {
                double &sum = lost[host.offer.data_centre];
                sum += host.offer.capacity;
                most = std::max(most, sum);
            }
        }
        return all - most;
    }
};

/*
 * Guards against the loss of a whole service: all hosts had been bought in the
 * cheapest data centre, which was then reclaimed at once.
 */
TEST(Fleet, LosingTheLargestDataCentreStillMeetsTheLoad)
{
    for (double load : {1.0, 7.0, 23.0, 50.0, 111.0}) {
        Fleet f;
        f.need.per_sec = load;
        f.offers = {offer("a", 1), offer("b", 1.2), offer("c", 1.3),
                    offer("d", 1.5), offer("a", 3, false)};
        f.settle();
        EXPECT_GE(f.after_loss(), load);
        for (const auto &host : f.hosts) {
            EXPECT_TRUE(host.offer.reclaimable);
        }
    }
}

TEST(Fleet, CostIsNearTheCheapestThatMeetsTheNeed)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        Fleet f;
        Rn_Seed(&f.random, seed);
        f.need.per_sec = 10 + 30 * Rn_Unit(&f.random);
        for (const char *centre : {"a", "b", "c"}) {
            f.offers.push_back(offer(centre, 1 + Rn_Unit(&f.random)));
        }
        f.settle();
        double best = 1e9;
        for (int a = 0; a <= 16; a++) {
            for (int b = 0; b <= 16; b++) {
                for (int c = 0; c <= 16; c++) {
                    Fleet t;
                    t.need = f.need;
                    const int n[] = {a, b, c};
                    for (int k = 0; k < 3; k++) {
                        struct ft_host host = {};
                        host.offer = f.offers[(size_t)k];
                        host.state = FT_RUNNING;
                        t.hosts.insert(t.hosts.end(), (size_t)n[k], host);
                    }
                    if (t.cost() < best &&
                        Ft_Meets(t.hosts.data(), t.hosts.size(), &t.need)) {
                        best = t.cost();
                    }
                }
            }
        }
        EXPECT_LE(f.cost(), best * 1.2) << seed;
    }
}

/*
 * Guards against a service that lacks capacity for an hour because its
 * cheapest offer is tried, and refused, again and again while other data
 * centres have hosts.
 */
TEST(Fleet, RefusedOffersBackOffAndOthersAreTried)
{
    Fleet f;
    f.offers = {offer("a", 1), offer("b", 1.2), offer("b", 3, false)};
    f.need.survive_dc_loss = false;
    auto steps = f.plan();
    ASSERT_FALSE(steps.empty());
    EXPECT_EQ(0u, steps[0].index);
    Ft_Refused(f.refusals, &f.offers[0], &f.random, f.now);
    EXPECT_EQ(1u, f.plan()[0].index);
    Ft_Refused(f.refusals, &f.offers[1], &f.random, f.now);
    EXPECT_EQ(2u, f.plan()[0].index);
    f.now += 40 * kSec;
    EXPECT_EQ(0u, f.plan()[0].index);
    Ft_Refused(f.refusals, &f.offers[0], &f.random, f.now);
    f.now += 40 * kSec;
    EXPECT_FALSE(Ft_MayTry(f.refusals, &f.offers[0], f.now));
    f.now += 40 * kSec;
    EXPECT_TRUE(Ft_MayTry(f.refusals, &f.offers[0], f.now));
    Ft_Accepted(f.refusals, &f.offers[0]);
    Ft_Refused(f.refusals, &f.offers[0], &f.random, f.now);
    EXPECT_TRUE(Ft_MayTry(f.refusals, &f.offers[0], f.now + 40 * kSec));
}

TEST(Fleet, OnDemandIsLastAndIsReplacedWhenOthersReturn)
{
    Fleet f;
    f.offers = {offer("a", 1), offer("b", 1.1), offer("a", 3, false)};
    f.need.survive_dc_loss = false;
    Ft_Refused(f.refusals, &f.offers[0], &f.random, f.now);
    Ft_Refused(f.refusals, &f.offers[1], &f.random, f.now);
    f.settle();
    EXPECT_TRUE(std::all_of(f.hosts.begin(), f.hosts.end(),
                            [](auto &h) { return !h.offer.reclaimable; }));
    EXPECT_TRUE(Ft_Meets(f.hosts.data(), f.hosts.size(), &f.need));
    f.now += 3600 * kSec;
    f.settle();
    EXPECT_TRUE(std::all_of(f.hosts.begin(), f.hosts.end(),
                            [](auto &h) { return h.offer.reclaimable; }));
    Fleet g;
    g.offers = f.offers;
    g.need.reclaimable_max = 0.5;
    g.settle();
    double on_demand = 0;
    for (const auto &host : g.hosts) {
        on_demand += host.offer.reclaimable ? 0 : host.offer.capacity;
    }
    EXPECT_GE(on_demand, 0.5 * 50 / 0.8 - 1e-6);
}

/*
 * Guards against answers cut off because their host was released as spare
 * while it still wrote them.
 */
TEST(Fleet, ScaleDownCutsOffNoRequests)
{
    Fleet f;
    f.offers = {offer("a", 1), offer("b", 1.2), offer("c", 1.3)};
    f.settle();
    for (auto &host : f.hosts) {
        host.in_flight = 3;
    }
    f.need.per_sec = 10;
    auto steps = f.plan();
    ASSERT_EQ(1u, steps.size());
    EXPECT_EQ(FT_DRAIN, steps[0].kind);
    size_t drained = steps[0].index;
    f.hosts[drained].state = FT_DRAINING;
    for (int i = 0; i < 5; i++) {
        for (const auto &step : f.plan()) {
            EXPECT_NE(FT_RELEASE, step.kind);
        }
    }
    f.hosts[drained].in_flight = 0;
    EXPECT_EQ(FT_RELEASE, f.plan()[0].kind);
    EXPECT_EQ(drained, f.plan()[0].index);
    f.hosts[0].state = FT_STARTING;
    f.hosts[drained].in_flight = 1;
    for (const auto &step : f.plan()) {
        EXPECT_NE(FT_DRAIN, step.kind);
    }
}

/*
 * Guards against two hosts bought for one intent: the cloud's answer was lost,
 * and the buyer, or the daemon that took over from it, called again.
 */
TEST(Fleet, ALostAnswerIsSettledByListingNeverByBuyingAgain)
{
    struct ft_offer o = offer("a", 1);
    struct ft_intent intent;
    int64_t now = 100 * kSec;
    Ft_IntentInit(&intent, "t1", &o, now);
    EXPECT_EQ(FT_RECORD, Ft_IntentNext(&intent, now));
    Ft_IntentCalled(&intent, now);
    /* A call before the record is ignored: the log comes first. */
    EXPECT_EQ(FT_RECORD, Ft_IntentNext(&intent, now));
    Ft_IntentRecorded(&intent, now);
    EXPECT_EQ(FT_CALL, Ft_IntentNext(&intent, now));
    Ft_IntentCalled(&intent, now);
    EXPECT_EQ(FT_WAIT, Ft_IntentNext(&intent, now));
    Ft_IntentAnswered(&intent, 0, nullptr, now);
    for (int i = 0; i < 20; i++) {
        now += 5 * kSec;
        EXPECT_NE(FT_CALL, Ft_IntentNext(&intent, now));
    }
    struct ft_intent late = intent;
    Ft_IntentListed(&late, nullptr, 110 * kSec, now); /* requested too early */
    EXPECT_EQ(FT_UNKNOWN, late.state);
    Ft_IntentListed(&late, "h1", now, now);
    EXPECT_EQ(FT_BOUGHT, late.state);
    EXPECT_EQ(FT_CLOSE, Ft_IntentNext(&late, now));
    EXPECT_FALSE(Ft_IsOrphan("h1", "t1", &late, 1));
    EXPECT_TRUE(Ft_IsOrphan("h2", "t1", &late, 1));
    Ft_IntentListed(&intent, nullptr, now, now);
    EXPECT_EQ(FT_NOT_CREATED, intent.state);
    EXPECT_TRUE(Ft_IsOrphan("h1", "t1", &intent, 1));
    EXPECT_FALSE(Ft_IsOrphan("h9", "other", &intent, 1));

    for (enum ft_intent_state state : {FT_RECORDED, FT_CALLED}) {
        struct ft_intent read;
        Ft_IntentInit(&read, "t2", &o, now);
        read.state = state;
        Ft_IntentRestore(&read, now);
        EXPECT_EQ(FT_WAIT, Ft_IntentNext(&read, now));
        EXPECT_EQ(FT_LIST, Ft_IntentNext(&read, now + 100 * kSec));
        Ft_IntentRecorded(&read, now);
        Ft_IntentCalled(&read, now);
        EXPECT_EQ(FT_UNKNOWN, read.state);
        Ft_IntentAnswered(&read, 409, nullptr, now);
        EXPECT_EQ(FT_REFUSED, read.state);
    }
}

TEST(Fleet, ForecastFollowsTheTrendAndEarlierDays)
{
    struct ft_forecast f = {};
    int64_t now = kSec;
    for (; now < 7200 * kSec; now += 10 * kSec) {
        Ft_Observe(&f, 10 + (double)now / 1e8, now, now);
    }
    EXPECT_GT(Ft_Predict(&f, 300 * kSec, now), 10 + (double)now / 1e8);
    for (; now < 86400 * kSec; now += 10 * kSec) {
        Ft_Observe(&f, now > 50000 * kSec && now < 52000 * kSec ? 99 : 10, now,
                   now);
    }
    EXPECT_LT(Ft_Predict(&f, 300 * kSec, now), 40);
    EXPECT_GT(Ft_Predict(&f, 300 * kSec, (86400 + 49800) * kSec), 60);
}

TEST(Fleet, CheaperThanOnDemandAndSaferThanCheapest)
{
    double cost[3] = {};
    double missed[3] = {};
    const struct ft_ops *ops[] = {Ft_Spread(), Ft_AllOnDemand(),
                                  Ft_CheapestOnly()};
    for (uint64_t seed = 1; seed <= 5; seed++) {
        for (int i = 0; i < 3; i++) {
            struct fleet_result result;
            Fleet_Run(ops[i], seed, 3, &result);
            cost[i] += result.cost;
            missed[i] += result.uncovered;
            EXPECT_EQ(0, result.cut_off);
        }
    }
    EXPECT_LT(cost[0], cost[1]);
    EXPECT_LT(missed[0], missed[2]);
}

} // namespace
