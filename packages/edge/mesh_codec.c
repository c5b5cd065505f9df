#include <bsd/string.h>
#include <limits.h>
#include <math.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_check.h"
#include "edge/mesh.h"
#include "edge/packed.h"
#include "policy/poison_pack.h"

/*
 * Changed with the layout, so that daemons of different versions ignore each
 * other's messages.
 */
#define Ms_FORMAT 12
#define Ms_MILLI 1000
#define Ms_LOG2_MAX 30
#define Ms_AGE_MAX_MSEC (60 * 1000)
#define Ms_FIELDS 34
#define Ms_OUTCOME_FIELDS 7
#define Ms_MOVE_STATUS_FIELDS 4
#define Ms_RATE_FIELDS 7
#define Ms_USAGE_FIELDS 3
#define Ms_PAST_USAGE_FIELDS 3
#define Ms_REQUEST_COUNT_FIELDS 3
#define Ms_REFUSAL_LIMIT_FIELDS 2
#define Ms_RATE_LIMIT_FIELDS 3
#define Ms_LOAD_FIELDS 6
#define Ms_RANK_DEMAND_FIELDS (1 + Rk_RANKS)
/* Steps in which the logarithm of a speed is reported, per doubling. */
#define Ms_SPEED_STEPS 16
/* Output tokens are reported in units of this many. */
#define Ms_OUTPUT_UNIT 16
#define Ms_SPEED_STEPS_MAX (4 * Ms_SPEED_STEPS)
#define Ms_SAMPLES_MAX 10000
/* More than all daemons of a data centre can have at one endpoint. */
#define Ms_REQUESTS_MAX 1000000
#define Ms_TOKENS_MAX INT64_C(1000000000000)

static void
pack_string(msgpack_packer *packer, const char *text)
{
    size_t len = strlen(text);
    msgpack_pack_str(packer, len);
    msgpack_pack_str_body(packer, text, len);
}

/*
 * The index of a tenant's row in "usage", or the tenant's hash if it has none.
 */
static uint32_t
tenant_row(const struct ms_message *message, uint32_t tenant)
{
    for (size_t i = 0; i < message->usage_count; i++) {
        if (message->usage[i].tenant == tenant) {
            return (uint32_t)i;
        }
    }
    return tenant;
}

static uint32_t
tenant_of_row(const struct ms_message *message, uint32_t tenant)
{
    return tenant < message->usage_count ? message->usage[tenant].tenant
                                         : tenant;
}

/*
 * Packs the counts of three windows for each tenant: the newest window's
 * number, then for each row the distance of its window from the newest, and
 * the index of the tenant's row in "usage". A window number and a tenant's
 * hash in each row would make up most of a message.
 */
static void
pack_request_counts(msgpack_packer *packer, const struct ms_message *message)
{
    int64_t newest = 0;
    for (size_t i = 0; i < message->request_count_rows; i++) {
        int64_t window = message->request_counts[i].window;
        newest = window > newest ? window : newest;
    }
    msgpack_pack_array(packer, 1 + message->request_count_rows *
                                       Ms_REQUEST_COUNT_FIELDS);
    msgpack_pack_int64(packer, newest);
    for (size_t i = 0; i < message->request_count_rows; i++) {
        const struct ms_request_count *row = &message->request_counts[i];
        msgpack_pack_int64(packer, newest - row->window);
        msgpack_pack_uint32(packer, tenant_row(message, row->tenant));
        msgpack_pack_uint32(packer, row->count);
    }
}

static void
pack_rows(msgpack_packer *packer, const struct ms_message *message)
{
    msgpack_pack_array(packer, message->load_count * Ms_LOAD_FIELDS);
    for (size_t i = 0; i < message->load_count; i++) {
        msgpack_pack_uint32(packer, message->loads[i].endpoint);
        msgpack_pack_int64(packer, message->loads[i].requests);
        msgpack_pack_int64(packer, message->loads[i].prefill_tokens);
        msgpack_pack_int64(packer,
                           message->loads[i].output_tokens / Ms_OUTPUT_UNIT);
        msgpack_pack_int64(
            packer, llround(message->loads[i].speed_log2 * Ms_SPEED_STEPS));
        msgpack_pack_int(packer, message->loads[i].speed_samples);
    }
    msgpack_pack_array(packer, message->usage_count * Ms_USAGE_FIELDS);
    for (size_t i = 0; i < message->usage_count; i++) {
        msgpack_pack_uint32(packer, message->usage[i].tenant);
        msgpack_pack_uint64(packer, message->usage[i].total);
        msgpack_pack_uint64(packer, message->usage[i].requested);
    }
    pack_request_counts(packer, message);
    msgpack_pack_array(packer, message->rate_count * Ms_RATE_FIELDS);
    for (size_t i = 0; i < message->rate_count; i++) {
        msgpack_pack_uint32(packer, message->rates[i].service);
        msgpack_pack_int64(packer,
                           (int64_t)message->rates[i].prompt_tokens_per_sec);
        msgpack_pack_int64(
            packer, (int64_t)message->rates[i].long_prompt_tokens_per_sec);
        msgpack_pack_int64(
            packer, (int64_t)(message->rates[i].concurrency * Ms_MILLI));
        msgpack_pack_int64(packer, (int64_t)message->rates[i].prefill_rate);
        msgpack_pack_int64(
            packer, (int64_t)(message->rates[i].requests_per_sec * Ms_MILLI));
        msgpack_pack_int(packer, message->rates[i].offered_log2);
    }
    msgpack_pack_array(packer, message->address_count);
    for (size_t i = 0; i < message->address_count; i++) {
        pack_string(packer, message->addresses[i]);
    }
}

static void
pack_past_usage(msgpack_packer *packer, const struct ms_message *message)
{
    msgpack_pack_array(packer,
                       message->past_usage_count * Ms_PAST_USAGE_FIELDS);
    for (size_t i = 0; i < message->past_usage_count; i++) {
        msgpack_pack_uint32(packer, message->past_usage[i].tenant);
        msgpack_pack_uint64(packer, message->past_usage[i].older);
        msgpack_pack_uint64(packer, message->past_usage[i].newer);
    }
}

static void
pack_moves(msgpack_packer *packer, const struct ms_message *message)
{
    msgpack_pack_array(packer, message->outcome_count * Ms_OUTCOME_FIELDS);
    for (size_t i = 0; i < message->outcome_count; i++) {
        const struct ro_outcomes *row = &message->outcomes[i];
        msgpack_pack_uint32(packer, row->service);
        msgpack_pack_uint32(packer, row->route);
        msgpack_pack_int64(packer, row->order);
        msgpack_pack_uint32(packer, row->old_version.answers);
        msgpack_pack_uint32(packer, row->old_version.bad);
        msgpack_pack_uint32(packer, row->new_version.answers);
        msgpack_pack_uint32(packer, row->new_version.bad);
    }
    msgpack_pack_array(packer,
                       message->move_status_count * Ms_MOVE_STATUS_FIELDS);
    for (size_t i = 0; i < message->move_status_count; i++) {
        const struct ro_status *row = &message->move_statuses[i];
        msgpack_pack_uint32(packer, row->service);
        msgpack_pack_int64(packer, row->order);
        msgpack_pack_int(packer, row->state);
        msgpack_pack_int(packer, row->share);
    }
}

static void
pack_refusal_limits(msgpack_packer *packer, const struct ms_message *message)
{
    msgpack_pack_array(packer,
                       message->refusal_limit_count * Ms_REFUSAL_LIMIT_FIELDS);
    for (size_t i = 0; i < message->refusal_limit_count; i++) {
        msgpack_pack_uint32(packer, message->refusal_limits[i].service);
        msgpack_pack_int(packer, message->refusal_limits[i].refusals_per_sec);
    }
}

static void
pack_rate_limits(msgpack_packer *packer, const struct ms_message *message)
{
    msgpack_pack_array(packer,
                       message->rate_limit_count * Ms_RATE_LIMIT_FIELDS);
    for (size_t i = 0; i < message->rate_limit_count; i++) {
        const struct ms_rate_limit *row = &message->rate_limits[i];
        msgpack_pack_uint32(packer, row->endpoint);
        msgpack_pack_int64(packer, (int64_t)(row->per_sec * Ms_MILLI));
        msgpack_pack_int64(packer, row->age_usec / Ck_USEC_PER_MSEC);
    }
}

static void
pack_rank_demands(msgpack_packer *packer, const struct ms_message *message)
{
    msgpack_pack_array(packer,
                       message->rank_demand_count * Ms_RANK_DEMAND_FIELDS);
    for (size_t i = 0; i < message->rank_demand_count; i++) {
        const struct ms_rank_demand *row = &message->rank_demands[i];
        msgpack_pack_uint32(packer, tenant_row(message, row->tenant));
        for (size_t rank = 0; rank < Rk_RANKS; rank++) {
            msgpack_pack_uint32(packer, row->per_sec[rank]);
        }
    }
}

static void
pack_poison(msgpack_packer *packer, const struct ms_message *message)
{
    Pz_PackCrashes(packer, message->crashes, message->crash_count);
    Pz_PackClears(packer, message->clears, message->clear_count);
    Pz_PackQuarantines(packer, message->quarantines,
                       message->quarantine_count);
}

size_t
Ms_Encode(const struct ms_message *message, char *out, size_t size)
{
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer packer;
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, Ms_FIELDS);
    msgpack_pack_int(&packer, Ms_FORMAT);
    pack_string(&packer, message->name);
    pack_string(&packer, message->ip);
    msgpack_pack_uint64(&packer, message->run);
    msgpack_pack_int(&packer, message->ready);
    msgpack_pack_int(&packer, message->stopping);
    msgpack_pack_int64(&packer, message->wall_usec);
    msgpack_pack_int64(&packer, message->config_changes_end);
    msgpack_pack_int64(&packer, message->entries_changes_end);
    msgpack_pack_int64(&packer, message->lease.fence);
    pack_rows(&packer, message);
    msgpack_pack_int(&packer, message->store_reached);
    msgpack_pack_int(&packer, message->reads_config);
    msgpack_pack_int(&packer, message->reads_entries);
    msgpack_pack_int64(&packer, message->up_usec);
    msgpack_pack_int64(&packer, message->lease.log_end);
    msgpack_pack_int64(&packer, message->lease.remaining_usec);
    pack_moves(&packer, message);
    pack_string(&packer, message->zone);
    msgpack_pack_int(&packer, message->summary);
    pack_past_usage(&packer, message);
    msgpack_pack_int(&packer, message->link_mbps);
    msgpack_pack_int(&packer, message->links_cut);
    pack_refusal_limits(&packer, message);
    pack_poison(&packer, message);
    pack_rate_limits(&packer, message);
    pack_rank_demands(&packer, message);
    size_t len = buffer.size <= size ? buffer.size : 0;
    memcpy(out, buffer.data, len);
    msgpack_sbuffer_destroy(&buffer);
    return len;
}

static int64_t
get_number(const msgpack_object *object)
{
    if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER ||
        object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        return object->via.i64;
    }
    return 0;
}

/* A rate beyond any that occurs counts as the nearest that may. */
static int
get_log2(const msgpack_object *object)
{
    int64_t number = get_number(object);
    number = number < -Ms_LOG2_MAX ? -Ms_LOG2_MAX : number;
    return (int)(number > Ms_LOG2_MAX ? Ms_LOG2_MAX : number);
}

/* The number of rows of "width" values each, at most "rows_max". */
static size_t
count_rows(const msgpack_object *object, size_t width, size_t rows_max)
{
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return 0;
    }
    size_t rows = object->via.array.size / width;
    return rows < rows_max ? rows : rows_max;
}

/* Needs the rows of "usage", which are decoded first. */
static void
get_request_counts(const msgpack_object *field, struct ms_message *out)
{
    if (field->type != MSGPACK_OBJECT_ARRAY || field->via.array.size == 0) {
        return;
    }
    int64_t newest = get_number(&field->via.array.ptr[0]);
    size_t rows = (field->via.array.size - 1) / Ms_REQUEST_COUNT_FIELDS;
    out->request_count_rows = rows < Ms_COUNTS_MAX ? rows : Ms_COUNTS_MAX;
    for (size_t i = 0; i < out->request_count_rows; i++) {
        const msgpack_object *row =
            &field->via.array.ptr[1 + i * Ms_REQUEST_COUNT_FIELDS];
        out->request_counts[i].window = newest - get_number(&row[0]);
        out->request_counts[i].tenant =
            tenant_of_row(out, (uint32_t)get_number(&row[1]));
        out->request_counts[i].count = (uint32_t)get_number(&row[2]);
    }
}

/* An estimate with an implausible speed or sample count is left out. */
static void
get_speed(const msgpack_object *row, struct ms_load *out)
{
    int64_t steps = get_number(&row[0]);
    int64_t samples = get_number(&row[1]);
    if (steps >= -Ms_SPEED_STEPS_MAX && steps <= Ms_SPEED_STEPS_MAX &&
        samples > 0 && samples <= Ms_SAMPLES_MAX) {
        out->speed_log2 = (double)steps / Ms_SPEED_STEPS;
        out->speed_samples = (int)samples;
    }
}

/* An implausible count is taken as 0, so that sums do not overflow. */
static int64_t
get_count(const msgpack_object *object, int64_t count_max)
{
    int64_t count = get_number(object);
    return count >= 0 && count <= count_max ? count : 0;
}

static void
get_loads(const msgpack_object *field, struct ms_message *out)
{
    out->load_count = count_rows(field, Ms_LOAD_FIELDS, Ms_SUMMARY_LOADS_MAX);
    for (size_t i = 0; i < out->load_count; i++) {
        const msgpack_object *row = &field->via.array.ptr[i * Ms_LOAD_FIELDS];
        out->loads[i] = (struct ms_load){
            .endpoint = (uint32_t)get_number(&row[0]),
            .requests = (int)get_count(&row[1], Ms_REQUESTS_MAX),
            .prefill_tokens = get_count(&row[2], Ms_TOKENS_MAX),
            .output_tokens =
                get_count(&row[3], Ms_TOKENS_MAX / Ms_OUTPUT_UNIT) *
                Ms_OUTPUT_UNIT,
        };
        get_speed(&row[4], &out->loads[i]);
    }
}

static void
get_rows(const msgpack_object *field, struct ms_message *out)
{
    get_loads(&field[0], out);
    out->usage_count = count_rows(&field[1], Ms_USAGE_FIELDS, Ms_USAGE_MAX);
    for (size_t i = 0; i < out->usage_count; i++) {
        const msgpack_object *row =
            &field[1].via.array.ptr[i * Ms_USAGE_FIELDS];
        out->usage[i].tenant = (uint32_t)get_number(&row[0]);
        out->usage[i].total = (uint64_t)get_number(&row[1]);
        out->usage[i].requested = (uint64_t)get_number(&row[2]);
    }
    get_request_counts(&field[2], out);
    out->rate_count = count_rows(&field[3], Ms_RATE_FIELDS, Ms_RATES_MAX);
    for (size_t i = 0; i < out->rate_count; i++) {
        const msgpack_object *row =
            &field[3].via.array.ptr[i * Ms_RATE_FIELDS];
        out->rates[i].service = (uint32_t)get_number(&row[0]);
        out->rates[i].prompt_tokens_per_sec = (double)get_number(&row[1]);
        out->rates[i].long_prompt_tokens_per_sec = (double)get_number(&row[2]);
        out->rates[i].concurrency = (double)get_number(&row[3]) / Ms_MILLI;
        out->rates[i].prefill_rate = (double)get_number(&row[4]);
        out->rates[i].requests_per_sec =
            (double)get_number(&row[5]) / Ms_MILLI;
        out->rates[i].offered_log2 = get_log2(&row[6]);
    }
    size_t address_rows = count_rows(&field[4], 1, Ms_ADDRESSES_MAX);
    for (size_t i = 0; i < address_rows; i++) {
        if (Pk_CopyString(&field[4].via.array.ptr[i],
                          out->addresses[out->address_count], Nd_NAME_MAX)) {
            out->address_count++;
        }
    }
}

static void
get_past_usage(const msgpack_object *field, struct ms_message *out)
{
    out->past_usage_count =
        count_rows(field, Ms_PAST_USAGE_FIELDS, Ms_USAGE_MAX);
    for (size_t i = 0; i < out->past_usage_count; i++) {
        const msgpack_object *row =
            &field->via.array.ptr[i * Ms_PAST_USAGE_FIELDS];
        out->past_usage[i].tenant = (uint32_t)get_number(&row[0]);
        out->past_usage[i].older = (uint64_t)get_number(&row[1]);
        out->past_usage[i].newer = (uint64_t)get_number(&row[2]);
    }
}

static void
get_moves(const msgpack_object *field, struct ms_message *out)
{
    out->outcome_count =
        count_rows(&field[0], Ms_OUTCOME_FIELDS, Ms_OUTCOMES_MAX);
    for (size_t i = 0; i < out->outcome_count; i++) {
        const msgpack_object *row =
            &field[0].via.array.ptr[i * Ms_OUTCOME_FIELDS];
        out->outcomes[i] = (struct ro_outcomes){
            .service = (uint32_t)get_number(&row[0]),
            .route = (uint32_t)get_number(&row[1]),
            .order = get_number(&row[2]),
            .old_version = {(uint32_t)get_number(&row[3]),
                            (uint32_t)get_number(&row[4])},
            .new_version = {(uint32_t)get_number(&row[5]),
                            (uint32_t)get_number(&row[6])},
        };
    }
    size_t status_rows =
        count_rows(&field[1], Ms_MOVE_STATUS_FIELDS, Ro_MOVES_MAX);
    for (size_t i = 0; i < status_rows; i++) {
        const msgpack_object *row =
            &field[1].via.array.ptr[i * Ms_MOVE_STATUS_FIELDS];
        int64_t state = get_number(&row[2]);
        if (state < RO_RUNNING || state > RO_SUCCEEDED) {
            continue;
        }
        out->move_statuses[out->move_status_count++] = (struct ro_status){
            .service = (uint32_t)get_number(&row[0]),
            .order = get_number(&row[1]),
            .state = (enum ro_state)state,
            .share = (int)get_number(&row[3]),
        };
    }
}

static void
get_refusal_limits(const msgpack_object *field, struct ms_message *out)
{
    out->refusal_limit_count =
        count_rows(field, Ms_REFUSAL_LIMIT_FIELDS, Ms_REFUSAL_LIMITS_MAX);
    for (size_t i = 0; i < out->refusal_limit_count; i++) {
        const msgpack_object *row =
            &field->via.array.ptr[i * Ms_REFUSAL_LIMIT_FIELDS];
        int64_t limit = get_number(&row[1]);
        out->refusal_limits[i].service = (uint32_t)get_number(&row[0]);
        out->refusal_limits[i].refusals_per_sec =
            limit < 0 || limit > INT_MAX ? 0 : (int)limit;
    }
}

/* A negative limit or age is not from a daemon; the row is left out. */
static void
get_rate_limits(const msgpack_object *field, struct ms_message *out)
{
    size_t rows =
        count_rows(field, Ms_RATE_LIMIT_FIELDS, Ms_SUMMARY_RATE_LIMITS_MAX);
    for (size_t i = 0; i < rows; i++) {
        const msgpack_object *row =
            &field->via.array.ptr[i * Ms_RATE_LIMIT_FIELDS];
        int64_t limit_milli = get_number(&row[1]);
        int64_t age_msec = get_number(&row[2]);
        if (limit_milli < 0 || age_msec < 0 || age_msec > Ms_AGE_MAX_MSEC) {
            continue;
        }
        out->rate_limits[out->rate_limit_count++] = (struct ms_rate_limit){
            .endpoint = (uint32_t)get_number(&row[0]),
            .per_sec = (double)limit_milli / Ms_MILLI,
            .age_usec = age_msec * Ck_USEC_PER_MSEC,
        };
    }
}

/* Needs the rows of "usage", which are decoded first. */
static void
get_rank_demands(const msgpack_object *field, struct ms_message *out)
{
    out->rank_demand_count =
        count_rows(field, Ms_RANK_DEMAND_FIELDS, Ms_RANK_DEMANDS_MAX);
    for (size_t i = 0; i < out->rank_demand_count; i++) {
        const msgpack_object *row =
            &field->via.array.ptr[i * Ms_RANK_DEMAND_FIELDS];
        struct ms_rank_demand *demand = &out->rank_demands[i];
        demand->tenant = tenant_of_row(out, (uint32_t)get_number(&row[0]));
        for (size_t rank = 0; rank < Rk_RANKS; rank++) {
            int64_t per_sec = get_number(&row[1 + rank]);
            demand->per_sec[rank] =
                per_sec < 0 || per_sec > UINT32_MAX ? 0 : (uint32_t)per_sec;
        }
    }
}

static void
get_poison(const msgpack_object *field, struct ms_message *out)
{
    out->crash_count = Pz_ReadCrashes(&field[0], out->crashes, Ms_CRASHES_MAX);
    out->clear_count = Pz_ReadClears(&field[1], out->clears, Ms_CLEARS_MAX);
    out->quarantine_count =
        Pz_ReadQuarantines(&field[2], out->quarantines, Ms_QUARANTINES_MAX);
}

static bool
get_message(const msgpack_object *object, struct ms_message *out)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size != Ms_FIELDS) {
        return false;
    }
    const msgpack_object *field = object->via.array.ptr;
    if (get_number(&field[0]) != Ms_FORMAT ||
        !Pk_CopyString(&field[1], out->name, sizeof(out->name)) ||
        !Pk_CopyString(&field[2], out->ip, sizeof(out->ip)) ||
        field[3].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    out->run = field[3].via.u64;
    out->ready = get_number(&field[4]) != 0;
    out->stopping = get_number(&field[5]) != 0;
    out->wall_usec = get_number(&field[6]);
    out->config_changes_end = get_number(&field[7]);
    out->entries_changes_end = get_number(&field[8]);
    out->lease.fence = get_number(&field[9]);
    get_rows(&field[10], out);
    out->store_reached = get_number(&field[15]) != 0;
    out->reads_config = get_number(&field[16]) != 0;
    out->reads_entries = get_number(&field[17]) != 0;
    out->up_usec = get_number(&field[18]);
    out->lease.log_end = get_number(&field[19]);
    out->lease.remaining_usec = get_number(&field[20]);
    get_moves(&field[21], out);
    out->summary = get_number(&field[24]) != 0;
    get_past_usage(&field[25], out);
    out->link_mbps = (int)get_number(&field[26]);
    out->links_cut = get_number(&field[27]) != 0;
    get_refusal_limits(&field[28], out);
    get_poison(&field[29], out);
    get_rate_limits(&field[32], out);
    get_rank_demands(&field[33], out);
    return Pk_CopyString(&field[23], out->zone, sizeof(out->zone));
}

bool
Ms_Decode(const char *data, size_t len, struct ms_message *out)
{
    memset(out, 0, sizeof(*out));
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    bool decoded = Mp_LengthsFit((const uint8_t *)data, len) &&
                   msgpack_unpack_next(&unpacked, data, len, NULL) ==
                       MSGPACK_UNPACK_SUCCESS &&
                   get_message(&unpacked.data, out);
    msgpack_unpacked_destroy(&unpacked);
    return decoded;
}
