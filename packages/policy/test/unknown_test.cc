// Checks that no request ends as "unknown" while an engine of a good version
// could have answered it.  Simulates sequences of faults during the rollout of
// a failing version, with the endpoint table, the retry budget and the
// router's circuit breaker ("trip") together.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <string>

#include "base/random.h"
#include "unknown_model.h"

namespace {

const int64_t kMs = 1000;
const int64_t kSec = 1000 * kMs;
// Number of seeds for each scenario; UNKNOWN_SEEDS sets another number.
const int kSeeds = 20;
const int kRandomSeeds = 100;

struct Model {
    struct um_settings settings;
    struct um_model *model;
    int old_engines[UM_ENGINES_MAX];
    int new_engines[UM_ENGINES_MAX];
    int old_count;
    int new_count;
    struct rn_random random;

    Model(uint64_t seed, int old_total, int new_total,
          const std::function<void(struct um_settings &)> &change)
        : old_count(old_total), new_count(new_total)
    {
        Um_Defaults(&settings);
        if (change) {
            change(settings);
        }
        model = Um_Create(&settings, seed);
        Rn_Seed(&random, seed + 1000000);
        for (int i = 0; i < old_total; i++) {
            old_engines[i] = Um_AddEngine(model, UM_OLD);
        }
        for (int i = 0; i < new_total; i++) {
            new_engines[i] = Um_AddEngine(model, UM_NEW);
        }
    }

    ~Model()
    {
        Um_Destroy(model);
    }

    void
    Run(int64_t usec) const
    {
        Um_Run(model, usec);
    }

    void
    SetOld(int engine, enum um_health health, int count) const
    {
        Um_SetHealth(model, old_engines[engine], health, count);
    }

    void
    SetNew(enum um_health health) const
    {
        for (int i = 0; i < new_count; i++) {
            Um_SetHealth(model, new_engines[i], health, -1);
        }
    }

    // Delays the engine's answers until the router ejects the engine.
    bool
    SlowUntilEjected(int engine) const
    {
        Um_Delay(model, old_engines[engine], 400 * kMs, 20);
        for (int i = 0; i < 400; i++) {
            Run(10 * kMs);
            if (Um_IsEjected(model, old_engines[engine])) {
                Um_Delay(model, old_engines[engine], 0, 0);
                return true;
            }
        }
        return false;
    }

    // Reports a killed engine as a daemon learns of it: suspect, then gone.
    void
    ReportLost(int engine) const
    {
        Um_Suspect(model, old_engines[engine]);
        Run(2 * kSec);
        Um_Leave(model, old_engines[engine]);
    }
};

using Scenario = std::function<void(Model &)>;
using Change = std::function<void(struct um_settings &)>;

int
Seeds(int default_seeds)
{
    const char *value = std::getenv("UNKNOWN_SEEDS");
    return value != nullptr ? std::atoi(value) : default_seeds;
}

// Runs a scenario with many seeds, prints the counts, and expects that no
// "unknown" was avoidable.
void
ExpectNoAvoidableUnknown(int old_total, int new_total,
                         const Scenario &scenario,
                         const Change &change = nullptr,
                         int default_seeds = kSeeds)
{
    int seeds = Seeds(default_seeds);
    int runs = 0;
    int arrived = 0;
    int avoidable = 0;
    int unknown = 0;
    int not_run = 0;
    int avoidable_max = 0;
    int new_failed_max = 0;
    int tripped = 0;
    double retries_min = 1e9;
    int by_reason[UM_REASON_COUNT] = {};
    std::string first;
    for (int seed = 1; seed <= seeds; seed++) {
        Model m(seed, old_total, new_total, change);
        scenario(m);
        Um_Drain(m.model);
        const struct um_counts *counts = Um_Counts(m.model);
        if (counts->avoidable > 0 && first.empty()) {
            first = "seed " + std::to_string(seed) + ": " +
                    counts->first_avoidable;
        }
        runs += counts->avoidable > 0;
        arrived += counts->arrived;
        avoidable += counts->avoidable;
        unknown += counts->unknown;
        not_run += counts->not_run;
        avoidable_max = std::max(avoidable_max, counts->avoidable);
        new_failed_max =
            std::max(new_failed_max, counts->new_failed_before_trip);
        tripped += Um_Tripped(m.model);
        retries_min = std::min(retries_min, counts->retries_min);
        for (int i = 0; i < UM_REASON_COUNT; i++) {
            by_reason[i] += counts->by_reason[i];
        }
        EXPECT_EQ(counts->arrived,
                  counts->good + counts->unknown + counts->not_run);
    }
    printf("%d of %d runs failed; requests %d, unknown %d, avoidable %d (at "
           "most %d in a run), not run %d; fewest retries %.1f; tripped in "
           "%d, failures of the new version before at most %d;",
           runs, seeds, arrived, unknown, avoidable, avoidable_max, not_run,
           retries_min, tripped, new_failed_max);
    for (int i = 0; i < UM_REASON_COUNT; i++) {
        if (by_reason[i] > 0) {
            printf(" %s %d",
                   i == RT_ALLOWED
                       ? "no-engine"
                       : Rt_ReasonName(static_cast<enum rt_reason>(i)),
                   by_reason[i]);
        }
    }
    printf("\n");
    EXPECT_EQ(0, avoidable) << first;
}

class Burst : public ::testing::TestWithParam<int> {};

// Guards against a burst of failures of one old engine that masks the bad new
// version until the retry budget is spent.
TEST_P(Burst, OfAnOldEngineBesideABadNewOne)
{
    ExpectNoAvoidableUnknown(2, 1, [](Model &m) {
        m.Run(2 * kSec);
        m.SetOld(0, UM_FAILS, GetParam());
        m.SetNew(UM_FAILS);
        m.Run(20 * kSec);
    });
}

// Guards against a burst of failures of one old engine at a router that has
// just started.
TEST_P(Burst, AtARouterThatHasJustStarted)
{
    ExpectNoAvoidableUnknown(2, 1, [](Model &m) {
        m.SetOld(0, UM_FAILS, GetParam());
        m.SetNew(UM_FAILS);
        m.Run(20 * kSec);
    });
}

// Guards against a failing old engine that stays in use because the ejected
// new engine uses up the share that may be ejected: the one router gets all
// the failures of the old engine.
TEST_P(Burst, AfterTheNewOneIsEjected)
{
    ExpectNoAvoidableUnknown(2, 1, [](Model &m) {
        m.Run(2 * kSec);
        m.SetNew(UM_FAILS);
        int before = 1 + (int)Rn_Below(&m.random, 4);
        for (int i = 0; i < 4000 && Um_Counts(m.model)->failed[1] < before;
             i++) {
            m.Run(kMs);
        }
        m.SetOld(0, UM_FAILS, GetParam());
        m.Run(20 * kSec);
    });
}

// Guards against a retry at the engine that failed the request, because the
// good engine is ejected for slowness.
TEST_P(Burst, WhileTheGoodOneIsEjectedForSlowness)
{
    ExpectNoAvoidableUnknown(2, 1, [](Model &m) {
        m.Run(2 * kSec);
        ASSERT_TRUE(m.SlowUntilEjected(1));
        m.SetOld(0, UM_FAILS, GetParam());
        m.SetNew(UM_FAILS);
        m.Run(20 * kSec);
    });
}

// Guards against a retry at the engine that failed the request, because the
// good engine is ejected, while the new version is healthy.
TEST_P(Burst, WhileTheGoodOneIsEjectedAndTheNewOneIsHealthy)
{
    ExpectNoAvoidableUnknown(2, 1, [](Model &m) {
        m.Run(2 * kSec);
        ASSERT_TRUE(m.SlowUntilEjected(1));
        m.SetOld(0, UM_FAILS, GetParam());
        m.Run(20 * kSec);
    });
}

// Guards against a retry at the engine that failed the request, because the
// good engine is suspect although it is healthy.
TEST_P(Burst, WhileTheGoodOneIsSuspect)
{
    ExpectNoAvoidableUnknown(2, 1, [](Model &m) {
        m.Run(2 * kSec);
        Um_Suspect(m.model, m.old_engines[1]);
        m.SetOld(0, UM_FAILS, GetParam());
        m.SetNew(UM_FAILS);
        m.Run(20 * kSec);
    });
}

INSTANTIATE_TEST_SUITE_P(Unknown, Burst,
                         ::testing::Values(0, 3, 8, 16, 24, 32, 48, 96));

// A busy service: each engine has about a dozen requests at any time.
void
Busy(struct um_settings &settings)
{
    settings.arrival_gap = 12 * kMs;
    settings.whole_answer = 400 * kMs;
    settings.slots = 24;
}

// A full service: each engine has about as many requests as slots.
void
Full(struct um_settings &settings)
{
    settings.arrival_gap = 3 * kMs;
    settings.first_token = 100 * kMs;
    settings.whole_answer = 400 * kMs;
    settings.slots = 16;
}

// Guards against a killed engine whose failures spend the retry budget.
TEST(Unknown, AnEngineIsKilledWithItsSlotsFull)
{
    ExpectNoAvoidableUnknown(
        8, 1,
        [](Model &m) {
            m.Run(2 * kSec);
            m.SetNew(UM_FAILS);
            Um_Kill(m.model, m.old_engines[0]);
            m.Run(2 * kSec);
            m.ReportLost(0);
            m.Run(6 * kSec);
        },
        Full);
}

void
KillTwo(Model &m)
{
    m.Run(2 * kSec);
    m.SetNew(UM_FAILS);
    Um_Kill(m.model, m.old_engines[0]);
    m.Run(Rn_Below(&m.random, kSec));
    Um_Kill(m.model, m.old_engines[1]);
    m.Run(2 * kSec);
    m.ReportLost(0);
    m.ReportLost(1);
    m.Run(6 * kSec);
}

// Guards against two engines, killed within a second, whose failures spend the
// retry budget.
TEST(Unknown, TwoEnginesAreKilledWithinASecond)
{
    ExpectNoAvoidableUnknown(8, 1, KillTwo, Full);
}

// Guards against two engines, killed before they send first tokens, whose
// failures spend the retry budget.
TEST(Unknown, TwoEnginesAreKilledBeforeTheFirstTokens)
{
    ExpectNoAvoidableUnknown(8, 1, KillTwo, [](struct um_settings &settings) {
        Full(settings);
        settings.first_token = 350 * kMs;
    });
}

// Guards against refused connections that count against the old version.
TEST(Unknown, AnOldEngineRefusesConnections)
{
    ExpectNoAvoidableUnknown(2, 1, [](Model &m) {
        m.Run(2 * kSec);
        m.SetNew(UM_FAILS);
        m.SetOld(0, UM_REFUSES, -1);
        m.Run(5 * kSec);
        m.ReportLost(0);
        m.Run(20 * kSec);
    });
}

// Guards against an old engine that disconnects during answers.
TEST(Unknown, AnOldEngineDisconnects)
{
    ExpectNoAvoidableUnknown(2, 1, [](Model &m) {
        m.Run(2 * kSec);
        m.SetNew(UM_FAILS);
        m.SetOld(0, UM_DISCONNECTS, -1);
        m.Run(20 * kSec);
    });
}

// Guards against an old engine and a new version that disconnect during
// answers.
TEST(Unknown, AnOldEngineAndTheNewVersionDisconnect)
{
    ExpectNoAvoidableUnknown(2, 1, [](Model &m) {
        m.Run(2 * kSec);
        m.SetNew(UM_DISCONNECTS);
        m.SetOld(0, UM_DISCONNECTS, -1);
        m.Run(20 * kSec);
    });
}

class LateFault : public ::testing::TestWithParam<double> {};

// Guards against retries that stay on a new version that starts to fail when
// it has more than half of the requests, while the old version is idle.
TEST_P(LateFault, OfTheNewVersion)
{
    ExpectNoAvoidableUnknown(
        2, 2,
        [](Model &m) {
            m.Run(10 * kSec);
            m.SetNew(UM_FAILS);
            m.Run(20 * kSec);
        },
        [](struct um_settings &settings) { settings.share = GetParam(); });
}

// Guards against retries that stay on a new version that starts to fail while
// an old engine fails some requests too.
TEST_P(LateFault, OfTheNewVersionAndAnOldEngine)
{
    ExpectNoAvoidableUnknown(
        2, 2,
        [](Model &m) {
            m.Run(10 * kSec);
            m.SetOld(0, UM_FAILS, 16);
            m.SetNew(UM_FAILS);
            m.Run(20 * kSec);
        },
        [](struct um_settings &settings) { settings.share = GetParam(); });
}

INSTANTIATE_TEST_SUITE_P(Unknown, LateFault,
                         ::testing::Values(0.1, 0.5, 0.6, 0.9, 1.0));

// Applies one random fault of those above to an old engine.  The last old
// engine only gets slow.
void
ApplyRandomFault(Model &m)
{
    int engine = (int)Rn_Below(&m.random, (uint32_t)m.old_count - 1);
    int number = m.old_engines[engine];
    switch (Rn_Below(&m.random, 6)) {
    case 0:
        m.SetOld(engine, UM_FAILS, (int)Rn_Below(&m.random, 64));
        return;
    case 1:
        Um_Kill(m.model, number);
        return;
    case 2:
        m.SetOld(engine, UM_DISCONNECTS, (int)Rn_Below(&m.random, 64));
        return;
    case 3:
        m.SetOld(engine, UM_REFUSES, (int)Rn_Below(&m.random, 64));
        return;
    case 4:
        Um_Suspect(m.model, number);
        return;
    default:
        Um_Delay(m.model, m.old_engines[m.old_count - 1], 400 * kMs,
                 (int)Rn_Below(&m.random, 5));
        return;
    }
}

// Guards against these faults in random order; one old engine never fails.
TEST(Unknown, RandomFaults)
{
    ExpectNoAvoidableUnknown(
        3, 1,
        [](Model &m) {
            m.Run(Rn_Below(&m.random, 4 * kSec));
            m.SetNew(UM_FAILS);
            int faults = 1 + (int)Rn_Below(&m.random, 4);
            for (int i = 0; i < faults; i++) {
                ApplyRandomFault(m);
                m.Run(Rn_Below(&m.random, 2 * kSec));
            }
            m.Run(20 * kSec);
        },
        nullptr, kRandomSeeds);
}

// Guards against random faults of a busy service.
TEST(Unknown, RandomFaultsOfABusyService)
{
    ExpectNoAvoidableUnknown(
        3, 2,
        [](Model &m) {
            m.Run(Rn_Below(&m.random, 4 * kSec));
            m.SetNew(UM_FAILS);
            int faults = 1 + (int)Rn_Below(&m.random, 4);
            for (int i = 0; i < faults; i++) {
                ApplyRandomFault(m);
                m.Run(Rn_Below(&m.random, 2 * kSec));
            }
            m.Run(20 * kSec);
        },
        Busy, kRandomSeeds);
}

} // namespace
