#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include "edge/fleet.h"
#include "edge/health.h"

#include "../../state/test/fake_clock.h"

namespace {

struct fl_entry
Entry(const char *id, int64_t born = 1)
{
    struct fl_entry entry = {};
    snprintf(entry.id, sizeof(entry.id), "%s", id);
    snprintf(entry.service, sizeof(entry.service), "llm");
    snprintf(entry.address, sizeof(entry.address), "127.0.0.1:9");
    entry.slots = 8;
    entry.born = born;
    return entry;
}

class Fleet : public testing::Test {
  protected:
    void
    SetUp() override
    {
        fleet_ = Fl_Create(&clock_.clock);
    }

    void
    TearDown() override
    {
        Fl_Destroy(fleet_);
    }

    bool
    Usable(const char *id)
    {
        const struct fl_endpoint *endpoint = Fl_Find(fleet_, id);
        return endpoint != nullptr && Fl_Usable(endpoint);
    }

    size_t
    CountUsable(const std::string &service)
    {
        size_t count = 0;
        const struct fl_endpoint *endpoint;
        TAILQ_FOREACH (endpoint, Fl_All(fleet_), link) {
            count += Fl_Usable(endpoint) && service == endpoint->entry.service;
        }
        return count;
    }

    FakeClock clock_;
    struct fl_fleet *fleet_;
};

// Every request is refused after an outage of the store: the entries lapsed
// meanwhile, and their removals are read before the endpoints are back.
TEST_F(Fleet, ARemovalAfterAnOutageIsDoubted)
{
    struct fl_entry entry = Entry("a");
    Fl_Apply(fleet_, &entry);
    Fl_Doubt(fleet_, 2 * Ck_USEC_PER_SEC);
    Fl_Remove(fleet_, "a");
    EXPECT_TRUE(Usable("a"));
    clock_.Advance(1 * Ck_USEC_PER_SEC);
    Fl_Apply(fleet_, &entry);
    clock_.Advance(2 * Ck_USEC_PER_SEC);
    Fl_Tick(fleet_);
    EXPECT_TRUE(Usable("a"));
}

// A request reaches an endpoint 2.05 s after it had left: a host that had
// regained the store 1.4 s before doubted the removal for 1.5 s of its own.
// The doubt ends at its set time however late a removal is told in it.
TEST_F(Fleet, TheDoubtIsNotProlonged)
{
    struct fl_entry entry = Entry("a");
    Fl_Apply(fleet_, &entry);
    Fl_Doubt(fleet_, 2200 * Ck_USEC_PER_MSEC);
    clock_.Advance(1900 * Ck_USEC_PER_MSEC);
    Fl_Remove(fleet_, "a");
    clock_.Advance(400 * Ck_USEC_PER_MSEC);
    Fl_Tick(fleet_);
    EXPECT_FALSE(Usable("a"));
}

// A late heartbeat brings an endpoint back that had said that it leaves.
TEST_F(Fleet, LeavingIsFinalForOneStart)
{
    struct fl_entry entry = Entry("a");
    Fl_Apply(fleet_, &entry);
    entry.draining = true;
    Fl_Apply(fleet_, &entry);
    entry.draining = false;
    Fl_Apply(fleet_, &entry);
    EXPECT_FALSE(Usable("a"));
    struct fl_entry again = Entry("a", 2);
    Fl_Apply(fleet_, &again);
    EXPECT_TRUE(Usable("a"));
}

// A restarted endpoint keeps the suspicion, and the counts, of the one before.
TEST_F(Fleet, AnotherStartIsAnotherEndpoint)
{
    struct fl_entry entry = Entry("a");
    Fl_Apply(fleet_, &entry);
    Fl_Find(fleet_, "a")->running = 5;
    struct fl_entry again = Entry("a", 2);
    Fl_Apply(fleet_, &again);
    EXPECT_EQ(Fl_Find(fleet_, "a")->running, 0);
}

// One request finds a crashed endpoint; the next hundred must not.
TEST_F(Fleet, ABrokenEndpointIsShunnedLongerEachTime)
{
    struct fl_entry entry = Entry("a");
    Fl_Apply(fleet_, &entry);
    struct fl_endpoint *endpoint = Fl_Find(fleet_, "a");
    He_Note(endpoint, HE_BROKE, 0);
    EXPECT_TRUE(He_Shunned(endpoint, 399 * Ck_USEC_PER_MSEC));
    EXPECT_FALSE(He_Shunned(endpoint, 401 * Ck_USEC_PER_MSEC));
    He_Note(endpoint, HE_BROKE, 0);
    EXPECT_TRUE(He_Shunned(endpoint, 799 * Ck_USEC_PER_MSEC));
    He_Note(endpoint, HE_SERVED, 0);
    endpoint->shunned_until = 0;
    He_Note(endpoint, HE_BROKE, 0);
    EXPECT_FALSE(He_Shunned(endpoint, 401 * Ck_USEC_PER_MSEC));
}

// A full endpoint that refuses again and again is never forgiven.
TEST(Health, ARefusalKeepsNoFailureInMind)
{
    const int64_t half = 10 * Ck_USEC_PER_SEC;
    struct fl_endpoint endpoint = {};
    He_Note(&endpoint, HE_FAILED, Ck_USEC_PER_SEC);
    double failing = He_Failing(&endpoint, Ck_USEC_PER_SEC);
    He_Note(&endpoint, HE_REFUSED, half);
    EXPECT_DOUBLE_EQ(He_Failing(&endpoint, Ck_USEC_PER_SEC + half),
                     failing / 2);
}

// Guards against requests to an evacuated data centre, also at an endpoint
// that comes there later, and against one that stays unused when it is back.
TEST_F(Fleet, AnEvacuatedDataCentreIsNotUsed)
{
    struct fl_entry a = Entry("a");
    struct fl_entry b = Entry("b");
    snprintf(a.zone, sizeof(a.zone), "east");
    snprintf(b.zone, sizeof(b.zone), "west");
    Fl_Apply(fleet_, &a);
    Fl_Apply(fleet_, &b);
    EXPECT_TRUE(Fl_Evacuate(fleet_, "east", true));
    EXPECT_FALSE(Fl_Evacuate(fleet_, "east", true));
    EXPECT_FALSE(Usable("a"));
    EXPECT_TRUE(Usable("b"));
    struct fl_entry late = Entry("late");
    snprintf(late.zone, sizeof(late.zone), "east");
    Fl_Apply(fleet_, &late);
    EXPECT_FALSE(Usable("late"));
    EXPECT_EQ(CountUsable("llm"), 1u);
    Fl_Find(fleet_, "a")->running = 3;
    EXPECT_EQ(Fl_CountEvacuated(fleet_), 3);
    EXPECT_TRUE(Fl_Evacuate(fleet_, "east", false));
    EXPECT_FALSE(Fl_Evacuate(fleet_, "east", false));
    EXPECT_TRUE(Usable("a") && Usable("late"));
    EXPECT_NE(Fl_Find(fleet_, "a")->returned_at, 0);
    EXPECT_EQ(Fl_CountEvacuated(fleet_), 0);
}

// Guards against a word for data centres that do not exist taking up room
// without end, or pushing out one that does.
TEST_F(Fleet, EvacuationsAreBounded)
{
    EXPECT_TRUE(Fl_Evacuate(fleet_, "east", true));
    for (int i = 0; i < 1000; i++) {
        Fl_Evacuate(fleet_, ("nowhere-" + std::to_string(i)).c_str(), true);
    }
    EXPECT_FALSE(Fl_Evacuate(fleet_, "", true));
    EXPECT_TRUE(Fl_IsEvacuated(fleet_, "east"));
    EXPECT_FALSE(Fl_IsEvacuated(fleet_, "nowhere-999"));
    EXPECT_TRUE(Fl_Evacuate(fleet_, "nowhere-1", false));
    EXPECT_TRUE(Fl_Evacuate(fleet_, "east", false));
    EXPECT_FALSE(Fl_IsEvacuated(fleet_, "east"));
    EXPECT_TRUE(Fl_IsEvacuated(fleet_, "nowhere-2"));
}

// Guards against requests at their usual rate to an endpoint that says that it
// is cold again without having started again.
TEST_F(Fleet, AWarmUpThatBeginsAnewIsNews)
{
    struct fl_entry before = Entry("a");
    struct fl_entry now = Entry("a");
    now.cold_usec = 3 * Ck_USEC_PER_SEC;
    EXPECT_FALSE(Fl_SameEntry(&before, &now));
    EXPECT_TRUE(Fl_SameEntry(&now, &before));
    clock_.Advance(Ck_USEC_PER_SEC);
    Fl_Apply(fleet_, &before);
    const struct wu_warmup *warmup = &Fl_Find(fleet_, "a")->warmup;
    EXPECT_FALSE(Wu_IsCold(warmup, Ck_Now(&clock_.clock)));
    Fl_Apply(fleet_, &now);
    EXPECT_TRUE(Wu_IsCold(warmup, Ck_Now(&clock_.clock)));
    clock_.Advance(4 * Ck_USEC_PER_SEC);
    EXPECT_FALSE(Wu_IsCold(warmup, Ck_Now(&clock_.clock)));
}

} // namespace
