#include <gtest/gtest.h>

#include <vector>

#include "model/engine.h"

namespace {

constexpr me_speed kSpeed = {
    .slots = 2,
    .memory_tokens = 3000,
    .chunk_tokens = 100,
    .step_usec = 1000,
    .running_usec = 10,
    .context_usec = 0,
    .prefill_usec = 10,
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

    // Returns a request whose prompt is one part with the given id.
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

    // Runs steps until no request is left.
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

TEST_F(Engine, APromptIsReadInChunks)
{
    me_job job = Job(1, 250, 3);
    Me_Submit(engine_, &job);
    Run();
    // Three steps read 100, 100 and 50 tokens.  The third also generates the
    // first answer token, two more steps generate the others.
    ASSERT_EQ(1u, firsts_.size());
    EXPECT_EQ(3 * 1010 + 2500, firsts_[0].second);
    ASSERT_EQ(1u, ends_.size());
    EXPECT_EQ(5 * 1010 + 2500, ends_[0].second);
}

TEST_F(Engine, ALongPromptDelaysTheNextRequest)
{
    me_job first = Job(1, 1000);
    me_job second = Job(2, 10);
    Me_Submit(engine_, &first);
    Me_Submit(engine_, &second);
    Run();
    ASSERT_EQ(2u, firsts_.size());
    EXPECT_EQ(&first, firsts_[0].first);
    EXPECT_EQ(&second, firsts_[1].first);
}

TEST_F(Engine, AThirdRequestWaitsForASlot)
{
    me_job jobs[3] = {Job(1, 10, 5), Job(2, 10, 9), Job(3, 10)};
    for (me_job &job : jobs) {
        Me_Submit(engine_, &job);
    }
    Run();
    ASSERT_EQ(3u, firsts_.size());
    EXPECT_EQ(&jobs[2], firsts_[2].first);
    EXPECT_GT(firsts_[2].second, ends_[0].second);
}

TEST_F(Engine, ACachedPartIsNotReadAgainUntilEvicted)
{
    me_job first = Job(7, 500);
    Me_Submit(engine_, &first);
    Run();
    EXPECT_EQ(500, first.uncached_tokens);
    me_job again = Job(7, 500);
    Me_Submit(engine_, &again);
    Run();
    EXPECT_EQ(0, again.uncached_tokens);
    // A prompt of 2,700 tokens evicts the 500: 3,000 fit in memory.
    me_job large = Job(8, 2700);
    Me_Submit(engine_, &large);
    Run();
    me_job late = Job(7, 500);
    Me_Submit(engine_, &late);
    Run();
    EXPECT_EQ(500, late.uncached_tokens);
}

TEST_F(Engine, APartIsCachedOnlyWithThePartsBeforeIt)
{
    me_job first = Job(7, 100);
    first.parts[1] = 8;
    first.part_tokens[1] = 50;
    first.part_count = 2;
    Me_Submit(engine_, &first);
    Run();
    me_job same = first;
    Me_Submit(engine_, &same);
    Run();
    EXPECT_EQ(0, same.uncached_tokens);
    me_job other = first;
    other.parts[0] = 9;
    Me_Submit(engine_, &other);
    Run();
    EXPECT_EQ(150, other.uncached_tokens);
}

TEST_F(Engine, AnIdleEngineHasNothingToDo)
{
    EXPECT_EQ(0, Me_BeginStep(engine_));
}

} // namespace
