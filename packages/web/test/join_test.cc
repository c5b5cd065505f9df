#include <fcntl.h>
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "test/socket.h"
#include "web/dial.h"
#include "web/join.h"
#include "web/loop.h"
#include "web/through.h"

namespace {

using cg::Socket;

const int64_t kPollUsec = 1000;

// A loop on a thread of its own, until it is told to stop.
class Loop {
  public:
    Loop()
    {
        EXPECT_EQ(Lp_Create(&loop_), ST_OK);
        timer_ = Lp_TimerCreate(loop_, Poll, this);
        Lp_TimerSet(timer_, 0);
    }
    ~Loop()
    {
        Stop();
        Lp_TimerDestroy(timer_);
        Lp_Destroy(loop_);
    }

    struct lp_loop *
    get() const
    {
        return loop_;
    }
    void
    Start()
    {
        thread_ = std::thread([this] { Lp_Run(loop_); });
    }
    void
    Stop()
    {
        stop_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
    }

  private:
    static void
    Poll(void *arg)
    {
        auto *self = static_cast<Loop *>(arg);
        if (self->stop_) {
            Lp_Stop(self->loop_);
            return;
        }
        Lp_TimerSet(self->timer_, kPollUsec);
    }

    struct lp_loop *loop_ = nullptr;
    struct lp_timer *timer_ = nullptr;
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

// Two connections, joined: what the test holds of them are the outer ends.
class Join : public testing::Test {
  protected:
    Join() : near_(SOCK_STREAM), far_(SOCK_STREAM)
    {
        join_ =
            Jn_Create(loop_.get(), Inner(&near_), Inner(&far_), Done, this);
        EXPECT_NE(join_, nullptr);
        loop_.Start();
    }
    ~Join() override
    {
        loop_.Stop();
        if (!done_) {
            Jn_Destroy(join_);
        }
    }

    // The sender gives up without an end in order.
    static void
    Reset(Socket *socket)
    {
        struct linger none = {1, 0};
        setsockopt(socket->fd(), SOL_SOCKET, SO_LINGER, &none, sizeof(none));
        Socket gone(std::move(*socket));
    }

    Loop loop_;
    Socket near_;
    Socket far_;

  private:
    struct sk_sock *
    Inner(Socket *outer)
    {
        Socket listener(SOCK_STREAM);
        EXPECT_TRUE(outer->Connect(listener.Bind(true)));
        Socket accepted = listener.Accept();
        int fd = fcntl(accepted.fd(), F_DUPFD_CLOEXEC, 0);
        fcntl(fd, F_SETFL, O_NONBLOCK);
        struct sk_sock *sock = nullptr;
        EXPECT_EQ(Sk_Adopt(loop_.get(), fd, nullptr, nullptr, &sock), ST_OK);
        return sock;
    }

    static void
    Done(void *arg)
    {
        static_cast<Join *>(arg)->done_ = true;
    }

    struct jn_join *join_ = nullptr;
    std::atomic<bool> done_{false};
};

TEST_F(Join, BytesGoBothWays)
{
    EXPECT_TRUE(near_.Send("ask"));
    EXPECT_EQ(far_.Receive(3), "ask");
    EXPECT_TRUE(far_.Send("answer"));
    EXPECT_EQ(near_.Receive(6), "answer");
}

// The end of an answer without a length is lost, or comes before its bytes.
TEST_F(Join, AnEndInOrderComesBehindAllBytes)
{
    std::string answer(1u << 20, 'x');
    std::thread sender([&] {
        EXPECT_TRUE(far_.Send(answer));
        shutdown(far_.fd(), SHUT_WR);
    });
    EXPECT_EQ(near_.Receive(answer.size() + 1).size(), answer.size());
    sender.join();
    EXPECT_TRUE(near_.ended());
    EXPECT_FALSE(near_.was_reset());
}

// An answer that was reset on its way looks complete to the host that asked.
TEST_F(Join, AResetIsPassedOnAsOne)
{
    EXPECT_TRUE(far_.Send("part"));
    EXPECT_EQ(near_.Receive(4), "part");
    Reset(&far_);
    near_.Receive(1);
    EXPECT_TRUE(near_.was_reset());
}

// An endpoint works on for a host that has given up.
TEST_F(Join, WhoAskedEndsBoth)
{
    EXPECT_TRUE(near_.Send("ask"));
    EXPECT_EQ(far_.Receive(3), "ask");
    {
        Socket gone(std::move(near_));
    }
    far_.Receive(1);
    EXPECT_TRUE(far_.ended() || far_.was_reset());
}

// What a dial came to; a socket of it is closed.
struct Dialed {
    std::atomic<bool> done{false};
    di_result result = {};

    static void
    Take(void *arg, const struct di_result *result)
    {
        auto *self = static_cast<Dialed *>(arg);
        self->result = *result;
        Sk_Close(result->sock);
        self->done = true;
    }

    void
    Wait() const
    {
        for (int i = 0; i < 20000 && !done; i++) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        ASSERT_TRUE(done);
    }
};

di_plan
Plan(int direct, int peer)
{
    di_plan plan = {};
    plan.count = 2;
    plan.patience_usec = 20000;
    snprintf(plan.ways[0].address, sizeof(plan.ways[0].address),
             "127.0.0.1:%d", direct);
    snprintf(plan.ways[1].address, sizeof(plan.ways[1].address),
             "127.0.0.1:%d", peer);
    snprintf(plan.ways[1].target, sizeof(plan.ways[1].target), "i-7");
    return plan;
}

class Dial : public testing::Test {
  protected:
    Dial() : direct_(SOCK_STREAM), peer_(SOCK_STREAM)
    {
    }

    Loop loop_;
    Socket direct_;
    Socket peer_;
    Dialed dialed_;
};

TEST_F(Dial, NobodyElseIsAskedWhereTheFirstWayComes)
{
    di_plan plan = Plan(direct_.Bind(true), peer_.Bind(true));
    ASSERT_NE(Di_Start(loop_.get(), &plan, Dialed::Take, &dialed_), nullptr);
    loop_.Start();
    dialed_.Wait();
    EXPECT_EQ(dialed_.result.ways[0], DI_MADE);
    EXPECT_EQ(dialed_.result.ways[1], DI_UNTRIED);
}

// A peer that does not connect is taken for one that has.
TEST_F(Dial, ThroughAPeerOnlyOnceItSaysSo)
{
    di_plan plan = Plan(direct_.Bind(false), peer_.Bind(true));
    ASSERT_NE(Di_Start(loop_.get(), &plan, Dialed::Take, &dialed_), nullptr);
    loop_.Start();
    Socket asked = peer_.Accept();
    const std::string ask = "CONNECT i-7 HTTP/1.1\r\n\r\n";
    EXPECT_EQ(asked.Receive(ask.size()), ask);
    EXPECT_FALSE(dialed_.done);
    EXPECT_TRUE(asked.Send(Di_MADE));
    dialed_.Wait();
    EXPECT_EQ(dialed_.result.way, 1u);
    EXPECT_EQ(dialed_.result.ways[0], DI_FAILED);
    EXPECT_EQ(dialed_.result.ways[1], DI_MADE);
}

TEST_F(Dial, FailsOnceAllWaysHave)
{
    di_plan plan = Plan(direct_.Bind(false), peer_.Bind(true));
    ASSERT_NE(Di_Start(loop_.get(), &plan, Dialed::Take, &dialed_), nullptr);
    loop_.Start();
    Socket asked = peer_.Accept();
    EXPECT_TRUE(asked.Send(Di_NOT_MADE));
    dialed_.Wait();
    EXPECT_EQ(dialed_.result.sock, nullptr);
    EXPECT_EQ(dialed_.result.ways[1], DI_DECLINED);
}

// Connections made for peers, to one endpoint that is named "i-7".
class Through : public testing::Test {
  protected:
    Through() : endpoint_(SOCK_STREAM), peer_(SOCK_STREAM)
    {
        address_ = "127.0.0.1:" + std::to_string(endpoint_.Bind(true));
        th_options options = {};
        options.loop = loop_.get();
        options.clock = Ck_System();
        options.address = "127.0.0.1:0";
        options.most = 1;
        options.credentials = "daemon:secret";
        options.ops = &kOps;
        options.arg = this;
        EXPECT_EQ(Th_Create(&options, &through_), ST_OK);
        loop_.Start();
        EXPECT_TRUE(peer_.Connect(Th_Port(through_)));
    }
    ~Through() override
    {
        loop_.Stop();
        Th_Destroy(through_);
    }

    // "daemon:secret" in base64, as HTTP's basic authentication has it.
    std::string
    Ask(const std::string &id,
        const std::string &credentials = "ZGFlbW9uOnNlY3JldA==")
    {
        peer_.Send("CONNECT " + id +
                   " HTTP/1.1\r\nProxy-authorization: basic " + credentials +
                   "\r\n\r\n");
        return peer_.Receive(sizeof(Di_MADE) - 1);
    }

    Loop loop_;
    Socket endpoint_;
    Socket peer_;

  private:
    static bool
    Find(void *arg, const char *id, char *address, size_t size)
    {
        auto *self = static_cast<Through *>(arg);
        snprintf(address, size, "%s", self->address_.c_str());
        return std::string(id) == "i-7";
    }

    static void
    Made(void *)
    {
    }

    static constexpr th_ops kOps = {Find, Made};
    std::string address_;
    struct th_through *through_ = nullptr;
};

TEST_F(Through, BytesPassOnceTheConnectionIsThere)
{
    EXPECT_EQ(Ask("i-7"), Di_MADE);
    Socket taken = endpoint_.Accept();
    EXPECT_TRUE(peer_.Send("ask"));
    EXPECT_EQ(taken.Receive(3), "ask");
}

// A daemon becomes a way to any address.
TEST_F(Through, OnlyToEndpointsOfTheList)
{
    EXPECT_EQ(Ask("i-8"), Di_NOT_MADE);
}

// Whoever reaches the port reaches the endpoints behind it.
TEST_F(Through, OnlyForDaemonsOfTheCluster)
{
    EXPECT_EQ(Ask("i-7", "ZGFlbW9uOndyb25n"), Di_NOT_MADE);
}

} // namespace
