// The version that a starting daemon sends requests to before it has the state
// of a version move.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "gate/endpoints.h"
#include "state/test/fake_clock.h"

namespace {

class Endpoints : public ::testing::Test {
  protected:
    Endpoints()
    {
        options.data_centre = "dc-1";
        gate.options = &options;
        gate.clock = &clock.clock;
        Rn_Seed(&gate.random, 1);
        EXPECT_EQ(ST_OK, Ep_Create(&gate, Ignore, &pool));
        Copy(service.name, "rink");
        Copy(service.move.from, "v1");
        Copy(service.move.to, "v2");
        config.services = &service;
        config.service_count = 1;
    }
    ~Endpoints() override
    {
        Ep_Destroy(pool);
    }

    static void
    Ignore(void *, const char *, const char *, int64_t)
    {
    }

    template <size_t N>
    static void
    Copy(char (&to)[N], const std::string &from)
    {
        snprintf(to, N, "%s", from.c_str());
    }

    void
    Configure()
    {
        gate.config = &config;
        Ep_Configure(pool, &config);
    }

    // Applies a host list with one endpoint of each version.
    void
    List(const std::vector<std::string> &versions)
    {
        std::vector<struct hl_host> hosts(versions.size());
        for (size_t i = 0; i < versions.size(); i++) {
            hosts[i].role = HL_ENDPOINT;
            hosts[i].state = HL_LIVE;
            hosts[i].slots = 8;
            Copy(hosts[i].id, "of-" + versions[i]);
            Copy(hosts[i].service, "rink");
            Copy(hosts[i].version, versions[i]);
        }
        Ep_ApplyHostList(pool, hosts.data(), hosts.size());
    }

    // The versions that 200 requests are sent to, joined in order of first
    // use.
    std::string
    Chosen()
    {
        const int kRequests = 200;
        std::string seen;
        for (int i = 0; i < kRequests; i++) {
            struct ch_request request = {};
            struct ch_flight flight;
            if (Ch_Choose(Ep_Table(pool, "rink"), &request, clock.boot,
                          &gate.random, &flight) != ST_OK) {
                return "none";
            }
            std::string version = Ch_Info(flight.endpoint)->version;
            if (seen.find(version) == std::string::npos) {
                seen += version;
            }
        }
        return seen;
    }

    FakeClock clock;
    struct gt_options options = {};
    struct gt_gate gate = {};
    struct cf_service service = {};
    struct cf_config config = {};
    struct ep_pool *pool = nullptr;
};

// Guards against requests to a version that was rolled back: a starting daemon
// has the configuration and the host list before the state of the move.
TEST_F(Endpoints, TheOldVersionServesUntilTheStateOfTheMoveIsKnown)
{
    Configure();
    List({"v1", "v2"});
    EXPECT_EQ("v1", Chosen());
    struct ch_share shares[] = {{"v1", 0.5, 0}, {"v2", 0.5, 0}};
    Ep_SetShares(pool, "rink", shares, 2);
    List({"v1", "v2"});
    Configure();
    EXPECT_EQ(4U, Chosen().size()) << "shares from the log are overridden";
}

TEST_F(Endpoints, TheOldVersionServesWhenHostsComeBeforeTheConfiguration)
{
    List({"v1", "v2"});
    Configure();
    EXPECT_EQ("v1", Chosen());
}

// After a completed move the old version's endpoints are removed, and a daemon
// that starts while the log is unreachable must still serve.
TEST_F(Endpoints, TheNewVersionServesWhenTheOldHasNoEndpointLeft)
{
    Configure();
    List({"v2"});
    EXPECT_EQ("v2", Chosen());
    List({"v1", "v2"});
    EXPECT_EQ("v1", Chosen());
    Ep_SetLeaving(pool, "of-v1", Ck_USEC_PER_SEC);
    List({"v1", "v2"});
    EXPECT_EQ("v2", Chosen());
}

// Guards against a daemon that loses a distrust notice received from a peer
// before the configuration that names the service.
TEST_F(Endpoints, DistrustReceivedBeforeTheServiceIsConfiguredHolds)
{
    Ep_Distrust(pool, "rink", "v2");
    Configure();
    List({"v2"});
    EXPECT_EQ("none", Chosen());
}

} // namespace
