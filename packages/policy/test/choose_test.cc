#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "choose_model.h"
#include "policy/choose.h"

namespace {

const int64_t kSec = 1000000;

struct Table {
    struct ch_table *table;
    struct rn_random random;
    int64_t now = 100 * kSec;

    explicit Table(const struct ch_ops *ops = Ch_Predictive())
    {
        struct ch_settings settings;
        Ch_Defaults(&settings);
        table = Ch_Create("a", ops, &settings);
        Rn_Seed(&random, 7);
    }

    ~Table()
    {
        Ch_Destroy(table);
    }

    void
    put(const std::string &id, const char *version = "v1",
        const char *centre = "a", double price = 1, int slots = 4)
    {
        struct ch_info info = {};
        snprintf(info.id, sizeof(info.id), "%s", id.c_str());
        snprintf(info.version, sizeof(info.version), "%s", version);
        snprintf(info.data_centre, sizeof(info.data_centre), "%s", centre);
        info.slots = slots;
        info.price = price;
        ASSERT_EQ(ST_OK, Ch_Put(table, &info));
    }

    enum st_status
    choose(struct ch_flight *flight, uint64_t prefix = 0)
    {
        struct ch_request request = {};
        request.prefix = prefix;
        request.prompt_tokens = 100;
        return Ch_Choose(table, &request, now, &random, flight);
    }

    /* Runs one request to its end; returns the id of its endpoint. */
    std::string
    run(enum ch_outcome outcome = CH_GOOD, uint64_t prefix = 0)
    {
        struct ch_flight flight;
        if (choose(&flight, prefix) != ST_OK) {
            return "";
        }
        std::string id = Ch_Info(flight.endpoint)->id;
        Ch_Start(table, &flight, now);
        now += 10000;
        if (outcome == CH_GOOD) {
            Ch_FirstToken(table, &flight, now);
        }
        Ch_End(table, &flight, outcome, now);
        return id;
    }
};

/*
 * Guards against requests lost with a reclaimed host: the notice arrived
 * first, then the platform's lagging list reported "live" again, and the
 * router accepted the later message.
 */
TEST(Choose, LeavingIsFinalAgainstALaggingList)
{
    Table t;
    t.put("a1");
    t.put("a2");
    Ch_SetState(t.table, "a1", CH_LEAVING, 5 * kSec, t.now);
    Ch_SetState(t.table, "a1", CH_LIVE, 0, t.now);
    for (int i = 0; i < 100; i++) {
        EXPECT_EQ("a2", t.run());
    }
    EXPECT_EQ(5 * kSec, Ch_TimeLeft(Ch_Find(t.table, "a1"), t.now - kSec));
    Ch_SetState(t.table, "a2", CH_LEAVING, kSec, t.now);
    struct ch_flight flight;
    EXPECT_EQ(ST_UNAVAILABLE, t.choose(&flight));
}

/*
 * Guards against herding, which delays first tokens in waves: every router
 * sends to the one endpoint whose last report was low, until the next report
 * arrives a second later.
 */
TEST(Choose, OwnStartsSinceTheReportPreventHerding)
{
    Table t(Ch_NoAffinity());
    for (int i = 0; i < 2; i++) {
        t.put("e" + std::to_string(i), "v1", "a", 1, 32);
        struct ch_sample sample = {i * 16, 0, 0, t.now};
        Ch_Report(t.table, ("e" + std::to_string(i)).c_str(), &sample);
    }
    struct ch_flight flights[24];
    for (auto &flight : flights) {
        ASSERT_EQ(ST_OK, t.choose(&flight));
        Ch_Start(t.table, &flight, t.now);
    }
    EXPECT_LE(Ch_InFlight(Ch_Find(t.table, "e0")), 22);
    EXPECT_GE(Ch_InFlight(Ch_Find(t.table, "e0")), 16);
    for (auto &flight : flights) {
        Ch_End(t.table, &flight, CH_CANCELLED, t.now);
    }
}

// Guards against simultaneous requests that all go to one endpoint while an
// equally good one is idle.
TEST(Choose, SimultaneousRequestsUseEveryIdleEndpoint)
{
    const int kCalls = 8;
    const uint64_t kSeeds = 2000;
    for (uint64_t seed = 0; seed < kSeeds; seed++) {
        Table t;
        t.put("e0", "v1", "a", 1, 64);
        t.put("e1", "v1", "a", 1, 64);
        Rn_Seed(&t.random, seed);
        struct ch_flight flights[kCalls];
        for (auto &flight : flights) {
            struct ch_request request = {};
            ASSERT_EQ(ST_OK,
                      Ch_Choose(t.table, &request, t.now, &t.random, &flight));
            Ch_Start(t.table, &flight, t.now);
        }
        EXPECT_EQ(kCalls / 2, Ch_InFlight(Ch_Find(t.table, "e0"))) << seed;
        for (auto &flight : flights) {
            Ch_End(t.table, &flight, CH_CANCELLED, t.now);
        }
    }
}

TEST(Choose, PrefixStaysAtOneEndpointUntilItIsLoaded)
{
    Table t;
    for (int i = 0; i < 6; i++) {
        t.put("e" + std::to_string(i), "v1", "a", 1, 32);
    }
    std::string preferred = t.run(CH_GOOD, 42);
    for (int i = 0; i < 20; i++) {
        EXPECT_EQ(preferred, t.run(CH_GOOD, 42));
    }
    struct ch_flight flights[30];
    std::map<std::string, int> used;
    for (auto &flight : flights) {
        ASSERT_EQ(ST_OK, t.choose(&flight, 42));
        used[Ch_Info(flight.endpoint)->id]++;
        Ch_Start(t.table, &flight, t.now);
    }
    EXPECT_GE(used.size(), 2u);
    EXPECT_LE(used[preferred], 16);
    for (auto &flight : flights) {
        Ch_End(t.table, &flight, CH_GOOD, t.now);
    }
}

TEST(Choose, TiesGoToOwnDataCentreThenToLowerPrice)
{
    Table t(Ch_NoAffinity());
    t.put("far", "v1", "b", 1);
    t.put("near", "v1", "a", 9);
    EXPECT_EQ("near", t.run());
    Table u(Ch_NoAffinity());
    u.put("costly", "v1", "a", 9);
    u.put("cheap", "v1", "a", 1);
    EXPECT_EQ("cheap", u.run());
}

/*
 * Guards against one in six answers being an error for minutes: an endpoint
 * that fails every request at once looks idle, and so gets even more requests.
 */
TEST(Choose, FailingEndpointIsEjectedForLongerEachTime)
{
    Table t;
    for (int i = 0; i < 6; i++) {
        t.put("e" + std::to_string(i));
    }
    int failures = 0;
    int64_t stop = t.now + 120 * kSec;
    while (t.now < stop) {
        struct ch_flight flight;
        ASSERT_EQ(ST_OK, t.choose(&flight));
        bool bad = strcmp(Ch_Info(flight.endpoint)->id, "e0") == 0;
        failures += bad;
        Ch_Start(t.table, &flight, t.now);
        t.now += 50000;
        Ch_End(t.table, &flight, bad ? CH_FAILED : CH_GOOD, t.now);
    }
    EXPECT_GE(failures, 5);
    EXPECT_LE(failures, 12);
}

// Guards against retries spent on an endpoint that has just refused a
// connection.
TEST(Choose, AfterARefusedConnectionAnEndpointIsAvoidedUntilAReport)
{
    Table t;
    t.put("gone");
    t.put("busy", "v1", "a", 1, 64);
    struct ch_flight load[16];
    for (auto &flight : load) {
        flight = {};
        flight.endpoint = Ch_Find(t.table, "busy");
        Ch_Start(t.table, &flight, t.now);
    }
    struct ch_flight flight = {};
    flight.endpoint = Ch_Find(t.table, "gone");
    Ch_Start(t.table, &flight, t.now);
    Ch_End(t.table, &flight, CH_UNREACHED, t.now);
    for (int i = 0; i < 20; i++) {
        ASSERT_EQ(ST_OK, t.choose(&flight));
        EXPECT_STREQ("busy", Ch_Info(flight.endpoint)->id);
    }
    struct ch_sample sample = {0, 0, 0, t.now + 1};
    Ch_Report(t.table, "gone", &sample);
    ASSERT_EQ(ST_OK, t.choose(&flight));
    EXPECT_STREQ("gone", Ch_Info(flight.endpoint)->id);
    for (auto &started : load) {
        Ch_End(t.table, &started, CH_CANCELLED, t.now);
    }
}

// Guards against a refusal when the only endpoint left has recovered.
TEST(Choose, AnUnreachableEndpointIsUsedIfThereIsNoOther)
{
    Table t;
    t.put("e0");
    EXPECT_EQ("e0", t.run(CH_UNREACHED));
    EXPECT_EQ("e0", t.run());
}

/*
 * Guards against refusing all requests of a service while its endpoints run: a
 * fault of the router's own network made all of them fail, and each was
 * ejected in turn.
 */
TEST(Choose, PanicRuleKeepsHalfInUse)
{
    Table t;
    for (int i = 0; i < 6; i++) {
        t.put("e" + std::to_string(i));
    }
    int out = 0;
    for (int i = 0; i < 200; i++) {
        ASSERT_NE("", t.run(CH_FAILED));
    }
    for (auto *e = Ch_First(t.table); e != nullptr; e = Ch_Next(e)) {
        out += Ch_Ejected(e, t.now);
    }
    EXPECT_EQ(3, out);
    for (int i = 0; i < 6; i++) {
        Ch_SetState(t.table, ("e" + std::to_string(i)).c_str(), CH_SUSPECT, 0,
                    t.now);
    }
    EXPECT_NE("", t.run());
}

TEST(Choose, LimitShrinksUnderOverloadAndGrowsBack)
{
    Table t;
    t.put("e0", "v1", "a", 1, 10);
    for (int i = 0; i < 30; i++) {
        t.run(CH_OVERLOADED);
        t.now += kSec;
    }
    auto *endpoint = Ch_Find(t.table, "e0");
    EXPECT_EQ(1, Ch_Limit(endpoint));
    for (int i = 0; i < 400; i++) {
        struct ch_flight flights[20];
        int n = 0;
        while (n < 20 && t.choose(&flights[n]) == ST_OK) {
            Ch_Start(t.table, &flights[n++], t.now);
        }
        t.now += 10000;
        for (int k = 0; k < n; k++) {
            Ch_FirstToken(t.table, &flights[k], t.now);
            Ch_End(t.table, &flights[k], CH_GOOD, t.now);
        }
    }
    EXPECT_GE(Ch_Limit(endpoint), 10);
    EXPECT_LE(Ch_Limit(endpoint), 20);
}

/*
 * Guards against a hanging new version that accumulates most of the requests
 * in flight: its share of new requests is small, but none of them ends.  At
 * low traffic a share by count alone does not prevent this.
 */
TEST(Choose, SmallShareIsCappedInFlightAndByCount)
{
    Table t;
    for (int i = 0; i < 4; i++) {
        t.put("old" + std::to_string(i), "v1");
        t.put("new" + std::to_string(i), "v2");
    }
    struct ch_share shares[2] = {{"v1", 0.95, 0}, {"v2", 0.05, 2}};
    Ch_SetShares(t.table, shares, 2);
    int to_new = 0;
    for (int i = 0; i < 2000; i++) {
        to_new += t.run().substr(0, 3) == "new";
    }
    EXPECT_GE(to_new, 60);
    EXPECT_LE(to_new, 140);
    struct ch_flight hung[2];
    int held = 0;
    for (int i = 0; i < 2000; i++) {
        struct ch_flight flight;
        ASSERT_EQ(ST_OK, t.choose(&flight));
        Ch_Start(t.table, &flight, t.now);
        if (strncmp(Ch_Info(flight.endpoint)->id, "new", 3) == 0) {
            ASSERT_LT(held, 2);
            hung[held++] = flight;
            continue;
        }
        Ch_End(t.table, &flight, CH_GOOD, t.now);
    }
    for (int i = 0; i < held; i++) {
        Ch_End(t.table, &hung[i], CH_GOOD, t.now);
    }
}

// Guards against spending all attempts of a request on a bad version on
// trial.
TEST(Choose, RetriesGoToTheMainVersion)
{
    Table t;
    t.put("old", "v1");
    t.put("new", "v2");
    struct ch_share shares[2] = {{"v1", 0.6, 0}, {"v2", 0.4, 0}};
    ASSERT_EQ(ST_OK, Ch_SetShares(t.table, shares, 2));
    struct ch_request request = {};
    request.is_retry = true;
    for (int i = 0; i < 100; i++) {
        struct ch_flight flight;
        ASSERT_EQ(ST_OK,
                  Ch_Choose(t.table, &request, t.now, &t.random, &flight));
        EXPECT_STREQ("old", Ch_Info(flight.endpoint)->id);
    }
}

// Guards against spending all attempts of a request on a bad version on trial
// that has the largest share.
TEST(Choose, RetriesGoToTheStableVersionWhateverItsShare)
{
    Table t;
    t.put("old", "v1");
    t.put("new", "v2");
    struct ch_share shares[2] = {{"v1", 0.1, 0}, {"v2", 0.9, 0}};
    ASSERT_EQ(ST_OK, Ch_SetShares(t.table, shares, 2));
    Ch_SetTrial(t.table, "v2");
    const char *tried[] = {"new"};
    struct ch_request request = {};
    request.is_retry = true;
    request.failed = true;
    request.tried = tried;
    request.tried_count = 1;
    for (int i = 0; i < 100; i++) {
        struct ch_flight flight;
        ASSERT_EQ(ST_OK,
                  Ch_Choose(t.table, &request, t.now, &t.random, &flight));
        EXPECT_STREQ("old", Ch_Info(flight.endpoint)->id);
        EXPECT_FALSE(flight.on_trial);
    }
    tried[0] = "old";
    struct ch_flight flight;
    ASSERT_EQ(ST_OK, Ch_Choose(t.table, &request, t.now, &t.random, &flight));
    EXPECT_STREQ("new", Ch_Info(flight.endpoint)->id);
    EXPECT_TRUE(flight.on_trial);
}

// Guards against refusing a request because the version on trial is full while
// the main version has capacity.
TEST(Choose, RequestsGoToTheMainVersionIfTheVersionOnTrialIsFull)
{
    Table t;
    t.put("old", "v1", "a", 1, 64);
    t.put("new", "v2", "a", 1, 1);
    struct ch_share shares[2] = {{"v1", 0.5, 0}, {"v2", 0.5, 0}};
    ASSERT_EQ(ST_OK, Ch_SetShares(t.table, shares, 2));
    Ch_SetTrial(t.table, "v2");
    struct ch_flight held = {};
    held.endpoint = Ch_Find(t.table, "new");
    Ch_Start(t.table, &held, t.now);
    for (int i = 0; i < 100; i++) {
        struct ch_flight flight;
        ASSERT_EQ(ST_OK, t.choose(&flight));
        EXPECT_STREQ("old", Ch_Info(flight.endpoint)->id);
    }
    Ch_End(t.table, &held, CH_CANCELLED, t.now);
}

/* Sends a request with the given outcome and duration to one endpoint. */
static void
send_to(Table &t, const char *id, enum ch_outcome outcome, int64_t took)
{
    struct ch_flight flight = {};
    flight.endpoint = Ch_Find(t.table, id);
    flight.predicted = 10000;
    Ch_Start(t.table, &flight, t.now);
    t.now += took;
    if (outcome == CH_GOOD) {
        Ch_FirstToken(t.table, &flight, t.now);
    }
    Ch_End(t.table, &flight, outcome, t.now);
}

static std::string
choose_after(Table &t, const char *tried)
{
    struct ch_request request = {};
    request.is_retry = tried != nullptr;
    request.failed = request.is_retry;
    request.tried = &tried;
    request.tried_count = tried != nullptr ? 1 : 0;
    struct ch_flight flight;
    return Ch_Choose(t.table, &request, t.now, &t.random, &flight) == ST_OK
               ? Ch_Info(flight.endpoint)->id
               : "";
}

// Guards against a request that ends as "unknown" although a good endpoint,
// which is only slow or suspect, was never tried.
TEST(Choose, ADoubtfulEndpointIsTriedBeforeOneThatFailedTheRequest)
{
    Table slow;
    slow.put("fails");
    slow.put("slow");
    slow.put("quick");
    for (int i = 0; i < 20; i++) {
        send_to(slow, "fails", CH_GOOD, 10000);
        send_to(slow, "quick", CH_GOOD, 10000);
        send_to(slow, "slow", CH_GOOD, 300000);
    }
    ASSERT_TRUE(Ch_Ejected(Ch_Find(slow.table, "slow"), slow.now));
    Ch_Remove(slow.table, "quick");
    EXPECT_EQ("slow", choose_after(slow, "fails"));

    Table suspect;
    suspect.put("fails");
    suspect.put("far");
    Ch_SetState(suspect.table, "far", CH_SUSPECT, 0, suspect.now);
    EXPECT_EQ("fails", choose_after(suspect, nullptr));
    EXPECT_EQ("far", choose_after(suspect, "fails"));
}

// Guards against retries spent on an endpoint that fails at once, and so looks
// idle, when no further endpoint may be ejected.
TEST(Choose, AFailingEndpointIsTriedAfterAllOthers)
{
    Table t;
    for (const char *id : {"a", "b", "c"}) {
        t.put(id);
    }
    for (int i = 0; i < 5; i++) {
        send_to(t, "a", CH_FAILED, 1000);
        send_to(t, "b", CH_FAILED, 1000);
    }
    EXPECT_NE(Ch_Ejected(Ch_Find(t.table, "a"), t.now),
              Ch_Ejected(Ch_Find(t.table, "b"), t.now));
    int failures = 0;
    for (int i = 0; i < 400; i++) {
        std::string id = choose_after(t, nullptr);
        bool fails = id != "c";
        failures += fails;
        send_to(t, id.c_str(), fails ? CH_FAILED : CH_GOOD, 10000);
    }
    /* Each is used again after 0.1 s, then after twice that; 4 s pass. */
    EXPECT_LE(failures, 2 * 6);
}

// Guards against a bad new version whose ejected endpoint uses up the share
// that may be ejected, so that a failing endpoint of the old version stays.
TEST(Choose, EndpointsAreEjectedWithinTheirVersion)
{
    Table t;
    t.put("old0", "v1");
    t.put("old1", "v1");
    t.put("new", "v2");
    struct ch_share shares[2] = {{"v1", 0.9, 0}, {"v2", 0.1, 0}};
    ASSERT_EQ(ST_OK, Ch_SetShares(t.table, shares, 2));
    for (int i = 0; i < 5; i++) {
        send_to(t, "new", CH_FAILED, 1000);
    }
    for (int i = 0; i < 5; i++) {
        send_to(t, "old0", CH_FAILED, 1000);
    }
    EXPECT_TRUE(Ch_Ejected(Ch_Find(t.table, "old0"), t.now));
    EXPECT_EQ("old1", choose_after(t, "new"));
}

// Guards against refusals after a short failure of most endpoints, when only
// half of them are in use.
TEST(Choose, RecoveredEndpointsTakeWhatTheHealthyOneCannot)
{
    Table t;
    std::vector<std::string> ids = {"a", "b", "c", "d", "e", "sound"};
    for (const std::string &id : ids) {
        t.put(id);
    }
    for (size_t i = 0; i + 1 < ids.size(); i++) {
        for (int failure = 0; failure < 5; failure++) {
            send_to(t, ids[i].c_str(), CH_FAILED, 1000);
        }
    }
    t.now += kSec;
    struct ch_capacity capacity;
    Ch_Capacity(t.table, t.now, &capacity);
    EXPECT_EQ(12, capacity.free_slots);
    std::vector<struct ch_flight> flights;
    for (int i = 0; i < 12; i++) {
        struct ch_flight flight;
        ASSERT_EQ(ST_OK, t.choose(&flight)) << i;
        Ch_Start(t.table, &flight, t.now);
        flights.push_back(flight);
    }
    for (struct ch_flight &flight : flights) {
        Ch_End(t.table, &flight, CH_GOOD, t.now);
    }
    EXPECT_NE("", choose_after(t, nullptr));
}

// Guards against leaving an endpoint unused that answers this router, although
// the hosts that probe it cannot reach it.
TEST(Choose, ASuspectEndpointThatAnswersIsPreferredToAFailingOne)
{
    Table t;
    t.put("fails");
    t.put("far");
    Ch_SetState(t.table, "far", CH_SUSPECT, 0, t.now);
    send_to(t, "far", CH_GOOD, 10000);
    for (int i = 0; i < 5; i++) {
        send_to(t, "fails", CH_FAILED, 1000);
    }
    for (int i = 0; i < 20; i++) {
        EXPECT_EQ("far", choose_after(t, nullptr));
    }
}

/*
 * Guards against requests that keep failing after a version was distrusted:
 * the old version had no share left, so the router stayed with the only
 * version that had a share.
 */
TEST(Choose, RequestsGoToTheStandbyVersionInsteadOfADistrustedOne)
{
    Table t;
    t.put("old", "v1");
    t.put("new", "v2");
    struct ch_share shares[2] = {{"v1", 0, 0}, {"v2", 1, 0}};
    Ch_SetShares(t.table, shares, 2);
    EXPECT_EQ("new", t.run());
    Ch_Distrust(t.table, "v2");
    for (int i = 0; i < 100; i++) {
        EXPECT_EQ("old", t.run());
    }
    /* No fallback the other way: the new version gets only its own share. */
    struct ch_share back[2] = {{"v1", 0.95, 0}, {"v3", 0.05, 0}};
    Table u;
    u.put("new", "v3");
    Ch_SetShares(u.table, back, 2);
    int to_new = 0;
    for (int i = 0; i < 1000; i++) {
        to_new += u.run() == "new";
    }
    EXPECT_LE(to_new, 80);
}

// Guards against a log that does not state why an idle endpoint was skipped.
TEST(Choose, NamesTheObstacleOfAnEndpoint)
{
    Table t;
    for (const char *id : {"a", "b", "c", "d", "e"}) {
        t.put(id, "v1", "a", 1, 1);
    }
    t.put("f", "v2");
    auto obstacle = [&](const char *id) {
        return std::string(Ch_Obstacle(Ch_Find(t.table, id), t.now));
    };
    EXPECT_EQ("ok", obstacle("a"));
    Ch_SetState(t.table, "a", CH_LEAVING, kSec, t.now);
    EXPECT_EQ("leaving", obstacle("a"));
    Ch_SetState(t.table, "b", CH_SUSPECT, 0, t.now);
    EXPECT_EQ("suspect", obstacle("b"));
    EXPECT_EQ("ok", obstacle("f"));
    Ch_Distrust(t.table, "v2");
    EXPECT_EQ("distrusted", obstacle("f"));
    auto dispatch = [&](const char *id, enum ch_outcome outcome) {
        struct ch_flight flight = {};
        flight.endpoint = Ch_Find(t.table, id);
        Ch_Start(t.table, &flight, t.now);
        Ch_End(t.table, &flight, outcome, t.now);
    };
    dispatch("c", CH_UNREACHED);
    EXPECT_EQ("shunned", obstacle("c"));
    for (int i = 0; i < 5; i++) {
        dispatch("d", CH_FAILED);
    }
    EXPECT_EQ("failing", obstacle("d"));
    t.now += kSec;
    EXPECT_EQ("ejected", obstacle("d"));
    struct ch_flight flight = {};
    flight.endpoint = Ch_Find(t.table, "e");
    Ch_Start(t.table, &flight, t.now);
    EXPECT_EQ("full", obstacle("e"));
    Ch_End(t.table, &flight, CH_GOOD, t.now);
    EXPECT_EQ("ok", obstacle("e"));
}

/*
 * Guards against a crash at the end of an answer: the endpoint was removed
 * from the list while a request to it was in flight.
 */
TEST(Choose, RemovedEndpointLivesUntilItsLastFlightEnds)
{
    Table t;
    t.put("e0");
    struct ch_flight flight;
    ASSERT_EQ(ST_OK, t.choose(&flight));
    Ch_Start(t.table, &flight, t.now);
    EXPECT_EQ(ST_OK, Ch_Remove(t.table, "e0"));
    EXPECT_EQ(ST_NOT_FOUND, Ch_Remove(t.table, "e0"));
    Ch_FirstToken(t.table, &flight, t.now);
    Ch_End(t.table, &flight, CH_FAILED, t.now);
    EXPECT_EQ(ST_UNAVAILABLE, t.choose(&flight));
}

TEST(Choose, RefusesRequestsThatWouldBeLateAndSkipsTriedEndpoints)
{
    Table t;
    t.put("e0");
    t.put("e1");
    const char *tried[] = {"e0", "e1"};
    struct ch_request request = {};
    struct ch_flight flight;
    request.tried_count = 1;
    request.tried = tried;
    for (int i = 0; i < 20; i++) {
        ASSERT_EQ(ST_OK,
                  Ch_Choose(t.table, &request, t.now, &t.random, &flight));
        EXPECT_STREQ("e1", Ch_Info(flight.endpoint)->id);
    }
    request.tried_count = 2;
    EXPECT_EQ(ST_UNAVAILABLE,
              Ch_Choose(t.table, &request, t.now, &t.random, &flight));
    request.tried_count = 0;
    request.prompt_tokens = 100000;
    request.budget = kSec;
    EXPECT_EQ(ST_TIMEOUT,
              Ch_Choose(t.table, &request, t.now, &t.random, &flight));
}

// Guards against sending a cold endpoint as many requests as a warm one, and
// against refusing a request that the cold endpoint may get.
TEST(Choose, AColdEndpointGetsFewRequests)
{
    static struct wu_hosts hosts;
    hosts.own = 1;
    hosts.count = 0;
    hosts.completeness = {100 * kSec, true, 1, 1};
    Table t;
    t.put("cold", "v1", "a", 1, 64);
    Ch_SetWarmup(t.table, 4, 30 * kSec, &hosts);
    Ch_SetCold(t.table, "cold", 30 * kSec, t.now);
    struct ch_flight flight;
    int sent = 0;
    for (int i = 0; i < 100; i++) {
        t.now += kSec / 100;
        if (t.choose(&flight) == ST_OK) {
            Ch_Start(t.table, &flight, t.now);
            Ch_End(t.table, &flight, CH_CANCELLED, t.now);
            sent++;
        }
    }
    EXPECT_GE(sent, 3);
    EXPECT_LE(sent, 4);
    EXPECT_EQ(ST_OVERLOAD, t.choose(&flight));
    t.put("warm", "v1", "a", 1, 64);
    for (int i = 0; i < 20; i++) {
        ASSERT_EQ(ST_OK, t.choose(&flight));
        EXPECT_STREQ("warm", Ch_Info(flight.endpoint)->id);
    }
    // An older report does not make the endpoint warm.
    Ch_SetCold(t.table, "cold", 0, t.now - 2 * kSec);
    EXPECT_TRUE(Ch_IsCold(Ch_Find(t.table, "cold"), t.now));
    t.now += 31 * kSec;
    EXPECT_FALSE(Ch_IsCold(Ch_Find(t.table, "cold"), t.now));
}

// Guards against sending a brittle endpoint more requests than it has slots,
// which makes it fail.
TEST(Choose, ABrittleEndpointGetsNoMoreRequestsThanSlots)
{
    Table t;
    t.put("a1");
    ASSERT_EQ(ST_OK, Ch_SetRefusalLimit(t.table, "a1", 6, t.now));
    struct ch_sample sample = {};
    sample.taken = t.now;
    sample.running = 3; // of other hosts
    Ch_Report(t.table, "a1", &sample);
    struct ch_flight flight;
    ASSERT_EQ(ST_OK, t.choose(&flight));
    sample.running = 4;
    sample.taken = ++t.now;
    Ch_Report(t.table, "a1", &sample);
    EXPECT_EQ(ST_OVERLOAD, t.choose(&flight));
    EXPECT_STREQ("brittle", Ch_Obstacle(Ch_Find(t.table, "a1"), t.now));
}

// Guards against an endpoint that joins after the report and is taken for one
// that queues requests.
TEST(Choose, AnEndpointThatJoinsABrittleServiceIsBrittle)
{
    Table t;
    t.put("a1");
    ASSERT_EQ(ST_OK, Ch_SetRefusalLimit(t.table, "a1", 6, t.now));
    t.put("a2");
    EXPECT_TRUE(Ch_IsBrittle(Ch_Find(t.table, "a2"), t.now));
    Ch_SetRefusalLimit(t.table, "a1", -1, t.now + 1);
    EXPECT_FALSE(Ch_IsBrittle(Ch_Find(t.table, "a2"), t.now + 1));
}

// Guards against an endpoint that gets more requests a second than it reports
// to take, and against requests that do not wait for room.
TEST(Choose, ARateLimitIsKept)
{
    Table t;
    t.put("a1");
    ASSERT_EQ(ST_OK, Ch_SetRateLimit(t.table, "a1", 2, t.now, t.now));
    int served = 0;
    for (int i = 0; i < 100; i++) {
        served += t.run() == "a1";
        t.now += kSec / 10;
    }
    EXPECT_GE(served, 15);
    EXPECT_LE(served, 20);
    while (t.run() == "a1") {
    }
    struct ch_capacity capacity;
    Ch_Capacity(t.table, t.now, &capacity);
    EXPECT_EQ(capacity.free_slots, 0);
    EXPECT_STREQ(Ch_Obstacle(Ch_Find(t.table, "a1"), t.now), "rate-limited");
    ASSERT_EQ(ST_OK, Ch_SetRateLimit(t.table, "a1", -1, t.now, t.now));
    EXPECT_EQ("a1", t.run());
}

// Guards against sending to a brittle endpoint again within the second over
// which it counts refusals.
TEST(Choose, ABrittleEndpointGetsNothingForASecondAfterARefusal)
{
    Table t;
    t.put("a1");
    Ch_SetRefusalLimit(t.table, "a1", 6, t.now);
    EXPECT_EQ("a1", t.run(CH_OVERLOADED));
    t.now += kSec;
    EXPECT_EQ("", t.run());
    t.now += kSec / 5;
    EXPECT_EQ("a1", t.run());
}

// Guards against a refusal limit that an older report, or one of another
// endpoint, withdraws for all endpoints.
TEST(Choose, TheRefusalLimitEndsWithALaterReportOfTheSameEndpoint)
{
    Table t;
    t.put("a1");
    t.put("a2");
    Ch_SetRefusalLimit(t.table, "a1", 6, t.now);
    Ch_SetRefusalLimit(t.table, "a1", -1, t.now - 1);
    Ch_SetRefusalLimit(t.table, "a2", -1, t.now + 1);
    EXPECT_TRUE(Ch_IsBrittle(Ch_Find(t.table, "a2"), t.now));
    Ch_SetRefusalLimit(t.table, "a1", -1, t.now + 1);
    EXPECT_FALSE(Ch_IsBrittle(Ch_Find(t.table, "a1"), t.now));
    EXPECT_FALSE(Ch_IsBrittle(Ch_Find(t.table, "a2"), t.now));
}

/*
 * In any order of events, a leaving endpoint, an endpoint already tried and a
 * distrusted version get no request, and no endpoint exceeds its limit.
 */
TEST(Choose, InvariantsHoldInAnyOrderOfEvents)
{
    const char *versions[] = {"v1", "v2", "v3"};
    for (uint64_t seed = 1; seed <= 100; seed++) {
        Table t;
        Rn_Seed(&t.random, seed);
        std::map<std::string, bool> leaving;
        std::map<std::string, bool> distrusted;
        std::vector<struct ch_flight> flights;
        struct ch_share shares[3] = {
            {"v1", 0.5, 0}, {"v2", 0.4, 3}, {"v3", 0, 0}};
        if (seed % 2 == 0) {
            Ch_SetShares(t.table, shares, 3);
        }
        for (int step = 0; step < 2000; step++) {
            uint32_t event = Rn_Below(&t.random, 100);
            std::string id = "e" + std::to_string(Rn_Below(&t.random, 12));
            t.now += Rn_Below(&t.random, 50000);
            if (event < 12 && Ch_Find(t.table, id.c_str()) == nullptr) {
                leaving[id] = false;
                t.put(id, versions[Rn_Below(&t.random, 3)]);
            }
            else if (event < 14) {
                Ch_Remove(t.table, id.c_str());
            }
            else if (event < 20) {
                auto state = (enum ch_state)Rn_Below(&t.random, 3);
                Ch_SetState(t.table, id.c_str(), state, kSec, t.now);
                leaving[id] = leaving[id] || state == CH_LEAVING;
            }
            else if (event == 20 && step > 1000) {
                const char *version = versions[Rn_Below(&t.random, 2)];
                Ch_Distrust(t.table, version);
                distrusted[version] = true;
            }
            else if (event < 60) {
                const char *tried[] = {"e1", "e2"};
                struct ch_request request = {};
                struct ch_flight flight;
                request.prefix = Rn_Below(&t.random, 9);
                request.tried = tried;
                request.tried_count = 2;
                if (Ch_Choose(t.table, &request, t.now, &t.random, &flight) !=
                    ST_OK) {
                    continue;
                }
                const struct ch_info *info = Ch_Info(flight.endpoint);
                ASSERT_FALSE(leaving[info->id]);
                ASSERT_FALSE(distrusted[info->version]);
                ASSERT_STRNE("e1", info->id);
                ASSERT_STRNE("e2", info->id);
                Ch_Start(t.table, &flight, t.now);
                ASSERT_LE(Ch_InFlight(flight.endpoint),
                          Ch_Limit(flight.endpoint));
                flights.push_back(flight);
            }
            else if (!flights.empty()) {
                size_t at = Rn_Below(&t.random, (uint32_t)flights.size());
                Ch_FirstToken(t.table, &flights[at], t.now);
                Ch_End(t.table, &flights[at],
                       (enum ch_outcome)Rn_Below(&t.random, 4), t.now);
                flights.erase(flights.begin() + (long)at);
            }
        }
        for (auto &flight : flights) {
            Ch_End(t.table, &flight, CH_GOOD, t.now);
        }
    }
}

struct model_result
measure(const struct ch_ops *ops, uint64_t seed)
{
    struct model_plan plan = {seed, 7,   18, 8,    8000, 60, 1000,
                              40,   400, 24, kSec, 2,    4,  ops};
    struct model_result result;
    Model_Run(&plan, &result);
    return result;
}

TEST(Choose, TailAndCacheAreBetterThanEachBaseline)
{
    const struct ch_ops *baselines[] = {Ch_LeastInFlight(), Ch_RoundRobin(),
                                        Ch_Random()};
    for (uint64_t seed = 1; seed <= 3; seed++) {
        struct model_result own = measure(Ch_Predictive(), seed);
        for (const auto *ops : baselines) {
            struct model_result other = measure(ops, seed);
            EXPECT_LT(own.p95, other.p95) << ops->name;
            EXPECT_LT(own.p99, other.p99) << ops->name;
            EXPECT_GT(own.hit_share, other.hit_share) << ops->name;
            EXPECT_LT(own.recomputed, other.recomputed) << ops->name;
        }
    }
}

} // namespace
