/* The claim table alone: applies records and checks the verdicts. */
#include <gtest/gtest.h>

#include <string>

#include "base/random.h"
#include "state/claim.h"

namespace {

const int64_t kHour = 3600 * 1000;
const int64_t kNow = 1000 * kHour;

struct cl_key
Key(const std::string &name)
{
    struct cl_key key = {};
    snprintf(key.customer, sizeof(key.customer), "club");
    snprintf(key.digest, sizeof(key.digest), "%s", name.c_str());
    return key;
}

struct Table {
    struct cl_table *table;
    uint64_t offset = 0;
    std::string keeper = "keeper";

    explicit Table(struct cl_options options = {}) : table(Cl_Create(&options))
    {
    }
    ~Table()
    {
        Cl_Destroy(table);
    }
    Table(const Table &) = delete;

    static struct cl_attempt
    Attempt(const char *owner, uint64_t number)
    {
        struct cl_attempt attempt = {};
        snprintf(attempt.owner.node, sizeof(attempt.owner.node), "%s", owner);
        attempt.owner.incarnation = 1;
        attempt.number = number;
        return attempt;
    }

    struct cl_outcome
    Apply(const char *kind, json_t *body, int64_t wall_ms)
    {
        struct rc_record record = {};
        record.offset = ++offset;
        snprintf(record.writer.node, sizeof(record.writer.node), "%s",
                 keeper.c_str());
        snprintf(record.kind, sizeof(record.kind), "%s", kind);
        record.wall_ms = wall_ms;
        record.body = body;
        struct cl_outcome out;
        Cl_Apply(table, &record, &out);
        json_decref(body);
        return out;
    }

    enum cl_verdict
    Claim(const std::string &key, const char *owner, uint64_t number,
          int64_t wall_ms = kNow, const char *body = "b")
    {
        struct cl_claim claim = {};
        claim.key = Key(key);
        claim.attempt = Attempt(owner, number);
        snprintf(claim.body_digest, sizeof(claim.body_digest), "%s", body);
        claim.wall_ms = wall_ms;
        return Apply(Cl_CLAIM, Cl_ClaimBody(&claim), wall_ms).verdict;
    }

    void
    Result(const std::string &key, const char *owner, uint64_t number,
           const std::string &text)
    {
        struct cl_key k = Key(key);
        struct cl_attempt attempt = Attempt(owner, number);
        struct cl_answer answer = {};
        answer.code = 200;
        snprintf(answer.type, sizeof(answer.type), "text/plain");
        answer.body = text.data();
        answer.len = text.size();
        Apply(Cl_RESULT, Cl_ResultBody(&k, &attempt, &answer), kNow);
    }

    void
    Release(const std::string &key, const char *owner, uint64_t number)
    {
        struct cl_key k = Key(key);
        struct cl_attempt attempt = Attempt(owner, number);
        Apply(Cl_RELEASE, Cl_ReleaseBody(&k, &attempt), kNow);
    }

    struct cl_outcome
    Lookup(const std::string &key)
    {
        struct cl_key k = Key(key);
        struct cl_outcome out;
        Cl_Lookup(table, &k, "b", &out);
        return out;
    }

    std::string
    Body(const std::string &key)
    {
        struct cl_outcome out = Lookup(key);
        return std::string((const char *)out.answer.body, out.answer.len);
    }

    std::string
    Dump()
    {
        json_t *saved = Cl_Save(table);
        char *text = json_dumps(saved, JSON_COMPACT);
        std::string copy = text;
        free(text);
        json_decref(saved);
        return copy;
    }
};

TEST(Claim, TheFirstInLogOrderWinsAndRetriesGetItsAnswer)
{
    Table t;
    EXPECT_EQ(CL_WON, t.Claim("k", "a", 1));
    EXPECT_EQ(CL_IN_PROGRESS, t.Claim("k", "b", 1));
    EXPECT_EQ(CL_IN_PROGRESS, t.Claim("k", "a", 2));
    EXPECT_EQ(CL_REUSED, t.Claim("k", "b", 2, kNow, "other"));
    EXPECT_EQ(CL_WON, t.Claim("k2", "b", 3));
    std::string text("\0\xff ticket", 9);
    t.Result("k", "a", 1, text);
    EXPECT_EQ(CL_DONE, t.Claim("k", "b", 4));
    EXPECT_EQ(text, t.Body("k"));
    EXPECT_EQ(CL_REUSED, t.Claim("k", "b", 5, kNow, "other"));
    EXPECT_EQ(200, t.Lookup("k").answer.code);
    EXPECT_STREQ("text/plain", t.Lookup("k").answer.type);
}

/*
 * The first request is refused before dispatch and its key is released; a
 * retry wins the key.  A late release or result of the first request must not
 * release or complete the retry's claim: a seat would be charged twice.
 */
TEST(Claim, OnlyTheHolderReleasesOrCompletesAClaim)
{
    Table t;
    EXPECT_EQ(CL_WON, t.Claim("k", "a", 1));
    t.Release("k", "b", 1);
    EXPECT_EQ(CL_IN_PROGRESS, t.Claim("k", "b", 1));
    t.Release("k", "a", 1);
    EXPECT_EQ(CL_WON, t.Claim("k", "b", 2));
    t.Release("k", "a", 1);
    t.Result("k", "a", 1, "late");
    EXPECT_EQ(CL_IN_PROGRESS, t.Lookup("k").verdict);
    t.Result("k", "b", 2, "first");
    t.Release("k", "b", 2);
    t.Result("k", "b", 2, "second");
    EXPECT_EQ("first", t.Body("k"));
}

TEST(Claim, KeepsSmallBodiesWithinTheLimitAndMarksTruncatedOnes)
{
    Table t({0, 0, 100});
    t.Claim("a", "o", 1);
    t.Claim("b", "o", 2);
    t.Claim("c", "o", 3);
    t.Result("a", "o", 1, std::string(60, 'x'));
    t.Result("b", "o", 2, std::string(60, 'y'));
    t.Result("c", "o", 3, std::string(Cl_BODY_MAX + 1, 'z'));
    EXPECT_EQ(60u, Cl_BodyBytes(t.table));
    EXPECT_TRUE(t.Lookup("a").answer.truncated);
    EXPECT_EQ(CL_DONE, t.Lookup("a").verdict);
    EXPECT_EQ(std::string(60, 'y'), t.Body("b"));
    EXPECT_TRUE(t.Lookup("c").answer.truncated);
}

TEST(Claim, AFullTableRefusesClaimsAndEvictsNothing)
{
    Table t({0, 2, 0});
    EXPECT_EQ(CL_WON, t.Claim("a", "o", 1));
    EXPECT_EQ(CL_WON, t.Claim("b", "o", 2));
    EXPECT_EQ(CL_FULL, t.Claim("c", "o", 3));
    EXPECT_EQ(CL_IN_PROGRESS, t.Claim("a", "o", 4));
    t.Release("a", "o", 1);
    EXPECT_EQ(CL_WON, t.Claim("c", "o", 5));
}

/*
 * One host's clock is set days ahead.  Its records must not end the window of
 * every key, since a retry within the day would run again.
 */
TEST(Claim, OneClockAheadDoesNotEndTheWindow)
{
    Table t;
    t.keeper = "b";
    EXPECT_EQ(CL_WON, t.Claim("k", "a", 1, kNow));
    t.keeper = "wrong";
    EXPECT_EQ(CL_WON, t.Claim("other", "wrong", 1, kNow + 72 * kHour));
    EXPECT_EQ(CL_IN_PROGRESS, t.Claim("k", "a", 2, kNow));
    t.keeper = "b";
    EXPECT_EQ(CL_IN_PROGRESS, t.Claim("k", "a", 3, kNow + 23 * kHour));
    EXPECT_EQ(CL_WON, t.Claim("k", "a", 4, kNow + 96 * kHour));
}

/*
 * The stream is idle over a weekend, so record time stays at Friday.  A key
 * claimed after the weekend must not look days old once the next records
 * advance record time: a retry within minutes would run again.
 */
TEST(Claim, AnIdleStreamDoesNotShortenTheWindow)
{
    Table t;
    t.keeper = "b";
    t.Claim("friday", "a", 1, kNow);
    t.keeper = "a";
    EXPECT_EQ(CL_WON, t.Claim("k", "a", 2, kNow + 72 * kHour));
    t.keeper = "b";
    t.Claim("other", "b", 3, kNow + 73 * kHour);
    EXPECT_EQ(CL_IN_PROGRESS, t.Claim("k", "b", 4, kNow + 95 * kHour));
    EXPECT_EQ(CL_NONE, t.Lookup("friday").verdict);
    t.keeper = "a";
    EXPECT_EQ(CL_WON, t.Claim("k", "b", 5, kNow + 97 * kHour));
}

TEST(Claim, TheSlotDependsOnCustomerAndKeyOnly)
{
    int counts[Cl_SLOTS] = {};
    for (int i = 0; i < 1600; i++) {
        struct cl_key key = Key(std::to_string(i));
        int slot = Cl_Slot(&key);
        ASSERT_EQ(slot, Cl_Slot(&key));
        counts[slot]++;
    }
    for (int count : counts) {
        EXPECT_GT(count, 50);
    }
}

/*
 * A table that is saved and loaded after any number of records must give the
 * same verdicts as the original.
 */
TEST(Claim, ASavedTableGivesTheSameVerdicts)
{
    for (uint64_t seed = 1; seed <= 200; seed++) {
        struct rn_random random;
        Rn_Seed(&random, seed);
        struct cl_options options = {kHour, 5, 30};
        Table original(options);
        Table loaded(options);
        int split = (int)Rn_Below(&random, 100);
        for (int i = 0; i < 100; i++) {
            if (i == split) {
                json_t *saved = Cl_Save(original.table);
                Cl_Reset(loaded.table);
                size_t j;
                json_t *entry;
                json_array_foreach (saved, j, entry) {
                    Cl_Load(loaded.table, entry);
                }
                json_decref(saved);
            }
            std::string key(1, (char)('a' + Rn_Below(&random, 8)));
            const char *owner = Rn_Below(&random, 4) != 0 ? "o" : "p";
            uint64_t number = Rn_Below(&random, 2);
            uint32_t what = Rn_Below(&random, 4);
            int64_t wall = kNow + i * kHour / 20;
            for (Table *t : {&original, &loaded}) {
                if (t == &loaded && i < split) {
                    continue;
                }
                if (what < 2) {
                    t->Claim(key, owner, number, wall);
                }
                else if (what == 2) {
                    t->Result(key, owner, number, "0123456789");
                }
                else {
                    t->Release(key, owner, number);
                }
            }
            if (i >= split) {
                ASSERT_EQ(original.Dump(), loaded.Dump()) << seed << " " << i;
            }
        }
    }
}

} // namespace
