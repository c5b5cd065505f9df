#include <gtest/gtest.h>

#include "gate/hostwatch.h"

namespace {

constexpr int64_t kSecond = 1000000;
constexpr int64_t kHostBytes = 200;
constexpr int64_t kBudget = 22 * 1024;

// An operator of 420 daemons before 740 endpoints sees every host spend ten
// times its network budget on control: each daemon reads the whole host list
// every second, and the list grows with the system.
TEST(HostWatch, ReadingTheListStaysWithinHalfTheBudgetAtAnySize)
{
    for (size_t hosts :
         {size_t(0), size_t(7), size_t(60), size_t(1160), size_t(10000)}) {
        int64_t period = Hw_Period(hosts);
        EXPECT_GE(period, kSecond);
        EXPECT_LT((int64_t)hosts * kHostBytes * kSecond / period, kBudget / 2)
            << hosts;
    }
    EXPECT_EQ(Hw_Period(20), kSecond);
}

} // namespace
