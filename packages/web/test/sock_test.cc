#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <atomic>
#include <thread>

#include "base/clock.h"
#include "test/socket.h"
#include "web/loop.h"
#include "web/sock.h"

namespace {

int
Option(int fd, int name)
{
    int value = 0;
    socklen_t len = sizeof(value);
    EXPECT_EQ(getsockopt(fd, IPPROTO_TCP, name, &value, &len), 0);
    return value;
}

// A limit on unacknowledged data ends a silent connection before, or long
// after, its probes would: the limit decides, whatever their count.
TEST(Sock, SilentConnectionsEndWhenTheProbesGiveUp)
{
    struct lp_loop *loop = nullptr;
    ASSERT_EQ(Lp_Create(&loop), ST_OK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    struct sk_sock *sock = nullptr;
    ASSERT_EQ(Sk_Adopt(loop, fd, nullptr, nullptr, &sock), ST_OK);
    int probes = Option(fd, TCP_KEEPIDLE) +
                 Option(fd, TCP_KEEPINTVL) * Option(fd, TCP_KEEPCNT);
    EXPECT_EQ(Option(fd, TCP_USER_TIMEOUT), 1000 * probes);
    Sk_Close(sock);
    Lp_Destroy(loop);
}

// One end of a connection is a sock, the other a plain socket of the test.
class Pair : public testing::Test {
  protected:
    Pair() : far_(SOCK_STREAM)
    {
        EXPECT_EQ(Lp_Create(&loop_), ST_OK);
        cg::Socket listener(SOCK_STREAM);
        EXPECT_TRUE(far_.Connect(listener.Bind(true)));
        cg::Socket accepted = listener.Accept();
        int fd = fcntl(accepted.fd(), F_DUPFD_CLOEXEC, 0);
        fcntl(fd, F_SETFL, O_NONBLOCK);
        EXPECT_EQ(Sk_Adopt(loop_, fd, &kOps, this, &sock_), ST_OK);
    }
    ~Pair() override
    {
        Sk_Close(sock_);
        Lp_Destroy(loop_);
    }

    void
    RunFor(int64_t usec)
    {
        struct lp_timer *timer = Lp_TimerCreate(loop_, Stop, loop_);
        Lp_TimerSet(timer, usec);
        Lp_Run(loop_);
        Lp_TimerDestroy(timer);
    }

    // Stops as soon as "done" is set.
    void
    RunUntil(const std::atomic<bool> &done)
    {
        done_ = &done;
        poll_ = Lp_TimerCreate(loop_, Poll, this);
        Lp_TimerSet(poll_, 0);
        Lp_Run(loop_);
        Lp_TimerDestroy(poll_);
    }

    struct lp_loop *loop_ = nullptr;
    struct sk_sock *sock_ = nullptr;
    cg::Socket far_;
    int ends_ = 0;
    bool clean_ = false;

  private:
    static void
    Stop(void *arg)
    {
        Lp_Stop(static_cast<struct lp_loop *>(arg));
    }

    static void
    Poll(void *arg)
    {
        auto *self = static_cast<Pair *>(arg);
        if (*self->done_) {
            Lp_Stop(self->loop_);
            return;
        }
        Lp_TimerSet(self->poll_, Ck_USEC_PER_MSEC);
    }

    static void
    Data(void *, const char *, size_t)
    {
    }

    static void
    Closed(void *arg, bool clean)
    {
        auto *self = static_cast<Pair *>(arg);
        self->ends_++;
        self->clean_ = clean;
    }

    const std::atomic<bool> *done_ = nullptr;
    struct lp_timer *poll_ = nullptr;
    static constexpr sk_ops kOps = {nullptr, Data, Closed, nullptr, nullptr};
};

// A reset that a write met first is told as an end in order, and the answer
// that it cut passes for whole.
TEST_F(Pair, AResetThatAWriteMetIsNoEndInOrder)
{
    struct linger none = {1, 0};
    setsockopt(far_.fd(), SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    {
        cg::Socket gone(std::move(far_));
    }
    Sk_Write(sock_, "more", 4);
    RunFor(200 * Ck_USEC_PER_MSEC);
    EXPECT_EQ(ends_, 1);
    EXPECT_FALSE(clean_);
}

// What a slow reader has not taken within a second of the end is dropped, and
// the reader sees an end in order.
TEST_F(Pair, ASlowReaderGetsAllThatWasFinished)
{
    const std::string answer(16u << 20, 'x');
    Sk_Write(sock_, answer.data(), answer.size());
    Sk_Finish(sock_);
    sock_ = nullptr;
    std::string got;
    std::atomic<bool> done{false};
    std::thread reader([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        got = far_.Receive(answer.size() + 1);
        done = true;
    });
    RunUntil(done);
    reader.join();
    EXPECT_TRUE(far_.ended());
    EXPECT_EQ(got.size(), answer.size());
}

// One that takes nothing is reset: the rest is lost, and it sees that.
TEST_F(Pair, AReaderThatTakesNothingIsReset)
{
    const std::string answer(16u << 20, 'x');
    Sk_Write(sock_, answer.data(), answer.size());
    Sk_Finish(sock_);
    sock_ = nullptr;
    RunFor(7 * Ck_USEC_PER_SEC);
    far_.Receive(answer.size() + 1);
    EXPECT_TRUE(far_.was_reset());
}

} // namespace
