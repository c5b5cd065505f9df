#include <gtest/gtest.h>

#include <vector>

#include "model/engine.h"

namespace {

constexpr me_speed kSpeed = {
    .places = 2,
    .memory_tokens = 3000,
    .piece_tokens = 100,
    .step_usec = 1000,
    .running_usec = 10,
    .context_usec = 0,
    .token_usec = 10,
    .attention_usec = 0,
};

class Engine : public testing::Test {
  protected:
    void
    SetUp() override
    {
        engine_ = Me_Create(&kSpeed, &kOps, this);
    }

    void
    TearDown() override
    {
        Me_Destroy(engine_);
    }

    // A request with one part of its own, or of the subject given.
    static me_job
    Job(uint64_t part, int64_t tokens, int64_t answer = 1)
    {
        me_job job = {};
        job.parts[0] = part;
        job.part_tokens[0] = tokens;
        job.part_count = 1;
        job.answer_tokens = answer;
        return job;
    }

    // Runs until nothing is left to do.
    void
    Run()
    {
        int64_t usec;
        while ((usec = Me_BeginStep(engine_)) > 0) {
            now_ += usec;
            Me_EndStep(engine_, now_);
        }
    }

    static void
    OnFirst(void *arg, me_job *job, int64_t now)
    {
        static_cast<Engine *>(arg)->firsts_.emplace_back(job, now);
    }

    static void
    OnEnded(void *arg, me_job *job, int64_t now)
    {
        static_cast<Engine *>(arg)->ends_.emplace_back(job, now);
    }

    static constexpr me_ops kOps = {OnFirst, OnEnded};
    me_engine *engine_ = nullptr;
    int64_t now_ = 0;
    std::vector<std::pair<me_job *, int64_t>> firsts_;
    std::vector<std::pair<me_job *, int64_t>> ends_;
};

TEST_F(Engine, APromptIsReadInPieces)
{
    me_job job = Job(1, 250, 3);
    Me_Take(engine_, &job);
    Run();
    // Three steps read 100, 100 and 50 tokens, the third answers; two more.
    ASSERT_EQ(1u, firsts_.size());
    EXPECT_EQ(3 * 1010 + 2500, firsts_[0].second);
    ASSERT_EQ(1u, ends_.size());
    EXPECT_EQ(5 * 1010 + 2500, ends_[0].second);
}

TEST_F(Engine, ALongPromptHoldsUpTheOneBehindIt)
{
    me_job first = Job(1, 1000);
    me_job second = Job(2, 10);
    Me_Take(engine_, &first);
    Me_Take(engine_, &second);
    Run();
    ASSERT_EQ(2u, firsts_.size());
    EXPECT_EQ(&first, firsts_[0].first);
    EXPECT_EQ(&second, firsts_[1].first);
}

TEST_F(Engine, AThirdRequestWaitsForAPlace)
{
    me_job jobs[3] = {Job(1, 10, 5), Job(2, 10, 9), Job(3, 10)};
    for (me_job &job : jobs) {
        Me_Take(engine_, &job);
    }
    Run();
    ASSERT_EQ(3u, firsts_.size());
    EXPECT_EQ(&jobs[2], firsts_[2].first);
    EXPECT_GT(firsts_[2].second, ends_[0].second);
}

TEST_F(Engine, WhatIsKeptIsNotReadAgainUntilItYields)
{
    me_job first = Job(7, 500);
    Me_Take(engine_, &first);
    Run();
    EXPECT_EQ(500, first.missed);
    me_job again = Job(7, 500);
    Me_Take(engine_, &again);
    Run();
    EXPECT_EQ(0, again.missed);
    // 2,700 tokens leave no room for the 500.
    me_job large = Job(8, 2700);
    Me_Take(engine_, &large);
    Run();
    me_job late = Job(7, 500);
    Me_Take(engine_, &late);
    Run();
    EXPECT_EQ(500, late.missed);
}

TEST_F(Engine, APartCountsOnlyWithThoseBeforeIt)
{
    me_job first = Job(7, 100);
    first.parts[1] = 8;
    first.part_tokens[1] = 50;
    first.part_count = 2;
    Me_Take(engine_, &first);
    Run();
    me_job same = first;
    Me_Take(engine_, &same);
    Run();
    EXPECT_EQ(0, same.missed);
    me_job other = first;
    other.parts[0] = 9;
    Me_Take(engine_, &other);
    Run();
    EXPECT_EQ(150, other.missed);
}

TEST_F(Engine, AnIdleEngineHasNothingToDo)
{
    EXPECT_EQ(0, Me_BeginStep(engine_));
}

} // namespace
