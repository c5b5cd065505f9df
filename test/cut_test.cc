// A daemon that is cut from all endpoints, while its callers, the platform and
// the other daemons reach it: its own host list names forwarders in place of
// the endpoints.
#include <gtest/gtest.h>

#include <thread>

#include "test/scene.h"
#include "test/socket.h"

namespace {

// A host has to serve as the others do from then on.
const cg::Millis kContact(3000);
const cg::Millis kDeadline(3000);
const int kCalls = 20;

class Cut : public ::testing::Test {
  protected:
    void
    Start()
    {
        scene_.AddEngine();
        scene_.AddEngine();
        scene_.AddPlain();
        scene_.PublishDefaults();
        cg::DaemonOptions options;
        options.id = "cut";
        options.hosts = hosts_.Address();
        scene_.cluster.Add(options);
        scene_.cluster.AddMany(1);
        for (const auto &engine : scene_.engines) {
            Lay(*engine);
        }
        Lay(*scene_.plains[0]);
        ListForCutHost(false);
        ASSERT_TRUE(scene_.cluster.WaitReady());
        ASSERT_TRUE(cg::Eventually(
            [&] { return Served(0) == kCalls && Served(1) == kCalls; }));
    }

    void
    Refuse()
    {
        for (auto &link : links_) {
            link->Fault("{\"mode\":\"cut\"}");
            link->Fault("{\"mode\":\"refuse\"}");
        }
    }

    // No connection is made, and nobody is told.
    void
    Silence()
    {
        ListForCutHost(true);
        for (auto &link : links_) {
            link->Fault("{\"mode\":\"blackhole\"}");
        }
    }

    void
    Heal()
    {
        for (auto &link : links_) {
            link->Clear();
        }
    }

    // Connections made to endpoints so far.
    long long
    Connections()
    {
        long long all = 0;
        for (auto &link : links_) {
            all += link->Counts()["connections"].Int();
        }
        return all;
    }

    void
    ExpectServedLikeTheOther()
    {
        int there = Served(1);
        EXPECT_EQ(there, kCalls);
        EXPECT_GE(Served(0) * 3, there * 2);
    }

    // Calls that a daemon serves, of so many completions and charges.
    int
    Served(size_t daemon)
    {
        int served = 0;
        for (int i = 0; i < kCalls; i++) {
            std::string name = std::to_string(number_++);
            cg::HttpCall call =
                i % 2 == 0
                    ? scene_.Complete(daemon, "p" + name, 4, false)
                    : scene_.Call(daemon, "POST", "/charge/seat",
                                  "{\"seat\":" + name + "}", "k" + name);
            call.timeout = kDeadline;
            served += cg::Http(call).code == 200;
        }
        return served;
    }

    cg::Scene scene_;

  private:
    void
    Lay(const cg::Endpoint &endpoint)
    {
        links_.push_back(std::make_unique<cg::FaultProxy>(endpoint.Address()));
        ports_[endpoint.Port()] = links_.back()->ListenPort();
    }

    // The same list, but for the endpoints' ports.
    void
    ListForCutHost(bool silent)
    {
        cg::Json listed = scene_.platform.Get("/hosts/v1").json()["hosts"];
        cg::Json hosts = cg::Json(json_array());
        for (size_t i = 0; i < listed.Size(); i++) {
            cg::Json host = listed[i];
            auto link = ports_.find(static_cast<int>(host["port"].Int()));
            if (link != ports_.end()) {
                host.Set("port", silent ? silent_.number() : link->second);
            }
            hosts.Add(host);
        }
        hosts_.SetHosts(hosts);
    }

    cg::Platform hosts_;
    std::vector<std::unique_ptr<cg::FaultProxy>> links_;
    std::map<int, int> ports_;
    cg::SilentPort silent_;
    int number_ = 0;
};

// Callers of a host whose links to endpoints refuse are turned away, although
// the other host reaches every endpoint.
TEST_F(Cut, RefusedAtOneHost)
{
    Start();
    Refuse();
    std::this_thread::sleep_for(kContact);
    ExpectServedLikeTheOther();
}

// Callers of a host whose links have fallen silent wait for nothing until
// their deadlines.
TEST_F(Cut, SilentAtOneHost)
{
    Start();
    Silence();
    std::this_thread::sleep_for(kContact);
    ExpectServedLikeTheOther();
}

// A host goes on asking others for connections after its own links are back.
TEST_F(Cut, ConnectsByItselfOnceTheLinksAreBack)
{
    Start();
    Refuse();
    std::this_thread::sleep_for(kContact);
    ExpectServedLikeTheOther();
    Heal();
    long long before = Connections();
    EXPECT_TRUE(cg::Eventually([&] {
        return Served(0) == kCalls && Connections() >= before + kCalls;
    }));
}

} // namespace
