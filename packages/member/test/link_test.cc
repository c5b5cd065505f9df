#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "member/link.h"
#include "member/test/loop_util.h"

namespace {

const int64_t kMsec = Ck_USEC_PER_MSEC;
const int64_t kLong = 100 * Ck_USEC_PER_SEC;

struct Outcome {
    int count = 0;
    struct lk_result result = {};
    std::string payload;
};

void
on_done(void *arg, const struct lk_result *result)
{
    auto *outcome = static_cast<Outcome *>(arg);
    outcome->count++;
    outcome->result = *result;
    outcome->payload.assign(static_cast<const char *>(result->payload),
                            result->len);
}

class Link : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ASSERT_EQ(ST_OK, Lp_Create(&loop));
        runner = new Runner(loop);
        a = Make("a", "secret");
        b = Make("b", "secret");
        Lk_SetHandler(b, "echo", OnEcho, this);
        Lk_SetHandler(b, "hold", OnHold, this);
    }

    void
    TearDown() override
    {
        Lk_Destroy(a);
        Lk_Destroy(b);
        delete runner;
        Lp_Destroy(loop);
    }

    struct lk_links *
    Make(const char *node, const char *key, int64_t idle_usec = 0)
    {
        struct lk_options options = {};
        options.node = node;
        options.address = "127.0.0.1";
        options.cluster_key = key;
        options.clock = Ck_System();
        options.idle_usec = idle_usec;
        struct lk_links *links = nullptr;
        EXPECT_EQ(ST_OK, Lk_Create(loop, &options, &links));
        return links;
    }

    static void
    OnEcho(void *arg, struct lk_request *request)
    {
        auto *test = static_cast<Link *>(arg);
        test->handled++;
        test->from = Lk_From(request);
        size_t len;
        const void *payload = Lk_Payload(request, &len);
        Lk_Reply(request, ST_OK, payload, len);
    }

    static void
    OnHold(void *arg, struct lk_request *request)
    {
        auto *test = static_cast<Link *>(arg);
        test->handled++;
        test->held.push_back(request);
    }

    enum st_status
    Call(struct lk_links *links, uint16_t port, const char *type,
         const std::string &payload, Outcome *outcome, int64_t timeout = kLong)
    {
        struct mb_endpoint to = {"127.0.0.1", port};
        return Lk_Call(links, &to, type, payload.data(), payload.size(),
                       timeout, on_done, outcome, nullptr);
    }

    struct lp_loop *loop = nullptr;
    Runner *runner = nullptr;
    struct lk_links *a = nullptr;
    struct lk_links *b = nullptr;
    int handled = 0;
    std::string from;
    std::vector<struct lk_request *> held;
};

TEST_F(Link, CarriesRequestsAndAnswersOverOneConnection)
{
    std::vector<Outcome> outcomes(200);
    for (size_t i = 0; i < outcomes.size(); i++) {
        ASSERT_EQ(ST_OK, Call(a, Lk_Port(b), "echo", std::to_string(i),
                              &outcomes[i]));
        EXPECT_EQ(0, outcomes[i].count);
    }
    ASSERT_TRUE(runner->Until([&] { return outcomes.back().count == 1; }));
    for (size_t i = 0; i < outcomes.size(); i++) {
        EXPECT_EQ(ST_OK, outcomes[i].result.status);
        EXPECT_TRUE(outcomes[i].result.answered);
        EXPECT_EQ(std::to_string(i), outcomes[i].payload);
    }
    EXPECT_EQ("a", from);
    EXPECT_EQ(1U, Lk_Connections(a));
}

TEST_F(Link, CarriesTheLargestPayloadAndRefusesALarger)
{
    Outcome outcome;
    std::string large(Lk_PAYLOAD_MAX, 'x');
    EXPECT_EQ(ST_INVALID, Call(a, Lk_Port(b), "echo", large + "x", &outcome));
    ASSERT_EQ(ST_OK, Call(a, Lk_Port(b), "echo", large, &outcome));
    ASSERT_TRUE(runner->Until([&] { return outcome.count == 1; }));
    EXPECT_EQ(large, outcome.payload);
}

TEST_F(Link, AnswersComeInAnyOrder)
{
    Outcome first;
    Outcome second;
    Call(a, Lk_Port(b), "hold", "1", &first);
    Call(a, Lk_Port(b), "hold", "2", &second);
    ASSERT_TRUE(runner->Until([&] { return held.size() == 2; }));
    Lk_Reply(held[1], ST_CONFLICT, "two", 3);
    ASSERT_TRUE(runner->Until([&] { return second.count == 1; }));
    EXPECT_EQ(ST_CONFLICT, second.result.status);
    EXPECT_TRUE(second.result.answered);
    EXPECT_EQ("two", second.payload);
    EXPECT_EQ(0, first.count);
    Lk_Reply(held[0], ST_OK, "one", 3);
    ASSERT_TRUE(runner->Until([&] { return first.count == 1; }));
    EXPECT_EQ("one", first.payload);
}

TEST_F(Link, UnknownTypeIsAnswered)
{
    Outcome outcome;
    Call(a, Lk_Port(b), "nothing", "", &outcome);
    ASSERT_TRUE(runner->Until([&] { return outcome.count == 1; }));
    EXPECT_EQ(ST_NOT_FOUND, outcome.result.status);
    EXPECT_TRUE(outcome.result.answered);
}

TEST_F(Link, RefusedConnectionMeansNotSent)
{
    Outcome outcome;
    uint16_t port;
    int fd = raw_socket(SOCK_STREAM, &port);
    close(fd);
    ASSERT_EQ(ST_OK, Call(a, port, "echo", "charge", &outcome));
    ASSERT_TRUE(runner->Until([&] { return outcome.count == 1; }));
    EXPECT_EQ(ST_UNAVAILABLE, outcome.result.status);
    EXPECT_FALSE(outcome.result.maybe_sent);
}

/*
 * Guards against a charge being made twice: the caller gets "not run" and
 * retries, although the peer received the request before it failed.  The end
 * of that connection looks the same as that of one on which nothing was sent.
 */
TEST_F(Link, LostAnswerMeansMaybeSent)
{
    Outcome outcome;
    Outcome late;
    Call(a, Lk_Port(b), "hold", "charge", &outcome);
    Call(a, Lk_Port(b), "hold", "charge", &late, 300 * kMsec);
    ASSERT_TRUE(runner->Until([&] { return late.count == 1; }));
    EXPECT_EQ(ST_TIMEOUT, late.result.status);
    EXPECT_TRUE(late.result.maybe_sent);
    Lk_Destroy(b);
    b = nullptr;
    ASSERT_TRUE(runner->Until([&] { return outcome.count == 1; }));
    EXPECT_EQ(ST_UNAVAILABLE, outcome.result.status);
    EXPECT_TRUE(outcome.result.maybe_sent);
}

/*
 * Guards against a request running a minute after the caller got "not run":
 * the kernel accepted the connection of a stopped peer, the call timed out
 * with its frame still queued, and the frame was sent when the peer continued.
 */
TEST_F(Link, FrameThatTimedOutUnsentIsNeverSent)
{
    uint16_t port;
    int listener = raw_socket(SOCK_STREAM, &port);
    Outcome outcome;
    ASSERT_EQ(ST_OK, Call(a, port, "echo", "charge", &outcome, 200 * kMsec));
    ASSERT_TRUE(runner->Until([&] { return outcome.count == 1; }));
    EXPECT_EQ(ST_TIMEOUT, outcome.result.status);
    EXPECT_FALSE(outcome.result.maybe_sent);
    /* The stopped peer continues: its bytes are forwarded to a real node. */
    int accepted = -1;
    ASSERT_TRUE(runner->Until([&] {
        accepted = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
        return accepted >= 0;
    }));
    int forward_fd = raw_connect(Lk_Port(b));
    Outcome other;
    Call(a, port, "echo", "other", &other);
    ASSERT_TRUE(runner->Until([&] {
        char bytes[4096];
        ssize_t len = recv(accepted, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (len > 0) {
            send(forward_fd, bytes, len, 0);
        }
        len = recv(forward_fd, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (len > 0) {
            send(accepted, bytes, len, 0);
        }
        return other.count == 1;
    }));
    EXPECT_EQ("other", other.payload);
    EXPECT_EQ(1, handled);
    close(accepted);
    close(forward_fd);
    close(listener);
}

TEST_F(Link, FullQueueRejectsCalls)
{
    uint16_t port;
    int listener = raw_socket(SOCK_STREAM, &port); /* never sends a hello */
    Outcome outcome;
    enum st_status status = ST_OK;
    int queued = 0;
    while (status == ST_OK && queued < 100000) {
        status = Call(a, port, "echo", "x", &outcome);
        queued++;
    }
    EXPECT_EQ(ST_OVERLOAD, status);
    close(listener);
    ASSERT_TRUE(runner->Until([&] { return outcome.count == queued - 1; }));
    EXPECT_FALSE(outcome.result.maybe_sent);
}

TEST_F(Link, WrongKeyIsDenied)
{
    struct lk_links *stranger = Make("stranger", "guess");
    Outcome outcome;
    Call(stranger, Lk_Port(b), "echo", "x", &outcome);
    ASSERT_TRUE(runner->Until([&] { return outcome.count == 1; }));
    EXPECT_EQ(ST_UNAVAILABLE, outcome.result.status);
    EXPECT_FALSE(outcome.result.maybe_sent);
    EXPECT_EQ(0, handled);
    /* Either side may detect the mismatch first. */
    EXPECT_GE(Lk_Counters(b)->denied + Lk_Counters(stranger)->denied, 1U);
    Lk_Destroy(stranger);
}

/*
 * Guards against an order being executed twice: an attacker on the network
 * records the bytes of a connection and replays them on a new one.
 */
TEST_F(Link, ReplayedConnectionIsDenied)
{
    uint16_t port;
    int listener = raw_socket(SOCK_STREAM, &port);
    int forward_fd = raw_connect(Lk_Port(b));
    int accepted = -1;
    std::string recorded;
    Outcome outcome;
    Call(a, port, "echo", "order", &outcome);
    ASSERT_TRUE(runner->Until([&] {
        char bytes[4096];
        if (accepted < 0) {
            accepted = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
        }
        ssize_t len = recv(accepted, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (len > 0) {
            recorded.append(bytes, len);
            send(forward_fd, bytes, len, 0);
        }
        len = recv(forward_fd, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (len > 0) {
            send(accepted, bytes, len, 0);
        }
        return outcome.count == 1;
    }));
    ASSERT_EQ(1, handled);
    int replay = raw_connect(Lk_Port(b));
    send(replay, recorded.data(), recorded.size(), 0);
    char byte[4096];
    EXPECT_TRUE(runner->Until([&] {
        return recv(replay, byte, sizeof(byte), MSG_DONTWAIT) == 0 ||
               errno == ECONNRESET;
    }));
    EXPECT_EQ(1, handled);
    EXPECT_EQ(1U, Lk_Counters(b)->denied);
    for (int fd : {listener, forward_fd, accepted, replay}) {
        close(fd);
    }
}

TEST_F(Link, GarbageIsDenied)
{
    const std::string cases[] = {
        std::string("\xff\xff\xff\xff", 4) + std::string(100, 'x'),
        std::string("\0\0\0\x08", 4) + std::string(24, 'x'),
        std::string("\0\0\0\0", 4) + std::string(16, 'x'),
        "GET / HTTP/1.1\r\n\r\n",
    };
    size_t denied = 0;
    for (const std::string &bytes : cases) {
        int fd = raw_connect(Lk_Port(b));
        send(fd, bytes.data(), bytes.size(), 0);
        denied++;
        EXPECT_TRUE(
            runner->Until([&] { return Lk_Counters(b)->denied == denied; }));
        close(fd);
    }
    Outcome outcome;
    Call(a, Lk_Port(b), "echo", "x", &outcome);
    EXPECT_TRUE(runner->Until([&] { return outcome.count == 1; }));
    EXPECT_EQ(ST_OK, outcome.result.status);
}

TEST_F(Link, IdleConnectionsAreClosed)
{
    struct lk_links *brief = Make("brief", "secret", 100 * kMsec);
    Outcome outcome;
    Call(brief, Lk_Port(b), "echo", "x", &outcome);
    ASSERT_TRUE(runner->Until([&] { return outcome.count == 1; }));
    EXPECT_TRUE(runner->Until([&] { return Lk_Connections(brief) == 0; }));
    EXPECT_TRUE(runner->Until([&] { return Lk_Connections(b) == 0; }));
    Call(brief, Lk_Port(b), "echo", "x", &outcome);
    ASSERT_TRUE(runner->Until([&] { return outcome.count == 2; }));
    Lk_Destroy(brief);
}

TEST_F(Link, CancelledCallHasNoResult)
{
    Outcome outcome;
    struct mb_endpoint to = {"127.0.0.1", Lk_Port(b)};
    struct lk_call *call;
    ASSERT_EQ(ST_OK, Lk_Call(a, &to, "hold", "x", 1, kLong, on_done, &outcome,
                             &call));
    ASSERT_TRUE(runner->Until([&] { return held.size() == 1; }));
    Lk_Cancel(call);
    Lk_Reply(held[0], ST_OK, nullptr, 0);
    Outcome other;
    Call(a, Lk_Port(b), "echo", "x", &other);
    ASSERT_TRUE(runner->Until([&] { return other.count == 1; }));
    EXPECT_EQ(0, outcome.count);
}

} // namespace
