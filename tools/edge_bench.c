/*
 * Measures the processor time of a daemon's load gossip and of its choice of
 * an endpoint, without sockets; prints the least of several rounds.  The
 * digest covers all speeds, messages and choices: a change that only saves
 * time keeps it.
 */
#include <arpa/inet.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/exchange.h"
#include "edge/health.h"
#include "edge/mesh_internal.h"
#include "edge/peers_internal.h"

#define ROUNDS 20
#define CHOICES 50 /* in a round */
#define SERVICES 4 /* the last one is plain */
#define ZONES 4
#define ROWS 30 /* of a daemon's message */
#define SUMMARY_ROWS 400

/* FILL is the part of SEND that fills the load rows. */
enum part { RECEIVE, SUM, FILL, SEND, CHOOSE, PARTS };

struct bench {
    struct ck_clock clock;
    int64_t now;
    struct rn_random random;
    struct nd_node node;
    struct ms_mesh mesh;
    struct ga_gate gate;
    struct ec_service services[SERVICES];
    struct ec_route route;
    uint32_t endpoints;
    uint32_t hosts;
    uint64_t digest;
    double fill_used;    /* in this round */
    double least[PARTS]; /* seconds in a round */
    struct ms_message message;
};

/* Simulated, but as slow as the system's clock. */
static void
read_clock(const struct ck_clock *clock, struct timespec *now)
{
    const struct bench *bench = clock->context;
    clock_gettime(CLOCK_BOOTTIME, now);
    now->tv_sec = bench->now / Ck_USEC_PER_SEC;
    now->tv_nsec = bench->now % Ck_USEC_PER_SEC * 1000;
}

static const struct ck_ops clock_ops = {read_clock, read_clock};

static double
seconds(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void
note(struct bench *bench, enum part part, double used)
{
    bench->least[part] = fmin(bench->least[part], used);
}

static void
digest(struct bench *bench, const void *data, size_t len)
{
    bench->digest = Hash_Bytes(data, len, bench->digest);
}

static void
fill(void *arg, struct ms_message *message)
{
    struct bench *bench = arg;
    double started = seconds();
    pe_fill_loads(&bench->gate, message);
    bench->fill_used += seconds() - started;
    message->rate_count = De_LocalRates(bench->gate.demand, message->rates);
}

static void
summarize(void *arg, struct ms_message *message)
{
    struct bench *bench = arg;
    double started = seconds();
    pe_fill_zone_loads(&bench->gate, message);
    bench->fill_used += seconds() - started;
    digest(bench, message->loads,
           message->load_count * sizeof(message->loads[0]));
}

static const struct ms_ops mesh_ops = {.fill = fill, .summarize = summarize};

static struct fl_endpoint *
pick_endpoint(struct bench *bench)
{
    return Fl_Endpoints(bench->gate.fleet)
        ->list[Rn_Below(&bench->random, bench->endpoints)];
}

static void
set_up(struct bench *bench)
{
    struct ga_gate *gate = &bench->gate;
    gate->options.clock = bench->mesh.clock = &bench->clock;
    gate->options.node = bench->mesh.node = &bench->node;
    gate->fleet = Fl_Create(&bench->clock);
    gate->demand = De_Create(&bench->clock);
    gate->zones = Zn_Create(&bench->clock);
    gate->prefixes = Px_Create();
    gate->moves = Ro_Create(&bench->clock, 1);
    gate->work = Wk_Create();
    gate->mesh = &bench->mesh;
    strcpy(bench->node.zone, "zone-0");
    strcpy(bench->node.ip, "10.1.0.0");
    bench->mesh.ops = &mesh_ops;
    bench->mesh.arg = bench;
    bench->mesh.fd = -1; /* datagrams are built, and not sent */
    TAILQ_INIT(&bench->mesh.peers);
    bench->route.latency_target_usec = 400 * Ck_USEC_PER_MSEC;
    for (int i = 0; i < SERVICES; i++) {
        struct ec_service *service = &bench->services[i];
        snprintf(service->name, sizeof(service->name), "model-%d", i);
        service->engine = i + 1 < SERVICES;
        service->least_target_usec = bench->route.latency_target_usec;
        De_RecordSent(gate->demand, service->name, 2000, false);
        De_RecordFirstByte(gate->demand, service->name, 2000, 30000);
    }
    for (uint32_t i = 0; i < bench->endpoints; i++) {
        struct fl_entry entry = {.slots = 12, .started_ms = 1};
        snprintf(entry.id, sizeof(entry.id), "endpoint-%u", i);
        snprintf(entry.service, sizeof(entry.service), "%s",
                 bench->services[i % SERVICES].name);
        snprintf(entry.zone, sizeof(entry.zone), "zone-%u", i / 7 % ZONES);
        Fl_Apply(gate->fleet, &entry);
        struct fl_endpoint *endpoint = Fl_Find(gate->fleet, entry.id);
        endpoint->measured_speed.own_at =
            bench->now - Rn_Below(&bench->random, 60 * Ck_USEC_PER_SEC);
        endpoint->measured_speed.own =
            (struct sd_estimate){Rn_Unit(&bench->random) - 0.5, 12};
        endpoint->service->pace.samples = 100;
        endpoint->service->event_tokens = 9;
    }
}

/* What requests change between two ticks. */
static void
change(struct bench *bench)
{
    for (int i = 0; i < ROWS; i++) {
        struct fl_endpoint *endpoint = pick_endpoint(bench);
        endpoint->running = (int)Rn_Below(&bench->random, 3);
        endpoint->prefill_tokens = Rn_Below(&bench->random, 4000);
        endpoint->output_tokens = Rn_Below(&bench->random, 400);
        endpoint->measured_speed.own_at = bench->now;
        He_NoteFirstByte(endpoint, Rn_Below(&bench->random, 500000),
                         bench->now);
        He_Note(endpoint, i == 0 ? HE_BROKE : HE_SERVED, bench->now);
    }
}

static void
make_message(struct bench *bench, uint32_t run, struct ms_message *message)
{
    memset(message, 0, sizeof(*message));
    message->summary = bench->hosts > Ms_SUMMARY_MIN_DAEMONS && run < ZONES;
    message->run = run;
    message->up_usec = bench->now;
    snprintf(message->zone, sizeof(message->zone), "zone-%u", run % ZONES);
    snprintf(message->ip, sizeof(message->ip), "10.1.%u.%u", run / 200,
             run % 200 + 1);
    message->load_count = message->summary ? SUMMARY_ROWS : ROWS;
    for (size_t i = 0; i < message->load_count; i++) {
        message->loads[i] = (struct ms_load){
            .endpoint = pick_endpoint(bench)->hash,
            .requests = 1,
            .prefill_tokens = Rn_Below(&bench->random, 4000),
            .output_tokens = Rn_Below(&bench->random, 400),
            .speed_log2 = Rn_Unit(&bench->random) - 0.5,
            .speed_samples = (int)Rn_Below(&bench->random, 20)};
    }
    message->rate_count = SERVICES;
    for (int i = 0; i < SERVICES; i++) {
        message->rates[i] =
            (struct de_rate){.service = De_Hash(bench->services[i].name),
                             .requests_per_sec = Rn_Unit(&bench->random) * 4,
                             .prompt_tokens_per_sec = 20000};
    }
}

/* Receives a message of each other daemon, or of its data centre. */
static void
receive_all(struct bench *bench)
{
    static struct ms_message out;
    double used = 0;
    for (uint32_t run = 1; run < bench->hosts; run++) {
        char data[Ms_DATAGRAM_MAX];
        make_message(bench, run, &bench->message);
        size_t len = Ms_Encode(&bench->message, data, sizeof(data));
        Ms_AddPeer(&bench->mesh, bench->message.ip);
        double started = seconds();
        if (!Ms_Decode(data, len, &out)) {
            abort();
        }
        if (out.summary) {
            Zn_ApplySummary(bench->gate.zones, &out, NULL, NULL);
        }
        const struct ms_peer *peer = Ms_Find(&bench->mesh, inet_addr(out.ip));
        ms_apply_message(&bench->mesh, (struct ms_peer *)peer, &out);
        used += seconds() - started;
    }
    note(bench, RECEIVE, used);
}

static void
choose(struct bench *bench, struct xc_exchange *exchange)
{
    struct xc_target target = {0};
    exchange->service = &bench->services[Rn_Below(&bench->random, SERVICES)];
    snprintf(exchange->info.id, sizeof(exchange->info.id), "request-%u",
             Rn_Below(&bench->random, UINT32_MAX));
    for (size_t i = 0; i < exchange->info.part_count; i++) {
        exchange->info.parts[i].id = Rn_Below(&bench->random, 20);
    }
    if (Xc_Choose(exchange, &target) == PL_CHOSEN) {
        digest(bench, target.endpoint->entry.id, 16);
        digest(bench, &target.expected_usec, sizeof(target.expected_usec));
        Px_NoteSent(bench->gate.prefixes, &exchange->info,
                    target.endpoint->hash, bench->now);
        target.endpoint->running++;
        target.endpoint->prefill_tokens += target.prefill_tokens;
    }
}

static void
run_round(struct bench *bench)
{
    struct xc_exchange exchange = {.gate = &bench->gate,
                                   .route = &bench->route};
    exchange.info.tokens_in = 3000;
    exchange.info.part_count = 3;
    exchange.info.parts[0].tokens = exchange.info.parts[1].tokens = 900;
    bench->now += Ms_TICK_USEC;
    bench->gate.ticks++;
    receive_all(bench);
    change(bench);
    struct ms_peer *peer;
    TAILQ_FOREACH (peer, &bench->mesh.peers, link) {
        peer->due_at = peer->summary_due_at = 0; /* all messages are built */
    }
    bench->fill_used = 0;
    double started = seconds();
    Ms_Tick(&bench->mesh);
    note(bench, SEND, seconds() - started);
    note(bench, FILL, bench->fill_used);
    struct ms_message *message = &bench->message;
    memset(message, 0, sizeof(*message));
    pe_fill_loads(&bench->gate, message);
    digest(bench, message->loads,
           message->load_count * sizeof(message->loads[0]));
    started = seconds();
    pe_sum_loads(&bench->gate);
    note(bench, SUM, seconds() - started);
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(bench->gate.fleet), link) {
        digest(bench, &endpoint->speed, sizeof(endpoint->speed));
        digest(bench, &endpoint->peers_output_tokens, sizeof(int64_t));
    }
    exchange.arrived_at = bench->now;
    started = seconds();
    for (int i = 0; i < CHOICES; i++) {
        choose(bench, &exchange);
    }
    note(bench, CHOOSE, seconds() - started);
}

int
main(void)
{
    static const uint32_t sizes[][2] = {{300, 3000}, {81, 112}, {8, 13}};
    printf("microseconds: a message received; in a tick: loads summed, load "
           "rows filled, all sent; a choice\n");
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        struct bench *bench = calloc(1, sizeof(*bench));
        if (bench == NULL) {
            return 1;
        }
        bench->clock = (struct ck_clock){&clock_ops, bench};
        bench->now = 1000 * Ck_USEC_PER_SEC;
        bench->hosts = sizes[i][0];
        bench->endpoints = sizes[i][1];
        Rn_Seed(&bench->random, 1);
        for (int part = 0; part < PARTS; part++) {
            bench->least[part] = INFINITY;
        }
        set_up(bench);
        for (int round = 0; round < ROUNDS; round++) {
            run_round(bench);
        }
        printf("%u hosts, %u endpoints: %.2f %.1f %.1f %.1f %.2f digest "
               "%016llx\n",
               bench->hosts, bench->endpoints,
               bench->least[RECEIVE] * 1e6 / (bench->hosts - 1),
               bench->least[SUM] * 1e6, bench->least[FILL] * 1e6,
               bench->least[SEND] * 1e6, bench->least[CHOOSE] * 1e6 / CHOICES,
               (unsigned long long)bench->digest);
    }
    return 0;
}
