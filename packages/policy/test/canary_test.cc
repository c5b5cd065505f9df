#include <gtest/gtest.h>

#include "base/clock.h"
#include "policy/canary.h"

namespace {

const int64_t kSec = Ck_USEC_PER_SEC;

class Evidence : public testing::Test {
  protected:
    // Adds one window of answers, and ends it.
    void
    Window(uint32_t old_answers, uint32_t old_bad, uint32_t new_answers,
           uint32_t new_bad)
    {
        totals_[CY_OLD].answers += old_answers;
        totals_[CY_OLD].bad += old_bad;
        totals_[CY_NEW].answers += new_answers;
        totals_[CY_NEW].bad += new_bad;
        Cy_CloseWindow(&evidence_, window_count_++, totals_);
    }

    bool
    IsWorse() const
    {
        struct cy_tally tally = Cy_Tally(&evidence_, totals_, 0);
        return Cy_IsWorse(&tally);
    }

    bool
    IsSuspect() const
    {
        struct cy_tally tally = Cy_Tally(&evidence_, totals_, 0);
        return Cy_IsSuspect(&tally);
    }

    bool
    IsWorseWhenCalm() const
    {
        struct cy_tally tally = Cy_CalmTally(&evidence_);
        return Cy_IsWorse(&tally);
    }

    struct cy_evidence evidence_ = {};
    size_t window_count_ = 0;
    struct cy_count totals_[CY_SIDES] = {};
};

// Guards against an outage of the old version that hides a bad new one later.
TEST_F(Evidence, TheOldVersionsFailuresExcuseOnlyTheSameTime)
{
    for (int i = 0; i < 4; i++) {
        Window(100, 60, 0, 0);
    }
    for (int i = 0; i < 6; i++) {
        Window(100, 1, 5, 2);
    }
    EXPECT_TRUE(IsWorse());
}

// Guards against rolling back a version for an outage that both versions have.
TEST_F(Evidence, AnOutageOfBothVersionsIsNoFault)
{
    Window(100, 1, 5, 0);
    for (int i = 0; i < 6; i++) {
        Window(100, 50, 5, 3);
    }
    EXPECT_FALSE(IsWorse());
    EXPECT_FALSE(IsSuspect());
}

// Guards against a pause of one endpoint that rolls a good version back.
TEST_F(Evidence, AFewWindowsOfSlowAnswersDoNotRollBack)
{
    for (int i = 0; i < 8; i++) {
        Window(100, 1, 6, i < Cy_LEFT_OUT ? 6 : 0);
    }
    EXPECT_FALSE(IsWorseWhenCalm());
    for (int i = 0; i < 4; i++) {
        Window(100, 1, 6, 4);
    }
    EXPECT_TRUE(IsWorseWhenCalm());
}

TEST_F(Evidence, AVersionIsASuspectBeforeItIsShownToBeWorse)
{
    Window(100, 2, 5, 3);
    EXPECT_TRUE(IsSuspect());
    EXPECT_FALSE(IsWorse());
}

struct cy_progress
Progress(int64_t elapsed_sec)
{
    struct cy_progress progress = {};
    progress.elapsed_usec = elapsed_sec * kSec;
    progress.duration_usec = 20 * kSec;
    progress.drain_usec = kSec;
    progress.answers = 100;
    progress.all_answers = 2000;
    progress.old_usable = 4;
    progress.new_usable = 4;
    return progress;
}

// Guards against a version that gets all requests because what it did while
// the old one was disturbed hides what it does otherwise.
TEST_F(Evidence, WhatComesWhileTheOldVersionIsDisturbedShowsNothing)
{
    for (int i = 0; i < 7; i++) {
        Window(40, 2, 3, 1);
    }
    for (int i = 0; i < 6; i++) {
        Window(40, 16, 6, 2);
    }
    uint64_t disturbed = Cy_DisturbedWindows(&evidence_);
    EXPECT_EQ(disturbed, 0x1f80u);
    struct cy_tally undisturbed = Cy_UndisturbedTally(&evidence_, disturbed);
    EXPECT_EQ(undisturbed.answers, 21);
    EXPECT_TRUE(Cy_IsDoubtful(&undisturbed));
}

// Guards against an old version that usually fails and is taken for disturbed.
TEST_F(Evidence, AnOldVersionThatAlwaysFailsIsNotDisturbed)
{
    for (int i = 0; i < 16; i++) {
        Window(20, i % 3 == 0 ? 9 : 7, 2, 1);
    }
    EXPECT_EQ(Cy_DisturbedWindows(&evidence_), 0u);
}

TEST(Share, ADoubtfulVersionDoesNotGetAllRequests)
{
    struct cy_progress progress = Progress(16);
    progress.doubtful = true;
    EXPECT_EQ(Cy_Share(&progress), 150);
}

// Guards against a fault that is told a second late, when all callers meet it.
TEST(Share, APartOfTheRequestsComesBeforeAll)
{
    struct cy_progress progress = Progress(15);
    EXPECT_EQ(Cy_Share(&progress), 300);
    progress.doubtful = true;
    EXPECT_EQ(Cy_Share(&progress), 150);
}

TEST(Share, GrowsWithTimeAndAnswers)
{
    struct cy_progress progress = Progress(1);
    EXPECT_EQ(Cy_Share(&progress), 50);
    progress = Progress(10);
    EXPECT_EQ(Cy_Share(&progress), 150);
    progress = Progress(16);
    EXPECT_EQ(Cy_Share(&progress), Cy_FULL_SHARE);
}

// Guards against a version that gets all requests because time has passed.
TEST(Share, TimeAloneDoesNotGiveAllRequests)
{
    struct cy_progress progress = Progress(16);
    progress.answers = 5;
    EXPECT_EQ(Cy_Share(&progress), 150);
    progress = Progress(16);
    progress.suspect = true;
    EXPECT_EQ(Cy_Share(&progress), 50);
}

// Guards against a good version of a service with few requests that is late.
TEST(Share, AServiceWithFewRequestsNeedsNoTrial)
{
    struct cy_progress progress = Progress(16);
    progress.answers = 1;
    progress.all_answers = 20;
    EXPECT_EQ(Cy_Share(&progress), Cy_FULL_SHARE);
}

TEST(Share, LongRequestsNeedAnEarlierStart)
{
    struct cy_progress progress = Progress(13);
    EXPECT_LT(Cy_Share(&progress), Cy_FULL_SHARE);
    progress.drain_usec = 12 * kSec;
    EXPECT_EQ(Cy_Share(&progress), Cy_FULL_SHARE);
}

// Guards against a share of what callers ask where most of it is refused: the
// new version would get a larger share of what is sent.
TEST(Pacer, TheShareIsOfTheRequestsSent)
{
    struct cy_pacer pacer;
    Cy_PaceStart(&pacer, 0.5);
    int sent = 0;
    int sent_to_new = 0;
    for (int i = 0; i < 1000; i++) {
        bool is_new = Cy_PaceNew(&pacer, 50);
        bool refused = !is_new && i % 10 != 0; // the old version is full
        if (!refused) {
            Cy_PaceSent(&pacer, 50, is_new);
            sent++;
            sent_to_new += is_new;
        }
    }
    EXPECT_NEAR(sent_to_new, sent * 0.05, 1);
}

} // namespace
