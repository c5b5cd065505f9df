#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <string>
#include <vector>

#include "member/node.h"
#include "member/test/loop_util.h"

namespace {

const int64_t kMsec = Ck_USEC_PER_MSEC;

class Node : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ASSERT_EQ(ST_OK, Lp_Create(&loop));
        runner = new Runner(loop);
    }

    void
    TearDown() override
    {
        for (auto *node : nodes) {
            Nd_Destroy(node);
        }
        delete runner;
        Lp_Destroy(loop);
    }

    struct nd_node *
    Make(const std::string &id, const std::string &data_centre,
         const char *key = "secret", int64_t sync = 2000 * kMsec,
         uint16_t port = 0, const char *region = "west")
    {
        struct nd_options options = {};
        options.id = id.c_str();
        options.address = "127.0.0.1";
        options.peer_port = port;
        options.data_centre = data_centre.c_str();
        options.region = region;
        options.cluster_key = key;
        options.clock = Ck_System();
        options.seed = nodes.size() + 1;
        options.period_usec = 200 * kMsec;
        options.sync_period_usec = sync;
        struct nd_node *node = nullptr;
        EXPECT_EQ(ST_OK, Nd_Create(loop, &options, &node)) << St_Message();
        if (!nodes.empty()) {
            struct mb_endpoint seed = {"127.0.0.1", Nd_Port(nodes[0])};
            Nd_SetSeeds(node, &seed, 1);
        }
        nodes.push_back(node);
        return node;
    }

    /* Seven nodes in four data centres, the size of current deployments. */
    void
    MakeSeven()
    {
        for (int i = 0; i < 7; i++) {
            Make("n" + std::to_string(i), "dc" + std::to_string(i % 4));
        }
        ASSERT_TRUE(runner->Until([&] { return AllSee(7); }));
    }

    bool
    AllSee(size_t alive)
    {
        for (auto *node : nodes) {
            if (Mb_Count(Nd_Members(node), MB_ALIVE) != alive) {
                return false;
            }
        }
        return true;
    }

    void
    Kill(size_t i)
    {
        Nd_Destroy(nodes[i]);
        nodes.erase(nodes.begin() + (long)i);
    }

    static enum st_status
    Publish(struct nd_node *node, const char *key, const std::string &value,
            uint64_t version = 0, enum fc_scope scope = FC_CLUSTER)
    {
        struct fc_publication post = {};
        post.key = key;
        post.version = version;
        post.scope = scope;
        post.value = value.data();
        post.len = value.size();
        return Nd_Publish(node, &post);
    }

    static std::string
    Value(struct nd_node *node, const char *key)
    {
        struct fc_fact fact;
        if (!Fc_Get(Nd_Facts(node), "", key, &fact)) {
            return "none";
        }
        return {static_cast<const char *>(fact.value), fact.len};
    }

    size_t
    Holders(const char *key, const std::string &value)
    {
        size_t count = 0;
        for (auto *node : nodes) {
            count += Value(node, key) == value ? 1 : 0;
        }
        return count;
    }

    struct lp_loop *loop = nullptr;
    Runner *runner = nullptr;
    std::vector<struct nd_node *> nodes;
};

TEST_F(Node, SevenNodesAgreeOnMembersFactsAndKeys)
{
    MakeSeven();
    Publish(nodes[3], "config", "41", 41);
    EXPECT_TRUE(runner->Until([&] { return Holders("config", "41") == 7; }));
    Publish(nodes[5], "config", "42", 42);
    EXPECT_TRUE(runner->Until([&] { return Holders("config", "42") == 7; }));
    Publish(nodes[1], "load/e1", "x", 0, FC_DATA_CENTRE);
    EXPECT_TRUE(runner->Until([&] { return Holders("load/e1", "x") == 2; }));
    /* The only node of a data centre has no receiver for its facts. */
    Publish(nodes[3], "load/e2", "x", 0, FC_DATA_CENTRE);
    EXPECT_TRUE(runner->Until([&] {
        for (auto *node : nodes) {
            if (Fc_HasUpdates(Nd_Facts(node))) {
                return false;
            }
        }
        return true;
    }));
    EXPECT_EQ(1U, Holders("load/e2", "x"));
    for (int i = 0; i < 20; i++) {
        std::string key = "slot" + std::to_string(i);
        const auto *first = Nd_Responsible(nodes[0], key.c_str(), nullptr);
        int responsible = 0;
        for (auto *node : nodes) {
            EXPECT_STREQ(first->id,
                         Nd_Responsible(node, key.c_str(), nullptr)->id);
            responsible +=
                Nd_IsResponsible(node, key.c_str(), nullptr) ? 1 : 0;
        }
        EXPECT_EQ(1, responsible);
    }
    runner->For(500 * kMsec);
    EXPECT_EQ(2U, Holders("load/e1", "x"));
}

TEST_F(Node, DeadLeavingAndRestartedNodesAreNoticed)
{
    MakeSeven();
    uint16_t port = Nd_Port(nodes[6]);
    Kill(6);
    EXPECT_TRUE(runner->Until([&] { return AllSee(6); }));
    Make("n6", "dc2", "secret", 2000 * kMsec, port);
    EXPECT_TRUE(runner->Until([&] { return AllSee(7); }));
    Nd_Leave(nodes[2]);
    EXPECT_TRUE(runner->Until([&] {
        for (auto *node : nodes) {
            const auto *left = Mb_Find(Nd_Members(node), "n2");
            if (left == nullptr || left->state != MB_LEAVING) {
                return false;
            }
        }
        return true;
    }));
    for (int i = 0; i < 50; i++) {
        std::string key = "slot" + std::to_string(i);
        EXPECT_STRNE("n2", Nd_Responsible(nodes[0], key.c_str(), nullptr)->id);
    }
}

/*
 * Guards against work being given to an unreachable region, and against such a
 * region being removed from the table for good.  Only two nodes of a data
 * centre probe another one.  The others must learn from them that it is
 * unreachable, keep its members, and learn when it is reachable again.
 */
TEST_F(Node, UnreachableRegionIsKeptAndFoundAgain)
{
    for (int i = 0; i < 4; i++) {
        Make("n" + std::to_string(i), "dc0");
    }
    struct nd_node *far =
        Make("far", "dc1", "secret", 2000 * kMsec, 0, "east");
    uint16_t port = Nd_Port(far);
    ASSERT_TRUE(runner->Until([&] { return AllSee(5); }));
    auto reach = [&](bool wanted) {
        size_t count = 0;
        for (auto *node : nodes) {
            count += Mb_Reachable(Nd_Members(node), "dc1") == wanted ? 1 : 0;
        }
        return count;
    };
    Kill(4);
    ASSERT_TRUE(runner->Until([&] { return reach(false) == 4; }));
    for (auto *node : nodes) {
        ASSERT_NE(nullptr, Mb_Find(Nd_Members(node), "far"));
        EXPECT_EQ(MB_ALIVE, Mb_Find(Nd_Members(node), "far")->state);
        EXPECT_EQ(nullptr, Nd_Responsible(node, "slot1", "dc1"));
    }
    Make("far", "dc1", "secret", 2000 * kMsec, port, "east");
    EXPECT_TRUE(runner->Until([&] { return reach(true) == 5; }));
}

/*
 * Guards against a new daemon serving callers under an old configuration: the
 * facts that it needs were gossiped before it started and are not repeated, so
 * only the exchange of full state can provide them.
 */
TEST_F(Node, NewNodeGetsEarlierFacts)
{
    MakeSeven();
    Publish(nodes[3], "config", "41", 41);
    for (int i = 0; i < 300; i++) {
        std::string key = "k" + std::to_string(i);
        Publish(nodes[i % 7], key.c_str(), std::string(200, 'v'));
    }
    ASSERT_TRUE(runner->Until([&] {
        for (auto *node : nodes) {
            if (Fc_Count(Nd_Facts(node)) != 301 ||
                Fc_HasUpdates(Nd_Facts(node))) {
                return false;
            }
        }
        return true;
    }));
    struct nd_node *new_node = Make("n7", "dc3");
    EXPECT_TRUE(
        runner->Until([&] { return Fc_Count(Nd_Facts(new_node)) == 301; }));
    EXPECT_EQ("41", Value(new_node, "config"));
    EXPECT_TRUE(runner->Until([&] { return AllSee(8); }));
}

TEST_F(Node, WrongKeyIsNotAdmitted)
{
    MakeSeven();
    struct nd_node *stranger = Make("stranger", "dc0", "guess");
    ASSERT_TRUE(
        runner->Until([&] { return Nd_Counters(nodes[0])->denied > 0; }));
    EXPECT_EQ(1U, Mb_Count(Nd_Members(stranger), MB_ALIVE));
    EXPECT_EQ(7U, Mb_Count(Nd_Members(nodes[0]), MB_ALIVE));
}

/*
 * Guards against forged datagrams that make nodes send requests to a host that
 * does not exist, or drop a live one.  An attacker on the network replays
 * recorded datagrams, flips bits in them or makes them up; none may change the
 * state of a node.
 */
TEST_F(Node, ForgedGarbledAndReplayedDatagramsAreRejected)
{
    struct nd_node *target = Make("target", "dc0");
    uint16_t port;
    int fd = raw_socket(SOCK_DGRAM, &port);
    struct nd_node *sender = Make("sender", "dc0");
    struct mb_endpoint seed = {"127.0.0.1", port};
    Nd_SetSeeds(sender, &seed, 1);
    char bytes[1400];
    ssize_t len = -1;
    ASSERT_TRUE(runner->Until([&] {
        len = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
        return len > 0;
    }));
    Kill(1);
    struct sockaddr_in to = loopback(Nd_Port(target));
    auto send_raw = [&](const void *data, size_t size) {
        uint64_t before = Nd_Counters(target)->datagrams_in;
        sendto(fd, data, size, 0, (struct sockaddr *)&to, sizeof(to));
        EXPECT_TRUE(runner->Until(
            [&] { return Nd_Counters(target)->datagrams_in > before; }));
    };
    const struct nd_counters *seen = Nd_Counters(target);
    for (ssize_t i = 0; i < len; i++) {
        std::string garbled(bytes, len);
        garbled[i] = (char)(garbled[i] ^ 1);
        send_raw(garbled.data(), garbled.size());
    }
    EXPECT_EQ((uint64_t)len, seen->denied);
    send_raw(bytes, len - 1);
    send_raw("x", 1);
    send_raw(std::string(1400, '\0').data(), 1400);
    EXPECT_EQ(nullptr, Mb_Find(Nd_Members(target), "sender"));
    send_raw(bytes, len);
    EXPECT_NE(nullptr, Mb_Find(Nd_Members(target), "sender"));
    EXPECT_EQ(0U, seen->replayed);
    send_raw(bytes, len);
    send_raw(bytes, len);
    EXPECT_EQ(2U, seen->replayed);
    close(fd);
}

TEST_F(Node, CallsAMemberByItsId)
{
    MakeSeven();
    std::string from;
    Lk_SetHandler(
        Nd_Links(nodes[4]), "ping",
        [](void *arg, struct lk_request *request) {
            *static_cast<std::string *>(arg) = Lk_From(request);
            Lk_Reply(request, ST_OK, nullptr, 0);
        },
        &from);
    int done = 0;
    auto on_done = [](void *arg, const struct lk_result *result) {
        EXPECT_EQ(ST_OK, result->status);
        ++*static_cast<int *>(arg);
    };
    EXPECT_EQ(ST_NOT_FOUND, Nd_Call(nodes[0], "nobody", "ping", nullptr, 0,
                                    kTimeoutUsec, on_done, &done, nullptr));
    ASSERT_EQ(ST_OK, Nd_Call(nodes[0], "n4", "ping", nullptr, 0, kTimeoutUsec,
                             on_done, &done, nullptr));
    EXPECT_TRUE(runner->Until([&] { return done == 1; }));
    EXPECT_EQ("n0", from);
}

} // namespace
