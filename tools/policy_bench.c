/*
 * Measures the decisions of packages/policy on seeded simulations; the tables
 * of docs/design are its output.  "policy_bench choice" runs one benchmark;
 * without an argument all benchmarks run.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/random.h"
#include "choose_model.h"
#include "fleet_model.h"
#include "move_model.h"
#include "policy/admit.h"
#include "policy/admit_internal.h"
#include "policy/choose.h"
#include "policy/choose_internal.h"
#include "policy/queue.h"
#include "policy/stream.h"

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

#define STREAMS 20000

struct stream_result {
    double finished;
    double moved;
    double resumed;
    double cut; /* at the spot endpoint's end; resumed from the text so far */
    double recomputed;
    double gap_usec; /* sum over the moved and resumed streams */
};

enum strategy { BY_DECISION, LEAVE_ALL, RESUME_ALL, MOVE_ALL, STRATEGIES };

static const char *const strategy_names[STRATEGIES] = {
    "decided", "left where they are", "all resumed", "all moved"};

static void
run_stream(enum strategy strategy, const struct sm_target *target,
           struct sm_stream stream, int tokens_left, struct rn_random *random,
           struct stream_result *sum)
{
    struct sm_settings settings;
    struct sm_decision decision;
    int64_t now = 0;
    int64_t reclaimed_at = stream.time_left;
    int expected = stream.tokens_expected;
    int tokens_total = tokens_left;
    Sm_Defaults(&settings);
    for (;;) {
        stream.time_left = reclaimed_at - now;
        Sm_Decide(&settings, &stream, target, random, &decision);
        if (strategy == LEAVE_ALL) {
            decision = (struct sm_decision){.act_after = reclaimed_at};
        }
        else if (strategy == RESUME_ALL) {
            decision.plan = SM_RESUME;
            decision.act_after = 0;
        }
        else if (strategy == MOVE_ALL) {
            decision.plan = SM_MOVE;
            decision.act_after = 0;
        }
        int64_t until = now + decision.act_after;
        until = until < reclaimed_at ? until : reclaimed_at;
        int tokens_now = (int)((until - now) / stream.token_usec) + 1;
        tokens_now = tokens_now < tokens_left ? tokens_now : tokens_left;
        stream.tokens_given += tokens_now;
        tokens_left -= tokens_now;
        now = until;
        if (tokens_left == 0) {
            sum->finished++;
            return;
        }
        int tokens_done = tokens_total - tokens_left;
        stream.tokens_expected =
            expected > tokens_done ? expected - tokens_done : 50;
        if (now >= reclaimed_at || decision.plan != SM_FINISH) {
            break;
        }
    }
    int context = stream.prompt_tokens + stream.tokens_given;
    int64_t move = target->move_usec + target->move_per_token * context;
    bool can_move = decision.plan == SM_MOVE && now + move <= reclaimed_at;
    if (can_move) {
        sum->moved++;
        sum->gap_usec += (double)move;
        return;
    }
    sum->cut += now >= reclaimed_at || decision.plan == SM_MOVE;
    sum->resumed++;
    sum->recomputed += context;
    sum->gap_usec += (double)(target->prefill_per_token * context);
}

static void
bench_streams(void)
{
    const struct sm_target target = {true, true, 0, 0, 50000, 20, 100};
    const int64_t notices[] = {2000000, 5000000, 30000000};
    printf("%d streams, of 500 to 8,000 prompt tokens and 400 tokens of "
           "answer in the mean,\nby the time left; per 100 streams\n\n"
           "| left, s | way | finished | moved | resumed | cut | tokens "
           "recomputed a stream | gap, ms |\n"
           "| --- | --- | --- | --- | --- | --- | --- | --- |\n",
           STREAMS);
    for (size_t n = 0; n < sizeof(notices) / sizeof(notices[0]); n++) {
        for (int strategy = 0; strategy < STRATEGIES; strategy++) {
            struct stream_result sum = {0};
            struct rn_random random;
            Rn_Seed(&random, 1);
            for (int i = 0; i < STREAMS; i++) {
                struct sm_stream stream = {notices[n], 0, 0, 400, 33000};
                double skew = Rn_Unit(&random);
                stream.prompt_tokens = 500 + (int)(skew * skew * 7500);
                double unit = Rn_Unit(&random);
                int left = 1 + (int)(-400 * log(1 - unit));
                uint64_t seed = (uint64_t)i;
                struct rn_random own;
                Rn_Seed(&own, seed);
                run_stream((enum strategy)strategy, &target, stream, left,
                           &own, &sum);
            }
            double gaps = sum.moved + sum.resumed;
            printf("| %lld | %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f "
                   "|\n",
                   (long long)(notices[n] / 1000000), strategy_names[strategy],
                   sum.finished * 100 / STREAMS, sum.moved * 100 / STREAMS,
                   sum.resumed * 100 / STREAMS, sum.cut * 100 / STREAMS,
                   sum.recomputed / STREAMS,
                   gaps > 0 ? sum.gap_usec / gaps / 1e3 : 0);
        }
    }
    printf("\n");
}

static const char *const fault_names[FAULT_KINDS] = {
    "none",
    "30% fail at once",
    "3% fail at once",
    "first token twice as late",
    "30% fail after 35 min",
    "20% fail above 80% of peak load",
    "20% fail on one route (a tenth of traffic)",
};

static int
compare_double(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

static void
bench_move(enum move_fault fault, double per_sec, int seeds, bool without_trip)
{
    double *delays = calloc((size_t)seeds, sizeof(*delays));
    double *failures = calloc((size_t)seeds, sizeof(*failures));
    int rolled_back = 0;
    int tripped = 0;
    double share = 0;
    for (int seed = 0; seed < seeds; seed++) {
        struct move_model model = {
            .seed = (uint64_t)seed + 1,
            .per_sec = per_sec,
            .routers = 7,
            .usual_failure_rate = 0.005,
            .fault = fault,
            .without_trip = without_trip,
        };
        struct move_outcome out;
        Move_Run(&model, &out);
        rolled_back += out.move.phase == MV_ROLLED_BACK;
        tripped += out.tripped;
        delays[seed] = (double)(out.ended_at - out.fault_at) / 1e6;
        failures[seed] = (double)out.new_failures;
        share += out.share_at_end / seeds;
    }
    qsort(delays, (size_t)seeds, sizeof(*delays), compare_double);
    qsort(failures, (size_t)seeds, sizeof(*failures), compare_double);
    printf("| %s | %g | %s | %d | %.1f%% | %.1f%% | %.0f | %.0f | %.0f | "
           "%.0f | %.0f%% |\n",
           fault_names[fault], per_sec, without_trip ? "no" : "yes", seeds,
           100.0 * rolled_back / seeds, 100.0 * tripped / seeds,
           delays[seeds / 2], delays[seeds * 95 / 100], failures[seeds / 2],
           failures[seeds * 95 / 100], share * 100);
    free(delays);
    free(failures);
}

static void
bench_outages(void)
{
    const double failure_rates[] = {1, 0.8, 0.4, 0.2};
    const double shares[] = {0.02, 0.5, 0.95};
    printf("| outage of both: failing | share of the new version | trips of "
           "one router in 1,000 runs of 2 outages |\n| --- | --- | --- |\n");
    for (size_t b = 0; b < sizeof(failure_rates) / sizeof(failure_rates[0]);
         b++) {
        for (size_t s = 0; s < sizeof(shares) / sizeof(shares[0]); s++) {
            int trips = 0;
            for (uint64_t seed = 1; seed <= 1000; seed++) {
                trips += Outage_Run(seed, failure_rates[b], shares[s]);
            }
            printf("| %.0f%% | %.0f%% | %d |\n", failure_rates[b] * 100,
                   shares[s] * 100, trips);
        }
    }
    printf("\n");
}

#define TRIP_SEEDS 1000

static void
bench_trip(const char *what, const struct trip_model *base)
{
    double failures[TRIP_SEEDS];
    int trips = 0;
    for (int seed = 0; seed < TRIP_SEEDS; seed++) {
        struct trip_model model = *base;
        struct trip_outcome out;
        model.seed = (uint64_t)seed + 1;
        Trip_Run(&model, &out);
        trips += out.tripped;
        failures[seed] = out.new_failures;
    }
    qsort(failures, TRIP_SEEDS, sizeof(*failures), compare_double);
    printf("| %s | %.0f%% | %d | %.0f | %.0f | %.0f |\n", what,
           base->share * 100, trips, failures[TRIP_SEEDS / 2],
           failures[TRIP_SEEDS * 95 / 100], failures[TRIP_SEEDS - 1]);
}

static void
bench_trips(void)
{
    const double shares[] = {0.02, 0.5, 0.95};
    printf("| one router | share of the new version | trips in 1,000 runs | "
           "failures of a bad one before: median | 95 in 100 | most |\n"
           "| --- | --- | --- | --- | --- | --- |\n");
    for (size_t s = 0; s < sizeof(shares) / sizeof(shares[0]); s++) {
        struct trip_model model = {
            .share = shares[s], .new_engines = 2, .requests = 5000};
        model.new_failure_rate = 1;
        bench_trip("the new version fails all", &model);
        model.killed = true;
        model.killed_side = MV_OLD;
        model.in_flight = 32;
        model.refused = 5;
        bench_trip("the same, an old engine killed with 32 in flight", &model);
        model.new_failure_rate = 0;
        model.killed_side = MV_NEW;
        model.killed_at = 500;
        bench_trip("a good one's engine killed with 32 in flight", &model);
        model.killed = false;
        model.failing = true;
        model.failing_side = MV_NEW;
        model.failing_at = 500;
        bench_trip("a good one's engine of two fails all", &model);
    }
    printf("\n");
}

static void
bench_moves(void)
{
    const double rates[] = {0.3, 10, 100};
    printf("| fault of the new version | requests/s at the peak | trips | "
           "seeds | taken back | by a trip | end, s after the fault: median | "
           "95 in 100 | failed requests on it: median | 95 in 100 | its share "
           "before the end |\n| --- | --- | --- | --- | --- | --- | --- | --- "
           "| --- | --- | --- |\n");
    for (size_t r = 0; r < sizeof(rates) / sizeof(rates[0]); r++) {
        int good = rates[r] > 50 ? 300 : 2000;
        bench_move(FAULT_NONE, rates[r], good, false);
        bench_move(FAULT_NONE, rates[r], good, true);
        for (int fault = FAULT_NONE + 1; fault < FAULT_KINDS; fault++) {
            bench_move((enum move_fault)fault, rates[r], 200, false);
            bench_move((enum move_fault)fault, rates[r], 200, true);
        }
    }
    printf("\n");
}

static void
bench_hosts(void)
{
    const struct ft_ops *ops[] = {Ft_Spread(), Ft_AllOnDemand(),
                                  Ft_CheapestOnly()};
    printf("| plan | cost a day | requests above the capacity | on-demand "
           "host hours | releases with work in flight |\n"
           "| --- | --- | --- | --- | --- |\n");
    for (size_t i = 0; i < sizeof(ops) / sizeof(ops[0]); i++) {
        struct fleet_result sum = {0};
        for (int seed = 1; seed <= SEEDS; seed++) {
            struct fleet_result result;
            Fleet_Run(ops[i], (uint64_t)seed, 7, &result);
            sum.cost += result.cost / SEEDS;
            sum.uncovered += result.uncovered / SEEDS;
            sum.on_demand += result.on_demand / SEEDS;
            sum.cut_off += result.cut_off;
        }
        printf("| %s | %.0f | %.3f%% | %.1f%% | %d |\n", ops[i]->name,
               sum.cost, sum.uncovered * 100, sum.on_demand * 100,
               sum.cut_off);
    }
    printf("\n");
}

static double
seconds(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void
print_cost(const char *what, double started_at, int times)
{
    printf("| %s | %.2f |\n", what, (seconds() - started_at) * 1e6 / times);
}

static void
cost_choose(int endpoints)
{
    struct ch_settings settings;
    struct rn_random random;
    Ch_Defaults(&settings);
    Rn_Seed(&random, 1);
    struct ch_table *table = Ch_Create("a", Ch_Predictive(), &settings);
    for (int i = 0; i < endpoints; i++) {
        struct ch_info info = {.slots = 8};
        struct ch_sample sample = {4, 0, 200, 1000000};
        snprintf(info.id, sizeof(info.id), "endpoint-%d", i);
        Ch_Put(table, &info);
        Ch_Report(table, info.id, &sample);
    }
    const int times = 20000;
    double started_at = seconds();
    for (int i = 0; i < times; i++) {
        struct ch_request request = {.prefix = (uint64_t)i % 97 + 1};
        struct ch_flight flight;
        int64_t now = 2000000 + i * INT64_C(250);
        if (Ch_Choose(table, &request, now, &random, &flight) == ST_OK) {
            Ch_Start(table, &flight, now);
            Ch_FirstToken(table, &flight, now);
            Ch_End(table, &flight, CH_GOOD, now);
        }
    }
    char what[80];
    snprintf(what, sizeof(what), "a request's choice among %d endpoints",
             endpoints);
    print_cost(what, started_at, times);
    Ch_Destroy(table);
}

static void
cost_limits(int peers, int customers)
{
    struct am_limits *limits = Am_Create("self");
    struct am_demand demand = {"customer-0", 3, 2, -1};
    char name[32];
    for (int i = 0; i < customers; i++) {
        snprintf(name, sizeof(name), "customer-%d", i);
        Am_SetCustomer(limits, name, 100, 20);
    }
    for (int i = 0; i < peers; i++) {
        snprintf(name, sizeof(name), "daemon-%d", i);
        Am_ReceiveDemands(limits, name, &demand, 1, 1000000);
    }
    const int times = 200;
    double started_at = seconds();
    for (int i = 0; i < times; i++) {
        struct am_share share;
        struct am_demand out[1];
        Am_Publish(limits, 2000000, out, 1);
        for (int c = 0; c < customers; c++) {
            snprintf(name, sizeof(name), "customer-%d", c);
            Am_Share(limits, name, 2000000 + i, &share);
        }
    }
    char what[96];
    snprintf(what, sizeof(what),
             "all shares anew, %d daemons, %d customers (each %lld ms)", peers,
             customers, (long long)Am_PublishInterval(limits) / 1000);
    print_cost(what, started_at, times);
    Am_Destroy(limits);
}

static void
cost_queue(void)
{
    struct qu_settings settings;
    Qu_Defaults(&settings);
    struct qu_queue *queue = Qu_Create(&settings);
    const int length = 1000;
    const int rounds = 20;
    struct qu_item *items = calloc((size_t)length, sizeof(*items));
    double started_at = seconds();
    for (int round = 0; round < rounds; round++) {
        for (int i = 0; i < length; i++) {
            struct qu_refusal refusal;
            char name[16];
            snprintf(name, sizeof(name), "c%d", i % 20);
            items[i] = (struct qu_item){.deadline = 1000000000 + i % 13};
            Qu_Push(queue, name, &items[i], 1e6, 1000, &refusal);
        }
        while (Qu_Pop(queue, 2000) != NULL) {
        }
    }
    print_cost("an item through a queue of up to 1000, 20 customers",
               started_at, length * rounds);
    Qu_Destroy(queue);
    free(items);
}

static void
cost_evidence(int routers)
{
    struct mv_evidence *evidence = Mv_EvidenceCreate(0.01);
    struct mv_cell cells[8] = {0};
    for (int i = 0; i < 8; i++) {
        snprintf(cells[i].route, sizeof(cells[i].route), "/r%d", i);
        cells[i].count[MV_OLD] = 20;
        cells[i].count[MV_NEW] = 1;
        cells[i].first_token[MV_OLD][20] = 20;
        cells[i].first_token[MV_NEW][20] = 1;
    }
    const int times = 100;
    double started_at = seconds();
    for (int i = 1; i <= times; i++) {
        for (int r = 0; r < routers; r++) {
            char id[16];
            snprintf(id, sizeof(id), "r%d", r);
            Mv_Merge(evidence, id, (uint64_t)i, cells, 8);
        }
        Mv_CloseBlock(evidence);
    }
    char what[80];
    snprintf(what, sizeof(what),
             "a block of evidence, %d routers, 8 cells (each 10 s)", routers);
    print_cost(what, started_at, times);
    Mv_EvidenceDestroy(evidence);
}

static void
bench_cost(void)
{
    printf("| decision | us of processor time |\n| --- | --- |\n");
    cost_choose(18);
    cost_choose(100);
    cost_choose(740);
    cost_limits(6, 5);
    cost_limits(420, 50);
    cost_queue();
    cost_evidence(7);
    cost_evidence(420);
    printf("\n| state | bytes |\n| --- | --- |\n");
    printf("| an endpoint in a table | %zu |\n", sizeof(struct ch_endpoint));
    printf("| a customer's limits | %zu |\n", sizeof(struct am_customer));
    printf("| a daemon known | %zu |\n", sizeof(struct am_peer));
    printf("| a demand heard | %zu |\n", sizeof(struct am_peer_demand));
    printf("| an item queued | %zu |\n", sizeof(struct qu_item));
    printf("| a report's cell of a move | %zu |\n", sizeof(struct mv_cell));
    printf("| a move | %zu |\n\n", sizeof(struct mv_move));
}

struct benchmark {
    const char *name;
    void (*run)(void);
};

static const struct benchmark benchmarks[] = {
    {"choice", bench_choice}, {"streams", bench_streams},
    {"moves", bench_moves},   {"outages", bench_outages},
    {"trips", bench_trips},   {"hosts", bench_hosts},
    {"cost", bench_cost},
};

int
main(int argc, char **argv)
{
    int ran = 0;
    for (size_t i = 0; i < sizeof(benchmarks) / sizeof(benchmarks[0]); i++) {
        if (argc < 2 || strcmp(argv[1], benchmarks[i].name) == 0) {
            benchmarks[i].run();
            ran++;
        }
    }
    if (ran == 0) {
        fprintf(stderr, "policy_bench: no benchmark named %s\n", argv[1]);
        return 1;
    }
    return 0;
}
