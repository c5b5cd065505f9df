#include <gtest/gtest.h>

#include "policy/pace.h"

namespace {

const int64_t kPace = 24000;

TEST(Pace, ASlowStreamOfANewVersionIsFound)
{
    pa_typical typical = {};
    pa_pace usual = {kPace, 0.2};
    pa_pace slow = {3 * kPace, 0.1};
    EXPECT_EQ(Pa_Judge(&typical, true, &slow), PA_UNKNOWN);
    EXPECT_EQ(Pa_Judge(&typical, false, &usual), PA_UNKNOWN);
    EXPECT_EQ(Pa_Judge(&typical, true, &usual), PA_USUAL);
    EXPECT_EQ(Pa_Judge(&typical, true, &slow), PA_SLOW);
}

// Guards against a good version that looks slow because its few endpoints are
// fuller than those of the old version.
TEST(Pace, AFullerEndpointIsNotComparedWithEmptierOnes)
{
    pa_typical typical = {};
    pa_pace usual = {kPace, 0.5};
    pa_pace slow = {3 * kPace, 0.6};
    Pa_Judge(&typical, false, &usual);
    EXPECT_EQ(Pa_Judge(&typical, true, &slow), PA_UNKNOWN);
    slow.load = 0.5;
    EXPECT_EQ(Pa_Judge(&typical, true, &slow), PA_SLOW);
}

// Guards against a slow new version that becomes what it is compared with.
TEST(Pace, OnlyTheOldVersionTellsWhatIsUsual)
{
    pa_typical typical = {};
    pa_pace usual = {kPace, 0.2};
    pa_pace slow = {3 * kPace, 0.1};
    Pa_Judge(&typical, false, &usual);
    for (int i = 0; i < 100; i++) {
        EXPECT_EQ(Pa_Judge(&typical, true, &slow), PA_SLOW);
    }
}

} // namespace
