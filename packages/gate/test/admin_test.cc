#include <gtest/gtest.h>

#include <libwebsockets.h>

#include <cstring>
#include <string>
#include <vector>

#include "base/hash.h"
#include "gate/admin.h"
#include "web/client.h"

namespace {

constexpr int64_t kTickUsec = 2000;
constexpr int kTicksMax = 10000; /* limit of each wait */

std::string
digest(const std::string &key)
{
    char hex[Hash_DIGEST_HEX];
    Hash_Digest(key.data(), key.size(), hex);
    return hex;
}

/* The fault that the fake log applies to the next appends. */
enum Fault { kNone, kResponseLost, kNotWritten, kUnreachable };

struct Pending {
    ad_appended_fn appended;
    void *ticket;
    enum st_status status;
};

struct Daemon;

/* A fake log that both daemons read. */
struct Log {
    std::vector<std::string> records;
    std::vector<Pending> pending;
    std::vector<Daemon *> daemons;
    Fault fault = kNone;
    bool paused = false; /* the daemons do not read */
    int appends = 0;
};

struct Daemon {
    Log *log = nullptr;
    struct sc_state *state = nullptr;
    struct ad_admin *admin = nullptr;
    bool ready = true;
};

const struct sc_state *
sections(void *arg)
{
    return static_cast<Daemon *>(arg)->state;
}

enum st_status
append(void *arg, const char *kind, json_t *body, ad_appended_fn appended,
       void *ticket)
{
    Log *log = static_cast<Daemon *>(arg)->log;
    log->appends++;
    if (log->fault == kUnreachable) {
        return St_Fail(ST_UNAVAILABLE, "the log is out of reach: wait");
    }
    char *text = json_dumps(body, JSON_COMPACT);
    if (log->fault == kNone || log->fault == kResponseLost) {
        log->records.push_back(text);
    }
    free(text);
    enum st_status status = log->fault == kNone         ? ST_OK
                            : log->fault == kNotWritten ? ST_UNAVAILABLE
                                                        : ST_UNKNOWN;
    log->pending.push_back({appended, ticket, status});
    return ST_OK;
}

json_t *
status(void *arg)
{
    return json_pack("{s:s}", "node", "n1");
}

char *
metrics(void *arg)
{
    return strdup("requests_total 7\n");
}

bool
ready(void *arg, const char **why)
{
    *why = "the configuration is not read yet";
    return static_cast<Daemon *>(arg)->ready;
}

const struct ad_ops kOps = {sections, append, status, metrics, ready};

struct Call {
    int code = 0;
    std::string body;
    int *open_calls = nullptr;
};

void
on_done(void *arg, struct hc_call *call, const struct hc_result *result)
{
    auto *c = static_cast<Call *>(arg);
    size_t len;
    const char *body = Hc_Body(call, &len);
    c->code = result->code;
    c->body.assign(body != nullptr ? body : "", len);
    --*c->open_calls;
}

const struct hc_ops kClientOps = {nullptr, nullptr, on_done};

class Admin : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ASSERT_EQ(ST_OK, Lp_Create(&loop));
        bootstrap = digest("first");
        for (Daemon &daemon : daemons) {
            daemon.log = &log;
            ASSERT_EQ(ST_OK, Sc_Create(&daemon.state));
            struct ad_options options = {};
            options.address = "127.0.0.1";
            options.bootstrap_digest = bootstrap.c_str();
            options.verdict_usec = 300000;
            options.ops = &kOps;
            options.arg = &daemon;
            ASSERT_EQ(ST_OK, Ad_Create(loop, &options, &daemon.admin));
            log.daemons.push_back(&daemon);
        }
        timer = Lp_TimerCreate(loop, tick, this);
        Lp_TimerSet(timer, kTickUsec);
    }

    void
    TearDown() override
    {
        Lp_TimerDestroy(timer);
        for (Daemon &daemon : daemons) {
            Ad_Stop(daemon.admin);
        }
        Lp_Destroy(loop);
        for (Daemon &daemon : daemons) {
            Ad_Destroy(daemon.admin);
            Sc_Destroy(daemon.state);
        }
    }

    static void
    tick(void *arg)
    {
        auto *self = static_cast<Admin *>(arg);
        self->ticks++;
        std::vector<Pending> ended;
        ended.swap(self->log.pending);
        for (const Pending &pending : ended) {
            pending.appended(pending.ticket, pending.status);
        }
        if (!self->log.paused) {
            self->Read();
        }
        Lp_TimerSet(self->timer, kTickUsec);
    }

    void
    Read()
    {
        for (Daemon &daemon : daemons) {
            for (uint64_t at = Sc_Offset(daemon.state);
                 at < log.records.size(); at++) {
                ASSERT_EQ(ST_OK, Sc_Apply(daemon.state, at + 1,
                                          log.records[at].c_str()));
            }
            Ad_AnswerVerdicts(daemon.admin);
        }
    }

    void
    Start(Call *call, int daemon, const char *method, const std::string &path,
          const std::string &key, const std::string &body)
    {
        std::string bearer = "Bearer " + key;
        struct web_header header = {"authorization", bearer.c_str()};
        struct hc_request request = {};
        request.address = "127.0.0.1";
        request.port = Ad_Port(daemons[daemon].admin);
        request.method = method;
        request.path = path.c_str();
        request.headers = &header;
        request.header_count = key.empty() ? 0 : 1;
        request.type = body.empty() ? nullptr : "application/json";
        request.body = body.data();
        request.body_len = body.size();
        request.total_usec = 20 * 1000000;
        call->open_calls = &open_calls;
        open_calls++;
        ASSERT_EQ(ST_OK, Hc_Start(loop, &request, &kClientOps, call, nullptr));
    }

    Call
    Do(int daemon, const char *method, const std::string &path,
       const std::string &key, const std::string &body = "")
    {
        Call call;
        Start(&call, daemon, method, path, key, body);
        Run();
        return call;
    }

    void
    Serve()
    {
        ASSERT_GE(lws_service(Lp_Context(loop), 0), 0);
    }

    void
    Run()
    {
        for (ticks = 0; open_calls > 0 && ticks < kTicksMax;) {
            Serve();
        }
        ASSERT_EQ(0, open_calls);
    }

    void
    WaitForAppends(int count)
    {
        for (ticks = 0; log.appends < count && ticks < kTicksMax;) {
            Serve();
        }
        ASSERT_EQ(count, log.appends);
    }

    struct lp_loop *loop = nullptr;
    struct lp_timer *timer = nullptr;
    std::string bootstrap;
    Log log;
    Daemon daemons[2];
    int open_calls = 0;
    int ticks = 0;
    Call pending_call; /* must outlive the loop */
};

std::string
platform()
{
    return R"({"teams":{"derwent":{"role":"editor","key_digest":")" +
           digest("d") + R"("},"nakashima":{"role":"viewer","key_digest":")" +
           digest("n") + R"("},"ops":{"role":"operator","key_digest":")" +
           digest("o") + R"("}}})";
}

std::string
change(uint64_t base, const std::string &body, const std::string &id = "")
{
    std::string text = R"({"base":)" + std::to_string(base);
    text += id.empty() ? "" : R"(,"id":")" + id + "\"";
    return text + R"(,"body":)" + body + "}";
}

std::string
customer(const std::string &name)
{
    return R"({"customers":{")" + name + R"(":{"key_digest":")" +
           digest(name) + R"("}}})";
}

const char kDerwent[] = "/admin/v1/sections/team/derwent";
const char kPlatform[] = "/admin/v1/sections/platform";

class WithTeams : public Admin {
  protected:
    void
    SetUp() override
    {
        Admin::SetUp();
        Call call = Do(0, "PUT", kPlatform, "first", change(0, platform()));
        ASSERT_EQ(200, call.code) << call.body;
        call = Do(1, "PUT", kDerwent, "d", change(0, customer("clubs")));
        ASSERT_EQ(200, call.code) << call.body;
        log.appends = 0;
    }
};

TEST_F(Admin, PublicPathsNeedNoKey)
{
    EXPECT_EQ(200, Do(0, "GET", "/healthz", "").code);
    EXPECT_EQ("requests_total 7\n", Do(0, "GET", "/metrics", "").body);
    EXPECT_EQ(200, Do(0, "GET", "/readyz", "").code);
    daemons[0].ready = false;
    Call call = Do(0, "GET", "/readyz", "");
    EXPECT_EQ(503, call.code);
    EXPECT_EQ("the configuration is not read yet", call.body);
}

TEST_F(WithTeams, BootstrapKeyIsInvalidOnceThereAreTeams)
{
    Call call = Do(0, "PUT", kPlatform, "first", change(1, platform()));
    EXPECT_EQ(401, call.code);
    EXPECT_EQ(401, Do(0, "GET", "/admin/v1/config", "first").code);
    EXPECT_EQ(0, log.appends);
}

/*
 * Guards against a wrong 401 for a change that is in force: the response to
 * the first publish is lost, and the retry uses a bootstrap key that the
 * change itself has made invalid.
 */
TEST_F(Admin, BootstrapKeyGetsTheVerdictOnItsOwnChange)
{
    std::string body = change(0, platform(), "first-of-all");
    log.paused = true;
    EXPECT_EQ(504, Do(0, "PUT", kPlatform, "first", body).code);
    log.paused = false;
    Read();
    Call again = Do(1, "PUT", kPlatform, "first", body);
    EXPECT_EQ(200, again.code) << again.body;
    EXPECT_EQ(401, Do(1, "PUT", kDerwent, "first", body).code);
    EXPECT_EQ(401, Do(1, "GET", kPlatform, "first").code);
    EXPECT_EQ(1, log.appends);
}

struct ErrorCase {
    const char *method;
    const char *path;
    const char *key;
    const char *body;
    int code;
    const char *remedy;
};

const ErrorCase kErrorCases[] = {
    {"GET", "/admin/v1/status", "", "", 401, "CORNELGATE_ADMIN_KEY"},
    {"GET", "/admin/v1/status", "wrong", "", 401, "CORNELGATE_ADMIN_KEY"},
    {"GET", "/admin/v1/other", "d", "", 404, "INTERFACES"},
    {"POST", "/admin/v1/status", "d", "{}", 405, "GET"},
    {"POST", kDerwent, "d", "{}", 405, "PUT"},
    {"GET", "/admin/v1/sections/team/derwent", "n", "", 403, "key"},
    {"GET", "/admin/v1/sections/team/ops", "o", "", 404, "base 0"},
    {"PUT", kDerwent, "n", R"({"base":2,"body":{}})", 403, "ask"},
    {"PUT", kPlatform, "d", R"({"base":1,"body":{}})", 403, "ask"},
    {"PUT", kDerwent, "d", "nonsense", 400, "write {"},
    {"PUT", kDerwent, "d", R"({"body":{}})", 400, "write {"},
    {"PUT", kDerwent, "d", R"({"base":"2","body":{}})", 400, "write {"},
    {"PUT", kDerwent, "d", R"({"base":2,"body":[]})", 400, "write {"},
    {"PUT", kDerwent, "d", R"({"base":2,"id":"","body":{}})", 400, "write {"},
    {"PUT", kDerwent, "d", R"({"base":1,"body":{}})", 409, "cornelctl diff"},
    {"PATCH", kDerwent, "d",
     R"({"base":2,"body":{"customers":{"clubs":{"weight":0}}}})", 400,
     "give a share"},
    {"PATCH", "/admin/v1/sections/nowhere", "o", R"({"base":0,"body":{}})",
     400, "team/NAME"},
};

TEST_F(WithTeams, ErrorsHaveATypeAndNameTheRemedy)
{
    for (const ErrorCase &row : kErrorCases) {
        Call call = Do(0, row.method, row.path, row.key, row.body);
        EXPECT_EQ(row.code, call.code) << row.path << row.body << call.body;
        EXPECT_NE(std::string::npos, call.body.find(row.remedy)) << call.body;
        EXPECT_NE(std::string::npos, call.body.find("\"type\"")) << call.body;
    }
    EXPECT_EQ(0, log.appends);
    std::string large = R"({"note":")" + std::string(64900, 'x') + "\"}";
    EXPECT_EQ(400, Do(0, "PUT", kDerwent, "d", change(2, large)).code);
    large = R"({"note":")" + std::string(70000, 'x') + "\"}";
    EXPECT_EQ(413, Do(0, "PUT", kDerwent, "d", change(2, large)).code);
    EXPECT_EQ(0, log.appends);
}

TEST_F(WithTeams, TeamsSeeTheirOwnSections)
{
    std::string mine = Do(0, "GET", "/admin/v1/config", "d").body;
    EXPECT_NE(std::string::npos, mine.find("team/derwent")) << mine;
    EXPECT_EQ(std::string::npos, mine.find("platform")) << mine;
    std::string all = Do(0, "GET", "/admin/v1/config", "o").body;
    EXPECT_NE(std::string::npos, all.find("platform")) << all;
    std::string one = Do(1, "GET", kDerwent, "d").body;
    EXPECT_NE(std::string::npos, one.find("\"offset\":2")) << one;
    EXPECT_EQ("{\"node\":\"n1\"}", Do(0, "GET", "/admin/v1/status", "n").body);
}

/*
 * Guards against a lost update: two operators change the same section at two
 * daemons at the same time.  Both bases are current, so both daemons append,
 * and the order of the log decides.  One operator must get 200, the other 409
 * with the remedy.
 */
TEST_F(WithTeams, RaceHasOneWinnerAndOneRemedy)
{
    log.paused = true;
    Call calls[2];
    Start(&calls[0], 0, "PATCH", kDerwent, "d", change(2, customer("a")));
    Start(&calls[1], 1, "PATCH", kDerwent, "o", change(2, customer("b")));
    WaitForAppends(2);
    log.paused = false;
    Run();
    const Call &won = calls[0].code == 200 ? calls[0] : calls[1];
    const Call &lost = calls[0].code == 200 ? calls[1] : calls[0];
    EXPECT_EQ(200, won.code);
    EXPECT_EQ("{\"section\":\"team/derwent\",\"offset\":3}", won.body);
    EXPECT_EQ(409, lost.code);
    EXPECT_NE(std::string::npos, lost.body.find("another change came first"));
    EXPECT_NE(std::string::npos, lost.body.find("then publish again"));
    EXPECT_EQ(2U, Sc_Config(daemons[0].state)->customer_count);
}

/*
 * Guards against a failure reported for a change that is in force: the append
 * takes effect and its response is lost.  The verdict must come from the log.
 */
TEST_F(WithTeams, VerdictIsReadFromTheLogAfterALostResponse)
{
    log.fault = kResponseLost;
    Call call = Do(0, "PATCH", kDerwent, "d", change(2, customer("a")));
    EXPECT_EQ(200, call.code) << call.body;
    EXPECT_EQ(3U, Sc_SectionOffset(daemons[1].state, "team/derwent"));
}

TEST_F(WithTeams, FailedAppendIsReported)
{
    for (Fault fault : {kNotWritten, kUnreachable}) {
        log.fault = fault;
        Call call = Do(0, "PATCH", kDerwent, "d", change(2, customer("a")));
        EXPECT_EQ(503, call.code) << call.body;
        EXPECT_NE(std::string::npos, call.body.find("unavailable"));
    }
}

/*
 * Guards against a change that takes effect twice.  The response to the append
 * is lost and the log cannot be read for a while, so the operator gets
 * "unknown" and retries the change with the same id at another daemon.  The
 * retry must get the verdict on the first append.
 */
TEST_F(WithTeams, RepeatedChangeTakesEffectOnce)
{
    log.fault = kResponseLost;
    log.paused = true;
    std::string body = change(2, customer("a"), "intent-7");
    Call call = Do(0, "PATCH", kDerwent, "d", body);
    EXPECT_EQ(504, call.code);
    EXPECT_NE(std::string::npos, call.body.find("\"unknown\""));
    EXPECT_NE(std::string::npos, call.body.find("intent-7"));
    Call again;
    Start(&again, 1, "PATCH", kDerwent, "d", body);
    WaitForAppends(2);
    log.paused = false;
    Run();
    EXPECT_EQ(200, again.code) << again.body;
    EXPECT_EQ("{\"section\":\"team/derwent\",\"offset\":3}", again.body);
    Call third = Do(0, "PATCH", kDerwent, "d", body);
    EXPECT_EQ(again.body, third.body);
    EXPECT_EQ(2, log.appends);
    EXPECT_EQ(3U, Sc_SectionOffset(daemons[0].state, "team/derwent"));
    Call stray = Do(0, "PUT", "/admin/v1/sections/team/ops", "o",
                    change(0, "{}", "intent-7"));
    EXPECT_EQ(400, stray.code);
    EXPECT_EQ(403, Do(0, "PATCH", kDerwent, "n", body).code);
}

/*
 * Guards against a false conflict: a daemon that lags behind does not know the
 * current base of a change, and must leave the decision to the log.
 */
TEST_F(WithTeams, LaggingDaemonLeavesTheDecisionToTheLog)
{
    ASSERT_EQ(200,
              Do(0, "PATCH", kDerwent, "d", change(2, customer("a"))).code);
    log.paused = true;
    log.records.push_back(R"({"kind":"patch","section":"team/derwent",
        "base":3,"author":"derwent","body":{}})");
    Call call;
    Start(&call, 1, "PATCH", kDerwent, "d", change(4, customer("b")));
    WaitForAppends(2);
    log.paused = false;
    Run();
    EXPECT_EQ(200, call.code) << call.body;
}

/*
 * Guards against a crash when the append of a change ends after its caller has
 * closed the connection.
 */
TEST_F(WithTeams, CallerMayLeaveBeforeTheVerdict)
{
    log.paused = true;
    Call call;
    std::string body = change(2, customer("a"));
    struct web_header header = {"authorization", "Bearer d"};
    struct hc_request request = {};
    request.address = "127.0.0.1";
    request.port = Ad_Port(daemons[0].admin);
    request.method = "PATCH";
    request.path = kDerwent;
    request.headers = &header;
    request.header_count = 1;
    request.type = "application/json";
    request.body = body.data();
    request.body_len = body.size();
    struct hc_call *started;
    call.open_calls = &open_calls;
    ASSERT_EQ(ST_OK, Hc_Start(loop, &request, &kClientOps, &call, &started));
    WaitForAppends(1);
    Hc_Cancel(started);
    for (ticks = 0; ticks < kTicksMax; Serve()) {
        if (Ad_OpenRequests(daemons[0].admin) == 0) {
            break;
        }
    }
    log.paused = false;
    EXPECT_EQ(200, Do(0, "GET", "/healthz", "").code);
    Read();
    EXPECT_EQ(3U, Sc_SectionOffset(daemons[0].state, "team/derwent"));
}

/* Guards against a leak of a change that is pending at the stop. */
TEST_F(WithTeams, StopDropsPendingChanges)
{
    log.paused = true;
    Start(&pending_call, 0, "PATCH", kDerwent, "d", change(2, customer("a")));
    WaitForAppends(1);
    log.pending.clear();
    Ad_Stop(daemons[0].admin);
}

} // namespace
