// Compares placement policies in the simulation.  The simulation must rank
// them as runs of whole days do, and the default policy must keep its
// advantages.
#include <gtest/gtest.h>

#include "model/test/loads.h"

namespace {

using cg::HundredsOfHosts;
using cg::LongAndShared;
using cg::ShortAmongLong;

constexpr uint64_t kSeeds = 4;

constexpr mp_policy kDefault = {MP_LANES_BY_COUNT, false, false};
constexpr mp_policy kReserved = {MP_LANES_ALWAYS, false, false};
constexpr mp_policy kNoReserved = {MP_LANES_NEVER, false, false};
constexpr mp_policy kNoPreferred = {MP_LANES_BY_COUNT, true, false};
constexpr mp_policy kNoSampling = {MP_LANES_BY_COUNT, false, true};

// Returns the mean over some seeds.
mp_result
RunSeeds(const mp_load &load, const mp_policy &policy)
{
    mp_result mean = {};
    for (uint64_t seed = 1; seed <= kSeeds; seed++) {
        mp_result result;
        EXPECT_TRUE(Mp_Run(&load, &policy, seed, &result));
        mean.score += result.score / kSeeds;
        mean.worst_class += result.worst_class / kSeeds;
        mean.shared_reread += result.shared_reread / kSeeds;
    }
    return mean;
}

TEST(Placing, TheSameSeedGivesTheSameResult)
{
    mp_load load = ShortAmongLong(10, 6, 40);
    mp_result first;
    mp_result second;
    ASSERT_TRUE(Mp_Run(&load, &kDefault, 5, &first));
    ASSERT_TRUE(Mp_Run(&load, &kDefault, 5, &second));
    EXPECT_EQ(first.score, second.score);
    EXPECT_EQ(first.shared_reread, second.shared_reread);
}

// Guards against a simulation that scores endpoints reserved for long prompts
// higher than none reserved, where runs of whole days score them lower.
TEST(Placing, ReservedEndpointsAreWorseIfThereAreFew)
{
    mp_load few = ShortAmongLong(69, 28, 450);
    EXPECT_GT(RunSeeds(few, kNoReserved).score,
              RunSeeds(few, kReserved).score);
    mp_load shared = LongAndShared(89, 100, 470);
    EXPECT_GT(RunSeeds(shared, kNoReserved).score,
              RunSeeds(shared, kReserved).score);
    mp_load more = ShortAmongLong(69, 60, 450);
    EXPECT_GT(RunSeeds(more, kNoReserved).worst_class,
              RunSeeds(more, kReserved).worst_class);
}

// Guards against long prompts that queue at the few endpoints reserved for
// them while other endpoints are idle.
TEST(Placing, NoneOfFewEndpointsAreReserved)
{
    mp_load few = ShortAmongLong(69, 28, 450);
    EXPECT_GE(RunSeeds(few, kDefault).score, RunSeeds(few, kNoReserved).score);
    mp_load shared = LongAndShared(89, 100, 470);
    EXPECT_GE(RunSeeds(shared, kDefault).score,
              RunSeeds(shared, kNoReserved).score);
}

// Guards against a shared prompt part that every endpoint has to read because
// its requests are spread over all endpoints.
TEST(Placing, PromptsThatShareAPartHavePreferredEndpoints)
{
    for (const mp_load &load :
         {LongAndShared(89, 100, 470), ShortAmongLong(69, 28, 450)}) {
        mp_result preferred = RunSeeds(load, kDefault);
        mp_result none = RunSeeds(load, kNoPreferred);
        EXPECT_GT(preferred.score, none.score);
        EXPECT_LT(preferred.shared_reread, none.shared_reread);
    }
}

// Guards against herding: hundreds of hosts that all choose the endpoint last
// reported as idle.
TEST(Placing, HundredsOfHostsConsiderASample)
{
    mp_load load = HundredsOfHosts(295, 170, 1130);
    load.seconds = 5;
    EXPECT_GT(RunSeeds(load, kDefault).score,
              RunSeeds(load, kNoSampling).score);
}

TEST(Placing, AnEmptyOrTooLargeLoadIsRejected)
{
    mp_result result;
    mp_load many = ShortAmongLong(2, 100000, 10);
    EXPECT_FALSE(Mp_Run(&many, &kDefault, 1, &result));
    mp_load no_requests = ShortAmongLong(2, 2, 0);
    EXPECT_FALSE(Mp_Run(&no_requests, &kDefault, 1, &result));
    mp_load no_hosts = ShortAmongLong(0, 2, 10);
    EXPECT_FALSE(Mp_Run(&no_hosts, &kDefault, 1, &result));
}

} // namespace
