#include <gtest/gtest.h>

#include <vector>

#include "edge/place.h"
#include "edge/prefix.h"

namespace {

struct pl_candidate
Idle()
{
    struct pl_candidate candidate = {};
    candidate.slots = 10;
    candidate.same_zone = true;
    candidate.uncached_tokens = 1000;
    return candidate;
}

const struct pl_limits engine = {true, 1.25, false, false, 1};

size_t
Choose(const std::vector<struct pl_candidate> &candidates)
{
    struct pl_choice choice = {candidates.size(), 0};
    EXPECT_EQ(
        Pl_Choose(candidates.data(), candidates.size(), &engine, &choice),
        PL_CHOSEN);
    return choice.index;
}

// Guards against a short prompt that queues behind a long one although another
// endpoint has no prompt tokens queued.
TEST(Place, ChoosesTheEndpointWithFewerQueuedTokens)
{
    std::vector<struct pl_candidate> candidates = {Idle(), Idle()};
    candidates[0].prefill_tokens = 50000;
    EXPECT_EQ(Choose(candidates), 1u);
}

// Guards against requests with a shared prompt that go to a different endpoint
// each time: every endpoint would read the prompt again.
TEST(Place, ChoosesTheEndpointThatHasThePromptCached)
{
    std::vector<struct pl_candidate> candidates = {Idle(), Idle(), Idle()};
    candidates[2].uncached_tokens = 10;
    EXPECT_EQ(Choose(candidates), 2u);
}

// Guards against hosts that send the first requests of one group of prompts to
// different endpoints because they do not know each other's choices.
TEST(Place, HostsAgreeOnAGroupsHome)
{
    std::vector<struct pl_candidate> candidates = {Idle(), Idle(), Idle()};
    for (auto &candidate : candidates) {
        candidate.uncached_shared = 600;
    }
    candidates[0].home_hash = 5;
    candidates[1].home_hash = 9;
    candidates[2].home_hash = 7;
    candidates[1].same_zone = false;
    EXPECT_EQ(Choose(candidates), 1u);
}

// Guards against hosts that choose different endpoints while a group's home is
// busy: all of those endpoints would read the shared part.
TEST(Place, OverflowOfAGroupGoesToItsSecondHome)
{
    std::vector<struct pl_candidate> candidates = {Idle(), Idle(), Idle(),
                                                   Idle()};
    for (size_t i = 0; i < candidates.size(); i++) {
        candidates[i].uncached_shared = 800;
        candidates[i].home_hash = i;
    }
    candidates[3].prefill_tokens = 30000;
    candidates[2].same_zone = false;
    EXPECT_EQ(Choose(candidates), 2u);
}

// Guards against short prompts that are late by the time of a long one: load
// reports are half a second old, and a long prompt was sent to the same
// endpoint since.
TEST(Place, LongAndShortPromptsHaveSeparateLanes)
{
    std::vector<struct pl_candidate> candidates = {Idle(), Idle()};
    candidates[0].long_lane = true;
    candidates[1].same_zone = false;
    struct pl_limits limits = {true, 1.25, true, false, 1};
    struct pl_choice choice;
    ASSERT_EQ(Pl_Choose(candidates.data(), 2, &limits, &choice), PL_CHOSEN);
    EXPECT_EQ(choice.index, 1u);
    candidates[0].same_zone = false;
    candidates[1].same_zone = true;
    limits.is_long = true;
    ASSERT_EQ(Pl_Choose(candidates.data(), 2, &limits, &choice), PL_CHOSEN);
    EXPECT_EQ(choice.index, 0u);
    // A busy lane overflows to idle endpoints of the other lane.
    candidates[0].prefill_tokens = 50000;
    ASSERT_EQ(Pl_Choose(candidates.data(), 2, &limits, &choice), PL_CHOSEN);
    EXPECT_EQ(choice.index, 1u);
}

// Guards against lanes in a service with few endpoints, where each lane would
// have only one or two.
TEST(Place, FewEndpointsHaveNoLanes)
{
    EXPECT_EQ(Pl_LongLaneFraction(13, 0.7), 0);
    EXPECT_EQ(Pl_LongLaneFraction(100, 0.7), 0);
    EXPECT_EQ(Pl_LongLaneFraction(200, 0), 0);
    EXPECT_GT(Pl_LongLaneFraction(200, 0.7), 0.4);
    EXPECT_LT(Pl_LongLaneFraction(200, 1.0), 0.9);
}

// Guards against requests of a plain service that queue at one endpoint while
// others are idle: all hosts know that it was idle half a second ago.
TEST(Place, HostsDoNotAllChooseTheSameIdleEndpoint)
{
    std::vector<struct pl_candidate> candidates(6, Idle());
    const struct pl_limits plain = {false, 3, false, false, 1};
    std::vector<int> sent(6);
    for (uint64_t request = 1; request <= 600; request++) {
        for (size_t i = 0; i < candidates.size(); i++) {
            candidates[i].running = i == 0 ? 0 : 1;
            candidates[i].home_hash = (request * 7919 + i * 104729) % 1009;
        }
        struct pl_choice choice;
        ASSERT_EQ(Pl_Choose(candidates.data(), 6, &plain, &choice), PL_CHOSEN);
        sent[choice.index]++;
    }
    // Two of six are sampled, so the idle one is among them 1/3 of the time.
    EXPECT_LT(sent[0], 300);
    // Sampled endpoints that are overloaded are not chosen.
    for (size_t i = 0; i < candidates.size(); i++) {
        candidates[i].running = i == 5 ? 0 : 11;
        candidates[i].home_hash = i == 5 ? 0 : i + 1;
    }
    struct pl_choice choice;
    ASSERT_EQ(Pl_Choose(candidates.data(), 6, &plain, &choice), PL_CHOSEN);
    EXPECT_EQ(choice.index, 5u);
}

// Guards against an endpoint that gets every request of a popular group
// because it has the prompt cached, until all requests there are late.
TEST(Place, ACachedPromptDoesNotOutweighALongQueue)
{
    std::vector<struct pl_candidate> candidates = {Idle(), Idle()};
    candidates[0].uncached_tokens = 0;
    candidates[0].running = 9;
    candidates[0].prefill_tokens = 20000;
    EXPECT_EQ(Choose(candidates), 1u);
}

// Guards against refusing all callers while every endpoint is ejected by
// mistake.
TEST(Place, LastResortsAreUsedWhenThereIsNoOther)
{
    std::vector<struct pl_candidate> candidates = {Idle(), Idle()};
    candidates[0].last_resort = true;
    EXPECT_EQ(Choose(candidates), 1u);
    candidates[1].last_resort = true;
    candidates[1].prefill_tokens = 5000;
    EXPECT_EQ(Choose(candidates), 0u);
}

// Guards against a stream that waits for an endpoint where none exists, and
// against a wrong retry-after: "busy" asks the caller to retry sooner than
// "none".
TEST(Place, DistinguishesBusyFromNone)
{
    std::vector<struct pl_candidate> candidates = {Idle()};
    struct pl_choice choice;
    candidates[0].running = 13;
    EXPECT_EQ(Pl_Choose(candidates.data(), 1, &engine, &choice), PL_BUSY);
    candidates[0].tried = true;
    EXPECT_EQ(Pl_Choose(candidates.data(), 1, &engine, &choice), PL_NONE);
    EXPECT_EQ(Pl_Choose(candidates.data(), 0, &engine, &choice), PL_NONE);
}

// Guards against counting a part as cached although a part before it is not:
// engines cache prompt prefixes only.
TEST(Prefix, PartsCountFromTheBeginning)
{
    struct px_table *table = Px_Create();
    struct hd_request_info info = {};
    info.tokens_in = 600;
    info.part_count = 3;
    info.parts[0] = {1, 100};
    info.parts[1] = {2, 200};
    info.parts[2] = {3, 300};
    EXPECT_EQ(Px_CountUncached(table, &info, 7, 0).tokens, 600);
    Px_NoteSent(table, &info, 7, 0);
    EXPECT_EQ(Px_CountUncached(table, &info, 7, 0).tokens, 0);
    EXPECT_EQ(Px_CountUncached(table, &info, 8, 0).tokens, 600);
    struct hd_request_info other = info;
    other.parts[0].id = 9;
    EXPECT_EQ(Px_CountUncached(table, &other, 7, 0).tokens, 600);
    other = info;
    other.parts[2].id = 9;
    EXPECT_EQ(Px_CountUncached(table, &other, 7, 0).tokens, 300);
    EXPECT_EQ(Px_CountUncached(table, &info, 7, 60 * INT64_C(1000000)).tokens,
              600);
    Px_Destroy(table);
}

} // namespace
