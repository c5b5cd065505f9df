#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "edge/leader.h"

#include "../../state/test/fake_clock.h"
#include "fake_store.h"

namespace {

constexpr int64_t kLeaseUsec = 3 * Ck_USEC_PER_SEC;
constexpr int64_t kTickUsec = 100 * Ck_USEC_PER_MSEC;

struct Daemon {
    FakeStore::Client *client = nullptr;
    struct lr_lease *lease = nullptr;
    unsigned rank = 0;
};

unsigned
Rank(void *arg)
{
    return static_cast<Daemon *>(arg)->rank;
}

void
Changed(void *arg, bool holder, int64_t fence)
{
    (void)arg;
    (void)holder;
    (void)fence;
}

class Lease : public testing::Test {
  protected:
    Daemon *
    Start(unsigned rank)
    {
        daemons_.push_back(std::make_unique<Daemon>());
        Daemon *daemon = daemons_.back().get();
        daemon->client = store_.AddClient();
        daemon->rank = rank;
        struct lr_options options = {};
        options.clock = &clock_.clock;
        options.store = &daemon->client->base;
        options.name = "daemon";
        options.run = 100 + rank;
        options.lease_usec = kLeaseUsec;
        options.rank = Rank;
        options.changed = Changed;
        options.arg = daemon;
        daemon->lease = Lr_Create(&options);
        return daemon;
    }

    void
    TearDown() override
    {
        for (auto &daemon : daemons_) {
            Lr_Destroy(daemon->lease);
        }
    }

    int
    Holders()
    {
        int holders = 0;
        for (auto &daemon : daemons_) {
            holders += Lr_Holds(daemon->lease);
        }
        return holders;
    }

    void
    Run(int64_t usec, const std::vector<Daemon *> &frozen = {})
    {
        for (int64_t passed = 0; passed < usec; passed += kTickUsec) {
            for (auto &daemon : daemons_) {
                bool is_frozen = false;
                for (auto *other : frozen) {
                    is_frozen |= other == daemon.get();
                }
                if (!is_frozen) {
                    Lr_Tick(daemon->lease);
                }
            }
            store_.Answer();
            clock_.Advance(kTickUsec);
            EXPECT_LE(Holders(), 1);
        }
    }

    // Like Run(), but each daemon's lease notices reach the others.
    void
    RunWithNotices(int64_t usec, const std::vector<Daemon *> &frozen = {})
    {
        for (int64_t passed = 0; passed < usec; passed += kTickUsec) {
            Run(kTickUsec, frozen);
            for (auto &from : daemons_) {
                struct lr_lease_notice notice = Lr_LeaseNotice(from->lease);
                bool is_frozen = false;
                for (auto *other : frozen) {
                    is_frozen |= other == from.get();
                }
                for (auto &to : daemons_) {
                    if (to != from && notice.fence > 0 && !is_frozen) {
                        Lr_HandleNotice(to->lease, &notice);
                    }
                }
            }
        }
    }

    FakeClock clock_;
    FakeStore store_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
};

// Guards against two daemons that report the same window with different
// counts: the first had lost its link to the store, and both believed that
// they held the lease.  The second may acquire it only after the first one's
// lease has ended by the first one's clock.
TEST_F(Lease, ALeaseEndsBeforeTheNextBegins)
{
    Daemon *first = Start(0);
    Daemon *second = Start(1);
    Run(2 * Ck_USEC_PER_SEC);
    ASSERT_TRUE(Lr_Holds(first->lease));
    int64_t fence = Lr_Fence(first->lease);
    first->client->down = true;
    Run(10 * Ck_USEC_PER_SEC);
    EXPECT_FALSE(Lr_Holds(first->lease));
    ASSERT_TRUE(Lr_Holds(second->lease));
    EXPECT_GT(Lr_Fence(second->lease), fence);
}

// Guards against a holder that gives up the lease, or overestimates it, after
// a renewal took effect whose answer was lost.  It finds its own record in the
// log and counts the lease from when it sent it.
TEST_F(Lease, ALostAppendAnswerIsFoundInTheLog)
{
    Daemon *first = Start(0);
    Run(1 * Ck_USEC_PER_SEC);
    ASSERT_TRUE(Lr_Holds(first->lease));
    int64_t fence = Lr_Fence(first->lease);
    first->client->lose_next = true;
    Run(5 * Ck_USEC_PER_SEC);
    EXPECT_TRUE(Lr_Holds(first->lease));
    EXPECT_EQ(Lr_Fence(first->lease), fence);
}

// Guards against a holder that was frozen and acts after its lease has ended,
// so that the platform sees the old fence after a new holder's.
TEST_F(Lease, AFrozenHolderWakesWithoutTheLease)
{
    Daemon *first = Start(0);
    Daemon *second = Start(1);
    Run(2 * Ck_USEC_PER_SEC);
    ASSERT_TRUE(Lr_Holds(first->lease));
    Run(8 * Ck_USEC_PER_SEC, {first});
    EXPECT_TRUE(Lr_Holds(second->lease));
    EXPECT_FALSE(Lr_Holds(first->lease));
    Run(2 * Ck_USEC_PER_SEC);
    EXPECT_TRUE(Lr_Holds(second->lease));
}

// Guards against a successor that waits for a whole lease from its first look
// at the log although the holder had announced the lease's end: for six
// seconds after the holder's death no daemon ordered endpoints.
TEST_F(Lease, ADeadHoldersLeaseEndsAtItsAnnouncedTime)
{
    Daemon *first = Start(0);
    Daemon *second = Start(1);
    RunWithNotices(2 * Ck_USEC_PER_SEC);
    ASSERT_TRUE(Lr_Holds(first->lease));
    RunWithNotices(kLeaseUsec + 800 * Ck_USEC_PER_MSEC, {first});
    EXPECT_TRUE(Lr_Holds(second->lease));
}

// Guards against three seconds without a lease holder after a graceful stop:
// the holder stopped without releasing its lease.
TEST_F(Lease, AStoppingHolderReleasesItsLease)
{
    Daemon *first = Start(0);
    Daemon *second = Start(1);
    RunWithNotices(2 * Ck_USEC_PER_SEC);
    ASSERT_TRUE(Lr_Holds(first->lease));
    for (int tries = 0; Lr_Holds(first->lease); tries++) {
        ASSERT_LT(tries, 10);
        Lr_Release(first->lease);
        RunWithNotices(kTickUsec);
    }
    RunWithNotices(800 * Ck_USEC_PER_MSEC);
    EXPECT_TRUE(Lr_Holds(second->lease));
    RunWithNotices(5 * Ck_USEC_PER_SEC);
    EXPECT_FALSE(Lr_Holds(first->lease));
}

// Guards against two lease holders: a peer took a lease for ended that had
// been renewed after the last notice arrived.
TEST_F(Lease, ARenewalAfterTheLastNoticeCounts)
{
    Daemon *first = Start(0);
    Daemon *second = Start(1);
    RunWithNotices(2 * Ck_USEC_PER_SEC);
    ASSERT_TRUE(Lr_Holds(first->lease));
    Run(10 * Ck_USEC_PER_SEC);
    EXPECT_TRUE(Lr_Holds(first->lease));
    EXPECT_FALSE(Lr_Holds(second->lease));
}

// A renewal that is executed seconds late, after a successor's record, must
// not make the old holder's record the last one.
TEST_F(Lease, ALateRenewalIsRejected)
{
    Daemon *first = Start(0);
    Daemon *second = Start(1);
    Run(2 * Ck_USEC_PER_SEC);
    ASSERT_TRUE(Lr_Holds(first->lease));
    first->client->late_next = true;
    Run(1200 * Ck_USEC_PER_MSEC);
    first->client->down = true;
    Run(10 * Ck_USEC_PER_SEC);
    ASSERT_TRUE(Lr_Holds(second->lease));
    size_t records = store_.Topic(AG_LEASE).size();
    store_.RunLate();
    EXPECT_EQ(store_.Topic(AG_LEASE).size(), records);
}

// Guards against reporting a window's usage twice with different counts: a
// holder died after its report, and its successor added up the counts that it
// had received itself.  Both must report what the log records.
TEST_F(Lease, ASuccessorFindsTheRecordedUsage)
{
    Daemon *first = Start(0);
    Daemon *second = Start(1);
    Run(2 * Ck_USEC_PER_SEC);
    struct lr_usage usage = {};
    usage.window = 77;
    usage.count = 1;
    strcpy(usage.tenants[0].name, "acme");
    usage.tenants[0].count = 41;
    while (!Lr_RecordUsage(first->lease, &usage)) {
        Run(kTickUsec);
    }
    Run(1 * Ck_USEC_PER_SEC);
    ASSERT_NE(Lr_Usage(first->lease, 77), nullptr);
    first->client->down = true;
    Run(10 * Ck_USEC_PER_SEC);
    ASSERT_TRUE(Lr_Holds(second->lease));
    const struct lr_usage *found = Lr_Usage(second->lease, 77);
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(found->count, 1u);
    EXPECT_STREQ(found->tenants[0].name, "acme");
    EXPECT_EQ(found->tenants[0].count, 41u);
    usage.tenants[0].count = 43;
    EXPECT_FALSE(Lr_RecordUsage(second->lease, &usage));
}

// Guards against a new holder that takes the endpoints left after a restart of
// all hosts under load for all that the service needs.
TEST_F(Lease, ASuccessorFindsTheRecordedNeed)
{
    Daemon *first = Start(0);
    Run(2 * Ck_USEC_PER_SEC);
    struct lr_need need = {5, 18, 70000};
    Lr_SetNeed(first->lease, &need);
    Run(2 * Ck_USEC_PER_SEC);
    first->client->down = true;
    Daemon *second = Start(1);
    Run(10 * Ck_USEC_PER_SEC);
    ASSERT_TRUE(Lr_Holds(second->lease));
    const struct lr_need *found = Lr_FindNeed(second->lease, 5);
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(found->endpoints, 18);
    EXPECT_DOUBLE_EQ(found->prefill_rate, 70000);
}

// Guards against hundreds of daemons that start together and all try to
// acquire the lease with three calls each.
TEST_F(Lease, FewDaemonsAppendWhenAllStartTogether)
{
    std::vector<Daemon *> all;
    for (unsigned rank = 0; rank < 20; rank++) {
        all.push_back(Start(rank));
    }
    RunWithNotices(2 * Ck_USEC_PER_SEC);
    EXPECT_EQ(Holders(), 1);
    for (unsigned rank = 1; rank < 20; rank++) {
        EXPECT_LE(all[rank]->client->calls, 2) << rank;
    }
}

// Applies one of the faults at each step, in all sequences of four steps, to
// two daemons whose notices arrive at once, late or not at all.  At no time
// may both hold the lease, and no fence may be used by both.
TEST_F(Lease, NoSequenceOfFaultsMakesTwoHolders)
{
    enum { kFaults = 10, kSteps = 4, kLateTicks = 7 };
    int orders = 1;
    for (int i = 0; i < kSteps; i++) {
        orders *= kFaults;
    }
    for (int order = 0; order < orders; order++) {
        FakeStore store;
        FakeClock clock;
        Daemon pair[2];
        std::set<int64_t> fences[2];
        for (unsigned i = 0; i < 2; i++) {
            pair[i].client = store.AddClient();
            pair[i].rank = i;
            struct lr_options options = {};
            options.clock = &clock.clock;
            options.store = &pair[i].client->base;
            options.name = "daemon";
            options.run = 1 + i;
            options.lease_usec = kLeaseUsec;
            options.rank = Rank;
            options.changed = Changed;
            options.arg = &pair[i];
            pair[i].lease = Lr_Create(&options);
        }
        std::vector<struct lr_lease_notice> notices[2];
        int remaining = order;
        for (int step = 0; step < kSteps; step++) {
            int fault = remaining % kFaults;
            remaining /= kFaults;
            Daemon &victim = pair[fault % 2];
            pair[0].client->down = false;
            pair[1].client->down = false;
            switch (fault / 2) {
            case 0:
                victim.client->down = true;
                break;
            case 1:
                victim.client->lose_next = true;
                break;
            case 2:
                victim.client->late_next = true;
                break;
            case 3:
                Lr_Release(victim.lease);
                break;
            default:
                break; // only its notices are lost
            }
            for (int tick = 0; tick < 40; tick++) {
                for (auto &daemon : pair) {
                    Lr_Tick(daemon.lease);
                }
                if (tick == 25) {
                    store.RunLate();
                }
                for (int i = 0; i < 2; i++) {
                    bool is_victim = &victim == &pair[i];
                    notices[i].push_back(Lr_LeaseNotice(pair[i].lease));
                    size_t delay = is_victim ? kLateTicks : 1;
                    bool is_lost = is_victim && fault / 2 == 4;
                    if (notices[i].size() >= delay && !is_lost) {
                        struct lr_lease_notice notice =
                            notices[i][notices[i].size() - delay];
                        if (notice.fence > 0) {
                            Lr_HandleNotice(pair[1 - i].lease, &notice);
                        }
                    }
                }
                store.Answer();
                clock.Advance(kTickUsec);
                ASSERT_FALSE(Lr_Holds(pair[0].lease) &&
                             Lr_Holds(pair[1].lease))
                    << "order " << order << " step " << step;
                for (int i = 0; i < 2; i++) {
                    if (Lr_Fence(pair[i].lease) != 0) {
                        fences[i].insert(Lr_Fence(pair[i].lease));
                        ASSERT_EQ(fences[1 - i].count(Lr_Fence(pair[i].lease)),
                                  0u)
                            << "order " << order;
                    }
                }
            }
        }
        Lr_Destroy(pair[0].lease);
        Lr_Destroy(pair[1].lease);
    }
}

} // namespace
