// Ways of placement on the model, ranked as whole days rank them, and replays
// that fail when a gain is lost.
#include <gtest/gtest.h>

#include "model/test/loads.h"

namespace {

using cg::HundredsOfHosts;
using cg::LongAndShared;
using cg::ShortAmongLong;

constexpr uint64_t kSeeds = 4;

constexpr mp_ways kDecided = {MP_AS_DECIDED, false, false};
constexpr mp_ways kLanes = {MP_ALWAYS, false, false};
constexpr mp_ways kNoLanes = {MP_NEVER, false, false};
constexpr mp_ways kNoHomes = {MP_AS_DECIDED, true, false};
constexpr mp_ways kAllLook = {MP_AS_DECIDED, false, true};

// The mean over some seeds.
mp_result
Play(const mp_load &load, const mp_ways &ways)
{
    mp_result mean = {};
    for (uint64_t seed = 1; seed <= kSeeds; seed++) {
        mp_result result;
        EXPECT_TRUE(Mp_Run(&load, &ways, seed, &result));
        mean.figure += result.figure / kSeeds;
        mean.worst_class += result.worst_class / kSeeds;
        mean.shared_read += result.shared_read / kSeeds;
    }
    return mean;
}

TEST(Placing, TheSameSeedGivesTheSame)
{
    mp_load load = ShortAmongLong(10, 6, 40);
    mp_result first;
    mp_result second;
    ASSERT_TRUE(Mp_Run(&load, &kDecided, 5, &first));
    ASSERT_TRUE(Mp_Run(&load, &kDecided, 5, &second));
    EXPECT_EQ(first.figure, second.figure);
    EXPECT_EQ(first.shared_read, second.shared_read);
}

// Guards against a model that ranks endpoints set apart for long prompts above
// none, where whole days rank them below.
TEST(Placing, LongPromptsOfTheirOwnAreWorseWithFewEndpoints)
{
    mp_load few = ShortAmongLong(69, 28, 450);
    EXPECT_GT(Play(few, kNoLanes).figure, Play(few, kLanes).figure);
    mp_load shared = LongAndShared(89, 100, 470);
    EXPECT_GT(Play(shared, kNoLanes).figure, Play(shared, kLanes).figure);
    mp_load more = ShortAmongLong(69, 60, 450);
    EXPECT_GT(Play(more, kNoLanes).worst_class,
              Play(more, kLanes).worst_class);
}

// Guards against long prompts that meet each other at the few endpoints that
// are theirs while others are idle.
TEST(Placing, FewEndpointsAreNotDivided)
{
    mp_load few = ShortAmongLong(69, 28, 450);
    EXPECT_GE(Play(few, kDecided).figure, Play(few, kNoLanes).figure);
    mp_load shared = LongAndShared(89, 100, 470);
    EXPECT_GE(Play(shared, kDecided).figure, Play(shared, kNoLanes).figure);
}

// Guards against prompts that share a part and are read at every endpoint.
TEST(Placing, PromptsThatShareAPartHaveEndpointsInCommon)
{
    for (const mp_load &load :
         {LongAndShared(89, 100, 470), ShortAmongLong(69, 28, 450)}) {
        mp_result homes = Play(load, kDecided);
        mp_result none = Play(load, kNoHomes);
        EXPECT_GT(homes.figure, none.figure);
        EXPECT_LT(homes.shared_read, none.shared_read);
    }
}

// Guards against hundreds of hosts that all take the endpoint they heard to be
// idle.
TEST(Placing, HundredsOfHostsDoNotAllLook)
{
    mp_load load = HundredsOfHosts(295, 170, 1130);
    load.seconds = 5;
    EXPECT_GT(Play(load, kDecided).figure, Play(load, kAllLook).figure);
}

TEST(Placing, ALoadOfNothingOrTooMuchIsNotPlayed)
{
    mp_result result;
    mp_load many = ShortAmongLong(2, 100000, 10);
    EXPECT_FALSE(Mp_Run(&many, &kDecided, 1, &result));
    mp_load none = ShortAmongLong(2, 2, 0);
    EXPECT_FALSE(Mp_Run(&none, &kDecided, 1, &result));
    mp_load nobody = ShortAmongLong(0, 2, 10);
    EXPECT_FALSE(Mp_Run(&nobody, &kDecided, 1, &result));
}

} // namespace
