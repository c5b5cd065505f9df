#include "gate/peer_facts.h"

#include <bsd/string.h>
#include <msgpack.h>
#include <stdio.h>
#include <string.h>

#define Pf_TUNNEL_FIELDS 2
#define Pf_CONFIG_FIELDS 2
#define Pf_LOAD_FIELDS 9
/* Older daemons send 6 fields, or 7 with the seventh for the cold time. */
#define Pf_LOAD_FIELDS_MIN 6
#define Pf_LOAD_FIELDS_COLD 7
#define Pf_LOAD_FIELDS_REFUSALS 8
#define Pf_DEMAND_FIELDS 4
/* Older daemons send 3 fields, without the slots. */
#define Pf_DEMAND_FIELDS_MIN 3
#define Pf_TIME_UNIT_USEC INT64_C(1000) /* times are sent in milliseconds */

/* Builds "prefixFIRST/SECOND"; false when it does not fit. */
bool
Pf_WriteName(const char *prefix, const char *first, const char *second,
             char *out, size_t size)
{
    int n = snprintf(out, size, "%s%s/%s", prefix, first, second);
    return n > 0 && (size_t)n < size;
}

/* Splits a key made by Pf_WriteName(); false when the form differs. */
bool
Pf_ReadName(const char *key, struct pf_name *out)
{
    const char *first = strchr(key, '/');
    if (first == NULL) {
        return false;
    }
    first++;
    const char *slash = strchr(first, '/');
    if (slash == NULL || (size_t)(slash - first) >= sizeof(out->first)) {
        return false;
    }
    memcpy(out->first, first, (size_t)(slash - first));
    out->first[slash - first] = '\0';
    return strlcpy(out->second, slash + 1, sizeof(out->second)) <
           sizeof(out->second);
}

static size_t
copy_out(const msgpack_sbuffer *buffer, char *out, size_t size)
{
    if (buffer->size > size) {
        return 0;
    }
    memcpy(out, buffer->data, buffer->size);
    return buffer->size;
}

static int64_t
read_int(const msgpack_object *object)
{
    if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER ||
        object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        return object->via.i64;
    }
    return 0;
}

/* Encodes the config offset of a daemon; 0 when it does not fit. */
size_t
Pf_WriteConfig(const struct pf_config *config, char *out, size_t size)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, Pf_CONFIG_FIELDS);
    msgpack_pack_uint64(&packer, config->offset);
    msgpack_pack_uint64(&packer, config->incarnation);
    size_t len = copy_out(&buffer, out, size);
    msgpack_sbuffer_destroy(&buffer);
    return len;
}

/* Decodes the config offset of another daemon. */
bool
Pf_ReadConfig(const void *value, size_t len, struct pf_config *out)
{
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    bool valid = msgpack_unpack_next(&unpacked, value, len, NULL) ==
                     MSGPACK_UNPACK_SUCCESS &&
                 unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
                 unpacked.data.via.array.size >= Pf_CONFIG_FIELDS;
    if (valid) {
        const msgpack_object *field = unpacked.data.via.array.ptr;
        out->offset = (uint64_t)read_int(&field[0]);
        out->incarnation = (uint64_t)read_int(&field[1]);
    }
    msgpack_unpacked_destroy(&unpacked);
    return valid;
}

/* Encodes where a daemon accepts tunnels; 0 when it does not fit. */
size_t
Pf_WriteTunnel(const struct pf_tunnel *tunnel, char *out, size_t size)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, Pf_TUNNEL_FIELDS);
    msgpack_pack_uint64(&packer, tunnel->port);
    msgpack_pack_uint64(&packer, tunnel->endpoints_cut);
    size_t len = copy_out(&buffer, out, size);
    msgpack_sbuffer_destroy(&buffer);
    return len;
}

/* Decodes where another daemon accepts tunnels. */
bool
Pf_ReadTunnel(const void *value, size_t len, struct pf_tunnel *out)
{
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    bool valid = msgpack_unpack_next(&unpacked, value, len, NULL) ==
                     MSGPACK_UNPACK_SUCCESS &&
                 unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
                 unpacked.data.via.array.size >= Pf_TUNNEL_FIELDS;
    if (valid) {
        const msgpack_object *field = unpacked.data.via.array.ptr;
        out->port = (uint16_t)read_int(&field[0]);
        out->endpoints_cut = read_int(&field[1]) != 0;
    }
    msgpack_unpacked_destroy(&unpacked);
    return valid;
}

/* Encodes a load sample and its age; 0 when it does not fit. */
size_t
Pf_WriteLoad(const struct lw_report *report, int64_t age_usec, char *out,
             size_t size)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, Pf_LOAD_FIELDS);
    msgpack_pack_int32(&packer, report->sample.running);
    msgpack_pack_int32(&packer, report->sample.waiting);
    msgpack_pack_float(&packer, (float)report->sample.tokens_per_s);
    msgpack_pack_int64(&packer, age_usec / Pf_TIME_UNIT_USEC);
    if (report->leaving) {
        msgpack_pack_true(&packer);
    }
    else {
        msgpack_pack_false(&packer);
    }
    msgpack_pack_int64(&packer, report->left_usec / Pf_TIME_UNIT_USEC);
    msgpack_pack_int64(&packer, report->has_cold ? report->cold_left_usec /
                                                       Pf_TIME_UNIT_USEC
                                                 : -1);
    msgpack_pack_int(&packer, report->refusal_limit);
    msgpack_pack_float(&packer, (float)report->rate_limit);
    size_t len = copy_out(&buffer, out, size);
    msgpack_sbuffer_destroy(&buffer);
    return len;
}

static double
read_double(const msgpack_object *object)
{
    if (object->type == MSGPACK_OBJECT_FLOAT32 ||
        object->type == MSGPACK_OBJECT_FLOAT64) {
        return object->via.f64;
    }
    return 0;
}

/*
 * Decodes a load sample.  sample.taken holds the age of the sample; the
 * caller turns it into a time of its own clock.  Further fields, which a newer
 * daemon may send, are skipped.
 */
bool
Pf_ReadLoad(const void *value, size_t len, struct lw_report *out)
{
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    memset(out, 0, sizeof(*out));
    bool valid = msgpack_unpack_next(&unpacked, value, len, NULL) ==
                     MSGPACK_UNPACK_SUCCESS &&
                 unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
                 unpacked.data.via.array.size >= Pf_LOAD_FIELDS_MIN;
    if (valid) {
        const msgpack_object *field = unpacked.data.via.array.ptr;
        out->sample.running = (int)read_int(&field[0]);
        out->sample.waiting = (int)read_int(&field[1]);
        out->sample.tokens_per_s = read_double(&field[2]);
        out->sample.taken = read_int(&field[3]) * Pf_TIME_UNIT_USEC;
        out->leaving =
            field[4].type == MSGPACK_OBJECT_BOOLEAN && field[4].via.boolean;
        out->left_usec = read_int(&field[5]) * Pf_TIME_UNIT_USEC;
        size_t size = unpacked.data.via.array.size;
        int64_t cold = size >= Pf_LOAD_FIELDS_COLD ? read_int(&field[6]) : -1;
        out->refusal_limit =
            size >= Pf_LOAD_FIELDS_REFUSALS ? (int)read_int(&field[7]) : -1;
        out->rate_limit = size >= Pf_LOAD_FIELDS ? read_double(&field[8]) : -1;
        out->has_cold = cold >= 0;
        out->cold_left_usec = cold >= 0 ? cold * Pf_TIME_UNIT_USEC : 0;
    }
    msgpack_unpacked_destroy(&unpacked);
    return valid;
}

static size_t
write_demands(const struct pf_demands *demands, size_t count, char *out,
              size_t size)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, count + 1);
    /* Older daemons skip this count, as it is no array. */
    msgpack_pack_uint64(&packer, demands->daemons);
    for (size_t i = 0; i < count; i++) {
        const struct am_demand *row = &demands->rows[i];
        size_t len = strlen(row->customer);
        msgpack_pack_array(&packer, Pf_DEMAND_FIELDS);
        msgpack_pack_str(&packer, len);
        msgpack_pack_str_body(&packer, row->customer, len);
        msgpack_pack_float(&packer, (float)row->per_sec);
        msgpack_pack_float(&packer, (float)row->in_flight);
        msgpack_pack_int(&packer, row->slots);
    }
    size_t len = copy_out(&buffer, out, size);
    msgpack_sbuffer_destroy(&buffer);
    return len;
}

/* Encodes as many demands as fit, starting with the first. */
size_t
Pf_WriteDemands(const struct pf_demands *demands, char *out, size_t size)
{
    size_t count = demands->count;
    size_t len = write_demands(demands, count, out, size);
    while (len == 0 && count > 0) {
        count--;
        len = write_demands(demands, count, out, size);
    }
    return len;
}

static bool
read_demand(const msgpack_object *object, struct am_demand *out)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size < Pf_DEMAND_FIELDS_MIN ||
        object->via.array.ptr[0].type != MSGPACK_OBJECT_STR ||
        object->via.array.ptr[0].via.str.size >= sizeof(out->customer)) {
        return false;
    }
    const msgpack_object *field = object->via.array.ptr;
    memcpy(out->customer, field[0].via.str.ptr, field[0].via.str.size);
    out->customer[field[0].via.str.size] = '\0';
    out->per_sec = read_double(&field[1]);
    out->in_flight = read_double(&field[2]);
    out->slots = object->via.array.size < Pf_DEMAND_FIELDS
                     ? -1
                     : (int)read_int(&field[3]);
    return true;
}

/* Decodes at most Pf_DEMANDS_MAX demands. */
bool
Pf_ReadDemands(const void *value, size_t len, struct pf_demands *out)
{
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    out->daemons = 0;
    out->count = 0;
    bool valid = msgpack_unpack_next(&unpacked, value, len, NULL) ==
                     MSGPACK_UNPACK_SUCCESS &&
                 unpacked.data.type == MSGPACK_OBJECT_ARRAY;
    size_t size = valid ? unpacked.data.via.array.size : 0;
    for (size_t i = 0; i < size && out->count < Pf_DEMANDS_MAX; i++) {
        const msgpack_object *item = &unpacked.data.via.array.ptr[i];
        if (i == 0 && item->type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
            out->daemons = (size_t)item->via.u64;
        }
        else if (read_demand(item, &out->rows[out->count])) {
            out->count++;
        }
    }
    msgpack_unpacked_destroy(&unpacked);
    return valid;
}
