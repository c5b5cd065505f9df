/*
 * Stand-in for the administration ports of some daemons: the real
 * administration API over one log in memory.  For tests of cornelctl.
 */
#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "gate/admin.h"

#define DAEMONS_MAX 16
#define RECORDS_MAX 1024
#define TICK_USEC (5 * Ck_USEC_PER_MSEC)
#define VERDICT_USEC (300 * Ck_USEC_PER_MSEC)

enum key {
    KEY_DAEMONS = 256,
    KEY_STUCK,
    KEY_BLIND_MS,
    KEY_BOOTSTRAP,
};

struct options {
    int daemons;
    int stuck;          /* daemons, from the last, that read nothing */
    int64_t blind_usec; /* after the first append nobody reads so long */
    const char *bootstrap_digest;
};

static const struct argp_option option_list[] = {
    {"daemons", KEY_DAEMONS, "N", 0, "how many", 0},
    {"stuck", KEY_STUCK, "N", 0, "how many, from the last, do not read", 0},
    {"blind-ms", KEY_BLIND_MS, "MS", 0, "no reads after the first append", 0},
    {"bootstrap-digest", KEY_BOOTSTRAP, "HEX", 0, "of the first key", 0},
    {0},
};

struct bench;

struct daemon {
    struct bench *bench;
    struct sc_state *state;
    struct ad_admin *admin;
    char name[16];
};

struct append {
    ad_appended_fn appended;
    void *ticket;
};

struct bench {
    struct lp_loop *loop;
    struct lp_timer *timer;
    struct options options;
    struct daemon daemons[DAEMONS_MAX];
    char *records[RECORDS_MAX];
    size_t count;
    struct append waiting[RECORDS_MAX];
    size_t waiting_count;
    int64_t blind_until;
};

static const struct sc_state *
sections(void *arg)
{
    return ((struct daemon *)arg)->state;
}

static enum st_status
append(void *arg, const char *kind, json_t *body, ad_appended_fn appended,
       void *ticket)
{
    struct bench *bench = ((struct daemon *)arg)->bench;
    if (bench->count == RECORDS_MAX || bench->waiting_count == RECORDS_MAX) {
        return St_Fail(ST_OVERLOAD, "the stand-in's log is full: restart it");
    }
    if (bench->count == 0) {
        bench->blind_until = Ck_Now(Ck_System()) + bench->options.blind_usec;
    }
    bench->records[bench->count++] = json_dumps(body, JSON_COMPACT);
    bench->waiting[bench->waiting_count].appended = appended;
    bench->waiting[bench->waiting_count++].ticket = ticket;
    return ST_OK;
}

static json_t *
status(void *arg)
{
    struct daemon *self = arg;
    struct bench *bench = self->bench;
    json_t *daemons = json_array();
    for (int i = 0; i < bench->options.daemons; i++) {
        const struct daemon *daemon = &bench->daemons[i];
        json_array_append_new(daemons,
                              json_pack("{s:s, s:s, s:s, s:I}", "node",
                                        daemon->name, "address", "127.0.0.1",
                                        "state", "live", "config_offset",
                                        (json_int_t)Sc_Offset(daemon->state)));
    }
    return json_pack(
        "{s:s, s:b, s:{s:I, s:I}, s:o}", "node", self->name, "ready", 1,
        "config", "offset", (json_int_t)Sc_Offset(self->state), "in_force",
        (json_int_t)Sc_Config(self->state)->offset, "daemons", daemons);
}

static char *
metrics(void *arg)
{
    return strdup("");
}

static bool
ready(void *arg, const char **why)
{
    return true;
}

static const struct ad_ops admin_ops = {sections, append, status, metrics,
                                        ready};

static void
read_log(struct daemon *daemon)
{
    struct bench *bench = daemon->bench;
    for (uint64_t at = Sc_Offset(daemon->state); at < bench->count; at++) {
        if (Sc_Apply(daemon->state, at + 1, bench->records[at]) != ST_OK) {
            abort();
        }
    }
    Ad_AnswerVerdicts(daemon->admin);
}

static void
on_tick(void *arg)
{
    struct bench *bench = arg;
    size_t ended = bench->waiting_count;
    bench->waiting_count = 0;
    for (size_t i = 0; i < ended; i++) {
        bench->waiting[i].appended(bench->waiting[i].ticket, ST_UNKNOWN);
    }
    int reading = bench->options.daemons - bench->options.stuck;
    bool blind = Ck_Now(Ck_System()) < bench->blind_until;
    for (int i = 0; i < reading && !blind; i++) {
        read_log(&bench->daemons[i]);
    }
    Lp_TimerSet(bench->timer, TICK_USEC);
}

static void
create_daemon(struct bench *bench, int i)
{
    struct daemon *daemon = &bench->daemons[i];
    daemon->bench = bench;
    snprintf(daemon->name, sizeof(daemon->name), "n%d", i + 1);
    struct ad_options options = {
        .address = "127.0.0.1",
        .bootstrap_digest = bench->options.bootstrap_digest,
        .verdict_usec = VERDICT_USEC,
        .ops = &admin_ops,
        .arg = daemon,
    };
    if (Sc_Create(&daemon->state) != ST_OK ||
        Ad_Create(bench->loop, &options, &daemon->admin) != ST_OK) {
        fprintf(stderr, "standin_daemons: %s\n", St_Message());
        exit(1);
    }
    printf(" admin%d=%d", i + 1, Ad_Port(daemon->admin));
}

static error_t
parse(int key, char *text, struct argp_state *state)
{
    struct options *options = state->input;
    switch (key) {
    case KEY_DAEMONS:
        options->daemons = (int)strtol(text, NULL, 10);
        break;
    case KEY_STUCK:
        options->stuck = (int)strtol(text, NULL, 10);
        break;
    case KEY_BLIND_MS:
        options->blind_usec = strtoll(text, NULL, 10) * Ck_USEC_PER_MSEC;
        break;
    case KEY_BOOTSTRAP:
        options->bootstrap_digest = text;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static const struct argp argp = {
    .options = option_list,
    .parser = parse,
    .doc = "Stand-in for the administration ports of daemons.",
};

int
main(int argc, char **argv)
{
    static struct bench bench;
    bench.options.daemons = 2;
    if (argp_parse(&argp, argc, argv, 0, NULL, &bench.options) != 0 ||
        bench.options.daemons < 1 || bench.options.daemons > DAEMONS_MAX ||
        Lp_Create(&bench.loop) != ST_OK) {
        return 2;
    }
    printf("ready");
    for (int i = 0; i < bench.options.daemons; i++) {
        create_daemon(&bench, i);
    }
    putchar('\n');
    fflush(stdout);
    bench.timer = Lp_TimerCreate(bench.loop, on_tick, &bench);
    Lp_TimerSet(bench.timer, TICK_USEC);
    Lp_Run(bench.loop);
    return 0;
}
