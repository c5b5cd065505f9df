// What becomes of connections that come as a server stops listening.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <libwebsockets.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

#include "web/loop.h"
#include "web/serve.h"
#include "web/server.h"

namespace {

// Runs in place of the next shutdown() of this process, before the real one.
std::function<void()> before_shutdown;

void
on_request(void *arg, struct hs_request *request)
{
    Hs_Reply(request, 200, "text/plain", nullptr, 0, "", 0);
}

void
on_gone(void *arg, struct hs_request *request)
{
}

const struct hs_ops kOps = {on_request, on_gone, nullptr};

void
on_served(void *arg, struct sv_request *request)
{
    Sv_Reply(request, 200, "", "", 0);
}

void
on_left(void *arg, struct sv_request *request)
{
}

const struct sv_ops kServeOps = {on_served, on_left, nullptr, nullptr,
                                 nullptr};

const int kStepsMost = 1000;
const int kDescriptorsMost = 1024;

// Lets the loop run for a few milliseconds.
void
Turn(struct lp_loop *loop)
{
    struct lp_timer *timer = Lp_TimerCreate(
        loop, [](void *) {}, nullptr);
    Lp_TimerSet(timer, 5 * Ck_USEC_PER_MSEC);
    lws_service(Lp_Context(loop), 0);
    Lp_TimerDestroy(timer);
}

// Begins a connection; -1 when it could not even begin.
int
BeginConnect(int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    struct sockaddr_in at = {};
    at.sin_family = AF_INET;
    at.sin_port = htons((uint16_t)port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, (struct sockaddr *)&at, sizeof(at)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

// True once the connection is made; false when it is not within "ms".
bool
IsConnected(int fd, int ms)
{
    struct pollfd wait = {fd, POLLOUT, 0};
    return poll(&wait, 1, ms) == 1 && (wait.revents & POLLERR) == 0;
}

class StopListening : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ASSERT_EQ(ST_OK, Lp_Create(&loop));
        struct hs_options options = {};
        options.address = "127.0.0.1";
        options.ops = &kOps;
        ASSERT_EQ(ST_OK, Hs_Create(loop, &options, &server));
        ASSERT_EQ(ST_OK, Sv_Create(loop, Ck_System(), "127.0.0.1:0",
                                   &kServeOps, nullptr, &entry));
    }

    void
    TearDown() override
    {
        before_shutdown = nullptr;
        Sv_Destroy(entry);
        Lp_Destroy(loop);
        Hs_Destroy(server);
    }

    // Takes step after step until "stop" is true, the loop running between.
    struct ls_ending
    End(const std::function<bool(struct ls_ending *)> &stop)
    {
        struct ls_ending ending = {};
        for (int i = 0; i < kStepsMost && !stop(&ending); i++) {
            Turn(loop);
        }
        EXPECT_TRUE(stop(&ending)) << "still listening";
        return ending;
    }

    struct ls_ending
    EndServer()
    {
        return End([this](struct ls_ending *ending) {
            return Hs_StopListening(server, Ck_Now(Ck_System()), ending);
        });
    }

    struct ls_ending
    EndEntry()
    {
        return End([this](struct ls_ending *ending) {
            return Sv_StopListening(entry, ending);
        });
    }

    struct lp_loop *loop = nullptr;
    struct hs_server *server = nullptr;
    struct sv_server *entry = nullptr;
};

/*
 * A caller connects and sends its request; a moment later it is told that
 * the connection was reset, though the daemon was stopped as planned.  The
 * daemon took what waited, was preempted, a connection completed, and then
 * it closed its listening socket with that one still in the queue.
 */
TEST_F(StopListening, NothingConnectsBetweenTheLastAcceptAndTheEnd)
{
    const int kWaitMs = 300;
    bool ran = false;
    bool connected = false;
    before_shutdown = [&] {
        ran = true;
        int fd = BeginConnect(Hs_Port(server));
        connected = fd >= 0 && IsConnected(fd, kWaitMs);
        close(fd);
    };
    EndServer();
    EXPECT_TRUE(ran);
    EXPECT_FALSE(connected) << "connected, and then reset";
}

/*
 * After a release all callers come back to one daemon at once, which is then
 * stopped itself.  More connections wait than it takes at a time; those that
 * were left in the queue would be reset.
 */
TEST_F(StopListening, AllThatConnectedBeforeAreTaken)
{
    const size_t kCallers = 200;
    std::vector<int> callers;
    for (size_t i = 0; i < kCallers; i++) {
        int fd = BeginConnect(Hs_Port(server));
        ASSERT_GE(fd, 0);
        ASSERT_TRUE(IsConnected(fd, 5000));
        callers.push_back(fd);
    }
    EndServer();
    EXPECT_EQ(kCallers, Hs_Fresh(server));
    for (int fd : callers) {
        close(fd);
    }
}

// Guards against callers of the platform's entry hosts that are reset at a
// planned stop, as those of the other server were.
TEST_F(StopListening, NeitherServerResetsWhoComesAtTheEnd)
{
    const size_t kCallers = 200;
    const int kWaitMs = 300;
    std::vector<int> callers;
    for (size_t i = 0; i < kCallers; i++) {
        callers.push_back(BeginConnect(Sv_Port(entry)));
        ASSERT_TRUE(IsConnected(callers.back(), 5000));
    }
    bool ran = false;
    bool connected = false;
    before_shutdown = [&] {
        ran = true;
        int fd = BeginConnect(Sv_Port(entry));
        connected = fd >= 0 && IsConnected(fd, kWaitMs);
        close(fd);
    };
    EXPECT_TRUE(EndEntry().filtered);
    EXPECT_TRUE(ran);
    EXPECT_FALSE(connected) << "connected, and then reset";
    EXPECT_EQ(kCallers, Sv_Connections(entry));
    for (int fd : callers) {
        close(fd);
    }
}

// The listening socket of this process at "port"; -1 without one.
int
ListeningSocket(int port)
{
    for (int fd = 0; fd < kDescriptorsMost; fd++) {
        int listens = 0;
        socklen_t len = sizeof(listens);
        struct sockaddr_in at = {};
        socklen_t at_len = sizeof(at);
        if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &len) == 0 &&
            listens != 0 &&
            getsockname(fd, (struct sockaddr *)&at, &at_len) == 0 &&
            ntohs(at.sin_port) == port) {
            return fd;
        }
    }
    return -1;
}

// Lets only openings through to a listening socket: who connects then has the
// answer to its opening, and its last word is lost.
void
LoseLastWords(int listen_fd)
{
    const unsigned kFlagsOffset = 13;
    struct sock_filter code[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 1, 0),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
    };
    struct sock_fprog filter = {sizeof(code) / sizeof(code[0]), code};
    ASSERT_EQ(0, setsockopt(listen_fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                            sizeof(filter)));
}

// A caller that holds its connection for made while the server does not.
int
HalfOpen(int port)
{
    LoseLastWords(ListeningSocket(port));
    int fd = BeginConnect(port);
    EXPECT_TRUE(IsConnected(fd, 5000));
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    EXPECT_EQ((ssize_t)request.size(),
              send(fd, request.data(), request.size(), MSG_NOSIGNAL));
    return fd;
}

// The first bytes of the answer; empty when the connection is reset.
std::string
Answer(struct lp_loop *loop, int fd)
{
    char buffer[64];
    ssize_t got = -1;
    for (int i = 0; i < kStepsMost && got < 0; i++) {
        Turn(loop);
        got = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (got < 0 && errno != EAGAIN) {
            break;
        }
    }
    close(fd);
    return got > 0 ? std::string(buffer, (size_t)got) : "";
}

// The caller was counted as half open, taken late and answered.
void
ExpectServed(struct lp_loop *loop, int caller, const struct ls_ending &ending)
{
    EXPECT_EQ("HTTP/1.1 200", Answer(loop, caller).substr(0, 12));
    EXPECT_EQ(1, ending.half_open);
    EXPECT_EQ(1u, ending.taken_late);
}

// Guards against a caller reset at a planned stop whose connection was half
// open when the server began to refuse new ones.
TEST_F(StopListening, AHalfOpenConnectionIsServed)
{
    int caller = HalfOpen(Hs_Port(server));
    ExpectServed(loop, caller, EndServer());
}

// Guards against the same at the entry hosts' server.
TEST_F(StopListening, AHalfOpenConnectionIsServedByTheEntryHosts)
{
    int caller = HalfOpen(Sv_Port(entry));
    ExpectServed(loop, caller, EndEntry());
}

// Guards against an end that waits for a caller who never completes, and
// against one that comes while a caller is half open.
TEST(Listening, EndsWhenNobodyIsHalfOpenOrTheyHadTheirTime)
{
    const int64_t kSoon = 100 * Ck_USEC_PER_MSEC;
    EXPECT_FALSE(Ls_MayEnd(0, 0, true));
    EXPECT_TRUE(Ls_MayEnd(kSoon, 0, true));
    EXPECT_FALSE(Ls_MayEnd(kSoon, 1, true));
    EXPECT_FALSE(Ls_MayEnd(kSoon, 0, false));
    EXPECT_FALSE(Ls_MayEnd(kSoon, -1, true)) << "not known";
    EXPECT_TRUE(Ls_MayEnd(Ls_ENDING_MOST, 1, true));
    EXPECT_TRUE(Ls_MayEnd(Ls_ENDING_MOST, -1, false));
}

} // namespace

extern "C" int
shutdown(int fd, int how) noexcept
{
    auto hook = std::move(before_shutdown);
    before_shutdown = nullptr;
    if (hook) {
        hook();
    }
    return (int)syscall(SYS_shutdown, fd, how);
}
