#include "edge/leader_record.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_check.h"
#include "edge/packed.h"

#define Lc_FIELDS 6

static void
pack_needs(msgpack_packer *packer, const struct lc_record *record)
{
    msgpack_pack_array(packer, record->need_count);
    for (size_t i = 0; i < record->need_count; i++) {
        msgpack_pack_array(packer, 3);
        msgpack_pack_uint32(packer, record->needs[i].service);
        msgpack_pack_int(packer, record->needs[i].endpoints);
        msgpack_pack_int64(packer, (int64_t)record->needs[i].prefill_rate);
    }
}

static void
pack_tenants(msgpack_packer *packer, const struct lr_usage *usage)
{
    msgpack_pack_array(packer, usage->count);
    for (size_t i = 0; i < usage->count; i++) {
        const struct lr_tenant *tenant = &usage->tenants[i];
        size_t len = strlen(tenant->name);
        msgpack_pack_array(packer, 2);
        msgpack_pack_str(packer, len);
        msgpack_pack_str_body(packer, tenant->name, len);
        msgpack_pack_uint32(packer, tenant->count);
    }
}

static void
pack_moves(msgpack_packer *packer, const struct lc_record *record)
{
    msgpack_pack_array(packer, record->move_count);
    for (size_t i = 0; i < record->move_count; i++) {
        msgpack_pack_array(packer, 3);
        msgpack_pack_uint32(packer, record->moves[i].service);
        msgpack_pack_int64(packer, record->moves[i].order);
        msgpack_pack_int(packer, record->moves[i].state);
    }
}

static void
pack_recent(msgpack_packer *packer, const struct lc_record *record)
{
    msgpack_pack_array(packer, record->recent_count);
    for (size_t i = 0; i < record->recent_count; i++) {
        msgpack_pack_array(packer, 3);
        msgpack_pack_uint32(packer, record->recent[i].tenant);
        msgpack_pack_int64(packer, (int64_t)record->recent[i].past.older);
        msgpack_pack_int64(packer, (int64_t)record->recent[i].past.newer);
    }
}

/*
 * Layout: [run, [[service, endpoints, prefill rate]...], window, [[tenant,
 * count]...], [[service, order, state]...], [[tenant, spent in the older and
 * the newer half of a window]...]].  Window 0 means no usage.
 */
size_t
Lc_Encode(const struct lc_record *record, char **out)
{
    static const struct lr_usage none;
    const struct lr_usage *usage = record->has_usage ? &record->usage : &none;
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer packer;
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, Lc_FIELDS);
    msgpack_pack_uint64(&packer, record->run);
    pack_needs(&packer, record);
    msgpack_pack_int64(&packer, usage->window);
    pack_tenants(&packer, usage);
    pack_moves(&packer, record);
    pack_recent(&packer, record);
    size_t len = buffer.size;
    *out = msgpack_sbuffer_release(&buffer);
    return len;
}

/* Returns the fields of a row of a list, or NULL if it has another size. */
static const msgpack_object *
row_fields(const msgpack_object *list, size_t at, uint32_t size)
{
    const msgpack_object *row = &list->via.array.ptr[at];
    if (row->type != MSGPACK_OBJECT_ARRAY || row->via.array.size != size) {
        return NULL;
    }
    return row->via.array.ptr;
}

static bool
decode_tenants(const msgpack_object *list, struct lr_usage *usage)
{
    if (list->type != MSGPACK_OBJECT_ARRAY ||
        list->via.array.size > Lr_TENANTS_MAX) {
        return false;
    }
    for (size_t i = 0; i < list->via.array.size; i++) {
        const msgpack_object *fields = row_fields(list, i, 2);
        struct lr_tenant *tenant = &usage->tenants[usage->count];
        if (fields == NULL ||
            !Pk_CopyString(&fields[0], tenant->name, sizeof(tenant->name)) ||
            fields[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return false;
        }
        tenant->count = (uint32_t)fields[1].via.u64;
        usage->count++;
    }
    return true;
}

static void
decode_needs(const msgpack_object *list, struct lc_record *out)
{
    if (list->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    for (size_t i = 0;
         i < list->via.array.size && out->need_count < Lr_NEEDS_MAX; i++) {
        const msgpack_object *fields = row_fields(list, i, 3);
        if (fields == NULL) {
            continue;
        }
        out->needs[out->need_count++] = (struct lr_need){
            .service = (uint32_t)fields[0].via.u64,
            .endpoints = (int)fields[1].via.i64,
            .prefill_rate = (double)fields[2].via.i64,
        };
    }
}

static void
decode_moves(const msgpack_object *list, struct lc_record *out)
{
    if (list->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    for (size_t i = 0;
         i < list->via.array.size && out->move_count < Lr_MOVES_MAX; i++) {
        const msgpack_object *fields = row_fields(list, i, 3);
        if (fields == NULL || fields[2].via.u64 > RO_SUCCEEDED) {
            continue;
        }
        out->moves[out->move_count++] = (struct ro_status){
            .service = (uint32_t)fields[0].via.u64,
            .order = fields[1].via.i64,
            .state = (enum ro_state)fields[2].via.u64,
        };
    }
}

/* A negative value means that more was refunded than spent; it counts as 0. */
static double
clamp_spent(const msgpack_object *object)
{
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER
               ? (double)object->via.u64
               : 0;
}

static void
decode_recent(const msgpack_object *list, struct lc_record *out)
{
    if (list->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    for (size_t i = 0;
         i < list->via.array.size && out->recent_count < Qt_RECENT_MAX; i++) {
        const msgpack_object *fields = row_fields(list, i, 3);
        if (fields != NULL &&
            fields[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
            out->recent[out->recent_count++] = (struct qt_recent){
                .tenant = (uint32_t)fields[0].via.u64,
                .past = {clamp_spent(&fields[1]), clamp_spent(&fields[2])},
            };
        }
    }
}

static bool
decode(const msgpack_object *object, struct lc_record *out)
{
    if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < 1 ||
        object->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    out->run = object->via.array.ptr[0].via.u64;
    if (object->via.array.size < 2) {
        return true;
    }
    decode_needs(&object->via.array.ptr[1], out);
    if (object->via.array.size < 4) {
        return true;
    }
    if (object->via.array.ptr[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    out->usage.window = (int64_t)object->via.array.ptr[2].via.u64;
    out->has_usage = out->usage.window != 0;
    if (object->via.array.size >= 5) {
        decode_moves(&object->via.array.ptr[4], out);
    }
    if (object->via.array.size >= Lc_FIELDS) {
        decode_recent(&object->via.array.ptr[5], out);
    }
    return decode_tenants(&object->via.array.ptr[3], &out->usage);
}

bool
Lc_Decode(const void *data, size_t len, struct lc_record *out)
{
    memset(out, 0, sizeof(*out));
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    bool valid = Mp_LengthsFit((const uint8_t *)data, len) &&
                 msgpack_unpack_next(&unpacked, data, len, NULL) ==
                     MSGPACK_UNPACK_SUCCESS &&
                 decode(&unpacked.data, out);
    msgpack_unpacked_destroy(&unpacked);
    return valid;
}
