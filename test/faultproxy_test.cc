#include <gtest/gtest.h>

#include "test/harness.h"
#include "test/socket.h"

namespace {

using cg::Eventually;
using cg::FaultProxy;
using cg::Json;
using cg::Socket;

const int kQuietMillis = 100;

// A client and a server of the test with the proxy between them.
class Proxy : public ::testing::Test {
  protected:
    Proxy()
        : port(listener.Bind(true)), proxy("127.0.0.1:" + std::to_string(port))
    {
    }

    Socket
    Client()
    {
        Socket client(SOCK_STREAM);
        EXPECT_TRUE(client.Connect(proxy.ListenPort()));
        return client;
    }

    Socket listener{SOCK_STREAM};
    int port;
    FaultProxy proxy;
};

TEST_F(Proxy, ForwardsBothWaysAndCounts)
{
    Socket client = Client();
    Socket server = listener.Accept();
    std::string large(2 << 20, 'x');
    std::thread sender([&] { client.Send(large); });
    EXPECT_EQ(large, server.Receive(large.size()));
    sender.join();
    EXPECT_TRUE(server.Send("answer"));
    EXPECT_EQ("answer", client.Receive(6));
    Json counts = proxy.Counts();
    EXPECT_EQ(1, counts["connections"].Int());
    EXPECT_EQ((long long)large.size(), counts["up_bytes"].Int());
    EXPECT_EQ(6, counts["down_bytes"].Int());
}

TEST_F(Proxy, PassesAnOrderlyEndOnWhileTheOtherWayGoesOn)
{
    Socket client = Client();
    Socket server = listener.Accept();
    client.Send("last words");
    shutdown(client.fd(), SHUT_WR);
    EXPECT_EQ("last words", server.Receive(100));
    EXPECT_TRUE(server.ended());
    server.Send("still here");
    EXPECT_EQ("still here", client.Receive(10));
    shutdown(server.fd(), SHUT_WR);
    EXPECT_EQ("", client.Receive(1));
    EXPECT_TRUE(client.ended());
    EXPECT_TRUE(Eventually([&] { return proxy.Counts()["open"].Int() == 0; }));
}

/*
 * A proxy grows until the host kills it.  The receiver stops reading while
 * the sender goes on; the proxy has to stop reading as well.
 */
TEST_F(Proxy, AReceiverThatStopsReadingStopsItsSender)
{
    const size_t most = 64 << 20;
    Socket client = Client();
    Socket server = listener.Accept();
    std::string part(1 << 16, 'x');
    size_t sent = 0;
    struct pollfd poller = {client.fd(), POLLOUT, 0};
    while (sent < most && poll(&poller, 1, kQuietMillis) == 1) {
        ssize_t n = send(client.fd(), part.data(), part.size(), MSG_DONTWAIT);
        sent += n > 0 ? (size_t)n : 0;
    }
    EXPECT_LT(sent, most);
    EXPECT_EQ(sent, server.Receive(sent).size());
    EXPECT_TRUE(client.Send("more"));
    EXPECT_EQ("more", server.Receive(4));
}

TEST_F(Proxy, PassesAResetOn)
{
    Socket client = Client();
    {
        Socket server = listener.Accept();
        client.Send("x");
        server.Receive(1);
        struct linger linger = {1, 0};
        setsockopt(server.fd(), SOL_SOCKET, SO_LINGER, &linger,
                   sizeof(linger));
    }
    EXPECT_EQ("", client.Receive(1));
    EXPECT_TRUE(client.was_reset());
}

/*
 * Two data centres lose each other at once.  Open connections are reset and
 * new ones as well, until the network is back.
 */
TEST_F(Proxy, ACutResetsOpenAndNewConnections)
{
    Socket client = Client();
    Socket server = listener.Accept();
    proxy.Fault(R"({"mode":"cut"})");
    EXPECT_EQ("", client.Receive(1));
    EXPECT_TRUE(client.was_reset());
    EXPECT_EQ("", server.Receive(1));
    Socket second = Client();
    EXPECT_EQ("", second.Receive(1));
    EXPECT_TRUE(second.was_reset());
    proxy.Clear();
    Socket third = Client();
    Socket again = listener.Accept();
    third.Send("back");
    EXPECT_EQ("back", again.Receive(4));
}

TEST_F(Proxy, RefusedConnectionsAreNeverMade)
{
    proxy.Fault(R"({"mode":"refuse"})");
    Socket refused(SOCK_STREAM);
    EXPECT_FALSE(refused.Connect(proxy.ListenPort()));
    proxy.Clear();
    Socket client = Client();
    Socket server = listener.Accept();
    client.Send("x");
    EXPECT_EQ("x", server.Receive(1));
}

// While a proxy refuses, a program beside gets its port and takes connections.
TEST_F(Proxy, APortThatRefusesIsNobodyElses)
{
    proxy.Fault(R"({"mode":"refuse"})");
    Socket beside(SOCK_STREAM);
    EXPECT_EQ(0, beside.Bind(true, proxy.ListenPort()));
}

/*
 * A request is run although its caller was told nothing.  The way to the
 * endpoint works, the way back is silent; nobody sees an error.
 */
TEST_F(Proxy, ABlackholeOfOneWayIsSilentAndHoldsWhatWasSent)
{
    Socket client = Client();
    Socket server = listener.Accept();
    proxy.Fault(R"({"mode":"blackhole","direction":"down"})");
    client.Send("charge");
    EXPECT_EQ("charge", server.Receive(6));
    server.Send("charged");
    EXPECT_FALSE(client.Readable(kQuietMillis));
    proxy.Clear();
    EXPECT_EQ("charged", client.Receive(7));
}

TEST_F(Proxy, ADelayKeepsOrder)
{
    Socket client = Client();
    Socket server = listener.Accept();
    proxy.Fault(R"({"mode":"delay_ms","value":30})");
    for (int i = 0; i < 10; i++) {
        client.Send(std::to_string(i));
    }
    EXPECT_EQ("0123456789", server.Receive(10));
}

/*
 * Half an answer is taken for a whole one.  The connection breaks after some
 * bytes of the answer have come.
 */
TEST_F(Proxy, AResetComesAfterExactlySoManyBytes)
{
    proxy.Fault(
        R"({"mode":"reset_after_bytes","value":1000,"direction":"down"})");
    Socket client = Client();
    Socket server = listener.Accept();
    server.Send(std::string(5000, 'x'));
    std::string got = client.Receive(5000);
    EXPECT_LE(got.size(), 1000U);
    EXPECT_TRUE(client.was_reset());
    EXPECT_EQ(1000, proxy.Counts()["down_bytes"].Int());
}

TEST_F(Proxy, HalfClosedGoesOnTheOtherWay)
{
    Socket client = Client();
    Socket server = listener.Accept();
    proxy.Fault(R"({"mode":"half_close","direction":"down"})");
    EXPECT_EQ("", client.Receive(1));
    EXPECT_TRUE(client.ended());
    client.Send("more");
    EXPECT_EQ("more", server.Receive(4));
}

TEST_F(Proxy, SlowBytesComeWholeInTheEnd)
{
    proxy.Fault(R"({"mode":"slow_bytes","value":3})");
    Socket client = Client();
    Socket server = listener.Accept();
    client.Send("0123456789");
    EXPECT_EQ("0123456789", server.Receive(10));
}

TEST_F(Proxy, ATargetThatIsDownShowsAsAReset)
{
    cg::HeldPort nobodys;
    FaultProxy lost("127.0.0.1:" + std::to_string(nobodys.number()));
    Socket client(SOCK_STREAM);
    EXPECT_TRUE(client.Connect(lost.ListenPort()));
    EXPECT_EQ("", client.Receive(1));
    EXPECT_TRUE(client.was_reset());
}

TEST_F(Proxy, UnknownFaultsAreRefused)
{
    EXPECT_THROW(proxy.Fault(R"({"mode":"gremlins"})"), std::runtime_error);
}

TEST_F(Proxy, CarriesHttp)
{
    cg::Engine engine({"--token-us", "100"});
    FaultProxy front(engine.Address());
    cg::HttpResult result =
        cg::Http("POST", front.ListenAddress() + "/v1/completions", {},
                 Json().Set("prompt", "through").Set("stream", true).Dump());
    cg::Completion answer = cg::ReadCompletion(result);
    EXPECT_TRUE(answer.done);
    EXPECT_EQ(cg::ExpectedAnswer("through"), answer.text);
}

class UdpProxy : public ::testing::Test {
  protected:
    UdpProxy()
        : port(server.Bind(false)),
          proxy("127.0.0.1:" + std::to_string(port), true, 7)
    {
        client.Connect(proxy.ListenPort());
    }

    // Sends numbered datagrams and counts those that come, and their copies.
    void
    SendMany(int count)
    {
        for (int i = 0; i < count; i++) {
            client.Send("d" + std::to_string(i));
            ASSERT_TRUE(Eventually([&] {
                Json counts = proxy.Counts();
                return counts["up_datagrams"].Int() -
                           counts["duplicated"].Int() +
                           counts["dropped"].Int() ==
                       i + 1;
            }));
            while (server.Readable(0)) {
                char data[16];
                recv(server.fd(), data, sizeof(data), 0);
                received++;
            }
        }
    }

    Socket server{SOCK_DGRAM};
    Socket client{SOCK_DGRAM};
    int port;
    FaultProxy proxy;
    int received = 0;
};

TEST_F(UdpProxy, AnswersFindTheirWayBack)
{
    client.Send("ping");
    ASSERT_TRUE(server.Readable(cg::kSocketWaitMillis));
    char data[16] = {};
    struct sockaddr_in from = {};
    socklen_t len = sizeof(from);
    auto *generic = reinterpret_cast<struct sockaddr *>(&from);
    recvfrom(server.fd(), data, sizeof(data), 0, generic, &len);
    EXPECT_STREQ("ping", data);
    sendto(server.fd(), "pong", 4, 0, generic, len);
    EXPECT_EQ("pong", client.Receive(4));
}

TEST_F(UdpProxy, DropsAndDuplicatesByTheSeed)
{
    proxy.Fault(R"({"mode":"drop_percent","value":50})");
    SendMany(40);
    long long dropped = proxy.Counts()["dropped"].Int();
    EXPECT_GT(dropped, 0);
    EXPECT_LT(dropped, 40);
    EXPECT_EQ(40 - dropped, received);
    proxy.Clear();
    proxy.Fault(R"({"mode":"duplicate_percent","value":100})");
    received = 0;
    client.Send("twice");
    EXPECT_TRUE(
        Eventually([&] { return proxy.Counts()["duplicated"].Int() == 1; }));
    EXPECT_EQ("twicetwice", server.Receive(5) + server.Receive(5));
}

TEST_F(UdpProxy, ABlackholeLosesDatagramsForGood)
{
    proxy.Fault(R"({"mode":"blackhole","direction":"up"})");
    client.Send("lost");
    EXPECT_TRUE(
        Eventually([&] { return proxy.Counts()["dropped"].Int() == 1; }));
    proxy.Clear();
    client.Send("kept");
    EXPECT_EQ("kept", server.Receive(4));
}

TEST_F(UdpProxy, DelayedDatagramsCome)
{
    proxy.Fault(R"({"mode":"delay_ms","value":20})");
    client.Send("late");
    EXPECT_EQ("late", server.Receive(4));
}

} // namespace
