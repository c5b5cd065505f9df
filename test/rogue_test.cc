// Clients that break the limits, at each port of a daemon.
#include "test/rogue.h"

#include <gtest/gtest.h>

#include "test/scene.h"

namespace {

const char kCallStart[] = "POST /seats/x HTTP/1.1\r\nHost: a\r\n"
                          "Authorization: Bearer key-of-the-customer\r\n";
const char kAdminStart[] = "PUT /admin/v1/sections/team/derwent HTTP/1.1\r\n"
                           "Host: a\r\n";
const char kTunnelStart[] = "CONNECT seats-0 HTTP/1.1\r\n";

class RogueClients : public cg::RogueFixture {
  protected:
    void
    SetUp() override
    {
        scene_.AddPlain();
        scene_.AddPlain();
        scene_.PublishDefaults();
        cg::DaemonOptions options;
        options.rogue_target = true;
        scene_.cluster.Add(options);
        ASSERT_TRUE(scene_.cluster.WaitReady());
        ASSERT_TRUE(CallerIsServed());
    }

    cg::Process &
    Daemon()
    {
        return scene_.cluster.process(0);
    }

    cg::Process &
    Target() override
    {
        return Daemon();
    }

    std::string
    Address() override
    {
        return "127.0.0.1";
    }

    bool
    CallerIsServed() override
    {
        return cg::Eventually([&] {
            return cg::Http(scene_.Call(0, "GET", "/seats/free")).code ==
                       200 ||
                   !Daemon().Running();
        });
    }

    bool
    AnswersReady() override
    {
        return cg::Eventually(
            [&] { return scene_.cluster.IsReady(0) || !Daemon().Running(); });
    }

    // The port that is none of the daemon's settings: of connections to
    // endpoints for peers.
    int
    TunnelPort()
    {
        for (int port : cg::ListeningPorts(Daemon())) {
            if (port != Daemon().Ready("port") &&
                port != Daemon().Ready("admin_port") &&
                port != Daemon().Ready("peer_port")) {
                return port;
            }
        }
        return 0;
    }

    cg::Scene scene_;
};

// Guards against answers that pile up for callers who don't read them.
TEST_F(RogueClients, UnreadAnswersWaitWithinTheBound)
{
    cg::RoguePlan plan;
    plan.head =
        "GET /seats/x?answer_bytes=" + std::to_string(cg::kRogueBodyMax) +
        " HTTP/1.1\r\nHost: a\r\n"
        "Authorization: Bearer key-of-the-customer\r\n\r\n";
    Meet(Daemon().Ready("port"), {plan}, true);
}

// Guards against a body that is kept for ever by a byte now and then.
TEST_F(RogueClients, BytesNowAndThenKeepNobodyOut)
{
    MeetDribble(Daemon().Ready("port"),
                cg::RoguePlanOf("LengthShort", kCallStart));
}

// Guards against a crowd that is known by its address only.
TEST_F(RogueClients, ACrowdOfManyAddressesIsOne)
{
    MeetManyAddresses(Daemon().Ready("port"),
                      {cg::RoguePlanOf("LengthShort", kCallStart),
                       cg::RoguePlanOf("Silent", kCallStart)});
}

// Guards against memory or descriptors that stay with the process, so that
// crowds add up.
TEST_F(RogueClients, TenCrowdsInTurnDoNotAddUp)
{
    MeetInTurn({Daemon().Ready("port"), kCallStart}, 10);
}

// Guards against an allocation that fails and ends the process, where the
// machine enforces its memory.
TEST_F(RogueClients, AMachineThatEnforcesItsMemory)
{
    cg::Scene scene;
    scene.AddPlain();
    scene.PublishDefaults();
    cg::DaemonOptions options;
    options.rogue_target = true;
    options.data_max = cg::kRogueMemoryMb << 20;
    scene.cluster.Add(options);
    ASSERT_TRUE(scene.cluster.WaitReady());
    cg::Process &daemon = scene.cluster.process(0);
    cg::RogueBounds bounds(daemon);
    cg::RogueCrowd crowd("127.0.0.1", daemon.Ready("port"));
    for (const cg::RoguePlan &plan : cg::RoguePlans(kCallStart)) {
        crowd.Add(plan, cg::kRogueCrowd / 10);
    }
    crowd.Send();
    bounds.Check();
    EXPECT_TRUE(cg::Eventually([&] {
        return cg::Http(scene.Call(0, "GET", "/seats/free")).code == 200 ||
               !daemon.Running();
    }));
    bounds.Check();
}

// Guards against a request with a body behind another one that stops the
// daemon for good.
TEST_F(RogueClients, OneRequestBehindAnotherDoesNotStopTheDaemon)
{
    cg::RogueCrowd crowd("127.0.0.1", Daemon().Ready("port"));
    cg::RoguePlan plan;
    plan.head = std::string(kCallStart) + "Content-Length: 1\r\n\r\nx" +
                kCallStart + "Content-Length: 1\r\n\r\nx";
    crowd.Add(plan, 1);
    crowd.Send();
    EXPECT_EQ(crowd.AnswerOfFirst().substr(0, 12), "HTTP/1.1 200");
    EXPECT_TRUE(CallerIsServed());
    EXPECT_TRUE(AnswersReady());
}

// The same with one that is refused at its head.
TEST_F(RogueClients, ARefusedRequestBehindAnotherDoesNotStopTheDaemon)
{
    cg::RogueCrowd crowd("127.0.0.1", Daemon().Ready("port"));
    cg::RoguePlan plan;
    plan.head = std::string(kCallStart) + "Content-Length: 1\r\n\r\nx" +
                kCallStart + "Idempotency-Key: " + std::string(2000, 'k') +
                "\r\nContent-Length: 1\r\n\r\nx";
    crowd.Add(plan, 1);
    crowd.Send();
    EXPECT_EQ(crowd.AnswerOfFirst().substr(0, 12), "HTTP/1.1 200");
    EXPECT_TRUE(CallerIsServed());
    EXPECT_TRUE(AnswersReady());
}

// What callers in order send is served in calm, as large as it may be.
TEST_F(RogueClients, LargeRequestsAreServedInCalm)
{
    const size_t at_once = 4;
    std::vector<cg::HttpCall> calls;
    for (size_t i = 0; i < at_once; i++) {
        calls.push_back(scene_.Call(0, "POST", "/seats/x",
                                    std::string(cg::kRogueBodyMax, 'x')));
    }
    EXPECT_EQ(200, cg::Http(calls[0]).code);
    for (const cg::HttpResult &result : cg::HttpAll(calls)) {
        EXPECT_EQ(200, result.code) << result.body;
    }
}

// A caller may pause in its body in calm.
TEST_F(RogueClients, ABodyWithAPauseIsServedInCalm)
{
    cg::RogueCrowd crowd("127.0.0.1", Daemon().Ready("port"));
    cg::RoguePlan plan;
    plan.head = std::string(kCallStart) + "Content-Length: 20\r\n\r\n";
    crowd.Add(plan, 1);
    crowd.Send();
    crowd.Dribble("x", 20);
    EXPECT_EQ(crowd.AnswerOfFirst().substr(0, 12), "HTTP/1.1 200");
}

class Rogue : public RogueClients,
              public testing::WithParamInterface<std::string> {
  protected:
    void
    MeetOne(int port, const std::string &start)
    {
        Meet(port, {cg::RoguePlanOf(GetParam(), start)});
    }
};

// Guards against clients that take the host's memory or descriptors, so that
// the process ends or nobody else is served.
TEST_P(Rogue, AtTheCallersPort)
{
    MeetOne(Daemon().Ready("port"), kCallStart);
}

// The same at the administration port, without a key.
TEST_P(Rogue, AtTheAdminPort)
{
    MeetOne(Daemon().Ready("admin_port"), kAdminStart);
}

// The same at the port of the other daemons, without the cluster's key.
TEST_P(Rogue, AtThePeerPort)
{
    MeetOne(Daemon().Ready("peer_port"), std::string(3, '\0'));
}

// The same at the port where peers ask for connections to endpoints.
TEST_P(Rogue, AtTheTunnelPort)
{
    MeetOne(TunnelPort(), kTunnelStart);
}

INSTANTIATE_TEST_SUITE_P(Clients, Rogue, testing::ValuesIn(cg::RogueNames()),
                         [](const testing::TestParamInfo<std::string> &test) {
                             return test.param;
                         });

class RogueMixture : public Rogue {};

// Guards against clients of many kinds at once, whose parts add up.
TEST_P(RogueMixture, AtTheCallersPort)
{
    Meet(Daemon().Ready("port"), cg::RoguePlans(kCallStart));
}

// The same with all ports at once.
TEST_P(RogueMixture, AtAllPorts)
{
    MeetAll({
        {Daemon().Ready("port"), kCallStart},
        {Daemon().Ready("admin_port"), kAdminStart},
        {Daemon().Ready("peer_port"), std::string(3, '\0')},
        {TunnelPort(), kTunnelStart},
    });
}

INSTANTIATE_TEST_SUITE_P(Clients, RogueMixture, testing::Values("All"),
                         [](const testing::TestParamInfo<std::string> &test) {
                             return test.param;
                         });

} // namespace
