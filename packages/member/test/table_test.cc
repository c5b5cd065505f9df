#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "member/table.h"

namespace {

const int64_t kMsec = Ck_USEC_PER_MSEC;
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

struct Net;

struct Node {
    Net *net = nullptr;
    int number = 0;
    std::string id;
    std::string data_centre;
    std::string region;
    struct mb_table *table = nullptr;
    int64_t paused_until = 0;
    /* times each member was declared dead */
    std::map<std::string, int> deaths;
    int suspicions = 0;
};

struct Packet {
    int from;
    int to;
    struct mb_message message;
};

/*
 * Members in one process on a simulated network with loss, delay and
 * partitions.
 */
struct Net {
    std::vector<std::unique_ptr<Node>> nodes;
    std::multimap<int64_t, Packet> packets;
    std::function<bool(const Node &, const Node &)> partition;
    struct rn_random random;
    uint32_t loss_percent = 0;
    int64_t delay = kMsec;
    int64_t jitter = kMsec;
    size_t max_update_bytes = 0;
    bool exchanges = true;

    /* CG_SEED in the environment selects other random runs. */
    explicit Net(uint64_t seed)
    {
        const char *more = getenv("CG_SEED");
        Rn_Seed(&random, seed + (more != nullptr ? atoi(more) * 1000 : 0));
    }

    ~Net()
    {
        for (auto &node : nodes) {
            Mb_Destroy(node->table);
        }
    }

    bool
    Blocked(const Node &from, const Node &to)
    {
        return partition && partition(from, to);
    }

    static void
    Send(void *arg, const struct mb_endpoint *to, enum mb_distance distance,
         const struct mb_message *message)
    {
        auto *node = static_cast<Node *>(arg);
        Net *net = node->net;
        size_t bytes = 0;
        for (size_t i = 0; i < message->update_count; i++) {
            bytes += Mb_RecordBytes(&message->updates[i]);
        }
        net->max_update_bytes = std::max(net->max_update_bytes, bytes);
        size_t target = to->port - 1000U;
        if (target >= net->nodes.size() ||
            net->Blocked(*node, *net->nodes[target]) ||
            Rn_Below(&net->random, 100) < net->loss_percent) {
            return;
        }
        int64_t at = now_usec + net->delay +
                     Rn_Below(&net->random, (uint32_t)net->jitter + 1);
        net->packets.insert({at, {node->number, (int)target, *message}});
    }

    static void
    Changed(void *arg, const struct mb_record *member, enum mb_state before)
    {
        auto *node = static_cast<Node *>(arg);
        if (member->state == MB_DEAD) {
            node->deaths[member->id]++;
        }
        node->suspicions += member->state == MB_SUSPECT ? 1 : 0;
    }

    /* Stands for the fact that bridges publish in their data centre. */
    static void
    Reach(void *arg, const char *data_centre, bool reachable)
    {
        auto *node = static_cast<Node *>(arg);
        for (auto &other : node->net->nodes) {
            if (other->table != nullptr &&
                other->data_centre == node->data_centre) {
                Mb_SetReachable(other->table, data_centre, reachable);
            }
        }
    }

    void
    Start(Node *node, uint64_t incarnation)
    {
        static const struct mb_ops ops = {Send, Changed, Reach};
        struct mb_options options = {};
        snprintf(options.self.id, Mb_ID_MAX, "%s", node->id.c_str());
        snprintf(options.self.address, Mb_ADDRESS_MAX, "10.0.0.1");
        snprintf(options.self.data_centre, Mb_NAME_MAX, "%s",
                 node->data_centre.c_str());
        snprintf(options.self.region, Mb_NAME_MAX, "%s", node->region.c_str());
        options.self.peer_port = (uint16_t)(1000 + node->number);
        options.self.incarnation = incarnation;
        options.clock = &kClock;
        options.random = &random;
        options.ops = &ops;
        options.arg = node;
        ASSERT_EQ(ST_OK, Mb_Create(&options, &node->table));
        struct mb_endpoint seed = {};
        snprintf(seed.address, sizeof(seed.address), "10.0.0.1");
        seed.port = 1000;
        Mb_SetSeeds(node->table, &seed, 1);
    }

    Node *
    Add(const std::string &data_centre, const std::string &region)
    {
        auto node = std::make_unique<Node>();
        node->net = this;
        node->number = (int)nodes.size();
        node->id = "n" + std::to_string(nodes.size());
        node->data_centre = data_centre;
        node->region = region;
        Start(node.get(), 1);
        nodes.push_back(std::move(node));
        return nodes.back().get();
    }

    void
    AddMany(int count, int data_centres, int regions)
    {
        for (int i = 0; i < count; i++) {
            int dc = i % data_centres;
            Add("dc" + std::to_string(dc),
                "region" + std::to_string(dc % regions));
        }
    }

    void
    Kill(Node *node)
    {
        Mb_Destroy(node->table);
        node->table = nullptr;
    }

    bool
    IsRunning(const Node &node) const
    {
        return node.table != nullptr && now_usec >= node.paused_until;
    }

    /* Simulates the exchange of full state over TCP. */
    void
    Exchange(Node &a, Node &b)
    {
        const struct mb_record *peer =
            IsRunning(a) ? Mb_Find(a.table, b.id.c_str()) : nullptr;
        if (peer == nullptr || peer->state == MB_DEAD) {
            return;
        }
        if (&a == &b || !IsRunning(a) || !IsRunning(b) || Blocked(a, b) ||
            Blocked(b, a)) {
            return;
        }
        std::vector<struct mb_record> mine;
        for (const auto *r = Mb_First(a.table); r; r = Mb_Next(r)) {
            mine.push_back(*r);
        }
        for (const auto *r = Mb_First(b.table); r; r = Mb_Next(r)) {
            struct mb_record copy = *r;
            Mb_Apply(a.table, &copy);
        }
        for (const auto &record : mine) {
            Mb_Apply(b.table, &record);
        }
    }

    void
    Deliver()
    {
        for (auto it = packets.begin();
             it != packets.end() && it->first <= now_usec;) {
            Node &to = *nodes[it->second.to];
            if (to.table != nullptr && !IsRunning(to)) {
                ++it; /* waits in the socket of the paused process */
                continue;
            }
            Packet packet = it->second;
            it = packets.erase(it);
            if (to.table != nullptr) {
                struct mb_endpoint from = {};
                snprintf(from.address, sizeof(from.address), "10.0.0.1");
                from.port = (uint16_t)(1000 + packet.from);
                Mb_Receive(to.table, &from, &packet.message);
            }
        }
    }

    void
    Run(int64_t usec)
    {
        const int64_t step = 10 * kMsec;
        for (int64_t end = now_usec + usec; now_usec < end; now_usec += step) {
            Deliver();
            for (auto &node : nodes) {
                int64_t phase = now_usec + node->number % 10 * step;
                /* After a pause, a process runs its timers before it reads. */
                bool resumed = node->paused_until == now_usec;
                if (!IsRunning(*node) ||
                    (!resumed && phase % (100 * kMsec) != 0)) {
                    continue;
                }
                Mb_Tick(node->table);
                if (phase % (200 * kMsec) == 0 && Mb_HasUpdates(node->table)) {
                    Mb_Gossip(node->table);
                }
            }
            Deliver();
            if (exchanges && now_usec % kSec == 0) {
                auto n = (uint32_t)nodes.size();
                Exchange(*nodes[Rn_Below(&random, n)],
                         *nodes[Rn_Below(&random, n)]);
            }
        }
    }

    size_t
    Usable(const Node &node) const
    {
        size_t count = 0;
        for (const auto *r = Mb_First(node.table); r; r = Mb_Next(r)) {
            count += Mb_Usable(node.table, r) ? 1 : 0;
        }
        return count;
    }

    bool
    AllSee(size_t usable) const
    {
        for (const auto &node : nodes) {
            if (node->table != nullptr && Usable(*node) != usable) {
                return false;
            }
        }
        return true;
    }

    bool
    RunUntil(int64_t limit_usec, const std::function<bool()> &done)
    {
        for (int64_t end = now_usec + limit_usec; now_usec < end;) {
            if (done()) {
                return true;
            }
            Run(100 * kMsec);
        }
        return done();
    }

    int
    Deaths() const
    {
        int count = 0;
        for (const auto &node : nodes) {
            for (const auto &death : node->deaths) {
                count += death.second;
            }
        }
        return count;
    }

    void
    Join()
    {
        ASSERT_TRUE(
            RunUntil(300 * kSec, [&] { return AllSee(nodes.size()); }));
    }
};

enum mb_state
state_of(const Node &at, const Node &of)
{
    const struct mb_record *record = Mb_Find(at.table, of.id.c_str());
    return record != nullptr ? record->state : MB_DEAD;
}

TEST(Table, SevenNodesFindEachOtherFromOneSeed)
{
    Net net(1);
    net.AddMany(7, 4, 1);
    EXPECT_TRUE(net.RunUntil(20 * kSec, [&] { return net.AllSee(7); }));
    EXPECT_EQ(0, net.Deaths());
}

/*
 * Guards against requests failing for minutes because peers keep sending work
 * to a failed host.  Every node must drop it within seconds, also those of
 * another region, which do not probe it themselves.
 */
TEST(Table, DeadNodeIsDroppedEverywhere)
{
    Net net(2);
    net.AddMany(60, 4, 2);
    net.Join();
    net.Kill(net.nodes[17].get());
    EXPECT_TRUE(net.RunUntil(20 * kSec, [&] { return net.AllSee(59); }));
    net.Run(60 * kSec);
    EXPECT_EQ(59, net.Deaths());
    EXPECT_LE(net.max_update_bytes, (size_t)Mb_UPDATE_BYTES);
}

TEST(Table, LossAndDelayCauseNoDeaths)
{
    Net net(3);
    net.AddMany(40, 4, 2);
    net.Join();
    net.loss_percent = 20;
    net.jitter = 100 * kMsec;
    net.Run(600 * kSec);
    EXPECT_EQ(0, net.Deaths());
}

/*
 * Guards against two regions staying separate clusters after an hour's network
 * partition: unreachable members were declared dead and removed, and were not
 * probed again.
 */
TEST(Table, RegionPartitionedForAnHourIsKeptAndRejoins)
{
    Net net(4);
    net.AddMany(24, 4, 2);
    net.Join();
    net.partition = [](const Node &a, const Node &b) {
        return a.region != b.region;
    };
    net.Run(3600 * kSec);
    EXPECT_EQ(0, net.Deaths());
    for (auto &node : net.nodes) {
        EXPECT_EQ(24U, Mb_Count(node->table, MB_ALIVE));
    }
    EXPECT_TRUE(net.AllSee(12));
    EXPECT_FALSE(Mb_Reachable(net.nodes[0]->table, "dc1"));
    net.partition = nullptr;
    EXPECT_TRUE(net.RunUntil(120 * kSec, [&] { return net.AllSee(24); }));
}

/*
 * Two data centres of one region are partitioned for ten minutes.  With few
 * nodes each side declares the other dead.  Both must find each other again
 * although neither is in the other's probe order any more.
 */
TEST(Table, PartitionHealsInASmallCluster)
{
    Net net(5);
    net.AddMany(7, 2, 1);
    net.Join();
    net.partition = [](const Node &a, const Node &b) {
        return a.data_centre != b.data_centre;
    };
    net.Run(600 * kSec);
    EXPECT_LT(net.Usable(*net.nodes[0]), 7U);
    for (auto &node : net.nodes) {
        /* the host list is unavailable too */
        Mb_SetSeeds(node->table, nullptr, 0);
    }
    net.partition = nullptr;
    EXPECT_TRUE(net.RunUntil(120 * kSec, [&] { return net.AllSee(7); }));
}

/*
 * Guards against a healthy node losing all its work because one path fails in
 * one direction: n1 receives from n2, but n2 does not receive from n1, so that
 * every direct probe between them fails.  The indirect probes must keep both
 * alive.
 */
TEST(Table, AsymmetricPartitionCausesNoDeaths)
{
    Net net(6);
    net.AddMany(7, 2, 1);
    net.Join();
    net.partition = [](const Node &a, const Node &b) {
        return a.id == "n1" && b.id == "n2";
    };
    net.Run(300 * kSec);
    EXPECT_EQ(0, net.Deaths());
    for (auto &node : net.nodes) {
        EXPECT_EQ(0, node->suspicions) << node->id;
    }
}

/*
 * Guards against a daemon that gets no processor time for two seconds being
 * declared dead, or declaring others dead when it runs again: all its
 * deadlines have passed while the acks wait unread.
 */
TEST(Table, SlowNodeCausesNoDeaths)
{
    Net net(7);
    net.AddMany(20, 2, 1);
    net.Join();
    net.delay = 100 * kMsec; /* probes are often open when a pause begins */
    for (int i = 0; i < 40; i++) {
        net.nodes[3]->paused_until = now_usec + 2 * kSec;
        net.Run(4 * kSec + Rn_Below(&net.random, 100) * 20 * kMsec);
    }
    EXPECT_EQ(0, net.Deaths());
    EXPECT_EQ(0, net.nodes[3]->suspicions);
}

/*
 * Guards against a daemon that was stopped for five seconds suspecting the
 * member that it had just probed: its timers run before it reads the ack that
 * has arrived meanwhile.
 */
TEST(Table, ResumedNodeDropsItsOpenProbes)
{
    Net net(15);
    Node &node = *net.Add("dc0", "region0");
    for (int i = 1; i <= 3; i++) {
        struct mb_record silent = *Mb_Self(node.table);
        snprintf(silent.id, sizeof(silent.id), "silent%d", i);
        Mb_Apply(node.table, &silent);
    }
    net.Run(kSec); /* the first probe is sent in this time */
    for (int i = 0; i < 5; i++) {
        now_usec += 5 * kSec;
        Mb_Tick(node.table);
        EXPECT_EQ(0, node.suspicions);
    }
    net.Run(3 * kSec); /* running again, it suspects the silent members */
    EXPECT_GT(node.suspicions, 0);
}

/*
 * A node paused for half a minute is correctly declared dead.  When it runs
 * again, it must not declare others dead and must rejoin with a new
 * incarnation.
 */
TEST(Table, LongPausedNodeRejoinsAndDeclaresNobodyDead)
{
    Net net(8);
    net.AddMany(20, 2, 1);
    net.Join();
    net.nodes[3]->paused_until = now_usec + 30 * kSec;
    net.Run(25 * kSec);
    EXPECT_EQ(MB_DEAD, state_of(*net.nodes[5], *net.nodes[3]));
    EXPECT_TRUE(net.RunUntil(90 * kSec, [&] { return net.AllSee(20); }));
    EXPECT_EQ(0, net.nodes[3]->suspicions);
    EXPECT_GT(Mb_Self(net.nodes[3]->table)->incarnation, 1U);
}

/*
 * Guards against a host whose switch port fails for two minutes declaring all
 * others dead and gossiping that when it is connected again, so that every
 * node is briefly marked dead.  It must detect that it is isolated.
 */
TEST(Table, IsolatedNodeDeclaresNobodyDead)
{
    Net net(9);
    net.AddMany(20, 2, 1);
    net.Join();
    Node &isolated = *net.nodes[4];
    net.partition = [](const Node &a, const Node &b) {
        return a.id == "n4" || b.id == "n4";
    };
    net.Run(120 * kSec);
    EXPECT_TRUE(Mb_Isolated(isolated.table));
    EXPECT_TRUE(isolated.deaths.empty());
    EXPECT_LT(net.Usable(isolated), 20U);
    net.partition = nullptr;
    EXPECT_TRUE(net.RunUntil(120 * kSec, [&] { return net.AllSee(20); }));
    EXPECT_EQ(19, net.Deaths()); /* each other node declared n4 dead once */
}

/*
 * A replaced host starts with its old id.  Its peers have declared it dead, or
 * its clock is behind that of the former host.  In both cases it must be
 * accepted again, with an incarnation later than any that the peers have.
 */
TEST(Table, RestartedNodeRejoinsWithAnyIncarnation)
{
    for (uint64_t incarnation : {UINT64_C(100), UINT64_C(0)}) {
        Net net(10 + incarnation);
        net.AddMany(10, 2, 1);
        net.Join();
        Node &node = *net.nodes[6];
        net.Kill(&node);
        net.Run(incarnation == 0 ? 2 * kSec : 30 * kSec);
        net.Start(&node, incarnation);
        EXPECT_TRUE(net.RunUntil(90 * kSec, [&] { return net.AllSee(10); }));
    }
}

/*
 * Guards against requests being sent to a host that is shutting down.  The
 * announcement must reach all nodes in seconds, must not be reverted by a late
 * "alive" record, and the member must be removed in the end.
 */
TEST(Table, LeavingReachesAllNodesInSeconds)
{
    Net net(12);
    net.AddMany(60, 4, 2);
    net.Join();
    Node &node = *net.nodes[9];
    struct mb_record stale = *Mb_Self(node.table);
    Mb_Leave(node.table);
    EXPECT_TRUE(net.RunUntil(5 * kSec, [&] { return net.AllSee(59); }));
    Mb_Apply(net.nodes[0]->table, &stale);
    EXPECT_EQ(MB_LEAVING, state_of(*net.nodes[0], node));
    net.Run(30 * kSec);
    EXPECT_EQ(MB_LEAVING, state_of(*net.nodes[0], node));
    net.Kill(&node);
    net.Run(700 * kSec);
    EXPECT_EQ(nullptr, Mb_Find(net.nodes[0]->table, "n9"));
}

/*
 * Guards against work being sent to a host that was replaced by another one at
 * the same address: the new host answers the probes meant for the old one.
 */
TEST(Table, ReplacementDoesNotKeepOldHostAlive)
{
    Net net(13);
    net.AddMany(10, 2, 1);
    net.Join();
    Node &node = *net.nodes[6];
    net.Kill(&node);
    node.id = "newcomer";
    net.Start(&node, 1);
    EXPECT_TRUE(net.RunUntil(60 * kSec, [&] {
        const auto *old = Mb_Find(net.nodes[0]->table, "n6");
        return old->state == MB_DEAD && net.AllSee(10);
    }));
}

TEST(Table, LossOfANodeMovesOnlyItsKeys)
{
    Net net(14);
    net.AddMany(10, 2, 1);
    net.Join();
    std::map<std::string, std::string> before;
    const struct mb_record *top[3];
    for (int i = 0; i < 200; i++) {
        std::string key = "slot" + std::to_string(i);
        ASSERT_EQ(3U, Mb_RankByKey(net.nodes[0]->table, key.c_str(), nullptr,
                                   top, 3));
        before[key] = top[0]->id;
        ASSERT_EQ(
            1U, Mb_RankByKey(net.nodes[1]->table, key.c_str(), "dc1", top, 1));
        EXPECT_STREQ("dc1", top[0]->data_centre);
    }
    net.Kill(net.nodes[7].get());
    ASSERT_TRUE(net.RunUntil(30 * kSec, [&] { return net.AllSee(9); }));
    int moved = 0;
    for (const auto &entry : before) {
        Mb_RankByKey(net.nodes[3]->table, entry.first.c_str(), nullptr, top,
                     1);
        if (entry.second == "n7") {
            moved++;
        }
        else {
            EXPECT_EQ(entry.second, top[0]->id);
        }
    }
    EXPECT_GT(moved, 5);
    EXPECT_LT(moved, 50);
}

TEST(Table, MissingDataCentreIsRejected)
{
    struct mb_options options = {};
    snprintf(options.self.id, Mb_ID_MAX, "n1");
    struct mb_table *table;
    EXPECT_EQ(ST_INVALID, Mb_Create(&options, &table));
}

} // namespace
