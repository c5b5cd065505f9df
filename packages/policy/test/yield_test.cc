#include "policy/yield.h"

#include <gtest/gtest.h>

#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"

namespace {

const int64_t kMs = Ck_USEC_PER_MSEC;
const int64_t kSecond = Ck_USEC_PER_SEC;
const int64_t kNow = 1000 * kSecond;
const size_t kKb = 1024;
const size_t kMb = 1024 * kKb;

yd_holder
Holder(yd_phase phase, size_t bytes, int64_t age)
{
    yd_holder holder = {};
    holder.phase = phase;
    holder.bytes = bytes;
    holder.since = kNow - age;
    holder.moved_at = holder.since;
    return holder;
}

TEST(YieldBound, LeavesMemoryAndDescriptorsForTheProcess)
{
    yd_bound bound = Yd_Bound(160 * (int64_t)kMb, 4100);
    EXPECT_EQ(60 * kMb, bound.bytes);
    EXPECT_EQ(2050u, bound.connections);
}

// Guards against whole large requests that leave no room for small ones.
TEST(YieldBound, KeepsAPartForSmallRequests)
{
    yd_bound bound = {8 * kMb, 100};
    EXPECT_TRUE(Yd_Fits(&bound, 7 * kMb, kMb));
    EXPECT_FALSE(Yd_Fits(&bound, 7 * kMb + 1, kMb));
    EXPECT_TRUE(Yd_Fits(&bound, 8 * kMb, 64 * kKb));
    EXPECT_FALSE(Yd_Fits(&bound, 8 * kMb + 1, 64 * kKb));
}

// Guards against a request that is kept for ever by a byte now and then.
TEST(YieldBytes, AByteNowAndThenMovesNothing)
{
    yd_holder holder = Holder(YD_READING, kMb, 10 * kSecond);
    for (int i = 0; i < 100; i++) {
        Yd_NoteReceived(&holder, 1, kNow - kSecond);
    }
    EXPECT_EQ(kNow - 10 * kSecond, holder.moved_at);
    Yd_NoteReceived(&holder, 16 * kKb, kNow - kSecond);
    EXPECT_EQ(kNow - kSecond, holder.moved_at);
}

TEST(YieldBytes, LargePartsThatStandStillGoBeforeSmallAndMovingOnes)
{
    yd_holder old = Holder(YD_READING, kMb, 10 * kSecond);
    yd_holder young = Holder(YD_READING, kMb, kSecond);
    yd_holder small = Holder(YD_READING, kKb, kSecond);
    EXPECT_GT(Yd_RankBytes(&old, kNow), Yd_RankBytes(&young, kNow));
    EXPECT_GT(Yd_RankBytes(&young, kNow), Yd_RankBytes(&small, kNow));
}

// Guards against a request that has run, or may run, and is refused as not
// run.
TEST(YieldBytes, AWholeRequestDoesNotYield)
{
    yd_holder whole = Holder(YD_SERVING, 4 * kMb, 10 * kSecond);
    EXPECT_LT(Yd_RankBytes(&whole, kNow), 0);
    EXPECT_LT(Yd_RankConnection(&whole, kNow), 0);
}

TEST(YieldBytes, AnAnswerThatIsNotReadYields)
{
    yd_holder unread = Holder(YD_SERVING, 4 * kMb, 10 * kSecond);
    unread.unread = kMb;
    unread.unread_at = kNow - 2 * kSecond;
    yd_holder moving = unread;
    moving.unread_at = kNow - kMs;
    EXPECT_GT(Yd_RankBytes(&unread, kNow), Yd_RankBytes(&moving, kNow));
    EXPECT_GE(Yd_RankBytes(&moving, kNow), 0);
}

// Guards against whole answers that nobody reads and that leave no room for
// requests: no request is under way on their connections.
TEST(YieldBytes, AnAnswerLeftOnAnIdleConnectionYields)
{
    yd_holder left = Holder(YD_IDLE, kMb, kSecond);
    EXPECT_LT(Yd_RankBytes(&left, kNow), 0);
    left.unread = kMb;
    left.unread_at = kNow - kSecond;
    EXPECT_GE(Yd_RankBytes(&left, kNow), 0);
}

// Guards against clients in order that lose the connections which they keep,
// while others that never asked stay.
TEST(YieldConnection, WhoNeverCompletedARequestGoesBeforeKeptConnections)
{
    yd_holder ending = Holder(YD_ENDING, 0, kMs);
    yd_holder silent = Holder(YD_IDLE, 0, kSecond);
    yd_holder part = Holder(YD_READING, kKb, kSecond);
    yd_holder kept = Holder(YD_IDLE, 0, 60 * kSecond);
    kept.served = true;
    yd_holder fresh = Holder(YD_IDLE, 0, 10 * kMs);
    EXPECT_GT(Yd_RankConnection(&ending, kNow),
              Yd_RankConnection(&silent, kNow));
    EXPECT_GT(Yd_RankConnection(&part, kNow), Yd_RankConnection(&kept, kNow));
    EXPECT_GT(Yd_RankConnection(&silent, kNow),
              Yd_RankConnection(&kept, kNow));
    EXPECT_GT(Yd_RankConnection(&kept, kNow), Yd_RankConnection(&fresh, kNow));
    EXPECT_GE(Yd_RankConnection(&fresh, kNow), 0);
}

// The ways weighed, beside the product's.
double
NobodyYields(const yd_holder *, int64_t)
{
    return -1;
}

double
LargestYields(const yd_holder *holder, int64_t)
{
    return holder->phase == YD_READING ? (double)holder->bytes : -1;
}

double
BytesByTimeYield(const yd_holder *holder, int64_t now)
{
    return holder->phase == YD_READING
               ? (double)holder->bytes * (double)(now - holder->since)
               : -1;
}

double
LongestStillYields(const yd_holder *holder, int64_t now)
{
    return holder->phase == YD_READING ? (double)(now - holder->moved_at) : -1;
}

double
OldestYields(const yd_holder *holder, int64_t now)
{
    return holder->phase == YD_READING ? (double)(now - holder->since) : -1;
}

struct Way {
    const char *name;
    yd_rank_fn rank;
};

const Way kWays[] = {
    {"newest is refused", NobodyYields},
    {"largest yields", LargestYields},
    {"oldest yields", OldestYields},
    {"most bytes by time yield", BytesByTimeYield},
    {"longest still yields", LongestStillYields},
    {"longest still, large first, yields", Yd_RankBytes},
};

// A crowd that comes at once, and again for each that had to yield.
struct Crowd {
    const char *name;
    size_t clients;
    size_t bytes; // sent at once
    size_t then;  // and a second, until 98% of "most"
    size_t most;
    int64_t back_usec; // until one that yielded is there again
};

const Crowd kCrowds[] = {
    {"stalled, 4 MB", 100, 4 * kMb, 0, 4 * kMb, 2 * kSecond},
    {"stalled, 64 KB", 1900, 64 * kKb, 0, 64 * kKb, 2 * kSecond},
    {"a byte a second", 100, kMb, 1, 4 * kMb, 2 * kSecond},
    {"coming in", 300, 64 * kKb, 400 * kKb, 4 * kMb, 2 * kSecond},
};

enum Kind { kRogue, kSmall, kLarge };

struct Client {
    yd_holder holder;
    Kind kind;
    size_t rate; // bytes a second
    size_t most;
};

struct Counts {
    int asked = 0;
    int served = 0;
};

struct Outcome {
    Counts small;
    Counts large;
};

// Callers in order beside a crowd: small requests in two parts, 20 ms apart,
// and large ones that take a second.
class Model {
  public:
    Model(const Crowd &crowd, yd_rank_fn rank, unsigned seed)
        : crowd_(crowd), rank_(rank), random_(seed)
    {
    }

    Outcome
    Run()
    {
        std::vector<int64_t> back(crowd_.clients, kNow);
        std::bernoulli_distribution small(0.5);
        std::bernoulli_distribution large(0.02);
        for (now_ = kNow; now_ < kNow + 20 * kSecond; now_ += kStep) {
            for (int64_t &at : back) {
                if (at <= now_) {
                    at = INT64_MAX;
                    Begin(kRogue, crowd_.bytes, crowd_.then, crowd_.most);
                }
            }
            if (small(random_)) {
                Begin(kSmall, 2 * kKb, 100 * kKb, 4 * kKb);
            }
            if (large(random_)) {
                Begin(kLarge, 64 * kKb, 2 * kMb, 2 * kMb);
            }
            Move();
            for (int64_t &at : back) {
                if (yielded_ > 0 && at == INT64_MAX) {
                    at = now_ + crowd_.back_usec;
                    yielded_--;
                }
            }
        }
        return outcome_;
    }

  private:
    static const int64_t kStep = 10 * kMs;

    Counts &
    CountsOf(Kind kind)
    {
        return kind == kLarge ? outcome_.large : outcome_.small;
    }

    // Makes room for a client's bytes; false when it has to give up itself.
    bool
    MakeRoom(size_t own, size_t more, size_t self)
    {
        while (!Yd_Fits(&bound_, all_ + more, own + more)) {
            size_t first = clients_.size();
            double most = -1;
            for (size_t i = 0; i < clients_.size(); i++) {
                double rank = clients_[i].holder.bytes == 0
                                  ? -1
                                  : rank_(&clients_[i].holder, now_);
                if (rank >= 0 && rank > most) {
                    most = rank;
                    first = i;
                }
            }
            if (first == clients_.size() || first == self) {
                return false;
            }
            End(first);
        }
        return true;
    }

    // The slot of a client that ended is taken by a later one.
    void
    End(size_t i)
    {
        all_ -= clients_[i].holder.bytes;
        clients_[i].holder.bytes = 0;
        yielded_ += clients_[i].kind == kRogue;
    }

    void
    Begin(Kind kind, size_t bytes, size_t rate, size_t most)
    {
        if (kind != kRogue) {
            CountsOf(kind).asked++;
        }
        if (!MakeRoom(0, bytes, clients_.size())) {
            yielded_ += kind == kRogue;
            return;
        }
        all_ += bytes;
        Client client = {};
        client.holder.phase = YD_READING;
        client.holder.bytes = bytes;
        client.holder.since = now_;
        client.holder.moved_at = now_;
        client.kind = kind;
        client.rate = rate;
        client.most = most;
        size_t slot = 0;
        while (slot < clients_.size() && clients_[slot].holder.bytes > 0) {
            slot++;
        }
        if (slot == clients_.size()) {
            clients_.push_back(client);
        }
        else {
            clients_[slot] = client;
        }
    }

    void
    Move()
    {
        for (size_t i = 0; i < clients_.size(); i++) {
            Client &client = clients_[i];
            size_t more = client.rate * kStep / kSecond;
            size_t last =
                client.kind == kRogue ? client.most * 98 / 100 : client.most;
            if (client.holder.bytes == 0 || client.holder.bytes >= last) {
                continue;
            }
            if (!MakeRoom(client.holder.bytes, more, i)) {
                End(i);
                continue;
            }
            client.holder.bytes += more;
            Yd_NoteReceived(&client.holder, more, now_);
            all_ += more;
            if (client.kind != kRogue && client.holder.bytes >= last) {
                CountsOf(client.kind).served++;
                all_ -= client.holder.bytes;
                client.holder.bytes = 0;
            }
        }
    }

    const Crowd &crowd_;
    yd_rank_fn rank_;
    std::mt19937 random_;
    yd_bound bound_ = Yd_Bound(160 * (int64_t)kMb, 4100);
    std::vector<Client> clients_;
    size_t all_ = 0;
    size_t yielded_ = 0;
    int64_t now_ = 0;
    Outcome outcome_;
};

double
Share(const Counts &counts)
{
    return counts.asked == 0 ? 1 : (double)counts.served / counts.asked;
}

// The same crowds and seeds for each way; printed for docs/design/overload.md.
TEST(YieldModel, CallersInOrderAreServedBesideEachCrowd)
{
    for (const Crowd &crowd : kCrowds) {
        double refusing = 0;
        for (const Way &way : kWays) {
            Outcome sum;
            for (unsigned seed = 1; seed <= 3; seed++) {
                Outcome one = Model(crowd, way.rank, seed).Run();
                sum.small.asked += one.small.asked;
                sum.small.served += one.small.served;
                sum.large.asked += one.large.asked;
                sum.large.served += one.large.served;
            }
            std::cout << crowd.name << ", " << way.name << ": small "
                      << Share(sum.small) << ", large " << Share(sum.large)
                      << std::endl;
            if (way.rank == NobodyYields) {
                refusing = Share(sum.large);
            }
            if (way.rank == Yd_RankBytes) {
                EXPECT_GE(Share(sum.small), 0.999) << crowd.name;
                EXPECT_GE(Share(sum.large), refusing) << crowd.name;
            }
        }
    }
}

} // namespace
