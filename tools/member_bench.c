/*
 * Measures the cost of membership and load gossip for a daemon.  Runs nodes
 * with real sockets on loopback in one process and prints one line per run;
 * with --fit reads such lines and prints a linear least-squares fit over them.
 */
#include <argp.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "base/clock.h"
#include "member/node.h"
#include "web/loop.h"

#define UDP_IP_BYTES 28 /* of the UDP and IPv4 headers */
#define PUBLISH_INTERVAL_USEC (20 * Ck_USEC_PER_MSEC)
#define LOAD_TTL_USEC (30 * Ck_USEC_PER_SEC)
#define LOAD_REPUBLISH_USEC (10 * Ck_USEC_PER_SEC)
#define LOAD_BYTES 12
#define JOIN_LIMIT_USEC (120 * Ck_USEC_PER_SEC)
#define FIT_TERMS 4 /* constant, daemons, endpoints, changes */
#define LINES_MAX 256

struct settings {
    int nodes;
    int data_centres;
    int endpoints;
    double changes; /* a second, over all data centres */
    int seconds;
    int warm_sec; /* seconds between the join and the measurement */
    bool fit;
};

struct totals {
    double udp_out;
    double udp_in;
    double tcp;
    double datagrams;
    double facts_in;
    double facts_news;
    double syncs;
    double cpu_usec;
};

enum phase {
    JOINING,
    WARMING,
    MEASURING,
};

struct bench {
    struct settings settings;
    struct lp_loop *loop;
    struct lp_timer *timer;
    struct nd_node **nodes;
    enum phase phase;
    int64_t phase_usec;
    int64_t last_usec;
    double due_changes; /* changes not yet published */
    int next_endpoint;
    int64_t *published_usec; /* time of each endpoint's last publication */
    double published;
    double published_before;
    struct totals before;
    long rss_before;
    bool failed;
};

static int64_t
now_usec(void)
{
    return Ck_Now(Ck_System());
}

static long
rss_bytes(void)
{
    long size = 0;
    long resident = 0;
    FILE *file = fopen("/proc/self/statm", "r");
    if (file != NULL) {
        if (fscanf(file, "%ld %ld", &size, &resident) != 2) {
            resident = 0;
        }
        fclose(file);
    }
    return resident * sysconf(_SC_PAGESIZE);
}

static struct totals
measure(const struct bench *bench)
{
    struct totals totals = {0};
    struct rusage usage;
    for (int i = 0; i < bench->settings.nodes; i++) {
        const struct nd_counters *counters = Nd_Counters(bench->nodes[i]);
        const struct lk_counters *links =
            Lk_Counters(Nd_Links(bench->nodes[i]));
        totals.udp_out += (double)counters->bytes_out;
        totals.udp_out += (double)counters->datagrams_out * UDP_IP_BYTES;
        totals.udp_in += (double)counters->bytes_in;
        totals.udp_in += (double)counters->datagrams_in * UDP_IP_BYTES;
        totals.datagrams += (double)counters->datagrams_out;
        totals.tcp += (double)links->bytes_out;
        totals.facts_in += (double)counters->facts_in;
        totals.facts_news += (double)counters->facts_new;
        totals.syncs += (double)counters->syncs;
    }
    getrusage(RUSAGE_SELF, &usage);
    totals.cpu_usec =
        (double)usage.ru_utime.tv_sec * 1e6 + (double)usage.ru_utime.tv_usec +
        (double)usage.ru_stime.tv_sec * 1e6 + (double)usage.ru_stime.tv_usec;
    return totals;
}

/* Returns the node that publishes the endpoint, in the same data centre. */
static struct nd_node *
publisher_of(const struct bench *bench, int endpoint)
{
    const struct settings *settings = &bench->settings;
    int data_centre = endpoint % settings->data_centres;
    int members =
        (settings->nodes - data_centre - 1) / settings->data_centres + 1;
    int member = endpoint / settings->data_centres % members;
    return bench->nodes[member * settings->data_centres + data_centre];
}

static void
publish(struct bench *bench, int endpoint)
{
    char key[Fc_KEY_MAX];
    unsigned char load[LOAD_BYTES] = {0};
    snprintf(key, sizeof(key), "e/%d", endpoint);
    memcpy(load, &bench->published, sizeof(bench->published));
    struct fc_publication post = {
        .key = key,
        .scope = FC_DATA_CENTRE,
        .ttl_usec = LOAD_TTL_USEC,
        .value = load,
        .len = sizeof(load),
    };
    if (Nd_Publish(publisher_of(bench, endpoint), &post) == ST_OK) {
        bench->published++;
    }
    bench->published_usec[endpoint] = now_usec();
}

static void
publish_due(struct bench *bench, int64_t now)
{
    int endpoints = bench->settings.endpoints;
    if (bench->phase == JOINING || endpoints == 0) {
        return;
    }
    bench->due_changes += bench->settings.changes *
                          (double)(now - bench->last_usec) /
                          (double)Ck_USEC_PER_SEC;
    for (; bench->due_changes >= 1; bench->due_changes--) {
        publish(bench, bench->next_endpoint++ % endpoints);
    }
    for (int i = 0; i < endpoints; i++) {
        if (now - bench->published_usec[i] > LOAD_REPUBLISH_USEC) {
            publish(bench, i);
        }
    }
}

static bool
all_joined(const struct bench *bench)
{
    for (int i = 0; i < bench->settings.nodes; i++) {
        const struct mb_table *members = Nd_Members(bench->nodes[i]);
        if (Mb_Count(members, MB_ALIVE) != (size_t)bench->settings.nodes) {
            return false;
        }
    }
    return true;
}

static void
report(const struct bench *bench, int64_t now)
{
    const struct settings *settings = &bench->settings;
    const struct totals *before = &bench->before;
    struct totals after = measure(bench);
    double nodes = settings->nodes;
    double seconds =
        (double)(now - bench->phase_usec) / (double)Ck_USEC_PER_SEC;
    double per_node_sec = 1 / nodes / seconds;
    double centres = settings->data_centres;
    double published = bench->published - bench->published_before;
    double receivers = nodes / centres - 1;
    long memory = rss_bytes() - bench->rss_before;
    printf("%d %d %.1f %.1f ", settings->nodes, settings->data_centres,
           settings->endpoints / centres, published / centres / seconds);
    printf("%.0f %.0f %.0f ", (after.udp_out - before->udp_out) * per_node_sec,
           (after.udp_in - before->udp_in) * per_node_sec,
           (after.tcp - before->tcp) * per_node_sec);
    printf("%.2f %.4f ", (after.datagrams - before->datagrams) * per_node_sec,
           (after.cpu_usec - before->cpu_usec) * per_node_sec / 1e4);
    printf("%.0f ", (double)memory / nodes / 1024);
    printf("%.3f %.2f %.2f\n",
           published > 0 ? (after.facts_news - before->facts_news) /
                               published / receivers
                         : 0,
           after.facts_news > before->facts_news
               ? (after.facts_in - before->facts_in) /
                     (after.facts_news - before->facts_news)
               : 0,
           (after.syncs - before->syncs) / nodes);
}

static void
enter_phase(struct bench *bench, enum phase phase, int64_t now)
{
    bench->phase = phase;
    bench->phase_usec = now;
    bench->before = measure(bench);
    bench->published_before = bench->published;
}

static void
on_timer(void *arg)
{
    struct bench *bench = arg;
    int64_t now = now_usec();
    int64_t elapsed_usec = now - bench->phase_usec;
    int64_t measure_usec = bench->settings.seconds * Ck_USEC_PER_SEC;
    Lp_TimerSet(bench->timer, PUBLISH_INTERVAL_USEC);
    publish_due(bench, now);
    bench->last_usec = now;
    if (bench->phase == JOINING && all_joined(bench)) {
        fprintf(stderr, "joined after %.1f s\n", (double)elapsed_usec / 1e6);
        enter_phase(bench, WARMING, now);
    }
    else if (bench->phase == JOINING && elapsed_usec > JOIN_LIMIT_USEC) {
        fprintf(stderr, "the nodes did not join in time\n");
        bench->failed = true;
        Lp_Stop(bench->loop);
    }
    else if (bench->phase == WARMING &&
             elapsed_usec > bench->settings.warm_sec * Ck_USEC_PER_SEC) {
        enter_phase(bench, MEASURING, now);
    }
    else if (bench->phase == MEASURING && elapsed_usec > measure_usec) {
        report(bench, now);
        Lp_Stop(bench->loop);
    }
}

static enum st_status
make_node(struct bench *bench, int i)
{
    char id[Mb_ID_MAX];
    char data_centre[Mb_NAME_MAX];
    int centre = i % bench->settings.data_centres;
    snprintf(id, sizeof(id), "entry-%03d", i);
    snprintf(data_centre, sizeof(data_centre), "dc-%d", centre);
    struct nd_options options = {
        .id = id,
        .address = "127.0.0.1",
        .admin_port = 9000,
        .data_centre = data_centre,
        .region = centre % 2 == 0 ? "north" : "south",
        .cluster_key = "bench",
        .clock = Ck_System(),
        .seed = (uint64_t)i + 1,
    };
    enum st_status status = Nd_Create(bench->loop, &options, &bench->nodes[i]);
    if (status != ST_OK) {
        return status;
    }
    struct mb_endpoint seed = {.address = "127.0.0.1",
                               .port = Nd_Port(bench->nodes[0])};
    Nd_SetSeeds(bench->nodes[i], &seed, 1);
    return ST_OK;
}

static enum st_status
start(struct bench *bench)
{
    const struct settings *settings = &bench->settings;
    bench->nodes = calloc((size_t)settings->nodes, sizeof(struct nd_node *));
    bench->published_usec =
        calloc((size_t)settings->endpoints + 1, sizeof(int64_t));
    if (bench->nodes == NULL || bench->published_usec == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the nodes");
    }
    enum st_status status = Lp_Create(&bench->loop);
    if (status != ST_OK) {
        return status;
    }
    bench->rss_before = rss_bytes();
    bench->timer = Lp_TimerCreate(bench->loop, on_timer, bench);
    bench->phase_usec = now_usec();
    for (int i = 0; i < settings->nodes && status == ST_OK; i++) {
        status = make_node(bench, i);
    }
    return status;
}

static int
run(const struct settings *settings)
{
    struct bench bench = {.settings = *settings};
    if (start(&bench) == ST_OK) {
        Lp_TimerSet(bench.timer, PUBLISH_INTERVAL_USEC);
        Lp_Run(bench.loop);
    }
    else {
        fprintf(stderr, "%s\n", St_Message());
        bench.failed = true;
    }
    for (int i = 0; bench.nodes != NULL && i < settings->nodes; i++) {
        Nd_Destroy(bench.nodes[i]);
    }
    Lp_TimerDestroy(bench.timer);
    Lp_Destroy(bench.loop);
    free(bench.nodes);
    free(bench.published_usec);
    return bench.failed ? 1 : 0;
}

/* One line of results, as variables of the fit. */
struct sample {
    double x[FIT_TERMS];
    double y[5]; /* bytes out, in, datagrams, processor share, memory */
};

static size_t
read_samples(struct sample *samples, size_t max)
{
    size_t count = 0;
    char line[512];
    while (count < max && fgets(line, sizeof(line), stdin) != NULL) {
        double v[10];
        int n = sscanf(line, "%lf %lf %lf %lf %lf %lf %lf %lf %lf %lf", &v[0],
                       &v[1], &v[2], &v[3], &v[4], &v[5], &v[6], &v[7], &v[8],
                       &v[9]);
        if (n != 10) {
            continue;
        }
        struct sample *sample = &samples[count++];
        sample->x[0] = 1;
        sample->x[1] = v[0];
        sample->x[2] = v[2];
        sample->x[3] = v[3];
        sample->y[0] = v[4] + v[6];
        sample->y[1] = v[5] + v[6];
        sample->y[2] = v[7];
        sample->y[3] = v[8];
        sample->y[4] = v[9];
    }
    return count;
}

/*
 * Inverts a symmetric positive definite matrix by elimination; returns false
 * if the matrix is singular.
 */
static bool
invert(double m[FIT_TERMS][FIT_TERMS], double out[FIT_TERMS][FIT_TERMS])
{
    for (int i = 0; i < FIT_TERMS; i++) {
        for (int j = 0; j < FIT_TERMS; j++) {
            out[i][j] = i == j;
        }
    }
    for (int p = 0; p < FIT_TERMS; p++) {
        double pivot = m[p][p];
        if (fabs(pivot) < 1e-9) {
            return false;
        }
        for (int j = 0; j < FIT_TERMS; j++) {
            m[p][j] /= pivot;
            out[p][j] /= pivot;
        }
        for (int i = 0; i < FIT_TERMS; i++) {
            double factor = i == p ? 0 : m[i][p];
            for (int j = 0; j < FIT_TERMS; j++) {
                m[i][j] -= factor * m[p][j];
                out[i][j] -= factor * out[p][j];
            }
        }
    }
    return true;
}

static void
fit_variable(const struct sample *samples, size_t count, int which,
             const char *name)
{
    static const char *const terms[FIT_TERMS] = {"constant", "per daemon",
                                                 "per endpoint of the centre",
                                                 "per change/s of the centre"};
    double m[FIT_TERMS][FIT_TERMS] = {{0}};
    double v[FIT_TERMS] = {0};
    double inverse[FIT_TERMS][FIT_TERMS];
    double b[FIT_TERMS] = {0};
    double squares = 0;
    for (size_t s = 0; s < count; s++) {
        for (int i = 0; i < FIT_TERMS; i++) {
            v[i] += samples[s].x[i] * samples[s].y[which];
            for (int j = 0; j < FIT_TERMS; j++) {
                m[i][j] += samples[s].x[i] * samples[s].x[j];
            }
        }
    }
    if (count <= FIT_TERMS || !invert(m, inverse)) {
        printf("%s: too few runs for a fit\n", name);
        return;
    }
    for (int i = 0; i < FIT_TERMS; i++) {
        for (int j = 0; j < FIT_TERMS; j++) {
            b[i] += inverse[i][j] * v[j];
        }
    }
    for (size_t s = 0; s < count; s++) {
        double residual = samples[s].y[which];
        for (int i = 0; i < FIT_TERMS; i++) {
            residual -= b[i] * samples[s].x[i];
        }
        squares += residual * residual;
    }
    double variance = squares / (double)(count - FIT_TERMS);
    printf("%s (residual %.3g)\n", name, sqrt(variance));
    for (int i = 0; i < FIT_TERMS; i++) {
        printf("    %-28s %10.4g +- %.2g\n", terms[i], b[i],
               sqrt(variance * inverse[i][i]));
    }
}

static int
fit(void)
{
    static const char *const names[] = {"bytes/s out", "bytes/s in",
                                        "datagrams/s out",
                                        "processor, % of one", "memory, KiB"};
    struct sample samples[LINES_MAX];
    size_t count = read_samples(samples, LINES_MAX);
    for (int i = 0; i < 5; i++) {
        fit_variable(samples, count, i, names[i]);
    }
    return 0;
}

static const struct argp_option options[] = {
    {"nodes", 'n', "N", 0, "daemons to run (7)", 0},
    {"data-centres", 'd', "N", 0, "data centres to spread them over (1)", 0},
    {"endpoints", 'e', "N", 0, "endpoints whose load is told (0)", 0},
    {"changes", 'c', "RATE", 0, "changes of load a second, in all (0)", 0},
    {"seconds", 's', "N", 0, "how long to measure (30)", 0},
    {"warm", 'w', "N", 0, "seconds to wait before that (20)", 0},
    {"fit", 'f', NULL, 0, "fit over the lines on standard input", 0},
    {0},
};

static error_t
parse(int key, char *text, struct argp_state *state)
{
    struct settings *settings = state->input;
    switch (key) {
    case 'n':
        settings->nodes = (int)strtol(text, NULL, 10);
        return 0;
    case 'd':
        settings->data_centres = (int)strtol(text, NULL, 10);
        return 0;
    case 'e':
        settings->endpoints = (int)strtol(text, NULL, 10);
        return 0;
    case 'c':
        settings->changes = strtod(text, NULL);
        return 0;
    case 's':
        settings->seconds = (int)strtol(text, NULL, 10);
        return 0;
    case 'w':
        settings->warm_sec = (int)strtol(text, NULL, 10);
        return 0;
    case 'f':
        settings->fit = true;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const char doc[] =
        "Prints: nodes, data centres, endpoints and changes/s of one centre "
        "(each endpoint is told of again every 10 s at least), then of each "
        "node: datagram bytes/s out and in (with IP and UDP "
        "headers), TCP payload bytes/s, datagrams/s, % of one processor, KiB "
        "of memory, share of changes that datagrams brought, copies of each, "
        "exchanges of state.";
    struct settings settings = {
        .nodes = 7, .data_centres = 1, .seconds = 30, .warm_sec = 20};
    const struct argp argp = {options, parse, NULL, doc, NULL, NULL, NULL};
    argp_parse(&argp, argc, argv, 0, NULL, &settings);
    if (settings.nodes < 1 || settings.data_centres < 1 ||
        settings.endpoints < 0 || settings.seconds < 1) {
        fprintf(stderr, "nodes, data centres and seconds are above 0\n");
        return 2;
    }
    return settings.fit ? fit() : run(&settings);
}
