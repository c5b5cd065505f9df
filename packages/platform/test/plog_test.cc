#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "platform/plog.h"
#include "platform/test/fake_log.h"
#include "web/loop.h"
#include "web/server.h"

namespace {

const int kClosedPort = 1;

/*
 * A log service with one prepared answer.  With code 0 it closes the
 * connection without an answer, with code -1 it never answers.
 */
struct LogService {
    struct lp_loop *loop = nullptr;
    struct hs_server *server = nullptr;
    struct pl_log *log = nullptr;
    int code = 0;
    std::string answer;
    std::string path;
    unsigned long long from = 0;
    std::string body;
    struct pl_append append = {};
    struct pl_read read = {};
    std::vector<std::string> texts;
    int done = 0;
};

void
on_request(void *arg, struct hs_request *request)
{
    auto *s = static_cast<LogService *>(arg);
    size_t len;
    const char *body = Hs_Body(request, &len);
    char from[32] = "";
    Hs_Query(request, "from", from, sizeof(from));
    s->path = Hs_Path(request);
    s->from = strtoull(from, nullptr, 10);
    s->body.assign(body != nullptr ? body : "", len);
    if (s->code > 0) {
        Hs_Reply(request, s->code, "application/json", nullptr, 0,
                 s->answer.data(), s->answer.size());
    }
    else if (s->code == 0) {
        Hs_Abort(request);
    }
}

void
on_gone(void *, struct hs_request *)
{
}

const struct hs_ops kOps = {on_request, on_gone, nullptr};

void
on_append(void *arg, const struct pl_append *result)
{
    auto *s = static_cast<LogService *>(arg);
    s->append = *result;
    s->done++;
    Lp_Stop(s->loop);
}

void
on_read(void *arg, const struct pl_read *result)
{
    auto *s = static_cast<LogService *>(arg);
    s->read = *result;
    for (size_t i = 0; i < result->count; i++) {
        s->texts.push_back(std::to_string(result->records[i].offset) + ":" +
                           result->records[i].text);
    }
    s->done++;
    Lp_Stop(s->loop);
}

class Plog : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        Open(0);
    }

    void
    TearDown() override
    {
        Pl_HttpDestroy(s.log);
        s.log = nullptr;
        Lp_Destroy(s.loop);
        Hs_Destroy(s.server);
    }

    /* A port of 0 connects to the service. */
    void
    Open(int port, int64_t timeout_usec = 0)
    {
        ASSERT_EQ(ST_OK, Lp_Create(&s.loop));
        struct hs_options options = {};
        options.address = "127.0.0.1";
        options.body_max = 1 << 20;
        options.ops = &kOps;
        options.arg = &s;
        ASSERT_EQ(ST_OK, Hs_Create(s.loop, &options, &s.server));
        struct pl_http_options log = {"127.0.0.1",
                                      port != 0 ? port : Hs_Port(s.server),
                                      timeout_usec, timeout_usec};
        ASSERT_EQ(ST_OK, Pl_HttpCreate(s.loop, &log, &s.log));
    }

    /* Runs the loop until the call ends; a loop can run only once. */
    void
    Serve()
    {
        Lp_Run(s.loop);
        TearDown();
        Open(0);
    }

    enum pl_append_kind
    Append(int code, const std::string &answer)
    {
        s.code = code;
        s.answer = answer;
        const char *texts[] = {"a\"1", "b"};
        EXPECT_EQ(ST_OK, Pl_Append(s.log, "control", texts, 2, on_append, &s));
        Serve();
        return s.append.kind;
    }

    enum pl_read_kind
    Read(int code, const std::string &answer)
    {
        s.code = code;
        s.answer = answer;
        EXPECT_EQ(ST_OK, Pl_Read(s.log, "control", 7, 10, on_read, &s));
        Serve();
        return s.read.kind;
    }

    LogService s;
};

/*
 * Guards against a ticket that is charged twice: an append whose answer was
 * lost was treated as not written.  Only an append that is certainly not
 * written may be reported as PL_REFUSED.
 */
TEST_F(Plog, AppendIsRefusedOnlyIfCertainlyNotWritten)
{
    struct {
        int code;
        const char *answer;
        enum pl_append_kind kind;
    } table[] = {
        {200, R"({"offset":5,"count":2,"new":1})", PL_WRITTEN},
        {200, R"({"offset":)", PL_UNKNOWN},
        {200, "{}", PL_UNKNOWN},
        {400, "{}", PL_REFUSED},
        {413, "{}", PL_REFUSED},
        {429, "{}", PL_REFUSED},
        {503, "{}", PL_REFUSED},
        {500, "{}", PL_UNKNOWN},
        {502, "{}", PL_UNKNOWN},
        {0, "", PL_UNKNOWN},
    };
    for (const auto &row : table) {
        EXPECT_EQ(row.kind, Append(row.code, row.answer)) << row.code;
        EXPECT_EQ("/log/v1/control/append", s.path);
        EXPECT_EQ(R"({"records":["a\"1","b"]})", s.body);
    }
    TearDown();
    Open(0, 20000);
    EXPECT_EQ(PL_UNKNOWN, Append(-1, ""));
    TearDown();
    Open(kClosedPort);
    EXPECT_EQ(PL_REFUSED, Append(200, ""));
}

TEST_F(Plog, ReadsRecordsAndReportsExpiredRanges)
{
    EXPECT_EQ(PL_READ, Read(200, R"({"oldest":2,"next":9,"records":[
        {"offset":7,"data":"x","more":1},{"offset":8,"data":"y"}]})"));
    EXPECT_EQ((std::vector<std::string>{"7:x", "8:y"}), s.texts);
    EXPECT_EQ("/log/v1/control/read", s.path);
    EXPECT_EQ(7u, s.from);
    EXPECT_EQ(9u, s.read.next);
    EXPECT_EQ(PL_EXPIRED, Read(410, R"({"oldest":12,"next":30})"));
    EXPECT_EQ(12u, s.read.oldest);
    EXPECT_EQ(PL_FAILED, Read(503, "{}"));
    EXPECT_EQ(PL_FAILED, Read(200, "nonsense"));
    EXPECT_EQ(PL_FAILED, Read(0, ""));
    TearDown();
    Open(kClosedPort);
    EXPECT_EQ(PL_FAILED, Read(200, ""));
}

TEST_F(Plog, RefusesARecordThatIsTooLarge)
{
    std::string large(Pl_RECORD_MAX + 1, 'x');
    const char *texts[] = {large.c_str()};
    EXPECT_EQ(ST_INVALID,
              Pl_Append(s.log, "control", texts, 1, on_append, &s));
}

TEST_F(Plog, DestroyFailsPendingCalls)
{
    s.code = -1;
    const char *texts[] = {"a"};
    ASSERT_EQ(ST_OK, Pl_Append(s.log, "control", texts, 1, on_append, &s));
    ASSERT_EQ(ST_OK, Pl_Read(s.log, "control", 1, 1, on_read, &s));
    Pl_HttpDestroy(s.log);
    s.log = nullptr;
    EXPECT_EQ(2, s.done);
    EXPECT_EQ(PL_UNKNOWN, s.append.kind);
    EXPECT_EQ(PL_FAILED, s.read.kind);
}

} // namespace
