/* Leases of several hosts over one log with faults. */
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/test/fake_log.h"
#include "state/leases.h"
#include "state/snapshot.h"
#include "state/test/fake_clock.h"

namespace {

const int64_t kTerm = 3 * Ck_USEC_PER_SEC;
const int64_t kOrder = 3 * Ck_USEC_PER_SEC / 2;

/*
 * The newest fencing number that an endpoint received, and when the last order
 * expires.
 */
struct Endpoint {
    uint64_t fence = 0;
    int64_t order_ends = 0;
    std::string by;
    int orders = 0;
    int changes = 0;
};

struct Host {
    FakeLog &log;
    FakeClock &clock;
    struct bg_budget *budget;
    struct wr_writer *writer = nullptr;
    struct sn_replica *replica = nullptr;
    struct le_table *table = nullptr;
    std::string name;

    Host(FakeLog &l, FakeClock &c, const char *n)
        : log(l), clock(c), budget(Bg_Create(&c.clock)), name(n)
    {
        static uint64_t incarnation;
        struct wr_options write = {};
        write.log = &l.log;
        write.stream = "control";
        snprintf(write.self.node, sizeof(write.self.node), "%s", n);
        write.self.incarnation = ++incarnation;
        write.clock = &c.clock;
        write.budget = budget;
        for (int i = 0; i < BG_PURPOSES; i++) {
            Bg_SetRate(budget, (enum bg_purpose)i, 1000, 1000);
        }
        EXPECT_EQ(ST_OK, Wr_Create(&write, &writer));
        struct le_options options = {};
        options.clock = &c.clock;
        options.self = write.self;
        options.writer = writer;
        options.term_usec = kTerm;
        options.margin_usec = kTerm / 10;
        EXPECT_EQ(ST_OK, Le_Create(&options, &table));
        struct sn_options replicate = {};
        replicate.log = &l.log;
        replicate.stream = "control";
        replicate.clock = &c.clock;
        replicate.writer = writer;
        replicate.poll_usec = 100 * Ck_USEC_PER_MSEC;
        replicate.snapshot_records = 20;
        replicate.ops = &kOps;
        replicate.arg = this;
        EXPECT_EQ(ST_OK, Sn_Create(&replicate, &replica));
        Sn_EnableSnapshots(replica, true);
        EXPECT_EQ(ST_OK, Le_Want(table, "fenced", true, 0));
        EXPECT_EQ(ST_OK, Le_Want(table, "plain", true, kOrder));
    }

    ~Host()
    {
        Wr_Destroy(writer);
        Le_Destroy(table);
        Sn_Destroy(replica);
        Bg_Destroy(budget);
    }

    void
    Tick()
    {
        int64_t sent_at = 0;
        bool ready = Sn_AtTail(replica, &sent_at);
        Le_Tick(table, ready, sent_at);
        Wr_Tick(writer);
        Sn_Tick(replica);
    }

    static void
    Reset(void *arg)
    {
        Le_Reset(static_cast<Host *>(arg)->table);
    }

    static void
    Apply(void *arg, const struct rc_record *record)
    {
        Le_Apply(static_cast<Host *>(arg)->table, record);
    }

    static json_t *
    Save(void *arg)
    {
        json_t *list = json_array();
        Le_Save(static_cast<Host *>(arg)->table, list);
        return list;
    }

    static void
    Load(void *arg, const json_t *entry)
    {
        Le_Load(static_cast<Host *>(arg)->table, entry);
    }

    static const struct sn_ops kOps;
};

const struct sn_ops Host::kOps = {Reset, Apply, Save, Load, nullptr};

/*
 * Sends an order if the host may; fails if an older holder acts after a newer
 * one, or while an order of an older holder has not expired.
 */
void
SendOrder(Host &host, const char *job, Endpoint &endpoint)
{
    struct ls_permit permit;
    if (!Le_MayAct(host.table, job, &permit)) {
        return;
    }
    ASSERT_GE(permit.fence, endpoint.fence) << job;
    if (permit.fence > endpoint.fence) {
        ASSERT_LE(endpoint.order_ends, host.clock.boot) << job;
        endpoint.changes++;
    }
    endpoint.fence = permit.fence;
    endpoint.order_ends = host.clock.boot + permit.life_usec;
    endpoint.orders++;
}

/*
 * A host must not send orders after another host took its lease.  The test
 * pauses and restarts hosts, loses answers, takes the log down for longer than
 * the term and reloads state from snapshots.  Fencing numbers of orders must
 * never decrease, and every lease must be held again once the faults end.
 */
TEST(Leases, FencingNumbersOfOrdersNeverDecrease)
{
    Endpoint total;
    for (uint64_t seed = 1; seed <= 400; seed++) {
        FakeLog log;
        FakeClock clock;
        Rn_Seed(&log.random, seed);
        log.lost_rate = 0.2;
        log.refused_rate = 0.1;
        log.short_rate = 0.1;
        std::vector<std::unique_ptr<Host>> hosts;
        for (const char *name : {"a", "b", "c"}) {
            hosts.push_back(std::make_unique<Host>(log, clock, name));
        }
        std::map<std::string, Endpoint> endpoints;
        size_t paused = 0;
        for (int step = 0; step < 1500; step++) {
            if (step == 1200) {
                log.lost_rate = log.refused_rate = log.short_rate = 0;
                log.outage = false;
                paused = hosts.size();
                endpoints["fenced"].orders = endpoints["plain"].orders = 0;
            }
            if (step < 1200 && Rn_Below(&log.random, 80) == 0) {
                paused = Rn_Below(&log.random, 4);
            }
            if (step < 1200 && Rn_Below(&log.random, 200) == 0) {
                log.outage = !log.outage;
            }
            size_t i = Rn_Below(&log.random, 3);
            if (step < 1200 && Rn_Below(&log.random, 300) == 0) {
                std::string name = hosts[i]->name;
                hosts[i] = std::make_unique<Host>(log, clock, name.c_str());
            }
            if (i != paused) {
                hosts[i]->Tick();
                SendOrder(*hosts[i], "fenced", endpoints["fenced"]);
                SendOrder(*hosts[i], "plain", endpoints["plain"]);
            }
            ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
            log.Run((int)Rn_Below(&log.random, 6));
            if (Rn_Below(&log.random, 20) == 0) {
                log.DeliverLate();
            }
            FakeLog::Stream &s = log.streams["control"];
            if (s.records.size() > 150) {
                log.Expire("control", s.Next() - 120);
            }
            clock.Advance((int64_t)Rn_Below(&log.random, 60) *
                          Ck_USEC_PER_MSEC);
        }
        for (const char *job : {"fenced", "plain"}) {
            ASSERT_GT(endpoints[job].orders, 0) << job << " seed " << seed;
            total.changes += endpoints[job].changes;
        }
    }
    EXPECT_GT(total.changes, 1000);
}

/* A planned stop hands over every lease without waiting for a term. */
TEST(Leases, AStoppingHostHandsOverItsLeases)
{
    FakeLog log;
    FakeClock clock;
    Host a(log, clock, "a");
    auto settle = [&](Host &host) {
        for (int i = 0; i < 10; i++) {
            host.Tick();
            log.Run();
            clock.Advance(20 * Ck_USEC_PER_MSEC);
            Sn_ReadNow(host.replica);
            log.Run();
        }
    };
    settle(a);
    EXPECT_EQ(2u, Le_Held(a.table));
    Host b(log, clock, "b");
    settle(b);
    EXPECT_EQ(0u, Le_Held(b.table));
    Le_Want(a.table, "fenced", false, 0);
    settle(a);
    settle(b);
    struct ls_permit permit;
    struct ls_lease lease;
    EXPECT_FALSE(Le_MayAct(a.table, "fenced", &permit));
    EXPECT_TRUE(Le_MayAct(b.table, "fenced", &permit));
    EXPECT_TRUE(Le_Get(a.table, "plain", &lease));
    EXPECT_STREQ("a", lease.holder.node);
    EXPECT_EQ(ST_INVALID, Le_Want(a.table, "", true, 0));
}

} // namespace
