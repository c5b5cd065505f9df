// Configuration comes into force on every daemon and never goes back.
#include <gtest/gtest.h>

#include <thread>

#include "test/scene.h"

namespace {

using cg::Json;

// The team's section with another weight.
std::string
TeamOfWeight(int weight)
{
    return "{\"customers\":[{\"name\":\"families\",\"key_digest\":\"" +
           cg::KeyDigest("key-of-the-customer") +
           "\",\"weight\":" + std::to_string(weight) + "}]}";
}

class Config : public ::testing::Test {
  protected:
    // True when every daemon knows that all of them have read this far.
    bool
    AllKnow(long long offset)
    {
        for (size_t i = 0; i < scene.cluster.Size(); i++) {
            Json status = scene.cluster.Status(i, "ops-key");
            if (status["daemons"].Size() != scene.cluster.Size()) {
                return false;
            }
            for (size_t d = 0; d < status["daemons"].Size(); d++) {
                if (status["daemons"][d]["config_offset"].Int() < offset) {
                    return false;
                }
            }
        }
        return true;
    }

    // What tells word that did not come from a log that was not read: what
    // each daemon knows of all, and what those that lag have logged.
    std::string
    WhatEachKnows(long long offset)
    {
        std::string text;
        for (size_t i = 0; i < scene.cluster.Size(); i++) {
            Json status = scene.cluster.Status(i, "ops-key");
            text += "daemon " + std::to_string(i) + ": " +
                    status["config"].Dump() + " of others:";
            for (size_t d = 0; d < status["daemons"].Size(); d++) {
                text += " " + status["daemons"][d]["config_offset"].Dump() +
                        " " + status["daemons"][d]["state"].Str();
            }
            text += "\n";
            if (status["config"]["offset"].Int() < offset) {
                text += scene.cluster.process(i).Stderr();
            }
        }
        return text;
    }

    cg::Scene scene;
};

TEST_F(Config, EveryDaemonLearnsHowFarTheOthersHaveRead)
{
    scene.AddPlain();
    scene.PublishDefaults();
    scene.cluster.AddMany(3);
    ASSERT_TRUE(scene.cluster.WaitReady());
    EXPECT_TRUE(cg::Eventually([&] { return AllKnow(2); }))
        << scene.cluster.Status(0, "ops-key").Dump();
}

// Guards against operators who wait for half a minute since gossip missed one
// daemon with another's word.
TEST_F(Config, EachOfManyChangesIsSoonKnownEverywhere)
{
    const int kChanges = 12;
    scene.AddPlain();
    scene.PublishDefaults();
    scene.cluster.AddMany(7, {"dc-1", "dc-2"});
    ASSERT_TRUE(scene.cluster.WaitReady());
    long long base = 2;
    for (int change = 0; change < kChanges; change++) {
        base = scene.Publish("team/derwent", TeamOfWeight(change + 2), base);
        EXPECT_TRUE(cg::Eventually([&] { return AllKnow(base); }))
            << WhatEachKnows(base);
    }
}

// How far each daemon has read, as it says itself.
long long
OffsetOf(const cg::Scene &scene, size_t daemon)
{
    return scene.cluster.Status(daemon, "ops-key")["config"]["offset"].Int();
}

/*
 * A daemon's own way to the log is cut. It must come to serve with what the
 * others know, and get every later change from them, or callers who reach it
 * are treated by yesterday's configuration.
 */
TEST_F(Config, ADaemonCutOffFromTheLogFollowsItsPeers)
{
    scene.AddPlain();
    scene.PublishDefaults();
    cg::FaultProxy to_log(scene.platform.Address());
    scene.cluster.AddMany(6, {"dc-1", "dc-2"});
    ASSERT_TRUE(scene.cluster.WaitReady());
    to_log.Fault("{\"mode\":\"refuse\",\"count\":-1}");
    cg::DaemonOptions options;
    options.log = to_log.ListenAddress();
    size_t cut = scene.cluster.Add(options);
    ASSERT_TRUE(scene.cluster.WaitReady());
    EXPECT_EQ(2, OffsetOf(scene, cut));
    for (int change = 0; change < 3; change++) {
        long long offset = scene.Publish(
            "team/derwent",
            "{\"customers\":[{\"name\":\"families\",\"key_digest\":\"" +
                cg::KeyDigest("key-of-the-customer") +
                "\",\"weight\":" + std::to_string(change + 2) + "}]}",
            change + 2);
        EXPECT_TRUE(cg::Eventually([&] { return AllKnow(offset); }))
            << WhatEachKnows(offset);
    }
    std::string log = scene.cluster.process(cut).Stderr();
    EXPECT_NE(std::string::npos, log.find("offset=5 by=peer")) << log;
}

/*
 * The log is out while all seven daemons are replaced one after another, as
 * hosts are. Nobody but the daemons knows the configuration meanwhile; it
 * must be handed on, and never an older one.
 */
TEST_F(Config, AllSevenAreReplacedDuringALogOutage)
{
    scene.AddPlain();
    scene.PublishDefaults();
    scene.cluster.AddMany(7, {"dc-1", "dc-2"});
    ASSERT_TRUE(scene.cluster.WaitReady());
    ASSERT_TRUE(cg::Eventually([&] { return AllKnow(2); }));
    scene.platform.Fault("{\"target\":\"read\",\"mode\":\"refuse\","
                         "\"count\":-1}");
    scene.platform.Fault("{\"target\":\"append\",\"mode\":\"refuse\","
                         "\"count\":-1}");
    for (size_t i = 0; i < 7; i++) {
        if (i % 2 == 0) {
            scene.cluster.process(i).Kill();
        }
        else {
            scene.cluster.process(i).Term();
            scene.cluster.process(i).WaitExit(cg::Millis(60000));
        }
        scene.cluster.Restart(i);
        ASSERT_TRUE(cg::Eventually([&] { return scene.cluster.IsReady(i); }))
            << i << scene.cluster.process(i).Stderr();
        EXPECT_EQ(2, OffsetOf(scene, i));
        EXPECT_EQ(200, cg::Http(scene.Call(i, "GET", "/seats/x")).code);
    }
    scene.platform.Clear();
    long long offset = scene.Publish(
        "team/derwent",
        "{\"customers\":[{\"name\":\"families\",\"key_digest\":\"" +
            cg::KeyDigest("key-of-the-customer") + "\"}]}",
        2);
    EXPECT_TRUE(cg::Eventually([&] { return AllKnow(offset); }));
}

/*
 * The log answers with a shorter end than before, as a lagging replica of it
 * does. No daemon may turn back, and one started just then must not serve
 * with less than the others know.
 */
TEST_F(Config, AShorterLogTurnsNobodyBack)
{
    scene.AddPlain();
    scene.PublishDefaults();
    scene.cluster.AddMany(3);
    ASSERT_TRUE(scene.cluster.WaitReady());
    ASSERT_TRUE(cg::Eventually([&] { return AllKnow(2); }));
    scene.platform.Fault("{\"target\":\"read\",\"mode\":\"short_tail\","
                         "\"records\":1,\"stream\":\"config\","
                         "\"count\":-1}");
    size_t late = scene.cluster.Add();
    bool behind = false;
    cg::Eventually(
        [&] {
            for (size_t i = 0; i < 3; i++) {
                behind = behind || OffsetOf(scene, i) < 2;
            }
            if (scene.cluster.IsReady(late)) {
                behind = behind || OffsetOf(scene, late) < 2;
                return true;
            }
            return behind;
        },
        cg::Millis(4000));
    EXPECT_FALSE(behind);
    scene.platform.Clear();
    EXPECT_TRUE(cg::Eventually([&] { return scene.cluster.IsReady(late); }));
}

// A stream that is longer than one answer of the log; its last offset.
long long
PublishMany(cg::Scene &scene)
{
    const int kChanges = 600;
    scene.PublishDefaults();
    std::vector<std::string> changes;
    for (int change = 0; change < kChanges; change++) {
        changes.push_back(scene.SectionRecord(
            "team/derwent",
            "{\"customers\":[{\"name\":\"families\",\"key_digest\":\"" +
                cg::KeyDigest("key-of-the-customer") +
                "\",\"weight\":" + std::to_string(change % 9 + 1) + "}]}",
            change + 2));
    }
    return scene.platform.Append("config", changes) + kChanges - 1;
}

// Lets one answer of the log through to a daemon, and loses the next.
void
LoseSecondAnswer(const cg::Platform &platform)
{
    platform.Fault("{\"target\":\"read\",\"mode\":\"lost_answer\","
                   "\"stream\":\"config\",\"after\":1,"
                   "\"delay_ms\":3000,\"count\":1}");
}

// Guards against a daemon that starts and serves by an old configuration since
// its first answer of the log ended before the last record.
TEST_F(Config, ADaemonThatStartsServesOnceItHasReadAll)
{
    scene.AddPlain();
    long long last = PublishMany(scene);
    ASSERT_EQ(602, last);
    LoseSecondAnswer(scene.platform);
    size_t alone = scene.cluster.Add();
    ASSERT_TRUE(scene.cluster.WaitReady());
    EXPECT_EQ(last, OffsetOf(scene, alone));
}

// Guards against a daemon without the log that serves by what a peer has read
// of it so far.
TEST_F(Config, APeersPartOfTheLogIsNotServedBy)
{
    scene.AddPlain();
    long long last = PublishMany(scene);
    ASSERT_EQ(602, last);
    LoseSecondAnswer(scene.platform);
    cg::FaultProxy to_log(scene.platform.Address());
    to_log.Fault("{\"mode\":\"refuse\",\"count\":-1}");
    scene.cluster.Add();
    cg::DaemonOptions options;
    options.log = to_log.ListenAddress();
    size_t cut = scene.cluster.Add(options);
    ASSERT_TRUE(cg::Eventually([&] { return scene.cluster.IsReady(cut); }));
    EXPECT_EQ(last, OffsetOf(scene, cut));
    EXPECT_TRUE(scene.cluster.WaitReady());
}

const cg::Millis kInForceMost{11000}; // as promised

// The configuration that a daemon serves by.
long long
InForce(const cg::Scene &scene, size_t daemon)
{
    return scene.cluster.Status(daemon, "ops-key")["config"]["in_force"].Int();
}

// Whether these daemons serve by a change within the time promised.
bool
InForceInTime(const cg::Scene &scene, const std::vector<size_t> &daemons,
              long long offset)
{
    return cg::Eventually(
        [&] {
            for (size_t daemon : daemons) {
                if (InForce(scene, daemon) < offset) {
                    return false;
                }
            }
            return true;
        },
        kInForceMost);
}

// Guards against a change that is lost or late since the daemon that took it
// is stopped at once.
TEST_F(Config, APublisherThatStopsAtOnceLeavesItsChangeInForce)
{
    scene.AddPlain();
    scene.PublishDefaults();
    scene.cluster.AddMany(4, {"dc-1", "dc-2"});
    ASSERT_TRUE(scene.cluster.WaitReady());
    cg::HttpCall call;
    call.method = "PATCH";
    call.url = scene.cluster.Admin(0) + "/admin/v1/sections/team/derwent";
    call.headers["authorization"] = "Bearer ops-key";
    call.body = "{\"base\":2,\"body\":{\"customers\":{\"families\":"
                "{\"weight\":3}}}}";
    cg::HttpResult result = cg::Http(call);
    scene.cluster.process(0).Term();
    ASSERT_EQ(200, result.code) << result.body;
    EXPECT_TRUE(
        InForceInTime(scene, {1, 2, 3}, result.json()["offset"].Int()));
    EXPECT_EQ(0, scene.cluster.process(0).WaitExit(cg::Millis(60000)));
}

// Guards against a daemon that misses a change since it is stopped for two
// seconds just before, while, or just after it is written.
TEST_F(Config, ADaemonStoppedForTwoSecondsFollows)
{
    const cg::Millis kStep{250};
    const int kSteps = 4;
    scene.AddPlain();
    scene.PublishDefaults();
    scene.cluster.AddMany(6, {"dc-1", "dc-2"});
    ASSERT_TRUE(scene.cluster.WaitReady());
    long long base = 2;
    for (int step = 0; step < kSteps; step++) {
        size_t frozen = (size_t)step;
        bool first = step % 2 == 0;
        if (first) {
            scene.cluster.process(frozen).Stop();
            std::this_thread::sleep_for(kStep * step);
        }
        base = scene.Publish("team/derwent", TeamOfWeight(step + 2), base);
        if (!first) {
            std::this_thread::sleep_for(kStep * (step - 1));
            scene.cluster.process(frozen).Stop();
        }
        std::this_thread::sleep_for(cg::Millis(2000));
        scene.cluster.process(frozen).Cont();
        EXPECT_TRUE(InForceInTime(scene, {0, 1, 2, 3, 4, 5}, base))
            << WhatEachKnows(base);
    }
}

// Guards against a daemon that is late since nobody tells it of a change and
// its reads get no answer for as long as two of them wait.
TEST_F(Config, ADaemonWithoutWordWhoseAnswersAreLostFollows)
{
    scene.AddPlain();
    scene.PublishDefaults();
    scene.cluster.AddMany(3);
    cg::FaultProxy to_log(scene.platform.Address());
    cg::Platform own_hosts; // lists no daemon
    cg::HeldPort nobodys;
    cg::DaemonOptions options;
    options.log = to_log.ListenAddress();
    options.hosts = own_hosts.Address();
    options.listed_peer_port = nobodys.number();
    size_t cut = scene.cluster.Add(options);
    ASSERT_TRUE(scene.cluster.WaitReady());
    to_log.Fault("{\"mode\":\"blackhole\",\"direction\":\"down\"}");
    long long offset = scene.Publish("team/derwent", TeamOfWeight(2), 2);
    std::this_thread::sleep_for(cg::Millis(4100));
    EXPECT_EQ(2, InForce(scene, cut));
    to_log.Clear();
    EXPECT_TRUE(InForceInTime(scene, {cut}, offset));
    std::string log = scene.cluster.process(cut).Stderr();
    size_t at = log.find("offset=3 by=read");
    ASSERT_NE(std::string::npos, at) << log;
    EXPECT_NE(std::string::npos, log.find("word_ms=-1", at)) << log;
}

/*
 * Two operators change the same section at once at two daemons. One must
 * win, the other must be told, and all daemons must agree.
 */
TEST_F(Config, TwoOperatorsAtOnce)
{
    scene.AddPlain();
    scene.PublishDefaults();
    scene.cluster.AddMany(3);
    ASSERT_TRUE(scene.cluster.WaitReady());
    long long base = 2;
    for (int round = 0; round < 10; round++) {
        std::vector<cg::HttpCall> calls;
        for (int i = 0; i < 2; i++) {
            cg::HttpCall call;
            call.method = "PATCH";
            call.url = scene.cluster.Admin((size_t)i) +
                       "/admin/v1/sections/team/derwent";
            call.headers["authorization"] = "Bearer ops-key";
            call.body = "{\"base\":" + std::to_string(base) +
                        ",\"body\":{\"customers\":{\"families\":{\"weight\":" +
                        std::to_string(1 + round * 2 + i) + "}}}}";
            calls.push_back(call);
        }
        std::vector<cg::HttpResult> results = cg::HttpAll(calls);
        int won = 0;
        for (const cg::HttpResult &result : results) {
            if (result.code == 200) {
                won++;
                base = result.json()["offset"].Int();
                continue;
            }
            EXPECT_EQ(409, result.code) << result.body;
            EXPECT_NE("", result.json()["error"]["message"].Str());
        }
        ASSERT_EQ(1, won) << results[0].body << results[1].body;
    }
    EXPECT_TRUE(cg::Eventually([&] { return AllKnow(base); }));
}

} // namespace
