#include <gtest/gtest.h>

#include <iostream>
#include <string>
#include <vector>

#include "base/clock.h"
#include "policy/poison.h"
#include "policy/test/model/poison_model.h"

namespace {

using cg::PlayPoison;
using cg::PoisonPlayed;
using cg::PoisonScene;
using cg::PoisonWay;

const int64_t kMs = Ck_USEC_PER_MSEC;
const int64_t kSecond = Ck_USEC_PER_SEC;
const int64_t kNow = 1000 * kSecond;
const uint32_t kService = 1;
const uint32_t kCustomer = 2;
const uint32_t kOther = 3;
const uint32_t kFirst = 10;
const uint32_t kDead = 11;
const uint32_t kDeep = 12;
const int kReachMost = 3; // after the fifth end, and hosts know of it

struct Event {
    pz_stop stop;
    int crashes;
    bool heard;
    bool lifted;
};

class Poison : public testing::Test {
  protected:
    Poison()
    {
        Use(Pz_Rule());
    }

    ~Poison() override
    {
        Pz_Destroy(table_);
    }

    void
    Use(const pz_rule &rule)
    {
        static const pz_ops ops = {OnStopped, OnLifted};
        Pz_Destroy(table_);
        table_ = Pz_Create(&rule, &ops, &events_, kNow - 10 * kSecond);
    }

    // Each has a last part of its own.
    pz_request
    Ask(const std::vector<uint32_t> &parts, uint32_t customer = kCustomer)
    {
        pz_request request = {};
        request.id = ++last_id_;
        request.service = kService;
        request.customer = customer;
        for (uint32_t part : parts) {
            request.parts[request.count++] = part;
        }
        return request;
    }

    // An endpoint ends under a request that was sent a little before.
    void
    End(uint32_t endpoint, const pz_request &request, int64_t at,
        bool begun = true)
    {
        pz_crash crash = {};
        crash.endpoint = endpoint;
        crash.begun = begun;
        crash.sent_at = at - 40 * kMs;
        crash.ended_at = at;
        Pz_Ended(table_, &request, &crash);
        if (known_) {
            Pz_Dead(table_, endpoint);
        }
    }

    void
    Begin(const pz_request &request, int64_t at, int times = 1)
    {
        for (int i = 0; i < times; i++) {
            Pz_Began(table_, &request, at);
        }
    }

    bool
    Refused(const pz_request &request)
    {
        return Pz_Refuses(table_, &request, kNow + 2 * kSecond) != nullptr;
    }

    // Three endpoints end one after the other; others begin meanwhile.
    void
    EndThree(pz_request request, int64_t at = kNow)
    {
        for (uint32_t i = 0; i < 3; i++) {
            request.id = ++last_id_;
            End(100 + i, request, at + i * 200 * kMs);
            Begin(Ask({99}, kOther), at + i * 200 * kMs + 1, 2);
        }
        Pz_Judge(table_, at + kSecond);
    }

    static void
    OnStopped(void *arg, const pz_stop *stop, int crashes, bool heard)
    {
        static_cast<std::vector<Event> *>(arg)->push_back(
            {*stop, crashes, heard, false});
    }

    static void
    OnLifted(void *arg, const pz_stop *stop, const char *why)
    {
        static_cast<std::vector<Event> *>(arg)->push_back(
            {*stop, 0, false, true});
    }

    std::vector<Event> events_;
    pz_table *table_ = nullptr;
    uint32_t last_id_ = 0;
    bool known_ = true; // that an endpoint has ended
};

// The part is sent on and on to endpoints that end under it.
TEST_F(Poison, IsStoppedAfterThreeEndsInARow)
{
    EndThree(Ask({kDead}));
    EXPECT_TRUE(Refused(Ask({kFirst, kDead})));
    ASSERT_EQ(events_.size(), 1u);
    EXPECT_EQ(events_[0].crashes, 3);
}

// What all requests share is stopped, and all of a customer's with it.
TEST_F(Poison, APartThatBeganSinceIsNot)
{
    Begin(Ask({kFirst}), kNow - kSecond, 5);
    for (uint32_t i = 0; i < 5; i++) {
        End(100 + i, Ask({kFirst, kDead}), kNow + i * 200 * kMs);
        Begin(Ask({kFirst, kDeep}), kNow + i * 200 * kMs + 100 * kMs, 2);
    }
    Pz_Judge(table_, kNow + kSecond);
    EXPECT_FALSE(Refused(Ask({kFirst, kDeep})));
    EXPECT_TRUE(Refused(Ask({kFirst, kDead})));
}

// All endpoints end at once for another reason, and parts are stopped for it.
TEST_F(Poison, EndsAtOnceCountOnce)
{
    for (uint32_t i = 0; i < 9; i++) {
        End(100 + i, Ask({kDead}), kNow + i * kMs);
    }
    Begin(Ask({99}, kOther), kNow + 100 * kMs, 9);
    Pz_Judge(table_, kNow + kSecond);
    EXPECT_TRUE(events_.empty());
}

// A request goes on from one to another of those that all end at once.
TEST_F(Poison, RepeatsAmongThoseThatEndAtOnceDoNotCount)
{
    for (uint32_t i = 0; i < 9; i++) {
        pz_request request = Ask({kDead});
        pz_crash crash = {};
        crash.endpoint = 100 + i;
        crash.begun = true;
        crash.sent_at = kNow + i * kMs;
        crash.ended_at = kNow + (i + 1) * kMs;
        Pz_Ended(table_, &request, &crash);
    }
    Begin(Ask({99}, kOther), kNow + 100 * kMs, 9);
    Pz_Judge(table_, kNow + kSecond);
    EXPECT_TRUE(events_.empty());
}

// Endpoints that end under whatever is begun are blamed on parts.
TEST_F(Poison, NoneIsStoppedWhereNothingElseBegins)
{
    for (uint32_t i = 0; i < 9; i++) {
        End(100 + i, Ask({kDead}), kNow + i * 200 * kMs);
    }
    Pz_Judge(table_, kNow + 3 * kSecond);
    EXPECT_TRUE(events_.empty());
    Begin(Ask({99}, kOther), kNow + 3 * kSecond, 2);
    Pz_Judge(table_, kNow + 3 * kSecond);
    EXPECT_EQ(events_.size(), 1u);
}

// A sound request that waited where others ended the endpoint is blamed.
TEST_F(Poison, WhatHadNotBegunCountsLess)
{
    for (uint32_t i = 0; i < 5; i++) {
        EXPECT_TRUE(events_.empty());
        End(100 + i, Ask({kDead}), kNow + i * 200 * kMs, false);
        Begin(Ask({99}, kOther), kNow + i * 200 * kMs, 2);
        Pz_Judge(table_, kNow + i * 200 * kMs);
    }
    EXPECT_EQ(events_.size(), 1u);
}

// Hosts see a part of the ends each, and none of them sees enough.
TEST_F(Poison, EndsThatOthersSawCount)
{
    End(100, Ask({kDead}), kNow);
    for (uint32_t i = 1; i < 3; i++) {
        pz_crash crash = {};
        crash.key = {kService, kCustomer, kDead};
        crash.endpoint = 100 + i;
        crash.request = 1000 + i;
        crash.begun = true;
        crash.ended_at = kNow + i * 200 * kMs;
        crash.sent_at = crash.ended_at - 40 * kMs;
        Pz_HearCrash(table_, &crash);
    }
    Begin(Ask({99}, kOther), kNow + 500 * kMs, 2);
    Pz_Judge(table_, kNow + kSecond);
    EXPECT_TRUE(Refused(Ask({kDead})));
}

// A stop waits for what may be no end, and others are told of it.
TEST_F(Poison, AnEndCountsOnceItIsKnown)
{
    known_ = false;
    for (uint32_t i = 0; i < 3; i++) {
        End(100 + i, Ask({kDead}), kNow + i * 100 * kMs);
    }
    Begin(Ask({99}, kOther), kNow + 210 * kMs, 2);
    pz_crash told[8];
    Pz_Judge(table_, kNow + 250 * kMs);
    EXPECT_TRUE(events_.empty());
    EXPECT_EQ(Pz_TellCrashes(table_, told, 8, kNow + 250 * kMs), 0u);
    for (uint32_t i = 0; i < 3; i++) {
        Pz_Dead(table_, 100 + i);
    }
    EXPECT_EQ(Pz_TellCrashes(table_, told, 8, kNow + 250 * kMs), 3u);
    Pz_Judge(table_, kNow + 250 * kMs);
    EXPECT_EQ(events_.size(), 1u);
}

// A host that has seen little stops what others see begin.
TEST_F(Poison, WhatOthersSawBeginEndsAStop)
{
    EndThree(Ask({kDead}));
    pz_clear clear = {{kService, kCustomer, kDead}, kNow + 2 * kSecond};
    Pz_HearClear(table_, &clear);
    EXPECT_FALSE(Refused(Ask({kDead})));
    pz_stop stop = {clear.key, kNow + kSecond, kNow + kSecond};
    Pz_HearStop(table_, &stop, kNow + 3 * kSecond);
    EXPECT_FALSE(Refused(Ask({kDead})));
    // Who still says that it is stopped is told better.
    pz_clear told[4];
    EXPECT_EQ(Pz_TellClears(table_, told, 4, kNow + 3 * kSecond), 1u);
}

// A customer has another's part stopped by naming it in what ends endpoints.
TEST_F(Poison, IsStoppedForItsCustomerAlone)
{
    EndThree(Ask({kDead}));
    EXPECT_FALSE(Refused(Ask({kDead}, kOther)));
}

// Each customer with the part ends three endpoints more.
TEST_F(Poison, IsStoppedForAllOnceItEndsOneOfAnothers)
{
    EndThree(Ask({kDead}));
    End(200, Ask({kDead}, kOther), kNow + kSecond);
    Pz_Judge(table_, kNow + kSecond);
    EXPECT_TRUE(Refused(Ask({kDead}, kOther)));
    EXPECT_TRUE(Refused(Ask({kDead}, kOther + 1)));
}

// One request, and its repeats, meet what others end, and of their parts the
// wrong one is stopped.
TEST_F(Poison, ARequestAloneStopsNoPart)
{
    pz_request request = Ask({kDead, kDeep});
    for (uint32_t i = 0; i < 9; i++) {
        End(100 + i, request, kNow + i * 200 * kMs);
        Begin(Ask({99}, kOther), kNow + i * 200 * kMs, 2);
        Pz_Judge(table_, kNow + i * 200 * kMs + 1);
    }
    EXPECT_TRUE(events_.empty());
    End(200, Ask({kDead}), kNow + 2 * kSecond);
    Pz_Judge(table_, kNow + 2 * kSecond);
    EXPECT_TRUE(Refused(Ask({kDead, kFirst})));
    EXPECT_FALSE(Refused(Ask({kFirst, kDeep})));
}

// A connection that broke by itself counts as the end of its endpoint.
TEST_F(Poison, AnEndpointThatLivesAccusesNothing)
{
    known_ = false;
    for (uint32_t i = 0; i < 3; i++) {
        End(100 + i, Ask({kDead}), kNow + i * 200 * kMs);
    }
    Pz_Lives(table_, 101, kNow + 300 * kMs);
    Begin(Ask({99}, kOther), kNow + kSecond, 2);
    Pz_Judge(table_, kNow + kSecond);
    EXPECT_TRUE(events_.empty());
}

// What a host hears in its first moments it can't compare with anything.
TEST_F(Poison, AHostThatJustStartedDecidesNothing)
{
    pz_rule rule = Pz_Rule();
    rule.startup_grace_usec = 20 * kSecond;
    Use(rule);
    EndThree(Ask({kDead}));
    EXPECT_TRUE(events_.empty());
}

// A stop is tried by the clock, and each trial costs an endpoint.
TEST_F(Poison, StaysStoppedWhileItIsAskedFor)
{
    EndThree(Ask({kDead}));
    int64_t now = kNow + kSecond;
    pz_request request = Ask({kDead});
    for (int i = 0; i < 5; i++) {
        now += Pz_STOP_LASTS_USEC - kSecond;
        Pz_Judge(table_, now);
        EXPECT_NE(Pz_Refuses(table_, &request, now), nullptr);
    }
    Pz_Judge(table_, now + Pz_STOP_LASTS_USEC);
    EXPECT_EQ(Pz_Refuses(table_, &request, now + Pz_STOP_LASTS_USEC), nullptr);
}

TEST_F(Poison, AnotherVersionEndsTheStopsOfItsService)
{
    EndThree(Ask({kDead}));
    Pz_LiftService(table_, kService + 1, "another version", kNow + kSecond);
    EXPECT_TRUE(Refused(Ask({kDead})));
    Pz_LiftService(table_, kService, "another version", kNow + kSecond);
    EXPECT_FALSE(Refused(Ask({kDead})));
}

// One request takes an endpoint with each of its attempts.
TEST_F(Poison, WhatEndedTwoIsSentToNoThird)
{
    pz_request request = Ask({kFirst, kDead});
    Begin(Ask({kFirst}), kNow - kSecond);
    End(100, request, kNow);
    EXPECT_FALSE(Pz_Doubts(table_, &request, kNow));
    End(101, request, kNow + 200 * kMs);
    EXPECT_TRUE(Pz_Doubts(table_, &request, kNow + 200 * kMs));
    // It is for the part that never began.
    pz_request sound = Ask({kFirst, kDeep});
    EXPECT_FALSE(Pz_Doubts(table_, &sound, kNow + 200 * kMs));
}

// A caller who sends ever new parts fills what others need.
TEST_F(Poison, EverNewPartsDoNotHideWhatBeganOften)
{
    Begin(Ask({kFirst}), kNow, 10);
    for (uint32_t i = 0; i < 100000; i++) {
        Begin(Ask({1000 + i}, kOther), kNow);
    }
    EndThree(Ask({kFirst}), kNow + kSecond);
    EXPECT_FALSE(Refused(Ask({kFirst})));
}

// Scenes of many hosts, words late and lost.
PoisonWay
Shared()
{
    PoisonWay way;
    way.rule = Pz_Rule();
    return way;
}

// Each host by itself.
PoisonWay
Alone()
{
    PoisonWay way = Shared();
    way.words = false;
    return way;
}

// By the number of ends alone.
PoisonWay
Counted()
{
    PoisonWay way = Shared();
    way.rule = {3, 3, 1, 0, 0, false, false, 0};
    return way;
}

PoisonPlayed
Worst(const char *name, const PoisonScene &scene, const PoisonWay &way,
      unsigned seeds)
{
    PoisonPlayed worst;
    for (unsigned seed = 1; seed <= seeds; seed++) {
        PoisonPlayed played = PlayPoison(scene, way, seed);
        worst.ended = std::max(worst.ended, played.ended);
        worst.late = std::max(worst.late, played.late);
        worst.refused += played.refused;
        worst.refused_late += played.refused_late;
        worst.sound += played.sound;
        worst.served += played.served;
    }
    std::cout << name << ": " << worst.ended << " ended, " << worst.late
              << " late, " << worst.refused << " sound refused, then "
              << worst.served << " of " << worst.sound << " served\n";
    return worst;
}

void
ExpectHolds(const char *name, const PoisonScene &scene, unsigned seeds)
{
    PoisonPlayed shared = Worst(name, scene, Shared(), seeds);
    EXPECT_LE(shared.late, kReachMost) << name;
    EXPECT_GE(shared.served * 2, shared.sound) << name;
    EXPECT_LE(shared.refused_late * 20, shared.sound) << name;
}

const unsigned kSeeds = 3;

TEST(PoisonScenes, APartIsFoundBySharingWhatHostsSee)
{
    PoisonScene scene;
    ExpectHolds("part alone", scene, kSeeds);
    PoisonPlayed alone = Worst("each alone", scene, Alone(), kSeeds);
    EXPECT_GT(alone.late, kReachMost);
}

TEST(PoisonScenes, AThirdOfTheTrafficOrVeryRare)
{
    PoisonScene scene;
    scene.poisoned = 0.33;
    ExpectHolds("a third", scene, kSeeds);
    scene.poisoned = 0.002;
    scene.seconds = 40;
    ExpectHolds("rare", scene, kSeeds);
}

TEST(PoisonScenes, TwoPartsOrOneThatStandsFirst)
{
    PoisonScene scene;
    scene.parts = 2;
    ExpectHolds("two parts", scene, kSeeds);
    scene.parts = 1;
    scene.first = true;
    ExpectHolds("first", scene, kSeeds);
}

TEST(PoisonScenes, AllCustomersSendIt)
{
    PoisonScene scene;
    scene.any_customer = true;
    ExpectHolds("all customers", scene, kSeeds);
}

TEST(PoisonScenes, OtherEndpointsEndBesides)
{
    PoisonScene scene;
    scene.crashes = {6.3, 9};
    scene.crash_part = 0.33;
    ExpectHolds("others end", scene, kSeeds);
}

// Parts are stopped for what ended endpoints without them.
TEST(PoisonScenes, NoneIsStoppedForOtherEnds)
{
    PoisonScene scene;
    scene.poisoned = 0;
    scene.crashes = {6, 9.5, 13, 16.5, 20, 23.5};
    scene.seconds = 28;
    scene.crash_part = 1;
    EXPECT_EQ(Worst("all end, six times", scene, Shared(), kSeeds).refused, 0);
    EXPECT_GT(Worst("counted", scene, Counted(), kSeeds).refused, 0);
    scene.crashes.clear();
    for (int i = 0; i < 60; i++) {
        scene.crashes.push_back(6 + i * 0.4);
    }
    scene.crash_part = 0.15;
    scene.begin_usec = 300000;
    scene.seconds = 32;
    EXPECT_EQ(
        Worst("one in seven, on and on", scene, Shared(), kSeeds).refused, 0);
}

// Endpoints that live reset connections, as when they have too many.
TEST(PoisonScenes, NoneIsStoppedForResetsOfLivingEndpoints)
{
    PoisonScene scene;
    scene.poisoned = 0;
    scene.resets = 0.5;
    scene.restart_all = 7;
    scene.seconds = 16;
    EXPECT_EQ(Worst("resets", scene, Shared(), kSeeds).refused, 0);
    scene.hosts = 60;
    scene.endpoints = 60;
    scene.per_sec = 400;
    EXPECT_EQ(Worst("resets, 60 hosts", scene, Shared(), kSeeds).refused, 0);
}

TEST(PoisonScenes, HostsStartAgain)
{
    PoisonScene scene;
    scene.restart_every = 0.5;
    ExpectHolds("one after the other", scene, kSeeds);
    scene.restart_every = 0;
    scene.restart_all = 6.3;
    ExpectHolds("all at once", scene, kSeeds);
}

TEST(PoisonScenes, WordsAreLateAndLost)
{
    PoisonScene scene;
    scene.lost = 0.3;
    scene.late = 500 * kMs;
    ExpectHolds("seven hosts", scene, kSeeds);
}

TEST(PoisonScenes, HundredsOfHosts)
{
    PoisonScene scene;
    scene.hosts = 300;
    scene.endpoints = 200;
    scene.per_sec = 500;
    scene.poisoned = 0.01;
    scene.customers = 20;
    scene.lost = 0.2;
    scene.late = 300 * kMs;
    scene.seconds = 15;
    ExpectHolds("300 hosts", scene, 1);
}

} // namespace
