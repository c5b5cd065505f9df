#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "member/fact.h"

namespace {

const int64_t kSec = Ck_USEC_PER_SEC;

int64_t now_usec;

void
fake_time(const struct ck_clock *clock, struct timespec *now)
{
    now->tv_sec = now_usec / kSec;
    now->tv_nsec = now_usec % kSec * 1000;
}

const struct ck_ops kClockOps = {fake_time, fake_time};
const struct ck_clock kClock = {&kClockOps, nullptr};

size_t
size_of(const struct fc_fact *fact)
{
    return 20 + strlen(fact->key) + fact->len;
}

class Fact : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        a = Make("a");
        b = Make("b");
    }

    void
    TearDown() override
    {
        Fc_Destroy(a);
        Fc_Destroy(b);
    }

    static struct fc_table *
    Make(const char *node)
    {
        struct fc_options options = {};
        options.node = node;
        options.clock = &kClock;
        struct fc_table *facts = nullptr;
        EXPECT_EQ(ST_OK, Fc_Create(&options, &facts));
        return facts;
    }

    static enum st_status
    Publish(struct fc_table *facts, const char *key, const std::string &value,
            uint64_t version = 0, bool owned = false, int64_t ttl = 0,
            enum fc_scope scope = FC_CLUSTER)
    {
        struct fc_publication post = {};
        post.key = key;
        post.owned = owned;
        post.version = version;
        post.scope = scope;
        post.ttl_usec = ttl;
        post.value = value.data();
        post.len = value.size();
        return Fc_Publish(facts, &post);
    }

    /* Sends one datagram between tables and returns its number of facts. */
    static int
    SendDatagram(struct fc_table *from, struct fc_table *to,
                 enum fc_scope narrowest = FC_DATA_CENTRE, size_t room = 1000)
    {
        int count = 0;
        struct fc_fact fact;
        Fc_BeginDatagram(from);
        while (Fc_NextUpdate(from, narrowest, room, size_of, &fact)) {
            room -= size_of(&fact);
            Fc_Apply(to, &fact);
            count++;
        }
        return count;
    }

    static std::string
    Value(struct fc_table *facts, const char *key, const char *owner = "")
    {
        struct fc_fact fact;
        if (!Fc_Get(facts, owner, key, &fact)) {
            return "none";
        }
        return {static_cast<const char *>(fact.value), fact.len};
    }

    struct fc_table *a;
    struct fc_table *b;
};

TEST_F(Fact, SpreadsAndIsReplacedByALaterVersion)
{
    EXPECT_EQ(ST_OK, Publish(a, "config", "7", 7));
    EXPECT_EQ(1, SendDatagram(a, b));
    EXPECT_EQ("7", Value(b, "config"));
    EXPECT_EQ(ST_OK, Publish(b, "config", "9", 9));
    SendDatagram(b, a);
    EXPECT_EQ("9", Value(a, "config"));
}

/*
 * Guards against a node returning to an older configuration: a peer that
 * restarted with old state gossips a lower offset than the node already has.
 */
TEST_F(Fact, OlderVersionIsIgnored)
{
    Publish(a, "config", "9", 9);
    Publish(b, "config", "7", 7);
    SendDatagram(b, a);
    EXPECT_EQ("9", Value(a, "config"));
    EXPECT_EQ(ST_CONFLICT, Publish(a, "config", "8", 8));
    EXPECT_EQ(ST_OK, Publish(a, "config", "9", 9));
    now_usec += 10 * kSec;
    for (int i = 0; i < 20; i++) {
        SendDatagram(a, b);
    }
    EXPECT_EQ("9", Value(b, "config"));
}

TEST_F(Fact, EqualVersionsConverge)
{
    Publish(a, "limit", "aa", 3);
    Publish(b, "limit", "bb", 3);
    SendDatagram(a, b);
    SendDatagram(b, a);
    EXPECT_EQ("bb", Value(a, "limit"));
    EXPECT_EQ("bb", Value(b, "limit"));
}

/*
 * Guards against requests being sent to an endpoint that has been removed: its
 * load fact expired on most nodes, but a slow peer still held a copy and
 * restored it.
 */
TEST_F(Fact, ExpiredFactIsNotRestored)
{
    Publish(a, "load/e1", "x", 0, false, 5 * kSec);
    SendDatagram(a, b);
    struct fc_fact copy;
    ASSERT_TRUE(Fc_Get(b, "", "load/e1", &copy));
    std::string value(static_cast<const char *>(copy.value), copy.len);
    now_usec += 6 * kSec;
    Fc_Expire(a);
    EXPECT_EQ("none", Value(a, "load/e1"));
    copy.value = value.data();
    copy.ttl_usec = kSec;
    EXPECT_FALSE(Fc_Apply(a, &copy));
    EXPECT_EQ("none", Value(a, "load/e1"));
    Publish(a, "load/e1", "y", 0, false, 5 * kSec);
    EXPECT_EQ("y", Value(a, "load/e1"));
    now_usec += 3600 * kSec;
    Fc_Expire(a);
    EXPECT_EQ(0U, Fc_Count(a));
}

TEST_F(Fact, TimeToLiveIsReducedByAge)
{
    Publish(a, "k", "x", 0, false, 10 * kSec);
    now_usec += 4 * kSec;
    SendDatagram(a, b);
    struct fc_fact fact;
    ASSERT_TRUE(Fc_Get(b, "", "k", &fact));
    EXPECT_EQ(6 * kSec, fact.ttl_usec);
}

/*
 * Guards against a restarted daemon still being treated as draining: its peers
 * hold the fact published before the restart at a higher version than the
 * daemon starts with.
 */
TEST_F(Fact, RestartedOwnerOverridesItsOldFact)
{
    for (int i = 0; i < 5; i++) {
        Publish(a, "draining", "1", 0, true, 60 * kSec);
        SendDatagram(a, b);
    }
    Fc_Destroy(a);
    a = Make("a");
    Publish(a, "draining", "0", 0, true, 60 * kSec);
    SendDatagram(a, b);
    EXPECT_EQ("1", Value(b, "draining", "a"));
    now_usec += 5 * kSec;
    Publish(a, "draining", "", 0, true, 60 * kSec);
    SendDatagram(a, b);
    SendDatagram(b, a);
    SendDatagram(a, b);
    EXPECT_EQ("", Value(b, "draining", "a"));
}

TEST_F(Fact, FactIsSentOnlyWithinItsScope)
{
    Publish(a, "wide", "1");
    Publish(a, "mid", "2", 0, false, 0, FC_REGION);
    Publish(a, "near", "3", 0, false, 0, FC_DATA_CENTRE);
    EXPECT_EQ(1, SendDatagram(a, b, FC_CLUSTER));
    EXPECT_EQ("none", Value(b, "mid"));
    EXPECT_EQ(2, SendDatagram(a, b, FC_REGION));
    EXPECT_EQ("none", Value(b, "near"));
    EXPECT_EQ(3, SendDatagram(a, b, FC_DATA_CENTRE));
    EXPECT_EQ("3", Value(b, "near"));
}

TEST_F(Fact, FactIsSentALimitedNumberOfTimes)
{
    Fc_SetSpread(a, FC_CLUSTER, 4);
    for (int i = 0; i < 100; i++) {
        Publish(a, ("k" + std::to_string(i)).c_str(), "v");
    }
    int sent = 0;
    int rounds = 0;
    while (Fc_HasUpdates(a) && rounds++ < 1000) {
        sent += SendDatagram(a, b, FC_DATA_CENTRE, 300);
    }
    EXPECT_EQ(400, sent);
    EXPECT_EQ(100U, Fc_Count(b));
}

TEST_F(Fact, DigestsFindTheDifference)
{
    for (int i = 0; i < 100; i++) {
        Publish(a, ("k" + std::to_string(i)).c_str(), "v");
    }
    while (Fc_HasUpdates(a)) {
        SendDatagram(a, b);
    }
    uint64_t one[Fc_BUCKETS];
    uint64_t other[Fc_BUCKETS];
    Fc_Digest(a, FC_CLUSTER, one);
    Fc_Digest(b, FC_CLUSTER, other);
    EXPECT_EQ(0, memcmp(one, other, sizeof(one)));
    Publish(a, "k5", "w");
    Fc_Digest(a, FC_CLUSTER, one);
    int differ = 0;
    for (size_t i = 0; i < Fc_BUCKETS; i++) {
        if (one[i] == other[i]) {
            continue;
        }
        differ++;
        struct fc_stamp stamps[100];
        size_t count = Fc_Stamps(a, FC_CLUSTER, i, stamps, 100);
        bool found = false;
        for (size_t j = 0; j < count; j++) {
            struct fc_fact fact;
            ASSERT_TRUE(Fc_ByHash(a, stamps[j].name_hash, &fact));
            found = found || strcmp(fact.key, "k5") == 0;
        }
        EXPECT_TRUE(found);
    }
    EXPECT_EQ(1, differ);
}

TEST_F(Fact, InvalidFactIsRejected)
{
    EXPECT_EQ(ST_INVALID, Publish(a, "k", std::string(257, 'x')));
    EXPECT_EQ(ST_INVALID, Publish(a, "", "x"));
    EXPECT_EQ(ST_INVALID, Publish(a, std::string(64, 'k').c_str(), "x"));
    EXPECT_EQ(ST_INVALID, Publish(a, "k", "x", 0, true, 0));
}

TEST_F(Fact, WatchersAreCalledForTheirPrefix)
{
    std::vector<std::string> keys;
    auto fn = [](void *arg, const struct fc_fact *fact) {
        static_cast<std::vector<std::string> *>(arg)->push_back(fact->key);
    };
    Fc_Watch(b, "load/", fn, &keys);
    Publish(a, "load/e1", "x");
    Publish(a, "other", "x");
    SendDatagram(a, b);
    SendDatagram(a, b);
    EXPECT_EQ(std::vector<std::string>{"load/e1"}, keys);
}

} // namespace
