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

std::vector<struct ro_order> orders_received;

void
OnOrder(void *arg, const struct ro_order *order)
{
    (void)arg;
    orders_received.push_back(*order);
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

// What a daemon under test knows of its peers: whether they reach the store,
// whether enough of them read it, and whether enough of them are known.
bool peers_reach;
bool peers_read;

bool
PeersReach(void *arg)
{
    (void)arg;
    return peers_reach;
}

bool
PeersRead(void *arg, enum ag_topic topic)
{
    (void)arg;
    (void)topic;
    return peers_read;
}

bool peers_known;

bool
PeersKnown(void *)
{
    return peers_known;
}

// The evacuation state of each data centre that was last reported.
std::map<std::string, bool> evacuated;

void
OnEvacuation(void *, const char *zone, bool evacuate)
{
    evacuated[zone] = evacuate;
}

const struct fe_ops ops = {OnConfig,   OnOrder,   OnEvacuation, OnStore,
                           PeersReach, PeersRead, PeersKnown};

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
        peers_reach = peers_read = peers_known = false;
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

    // Delivers results until the daemon has requested "pages" pages of
    // listings.
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

    // Fetches once from a peer what has changed there.
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

// Guards against a host that serves a deleted route again: it got the newer
// configuration from a peer, and then read an older one from a store that had
// lost its history.
TEST_F(Feed, AnOlderConfigurationDoesNotReplaceANewerOne)
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

// Guards against requests to a stopped endpoint when the store dropped its
// history while the removal was written. The remaining records do not include
// the removal, so only a new listing shows it.
TEST_F(Feed, ARemovalInDroppedHistoryIsApplied)
{
    store_.Put(AG_CONFIG, "config", "1");
    store_.Put(AG_ENDPOINTS, "a", "ready");
    store_.Put(AG_ENDPOINTS, "b", "ready");
    Node node = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(node.fleet, "b") != nullptr; }));
    node.client->down = true;
    store_.Remove(AG_ENDPOINTS, "b");
    store_.Put(AG_ENDPOINTS, "a", "ready");
    store_.DropHistory(AG_ENDPOINTS);
    node.client->down = false;
    EXPECT_TRUE(Until([&] { return Fl_Find(node.fleet, "b") == nullptr; }));
    EXPECT_NE(Fl_Find(node.fleet, "a"), nullptr);
}

// Guards against requests to an evacuated data centre, and against one that
// stays evacuated for ever, when the order was written or removed while the
// daemon did not read: the history was dropped, or a peer passes the change
// on.
TEST_F(Feed, AnEvacuationIsAppliedAndRevoked)
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
    store_.DropHistory(AG_CONFIG);
    node.client->down = false;
    EXPECT_TRUE(Until([&] { return evacuated["c"] && !evacuated["b"]; }));
    EXPECT_EQ(Version(node), 2);
}

// Guards against an evacuation that is missed, or does not end, at a daemon
// that learns of it only from a peer.
TEST_F(Feed, APeerPassesAnEvacuationAndItsEndOn)
{
    evacuated.clear();
    store_.Put(AG_CONFIG, "config", "1");
    store_.Put(AG_CONFIG, "evacuate/a", "{}");
    Node reader = Start();
    Node other = Start();
    other.client->down = true;
    ASSERT_TRUE(Until([&] { return Version(reader) == 1; }));
    ASSERT_TRUE(evacuated["a"]);
    auto pass_on = [&] {
        char *packed;
        size_t len =
            Fe_PackState(reader.feed, Fe_ChangesEnd(other.feed, AG_CONFIG),
                         INT64_MAX, &packed);
        Fe_ApplyState(other.feed, packed, len);
        free(packed);
    };
    evacuated.clear();
    pass_on();
    EXPECT_TRUE(evacuated["a"]);
    store_.Remove(AG_CONFIG, "evacuate/a");
    ASSERT_TRUE(Until([&] { return !evacuated["a"]; }));
    evacuated["a"] = true;
    pass_on();
    EXPECT_FALSE(evacuated["a"]);
}

// Guards against needless calls to a store that rejects a third of eighty
// hosts. In nine seconds these hosts made two thousand calls, each of which is
// charged, although the other hosts read the store and pass on every change.
TEST_F(Feed, ARejectedDaemonLeavesReadingToOthers)
{
    store_.Put(AG_CONFIG, "config", "1");
    store_.Put(AG_ENDPOINTS, "a", "ready");
    Node node = Start();
    ASSERT_TRUE(Until([&] { return Fl_Find(node.fleet, "a") != nullptr; }));
    node.client->down = true;
    ASSERT_TRUE(Until([&] { return !Fe_Reached(node.feed); }));
    peers_reach = peers_read = true;
    ASSERT_TRUE(Until([&] { return node.client->calls > 0; }));
    runner_->For(600 * Ck_USEC_PER_MSEC);
    store_.Answer();
    int calls = node.client->calls;
    for (int i = 0; i < 10; i++) {
        runner_->For(100 * Ck_USEC_PER_MSEC);
        store_.Answer();
    }
    EXPECT_EQ(node.client->calls, calls);
    // When the others stop reading, the daemon reads again and succeeds.
    peers_read = false;
    node.client->down = false;
    EXPECT_TRUE(Until([&] { return Fe_Reached(node.feed); }));
}

// Guards against removing live endpoints when the store comes back. Their
// entries had expired while no host reached the store, another host reached it
// first, and this host no longer reads itself.
TEST_F(Feed, RemovalsAreHeldWhileOthersReadAfterAnOutage)
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
    peers_reach = peers_read = true;
    char *packed;
    size_t len = Fe_PackState(reader.feed, 0, 0, &packed);
    Fe_ApplyState(node.feed, packed, len);
    free(packed);
    EXPECT_NE(Fl_Find(node.fleet, "a"), nullptr);
}

// Guards against a host that refuses existing routes until the next
// configuration. The host had fetched only endpoints and taken the offset of a
// configuration that it was not sent for its own.
TEST_F(Feed, ATopicNotFetchedKeepsItsOffset)
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
    // A host without records must not take an empty reply for the whole state.
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

// Guards against requests to a stopping endpoint, which half of ninety hosts
// still sent after five seconds. A host began to read the store with a listing
// in several pages. After the first page it already reported the offset of the
// newest change for all its records. Hosts that fetched from it then skipped
// the changes on the second page for good.
TEST_F(Feed, AListingInPagesReportsChangesAtItsEnd)
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
    store_.DropHistory(AG_ENDPOINTS);
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

// Guards against eighty hosts that fetch a large configuration from the host
// that read it first. For three seconds they served deleted routes, and
// removals of endpoints waited behind the fetch. Each host has to read the
// configuration from the store instead, once.
TEST_F(Feed, ANewerConfigurationIsReadFromTheStore)
{
    peers_reach = peers_read = true;
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
    // It was read a moment ago, so a newer one has to be fetched from the
    // peer.
    EXPECT_FALSE(Fe_Refresh(node.feed));
    runner_->For(300 * Ck_USEC_PER_MSEC);
    store_.Answer();
    EXPECT_EQ(node.client->calls, calls);
    // It also has to be fetched while the store does not answer this host.
    peers_read = false;
    node.client->down = true;
    ASSERT_TRUE(Until([&] { return !Fe_Reached(node.feed); }));
    EXPECT_FALSE(Fe_Refresh(node.feed));
}

// Guards against a deleted key that is accepted for seconds because a store
// that hangs during a waiting read is noticed only when the read is overdue.
TEST_F(Feed, AHungReadIsOverdueBeforeAConfigurationMustBeInForce)
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

// Guards against an operator's order to move a service that is taken for a
// configuration or ignored, so that the new version never gets a request.
TEST_F(Feed, OrdersAreReadBesideTheConfiguration)
{
    orders_received.clear();
    store_.Put(AG_CONFIG, "config", "4");
    store_.Put(AG_CONFIG, "other", "x");
    store_.Put(AG_CONFIG, "llm", "v2");
    Node node = Start();
    ASSERT_TRUE(Until([&] { return !orders_received.empty(); }));
    EXPECT_STREQ(orders_received[0].service, "llm");
    EXPECT_STREQ(orders_received[0].target, "v2");
    EXPECT_EQ(orders_received[0].number, 2);
    EXPECT_EQ(Version(node), 4);
    EXPECT_EQ(orders_received.size(), 1u);
}

// Guards against an invalid entry from another writer that stops all other
// entries from being read.
TEST_F(Feed, AnInvalidEntryHidesNoOther)
{
    store_.Put(AG_ENDPOINTS, "a", "rubbish");
    store_.Put(AG_ENDPOINTS, "b", "ready");
    Node node = Start();
    EXPECT_TRUE(Until([&] { return Fl_Find(node.fleet, "b") != nullptr; }));
    EXPECT_EQ(Fl_Find(node.fleet, "a"), nullptr);
}

// Guards against eighty hosts that fetch the same records ten times a second,
// which delays real changes by seconds. A host that had just started took
// heartbeats for changes, and the hosts that fetched from it stayed behind its
// reported offset.
TEST_F(Feed, HeartbeatsAreNotFetchedAsChanges)
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

// Guards against requests to a stopping endpoint: a host that has just started
// learned of the stop from its listing, and its record was taken for an old
// one.
TEST_F(Feed, ChangesListedByAStartedHostReachPeers)
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
    int64_t old_end = Fe_ChangesEnd(old.feed, AG_ENDPOINTS);
    ASSERT_GT(Fe_ChangesEnd(fresh.feed, AG_ENDPOINTS), old_end);
    char *packed;
    size_t len = Fe_PackState(fresh.feed, INT64_MAX, old_end, &packed);
    Fe_ApplyState(old.feed, packed, len);
    free(packed);
    EXPECT_TRUE(IsDraining(old, "a"));
    EXPECT_NE(Fl_Find(old.fleet, "c"), nullptr);
    // The old host passes the fresh host's records on completely, and its
    // reported offset does not grow beyond the last change.
    Node far = Start();
    far.client->down = true;
    len = Fe_PackState(old.feed, INT64_MAX, old_end, &packed);
    Fe_ApplyState(far.feed, packed, len);
    free(packed);
    EXPECT_TRUE(IsDraining(far, "a"));
    EXPECT_EQ(Fe_ChangesEnd(old.feed, AG_ENDPOINTS),
              Fe_ChangesEnd(fresh.feed, AG_ENDPOINTS));
}

// Guards against requests to a stopping endpoint whose record was written
// between two pages of a starting host's listing and then not passed on to any
// peer.
TEST_F(Feed, ChangesBetweenPagesOfAFirstListingReachPeers)
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

// Guards against requests to a stopping endpoint when a host lists again: a
// later page held a newer record than one that the host had yet to read.
TEST_F(Feed, ARecordOfALaterPageIsNotTheEndOfTheListing)
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
    store_.DropHistory(AG_ENDPOINTS);
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

// Guards against requests to a removed endpoint: a host that inferred the
// removal from a peer's full state passed it on with an old offset.
TEST_F(Feed, RecordsMissingFromAFullStateArePassedOnAsRemoved)
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
    store_.DropHistory(AG_ENDPOINTS);
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

// Guards against requests to a removed endpoint: a host that had just listed
// the store fetched from a peer whose listing was much older.
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

// Guards against requests to a removed endpoint: a peer that had not learned
// of the removal passed the endpoint on while this host was listing.
TEST_F(Feed, APeerDoesNotAddRemovedRecordsToAListing)
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

// Guards against a live endpoint that is removed because a peer's state,
// applied between two pages of a listing, lacks some records of the pages
// before it.
TEST_F(Feed, APeersStateRemovesNoPageOfAListing)
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
    store_.DropHistory(AG_ENDPOINTS);
    reader.client->down = false;
    ASSERT_TRUE(UntilPage(reader, reader.client->pages + 2));
    Fetch(reader, peer);
    ASSERT_TRUE(Until([&] { return IsDraining(reader, "c"); }));
    store_.Put(AG_ENDPOINTS, "e", "ready");
    ASSERT_TRUE(Until([&] { return Fl_Find(reader.fleet, "e") != nullptr; }));
    EXPECT_NE(Fl_Find(reader.fleet, "a"), nullptr);
}

// Guards against requests to a stopped endpoint when the host learns from a
// daemon that had paused its reads and never saw the endpoint appear or stop.
// A record that this daemon's full state lacks has been removed; its offset
// alone does not show that.
TEST_F(Feed, ARemovalUnknownToAPeerIsInferredFromItsFullState)
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
    store_.DropHistory(AG_ENDPOINTS);
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

// Guards against a request that reaches an endpoint three seconds after it
// stopped. A host that had just started listed the entries without the
// endpoint, and then took the entry from a peer that had not learned of the
// stop.
TEST_F(Feed, APeerDoesNotRestoreRecordsMissingFromTheListing)
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
// start, although the first peer whose message arrives could send the whole
// state.
TEST_F(Feed, AStartAmongManyReadsOnePage)
{
    store_.page = 2;
    for (int i = 0; i < 9; i++) {
        store_.Put(AG_ENDPOINTS, "k" + std::to_string(i), "ready");
    }
    Node old = Start();
    ASSERT_TRUE(
        Until([&] { return Fe_ChangesEnd(old.feed, AG_ENDPOINTS) > 0; }));
    peers_known = peers_read = true;
    Node fresh = Start();
    ASSERT_TRUE(Until([&] { return Fl_HasEndpoints(fresh.fleet); }));
    Fetch(fresh, old);
    runner_->For(600 * Ck_USEC_PER_MSEC);
    store_.Answer();
    EXPECT_EQ(fresh.client->pages, 1);
    for (int i = 0; i < 9; i++) {
        std::string key = "k" + std::to_string(i);
        EXPECT_NE(Fl_Find(fresh.fleet, key.c_str()), nullptr) << key;
    }
    // The readers are gone: changes since the peer's state are read from the
    // store.
    store_.Remove(AG_ENDPOINTS, "k0");
    peers_read = false;
    EXPECT_TRUE(Until([&] { return Fl_Find(fresh.fleet, "k0") == nullptr; }));
    EXPECT_EQ(fresh.client->pages, 1);
}

// Guards against a daemon that serves with one page for good when all daemons
// start together and no peer has a state to send.
TEST_F(Feed, AStartOfAllListsEveryPage)
{
    store_.page = 2;
    for (int i = 0; i < 9; i++) {
        store_.Put(AG_ENDPOINTS, "k" + std::to_string(i), "ready");
    }
    peers_known = peers_read = true;
    Node node = Start();
    EXPECT_TRUE(Until([&] { return Fl_Find(node.fleet, "k8") != nullptr; }));
}

// Guards against malformed bytes from a peer that crash a daemon.
TEST_F(Feed, MalformedBytesFromAPeerAreIgnored)
{
    Node node = Start();
    node.client->down = true;
    const char rubbish[] = "\x92\x91\x93\xa1k\xff\xc0\x01";
    Fe_ApplyState(node.feed, rubbish, sizeof(rubbish) - 1);
    EXPECT_EQ(Version(node), -1);
}

} // namespace
