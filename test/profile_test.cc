// What tools/profile makes of the logs of two hosts.
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <string>

#include "test/process.h"

namespace {

// A line as a host writes it.
std::string
Line(const std::string &time, const std::string &node,
     const std::string &event, const std::string &members)
{
    return "{\"t\":" + time + ",\"node\":\"" + node + "\",\"ev\":\"" + event +
           "\"," + members + "}\n";
}

std::string
Sent(const std::string &id, const std::string &endpoint, int running,
     int others, int age)
{
    return "\"id\":\"" + id + "\",\"endpoint\":\"" + endpoint +
           "\",\"running\":" + std::to_string(running) +
           ",\"others\":" + std::to_string(others) +
           ",\"entry_age_ms\":" + std::to_string(age);
}

std::string
Ended(const std::string &id, const std::string &endpoint,
      const std::string &outcome, int first)
{
    return "\"id\":\"" + id + "\",\"outcome\":\"" + outcome +
           "\",\"route\":\"chat\",\"endpoint\":\"" + endpoint +
           "\",\"first_ms\":" + std::to_string(first) + ",\"aim_ms\":200";
}

class Profile : public testing::Test {
  protected:
    void
    TearDown() override
    {
        unlink(path_.c_str());
    }

    std::string
    Of(const std::string &lines)
    {
        std::ofstream(path_) << lines;
        cg::RunResult result =
            cg::Run(std::string(CG_SOURCE_DIR) + "/tools/profile", {path_});
        EXPECT_EQ(0, result.status) << result.error;
        return result.out;
    }

    static void
    Has(const std::string &text, const std::string &line)
    {
        EXPECT_NE(std::string::npos, text.find(line + "\n")) << text;
    }

  private:
    std::string path_ = "/tmp/profile-" + std::to_string(getpid());
};

TEST_F(Profile, RoutesPlacementsAndRefusals)
{
    // The second line of "b" is written before the first of "a" is read.
    std::string text = Of(
        Line("100.200", "b", "attempt.sent", Sent("r2", "e1", 1, 0, 30)) +
        "1.2 b: " +
        Line("100.300", "b", "attempt.sent", Sent("r3", "e2", 1, 0, 20)) +
        Line("100.600", "b", "request.end", Ended("r2", "e1", "served", 300)) +
        Line("100.800", "b", "request.end", Ended("r3", "e2", "cut", 100)) +
        Line("100.900", "b", "request.refused",
             "\"status\":429,\"why\":\"spent\",\"retry_ms\":800,"
             "\"spent\":50,\"limit\":100") +
        Line("100.950", "b", "log.suppressed", "\"lines\":7") +
        Line("100.100", "a", "attempt.sent", Sent("r1", "e1", 1, 0, 10)) +
        Line("100.400", "a", "attempt.failed",
             "\"id\":\"r1\",\"why\":\"cut\"") +
        Line("100.410", "a", "attempt.sent", Sent("r1", "e2", 1, 1, 20)) +
        Line("100.700", "a", "request.end", Ended("r1", "e2", "served", 150)));
    Has(text, "| chat | 3 | 0.333 | 150 | 300 | 0.500 | 0.000 |");
    Has(text, "| chat | 4 | 20 | 30 | 0.25 | 0.000 | 0.00 | 0.000 | 1 | "
              "1.000 |");
    Has(text, "| 429 spent | 1 | 800 | 1.000 |");
    Has(text, "| cut | 1 |");
    Has(text, "7 lines were left out by the hosts under load.");
}

// Eight requests of a host that takes the endpoint it took before, while
// another one of the same route is idle.
TEST_F(Profile, APlacementFarAboveTheLeastIsSeen)
{
    std::string lines;
    lines += Line("10.000", "a", "attempt.sent", Sent("w1", "e1", 1, 0, 1));
    lines +=
        Line("10.000", "a", "request.end", Ended("w1", "e1", "served", 10));
    lines += Line("10.000", "a", "attempt.sent", Sent("w2", "e2", 1, 0, 1));
    lines +=
        Line("10.000", "a", "request.end", Ended("w2", "e2", "served", 10));
    for (int i = 0; i < 9; i++) {
        lines += Line("10.10" + std::to_string(i), "a", "attempt.sent",
                      Sent("r" + std::to_string(i), "e1", i + 1, 0, 1));
    }
    lines +=
        Line("10.500", "a", "request.end", Ended("r8", "e1", "served", 300));
    std::string text = Of(lines);
    // The ninth alone is eight above the idle one: 1 of 11, and the one late.
    Has(text, "| chat | 11 | 1 | 1 | 0.00 | 0.000 | 3.27 | 0.091 | 0 | - |");
    Has(text, "| chat | 3 | 0.000 | 10 | 300 | 0.333 | 1.000 |");
}

// What ran at a host that died runs no more.
TEST_F(Profile, AHostThatStartsAgainHasNothingRunning)
{
    std::string text = Of(
        Line("10.000", "a", "attempt.sent", Sent("r1", "e1", 1, 0, 1)) +
        Line("10.100", "a", "process.started", "\"version\":\"1\"") +
        Line("10.200", "a", "attempt.sent", Sent("r2", "e1", 1, 0, 1)) +
        Line("10.300", "a", "request.end", Ended("r2", "e1", "served", 10)));
    Has(text, "| chat | 2 | 1 | 1 | 0.00 | 0.000 | 0.00 | 0.000 | 0 | - |");
}

} // namespace
