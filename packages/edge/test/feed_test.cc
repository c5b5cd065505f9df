#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "edge/feed.h"
#include "web/loop.h"

#include "../../member/test/loop_util.h"
#include "fake_store.h"
#include "feed_codec.h"

namespace {

std::vector<struct ro_order> orders_seen;

void
OnOrder(void *arg, const struct ro_order *order)
{
    (void)arg;
    orders_seen.push_back(*order);
}

void
OnConfig(void *arg, struct ec_config *config)
{
    (void)arg;
    (void)config;
}

void
OnStore(void *arg, bool reached)
{
    (void)arg;
    (void)reached;
}

// Whether the peers of a test's daemon reach the store and read it.
bool others_reach;
bool others_read;

bool
OthersReach(void *arg)
{
    (void)arg;
    return others_reach;
}

bool
OthersRead(void *arg, enum ag_topic topic)
{
    (void)arg;
    (void)topic;
    return others_read;
}

bool others_known;

bool
OthersKnown(void *)
{
    return others_known;
}

// Data centres evacuated as the daemons of a test were last told.
std::map<std::string, bool> evacuated;

void
OnEvacuation(void *, const char *zone, bool asked)
{
    evacuated[zone] = asked;
}

const struct fe_ops ops = {OnConfig,    OnOrder,    OnEvacuation, OnStore,
                           OthersReach, OthersRead, OthersKnown};

struct Node {
    struct fl_fleet *fleet;
    struct fe_feed *feed;
    FakeStore::Client *client;
};

class Feed : public testing::Test {
  protected:
    void
    SetUp() override
    {
        others_reach = others_read = others_known = false;
        ASSERT_EQ(Lp_Create(&loop_), ST_OK);
        runner_ = new Runner(loop_);
    }

    void
    TearDown() override
    {
        for (auto &node : nodes_) {
            Fe_Destroy(node.feed);
            Fl_Destroy(node.fleet);
        }
        delete runner_;
        Lp_Destroy(loop_);
    }

    Node
    Start(int64_t config_apply_usec = 0)
    {
        Node node;
        node.client = store_.AddClient();
        node.fleet = Fl_Create(Ck_System());
        struct fe_options options = {};
        options.loop = loop_;
        options.clock = Ck_System();
        options.store = &node.client->base;
        options.codec = &codec;
        options.config_apply_usec = config_apply_usec;
        options.fleet = node.fleet;
        options.ops = &ops;
        node.feed = Fe_Create(&options);
        nodes_.push_back(node);
        return node;
    }

    bool
    Until(const std::function<bool()> &done)
    {
        return runner_->Until([&] {
            store_.Answer();
            return done();
        });
    }

    // Answers until the daemon has asked for so many pages of listings.
    bool
    UntilPage(const Node &node, int pages)
    {
        return runner_->Until([&] {
            if (node.client->pages < pages) {
                store_.AnswerOnce();
            }
            return node.client->pages >= pages;
        });
    }

    // One fetch of what has changed at a peer.
    void
    Fetch(const Node &node, const Node &peer)
    {
        char *packed;
        size_t len =
            Fe_PackState(peer.feed, INT64_MAX,
                         Fe_ChangesEnd(node.feed, AG_ENDPOINTS), &packed);
        Fe_ApplyState(node.feed, packed, len);
        free(packed);
    }

    struct lp_loop *loop_ = nullptr;
    Runner *runner_ = nullptr;
    FakeStore store_;
    std::vector<Node> nodes_;
};

int64_t
Version(const Node &node)
{
    const struct ec_config *config = Fe_Config(node.feed);
    return config == nullptr ? -1 : config->version;
}

// A host serves a dropped route again: it followed the configuration through
// a peer, and then read an older one from a store that had lost its history.
TEST_F(Feed, AnOlderReadingDoesNotReplaceANewerOne)
{
    store_.Put(AG_CONFIG, "config", "7");
    store_.Put(AG_CONFIG, "config", "9");
    Node reader = Start();
    ASSERT_TRUE(Until([&] { return Version(reader) == 9; }));
    Node other = Start();
    other.client->down = true;
    char *packed;
    size_t len = Fe_PackState(reader.feed, 0, 0, &packed);
    Fe_ApplyState(other.feed, packed, len);
    free(packed);
    EXPECT_EQ(Version(other), 9);
    store_.Topic(AG_CONFIG).pop_back();
    other.client->down = false;
    runner_->For(600 * Ck_USEC_PER_MSEC);
    store_.Answer();
    EXPECT_EQ(Version(other), 9);
}

// Requests go on reaching an endpoint that has left: the store dropped its
// history while a removal was written, and the records that are still there
// do not tell of it.  Only a new listing does.
TEST_F(Feed, ARemovalInForgottenHistoryIsSeen)
{
    store_.Put(AG_CONFIG, "config", "1");
    store_.Put(AG_ENDPOINTS, "a", "ready");
    store_.Put(AG_ENDPOINTS, "b", "ready");
    Node node = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(node.fleet, "b") != nullptr; }));
    node.client->down = true;
    store_.Remove(AG_ENDPOINTS, "b");
    store_.Put(AG_ENDPOINTS, "a", "ready");
    store_.Forget(AG_ENDPOINTS);
    node.client->down = false;
    EXPECT_TRUE(Until([&] { return Fl_Find(node.fleet, "b") == nullptr; }));
    EXPECT_NE(Fl_Find(node.fleet, "a"), nullptr);
}

// Guards against requests that go on reaching an evacuated data centre, and
// against one that is never used again: the word came, or was taken back,
// while the daemon did not read; the history is forgotten, or a peer tells.
TEST_F(Feed, AnEvacuationIsLearnedAndTakenBack)
{
    evacuated.clear();
    store_.Put(AG_CONFIG, "config", "1");
    Node node = Start();
    ASSERT_TRUE(Until([&] { return Version(node) == 1; }));
    EXPECT_TRUE(evacuated.empty());
    store_.Put(AG_CONFIG, "evacuate/a", "{}");
    store_.Put(AG_CONFIG, "evacuate/b", "no word at all");
    ASSERT_TRUE(Until([&] { return evacuated["a"] && evacuated["b"]; }));
    store_.Remove(AG_CONFIG, "evacuate/a");
    ASSERT_TRUE(Until([&] { return !evacuated["a"]; }));
    EXPECT_TRUE(evacuated["b"]);
    node.client->down = true;
    store_.Remove(AG_CONFIG, "evacuate/b");
    store_.Put(AG_CONFIG, "evacuate/c", "{}");
    store_.Put(AG_CONFIG, "config", "2");
    store_.Forget(AG_CONFIG);
    node.client->down = false;
    EXPECT_TRUE(Until([&] { return evacuated["c"] && !evacuated["b"]; }));
    EXPECT_EQ(Version(node), 2);
}

// The same for a daemon that hears of it from a peer alone.
TEST_F(Feed, APeerTellsOfAnEvacuationAndItsEnd)
{
    evacuated.clear();
    store_.Put(AG_CONFIG, "config", "1");
    store_.Put(AG_CONFIG, "evacuate/a", "{}");
    Node reader = Start();
    Node other = Start();
    other.client->down = true;
    ASSERT_TRUE(Until([&] { return Version(reader) == 1; }));
    ASSERT_TRUE(evacuated["a"]);
    auto tell = [&] {
        char *packed;
        size_t len =
            Fe_PackState(reader.feed, Fe_ChangesEnd(other.feed, AG_CONFIG),
                         INT64_MAX, &packed);
        Fe_ApplyState(other.feed, packed, len);
        free(packed);
    };
    evacuated.clear();
    tell();
    EXPECT_TRUE(evacuated["a"]);
    store_.Remove(AG_CONFIG, "evacuate/a");
    ASSERT_TRUE(Until([&] { return !evacuated["a"]; }));
    evacuated["a"] = true;
    tell();
    EXPECT_FALSE(evacuated["a"]);
}

// A store that turns a third of eighty hosts away for nine seconds gets two
// thousand calls from them, each of which is paid for, although the other
// hosts read it and tell them all that is new.
TEST_F(Feed, ADaemonThatIsTurnedAwayLeavesTheStoreToOthers)
{
    store_.Put(AG_CONFIG, "config", "1");
    store_.Put(AG_ENDPOINTS, "a", "ready");
    Node node = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(node.fleet, "a") != nullptr; }));
    node.client->down = true;
    ASSERT_TRUE(Until([&] { return !Fe_Reached(node.feed); }));
    others_reach = others_read = true;
    ASSERT_TRUE(Until([&] { return node.client->calls > 0; }));
    runner_->For(600 * Ck_USEC_PER_MSEC);
    store_.Answer();
    int calls = node.client->calls;
    for (int i = 0; i < 10; i++) {
        runner_->For(100 * Ck_USEC_PER_MSEC);
        store_.Answer();
    }
    EXPECT_EQ(node.client->calls, calls);
    // When the others stop reading it asks again, and is answered.
    others_read = false;
    node.client->down = false;
    EXPECT_TRUE(Until([&] { return Fe_Reached(node.feed); }));
}

// Live endpoints are taken for gone when the store comes back: their entries
// had lapsed while nobody reached it, another host was answered first, and
// this one no longer asks itself.
TEST_F(Feed, WhoLeavesTheStoreToOthersStillDoubtsLapsedEntries)
{
    store_.Put(AG_CONFIG, "config", "1");
    store_.Put(AG_ENDPOINTS, "a", "ready");
    Node node = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(node.fleet, "a") != nullptr; }));
    node.client->down = true;
    ASSERT_TRUE(Until([&] { return !Fe_Reached(node.feed); }));
    for (int i = 0; i < 16; i++) {
        runner_->For(100 * Ck_USEC_PER_MSEC);
        store_.Answer();
    }
    store_.Remove(AG_ENDPOINTS, "a");
    Node reader = Start();
    ASSERT_TRUE(
        Until([&] { return Fe_ChangesEnd(reader.feed, AG_ENDPOINTS) >= 0; }));
    others_reach = others_read = true;
    char *packed;
    size_t len = Fe_PackState(reader.feed, 0, 0, &packed);
    Fe_ApplyState(node.feed, packed, len);
    free(packed);
    EXPECT_NE(Fl_Find(node.fleet, "a"), nullptr);
}

// A host refuses routes that are there for as long as the configuration
// stands: it fetched endpoints alone, and took the number of a configuration
// that it was not given for its own.
TEST_F(Feed, WhatWasNotFetchedIsNotKnown)
{
    store_.Put(AG_CONFIG, "config", "1");
    store_.Put(AG_ENDPOINTS, "a", "ready");
    Node reader = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(reader.fleet, "a") != nullptr; }));
    Node node = Start();
    ASSERT_TRUE(Until([&] { return Version(node) == 1; }));
    node.client->down = true;
    store_.Put(AG_CONFIG, "config", "2");
    store_.Put(AG_ENDPOINTS, "b", "ready");
    ASSERT_TRUE(Until([&] {
        return Version(reader) == 2 && Fl_Find(reader.fleet, "b") != nullptr;
    }));
    int64_t before = Fe_ChangesEnd(node.feed, AG_CONFIG);
    char *packed;
    size_t len = Fe_PackState(reader.feed, INT64_MAX, 0, &packed);
    Fe_ApplyState(node.feed, packed, len);
    free(packed);
    EXPECT_NE(Fl_Find(node.fleet, "b"), nullptr);
    EXPECT_EQ(Version(node), 1);
    EXPECT_EQ(Fe_ChangesEnd(node.feed, AG_CONFIG), before);
    int64_t entries = Fe_ChangesEnd(node.feed, AG_ENDPOINTS);
    len = Fe_PackState(reader.feed, before, INT64_MAX, &packed);
    Fe_ApplyState(node.feed, packed, len);
    free(packed);
    EXPECT_EQ(Version(node), 2);
    EXPECT_EQ(Fe_ChangesEnd(node.feed, AG_ENDPOINTS), entries);
    // A host that knows nothing must not take nothing for all there is.
    Node fresh = Start();
    fresh.client->down = true;
    len = Fe_PackState(reader.feed, 0, INT64_MAX, &packed);
    Fe_ApplyState(fresh.feed, packed, len);
    free(packed);
    EXPECT_EQ(Version(fresh), 2);
    EXPECT_EQ(Fe_ChangesEnd(fresh.feed, AG_ENDPOINTS), -1);
}

bool
IsDraining(const Node &node, const char *id)
{
    const struct fl_endpoint *endpoint = Fl_Find(node.fleet, id);
    return endpoint != nullptr && endpoint->entry.draining;
}

// Half of ninety hosts go on sending to an endpoint five seconds after it said
// that it leaves.  A host took up reading the store; its listing came in
// pages, and after the first one it gave the number of the newest change for
// all it knew.  Whoever fetched from it then passed over what the second page
// had, and asked for nothing older ever after.
TEST_F(Feed, AListingInPagesIsNumberedAtItsEnd)
{
    store_.page = 1;
    store_.Put(AG_ENDPOINTS, "a", "ready");
    store_.Put(AG_ENDPOINTS, "b", "ready");
    Node reader = Start();
    Node node = Start();
    ASSERT_TRUE(Until([&] {
        return Fl_Find(reader.fleet, "b") != nullptr &&
               Fl_Find(node.fleet, "b") != nullptr &&
               Fe_ChangesEnd(node.feed, AG_ENDPOINTS) >= 0;
    }));
    node.client->down = true;
    store_.Put(AG_ENDPOINTS, "b", "draining");
    store_.Put(AG_ENDPOINTS, "a", "draining");
    store_.Forget(AG_ENDPOINTS);
    ASSERT_TRUE(runner_->Until([&] {
        if (!IsDraining(reader, "a")) {
            store_.AnswerOnce();
        }
        return IsDraining(reader, "a");
    }));
    ASSERT_FALSE(IsDraining(reader, "b"));
    Fetch(node, reader);
    ASSERT_TRUE(Until([&] { return IsDraining(reader, "b"); }));
    Fetch(node, reader);
    EXPECT_TRUE(IsDraining(node, "a"));
    EXPECT_TRUE(IsDraining(node, "b"));
}

// Eighty hosts fetch a large configuration from the one that read it first;
// for three seconds they serve routes that were dropped, and removals of
// endpoints wait behind it.  Each reads it from the store, once.
TEST_F(Feed, ANewerConfigurationIsReadFromTheStore)
{
    others_reach = others_read = true;
    store_.Put(AG_CONFIG, "config", "1");
    Node node = Start();
    ASSERT_TRUE(Until([&] { return Version(node) == 1; }));
    store_.Put(AG_CONFIG, "config", "2");
    runner_->For(300 * Ck_USEC_PER_MSEC);
    store_.Answer();
    EXPECT_EQ(Version(node), 1);
    EXPECT_TRUE(Fe_Refresh(node.feed));
    EXPECT_TRUE(Fe_Refresh(node.feed));
    ASSERT_TRUE(Until([&] { return Version(node) == 2; }));
    runner_->For(150 * Ck_USEC_PER_MSEC);
    int calls = node.client->calls;
    // It has just been read: what a peer still knows better is to be fetched.
    EXPECT_FALSE(Fe_Refresh(node.feed));
    runner_->For(300 * Ck_USEC_PER_MSEC);
    store_.Answer();
    EXPECT_EQ(node.client->calls, calls);
    // So is everything while the store does not answer here.
    others_read = false;
    node.client->down = true;
    ASSERT_TRUE(Until([&] { return !Fe_Reached(node.feed); }));
    EXPECT_FALSE(Fe_Refresh(node.feed));
}

// Guards against a dropped key that is served for seconds: a store that falls
// silent under a waiting read is noticed only when the read is overdue.
TEST_F(Feed, ASilentReadIsOverdueBeforeAConfigurationMustBeInForce)
{
    store_.Put(AG_CONFIG, "config", "1");
    const int64_t bounds[] = {2 * Ck_USEC_PER_SEC, 3 * Ck_USEC_PER_SEC,
                              11 * Ck_USEC_PER_SEC};
    for (int64_t bound : bounds) {
        Node node = Start(bound);
        ASSERT_TRUE(Until([&] { return node.client->longest_wait > 0; }));
        EXPECT_LT(node.client->longest_wait + Ag_ANSWER_USEC, bound);
        node.client->down = true;
    }
}

// An operator's order to move a service is taken for a configuration, or for
// nothing, and the new version never gets a request.
TEST_F(Feed, OrdersStandBesideTheConfiguration)
{
    orders_seen.clear();
    store_.Put(AG_CONFIG, "config", "4");
    store_.Put(AG_CONFIG, "other", "x");
    store_.Put(AG_CONFIG, "llm", "v2");
    Node node = Start();
    ASSERT_TRUE(Until([&] { return !orders_seen.empty(); }));
    EXPECT_STREQ(orders_seen[0].service, "llm");
    EXPECT_STREQ(orders_seen[0].target, "v2");
    EXPECT_EQ(orders_seen[0].number, 2);
    EXPECT_EQ(Version(node), 4);
    EXPECT_EQ(orders_seen.size(), 1u);
}

// An entry that another writer left breaks the reading of all others.
TEST_F(Feed, ABrokenEntryHidesNoOther)
{
    store_.Put(AG_ENDPOINTS, "a", "rubbish");
    store_.Put(AG_ENDPOINTS, "b", "ready");
    Node node = Start();
    EXPECT_TRUE(Until([&] { return Fl_Find(node.fleet, "b") != nullptr; }));
    EXPECT_EQ(Fl_Find(node.fleet, "a"), nullptr);
}

// Eighty hosts fetch the same records ten times a second, and what has really
// changed comes seconds late: a host that had just started took heartbeats
// for changes, and whoever fetched them was behind its number ever after.
TEST_F(Feed, WhatBringsNothingNewIsFetchedOnce)
{
    store_.Put(AG_ENDPOINTS, "a", "ready");
    Node old = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(old.fleet, "a") != nullptr; }));
    old.client->down = true;
    store_.Put(AG_ENDPOINTS, "a", "ready");
    store_.Put(AG_ENDPOINTS, "a", "ready");
    Node fresh = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(fresh.fleet, "a") != nullptr; }));
    EXPECT_LE(Fe_ChangesEnd(fresh.feed, AG_ENDPOINTS),
              Fe_ChangesEnd(old.feed, AG_ENDPOINTS));
    char *packed;
    size_t len = Fe_PackState(old.feed, 0, 0, &packed);
    Fe_ApplyState(fresh.feed, packed, len);
    free(packed);
    EXPECT_EQ(Fe_ChangesEnd(old.feed, AG_ENDPOINTS),
              Fe_ChangesEnd(fresh.feed, AG_ENDPOINTS));
}

// Guards against requests to an endpoint that leaves: a host that has just
// started knows of the leaving by its listing, and its word was taken for old.
TEST_F(Feed, WhatAStartedHostListedIsNewsToOthers)
{
    store_.Put(AG_CONFIG, "config", "1");
    store_.Put(AG_ENDPOINTS, "a", "ready");
    Node old = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(old.fleet, "a") != nullptr; }));
    store_.Put(AG_ENDPOINTS, "b", "ready");
    ASSERT_TRUE(Until([&] { return Fl_Find(old.fleet, "b") != nullptr; }));
    old.client->down = true;
    store_.Put(AG_ENDPOINTS, "a", "draining");
    Node fresh = Start();
    ASSERT_TRUE(Until([&] { return IsDraining(fresh, "a"); }));
    store_.Put(AG_ENDPOINTS, "c", "ready");
    ASSERT_TRUE(Until([&] { return Fl_Find(fresh.fleet, "c") != nullptr; }));
    int64_t known = Fe_ChangesEnd(old.feed, AG_ENDPOINTS);
    ASSERT_GT(Fe_ChangesEnd(fresh.feed, AG_ENDPOINTS), known);
    char *packed;
    size_t len = Fe_PackState(fresh.feed, INT64_MAX, known, &packed);
    Fe_ApplyState(old.feed, packed, len);
    free(packed);
    EXPECT_TRUE(IsDraining(old, "a"));
    EXPECT_NE(Fl_Find(old.fleet, "c"), nullptr);
    // What it brings is passed on whole, and its number is nobody's change.
    Node far = Start();
    far.client->down = true;
    len = Fe_PackState(old.feed, INT64_MAX, known, &packed);
    Fe_ApplyState(far.feed, packed, len);
    free(packed);
    EXPECT_TRUE(IsDraining(far, "a"));
    EXPECT_EQ(Fe_ChangesEnd(old.feed, AG_ENDPOINTS),
              Fe_ChangesEnd(fresh.feed, AG_ENDPOINTS));
}

// Guards against requests to an endpoint that leaves: its record came between
// two pages of a started host's listing, and was told to nobody.
TEST_F(Feed, WhatComesBetweenPagesOfAFirstListingIsToldToOthers)
{
    store_.page = 1;
    store_.Put(AG_ENDPOINTS, "a", "ready");
    store_.Put(AG_ENDPOINTS, "b", "ready");
    Node old = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(old.fleet, "b") != nullptr; }));
    store_.Put(AG_ENDPOINTS, "a", "draining");
    ASSERT_TRUE(Until([&] { return IsDraining(old, "a"); }));
    old.client->down = true;
    Node fresh = Start();
    ASSERT_TRUE(UntilPage(fresh, 2));
    store_.Put(AG_ENDPOINTS, "b", "draining");
    ASSERT_TRUE(Until([&] { return IsDraining(fresh, "b"); }));
    store_.Put(AG_ENDPOINTS, "c", "ready");
    ASSERT_TRUE(Until([&] { return Fl_Find(fresh.fleet, "c") != nullptr; }));
    Fetch(old, fresh);
    EXPECT_NE(Fl_Find(old.fleet, "c"), nullptr);
    EXPECT_TRUE(IsDraining(old, "b"));
}

// Guards against the same by a host that lists again: a later page showed a
// newer record than one that the host had yet to read.
TEST_F(Feed, ARecordOfALaterPageIsNotTheNumberOfTheListing)
{
    store_.page = 1;
    store_.Put(AG_ENDPOINTS, "a", "ready");
    store_.Put(AG_ENDPOINTS, "b", "ready");
    Node reader = Start();
    Node node = Start();
    ASSERT_TRUE(Until([&] {
        return Fl_Find(reader.fleet, "b") != nullptr &&
               Fl_Find(node.fleet, "b") != nullptr &&
               Fe_ChangesEnd(node.feed, AG_ENDPOINTS) >= 0;
    }));
    node.client->down = true;
    store_.Put(AG_ENDPOINTS, "b", "ready");
    store_.Forget(AG_ENDPOINTS);
    store_.Put(AG_ENDPOINTS, "b", "ready");
    ASSERT_TRUE(UntilPage(reader, reader.client->pages + 2));
    store_.Put(AG_ENDPOINTS, "a", "draining");
    store_.Put(AG_ENDPOINTS, "b", "draining");
    ASSERT_TRUE(runner_->Until([&] {
        if (!IsDraining(reader, "b")) {
            store_.AnswerOnce();
        }
        return IsDraining(reader, "b");
    }));
    ASSERT_FALSE(IsDraining(reader, "a"));
    Fetch(node, reader);
    ASSERT_TRUE(Until([&] { return IsDraining(reader, "a"); }));
    Fetch(node, reader);
    EXPECT_TRUE(IsDraining(node, "a"));
    EXPECT_TRUE(IsDraining(node, "b"));
}

// Guards against requests to an endpoint that has gone: what a host saw
// missing from a peer's whole word it passed on as an old removal.
TEST_F(Feed, WhatAPackLacksIsPassedOnAsRemoved)
{
    store_.Put(AG_ENDPOINTS, "a", "ready");
    store_.Put(AG_ENDPOINTS, "b", "ready");
    Node reader = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(reader.fleet, "b") != nullptr; }));
    Node near = Start();
    Node far = Start();
    near.client->down = far.client->down = true;
    Fetch(near, reader);
    Fetch(far, reader);
    ASSERT_NE(Fl_Find(far.fleet, "a"), nullptr);
    reader.client->down = true;
    store_.Remove(AG_ENDPOINTS, "a");
    store_.Put(AG_ENDPOINTS, "b", "ready");
    store_.Forget(AG_ENDPOINTS);
    Node fresh = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(fresh.fleet, "b") != nullptr; }));
    store_.Put(AG_ENDPOINTS, "c", "ready");
    ASSERT_TRUE(Until([&] { return Fl_Find(fresh.fleet, "c") != nullptr; }));
    Fetch(near, fresh);
    ASSERT_EQ(Fl_Find(near.fleet, "a"), nullptr);
    Fetch(far, near);
    EXPECT_NE(Fl_Find(far.fleet, "c"), nullptr);
    EXPECT_EQ(Fl_Find(far.fleet, "a"), nullptr);
}

// Guards against requests to an endpoint that has gone: a host that had just
// listed the store fetched from one that had listed it long before.
TEST_F(Feed, AnOlderListingOfAPeerReplacesNoNewerOne)
{
    store_.Put(AG_ENDPOINTS, "a", "ready");
    store_.Put(AG_ENDPOINTS, "b", "ready");
    Node peer = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(peer.fleet, "b") != nullptr; }));
    store_.Put(AG_ENDPOINTS, "c", "ready");
    ASSERT_TRUE(Until([&] { return Fl_Find(peer.fleet, "c") != nullptr; }));
    peer.client->down = true;
    store_.Remove(AG_ENDPOINTS, "a");
    store_.Put(AG_ENDPOINTS, "b", "ready");
    Node fresh = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(fresh.fleet, "b") != nullptr; }));
    Fetch(fresh, peer);
    EXPECT_EQ(Fl_Find(fresh.fleet, "a"), nullptr);
    store_.Put(AG_ENDPOINTS, "d", "ready");
    ASSERT_TRUE(Until([&] { return Fl_Find(fresh.fleet, "d") != nullptr; }));
    Fetch(peer, fresh);
    EXPECT_NE(Fl_Find(peer.fleet, "d"), nullptr);
    EXPECT_EQ(Fl_Find(peer.fleet, "a"), nullptr);
}

// Guards against requests to an endpoint that has gone: a peer that had not
// heard of that told of it while this host was listing.
TEST_F(Feed, AListingIsNotFilledUpByAPeer)
{
    store_.page = 1;
    for (const char *id : {"a", "b", "c"}) {
        store_.Put(AG_ENDPOINTS, id, "ready");
    }
    Node peer = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(peer.fleet, "c") != nullptr; }));
    store_.Put(AG_ENDPOINTS, "d", "ready");
    ASSERT_TRUE(Until([&] { return Fl_Find(peer.fleet, "d") != nullptr; }));
    peer.client->down = true;
    store_.Remove(AG_ENDPOINTS, "a");
    Node fresh = Start();
    ASSERT_TRUE(UntilPage(fresh, 2));
    Fetch(fresh, peer);
    ASSERT_NE(Fl_Find(fresh.fleet, "a"), nullptr);
    store_.Put(AG_ENDPOINTS, "e", "ready");
    ASSERT_TRUE(Until([&] { return Fl_Find(fresh.fleet, "e") != nullptr; }));
    EXPECT_EQ(Fl_Find(fresh.fleet, "a"), nullptr);
    EXPECT_NE(Fl_Find(fresh.fleet, "b"), nullptr);
}

// Guards against a live endpoint that is taken for gone: what a peer tells
// between two pages is not all that was listed before.
TEST_F(Feed, APeersWordForgetsNoPageOfAListing)
{
    store_.page = 1;
    for (const char *id : {"a", "b", "c"}) {
        store_.Put(AG_ENDPOINTS, id, "ready");
    }
    Node reader = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(reader.fleet, "c") != nullptr; }));
    Node peer = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(peer.fleet, "c") != nullptr; }));
    store_.Put(AG_ENDPOINTS, "d", "ready");
    ASSERT_TRUE(Until([&] {
        return Fl_Find(reader.fleet, "d") != nullptr &&
               Fl_Find(peer.fleet, "d") != nullptr;
    }));
    reader.client->down = true;
    store_.Put(AG_ENDPOINTS, "c", "draining");
    ASSERT_TRUE(Until([&] { return IsDraining(peer, "c"); }));
    store_.Forget(AG_ENDPOINTS);
    reader.client->down = false;
    ASSERT_TRUE(UntilPage(reader, reader.client->pages + 2));
    Fetch(reader, peer);
    ASSERT_TRUE(Until([&] { return IsDraining(reader, "c"); }));
    store_.Put(AG_ENDPOINTS, "e", "ready");
    ASSERT_TRUE(Until([&] { return Fl_Find(reader.fleet, "e") != nullptr; }));
    EXPECT_NE(Fl_Find(reader.fleet, "a"), nullptr);
}

// Requests go on reaching an endpoint that has left: the host learned from a
// daemon that had read the store after a pause and never saw it come or go.
// What that daemon does not list is gone, and its number says no more.
TEST_F(Feed, ARemovalUnknownToAPeerIsSeenInWhatItLacks)
{
    store_.Put(AG_ENDPOINTS, "a", "ready");
    Node reader = Start();
    Node pauser = Start();
    ASSERT_TRUE(Until([&] {
        return Fl_Find(reader.fleet, "a") != nullptr &&
               Fl_Find(pauser.fleet, "a") != nullptr;
    }));
    Node far = Start();
    far.client->down = true;
    pauser.client->down = true;
    store_.Put(AG_ENDPOINTS, "b", "ready");
    ASSERT_TRUE(Until([&] { return Fl_Find(reader.fleet, "b") != nullptr; }));
    char *packed;
    size_t len = Fe_PackState(reader.feed, 0, 0, &packed);
    Fe_ApplyState(far.feed, packed, len);
    free(packed);
    ASSERT_NE(Fl_Find(far.fleet, "b"), nullptr);
    store_.Remove(AG_ENDPOINTS, "b");
    store_.Put(AG_ENDPOINTS, "a", "draining");
    store_.Forget(AG_ENDPOINTS);
    pauser.client->down = false;
    ASSERT_TRUE(Until([&] {
        const struct fl_endpoint *a = Fl_Find(pauser.fleet, "a");
        return a != nullptr && !Fl_Usable(a);
    }));
    len = Fe_PackState(pauser.feed, 0, Fe_ChangesEnd(far.feed, AG_ENDPOINTS),
                       &packed);
    Fe_ApplyState(far.feed, packed, len);
    free(packed);
    EXPECT_EQ(Fl_Find(far.fleet, "b"), nullptr);
    EXPECT_NE(Fl_Find(far.fleet, "a"), nullptr);
}

// A request reaches an endpoint three seconds after it has left: a host that
// had just started listed the entries without it, and then took it over from a
// peer that had not yet heard of its end.
TEST_F(Feed, APeerDoesNotBringBackWhatTheListingLacks)
{
    store_.Put(AG_ENDPOINTS, "a", "ready");
    store_.Put(AG_ENDPOINTS, "b", "ready");
    Node late = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(late.fleet, "b") != nullptr; }));
    late.client->down = true;
    store_.Remove(AG_ENDPOINTS, "b");
    Node fresh = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(fresh.fleet, "a") != nullptr; }));
    char *packed;
    size_t len = Fe_PackState(late.feed, 0, 0, &packed);
    Fe_ApplyState(fresh.feed, packed, len);
    free(packed);
    EXPECT_EQ(Fl_Find(fresh.fleet, "b"), nullptr);
    EXPECT_NE(Fl_Find(fresh.fleet, "a"), nullptr);
}

// Guards against hundreds of daemons that each list every endpoint when they
// start, though the first one heard could tell them all of it.
TEST_F(Feed, AStartAmongManyReadsOnePage)
{
    store_.page = 2;
    for (int i = 0; i < 9; i++) {
        store_.Put(AG_ENDPOINTS, "k" + std::to_string(i), "ready");
    }
    Node old = Start();
    ASSERT_TRUE(
        Until([&] { return Fe_ChangesEnd(old.feed, AG_ENDPOINTS) > 0; }));
    others_known = others_read = true;
    Node fresh = Start();
    ASSERT_TRUE(Until([&] { return Fl_Any(fresh.fleet); }));
    Fetch(fresh, old);
    runner_->For(600 * Ck_USEC_PER_MSEC);
    store_.Answer();
    EXPECT_EQ(fresh.client->pages, 1);
    for (int i = 0; i < 9; i++) {
        std::string key = "k" + std::to_string(i);
        EXPECT_NE(Fl_Find(fresh.fleet, key.c_str()), nullptr) << key;
    }
    // Those who read are gone: what came since the pack is read.
    store_.Remove(AG_ENDPOINTS, "k0");
    others_read = false;
    EXPECT_TRUE(Until([&] { return Fl_Find(fresh.fleet, "k0") == nullptr; }));
    EXPECT_EQ(fresh.client->pages, 1);
}

// Guards against a start among many that are all starting: nobody has a pack,
// and the daemon would serve with one page for good.
TEST_F(Feed, AStartOfAllListsEveryPage)
{
    store_.page = 2;
    for (int i = 0; i < 9; i++) {
        store_.Put(AG_ENDPOINTS, "k" + std::to_string(i), "ready");
    }
    others_known = others_read = true;
    Node node = Start();
    EXPECT_TRUE(Until([&] { return Fl_Find(node.fleet, "k8") != nullptr; }));
}

// Bytes of a peer that make no sense stop a daemon.
TEST_F(Feed, RubbishFromAPeerIsPassedOver)
{
    Node node = Start();
    node.client->down = true;
    const char rubbish[] = "\x92\x91\x93\xa1k\xff\xc0\x01";
    Fe_ApplyState(node.feed, rubbish, sizeof(rubbish) - 1);
    EXPECT_EQ(Version(node), -1);
}

} // namespace
