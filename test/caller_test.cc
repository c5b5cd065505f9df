// What callers send that they should not: each such request gets a typed
// refusal or a closed connection, runs nowhere, and leaves the daemon whole.
#include <gtest/gtest.h>
#include <netinet/tcp.h>

#include <algorithm>

#include "test/raw.h"
#include "test/scene.h"

namespace {

using cg::HttpCall;
using cg::HttpResult;
using cg::Raw;
using cg::RawAnswer;
using cg::Socket;

const char kAuth[] = "authorization: Bearer key-of-the-customer\r\n";
const int kClosed = 0;
// The HTTP library's own answer to a first line that it cannot read.
const int kUnreadable = 403;

// One request and the codes that may answer it.
struct BadCase {
    const char *name;
    std::string bytes;
    std::vector<int> codes;
    bool half_close = false; // nothing more will come
};

std::string
Head(const std::string &line, const std::string &headers)
{
    return line + "\r\nhost: x\r\n" + kAuth + headers + "\r\n";
}

std::string
Charge(const std::string &headers, const std::string &body)
{
    return Head("POST /charge/seat HTTP/1.1", headers) + body;
}

std::string
Ask(const std::string &body, const std::string &headers = "")
{
    return Head("POST /v1/completions HTTP/1.1",
                "content-length: " + std::to_string(body.size()) + "\r\n" +
                    headers) +
           body;
}

std::string
Fill(size_t len)
{
    return std::string(len, 'a');
}

std::string
ManyHeaders(int count)
{
    std::string out;
    for (int i = 0; i < count; i++) {
        out += "x-filler-" + std::to_string(i) + ": 1\r\n";
    }
    return out;
}

std::vector<BadCase>
LengthCases()
{
    return {
        {"no length", Charge("", "{}"), {411}},
        {"two lengths",
         Charge("content-length: 2\r\ncontent-length: 4\r\n", "{}{}"),
         {400}},
        {"the same length twice",
         Charge("content-length: 2\r\ncontent-length: 2\r\n", "{}"),
         {400}},
        {"list of lengths", Charge("content-length: 2, 2\r\n", "{}"), {400}},
        {"negative", Charge("content-length: -1\r\n", "{}"), {400}},
        {"signed", Charge("content-length: +2\r\n", "{}"), {400}},
        {"no number", Charge("content-length: two\r\n", "{}"), {400}},
        {"hexadecimal", Charge("content-length: 0x2\r\n", "{}"), {400}},
        {"overflow",
         Charge("content-length: 18446744073709551618\r\n", "{}"),
         {400}},
        {"too large", Charge("content-length: 2000000\r\n", "{}"), {413}},
        {"length and chunks",
         Charge("content-length: 5\r\ntransfer-encoding: chunked\r\n",
                "0\r\n\r\n"),
         {411}},
        {"chunks and length",
         Charge("transfer-encoding: chunked\r\ncontent-length: 5\r\n",
                "0\r\n\r\n"),
         {411}},
        {"chunks",
         Charge("transfer-encoding: chunked\r\n", "2\r\n{}\r\n0"),
         {411}},
        {"bad chunks",
         Charge("transfer-encoding: chunked\r\n", "zz\r\n"),
         {411}},
        {"unknown coding",
         Charge("transfer-encoding: identity, chunked\r\n", ""),
         {411}},
        {"folded coding",
         Charge("content-length: 2\r\ntransfer-encoding:\r\n chunked\r\n",
                "{}"),
         {400, 411, kClosed}},
        {"space before the colon",
         Charge("content-length: 2\r\ntransfer-encoding : chunked\r\n", "{}"),
         {400, 411, kClosed}},
        {"body cut short",
         Charge("content-length: 9\r\n", "{}"),
         {kClosed},
         true},
    };
}

std::vector<BadCase>
HeaderCases()
{
    std::string length = "content-length: 2\r\n";
    return {
        {"empty key", Charge(length + "idempotency-key: \r\n", "{}"), {400}},
        {"empty key without a space",
         Charge(length + "idempotency-key:\r\n", "{}"),
         {400}},
        {"key of 300 bytes",
         Charge(length + "idempotency-key: " + Fill(300) + "\r\n", "{}"),
         {400}},
        {"key of 3000 bytes",
         Charge(length + "idempotency-key: " + Fill(3000) + "\r\n", "{}"),
         {400}},
        {"deadline no number",
         Charge(length + "cornelgate-deadline-ms: soon\r\n", "{}"),
         {400}},
        {"deadline of 0",
         Charge(length + "cornelgate-deadline-ms: 0\r\n", "{}"),
         {400}},
        {"negative deadline",
         Charge(length + "cornelgate-deadline-ms: -5\r\n", "{}"),
         {400}},
        {"deadline too far",
         Charge(length + "cornelgate-deadline-ms: 99999999999999999999\r\n",
                "{}"),
         {400}},
        {"empty deadline",
         Charge(length + "cornelgate-deadline-ms: \r\n", "{}"),
         {400}},
        {"unknown class",
         Charge(length + "cornelgate-class: rude\r\n", "{}"),
         {400}},
        {"class of 3000 bytes",
         Charge(length + "cornelgate-class: " + Fill(3000) + "\r\n", "{}"),
         {400}},
        {"headers of 20000 bytes",
         Charge(length + "x-long: " + Fill(20000) + "\r\n", "{}"),
         {400, 431, kClosed}},
        {"2000 headers",
         Charge(length + ManyHeaders(2000), "{}"),
         {400, 431, kClosed}},
        {"line without a colon",
         Charge(length + "nonsense\r\n", "{}"),
         {400, kUnreadable, kClosed}},
        {"NUL in the key",
         Charge(length + std::string("idempotency-key: a\0b\r\n", 22), "{}"),
         {400, kUnreadable, kClosed}},
    };
}

std::vector<BadCase>
TargetCases()
{
    std::string length = "content-length: 2\r\n";
    return {
        {"unknown path", Head("GET /nowhere HTTP/1.1", ""), {404}},
        {"path of 3000 bytes",
         Head("GET /seats/" + Fill(3000) + " HTTP/1.1", ""),
         {414}},
        {"path of 30000 bytes",
         Head("GET /seats/" + Fill(30000) + " HTTP/1.1", ""),
         {400, 414, kClosed}},
        {"query of 3000 bytes",
         Head("GET /seats/x?q=" + Fill(3000) + " HTTP/1.1", ""),
         {414}},
        {"NUL in the path",
         Head("GET /seats/a%00b HTTP/1.1", ""),
         {400, kUnreadable, kClosed}},
        {"raw NUL in the path",
         Head(std::string("GET /seats/a\0b HTTP/1.1", 23), ""),
         {400, kUnreadable, kClosed}},
        {"half an escape",
         Head("GET /seats/%4 HTTP/1.1", ""),
         {400, kUnreadable, kClosed}},
        {"no path", Head("GET HTTP/1.1", ""), {400, kUnreadable, kClosed}},
        {"unknown method",
         Head("BREW /charge/seat HTTP/1.1", length) + "{}",
         {405, kUnreadable, kClosed}},
        {"connect",
         Head("CONNECT x:80 HTTP/1.1", ""),
         {405, kUnreadable, kClosed}},
        {"options",
         Head("OPTIONS /charge/seat HTTP/1.1", ""),
         {405, kUnreadable, kClosed}},
        {"absolute form",
         Head("GET http://127.0.0.1/seats/x HTTP/1.1", ""),
         {kUnreadable}},
        {"no HTTP", "what is this\r\n\r\n", {400, kUnreadable, kClosed}},
        {"TLS on the plain port",
         std::string("\x16\x03\x01\x02\x00\x01", 6),
         {400, kUnreadable, kClosed},
         true},
        {"HTTP/2 preface",
         "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
         {405, kUnreadable, kClosed}},
        {"nothing", "", {kClosed}, true},
        {"an end within the headers",
         "GET /seats/x HTTP/1.1\r\nhos",
         {kClosed},
         true},
    };
}

std::vector<BadCase>
BodyCases()
{
    return {
        {"no JSON", Ask("nonsense"), {400}},
        {"empty body", Ask(""), {400}},
        {"JSON of another kind", Ask("[1,2]"), {400}},
        {"no model", Ask(R"({"prompt":"a"})"), {400, 404}},
        {"model no text", Ask(R"({"model":7,"prompt":"a"})"), {400, 404}},
        {"unknown model", Ask(R"({"model":"none","prompt":"a"})"), {404}},
        {"plain service as model",
         Ask(R"({"model":"seats","prompt":"a"})"),
         {404}},
        {"no prompt", Ask(R"({"model":"rink"})"), {400}},
        {"negative max_tokens",
         Ask(R"({"model":"rink","prompt":"a","max_tokens":-4})"),
         {400}},
        {"huge max_tokens",
         Ask(R"({"model":"rink","prompt":"a","max_tokens":9e99})"),
         {400}},
        {"deep JSON", Ask(std::string(100000, '[')), {400}},
        {"not UTF-8",
         Ask("{\"model\":\"rink\",\"prompt\":\"\xff\xfe\"}"),
         {400}},
        {"trailing text",
         Ask(R"({"model":"rink","prompt":"a"} and more)"),
         {400}},
        {"NUL in the prompt",
         Ask(R"({"model":"rink","prompt":"a\u0000b"})"),
         {400}},
        {"GET of a completion",
         Head("GET /v1/completions HTTP/1.1", ""),
         {400, 405}},
    };
}

class Caller : public ::testing::Test {
  protected:
    void
    Start(const std::vector<std::string> &args = {},
          const std::map<std::string, std::string> &env = {})
    {
        scene.AddEngine({"--token-us", "100"});
        scene.AddPlain();
        scene.PublishDefaults();
        cg::DaemonOptions options;
        options.args = args;
        options.env = env;
        scene.cluster.Add(options);
        ASSERT_TRUE(scene.cluster.WaitReady());
    }

    int
    Port()
    {
        return scene.cluster.process(0).Ready("port");
    }

    long long
    Ran()
    {
        return (long long)(scene.plains[0]->Runs().Size() +
                           scene.engines[0]->Runs().Size());
    }

    // The next good requests work.
    void
    ExpectWhole(const char *after)
    {
        SCOPED_TRACE(after);
        ASSERT_TRUE(scene.cluster.process(0).Running());
        EXPECT_EQ(200, cg::Http(scene.Call(0, "GET", "/seats/free")).code);
    }

    void
    Refused(const BadCase &item)
    {
        SCOPED_TRACE(item.name);
        long long before = Ran();
        RawAnswer answer = Raw(Port(), item.bytes, item.half_close);
        EXPECT_TRUE(answer.ended);
        EXPECT_NE(item.codes.end(),
                  std::find(item.codes.begin(), item.codes.end(), answer.code))
            << answer.code << " " << answer.body;
        EXPECT_EQ(before, Ran());
        if (answer.code != kClosed && !answer.body.empty() &&
            answer.body[0] == '{') {
            cg::Json error = cg::Json::Parse(answer.body)["error"];
            EXPECT_NE("", error["type"].Str()) << answer.body;
            EXPECT_NE("", error["message"].Str()) << answer.body;
            EXPECT_EQ("not-run", answer.Header("cornelgate-outcome"));
        }
        ExpectWhole(item.name);
    }

    void
    RefusedAll(const std::vector<BadCase> &cases)
    {
        Start();
        for (const BadCase &item : cases) {
            Refused(item);
        }
        ExpectNothingLeft();
    }

    // A planned stop waits for every request that is still open.
    void
    ExpectNothingLeft()
    {
        scene.cluster.process(0).Term();
        EXPECT_EQ(0, scene.cluster.process(0).WaitExit());
        EXPECT_NE(std::string::npos,
                  scene.cluster.process(0).Stderr().find("forced=0"));
    }

    cg::Scene scene;
};

/*
 * Two servers in a row that disagree where a body ends let a caller hide a
 * second request in the first: somebody else's charge would run under the
 * wrong key. A length must be one number and stand alone.
 */
TEST_F(Caller, LengthsThatAreNotOneNumber)
{
    RefusedAll(LengthCases());
}

/*
 * A caller's library sends a key that is too long, and its charge twice. A
 * daemon that took the key for missing would run both.
 */
TEST_F(Caller, HeadersThatCannotBeMeant)
{
    RefusedAll(HeaderCases());
}

TEST_F(Caller, TargetsThatLeadNowhere)
{
    RefusedAll(TargetCases());
}

TEST_F(Caller, BodiesThatAreNoCompletion)
{
    RefusedAll(BodyCases());
}

/* Keys open accounts; whoever reads the logs must not learn them. */
TEST_F(Caller, KeysStandNowhereInTheLog)
{
    Start({"--log-level", "debug"});
    HttpCall call =
        scene.Call(0, "POST", "/charge/seat", "{}", "secret-intent");
    EXPECT_EQ(200, cg::Http(call).code);
    scene.plains[0]->Fault("{\"mode\":\"reset_after\",\"count\":1}");
    call.headers["idempotency-key"] = "secret-intent-2";
    EXPECT_EQ(502, cg::Http(call).code);
    for (const char *wrong :
         {"Bearer secret-but-wrong", "Basic secret-but-wrong", "Bearer", ""}) {
        call.headers["authorization"] = wrong;
        EXPECT_EQ(401, cg::Http(call).code) << wrong;
    }
    ExpectNothingLeft();
    std::string log = scene.cluster.process(0).Stderr();
    EXPECT_EQ(std::string::npos, log.find("secret"));
    EXPECT_EQ(std::string::npos, log.find("key-of-the-customer"));
}

TEST_F(Caller, OldAndUnusualFormsThatAreFine)
{
    Start();
    std::string length = "content-length: 2\r\n";
    const std::vector<std::string> fine = {
        Head("GET /seats/x HTTP/1.0", ""),
        Head("GET /seats/x HTTP/1.0", "connection: keep-alive\r\n"),
        Head("GET /../seats/x HTTP/1.1", ""),
        Head("GET /seats/./y/../x HTTP/1.1", ""),
        Head("GET /seats/x?a=1&b=%20c HTTP/1.1", ""),
        Head("POST /seats/x HTTP/1.1", length) + "{}",
        Head("POST /seats/x HTTP/1.1", "Content-Length:2\r\n") + "{}",
        Head("DELETE /seats/x HTTP/1.1", ""),
        Head("DELETE /seats/x HTTP/1.1", length) + "{}",
        Head("PUT /seats/x HTTP/1.1", length) + "{}",
        Head("PATCH /seats/x HTTP/1.1", length) + "{}",
        Head("GET /seats/x HTTP/1.1", ManyHeaders(100)),
    };
    for (const std::string &bytes : fine) {
        SCOPED_TRACE(bytes.substr(0, 60));
        EXPECT_EQ(200, Raw(Port(), bytes).code);
    }
    ExpectNothingLeft();
}

/* Each answer of a pipeline belongs to its own request, in order. */
TEST_F(Caller, APipelineIsAnsweredInOrderOrClosed)
{
    Start();
    Socket socket(SOCK_STREAM);
    ASSERT_TRUE(socket.Connect(Port()));
    socket.Send(Head("GET /seats/one HTTP/1.1", "") +
                Head("GET /nowhere HTTP/1.1", "") +
                Head("GET /seats/three HTTP/1.1", ""));
    const int expected[] = {200, 404, 200};
    for (int code : expected) {
        RawAnswer answer = cg::ReadRaw(socket);
        if (answer.code == kClosed) {
            break;
        }
        EXPECT_EQ(code, answer.code) << answer.body;
    }
    ExpectWhole("pipeline");
    ExpectNothingLeft();
}

/*
 * A caller's library adds a second key. The library that reads headers shows
 * the first only, so that one counts, also for the repeat.
 */
TEST_F(Caller, OfTwoKeysTheFirstCounts)
{
    Start();
    std::string twice = "content-length: 2\r\nidempotency-key: a\r\n"
                        "idempotency-key: b\r\n";
    EXPECT_EQ(200, Raw(Port(), Charge(twice, "{}")).code);
    EXPECT_TRUE(cg::Eventually(
        [&] { return Raw(Port(), Charge(twice, "{}")).code == 200; }));
    EXPECT_EQ(1, scene.plains[0]->RunsOfKey("a"));
    EXPECT_EQ(0, scene.plains[0]->RunsOfKey("b"));
    ExpectNothingLeft();
}

/* A refusal must not leave its unread body behind as the next request. */
TEST_F(Caller, ABodyIsNeverReadAsARequest)
{
    Start();
    std::string hidden = Charge("content-length: 2\r\n", "{}");
    const std::vector<std::string> covers = {
        Head("POST /charge/seat HTTP/1.1",
             "transfer-encoding: chunked\r\ncontent-length: 4\r\n"),
        Head("POST /charge/seat HTTP/1.1", "content-length: 9999999\r\n"),
        Head("POST /charge/seat HTTP/1.1", ""),
        Head("GET /charge/" + Fill(2000) + " HTTP/1.1",
             "content-length: 400\r\n"),
    };
    for (const std::string &cover : covers) {
        SCOPED_TRACE(cover.substr(0, 120));
        Socket socket(SOCK_STREAM);
        ASSERT_TRUE(socket.Connect(Port()));
        socket.Send(cover + hidden + hidden);
        RawAnswer first = cg::ReadRaw(socket);
        EXPECT_TRUE(first.code == kClosed || first.code >= 400) << first.code;
        EXPECT_EQ(kClosed, cg::ReadRaw(socket).code);
    }
    EXPECT_EQ(0U, scene.plains[0]->Runs().Size());
    ExpectNothingLeft();
}

TEST_F(Caller, ByteByByteIsFine)
{
    Start();
    std::string bytes = Charge("content-length: 2\r\n", "{}");
    Socket socket(SOCK_STREAM);
    ASSERT_TRUE(socket.Connect(Port()));
    int on = 1;
    setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    for (char byte : bytes) {
        ASSERT_TRUE(socket.Send(std::string(1, byte)));
        usleep(200);
    }
    EXPECT_EQ(200, cg::ReadRaw(socket).code);
    ExpectNothingLeft();
}

/*
 * Phones lose the network in mid-request. What they had begun is thrown
 * away, and the daemon serves on.
 */
TEST_F(Caller, ManyThatBreakOffLeaveNothing)
{
    Start();
    const int kCallers = 200;
    std::string whole = Charge("content-length: 2\r\n", "{}");
    for (int i = 0; i < kCallers; i++) {
        Socket socket(SOCK_STREAM);
        ASSERT_TRUE(socket.Connect(Port()));
        socket.Send(whole.substr(0, whole.size() * (size_t)i / kCallers));
        struct linger reset = {1, 0};
        if (i % 2 == 0) {
            setsockopt(socket.fd(), SOL_SOCKET, SO_LINGER, &reset,
                       sizeof(reset));
        }
    }
    EXPECT_EQ(0U, scene.plains[0]->Runs().Size());
    ExpectWhole("broken off");
    ExpectNothingLeft();
}

/*
 * Callers ask for long answers and do not read them. The daemon must not
 * take the engines' tokens faster than callers take them, or a few such
 * callers fill its memory.
 */
TEST_F(Caller, SlowReadersDoNotFillTheMemory)
{
    const size_t kReaders = 8;
    const long kMostKilobytes = 24000;
    // A sanitizer build keeps freed memory, 256 MB by default, which would be
    // measured in place of what the daemon holds.
    Start({}, {{"ASAN_OPTIONS",
                "quarantine_size_mb=0:thread_local_quarantine_size_kb=0"}});
    std::string body = R"({"model":"rink","stream":true,"prompt":"tokens=)"
                       R"(90000","max_tokens":90000})";
    long before = scene.cluster.process(0).RssKilobytes();
    std::vector<Socket> readers;
    for (size_t i = 0; i < kReaders; i++) {
        readers.emplace_back(SOCK_STREAM);
        int small = 4096;
        setsockopt(readers.back().fd(), SOL_SOCKET, SO_RCVBUF, &small,
                   sizeof(small));
        ASSERT_TRUE(readers.back().Connect(Port()));
        readers.back().Send(Ask(body));
        EXPECT_EQ("HTTP/1.1 200", readers.back().Receive(12));
    }
    for (int i = 0; i < 30; i++) {
        ExpectWhole("slow readers");
        usleep(100000);
    }
    long grown = scene.cluster.process(0).RssKilobytes() - before;
    RecordProperty("grown_kilobytes", std::to_string(grown));
    EXPECT_LT(grown, kMostKilobytes);
    readers.clear();
    EXPECT_TRUE(cg::Eventually([&] {
        return scene.engines[0]->Get("/v1/load").json()["running"].Int() == 0;
    }));
    ExpectWhole("slow readers have gone");
    ExpectNothingLeft();
}

} // namespace
