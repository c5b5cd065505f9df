#include "edge/speeds.h"

#include <math.h>
#include <stdio.h>

/*
 * Rows of endpoints without a running request, in a daemon's message and in a
 * summary.  A daemon sends over 200 messages a second, and a row takes 10
 * bytes.
 */
#define Sp_IDLE_ROWS 6
#define Sp_SUMMARY_IDLE_ROWS 16
/* Rows with at least this many samples are equally likely to be sent. */
#define Sp_IDLE_GAPS 8.0
#define Sp_GAPS_MAX 10000 /* the most that a row may have */
#define Sp_GAPS_MIN 0.5   /* less is rounded to none */
/*
 * Peers may report the speed of an endpoint's previous start for this long
 * after its new entry.
 */
#define Sp_STALE_USEC (2 * Ck_USEC_PER_SEC)
/* Factor from which on a changed speed is logged. */
#define Sp_LOGGED_FACTOR 1.2
/* Speeds further from 1 are counted as slow or fast. */
#define Sp_FAST 1.1
#define Sp_SLOW (1 / Sp_FAST)
#define Sp_LABELS_MAX (Ec_NAME_MAX + 64)

double
Sp_Utilization(const struct fl_endpoint *endpoint)
{
    double slots = endpoint->entry.slots > 0 ? endpoint->entry.slots : 1;
    return fmin((endpoint->running + endpoint->peers_running) / slots, 1);
}

void
Sp_Learn(struct ga_gate *gate, struct fl_endpoint *endpoint, enum sd_kind kind,
         const struct sd_sample *sample)
{
    struct fl_service *service = endpoint->service;
    if (service == NULL) {
        return; /* its entry was removed */
    }
    Mt_Add(gate->count.speed_samples, 1);
    Sd_Learn(&endpoint->measured_speed,
             kind == SD_PACE ? &service->pace : &service->prefill, kind,
             sample, Ga_Now(gate));
}

/* This daemon's estimate, or that of its data centre. */
static struct sd_estimate
reported(const struct fl_endpoint *endpoint, bool summary, int64_t now)
{
    struct sd_estimate estimate = Sd_Own(&endpoint->measured_speed, now);
    if (summary) {
        Sd_Add(&estimate, &endpoint->zone_peers_speed, 0);
    }
    return estimate;
}

static void
set_speed(struct ms_load *row, const struct sd_estimate *estimate)
{
    row->speed_samples = (int)lround(fmin(estimate->gaps, Sp_GAPS_MAX));
    row->speed_log2 = row->speed_samples > 0 ? estimate->log2 : 0;
}

struct idle {
    uint32_t endpoint;
    struct sd_estimate estimate;
    double order;
};

/* The rows with the highest order, sorted. */
struct idle_rows {
    size_t count;
    size_t max;
    struct idle rows[Sp_SUMMARY_IDLE_ROWS];
};

/*
 * Rows with few samples come last more often.  The order varies from message
 * to message, so that peers get to see all.
 */
static double
order_unit(const struct ga_gate *gate, const struct fl_endpoint *endpoint)
{
    uint64_t key[2] = {endpoint->hash, (uint64_t)gate->ticks};
    return (double)Hash_Bytes(key, sizeof(key), 0) / (double)UINT64_MAX;
}

static bool
is_kept(const struct idle_rows *idle, double order)
{
    return idle->count < idle->max || order > idle->rows[idle->max - 1].order;
}

static void
insert_idle(struct idle_rows *idle, const struct idle *row)
{
    size_t at = idle->count < idle->max ? idle->count++ : idle->max;
    for (; at > 0 && idle->rows[at - 1].order < row->order; at--) {
        if (at < idle->max) {
            idle->rows[at] = idle->rows[at - 1];
        }
    }
    if (at < idle->max) {
        idle->rows[at] = *row;
    }
}

/*
 * Most endpoints have no row.  To see that takes a bound of their samples in
 * most cases, and seldom the hash or the estimate.
 */
static void
consider_idle(const struct ga_gate *gate, const struct fl_endpoint *endpoint,
              bool summary, int64_t now, struct idle_rows *idle)
{
    double gaps_max = Sd_OwnAtMost(&endpoint->measured_speed, now);
    if (summary) {
        gaps_max += endpoint->zone_peers_speed.gaps;
    }
    double order_max = fmin(gaps_max, Sp_IDLE_GAPS);
    if (gaps_max < Sp_GAPS_MIN || !is_kept(idle, order_max)) {
        return;
    }
    double unit = order_unit(gate, endpoint);
    if (!is_kept(idle, order_max * unit)) {
        return;
    }
    struct sd_estimate estimate = reported(endpoint, summary, now);
    if (estimate.gaps >= Sp_GAPS_MIN) {
        struct idle row = {endpoint->hash, estimate,
                           fmin(estimate.gaps, Sp_IDLE_GAPS) * unit};
        insert_idle(idle, &row);
    }
}

void
Sp_FillLoads(const struct ga_gate *gate, struct ms_message *message,
             size_t rows_max)
{
    bool summary = rows_max == Ms_SUMMARY_LOADS_MAX;
    struct idle_rows idle = {.max = summary ? Sp_SUMMARY_IDLE_ROWS
                                            : Sp_IDLE_ROWS};
    int64_t now = Ga_Now(gate);
    size_t at = 0;
    const struct fl_array *all = Fl_Endpoints(gate->fleet);
    /* The rows are in the order of the endpoints. */
    for (size_t i = 0; i < all->count; i++) {
        const struct fl_endpoint *endpoint = all->list[i];
        if (at < message->load_count &&
            message->loads[at].endpoint == endpoint->hash) {
            struct sd_estimate estimate = reported(endpoint, summary, now);
            set_speed(&message->loads[at++], &estimate);
        }
        else {
            consider_idle(gate, endpoint, summary, now, &idle);
        }
    }
    for (size_t i = 0; i < idle.count && message->load_count < rows_max; i++) {
        struct ms_load *row = &message->loads[message->load_count++];
        *row = (struct ms_load){.endpoint = idle.rows[i].endpoint};
        set_speed(row, &idle.rows[i].estimate);
    }
}

/* Whether reports may be of the endpoint's previous start. */
static bool
is_replaced(const struct ga_gate *gate, const struct fl_endpoint *endpoint,
            int64_t now)
{
    int64_t since = endpoint->first_entry_at;
    return since - gate->started_at > Sp_STALE_USEC &&
           now - since < Sp_STALE_USEC;
}

void
Sp_AddReport(const struct ga_gate *gate, struct fl_endpoint *endpoint,
             const struct ms_load *load, const struct sp_report *of)
{
    if (load->speed_samples <= 0 || is_replaced(gate, endpoint, of->now)) {
        return;
    }
    struct sd_estimate report = {load->speed_log2, load->speed_samples};
    Sd_AddWeighted(&endpoint->peers_speed, &report, of->weight);
    if (of->same_zone) {
        Sd_AddWeighted(&endpoint->zone_peers_speed, &report, of->weight);
    }
}

static void
update(struct fl_endpoint *endpoint, int64_t now)
{
    struct sd_speed *speed = &endpoint->measured_speed;
    struct sd_estimate own = Sd_Own(speed, now);
    struct sd_estimate sum = endpoint->peers_speed;
    Sd_Add(&sum, &own, 0);
    Sd_Update(speed, &sum, now);
    endpoint->speed = Sd_Speed(speed, &sum);
}

static double
stream_rate(const struct fl_endpoint *endpoint)
{
    const struct fl_service *service = endpoint->service;
    double usual =
        Sd_UsualUsec(&service->pace, SD_PACE, Sp_Utilization(endpoint));
    return usual > 0 ? endpoint->speed * service->event_tokens *
                           (double)Ck_USEC_PER_SEC / usual
                     : 0;
}

void
Sp_Update(struct ga_gate *gate)
{
    int64_t now = Ga_Now(gate);
    const struct fl_array *all = Fl_Endpoints(gate->fleet);
    for (size_t i = 0; i < all->count; i++) {
        struct fl_endpoint *endpoint = all->list[i];
        const struct sd_speed *speed = &endpoint->measured_speed;
        if (speed->own.gaps > 0 || speed->known.gaps > 0 ||
            endpoint->peers_speed.gaps > 0) {
            update(endpoint, now);
        }
        endpoint->stream_tokens_per_sec =
            endpoint->service->pace.samples > 0 ? stream_rate(endpoint) : 0;
    }
}

void
Sp_LogChanges(const struct ga_gate *gate)
{
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        double factor = endpoint->speed / endpoint->logged_speed;
        if (fmax(factor, 1 / factor) < Sp_LOGGED_FACTOR) {
            continue;
        }
        Ln_Log(LN_STATE, "endpoint.speed",
               "\"endpoint\":\"%s\",\"service\":\"%s\",\"speed\":%.2f,"
               "\"before\":%.2f,\"samples\":%.0f,\"own\":%.0f",
               endpoint->entry.id, endpoint->entry.service, endpoint->speed,
               endpoint->logged_speed, endpoint->measured_speed.known.gaps,
               Sd_Own(&endpoint->measured_speed, Ga_Now(gate)).gaps);
        endpoint->logged_speed = endpoint->speed;
    }
}

void
Sp_LogOutput(const struct ga_gate *gate)
{
    int64_t tokens = Mt_Value(gate->count.output_tokens);
    if (tokens > 0) {
        Ln_Log(LN_ORDINARY, "output.expected",
               "\"tokens\":%lld,\"expected\":%lld,\"off\":%lld",
               (long long)tokens,
               (long long)Mt_Value(gate->count.output_expected),
               (long long)Mt_Value(gate->count.output_error));
    }
}

static const char *
class_of(double speed)
{
    if (speed > Sp_FAST) {
        return "fast";
    }
    return speed < Sp_SLOW ? "slow" : "usual";
}

void
Sp_UpdateMetrics(struct ga_gate *gate)
{
    static const char speeds[] = "cornelgate_endpoints_by_speed";
    static const char output[] = "cornelgate_output_tokens_remaining";
    Mt_Clear(gate->registry, speeds);
    Mt_Clear(gate->registry, output);
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (endpoint->service->pace.samples <= 0) {
            continue; /* no engine, or not measured */
        }
        char labels[Sp_LABELS_MAX];
        snprintf(labels, sizeof(labels), "service=\"%s\",speed=\"%s\"",
                 endpoint->entry.service, class_of(endpoint->speed));
        Mt_Add(Mt_Get(gate->registry, MT_GAUGE, speeds, labels), 1);
        snprintf(labels, sizeof(labels), "service=\"%s\"",
                 endpoint->entry.service);
        Mt_Add(Mt_Get(gate->registry, MT_GAUGE, output, labels),
               endpoint->output_tokens + endpoint->peers_output_tokens);
    }
}
