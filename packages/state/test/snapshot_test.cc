/* Replicas of a stream that start from snapshots. */
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "platform/test/fake_log.h"
#include "state/snapshot.h"
#include "state/test/fake_clock.h"

namespace {

const char *const kStream = "control";

/* A replica whose state is the list of the values applied. */
struct Replica {
    FakeLog &log;
    FakeClock &clock;
    struct bg_budget *budget;
    struct wr_writer *writer = nullptr;
    struct sn_replica *replica = nullptr;
    std::vector<std::string> state;
    size_t padding = 0; /* bytes added to each snapshot entry */

    Replica(FakeLog &l, FakeClock &c, const char *node, uint64_t records = 0)
        : log(l), clock(c), budget(Bg_Create(&c.clock))
    {
        for (int i = 0; i < BG_PURPOSES; i++) {
            Bg_SetRate(budget, (enum bg_purpose)i, 10000, 10000);
        }
        struct wr_options write = {};
        write.log = &l.log;
        write.stream = kStream;
        snprintf(write.self.node, sizeof(write.self.node), "%s", node);
        static uint64_t incarnation;
        write.self.incarnation = ++incarnation;
        write.clock = &c.clock;
        write.budget = budget;
        EXPECT_EQ(ST_OK, Wr_Create(&write, &writer));
        struct sn_options options = {};
        options.log = &l.log;
        options.stream = kStream;
        options.clock = &c.clock;
        options.writer = writer;
        options.snapshot_records = records;
        options.ops = &kOps;
        options.arg = this;
        EXPECT_EQ(ST_OK, Sn_Create(&options, &replica));
        Sn_EnableSnapshots(replica, records > 0);
    }

    ~Replica()
    {
        Wr_Destroy(writer);
        Sn_Destroy(replica);
        Bg_Destroy(budget);
    }

    void
    Put(const std::string &value)
    {
        EXPECT_EQ(ST_OK, Wr_Put(writer, BG_LEASE, "value",
                                json_pack("{s:s}", "x", value.c_str()), 0,
                                nullptr, nullptr));
    }

    void
    Tick()
    {
        Wr_Tick(writer);
        Sn_Tick(replica);
    }

    void
    Settle(int steps = 20)
    {
        for (int i = 0; i < steps; i++) {
            Tick();
            log.Run();
            Sn_ReadNow(replica);
            log.Run();
            clock.Advance(100 * Ck_USEC_PER_MSEC);
        }
    }

    static void
    Reset(void *arg)
    {
        static_cast<Replica *>(arg)->state.clear();
    }

    static void
    Apply(void *arg, const struct rc_record *record)
    {
        static_cast<Replica *>(arg)->state.push_back(
            Rc_Text(record->body, "x"));
    }

    static json_t *
    Save(void *arg)
    {
        json_t *list = json_array();
        auto *self = static_cast<Replica *>(arg);
        std::string pad(self->padding, 'p');
        for (const std::string &value : self->state) {
            json_array_append_new(list,
                                  json_pack("{s:s, s:s}", "x", value.c_str(),
                                            "pad", pad.c_str()));
        }
        return list;
    }

    static void
    Load(void *arg, const json_t *entry)
    {
        static_cast<Replica *>(arg)->state.push_back(Rc_Text(entry, "x"));
    }

    static const struct sn_ops kOps;
};

const struct sn_ops Replica::kOps = {Reset, Apply, Save, Load, nullptr};

void
PutMany(Replica &writer, int from, int to)
{
    for (int i = from; i <= to; i++) {
        writer.Put(std::to_string(i));
        writer.Settle(1);
    }
    writer.Settle();
}

TEST(Snapshot, ANewReplicaContinuesFromIt)
{
    FakeLog log;
    FakeClock clock;
    Replica a(log, clock, "a", 10);
    a.padding = 5000;
    PutMany(a, 1, 40);
    log.Expire(kStream, 30);
    Replica b(log, clock, "b");
    EXPECT_EQ(SN_LOADING, Sn_Phase(b.replica));
    b.Settle();
    EXPECT_EQ(SN_READY, Sn_Phase(b.replica));
    EXPECT_EQ(40u, b.state.size());
    EXPECT_EQ(a.state, b.state);
    EXPECT_EQ(Sn_Next(a.replica), Sn_Next(b.replica));
}

/*
 * A daemon starts after records have expired, and the only snapshot left
 * covers offsets that end before the oldest record.  The replica must report
 * that its state is not known until a later snapshot covers the gap; otherwise
 * it would decide on a state that lacks records.
 */
TEST(Snapshot, NeverStartsAcrossAGap)
{
    FakeLog log;
    FakeClock clock;
    Replica a(log, clock, "a");
    PutMany(a, 1, 5);
    ASSERT_EQ(ST_OK, Sn_Write(a.replica)); /* covers up to offset 5 */
    a.Settle();
    PutMany(a, 6, 8);
    std::vector<std::string> texts = log.streams[kStream].records;
    log.Expire(kStream, 8);
    /*
     * Append the snapshot's record again, as if only the records between had
     * expired.
     */
    log.streams[kStream].records.push_back(texts[5]);
    Replica b(log, clock, "b");
    b.Settle();
    EXPECT_EQ(SN_GAP, Sn_Phase(b.replica));
    EXPECT_TRUE(b.state.empty());
    EXPECT_EQ(nullptr, Sn_Export(b.replica));
    a.Settle();
    ASSERT_EQ(ST_OK, Sn_Write(a.replica));
    a.Settle();
    b.Settle();
    EXPECT_EQ(SN_READY, Sn_Phase(b.replica));
    EXPECT_EQ(a.state, b.state);
}

/* A snapshot whose writer crashed before the last part must not be loaded. */
TEST(Snapshot, AnUnfinishedOneIsIgnored)
{
    FakeLog log;
    FakeClock clock;
    Replica a(log, clock, "a");
    a.padding = 5000;
    PutMany(a, 1, 30);
    ASSERT_EQ(ST_OK, Sn_Write(a.replica));
    a.Settle();
    FakeLog::Stream &s = log.streams[kStream];
    ASSERT_GE(s.records.size(), 33u);
    s.records.pop_back();
    log.Expire(kStream, 20);
    Replica b(log, clock, "b");
    b.Settle();
    EXPECT_EQ(SN_GAP, Sn_Phase(b.replica));
}

/*
 * The second copy of a record whose answer was lost comes after the snapshot
 * that covers the first copy.  The snapshot must carry the writers' sequence
 * numbers; otherwise a replica that started from it would apply the copy
 * again, unlike the other replicas.
 */
TEST(Snapshot, CarriesTheSequencesOfWriters)
{
    FakeLog log;
    FakeClock clock;
    Replica a(log, clock, "a");
    Replica other(log, clock, "o");
    other.Put("once");
    other.Settle(2);
    std::string copy = log.streams[kStream].records[0];
    a.Settle();
    ASSERT_EQ(ST_OK, Sn_Write(a.replica));
    a.Settle();
    log.Put(kStream, copy);
    a.Settle();
    log.Expire(kStream, 2);
    Replica b(log, clock, "b");
    b.Settle();
    EXPECT_EQ(SN_READY, Sn_Phase(b.replica));
    EXPECT_EQ((std::vector<std::string>{"once"}), b.state);
    EXPECT_EQ(a.state, b.state);
}

/*
 * A snapshot must be written again on an idle stream before the last one
 * expires; otherwise the state would be lost.
 */
TEST(Snapshot, IsWrittenAgainOnAnIdleStream)
{
    FakeLog log;
    FakeClock clock;
    Replica a(log, clock, "a", 1000);
    PutMany(a, 1, 2);
    EXPECT_EQ(2u, log.streams[kStream].records.size());
    for (int i = 0; i < 3; i++) {
        size_t before = log.streams[kStream].records.size();
        clock.Advance(700 * Ck_USEC_PER_SEC);
        a.Settle();
        EXPECT_EQ(before + 1, log.streams[kStream].records.size());
    }
    log.Expire(kStream, 5);
    Replica b(log, clock, "b");
    b.Settle();
    EXPECT_EQ(a.state, b.state);
}

TEST(Snapshot, AReplicaThatFellBehindReloads)
{
    FakeLog log;
    FakeClock clock;
    Replica a(log, clock, "a", 10);
    Replica b(log, clock, "b");
    PutMany(a, 1, 3);
    b.Settle();
    ASSERT_EQ(SN_READY, Sn_Phase(b.replica));
    PutMany(a, 4, 60);
    log.Expire(kStream, 50);
    b.Settle();
    EXPECT_EQ(SN_READY, Sn_Phase(b.replica));
    EXPECT_EQ(a.state, b.state);
}

/*
 * The log is down when a daemon starts.  The daemon loads a peer's state and
 * continues from there after the outage.
 */
TEST(Snapshot, APeersStateIsUsedWhileTheLogIsDown)
{
    FakeLog log;
    FakeClock clock;
    Replica a(log, clock, "a");
    PutMany(a, 1, 5);
    json_t *state = Sn_Export(a.replica);
    log.outage = true;
    Replica b(log, clock, "b");
    b.Settle();
    EXPECT_EQ(ST_OK, Sn_Import(b.replica, state));
    EXPECT_EQ(a.state, b.state);
    EXPECT_EQ(6u, Sn_Next(b.replica));
    EXPECT_EQ(ST_CONFLICT, Sn_Import(b.replica, state));
    json_decref(state);
    log.outage = false;
    PutMany(a, 6, 7);
    b.Settle();
    EXPECT_EQ(SN_READY, Sn_Phase(b.replica));
    EXPECT_EQ(7u, b.state.size());
    EXPECT_EQ(a.state, b.state);
}

/*
 * Replicas start at random times, under faults and while records expire.
 * Their states must equal that of a replica that read every record; otherwise
 * a replaced host would disagree with the others about leases and claims for
 * hours.
 */
TEST(Snapshot, ReplicasThatStartAnywhereAgree)
{
    for (uint64_t seed = 1; seed <= 150; seed++) {
        FakeLog log;
        FakeClock clock;
        Rn_Seed(&log.random, seed);
        log.lost_rate = 0.2;
        log.refused_rate = 0.1;
        log.short_rate = 0.1;
        log.overlap_rate = 0.1;
        Replica a(log, clock, "a", 15);
        Replica b(log, clock, "b", 20);
        std::unique_ptr<Replica> newcomer;
        for (int step = 0; step < 300; step++) {
            Replica &one = Rn_Below(&log.random, 2) == 0 ? a : b;
            if (Rn_Below(&log.random, 4) == 0) {
                one.Put(std::to_string(step));
            }
            if (Rn_Below(&log.random, 60) == 0) {
                newcomer = std::make_unique<Replica>(log, clock, "young");
            }
            if (newcomer != nullptr) {
                newcomer->Tick();
            }
            one.Tick();
            log.Run((int)Rn_Below(&log.random, 5));
            if (Rn_Below(&log.random, 6) == 0) {
                log.DeliverLate();
            }
            FakeLog::Stream &s = log.streams[kStream];
            if (s.records.size() > 120) {
                log.Expire(kStream, s.Next() - 100);
            }
            clock.Advance((int64_t)Rn_Below(&log.random, 40) *
                          Ck_USEC_PER_MSEC);
        }
        log.lost_rate = log.refused_rate = 0;
        log.short_rate = log.overlap_rate = 0;
        while (log.DeliverLate()) {
        }
        Replica last(log, clock, "last");
        for (int i = 0; i < 100; i++) {
            a.Settle(1);
            b.Settle(1);
            last.Settle(1);
            if (newcomer != nullptr) {
                newcomer->Settle(1);
            }
        }
        ASSERT_EQ(SN_READY, Sn_Phase(last.replica)) << seed;
        ASSERT_GT(a.state.size(), 10u);
        ASSERT_EQ(a.state, b.state) << seed;
        ASSERT_EQ(a.state, last.state) << seed;
        if (newcomer != nullptr) {
            ASSERT_EQ(a.state, newcomer->state) << seed;
        }
    }
}

} // namespace
