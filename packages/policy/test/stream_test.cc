#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "base/random.h"
#include "policy/stream.h"

namespace {

const int64_t kSec = 1000000;

struct sm_decision
decide(int64_t left, int prompt, int given, int expected,
       struct sm_target target)
{
    struct sm_settings settings;
    struct rn_random random;
    struct sm_decision out;
    struct sm_stream stream = {left, prompt, given, expected, 33000};
    Rn_Seed(&random, (uint64_t)left);
    Sm_Defaults(&settings);
    Sm_Decide(&settings, &stream, &target, &random, &out);
    return out;
}

const struct sm_target kTarget = {true, true, 10000, 0, 50000, 20, 100};

TEST(Stream, PlanFollowsTimeLeftAndCost)
{
    struct sm_target no_import = kTarget;
    struct sm_target warm = kTarget;
    struct sm_target none = {};
    no_import.imports_cache = false;
    warm.cached_tokens = 4000;
    EXPECT_EQ(SM_FINISH, decide(30 * kSec, 4000, 10, 100, kTarget).plan);
    EXPECT_EQ(SM_MOVE, decide(5 * kSec, 4000, 10, 1000, kTarget).plan);
    EXPECT_EQ(SM_RESUME, decide(5 * kSec, 4000, 10, 1000, no_import).plan);
    EXPECT_EQ(SM_RESUME, decide(5 * kSec, 4000, 10, 1000, warm).plan);
    EXPECT_EQ(SM_RESUME, decide(5 * kSec, 100, 10, 1000, kTarget).plan);
    struct sm_decision lost = decide(5 * kSec, 4000, 10, 1000, none);
    EXPECT_EQ(SM_FINISH, lost.plan);
    EXPECT_TRUE(lost.at_risk);
    EXPECT_LE(lost.act_after, kSec);
}

/*
 * Guards against an answer that breaks off: its move was started when less
 * time was left than the export takes, and the host was reclaimed during the
 * export.
 */
TEST(Stream, NoMoveIsStartedThatCannotEndInTime)
{
    for (int64_t left = 0; left < 3 * kSec; left += 10000) {
        struct sm_target slow = kTarget;
        slow.move_per_token = 300;
        slow.prefill_per_token = 1000;
        struct sm_decision d = decide(left, 4000, 10, 1000, slow);
        if (d.plan == SM_MOVE) {
            EXPECT_GE(left, d.pause + 500000);
        }
        else {
            EXPECT_EQ(SM_RESUME, d.plan);
            EXPECT_LE(d.act_after, std::max<int64_t>(0, left - 500000));
        }
    }
}

/*
 * Guards against all streams of a reclaimed host that resume at the same
 * moment.
 */
TEST(Stream, ResumesAreSpreadOverTheTimeLeft)
{
    struct sm_settings settings;
    struct rn_random random;
    struct sm_target target = kTarget;
    target.imports_cache = false;
    struct sm_stream stream = {10 * kSec, 1000, 10, 1000, 33000};
    Rn_Seed(&random, 1);
    Sm_Defaults(&settings);
    int first_half = 0;
    for (int i = 0; i < 100; i++) {
        struct sm_decision d;
        Sm_Decide(&settings, &stream, &target, &random, &d);
        first_half += d.act_after < 5 * kSec;
    }
    EXPECT_NEAR(50, first_half, 15);
}

/*
 * Guards against an answer mixed from two texts: after the move the old
 * endpoint sent one more token with the next index, before the new endpoint
 * sent its own.
 */
TEST(Stream, TokensOfTheOldEndpointAreDroppedAfterTheSwitch)
{
    struct sm_counts counts = {};
    struct sm_track track;
    int source;
    Sm_Start(&track, "r1", &counts);
    EXPECT_EQ(SM_DELIVER, Sm_AddToken(&track, 0, "r1", 0));
    EXPECT_EQ(SM_DELIVER, Sm_AddToken(&track, 0, "r1", 1));
    ASSERT_EQ(ST_OK, Sm_Switch(&track, 2, &source));
    EXPECT_EQ(SM_STALE, Sm_AddToken(&track, 0, "r1", 2));
    EXPECT_EQ(SM_REPEATED, Sm_AddToken(&track, source, "r1", 1));
    EXPECT_EQ(SM_DELIVER, Sm_AddToken(&track, source, "r1", 2));
    EXPECT_EQ(ST_CONFLICT, Sm_Finish(&track, 0, 3));
    EXPECT_EQ(ST_OK, Sm_Finish(&track, source, 3));
    EXPECT_EQ(1u, counts.repeated);
    EXPECT_EQ(2u, counts.stale);
}

TEST(Stream, SwitchToAnExportAheadOrBehindIsRefused)
{
    struct sm_counts counts = {};
    struct sm_track track;
    int source;
    Sm_Start(&track, "r1", &counts);
    Sm_AddToken(&track, 0, "r1", 0);
    EXPECT_EQ(ST_CONFLICT, Sm_Switch(&track, 2, &source));
    EXPECT_EQ(ST_CONFLICT, Sm_Switch(&track, 0, &source));
    EXPECT_EQ(SM_DELIVER, Sm_AddToken(&track, 0, "r1", 1));
    EXPECT_EQ(ST_OK, Sm_Switch(&track, 2, &source));
}

/*
 * Guards against an answer that lacks a token: one event was lost in transit,
 * the next one was passed on, and the stream ended normally.
 */
TEST(Stream, NothingIsDeliveredAfterAGap)
{
    struct sm_counts counts = {};
    struct sm_track track;
    int source;
    Sm_Start(&track, "r1", &counts);
    EXPECT_EQ(SM_DELIVER, Sm_AddToken(&track, 0, "r1", 0));
    EXPECT_EQ(SM_GAP, Sm_AddToken(&track, 0, "r1", 2));
    EXPECT_EQ(SM_GAP, Sm_AddToken(&track, 0, "r1", 1));
    EXPECT_EQ(ST_UNAVAILABLE, Sm_Finish(&track, 0, 3));
    EXPECT_EQ(1u, counts.gaps);
    ASSERT_EQ(ST_OK, Sm_Switch(&track, 1, &source));
    EXPECT_EQ(SM_DELIVER, Sm_AddToken(&track, source, "r1", 1));
    EXPECT_EQ(ST_UNAVAILABLE, Sm_Finish(&track, source, 3));
    EXPECT_EQ(2u, counts.gaps);
}

/*
 * Guards against a caller that gets part of another request's answer: events
 * of two requests are mixed up on one connection, and others are repeated,
 * late or lost.
 */
TEST(Stream, CallerGetsOneWholeTextDespiteLossAndRepeats)
{
    const int total = 60;
    int switches = 0;
    for (uint64_t seed = 1; seed <= 500; seed++) {
        struct rn_random random;
        struct sm_counts counts = {};
        struct sm_track track;
        std::vector<int> text; /* source of each token */
        Rn_Seed(&random, seed);
        Sm_Start(&track, "mine", &counts);
        std::vector<int> at = {0}; /* next token index of each source */
        int source = 0;
        for (int step = 0; step < 5000; step++) {
            int from = (int)Rn_Below(&random, (uint32_t)at.size());
            uint32_t fault = Rn_Below(&random, 40);
            const char *id = fault == 0 ? "other" : "mine";
            int64_t index = at[(size_t)from];
            if (fault == 1 && index > 0) {
                index--;
            }
            else if (fault == 2) {
                at[(size_t)from]++;
                continue;
            }
            if (index >= total) {
                if (Sm_Finish(&track, from, total) == ST_OK) {
                    break;
                }
            }
            else if (Sm_AddToken(&track, from, id, index) == SM_DELIVER) {
                EXPECT_STREQ("mine", id);
                EXPECT_EQ((int64_t)text.size(), index);
                EXPECT_EQ(source, from);
                text.push_back(from);
            }
            if (fault > 1 && index == at[(size_t)from] && index < total) {
                at[(size_t)from]++;
            }
            if (track.broken || Rn_Below(&random, 100) == 0) {
                ASSERT_EQ(ST_OK, Sm_Switch(&track, track.next, &source));
                at.push_back((int)track.next);
                switches++;
            }
        }
        EXPECT_EQ((size_t)total, text.size());
        EXPECT_EQ((uint64_t)total, counts.delivered);
    }
    EXPECT_GT(switches, 500);
}

} // namespace
