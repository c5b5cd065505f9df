#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "web/client.h"
#include "web/loop.h"
#include "web/server.h"

namespace {

const char *const kHeaders[] = {"authorization", "idempotency-key", nullptr};

struct Fixture {
    struct lp_loop *loop = nullptr;
    struct hs_server *server = nullptr;
    struct hs_request *kept = nullptr;
    int requests = 0;
    int gone = 0;
    int left = 0;
    int body_total = 0;
    std::string seen_key;
    struct hc_result result = {};
    std::string answer;
    std::string mark;
};

void
on_request(void *arg, struct hs_request *request)
{
    auto *f = static_cast<Fixture *>(arg);
    f->requests++;
    std::string path = Hs_Path(request);
    const char *key = Hs_Header(request, "idempotency-key");
    f->seen_key = key != nullptr ? key : "";
    size_t len;
    const char *body = Hs_Body(request, &len);
    f->body_total += (int)len;
    if (path == "/stream") {
        struct web_header header = {"x-mark", "m1"};
        Hs_StreamBegin(request, 200, "text/plain", &header, 1);
        for (int i = 0; i < 1000; i++) {
            std::string part = "part" + std::to_string(i) + ";";
            Hs_StreamWrite(request, part.data(), part.size());
        }
        Hs_StreamEnd(request);
    }
    else if (path == "/query") {
        char value[32] = "none";
        Hs_Query(request, "max", value, sizeof(value));
        Hs_Reply(request, 200, "text/plain", nullptr, 0, value, strlen(value));
    }
    else if (path == "/abort") {
        Hs_Abort(request);
    }
    else if (path == "/hold") {
        f->kept = request;
    }
    else if (path == "/redirect") {
        struct web_header header = {"location", "/echo"};
        Hs_Reply(request, 307, nullptr, &header, 1, nullptr, 0);
    }
    else {
        Hs_Reply(request, 200, "text/plain", nullptr, 0, body, len);
    }
}

void
on_gone(void *arg, struct hs_request *request)
{
    static_cast<Fixture *>(arg)->gone++;
}

const struct hs_ops kServerOps = {on_request, on_gone, nullptr};

void
on_answer(void *arg, struct hc_call *call, int code)
{
    auto *f = static_cast<Fixture *>(arg);
    const char *mark = Hc_Header(call, "x-mark");
    f->mark = mark != nullptr ? mark : "";
}

void
on_done(void *arg, struct hc_call *call, const struct hc_result *result)
{
    auto *f = static_cast<Fixture *>(arg);
    f->result = *result;
    size_t len;
    const char *body = Hc_Body(call, &len);
    f->answer.assign(body != nullptr ? body : "", len);
    if (--f->left == 0) {
        Lp_Stop(f->loop);
    }
}

const struct hc_ops kClientOps = {on_answer, nullptr, on_done};

class Web : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ASSERT_EQ(ST_OK, Lp_Create(&f.loop));
        struct hs_options options = {};
        options.address = "127.0.0.1";
        options.body_max = 1 << 20;
        options.headers = kHeaders;
        options.ops = &kServerOps;
        options.arg = &f;
        ASSERT_EQ(ST_OK, Hs_Create(f.loop, &options, &f.server));
    }

    void
    TearDown() override
    {
        Lp_Destroy(f.loop);
        Hs_Destroy(f.server);
        Hs_Destroy(named[0]);
        Hs_Destroy(named[1]);
    }

    void
    Start(const char *method, const char *path, const std::string &body,
          int port = 0, int64_t idle_usec = 0)
    {
        struct web_header header = {"idempotency-key", "k-1"};
        struct hc_request request = {};
        request.address = "127.0.0.1";
        request.port = port != 0 ? port : Hs_Port(f.server);
        request.method = method;
        request.path = path;
        request.type = body.empty() ? nullptr : "text/plain";
        request.headers = &header;
        request.header_count = 1;
        request.body = body.data();
        request.body_len = body.size();
        request.idle_usec = idle_usec;
        f.left++;
        ASSERT_EQ(ST_OK, Hc_Start(f.loop, &request, &kClientOps, &f, nullptr));
    }

    Fixture f;
    struct hs_server *named[2] = {nullptr, nullptr}; /* outlive the loop */
};

TEST_F(Web, CarriesBodiesAndHeadersBothWays)
{
    std::string body(200000, 'x');
    Start("POST", "/echo", body);
    Lp_Run(f.loop);
    EXPECT_EQ(ST_OK, f.result.status);
    EXPECT_EQ(200, f.result.code);
    EXPECT_EQ(body, f.answer);
    EXPECT_EQ("k-1", f.seen_key);
}

TEST_F(Web, AnswersGetAndEmptyPost)
{
    Start("GET", "/echo", "");
    Start("POST", "/echo", "");
    Lp_Run(f.loop);
    EXPECT_EQ(200, f.result.code);
    EXPECT_EQ(2, f.requests);
}

/*
 * A reader of the log gets more records than it asked for.  The library
 * joins query arguments with commas, and all but the first are lost.
 */
TEST_F(Web, EveryQueryArgumentIsFound)
{
    Start("GET", "/query?from=1&max=20&last=3", "");
    Lp_Run(f.loop);
    EXPECT_EQ("20", f.answer);
}

TEST_F(Web, AMissingQueryArgumentIsNotFound)
{
    Start("GET", "/query?from=1", "");
    Lp_Run(f.loop);
    EXPECT_EQ("none", f.answer);
}

TEST_F(Web, StreamsWhole)
{
    Start("POST", "/stream", "go");
    Lp_Run(f.loop);
    EXPECT_EQ(ST_OK, f.result.status);
    EXPECT_EQ(HC_COMPLETE, f.result.stage);
    EXPECT_EQ("m1", f.mark);
    EXPECT_NE(std::string::npos, f.answer.find("part999;"));
    EXPECT_EQ(0U, f.answer.find("part0;"));
}

/*
 * A caller is told "not run" although the charge was made.  The endpoint
 * takes the request, runs it and closes before answering.  The library
 * reports that just like a connection that was never made; only the stage
 * tells the two apart.
 */
TEST_F(Web, StageTellsARefusedConnectionFromALostAnswer)
{
    Start("POST", "/abort", "charge");
    Lp_Run(f.loop);
    EXPECT_EQ(ST_UNAVAILABLE, f.result.status);
    EXPECT_EQ(HC_SENT, f.result.stage);
    EXPECT_EQ(1, f.requests);
}

TEST_F(Web, RefusedConnectionNeverLeft)
{
    Start("POST", "/echo", "charge", 1);
    Lp_Run(f.loop);
    EXPECT_EQ(ST_UNAVAILABLE, f.result.status);
    EXPECT_EQ(HC_CONNECTING, f.result.stage);
    EXPECT_EQ(0, f.requests);
}

/*
 * A charge is made twice.  The endpoint answers with a redirect after it has
 * run the request, and the library repeats the request by itself.
 */
TEST_F(Web, RedirectIsNotFollowed)
{
    Start("POST", "/redirect", "charge");
    Lp_Run(f.loop);
    EXPECT_EQ(307, f.result.code);
    EXPECT_EQ(1, f.requests);
}

TEST_F(Web, SilentServerTimesOutAndTheServerNotices)
{
    Start("POST", "/hold", "x", 0, 50000);
    Lp_Run(f.loop);
    EXPECT_EQ(ST_TIMEOUT, f.result.status);
    EXPECT_EQ(HC_SENT, f.result.stage);
}

TEST_F(Web, LargeBodyIsRefused)
{
    Start("POST", "/echo", std::string(2 << 20, 'x'));
    Lp_Run(f.loop);
    EXPECT_EQ(0, f.requests);
}

TEST_F(Web, ManyAtOnce)
{
    for (int i = 0; i < 300; i++) {
        Start("POST", "/echo", "body");
    }
    Lp_Run(f.loop);
    EXPECT_EQ(300, f.requests);
    EXPECT_EQ(1200, f.body_total);
}

struct Named {
    const char *name;
};

void
on_named(void *arg, struct hs_request *request)
{
    const char *name = static_cast<Named *>(arg)->name;
    Hs_Reply(request, 200, "text/plain", nullptr, 0, name, strlen(name));
}

const struct hs_ops kNamedOps = {on_named, on_gone, nullptr};

/*
 * An operator's request for readiness is refused as a caller's without a
 * key. Two servers listen in one process; once the library has read the Host
 * header it binds the connection to whichever came first.
 */
TEST_F(Web, TwoServersInOneProcessKeepApart)
{
    Named names[2] = {{"one"}, {"two"}};
    for (int i = 0; i < 2; i++) {
        struct hs_options options = {};
        options.address = "127.0.0.1";
        options.ops = &kNamedOps;
        options.arg = &names[i];
        ASSERT_EQ(ST_OK, Hs_Create(f.loop, &options, &named[i]));
    }
    Start("GET", "/", "", Hs_Port(named[1]));
    Lp_Run(f.loop);
    EXPECT_EQ("two", f.answer);
}

} // namespace
