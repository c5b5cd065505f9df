#include "web/ledger.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "web/loop.h"

namespace {

const size_t kKb = 1024;

int64_t fake_now;

void
FakeTime(const struct ck_clock *, struct timespec *now)
{
    now->tv_sec = fake_now / Ck_USEC_PER_SEC;
    now->tv_nsec = fake_now % Ck_USEC_PER_SEC * 1000;
}

const struct ck_ops kClockOps = {FakeTime, FakeTime};
const struct ck_clock kClock = {&kClockOps, nullptr};

class Ledger : public ::testing::Test {
  protected:
    struct Client {
        struct lg_holder holder = {};
        bool lingers = false;    // its first yield only begins its end
        size_t refuses_with = 0; // bytes that it asks for when it yields
        int yields = 0;
    };

    void
    Create(size_t bytes, size_t connections)
    {
        struct lg_options options = {};
        fake_now = 1000 * Ck_USEC_PER_SEC;
        options.clock = &kClock;
        options.bound = {bytes, connections};
        options.yielded = [](void *arg, const struct lg_yield *yield) {
            auto *self = static_cast<Ledger *>(arg);
            self->told_.push_back(std::string(yield->port) + " " +
                                  Lg_WhyName(yield->why));
        };
        options.arg = this;
        ledger_ = Lg_Create(&options);
    }

    ~Ledger() override
    {
        Lg_Destroy(ledger_);
    }

    Client &
    Join(const char *port, enum yd_phase phase, size_t body = 0)
    {
        clients_.push_back(std::make_unique<Client>());
        Client &client = *clients_.back();
        client.holder.port = port;
        client.holder.arg = &client;
        client.holder.yield = [](void *arg, enum lg_why) {
            auto *self = static_cast<Client *>(arg);
            self->yields++;
            if (self->refuses_with > 0) {
                Lg_Set(&self->holder, LG_BODY, 0);
                Lg_MakeRoom(&self->holder, self->refuses_with);
            }
            else if (self->lingers && self->yields == 1) {
                Lg_SetPhase(&self->holder, YD_ENDING);
            }
            else {
                Lg_Leave(&self->holder);
            }
        };
        Lg_Join(ledger_, &client.holder);
        Lg_SetPhase(&client.holder, phase);
        Lg_Set(&client.holder, LG_BODY, body);
        return client;
    }

    struct lg_ledger *ledger_ = nullptr;
    std::vector<std::unique_ptr<Client>> clients_;
    std::vector<std::string> told_;
};

TEST_F(Ledger, CountsByKindAndForgetsWhoLeft)
{
    Create(100 * kKb, 10);
    Client &client = Join("a", YD_READING, 3 * kKb);
    Lg_Set(&client.holder, LG_HEAD, kKb);
    Lg_Set(&client.holder, LG_BODY, 2 * kKb);
    EXPECT_EQ(2 * kKb, Lg_Held(ledger_, LG_BODY));
    EXPECT_EQ(kKb, Lg_Held(ledger_, LG_HEAD));
    Lg_Leave(&client.holder);
    EXPECT_EQ(0u, Lg_Held(ledger_, LG_BODY));
    EXPECT_EQ(0u, Lg_Connections(ledger_));
}

// Guards against descriptors that are all taken, so that nobody else is
// served.
TEST_F(Ledger, AConnectionYieldsForANewOne)
{
    Create(100 * kKb, 2);
    Client &served = Join("a", YD_SERVING);
    Client &idle = Join("a", YD_IDLE);
    EXPECT_TRUE(Lg_TakesConnection(ledger_, "b", -1));
    EXPECT_EQ(0, served.yields);
    EXPECT_EQ(1, idle.yields);
    EXPECT_EQ(std::vector<std::string>{"a descriptors"}, told_);
}

// Guards against a connection that only begins to end and is not closed.
TEST_F(Ledger, AConnectionThatEndsSlowlyIsClosed)
{
    Create(100 * kKb, 1);
    Client &slow = Join("a", YD_READING, kKb);
    slow.lingers = true;
    EXPECT_TRUE(Lg_TakesConnection(ledger_, "b", -1));
    EXPECT_EQ(2, slow.yields);
}

TEST_F(Ledger, NoneIsTakenWhereAllAreServed)
{
    Create(100 * kKb, 1);
    Join("a", YD_SERVING);
    EXPECT_FALSE(Lg_TakesConnection(ledger_, "b", -1));
    EXPECT_EQ(std::vector<std::string>{"b descriptors"}, told_);
}

TEST_F(Ledger, OthersYieldUntilThereIsRoom)
{
    Create(100 * kKb, 10);
    Client &first = Join("a", YD_READING, 48 * kKb);
    Client &second = Join("a", YD_READING, 48 * kKb);
    Client &small = Join("a", YD_READING);
    EXPECT_TRUE(Lg_MakeRoom(&small.holder, 4 * kKb));
    EXPECT_EQ(0, first.yields + second.yields);
    EXPECT_TRUE(Lg_MakeRoom(&small.holder, 5 * kKb));
    EXPECT_EQ(1, first.yields + second.yields);
    EXPECT_EQ(0, small.yields);
}

// Guards against whole requests that are given up, and a bound that is not
// kept for their sake.
TEST_F(Ledger, NoRoomIsMadeByWhatIsServed)
{
    Create(100 * kKb, 10);
    Client &served = Join("a", YD_SERVING, 96 * kKb);
    Client &late = Join("b", YD_READING);
    EXPECT_FALSE(Lg_MakeRoom(&late.holder, 5 * kKb));
    EXPECT_EQ(0, served.yields + late.yields);
    EXPECT_EQ(std::vector<std::string>{"b memory"}, told_);
}

// Guards against a connection that is given up in the midst of its work, for
// the refusal of another one that yielded to it.
TEST_F(Ledger, WhoAsksDoesNotYieldToWhoYieldedToIt)
{
    Create(100 * kKb, 10);
    Client &other = Join("a", YD_READING, 90 * kKb);
    Client &asking = Join("a", YD_READING, 8 * kKb);
    other.refuses_with = 100 * kKb;
    EXPECT_TRUE(Lg_MakeRoom(&asking.holder, 8 * kKb));
    EXPECT_EQ(1, other.yields);
    EXPECT_EQ(0, asking.yields);
}

// Guards against other accounts, such as answers that come in, which count as
// connections of clients.
TEST_F(Ledger, AnAccountWithoutADescriptorIsNoConnection)
{
    Create(100 * kKb, 1);
    struct lg_holder account = {};
    account.fd = -1;
    account.port = "answers";
    Lg_Join(ledger_, &account);
    Lg_SetPhase(&account, YD_SERVING);
    EXPECT_TRUE(Lg_TakesConnection(ledger_, "b", -1));
    Lg_Set(&account, LG_COMING, 100 * kKb);
    EXPECT_FALSE(Lg_MakeRoom(&Join("a", YD_READING).holder, 1));
    Lg_Leave(&account);
}

// Two connected sockets, of which one has sent bytes that nobody has read.
class Queue {
  public:
    explicit Queue(size_t bytes)
    {
        EXPECT_EQ(0, socketpair(AF_UNIX, SOCK_STREAM, 0, ends_));
        std::string text(bytes, 'x');
        EXPECT_EQ((ssize_t)bytes, send(ends_[0], text.data(), bytes, 0));
    }
    ~Queue()
    {
        close(ends_[0]);
        close(ends_[1]);
    }
    int
    reader() const
    {
        return ends_[1];
    }

  private:
    int ends_[2];
};

// Guards against bytes that wait in the queues of connections and are in no
// account, though they are the machine's memory.
TEST_F(Ledger, WhatTheKernelHoldsCountsWhereManyAreOpen)
{
    const size_t queued = 40 * kKb;
    Create(100 * kKb, 7);
    Queue first(queued);
    Queue second(queued);
    Client &one = Join("a", YD_READING, kKb);
    one.holder.fd = first.reader();
    Lg_CountQueues(ledger_);
    EXPECT_EQ(0u, Lg_Held(ledger_, LG_KERNEL));
    Client &two = Join("a", YD_READING, kKb);
    two.holder.fd = second.reader();
    fake_now += Ck_USEC_PER_SEC;
    Lg_CountQueues(ledger_);
    EXPECT_EQ(2 * queued, Lg_Held(ledger_, LG_KERNEL));
    EXPECT_EQ(0, one.yields + two.yields);
}

// The same, where the bound is passed with them.
TEST_F(Ledger, ConnectionsYieldForWhatTheKernelHolds)
{
    const size_t queued = 40 * kKb;
    Create(70 * kKb, 4);
    Queue first(queued);
    Queue second(queued);
    Client &one = Join("a", YD_READING, kKb);
    one.holder.fd = first.reader();
    Client &two = Join("a", YD_READING, kKb);
    two.holder.fd = second.reader();
    Lg_CountQueues(ledger_);
    EXPECT_EQ(1, one.yields + two.yields);
    EXPECT_EQ(queued, Lg_Held(ledger_, LG_KERNEL));
}

// Guards against a machine that allows more descriptors than the loop can
// watch: clients that hold all of these shut the others out.
TEST(LedgerBound, IsWithinWhatTheLoopCanWatch)
{
    const int64_t memory = 1 << 30;
    size_t most = Lp_DescriptorsMax();
    EXPECT_EQ(2050u, Lg_Bound(memory, 4100).connections);
    EXPECT_EQ(most / 2, Lg_Bound(memory, 16 * most).connections);
}

// Where nothing is accounted for, as in stand-ins, all is let in.
TEST_F(Ledger, WithoutALedgerThereIsNoBound)
{
    struct lg_holder holder = {};
    EXPECT_TRUE(Lg_TakesConnection(nullptr, "a", -1));
    Lg_Join(nullptr, &holder);
    Lg_Set(&holder, LG_BODY, kKb);
    EXPECT_TRUE(Lg_MakeRoom(&holder, kKb));
    Lg_Leave(&holder);
}

} // namespace
