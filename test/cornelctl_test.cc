// cornelctl as a process against the administration ports of stand-ins that
// share one log.
#include <sys/wait.h>

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <regex>
#include <sstream>

#include "test/process.h"

namespace cg {
namespace {

// Keys and their digests.
const char kFirstKey[] = "first-key";
const char kFirstDigest[] = "9e24b55356ef2a121ab5fd1a3ee8a3c9";
const char kOtherKey[] = "other-key";
const char kOtherDigest[] = "580843d03d2216ff1a275d0991bad66e";
const char kTeamKey[] = "derwent-key";
const char kTeamDigest[] = "16338bcc35d368ba720cdfaa25737ef5";

struct Outcome {
    int status;
    std::string text; // standard output and error together
};

Outcome
Ctl(const std::string &args, const std::string &key = "")
{
    std::string line = "CORNELGATE_ADMIN_KEY=" + key + " " +
                       Program("apps/cornelctl/cornelctl") + " " + args +
                       " 2>&1";
    FILE *pipe = popen(line.c_str(), "r");
    std::string text;
    char buffer[512];
    size_t got;
    while ((got = fread(buffer, 1, sizeof(buffer), pipe)) > 0) {
        text.append(buffer, got);
    }
    return {WEXITSTATUS(pclose(pipe)), text};
}

bool
Has(const Outcome &outcome, const std::string &words)
{
    return outcome.text.find(words) != std::string::npos;
}

std::string
Example(const std::string &name)
{
    std::ifstream in(std::string(CG_SOURCE_DIR) + "/examples/" + name);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

class Cornelctl : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        answers = std::regex_replace(
            Example("derwent.cfg"),
            std::regex("448c37fc40016bceaf7e78163d97c9e7"), kTeamDigest);
        Write();
    }

    void
    TearDown() override
    {
        std::remove(File().c_str());
    }

    std::string
    File()
    {
        auto *info = ::testing::UnitTest::GetInstance()->current_test_info();
        return std::string(CG_BIN_DIR) + "/test/" + info->name() + ".cfg";
    }

    void
    Write()
    {
        std::ofstream(File()) << answers;
    }

    void
    Change(const std::string &before, const std::string &after)
    {
        size_t at = answers.find(before);
        ASSERT_NE(std::string::npos, at) << before;
        answers.replace(at, before.size(), after);
        Write();
    }

    void
    StartDaemons(std::vector<std::string> args)
    {
        args.push_back(std::string("--bootstrap-digest=") + kFirstDigest);
        ProcessOptions options;
        options.program = Program("standins/standin_daemons");
        options.args = args;
        daemons = std::make_unique<Process>(options);
    }

    std::string
    Admin(int number)
    {
        return "127.0.0.1:" + std::to_string(daemons->Ready(
                                  "admin" + std::to_string(number)));
    }

    Outcome
    Publish(const std::string &key, const std::string &admins,
            const std::string &more = "--wait 10")
    {
        return Ctl("publish " + File() + " --admin " + admins + " " + more,
                   key);
    }

    // Publishes platform and team sections.
    void
    Prepare()
    {
        Outcome first = Publish(kFirstKey, Admin(1));
        ASSERT_EQ(4, first.status) << first.text;
        ASSERT_TRUE(Has(first, "CORNELGATE_ADMIN_KEY")) << first.text;
        Outcome second = Publish(kTeamKey, Admin(1));
        ASSERT_EQ(0, second.status) << second.text;
    }

    std::string answers;
    std::unique_ptr<Process> daemons;
};

TEST_F(Cornelctl, ChecksAndGeneratesWithoutADaemon)
{
    Outcome check = Ctl("check " + File());
    EXPECT_EQ(0, check.status);
    EXPECT_TRUE(Has(check, "rink-assistant: 4 to 9 replicas")) << check.text;
    Outcome generate = Ctl("generate " + File());
    EXPECT_EQ(0, generate.status);
    EXPECT_TRUE(Has(generate, "\"team/derwent\"")) << generate.text;
    Change("peak_per_s = 6.0", "peak_per_s = -6.0");
    Outcome wrong = Ctl("check " + File());
    EXPECT_EQ(2, wrong.status);
    EXPECT_TRUE(Has(wrong, "callers.families.peak_per_s is -6: answer with"))
        << wrong.text;
    EXPECT_EQ(2, Ctl("check /nowhere.cfg").status);
    EXPECT_EQ(64, Ctl("check").status);
    EXPECT_EQ(64, Ctl("publicize").status);
}

TEST_F(Cornelctl, KeyPrintsTheDigestOfItsKey)
{
    Outcome one = Ctl("key ops");
    Outcome two = Ctl("key ops");
    EXPECT_EQ(0, one.status);
    EXPECT_TRUE(std::regex_search(one.text, std::regex("key: +[0-9a-f]{48}")));
    EXPECT_TRUE(
        std::regex_search(one.text, std::regex("digest: +[0-9a-f]{32}")));
    EXPECT_NE(one.text, two.text);
    EXPECT_EQ(2, Ctl("key 'a b'").status);
}

TEST_F(Cornelctl, PublishesOnlyWhatChangedAndSaysWhenItIsInForce)
{
    StartDaemons({"--daemons=3"});
    Prepare();
    Outcome none = Ctl("diff " + File() + " --admin " + Admin(2), kTeamKey);
    EXPECT_EQ(0, none.status) << none.text;
    EXPECT_EQ("", none.text);
    Change("patience_s = 8.0", "patience_s = 9.0");
    Outcome diff = Ctl("diff " + File() + " --admin " + Admin(2), kTeamKey);
    EXPECT_EQ(7, diff.status);
    EXPECT_EQ("~ team/derwent.customers.families.max_in_flight: 60 -> 68\n",
              diff.text);
    Outcome publish = Publish(kTeamKey, Admin(2));
    EXPECT_EQ(0, publish.status) << publish.text;
    EXPECT_TRUE(Has(publish, "platform: unchanged")) << publish.text;
    EXPECT_TRUE(std::regex_search(
        publish.text, std::regex("sent [0-9]{2} bytes of [0-9]{4}")))
        << publish.text;
    EXPECT_TRUE(Has(publish, "in force on all 3 daemons")) << publish.text;
    Outcome again = Publish(kTeamKey, Admin(3));
    EXPECT_EQ(0, again.status);
    EXPECT_FALSE(Has(again, "accepted")) << again.text;
}

// Guards against an evacuation that is taken for done though its data centre
// does not exist, or that cannot be taken back.
TEST_F(Cornelctl, EvacuatesADataCentreAndTakesItBack)
{
    StartDaemons({"--daemons=2"});
    Prepare();
    auto evacuate = [&](const std::string &words) {
        return Ctl("evacuate " + words + " --admin " + Admin(1) + "," +
                       Admin(2) + " --wait 10",
                   kTeamKey);
    };
    Outcome wrong = evacuate("nowhere");
    EXPECT_EQ(2, wrong.status);
    EXPECT_TRUE(Has(wrong, "name one of tasmania-1, tasmania-2"))
        << wrong.text;
    Outcome done = evacuate("tasmania-2");
    EXPECT_EQ(0, done.status) << done.text;
    EXPECT_TRUE(Has(done, "in force on all 2 daemons")) << done.text;
    EXPECT_TRUE(Has(done, "requests under way in tasmania-2")) << done.text;
    EXPECT_TRUE(Has(evacuate("tasmania-2"), "unchanged"));
    Outcome back = evacuate("tasmania-2 --back");
    EXPECT_EQ(0, back.status) << back.text;
    EXPECT_TRUE(Has(evacuate("tasmania-2 --back"), "unchanged"));
}

// An operator believes a change to be in force everywhere while one daemon
// serves the old one.  That daemon cannot read the log; publish names it.
TEST_F(Cornelctl, PublishNamesTheDaemonThatLags)
{
    StartDaemons({"--daemons=3", "--stuck=1"});
    Publish(kFirstKey, Admin(1));
    Outcome publish = Publish(kTeamKey, Admin(1), "--wait 1");
    EXPECT_EQ(6, publish.status) << publish.text;
    EXPECT_TRUE(Has(publish, "lagging: n3 at 127.0.0.1, live, offset 0 of 2"))
        << publish.text;
    EXPECT_TRUE(Has(publish, "in force on 2 of 3 daemons")) << publish.text;
}

// A change is published twice, or called failed though it is in force.  The
// verdict cannot be read for a while; cornelctl sends the change again with
// its id until it knows.
TEST_F(Cornelctl, UnknownOutcomeIsSettledByRepeating)
{
    StartDaemons({"--daemons=2", "--blind-ms=1500"});
    Outcome first = Publish(kFirstKey, Admin(1) + "," + Admin(2));
    EXPECT_TRUE(Has(first, "platform: accepted at offset 1 ")) << first.text;
    Outcome status = Ctl("status --json --admin " + Admin(1), kTeamKey);
    EXPECT_TRUE(Has(status, "\"in_force\": 1")) << status.text;
    EXPECT_FALSE(Has(status, "\"offset\": 1,")) << status.text;
}

// A team replaces its own key, and is told that the publish failed.  The
// change is in force; the old key no longer opens the status.
TEST_F(Cornelctl, ReplacingTheOwnKeyIsNoFailure)
{
    StartDaemons({"--daemons=2"});
    Prepare();
    Change(kTeamDigest, kOtherDigest);
    Outcome publish = Publish(kTeamKey, Admin(1));
    EXPECT_EQ(6, publish.status) << publish.text;
    EXPECT_TRUE(Has(publish, "accepted at offset 3")) << publish.text;
    Outcome again = Publish(kOtherKey, Admin(1));
    EXPECT_EQ(0, again.status) << again.text;
}

TEST_F(Cornelctl, GoesOnToTheNextDaemon)
{
    StartDaemons({"--daemons=2"});
    cg::HeldPort nobodys;
    std::string dead = "127.0.0.1:" + std::to_string(nobodys.number());
    Publish(kFirstKey, Admin(1));
    Outcome publish = Publish(kTeamKey, dead + "," + Admin(2));
    EXPECT_EQ(0, publish.status) << publish.text;
    EXPECT_EQ(5, Publish(kTeamKey, dead, "--wait 1").status);
}

TEST_F(Cornelctl, RefusalsKeepTheirKindAndRemedy)
{
    StartDaemons({"--daemons=2"});
    Prepare();
    Change("patience_s = 8.0", "patience_s = 9.0");
    Outcome wrong = Publish("no-key", Admin(1));
    EXPECT_EQ(4, wrong.status);
    EXPECT_TRUE(Has(wrong, "no team has this key")) << wrong.text;
    Outcome none = Publish("", Admin(1));
    EXPECT_EQ(4, none.status);
    EXPECT_TRUE(Has(none, "set CORNELGATE_ADMIN_KEY")) << none.text;
    Outcome host = Publish(kTeamKey, "localhost:7002");
    EXPECT_EQ(2, host.status);
    EXPECT_TRUE(Has(host, "IP:PORT")) << host.text;
}

TEST_F(Cornelctl, StatusAndWatchShowTheDaemons)
{
    StartDaemons({"--daemons=2"});
    Prepare();
    Outcome status = Ctl("status --admin " + Admin(1), kTeamKey);
    EXPECT_EQ(0, status.status);
    EXPECT_TRUE(Has(status, "daemons: node=n2 address=127.0.0.1 state=live"))
        << status.text;
    Outcome watch = Ctl("watch --count 1 --admin " + Admin(1), kTeamKey);
    EXPECT_EQ(0, watch.status);
    EXPECT_TRUE(Has(watch, "+ daemons.n1.state: \"live\"")) << watch.text;
}

/*
 * An operator has the logs of an hour and asks which customer lost what; a
 * wrong name, a folder or no name at all is said so, with the way out.
 */
TEST(CornelctlExplain, LogsBecomeATable)
{
    std::string log =
        std::string(CG_SOURCE_DIR) + "/packages/loss/test/data/flood.log";
    Outcome found = Ctl("explain " + log + " " + log);
    EXPECT_EQ(0, found.status);
    EXPECT_TRUE(Has(found, "124 requests: 108 served in time, 2 late, 14 "
                           "lost"));
    EXPECT_TRUE(Has(found, "refused 429: over the quota"));
    Outcome json = Ctl("explain --json " + log);
    EXPECT_EQ(0, json.status);
    EXPECT_TRUE(Has(json, "\"lost\": 7"));
    EXPECT_EQ(64, Ctl("explain").status);
    Outcome missing = Ctl("explain /nowhere.log");
    EXPECT_EQ(2, missing.status);
    EXPECT_TRUE(Has(missing, "/nowhere.log cannot be read"));
    Outcome place = Ctl("explain --svg /nowhere/a.svg " + log);
    EXPECT_EQ(2, place.status);
    EXPECT_TRUE(Has(place, "--svg"));
}

} // namespace
} // namespace cg
