/*
 * Tests of records, the table of sequence numbers, budgets, followers and
 * writers.
 */
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/test/fake_log.h"
#include "state/follower.h"
#include "state/record.h"
#include "state/sequences.h"
#include "state/test/fake_clock.h"
#include "state/writer.h"

namespace {

std::string
Text(const char *node, int sequence, const char *kind = "claim")
{
    return std::string(R"({"v":2,"n":")") + node + R"(","i":7,"s":)" +
           std::to_string(sequence) + R"(,"t":5,"k":")" + kind +
           R"(","d":{"x":1}})";
}

TEST(Record, KeepsEveryFieldAndSkipsUnknownOnes)
{
    json_t *body = json_pack("{s:s, s:i}", "name", "o\"ne", "count", 3);
    struct rc_record record = {0, 0, {"node-1", 99}, 12, 1234, "lease", body};
    char *text = nullptr;
    ASSERT_EQ(ST_OK, Rc_Format(&record, &text));
    std::string extended = text;
    extended.insert(1, R"("future":{"a":[1]},)");
    struct rc_record read;
    ASSERT_EQ(ST_OK, Rc_Parse(extended.c_str(), 41, &read));
    EXPECT_EQ(41u, read.offset);
    EXPECT_EQ(Rc_SCHEMA, read.schema);
    EXPECT_EQ(0, Rc_CompareWriters(&record.writer, &read.writer));
    EXPECT_EQ(12u, read.sequence);
    EXPECT_EQ(1234, read.wall_ms);
    EXPECT_TRUE(Rc_IsKind(&read, "lease"));
    EXPECT_STREQ("o\"ne", Rc_Text(read.body, "name"));
    EXPECT_EQ(3, Rc_Number(read.body, "count"));
    Rc_Clear(&read);
    json_decref(body);
    free(text);
}

/*
 * A record as schema 1 wrote it, before records carried a time.  During an
 * upgrade new daemons must read the records of old ones; if they ignored a
 * claim, a charge would run twice.
 */
TEST(Record, ReadsTheFirstSchema)
{
    struct rc_record read;
    ASSERT_EQ(ST_OK, Rc_Parse(R"({"v":1,"n":"a","i":7,"s":3,"k":"claim",)"
                              R"("d":{"c":"club"}})",
                              9, &read));
    EXPECT_EQ(1, read.schema);
    EXPECT_EQ(0, read.wall_ms);
    EXPECT_STREQ("club", Rc_Text(read.body, "c"));
    Rc_Clear(&read);
}

TEST(Record, RefusesForeignTexts)
{
    const char *const texts[] = {
        "",
        "[]",
        "{}",
        R"({"v":2,"n":"a","i":7,"s":0,"k":"claim","d":{}})",
        R"({"v":2,"n":"","i":7,"s":1,"k":"claim","d":{}})",
        R"({"v":2,"n":"a","i":7,"s":1,"k":"claim","d":[]})",
        R"({"v":2,"n":"a","i":7,"s":1,)"
        R"("k":"a-kind-with-a-name-that-is-too-long","d":{}})",
    };
    for (const char *text : texts) {
        struct rc_record read;
        EXPECT_EQ(ST_INVALID, Rc_Parse(text, 1, &read)) << text;
        Rc_Clear(&read);
    }
}

TEST(Seen, AReloadedTableEvictsTheSameWriters)
{
    struct se_table *table = Se_Create(2);
    struct se_table *copy = Se_Create(2);
    auto accept = [](struct se_table *t, const char *node, uint64_t sequence) {
        struct rc_record record = {};
        snprintf(record.writer.node, sizeof(record.writer.node), "%s", node);
        record.sequence = sequence;
        return Se_Accept(t, &record);
    };
    EXPECT_TRUE(accept(table, "a", 1));
    EXPECT_TRUE(accept(table, "b", 5));
    EXPECT_FALSE(accept(table, "a", 1));
    EXPECT_TRUE(accept(table, "a", 2));
    json_t *saved = Se_Save(table);
    size_t i;
    json_t *entry;
    json_array_foreach (saved, i, entry) {
        Se_Load(copy, entry);
    }
    json_decref(saved);
    for (struct se_table *t : {table, copy}) {
        EXPECT_TRUE(accept(t, "c", 1)); /* evicts b */
        EXPECT_FALSE(accept(t, "a", 2));
        EXPECT_TRUE(accept(t, "b", 5));
        EXPECT_EQ(2u, Se_Count(t));
        Se_Destroy(t);
    }
}

TEST(Budget, ImportantPurposesTakeTokensOfLessImportantOnes)
{
    FakeClock clock;
    struct bg_budget *budget = Bg_Create(&clock.clock);
    Bg_SetRate(budget, BG_CONFIG, 1, 1);
    Bg_SetRate(budget, BG_LEASE, 1, 1);
    Bg_SetRate(budget, BG_CLAIM, 10, 2);
    Bg_SetRate(budget, BG_SNAPSHOT, 1, 1);
    EXPECT_TRUE(Bg_Take(budget, BG_SNAPSHOT));
    EXPECT_FALSE(Bg_Take(budget, BG_SNAPSHOT));
    EXPECT_TRUE(Bg_Take(budget, BG_CONFIG));
    EXPECT_TRUE(Bg_Take(budget, BG_CONFIG)); /* takes a token of BG_CLAIM */
    EXPECT_TRUE(Bg_Take(budget, BG_CLAIM));
    EXPECT_FALSE(Bg_Take(budget, BG_CLAIM));
    EXPECT_TRUE(Bg_Take(budget, BG_LEASE));
    EXPECT_FALSE(Bg_Take(budget, BG_LEASE));
    clock.Advance(100 * Ck_USEC_PER_MSEC);
    EXPECT_TRUE(Bg_Take(budget, BG_CLAIM));
    EXPECT_FALSE(Bg_Take(budget, BG_CLAIM));
    Bg_Destroy(budget);
}

/* A reader that collects the records delivered to it. */
struct Reader {
    struct fo_follower *follower = nullptr;
    struct se_table *seen = Se_Create(100);
    std::vector<uint64_t> offsets;
    std::map<std::string, std::vector<int64_t>> values; /* by writer */
    std::vector<struct wr_writer *> writers;
    uint64_t expired = 0;
    int tails = 0;

    Reader(FakeLog &log, FakeClock &clock, uint64_t from)
    {
        struct fo_options options = {};
        options.log = &log.log;
        options.stream = "control";
        options.from = from;
        options.clock = &clock.clock;
        options.sequences = seen;
        options.ops = &kOps;
        options.arg = this;
        EXPECT_EQ(ST_OK, Fo_Create(&options, &follower));
    }

    ~Reader()
    {
        Fo_Destroy(follower);
        Se_Destroy(seen);
    }

    static void
    OnRecord(void *arg, const struct rc_record *record)
    {
        auto *self = static_cast<Reader *>(arg);
        self->offsets.push_back(record->offset);
        self->values[record->writer.node].push_back(
            Rc_Number(record->body, "x"));
        for (struct wr_writer *writer : self->writers) {
            Wr_Observe(writer, record);
        }
    }

    static void
    OnTail(void *arg)
    {
        static_cast<Reader *>(arg)->tails++;
    }

    static void
    OnExpired(void *arg, uint64_t oldest)
    {
        static_cast<Reader *>(arg)->expired = oldest;
    }

    static const struct fo_ops kOps;
};

const struct fo_ops Reader::kOps = {OnRecord, OnTail, OnExpired};

using Offsets = std::vector<uint64_t>;

/*
 * The log's answer comes from a replica that lags and shows a shorter tail.
 * The reader must not start over from there: it would revert an accepted
 * configuration for minutes.
 */
TEST(Follower, NeverGoesBackOnAShorterTail)
{
    FakeLog log;
    FakeClock clock;
    Reader reader(log, clock, 1);
    for (int i = 1; i <= 3; i++) {
        log.Put("control", Text("a", i));
    }
    Fo_Tick(reader.follower);
    log.Run();
    EXPECT_EQ((Offsets{1, 2, 3}), reader.offsets);
    EXPECT_EQ(1, reader.tails);
    FakeLog behind;
    log.streams.swap(behind.streams);
    log.Put("control", Text("a", 1));
    Fo_ReadNow(reader.follower);
    log.Run();
    EXPECT_EQ(4u, Fo_Next(reader.follower));
    EXPECT_EQ(1, reader.tails);
    log.streams.swap(behind.streams);
    log.Put("control", Text("a", 4));
    clock.Advance(Ck_USEC_PER_SEC);
    Fo_Tick(reader.follower);
    log.Run();
    EXPECT_EQ((Offsets{1, 2, 3, 4}), reader.offsets);
}

TEST(Follower, DropsDuplicatesAndSkipsForeignText)
{
    FakeLog log;
    FakeClock clock;
    Reader reader(log, clock, 1);
    log.Put("control", Text("a", 1));
    log.Put("control", "noise");
    log.Put("control", Text("a", 1));
    log.Put("control", Text("b", 1));
    log.Put("control", Text("a", 2));
    Fo_Tick(reader.follower);
    log.Run();
    EXPECT_EQ((Offsets{1, 4, 5}), reader.offsets);
}

/*
 * A daemon was cut off for hours, and the log no longer holds the records that
 * it missed.  The follower must stop until it is restarted from a snapshot;
 * otherwise the daemon would continue with a state that lacks these records.
 */
TEST(Follower, StopsAtAnExpiredRange)
{
    FakeLog log;
    FakeClock clock;
    Reader reader(log, clock, 1);
    for (int i = 1; i <= 5; i++) {
        log.Put("control", Text("a", i));
    }
    log.Expire("control", 4);
    Fo_Tick(reader.follower);
    log.Run();
    EXPECT_EQ(4u, reader.expired);
    clock.Advance(10 * Ck_USEC_PER_SEC);
    Fo_Tick(reader.follower);
    log.Run();
    EXPECT_TRUE(reader.offsets.empty());
    Fo_Restart(reader.follower, 4);
    Fo_Tick(reader.follower);
    log.Run();
    EXPECT_EQ((Offsets{4, 5}), reader.offsets);
}

TEST(Follower, RetriesThroughAnOutageAndPollsAtTheTail)
{
    FakeLog log;
    FakeClock clock;
    Reader reader(log, clock, 1);
    log.outage = true;
    Fo_Tick(reader.follower);
    log.Run();
    EXPECT_FALSE(Fo_AtTail(reader.follower, nullptr));
    log.outage = false;
    log.Put("control", Text("a", 1));
    clock.Advance(Ck_USEC_PER_SEC);
    int64_t sent_at = 0;
    int64_t now = clock.boot;
    Fo_Tick(reader.follower);
    clock.Advance(7);
    log.Run();
    EXPECT_TRUE(Fo_AtTail(reader.follower, &sent_at));
    EXPECT_EQ(now, sent_at);
    log.Put("control", Text("a", 2));
    Fo_Tick(reader.follower);
    log.Run();
    EXPECT_EQ(1u, reader.offsets.size());
    Fo_ReadNow(reader.follower);
    log.Run();
    EXPECT_EQ(2u, reader.offsets.size());
}

struct Outcomes {
    std::map<uint64_t, enum wr_result> results; /* by value */
    uint64_t sequence = 0;
};

struct Put {
    Outcomes *outcomes;
    uint64_t value;
};

void
on_written(void *arg, enum wr_result result, uint64_t sequence)
{
    auto *put = static_cast<Put *>(arg);
    EXPECT_EQ(0u, put->outcomes->results.count(put->value));
    put->outcomes->results[put->value] = result;
    put->outcomes->sequence = sequence;
    delete put;
}

struct Appender {
    struct wr_writer *writer = nullptr;
    struct bg_budget *budget;
    FakeClock &clock;
    Outcomes outcomes;
    uint64_t last = 0;

    Appender(FakeLog &log, FakeClock &c, const char *node)
        : budget(Bg_Create(&c.clock)), clock(c)
    {
        struct wr_options options = {};
        options.log = &log.log;
        options.stream = "control";
        snprintf(options.self.node, sizeof(options.self.node), "%s", node);
        options.self.incarnation = 7;
        options.clock = &c.clock;
        options.budget = budget;
        Bg_SetRate(budget, BG_LEASE, 1000, 1000);
        EXPECT_EQ(ST_OK, Wr_Create(&options, &writer));
    }

    ~Appender()
    {
        Wr_Destroy(writer);
        Bg_Destroy(budget);
    }

    uint64_t
    Append(int64_t deadline = 0)
    {
        uint64_t value = ++last;
        json_t *body = json_pack("{s:I}", "x", (json_int_t)value);
        EXPECT_EQ(ST_OK, Wr_Put(writer, BG_LEASE, "lease", body, deadline,
                                on_written, new Put{&outcomes, value}));
        return value;
    }
};

/*
 * The answer to the first try of an append is lost, and later tries are
 * refused.  The refusals do not prove that the record was not written: the
 * first try is written later.  The record must not be reported as not written.
 */
TEST(Writer, ARefusalAfterALostAnswerProvesNothing)
{
    using Fault = FakeLog::Fault;
    FakeLog log;
    FakeClock clock;
    Appender appender(log, clock, "a");
    uint64_t value = appender.Append(clock.boot + Ck_USEC_PER_SEC);
    log.faults = {Fault::kLate, Fault::kRefused, Fault::kRefused};
    for (int i = 0; i < 3; i++) {
        Wr_Tick(appender.writer);
        log.Run();
        clock.Advance(3 * Ck_USEC_PER_SEC);
    }
    EXPECT_TRUE(appender.outcomes.results.empty());
    log.DeliverLate();
    Reader reader(log, clock, 1);
    reader.writers = {appender.writer};
    Fo_Tick(reader.follower);
    log.Run();
    EXPECT_EQ(WR_WRITTEN, appender.outcomes.results[value]);
    EXPECT_EQ((Offsets{1}), reader.offsets);
}

TEST(Writer, ARefusedRecordEndsAtItsDeadlineAndIsNeverWritten)
{
    FakeLog log;
    FakeClock clock;
    Appender appender(log, clock, "a");
    uint64_t value = appender.Append(clock.boot + Ck_USEC_PER_SEC);
    log.outage = true;
    Wr_Tick(appender.writer);
    log.Run();
    clock.Advance(2 * Ck_USEC_PER_SEC);
    Wr_Tick(appender.writer);
    EXPECT_EQ(WR_NOT_WRITTEN, appender.outcomes.results[value]);
    log.outage = false;
    value = appender.Append();
    clock.Advance(2 * Ck_USEC_PER_SEC);
    Wr_Tick(appender.writer);
    log.Run();
    EXPECT_EQ(WR_WRITTEN, appender.outcomes.results[value]);
    EXPECT_EQ(1u, appender.outcomes.sequence);
    EXPECT_EQ(1u, log.streams["control"].records.size());
}

TEST(Writer, ATooLargeRecordDoesNotBlockTheStream)
{
    FakeLog log;
    FakeClock clock;
    Appender appender(log, clock, "a");
    std::string large(Pl_RECORD_MAX, 'x');
    ASSERT_EQ(ST_OK, Wr_Put(appender.writer, BG_LEASE, "lease",
                            json_pack("{s:s}", "y", large.c_str()), 0,
                            on_written, new Put{&appender.outcomes, 1000}));
    Wr_Tick(appender.writer);
    EXPECT_EQ(WR_NOT_WRITTEN, appender.outcomes.results[1000]);
    uint64_t value = appender.Append();
    Wr_Tick(appender.writer);
    log.Run();
    EXPECT_EQ(WR_WRITTEN, appender.outcomes.results[value]);
}

TEST(Writer, DestroyEndsRecordsQueuedOrInFlight)
{
    FakeLog log;
    FakeClock clock;
    Outcomes *outcomes;
    {
        auto appender = std::make_unique<Appender>(log, clock, "a");
        static Outcomes kept;
        outcomes = &kept;
        appender->outcomes.results.clear();
        for (uint64_t value : {1, 2}) {
            ASSERT_EQ(ST_OK, Wr_Put(appender->writer, BG_LEASE, "lease",
                                    json_object(), 0, on_written,
                                    new Put{outcomes, value}));
            if (value == 1) {
                Wr_Tick(appender->writer);
            }
        }
    }
    log.Run();
    EXPECT_EQ(WR_UNKNOWN, outcomes->results[1]);
    EXPECT_EQ(WR_NOT_WRITTEN, outcomes->results[2]);
}

/*
 * Answers are lost before and after the append took effect, appends take
 * effect late, appends are refused and tails are stale.  Every reader must get
 * exactly the records that were reported as written, each once and in order.
 */
TEST(Writer, EveryReaderSeesEachRecordOnceUnderFaults)
{
    for (uint64_t seed = 1; seed <= 1000; seed++) {
        FakeLog log;
        FakeClock clock;
        Rn_Seed(&log.random, seed);
        log.lost_rate = 0.4;
        log.refused_rate = 0.2;
        log.short_rate = 0.3;
        log.overlap_rate = 0.2;
        Appender a(log, clock, "a");
        Appender b(log, clock, "b");
        Reader reader(log, clock, 1);
        reader.writers = {a.writer, b.writer};
        for (int step = 0; step < 400; step++) {
            if (step == 200) {
                log.lost_rate = log.refused_rate = log.short_rate = 0;
            }
            if (step < 100 && Rn_Below(&log.random, 3) == 0) {
                Appender &one = Rn_Below(&log.random, 2) == 0 ? a : b;
                one.Append(clock.boot + 300 * Ck_USEC_PER_MSEC);
            }
            Wr_Tick(a.writer);
            Wr_Tick(b.writer);
            Fo_Tick(reader.follower);
            log.Run((int)Rn_Below(&log.random, 4));
            if (Rn_Below(&log.random, 5) == 0) {
                log.DeliverLate();
            }
            clock.Advance(30 * Ck_USEC_PER_MSEC);
        }
        while (log.DeliverLate()) {
        }
        Reader second(log, clock, 1);
        for (int i = 0; i < 50; i++) {
            clock.Advance(Ck_USEC_PER_SEC);
            Fo_Tick(reader.follower);
            Fo_Tick(second.follower);
            log.Run();
        }
        for (Appender *one : {&a, &b}) {
            std::vector<int64_t> written;
            ASSERT_EQ(one->last, one->outcomes.results.size()) << seed;
            for (const auto &[value, result] : one->outcomes.results) {
                ASSERT_NE(WR_UNKNOWN, result);
                if (result == WR_WRITTEN) {
                    written.push_back((int64_t)value);
                }
            }
            const char *node = one == &a ? "a" : "b";
            ASSERT_EQ(written, reader.values[node]) << seed;
            ASSERT_EQ(written, second.values[node]) << seed;
        }
        ASSERT_EQ(reader.offsets, second.offsets) << seed;
    }
}

} // namespace
