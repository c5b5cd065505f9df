// Contracts of the host list, the cloud and the weight store.
#include <gtest/gtest.h>

#include "test/contract.h"

namespace {

using cg::FaultCase;
using cg::HttpResult;
using cg::Json;

TEST(ContractHosts, ListsHostsAsAnArray)
{
    cg::ContractTarget<cg::Platform> hosts("CG_HOSTS_ADDRESS");
    HttpResult result = hosts.Get("/hosts/v1");
    EXPECT_EQ(200, result.code);
    EXPECT_FALSE(result.json()["hosts"].IsNull());
}

/*
 * Work is sent to a host that is gone.  The list shows a change only after
 * its lag; until then the old list is all there is.
 */
TEST(ContractHosts, ShowsChangesAfterTheLagInOrder)
{
    cg::Platform hosts({"--lag-ms", "300"});
    hosts.SetHosts(Json().Add(Json().Set("id", "h-1")));
    EXPECT_EQ(0U, hosts.Get("/hosts/v1").json()["hosts"].Size());
    hosts.SetHosts(
        Json().Add(Json().Set("id", "h-1")).Add(Json().Set("id", "h-2")));
    EXPECT_TRUE(cg::Eventually(
        [&] { return hosts.Get("/hosts/v1").json()["hosts"].Size() == 2; }));
}

TEST(ContractHosts, AStaleReadShowsTheOldList)
{
    cg::Platform hosts;
    hosts.SetHosts(Json().Add(Json().Set("id", "h-1")));
    hosts.Fault(R"({"target":"hosts","mode":"stale_read"})");
    hosts.SetHosts(Json(json_array()));
    EXPECT_EQ(1U, hosts.Get("/hosts/v1").json()["hosts"].Size());
    hosts.Clear();
    EXPECT_EQ(0U, hosts.Get("/hosts/v1").json()["hosts"].Size());
}

struct ReadPath {
    const char *target;
    const char *path;
};

const ReadPath kReadPaths[] = {
    {"hosts", "/hosts/v1"},
    {"cloud", "/cloud/v1/offers"},
    {"cloud", "/cloud/v1/hosts"},
    {"notices", "/cloud/v1/notices?from=1"},
    {"weights", "/weights/v1/loads/1"},
};

const FaultCase kReadFaults[] = {
    {"outage", R"({"mode":"refuse"})", 503, true, true, false},
    {"reset", R"({"mode":"reset_before"})", 0, false, false, false},
    {"lost answer", R"({"mode":"lost_answer"})", 0, false, false, false},
    {"late answer", R"({"mode":"delay","delay_ms":10})", 200, true, true,
     false},
    {"garbage", R"({"mode":"garbage"})", 200, true, false, false},
    {"cut answer", R"({"mode":"truncate"})", 200, false, false, false},
    {"slow answer", R"({"mode":"slow_bytes","delay_ms":1})", 200, true, true,
     false},
};

/*
 * A half or spoilt list is taken for the whole one, and every host that it
 * lacks for gone.  The table holds for whatever is read from the platform.
 */
TEST(ContractPlatform, FaultsOfEveryRead)
{
    cg::Platform platform({"--load-ms", "0"});
    platform.Post("/weights/v1/loads", Json().Set("host", "h-1"));
    for (const ReadPath &read : kReadPaths) {
        for (const FaultCase &item : kReadFaults) {
            SCOPED_TRACE(std::string(read.path) + " " + Describe(item));
            platform.Clear();
            Json fault = Json::Parse(item.fault);
            platform.Fault(fault.Set("target", read.target).Set("count", 1));
            HttpResult result = platform.Get(read.path);
            EXPECT_EQ(item.code, result.code);
            EXPECT_EQ(item.complete, result.complete);
            EXPECT_EQ(item.json, !result.json().IsNull());
            EXPECT_EQ(200, platform.Get(read.path).code);
        }
    }
}

class ContractCloud : public ::testing::Test {
  protected:
    Json
    Wanted(const std::string &token)
    {
        Json offer = cloud.Get("/cloud/v1/offers").json()["offers"][0];
        return Json()
            .Set("token", token)
            .Set("data_centre", offer["data_centre"])
            .Set("class", offer["class"])
            .Set("reclaimable", offer["reclaimable"])
            .Set("service", "assistant")
            .Set("version", "1");
    }

    size_t
    Tagged(const std::string &token)
    {
        Json hosts = cloud.Get("/cloud/v1/hosts").json()["hosts"];
        size_t count = 0;
        for (size_t i = 0; i < hosts.Size(); i++) {
            count += hosts[i]["token"].Str() == token;
        }
        return count;
    }

    std::string
    State(const std::string &id)
    {
        Json hosts = cloud.Get("/cloud/v1/hosts").json()["hosts"];
        for (size_t i = 0; i < hosts.Size(); i++) {
            if (hosts[i]["id"].Str() == id) {
                return hosts[i]["state"].Str();
            }
        }
        return "missing";
    }

    cg::ContractTarget<cg::Platform> cloud{"CG_CLOUD_ADDRESS"};
};

TEST_F(ContractCloud, AHostIsBoughtListedAndGivenBack)
{
    HttpResult bought = cloud.Post("/cloud/v1/hosts", Wanted("t-life"));
    ASSERT_EQ(201, bought.code);
    std::string id = bought.json()["id"].Str();
    EXPECT_TRUE(cg::Eventually([&] { return State(id) == "running"; }));
    EXPECT_EQ(1U, Tagged("t-life"));
    cg::Http("DELETE", cloud.address() + "/cloud/v1/hosts/" + id);
    EXPECT_TRUE(cg::Eventually([&] { return State(id) == "gone"; }));
}

/*
 * A host is bought twice.  The token is only a tag, so a repeated call buys
 * again; whoever lost an answer has to list before it repeats.
 */
TEST_F(ContractCloud, TheTokenDoesNotMakeACallIdempotent)
{
    Json wanted = Wanted("t-twice");
    std::string first =
        cloud.Post("/cloud/v1/hosts", wanted).json()["id"].Str();
    std::string second =
        cloud.Post("/cloud/v1/hosts", wanted).json()["id"].Str();
    EXPECT_NE(first, second);
    EXPECT_EQ(2U, Tagged("t-twice"));
    cg::Http("DELETE", cloud.address() + "/cloud/v1/hosts/" + first);
    cg::Http("DELETE", cloud.address() + "/cloud/v1/hosts/" + second);
}

TEST_F(ContractCloud, RefusesWhatIsNotOnOffer)
{
    Json wanted = Wanted("t-none").Set("class", "no-such-class");
    HttpResult result = cloud.Post("/cloud/v1/hosts", wanted);
    EXPECT_EQ(409, result.code);
    EXPECT_EQ("refused", result.json()["error"].Str());
    EXPECT_EQ(0U, Tagged("t-none"));
}

TEST_F(ContractCloud, RefusesOnceTheCapacityIsUsed)
{
    if (cloud.standin() == nullptr) {
        GTEST_SKIP() << "a real cloud is not emptied";
    }
    Json offer = cloud.Get("/cloud/v1/offers").json()["offers"][0];
    cloud.standin()->SetOffers(Json().Add(offer.Set("capacity", 1)));
    EXPECT_EQ(201, cloud.Post("/cloud/v1/hosts", Wanted("t-cap")).code);
    EXPECT_EQ(409, cloud.Post("/cloud/v1/hosts", Wanted("t-cap")).code);
    EXPECT_EQ(1U, Tagged("t-cap"));
}

const FaultCase kCloudFaults[] = {
    {"refused", R"({"mode":"refuse"})", 409, true, true, false},
    {"reset before", R"({"mode":"reset_before"})", 0, false, false, false},
    {"reset after", R"({"mode":"reset_after"})", 0, false, false, true},
    {"lost answer", R"({"mode":"lost_answer","delay_ms":20})", 0, false, false,
     true},
    {"cut answer", R"({"mode":"truncate"})", 201, false, false, true},
    {"garbage", R"({"mode":"garbage"})", 201, true, false, true},
};

/*
 * The bill shows a host that nobody knows of.  The answer to a purchase is
 * lost after the host was started; only the list by token shows it.
 */
TEST_F(ContractCloud, FaultsOfAPurchase)
{
    if (cloud.standin() == nullptr) {
        GTEST_SKIP() << "only a stand-in can be asked for faults";
    }
    for (const FaultCase &item : kCloudFaults) {
        SCOPED_TRACE(Describe(item));
        cloud.standin()->Clear();
        Json fault = Json::Parse(item.fault);
        fault.Set("target", "cloud").Set("stream", "POST");
        cloud.standin()->Fault(fault);
        HttpResult result = cloud.Post("/cloud/v1/hosts", Wanted(item.name));
        EXPECT_EQ(item.code, result.code);
        EXPECT_EQ(item.complete, result.complete);
        EXPECT_EQ(item.json, !result.json().IsNull());
        EXPECT_EQ(item.effect ? 1U : 0U, Tagged(item.name));
    }
}

TEST_F(ContractCloud, NoticesComeInOrderAndCountDown)
{
    if (cloud.standin() == nullptr) {
        GTEST_SKIP() << "a real cloud reclaims when it likes";
    }
    std::string id =
        cloud.Post("/cloud/v1/hosts", Wanted("t-note")).json()["id"].Str();
    cloud.standin()->Notice(id, 60000);
    cloud.standin()->Notice("other", 100);
    EXPECT_EQ("leaving", State(id));
    Json all = cloud.Get("/cloud/v1/notices?from=1").json();
    ASSERT_EQ(2U, all["notices"].Size());
    EXPECT_EQ(id, all["notices"][0]["host"].Str());
    EXPECT_LE(all["notices"][0]["left_ms"].Int(), 60000);
    EXPECT_GT(all["notices"][0]["left_ms"].Int(), 0);
    long long next = all["next"].Int();
    Json none =
        cloud.Get("/cloud/v1/notices?from=" + std::to_string(next)).json();
    EXPECT_EQ(0U, none["notices"].Size());
    cloud.standin()->Notice(id, 1);
    EXPECT_TRUE(cg::Eventually([&] { return State(id) == "gone"; }));
}

class ContractWeights : public ::testing::Test {
  protected:
    HttpResult
    Load()
    {
        return weights.Post("/weights/v1/loads",
                            Json()
                                .Set("host", "h-1")
                                .Set("service", "assistant")
                                .Set("version", "2"));
    }

    bool
    Ends(const std::string &id, const std::string &state)
    {
        return cg::Eventually([&] {
            return weights.Get("/weights/v1/loads/" + id)
                       .json()["state"]
                       .Str() == state;
        });
    }

    cg::ContractTarget<cg::Platform> weights{
        "CG_WEIGHTS_ADDRESS", {"--load-rate", "0.01", "--load-ms", "20"}};
};

TEST_F(ContractWeights, ALoadIsTakenAndDone)
{
    HttpResult load = Load();
    ASSERT_EQ(202, load.code);
    EXPECT_TRUE(Ends(load.json()["id"].Str(), "done"));
}

/*
 * A version move stands still.  The store refuses loads over its rate; one
 * that asks again at once is refused for ever.
 */
TEST_F(ContractWeights, OverTheRateItSaysWhenToComeBack)
{
    if (weights.standin() == nullptr) {
        GTEST_SKIP() << "a real store is not driven to its limit";
    }
    EXPECT_EQ(202, Load().code);
    HttpResult refused = Load();
    EXPECT_EQ(429, refused.code);
    EXPECT_FALSE(refused.Header("retry-after").empty());
    EXPECT_EQ(1U, weights.Get("/standin/loads").json()["loads"].Size());
}

TEST_F(ContractWeights, ALoadMayFail)
{
    if (weights.standin() == nullptr) {
        GTEST_SKIP() << "only a stand-in can be asked for faults";
    }
    weights.standin()->Fault(R"({"target":"weights","mode":"fail"})");
    EXPECT_TRUE(Ends(Load().json()["id"].Str(), "failed"));
}

TEST_F(ContractWeights, UnknownLoadsAreNotFound)
{
    EXPECT_EQ(404, weights.Get("/weights/v1/loads/999999").code);
}

} // namespace
