// A non-repeatable call runs at most once: the endpoints' own record of runs
// is the truth in every test here.
#include <gtest/gtest.h>

#include <thread>

#include "test/scene.h"

namespace {

using cg::HttpCall;
using cg::HttpResult;
using cg::Millis;

class AtMostOnce : public ::testing::Test {
  protected:
    void
    Start(int daemons, const std::vector<std::string> &plain_args = {})
    {
        scene.AddPlain(plain_args);
        scene.PublishDefaults();
        scene.cluster.AddMany((size_t)daemons);
        ASSERT_TRUE(scene.cluster.WaitReady());
    }

    long long
    Runs(const std::string &key)
    {
        long long runs = 0;
        for (auto &plain : scene.plains) {
            runs += plain->RunsOfKey(key);
        }
        return runs;
    }

    HttpResult
    Charge(size_t daemon, const std::string &key,
           const std::string &body = "{\"seat\":7}")
    {
        return cg::Http(scene.Call(daemon, "POST", "/charge/seat", body, key));
    }

    // Repeats until the first request with the key is settled.
    HttpResult
    Settled(size_t daemon, const std::string &key)
    {
        HttpResult result;
        cg::Eventually([&] {
            result = Charge(daemon, key);
            return result.code != 409 && result.code != 503;
        });
        return result;
    }

    cg::Scene scene;
};

TEST_F(AtMostOnce, ARepeatGetsTheFirstAnswer)
{
    Start(2);
    HttpResult first = Charge(0, "k1");
    ASSERT_EQ(200, first.code) << first.body;
    EXPECT_EQ("ran", first.Header("cornelgate-outcome"));
    HttpResult again = Settled(1, "k1");
    EXPECT_EQ(200, again.code) << again.body;
    EXPECT_EQ("1", again.Header("cornelgate-repeated"));
    EXPECT_EQ(first.body, again.body);
    EXPECT_EQ(1, Runs("k1"));
}

TEST_F(AtMostOnce, TheKeyBelongsToItsBody)
{
    Start(2);
    ASSERT_EQ(200, Charge(0, "k1").code);
    HttpResult other = Charge(1, "k1", "{\"seat\":8}");
    EXPECT_EQ(422, other.code);
    EXPECT_EQ("not-run", other.Header("cornelgate-outcome"));
    EXPECT_EQ(1, Runs("k1"));
}

/*
 * A parent's phone sends the same charge twice, and the balancer gives the
 * two to two daemons in the same millisecond. Both would dispatch, and the
 * seat is charged twice. Only the order of claims in the log decides.
 */
TEST_F(AtMostOnce, TheSameKeyAtTwoDaemonsAtOnce)
{
    Start(3);
    const int kRounds = 40;
    for (int round = 0; round < kRounds; round++) {
        std::string key = "race-" + std::to_string(round);
        std::vector<HttpCall> calls;
        for (size_t i = 0; i < 6; i++) {
            calls.push_back(
                scene.Call(i % 3, "POST", "/charge/seat", "{}", key));
        }
        int ran = 0;
        for (const HttpResult &result : cg::HttpAll(calls)) {
            ran += result.code == 200 ? 1 : 0;
            EXPECT_TRUE(result.code == 200 || result.code == 409)
                << result.code << result.body;
        }
        EXPECT_GE(ran, 1);
        EXPECT_EQ(1, Runs(key)) << key;
    }
}

/*
 * A charge goes through, but its answer is lost on the way from the
 * endpoint. The caller asks again at another daemon. Running it again would
 * charge twice, so both answers must say that the outcome is unknown.
 */
TEST_F(AtMostOnce, AnAnswerLostIsUnknownAndNeverRunAgain)
{
    Start(2);
    scene.plains[0]->Fault(
        "{\"mode\":\"lost_answer\",\"count\":1,\"path\":\"/charge/seat\"}");
    HttpResult first = Charge(0, "k1");
    EXPECT_EQ(502, first.code) << first.body;
    EXPECT_EQ("unknown", first.Header("cornelgate-outcome"));
    HttpResult again = Settled(1, "k1");
    EXPECT_EQ(502, again.code) << again.body;
    EXPECT_EQ("unknown", again.Header("cornelgate-outcome"));
    EXPECT_EQ(1, Runs("k1"));
}

/*
 * The log takes a claim but its answer is lost. Taking that for a failure
 * and claiming again would make the caller compete with itself; taking it
 * for success without reading could run a charge that another daemon won.
 */
TEST_F(AtMostOnce, AClaimWhoseAppendIsUnknownIsSettledByReading)
{
    Start(2);
    for (int round = 0; round < 5; round++) {
        std::string key = "lost-" + std::to_string(round);
        scene.platform.Fault("{\"target\":\"append\",\"mode\":"
                             "\"lost_answer\",\"count\":1}");
        HttpResult first = Charge((size_t)round % 2, key);
        EXPECT_TRUE(first.code == 200 || first.code == 503) << first.body;
        HttpResult again = Settled(((size_t)round + 1) % 2, key);
        EXPECT_EQ(200, again.code) << again.body;
        EXPECT_EQ(1, Runs(key));
    }
}

/*
 * A daemon is killed after it sent a charge and before the answer came. The
 * caller asks again elsewhere: nobody can know whether the charge took
 * effect, so it is not run again.
 */
TEST_F(AtMostOnce, ADaemonKilledAfterDispatchLeavesTheOutcomeUnknown)
{
    Start(3, {"--work-us", "1500000"});
    auto first = cg::HttpAsync(
        scene.Call(0, "POST", "/charge/seat", "{\"seat\":7}", "k1"));
    ASSERT_TRUE(cg::Eventually([&] { return Runs("k1") == 1; }));
    scene.cluster.process(0).Kill();
    EXPECT_EQ(0, first.get().code);
    HttpResult again;
    ASSERT_TRUE(cg::Eventually(
        [&] {
            again = Charge(1, "k1");
            return again.code == 502;
        },
        Millis(150000)));
    EXPECT_EQ("unknown", again.Header("cornelgate-outcome"));
    EXPECT_EQ(1, Runs("k1"));
}

/*
 * The log is out. A charge cannot be claimed; it is refused at once as not
 * run, which the endpoint's record confirms, and the same key works when the
 * log is back.
 */
TEST_F(AtMostOnce, WithoutTheLogAChargeIsRefusedAndNotRun)
{
    Start(2);
    scene.platform.Fault(
        "{\"target\":\"append\",\"mode\":\"refuse\",\"count\":-1}");
    HttpResult refused = Charge(0, "k1");
    EXPECT_EQ(503, refused.code) << refused.body;
    EXPECT_EQ("not-run", refused.Header("cornelgate-outcome"));
    EXPECT_NE("", refused.Header("retry-after"));
    EXPECT_EQ(0, Runs("k1"));
    EXPECT_EQ(200, cg::Http(scene.Call(0, "GET", "/seats/free")).code);
    scene.platform.Clear();
    EXPECT_EQ(200, Settled(1, "k1").code);
    EXPECT_EQ(1, Runs("k1"));
}

/*
 * Without a key a charge cannot be recognised when it is repeated, so it is
 * sent once: also when the connection breaks after it has left.
 */
TEST_F(AtMostOnce, WithoutAKeyItIsSentOnce)
{
    Start(1);
    scene.AddPlain();
    ASSERT_EQ(200, Charge(0, "").code);
    for (auto &plain : scene.plains) {
        plain->Fault("{\"mode\":\"reset_after\",\"count\":1}");
    }
    long long before = scene.plains[0]->Totals()["runs"].Int() +
                       scene.plains[1]->Totals()["runs"].Int();
    HttpResult lost = Charge(0, "");
    EXPECT_EQ(502, lost.code);
    EXPECT_EQ("unknown", lost.Header("cornelgate-outcome"));
    EXPECT_EQ(before + 1, scene.plains[0]->Totals()["runs"].Int() +
                              scene.plains[1]->Totals()["runs"].Int());
}

/*
 * An endpoint hands a caller somebody else's receipt. The answer carries
 * another request's id; it is dropped, and the caller is told the truth.
 */
TEST_F(AtMostOnce, ACrossedAnswerIsNeverDelivered)
{
    Start(1);
    scene.plains[0]->Fault("{\"mode\":\"crossed\",\"count\":1}");
    HttpResult crossed = Charge(0, "k1");
    EXPECT_EQ(502, crossed.code) << crossed.body;
    EXPECT_EQ("unknown", crossed.Header("cornelgate-outcome"));
    EXPECT_EQ(1, Runs("k1"));
    EXPECT_EQ(1, scene.Metric(0, "cg_crossed_answers_total"));
}

} // namespace
