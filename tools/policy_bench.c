/*
 * Measures the decisions of packages/policy on seeded models; the tables of
 * docs/design are its output.  "policy_bench choice" runs one part, without
 * an argument it runs all.
 */
#include <stdio.h>
#include <string.h>

#include "model.h"
#include "policy/choose.h"

#define SEEDS 10

struct plan_case {
    const char *name;
    struct model_plan plan;
};

static const struct plan_case plan_cases[] = {
    {"7 routers, 18 endpoints, even",
     {0, 7, 18, 8, 20000, 70, 1000, 40, 400, 24, 1000000, 0, 1, NULL}},
    {"7 routers, 18 endpoints, 2 slowed 4 times",
     {0, 7, 18, 8, 20000, 60, 1000, 40, 400, 24, 1000000, 2, 4, NULL}},
    {"60 routers, 40 endpoints, 2 slowed 4 times",
     {0, 60, 40, 8, 40000, 160, 1000, 40, 800, 24, 1000000, 2, 4, NULL}},
};

static void
bench_choice(void)
{
    const struct ch_ops *ops[] = {Ch_Predictive(), Ch_NoAffinity(),
                                  Ch_LeastInFlight(), Ch_RoundRobin(),
                                  Ch_Random()};
    const size_t cases = sizeof(plan_cases) / sizeof(plan_cases[0]);
    printf("First token, ms, mean of %d seeds\n\n", SEEDS);
    printf("| case | choice | p50 | p95 | p99 | cache hits | prefix tokens "
           "recomputed per request |\n"
           "| --- | --- | --- | --- | --- | --- | --- |\n");
    for (size_t c = 0; c < cases; c++) {
        for (size_t o = 0; o < sizeof(ops) / sizeof(ops[0]); o++) {
            double p50 = 0;
            double p95 = 0;
            double p99 = 0;
            double hits = 0;
            double recomputed = 0;
            for (int seed = 1; seed <= SEEDS; seed++) {
                struct model_plan plan = plan_cases[c].plan;
                struct model_result result;
                plan.seed = (uint64_t)seed;
                plan.ops = ops[o];
                Model_Run(&plan, &result);
                p50 += (double)result.p50 / 1e3 / SEEDS;
                p95 += (double)result.p95 / 1e3 / SEEDS;
                p99 += (double)result.p99 / 1e3 / SEEDS;
                hits += result.hit_share / SEEDS;
                recomputed +=
                    (double)result.recomputed / result.started / SEEDS;
            }
            printf("| %s | %s | %.0f | %.0f | %.0f | %.0f%% | %.0f |\n",
                   plan_cases[c].name, ops[o]->name, p50, p95, p99, hits * 100,
                   recomputed);
        }
    }
    printf("\n");
}

struct part {
    const char *name;
    void (*run)(void);
};

static const struct part parts[] = {
    {"choice", bench_choice},
};

int
main(int argc, char **argv)
{
    int ran = 0;
    for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
        if (argc < 2 || strcmp(argv[1], parts[i].name) == 0) {
            parts[i].run();
            ran++;
        }
    }
    if (ran == 0) {
        fprintf(stderr, "policy_bench: no part named %s\n", argv[1]);
        return 1;
    }
    return 0;
}
