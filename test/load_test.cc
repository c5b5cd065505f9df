// The load program against stand-ins, whose truth it must report.
#include <gtest/gtest.h>

#include "test/harness.h"

namespace {

using cg::Json;

Json
Load(const std::vector<std::string> &args)
{
    cg::RunResult run = cg::Run(cg::Program("tools/cgload"), args);
    EXPECT_EQ(0, run.status) << run.error;
    return Json::Parse(run.out);
}

Json
Outcomes(const Json &report, const std::string &name)
{
    return report["classes"][name]["outcomes"];
}

TEST(Load, CountsWholeAnswersByClass)
{
    cg::Engine engine({"--token-us", "500", "--slots", "64"});
    Json report =
        Load({"--to", engine.Address(), "--rate", "60", "--patient-rate", "20",
              "--seconds", "1", "--seed", "3"});
    Json totals = engine.Totals();
    long long urgent = report["classes"]["urgent"]["sent"].Int();
    long long patient = report["classes"]["patient"]["sent"].Int();
    EXPECT_GT(urgent, patient);
    EXPECT_GT(patient, 0);
    EXPECT_EQ(urgent, Outcomes(report, "urgent")["answered"].Int());
    EXPECT_EQ(patient, Outcomes(report, "patient")["answered"].Int());
    EXPECT_EQ(totals["runs"].Int(), urgent + patient);
    EXPECT_EQ(totals["tokens"].Int(), report["tokens"].Int());
    Json first = report["classes"]["urgent"]["latency_ms"]["first"];
    EXPECT_GT(first["count"].Int(), 0);
    EXPECT_LE(first["p50"].Number(), first["max"].Number());
}

struct LoadCase {
    const char *fault;
    const char *outcome;
};

const LoadCase kLoadFaults[] = {
    {R"({"mode":"crossed"})", "wrong"},
    {R"({"mode":"truncate","tokens":2})", "cut"},
    {R"({"mode":"error_500"})", "failed"},
    {R"({"mode":"reset_before"})", "no_answer"},
};

/*
 * A broken run is reported as a good one.  The load program takes a wrong,
 * half or missing answer for a whole one.
 */
TEST(Load, TellsBadAnswersApart)
{
    cg::Engine engine({"--token-us", "100", "--slots", "64"});
    for (const LoadCase &item : kLoadFaults) {
        SCOPED_TRACE(item.fault);
        engine.Clear();
        engine.Fault(item.fault);
        Json report = Load({"--to", engine.Address(), "--rate", "40",
                            "--stream-share", "1", "--seconds", "0.5"});
        EXPECT_GT(report["classes"]["urgent"]["sent"].Int(), 0);
        EXPECT_EQ(report["classes"]["urgent"]["sent"].Int(),
                  Outcomes(report, "urgent")[item.outcome].Int());
    }
}

/*
 * A seat is charged twice and nobody notices.  A plain service without
 * anything in front runs both calls of a key; the report must show it.
 */
TEST(Load, ShowsChargesThatRanTwice)
{
    cg::Plain plain;
    Json report =
        Load({"--to", plain.Address(), "--charge-rate", "50", "--repeat-share",
              "1", "--repeat-ms", "5", "--seconds", "0.5"});
    long long repeats = report["repeats"]["sent"].Int();
    EXPECT_GT(repeats, 0);
    EXPECT_EQ(repeats, report["repeats"]["differ"].Int());
    EXPECT_EQ(2 * repeats, plain.Totals()["runs"].Int());
    EXPECT_EQ(2 * repeats, Outcomes(report, "charge")["answered"].Int());
}

TEST(Load, SharedPrefixesHitTheCache)
{
    cg::Engine engine({"--token-us", "1", "--slots", "64"});
    Load({"--to", engine.Address(), "--rate", "60", "--seconds", "0.5",
          "--prefixes", "1", "--prefix-bytes", "640"});
    Json runs = engine.Runs();
    ASSERT_GT(runs.Size(), 2U);
    EXPECT_EQ(160, runs[runs.Size() - 1]["cached"].Int());
}

} // namespace
