#include <gtest/gtest.h>

#include "gate/hostwatch.h"

namespace {

constexpr int64_t kSecond = 1000000;
constexpr int64_t kHostBytes = 200;
constexpr int64_t kBudget = 22 * 1024;

// Guards against polling that exceeds the network budget of control traffic:
// with 420 daemons and 740 endpoints, reading the whole host list every
// second took ten times the budget of each host, and the list grows with the
// number of hosts.
TEST(HostWatch, PollingTheListStaysWithinHalfTheBudgetAtAnySize)
{
    for (size_t hosts :
         {size_t(0), size_t(7), size_t(60), size_t(1160), size_t(10000)}) {
        int64_t period = Hw_PollPeriod(hosts);
        EXPECT_GE(period, kSecond);
        EXPECT_LT((int64_t)hosts * kHostBytes * kSecond / period, kBudget / 2)
            << hosts;
    }
    EXPECT_EQ(Hw_PollPeriod(20), kSecond);
}

} // namespace
