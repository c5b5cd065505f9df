#include <gtest/gtest.h>

#include "edge/budget.h"
#include "edge/quota.h"

#include "../../state/test/fake_clock.h"
#include "tenants.h"

namespace {

constexpr double kRate = 1000;
constexpr double kBurst = 1000;

double
TakeAll(struct qt_quota *quota, double step)
{
    double taken = 0;
    int64_t wait;
    while (Qt_Take(quota, "acme", step, &wait)) {
        taken += step;
    }
    return taken;
}

struct Seen {
    uint64_t total = 0;
};

void
Note(void *arg, uint32_t tenant, uint64_t total, uint64_t)
{
    (void)tenant;
    static_cast<Seen *>(arg)->total = total;
}

// A tenant gets its quota once for each host: what the other hosts have
// admitted must leave the bucket here as well.
TEST(Quota, WhatOthersAdmitIsNotAdmittedAgain)
{
    FakeClock clock;
    Tenants tenants(kRate, kBurst);
    struct qt_quota *here = Qt_Create(&clock.clock, true);
    struct qt_quota *there = Qt_Create(&clock.clock, true);
    Qt_Configure(here, tenants.config);
    Qt_Configure(there, tenants.config);
    EXPECT_DOUBLE_EQ(TakeAll(here, 100), kBurst);
    Seen seen;
    Qt_Each(here, Note, &seen);
    EXPECT_EQ(seen.total, 1000u);
    Qt_Spent(there, Qt_Hash("acme"), static_cast<double>(seen.total), false);
    EXPECT_DOUBLE_EQ(TakeAll(there, 100), 0);
    clock.Advance(Ck_USEC_PER_SEC);
    EXPECT_DOUBLE_EQ(TakeAll(there, 100), kRate);
    Qt_Destroy(here);
    Qt_Destroy(there);
}

// A tenant sends many times its usual, and what the other hosts admit is
// heard half a second late: in that time it gets its quota twice.
TEST(Quota, OthersAreTakenToGoOn)
{
    FakeClock clock;
    Tenants tenants(kRate, kBurst);
    struct qt_quota *quota = Qt_Create(&clock.clock, true);
    Qt_Configure(quota, tenants.config);
    for (int i = 0; i < 20; i++) {
        Qt_Spent(quota, Qt_Hash("acme"), kRate / 10, false);
        clock.Advance(100 * Ck_USEC_PER_MSEC);
    }
    TakeAll(quota, 10);
    clock.Advance(500 * Ck_USEC_PER_MSEC);
    EXPECT_LT(TakeAll(quota, 10), kRate * 0.25);
    Qt_Destroy(quota);
}

// All hosts are killed and start again: each with a full bucket would admit
// the burst anew, on top of what ran just before.
TEST(Quota, ARestartDoesNotGrantTheBurstAgain)
{
    FakeClock clock;
    Tenants tenants(kRate, kBurst);
    struct qt_quota *quota = Qt_Create(&clock.clock, false);
    Qt_Configure(quota, tenants.config);
    EXPECT_LT(TakeAll(quota, 50), kBurst / 2);
    Qt_Destroy(quota);
}

// Hosts that are cut off from each other admit the whole rate on each side.
TEST(Quota, AHostThatHearsFewKeepsToItsShare)
{
    FakeClock clock;
    Tenants tenants(kRate, kBurst);
    struct qt_quota *quota = Qt_Create(&clock.clock, true);
    Qt_Configure(quota, tenants.config);
    TakeAll(quota, 10);
    Qt_SetShare(quota, 0.25);
    clock.Advance(Ck_USEC_PER_SEC);
    EXPECT_NEAR(TakeAll(quota, 10), kRate / 4, 20);
    Qt_Destroy(quota);
}

// A third of the hosts is cut off from the others, callers go on reaching both
// sides, and a tenant at its limit gets more than a whole rate: the larger
// side believed the smaller one dead.
TEST(Quota, TwoSidesOfACutHandOutOneRate)
{
    FakeClock clock;
    Tenants tenants(kRate, kBurst);
    struct qt_quota *large = Qt_Create(&clock.clock, true);
    struct qt_quota *small = Qt_Create(&clock.clock, true);
    Qt_Configure(large, tenants.config);
    Qt_Configure(small, tenants.config);
    Qt_SetShare(large, 0.65);
    Qt_SetShare(small, 0.35);
    double taken = TakeAll(large, 10) + TakeAll(small, 10);
    for (int i = 0; i < 80; i++) {
        clock.Advance(100 * Ck_USEC_PER_MSEC);
        taken += TakeAll(large, 10) + TakeAll(small, 10);
    }
    EXPECT_LE(taken, 8 * kRate + kBurst + 20);
    EXPECT_GE(taken, 7.5 * kRate);
    Qt_Destroy(large);
    Qt_Destroy(small);
}

// A cut heals, and for seconds a tenant within its limit is refused: what the
// other side handed out of its own share was taken from this side as well.
TEST(Quota, WhatWasLeftToTheOtherSideIsNotTakenTwice)
{
    FakeClock clock;
    Tenants tenants(kRate, kBurst);
    struct qt_quota *quota = Qt_Create(&clock.clock, true);
    Qt_Configure(quota, tenants.config);
    Qt_SetShare(quota, 0.65);
    double taken = TakeAll(quota, 10);
    for (int i = 0; i < 50; i++) {
        clock.Advance(100 * Ck_USEC_PER_MSEC);
        taken += TakeAll(quota, 10);
    }
    Qt_SetShare(quota, 1);
    Qt_Spent(quota, Qt_Hash("acme"), 5 * 0.35 * kRate, true);
    clock.Advance(Ck_USEC_PER_SEC);
    EXPECT_NEAR(TakeAll(quota, 10), kRate, 30);
    // Beyond its share it does count.
    Qt_Spent(quota, Qt_Hash("acme"), kRate, true);
    clock.Advance(Ck_USEC_PER_SEC);
    EXPECT_LT(TakeAll(quota, 10), 30);
    Qt_Destroy(quota);
}

// A caller that is over its quota comes back at once, again and again: it was
// not told how long it takes until its request fits.
TEST(Quota, TheWaitIsWhatTheBucketNeeds)
{
    FakeClock clock;
    Tenants tenants(kRate, kBurst);
    struct qt_quota *quota = Qt_Create(&clock.clock, true);
    Qt_Configure(quota, tenants.config);
    TakeAll(quota, 100);
    int64_t wait = 0;
    EXPECT_FALSE(Qt_Take(quota, "acme", 500, &wait));
    EXPECT_NEAR(static_cast<double>(wait), 0.5 * Ck_USEC_PER_SEC, 1000);
    clock.Advance(wait + 1000);
    EXPECT_TRUE(Qt_Take(quota, "acme", 500, &wait));
    Qt_Destroy(quota);
}

// A lower limit takes effect with the configuration that brings it; what was
// admitted before stays admitted.
TEST(Quota, ALowerLimitHoldsFromThenOn)
{
    FakeClock clock;
    Tenants tenants(kRate, kBurst);
    Tenants lower(kRate / 10, kBurst);
    struct qt_quota *quota = Qt_Create(&clock.clock, true);
    Qt_Configure(quota, tenants.config);
    TakeAll(quota, 100);
    Qt_Configure(quota, lower.config);
    clock.Advance(Ck_USEC_PER_SEC);
    EXPECT_LE(TakeAll(quota, 10), kRate / 10);
    Qt_Destroy(quota);
}

// While all endpoints fail, every request is sent to a second one, and the
// service gets twice the load it cannot carry.
TEST(Budget, RepeatsAreAPartOfTheRequests)
{
    FakeClock clock;
    struct bu_budget *budget =
        Bu_Create(&clock.clock, 0.2, 0, 10 * Ck_USEC_PER_SEC);
    int repeats = 0;
    for (int i = 0; i < 1000; i++) {
        Bu_First(budget, "llm");
        repeats += Bu_Repeat(budget, "llm");
        clock.Advance(5 * Ck_USEC_PER_MSEC);
    }
    EXPECT_GT(repeats, 50);
    EXPECT_LE(repeats, 200);
    Bu_Destroy(budget);
}

// The fixed allowance is one for all hosts: seven hosts that each use the
// whole of it exceed the bound sevenfold.
TEST(Budget, TheAllowanceIsDivided)
{
    FakeClock clock;
    struct bu_budget *budget =
        Bu_Create(&clock.clock, 0, 70, 10 * Ck_USEC_PER_SEC);
    Bu_SetDaemons(budget, 7);
    int repeats = 0;
    while (Bu_CanRepeat(budget, "llm")) {
        ASSERT_TRUE(Bu_Repeat(budget, "llm"));
        repeats++;
    }
    EXPECT_FALSE(Bu_Repeat(budget, "llm"));
    EXPECT_GT(repeats, 0);
    EXPECT_LE(repeats, 10);
    clock.Advance(11 * Ck_USEC_PER_SEC);
    EXPECT_TRUE(Bu_Repeat(budget, "llm"));
    Bu_Destroy(budget);
}

} // namespace
