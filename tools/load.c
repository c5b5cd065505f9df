/*
 * An open-loop load generator for callers' ports: requests are sent at the
 * arrival times of a Poisson process, however slow the answers are.  Prints
 * the report as one JSON object.
 */
#include <argp.h>
#include <bsd/string.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "tools/load_call.h"

enum key {
    KEY_TO = 256,
    KEY_KEY,
    KEY_RATE,
    KEY_PATIENT_RATE,
    KEY_CHARGE_RATE,
    KEY_STREAM_SHARE,
    KEY_REPEAT_SHARE,
    KEY_REPEAT_MS,
    KEY_SECONDS,
    KEY_GRACE_SECONDS,
    KEY_DEADLINE_MS,
    KEY_SEED,
    KEY_PREFIXES,
    KEY_PREFIX_BYTES,
    KEY_TOKENS_MIN,
    KEY_TOKENS_MAX,
    KEY_MODEL,
    KEY_CHARGE_PATH,
};

static const struct argp_option option_list[] = {
    {"to", KEY_TO, "IP:PORT", 0, "a callers' port; may be repeated", 0},
    {"key", KEY_KEY, "KEY", 0, "a customer's key; may be repeated", 0},
    {"rate", KEY_RATE, "N", 0, "urgent completions a second", 0},
    {"patient-rate", KEY_PATIENT_RATE, "N", 0, "patient ones a second", 0},
    {"charge-rate", KEY_CHARGE_RATE, "N", 0, "keyed charges a second", 0},
    {"stream-share", KEY_STREAM_SHARE, "F", 0, "share that is streamed", 0},
    {"repeat-share", KEY_REPEAT_SHARE, "F", 0,
     "share of charges sent again elsewhere", 0},
    {"repeat-ms", KEY_REPEAT_MS, "MS", 0, "longest wait before that", 0},
    {"seconds", KEY_SECONDS, "F", 0, "how long load is given", 0},
    {"grace-seconds", KEY_GRACE_SECONDS, "F", 0, "wait for answers", 0},
    {"deadline-ms", KEY_DEADLINE_MS, "MS", 0, "deadline of completions", 0},
    {"seed", KEY_SEED, "N", 0, "seed of everything random", 0},
    {"prefixes", KEY_PREFIXES, "N", 0, "shared beginnings of prompts", 0},
    {"prefix-bytes", KEY_PREFIX_BYTES, "N", 0, "length of these", 0},
    {"tokens-min", KEY_TOKENS_MIN, "N", 0, "shortest answer", 0},
    {"tokens-max", KEY_TOKENS_MAX, "N", 0, "longest answer", 0},
    {"model", KEY_MODEL, "NAME", 0, "service of the completions", 0},
    {"charge-path", KEY_CHARGE_PATH, "PATH", 0, "path of the charges", 0},
    {0},
};

struct arrivals {
    struct load *load;
    enum ld_class class_index;
    struct lp_timer *timer;
    int64_t next_at;
};

struct load {
    struct ld_load shared;
    struct arrivals arrivals[LD_CLASSES];
    struct lp_timer *end_timer;
    int64_t started_at;
    bool ending;
};

static int64_t
to_usec(const char *text, int64_t unit)
{
    return (int64_t)(strtod(text, NULL) * (double)unit);
}

static error_t
add_target(struct ld_plan *plan, const char *text)
{
    const char *colon = strrchr(text, ':');
    if (colon == NULL || colon - text >= Ld_ADDRESS_MAX ||
        plan->target_count == Ld_TARGETS_MAX) {
        return EINVAL;
    }
    struct ld_target *target = &plan->targets[plan->target_count++];
    memcpy(target->address, text, (size_t)(colon - text));
    target->address[colon - text] = '\0';
    target->port = (int)strtol(colon + 1, NULL, 10);
    return 0;
}

static error_t
add_key(struct ld_plan *plan, const char *text)
{
    if (plan->key_count == Ld_KEYS_MAX) {
        return EINVAL;
    }
    plan->keys[plan->key_count++] = text;
    return 0;
}

static error_t
parse_prompts(int key, char *text, struct ld_plan *plan)
{
    switch (key) {
    case KEY_SEED:
        plan->seed = strtoull(text, NULL, 10);
        break;
    case KEY_PREFIXES:
        plan->prefixes = (int)strtol(text, NULL, 10);
        break;
    case KEY_PREFIX_BYTES:
        plan->prefix_bytes = (int)strtol(text, NULL, 10);
        break;
    case KEY_TOKENS_MIN:
        plan->tokens_min = (int)strtol(text, NULL, 10);
        break;
    case KEY_TOKENS_MAX:
        plan->tokens_max = (int)strtol(text, NULL, 10);
        break;
    case KEY_MODEL:
        plan->model = text;
        break;
    case KEY_CHARGE_PATH:
        plan->charge_path = text;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static error_t
parse_times(int key, char *text, struct ld_plan *plan)
{
    switch (key) {
    case KEY_REPEAT_MS:
        plan->retry_delay_usec = to_usec(text, Ck_USEC_PER_MSEC);
        break;
    case KEY_SECONDS:
        plan->duration_usec = to_usec(text, Ck_USEC_PER_SEC);
        break;
    case KEY_GRACE_SECONDS:
        plan->grace_usec = to_usec(text, Ck_USEC_PER_SEC);
        break;
    case KEY_DEADLINE_MS:
        plan->deadline_msec = strtoll(text, NULL, 10);
        break;
    default:
        return parse_prompts(key, text, plan);
    }
    return 0;
}

static error_t
parse(int key, char *text, struct argp_state *state)
{
    struct ld_plan *plan = state->input;
    switch (key) {
    case KEY_TO:
        return add_target(plan, text);
    case KEY_KEY:
        return add_key(plan, text);
    case KEY_RATE:
        plan->rates[LD_URGENT] = strtod(text, NULL);
        break;
    case KEY_PATIENT_RATE:
        plan->rates[LD_PATIENT] = strtod(text, NULL);
        break;
    case KEY_CHARGE_RATE:
        plan->rates[LD_CHARGE] = strtod(text, NULL);
        break;
    case KEY_STREAM_SHARE:
        plan->stream_share = strtod(text, NULL);
        break;
    case KEY_REPEAT_SHARE:
        plan->retry_share = strtod(text, NULL);
        break;
    case ARGP_KEY_END:
        if (plan->target_count == 0 || plan->prefixes < 1 ||
            plan->tokens_min < 1 || plan->tokens_max < plan->tokens_min) {
            argp_error(state, "name a target with --to; keep the numbers of "
                              "prefixes and tokens above 0 and in order");
        }
        break;
    default:
        return parse_times(key, text, plan);
    }
    return 0;
}

static const struct argp argp = {
    .options = option_list,
    .parser = parse,
    .doc = "Gives load to callers' ports and reports what came of it.",
};

/* Returns the microseconds to the next arrival of a Poisson process. */
static int64_t
next_interval(struct ld_load *load, enum ld_class class_index)
{
    double wait = -log(1 - Rn_Unit(&load->random));
    return (int64_t)(wait * Ck_USEC_PER_SEC / load->plan.rates[class_index]);
}

static void
send_due(void *arg)
{
    struct arrivals *arrivals = arg;
    struct load *load = arrivals->load;
    struct ld_load *shared = &load->shared;
    int64_t now = Ck_Now(Ck_System());
    if (load->ending) {
        return;
    }
    while (arrivals->next_at <= now) {
        int64_t late = now - arrivals->next_at;
        if (late > shared->stats.most_late_usec) {
            shared->stats.most_late_usec = late;
        }
        if (arrivals->class_index == LD_CHARGE) {
            Ld_SendCharge(shared);
        }
        else {
            Ld_SendCompletion(shared, arrivals->class_index);
        }
        arrivals->next_at += next_interval(shared, arrivals->class_index);
    }
    Lp_TimerSet(arrivals->timer, arrivals->next_at - now);
}

static void
stop_when_idle(struct ld_load *shared)
{
    struct load *load = (struct load *)shared;
    if (load->ending && shared->open_count == 0 &&
        shared->pending_retries == 0) {
        Lp_Stop(shared->loop);
    }
}

/*
 * Stops sending requests, and fires a second time at the end of the grace time
 * to stop the run.
 */
static void
end_fired(void *arg)
{
    struct load *load = arg;
    if (load->ending) {
        Lp_Stop(load->shared.loop);
        return;
    }
    load->ending = true;
    load->shared.stats.loaded_usec = Ck_Now(Ck_System()) - load->started_at;
    Lp_TimerSet(load->end_timer, load->shared.plan.grace_usec);
    stop_when_idle(&load->shared);
}

static void
load_open(struct load *load)
{
    struct ld_load *shared = &load->shared;
    Ld_StatsInit(&shared->stats);
    Rn_Seed(&shared->random, shared->plan.seed);
    LIST_INIT(&shared->open);
    shared->call_ended = stop_when_idle;
    load->started_at = Ck_Now(Ck_System());
    load->end_timer = Lp_TimerCreate(shared->loop, end_fired, load);
    Lp_TimerSet(load->end_timer, shared->plan.duration_usec);
    for (int i = 0; i < LD_CLASSES; i++) {
        struct arrivals *arrivals = &load->arrivals[i];
        arrivals->load = load;
        arrivals->class_index = (enum ld_class)i;
        arrivals->timer = Lp_TimerCreate(shared->loop, send_due, arrivals);
        if (shared->plan.rates[i] > 0) {
            int64_t wait = next_interval(shared, arrivals->class_index);
            arrivals->next_at = load->started_at + wait;
            Lp_TimerSet(arrivals->timer, wait);
        }
    }
}

static void
load_close(struct load *load)
{
    Ld_CancelAll(&load->shared);
    Lp_TimerDestroy(load->end_timer);
    for (int i = 0; i < LD_CLASSES; i++) {
        Lp_TimerDestroy(load->arrivals[i].timer);
    }
    json_t *report = Ld_Report(&load->shared.stats);
    json_dumpf(report, stdout, JSON_INDENT(2) | JSON_REAL_PRECISION(6));
    printf("\n");
    json_decref(report);
    Ld_StatsFree(&load->shared.stats);
    Lp_Destroy(load->shared.loop);
}

int
main(int argc, char **argv)
{
    static struct load load = {
        .shared.plan =
            {
                .stream_share = 0.8,
                .retry_share = 0.2,
                .retry_delay_usec = 50 * Ck_USEC_PER_MSEC,
                .duration_usec = 10 * Ck_USEC_PER_SEC,
                .grace_usec = 30 * Ck_USEC_PER_SEC,
                .seed = 1,
                .prefixes = 16,
                .prefix_bytes = 512,
                .tokens_min = 8,
                .tokens_max = 64,
                .model = "assistant",
                .charge_path = "/box-office/charge",
            },
    };
    if (argp_parse(&argp, argc, argv, 0, NULL, &load.shared.plan) != 0) {
        return 2;
    }
    if (Lp_Create(&load.shared.loop) != ST_OK) {
        fprintf(stderr, "cgload: %s\n", St_Message());
        return 1;
    }
    load_open(&load);
    Lp_Run(load.shared.loop);
    load_close(&load);
    return 0;
}
