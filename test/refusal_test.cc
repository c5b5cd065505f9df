// What the soak found: refusals that were not true, a stream with a second
// head, and new work for hosts that were about to go.
#include <gtest/gtest.h>

#include <atomic>
#include <set>
#include <thread>

#include "test/scene.h"
#include "test/socket.h"

namespace {

using cg::HttpResult;

// An engine that refuses everything as invalid.
class RefusingEngine {
  public:
    RefusingEngine() : listener_(SOCK_STREAM), port_(listener_.Bind(true))
    {
        thread_ = std::thread([this] { Serve(); });
    }
    ~RefusingEngine()
    {
        stop_ = true;
        thread_.join();
    }
    RefusingEngine(const RefusingEngine &) = delete;
    RefusingEngine &operator=(const RefusingEngine &) = delete;

    int
    port() const
    {
        return port_;
    }

  private:
    void
    Serve()
    {
        const int kWaitMillis = 50;
        while (!stop_) {
            if (!listener_.Readable(kWaitMillis)) {
                continue;
            }
            cg::Socket taken = listener_.Accept();
            if (taken.Readable(kWaitMillis * 20)) {
                char request[8192];
                recv(taken.fd(), request, sizeof(request), 0);
                taken.Send("HTTP/1.1 400 Bad Request\r\n"
                           "content-length: 0\r\n\r\n");
                shutdown(taken.fd(), SHUT_WR);
                taken.Receive(1);
            }
        }
    }

    cg::Socket listener_;
    int port_;
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

std::set<std::string>
RequestsRun(const cg::Endpoint &endpoint)
{
    std::set<std::string> out;
    cg::Json runs = endpoint.Runs();
    for (size_t i = 0; i < runs.Size(); i++) {
        std::string id = runs[i]["request_id"].Str();
        out.insert(id.substr(0, id.rfind('.')));
    }
    return out;
}

/*
 * A read runs at one endpoint, which dies before it answers. It is sent
 * again to one that nobody listens at. The last attempt did not run, but the
 * first did, and the caller must not be told "not-run".
 */
TEST(Refusal, AnEarlierAttemptCounts)
{
    const int kReads = 40;
    cg::Scene scene;
    scene.AddPlain();
    scene.AddPlain();
    scene.PublishDefaults();
    scene.cluster.AddMany(1);
    ASSERT_TRUE(scene.cluster.WaitReady());
    scene.plains[0]->Fault("{\"mode\":\"reset_after\",\"count\":-1}");
    scene.plains[1]->process().Kill();
    std::vector<HttpResult> results;
    for (int i = 0; i < kReads; i++) {
        results.push_back(
            cg::Http(scene.Call(0, "GET", "/seats/" + std::to_string(i))));
    }
    std::set<std::string> ran = RequestsRun(*scene.plains[0]);
    ASSERT_FALSE(ran.empty());
    for (const HttpResult &result : results) {
        EXPECT_GE(result.code, 500);
        if (result.Header("cornelgate-outcome") == "not-run") {
            EXPECT_EQ(0U, ran.count(result.Header("cornelgate-request-id")))
                << result.body;
        }
    }
}

/*
 * A stream is cut, and the engine that should go on with it refuses its
 * text. The caller has read tokens already: a refusal in the middle of the
 * stream would be read as part of the answer.
 */
TEST(Refusal, NotInTheMiddleOfAStream)
{
    const int kCalls = 30;
    RefusingEngine refusing;
    cg::Scene scene;
    scene.AddEngine({"--token-us", "500"});
    cg::EndpointHost host;
    host.id = "engine-refusing";
    host.port = refusing.port();
    host.service = "rink";
    host.version = "v1";
    scene.cluster.List(host);
    scene.PublishDefaults();
    scene.cluster.AddMany(1);
    ASSERT_TRUE(scene.cluster.WaitReady());
    scene.engines[0]->Fault(
        "{\"mode\":\"truncate\",\"tokens\":5,\"count\":-1}");
    int begun = 0;
    for (int i = 0; i < kCalls; i++) {
        HttpResult result =
            cg::Http(scene.Complete(0, "cut " + std::to_string(i), 60, true));
        EXPECT_TRUE(result.complete) << result.error;
        if (result.code != 200) {
            continue;
        }
        begun++;
        EXPECT_EQ(std::string::npos, result.body.find("HTTP/1.1"));
        cg::Completion answer = cg::ReadCompletion(result);
        EXPECT_TRUE(answer.done || answer.error == "unknown") << result.body;
    }
    EXPECT_GT(begun, 0);
    EXPECT_TRUE(scene.cluster.process(0).Running());
}

/*
 * A daemon starts while a host is being reclaimed. It hears the notice
 * before the platform's list has told it of the host; the list lags and says
 * "live". Its callers would be sent to a host that is about to go.
 */
TEST(Refusal, ANoticeBeforeTheListIsNotForgotten)
{
    const int kCalls = 20;
    cg::Scene scene;
    scene.AddEngine({"--token-us", "200"});
    scene.AddEngine({"--token-us", "200"});
    scene.PublishDefaults();
    scene.platform.Notice("engine-0", 600000);
    scene.platform.Fault("{\"target\":\"hosts\",\"mode\":\"delay\","
                         "\"delay_ms\":1500,\"count\":1}");
    scene.cluster.AddMany(1);
    ASSERT_TRUE(scene.cluster.WaitReady());
    for (int i = 0; i < kCalls; i++) {
        EXPECT_EQ(200,
                  cg::Http(scene.Complete(0, "p" + std::to_string(i), 5, true))
                      .code);
    }
    EXPECT_EQ(0U, scene.engines[0]->Runs().Size());
}

/*
 * The list loses a leaving host for a while and brings it back as live. It
 * must stay leaving, or it gets new work in its last seconds.
 */
TEST(Refusal, AHostThatCameBackInTheListStaysLeaving)
{
    const int kCalls = 20;
    cg::Scene scene;
    scene.AddEngine({"--token-us", "200"});
    scene.AddEngine({"--token-us", "200"});
    scene.PublishDefaults();
    scene.cluster.AddMany(1);
    ASSERT_TRUE(scene.cluster.WaitReady());
    scene.platform.Notice("engine-0", 600000);
    ASSERT_TRUE(cg::Eventually([&] {
        return scene.cluster.process(0).Stderr().find("GT_ENDPOINT_LEAVING") !=
               std::string::npos;
    }));
    cg::EndpointHost host;
    host.id = "engine-0";
    host.port = scene.engines[0]->Port();
    host.service = "rink";
    host.version = "v1";
    scene.cluster.Unlist("engine-0");
    std::this_thread::sleep_for(cg::Millis(5000));
    scene.cluster.List(host);
    std::this_thread::sleep_for(cg::Millis(2500));
    for (int i = 0; i < kCalls; i++) {
        EXPECT_EQ(200,
                  cg::Http(scene.Complete(0, "p" + std::to_string(i), 5, true))
                      .code);
    }
    EXPECT_EQ(0U, scene.engines[0]->Runs().Size());
}

/*
 * A charge takes the box office seven seconds. The HTTP library's own limit
 * closed the connection after five: the seat was charged, and the parent was
 * told that nobody knows.
 */
TEST(Refusal, ALongRunIsWaitedFor)
{
    cg::Scene scene;
    scene.AddPlain({"--work-us", "7000000"});
    scene.PublishDefaults();
    scene.cluster.AddMany(1);
    ASSERT_TRUE(scene.cluster.WaitReady());
    HttpResult result =
        cg::Http(scene.Call(0, "POST", "/charge/seat", "{}", "k1"));
    EXPECT_EQ(200, result.code) << result.body;
    EXPECT_EQ("ran", result.Header("cornelgate-outcome"));
}

/*
 * The list drops an endpoint while it still runs a charge. The router must
 * not forget what the running call points to.
 */
TEST(Refusal, AnEndpointUnlistedInMidCall)
{
    cg::Scene scene;
    scene.AddPlain({"--work-us", "6000000"});
    scene.AddPlain();
    scene.PublishDefaults();
    scene.cluster.AddMany(1);
    ASSERT_TRUE(scene.cluster.WaitReady());
    std::vector<std::future<HttpResult>> slow;
    for (int i = 0; i < 8; i++) {
        slow.push_back(cg::HttpAsync(
            scene.Call(0, "POST", "/charge/" + std::to_string(i), "{}")));
    }
    ASSERT_TRUE(
        cg::Eventually([&] { return scene.plains[0]->Runs().Size() > 0; }));
    scene.cluster.Unlist("charge-0");
    scene.cluster.Unlist("seats-0");
    for (auto &call : slow) {
        HttpResult result = call.get();
        EXPECT_EQ(200, result.code) << result.body;
    }
    EXPECT_EQ(200, cg::Http(scene.Call(0, "GET", "/seats/free")).code);
    scene.cluster.process(0).Term();
    EXPECT_EQ(0, scene.cluster.process(0).WaitExit());
}

/*
 * Every endpoint of a service fails for a while. If each request were tried
 * three times, the endpoints would get three times the load just then, and
 * stay down. Retries are paid for by successes; without any there are few.
 */
TEST(Retries, AnOutageIsNotMultiplied)
{
    cg::Scene scene;
    for (int i = 0; i < 3; i++) {
        scene.AddPlain().Fault("{\"mode\":\"error_500\",\"count\":-1}");
    }
    scene.PublishDefaults();
    scene.cluster.AddMany(1);
    ASSERT_TRUE(scene.cluster.WaitReady());
    const int kRequests = 300;
    for (int i = 0; i < kRequests; i++) {
        cg::Http(scene.Call(0, "GET", "/seats/free"));
    }
    EXPECT_LE(scene.Metric(0, "cg_retries_total"), 50);
    EXPECT_GT(scene.Metric(0, "cg_retries_refused_total"), 0);
}

// Guards against refused connections using up a service's retries: callers
// whose engine then fails are told "unknown" while others stand idle.
TEST(Retries, RefusedConnectionsTakeNoRetry)
{
    cg::Scene scene;
    const size_t kDead = 2;
    const int kCompletions = 300;
    for (size_t i = 0; i <= kDead; i++) {
        scene.AddEngine();
    }
    scene.PublishDefaults();
    scene.cluster.AddMany(1);
    ASSERT_TRUE(scene.cluster.WaitReady());
    for (size_t i = 0; i < kDead; i++) {
        scene.engines[i]->process().Kill();
    }
    int refused = 0;
    for (int i = 0; i < kCompletions; i++) {
        std::string prompt = "listed " + std::to_string(i);
        refused += cg::Http(scene.Complete(0, prompt, 2, false)).code != 200;
    }
    EXPECT_EQ(0, refused) << scene.cluster.process(0).Stderr();
    int cut = 0;
    for (int i = 0; i < 5; i++) {
        scene.engines[kDead]->Fault("{\"mode\":\"reset_before\",\"count\":1}");
        std::string prompt = "cut " + std::to_string(i);
        cut += cg::Http(scene.Complete(0, prompt, 2, false)).code != 200;
    }
    EXPECT_EQ(0, cut) << scene.cluster.process(0).Stderr();
}

} // namespace
