#include <gtest/gtest.h>

#include <cstdio>

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

} // namespace
