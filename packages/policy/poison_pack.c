#include "policy/poison_pack.h"

#define Pz_KEY_FIELDS 3
#define Pz_CRASH_FIELDS (Pz_KEY_FIELDS + 6)
#define Pz_CLEAR_FIELDS (Pz_KEY_FIELDS + 1)
#define Pz_QUARANTINE_FIELDS (Pz_KEY_FIELDS + 2)

static void
pack_key(msgpack_packer *packer, const struct pz_key *key)
{
    msgpack_pack_uint32(packer, key->service);
    msgpack_pack_uint32(packer, key->customer);
    msgpack_pack_uint32(packer, key->part);
}

void
Pz_PackCrashes(msgpack_packer *packer, const struct pz_crash *rows,
               size_t count)
{
    msgpack_pack_array(packer, count * Pz_CRASH_FIELDS);
    for (size_t i = 0; i < count; i++) {
        const struct pz_crash *row = &rows[i];
        pack_key(packer, &row->key);
        msgpack_pack_uint32(packer, row->endpoint);
        msgpack_pack_int(packer, row->depth);
        msgpack_pack_int(packer, row->head_received);
        msgpack_pack_int64(packer, row->sent_at);
        msgpack_pack_int64(packer, row->ended_at);
        msgpack_pack_uint32(packer, row->request);
    }
}

void
Pz_PackClears(msgpack_packer *packer, const struct pz_clear *rows,
              size_t count)
{
    msgpack_pack_array(packer, count * Pz_CLEAR_FIELDS);
    for (size_t i = 0; i < count; i++) {
        pack_key(packer, &rows[i].key);
        msgpack_pack_int64(packer, rows[i].at);
    }
}

void
Pz_PackQuarantines(msgpack_packer *packer, const struct pz_quarantine *rows,
                   size_t count)
{
    msgpack_pack_array(packer, count * Pz_QUARANTINE_FIELDS);
    for (size_t i = 0; i < count; i++) {
        pack_key(packer, &rows[i].key);
        msgpack_pack_int64(packer, rows[i].decided_at);
        msgpack_pack_int64(packer, rows[i].requested_at);
    }
}

static int64_t
number(const msgpack_object *object)
{
    if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER ||
        object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        return object->via.i64;
    }
    return 0;
}

static struct pz_key
read_key(const msgpack_object *row)
{
    return (struct pz_key){(uint32_t)number(&row[0]),
                           (uint32_t)number(&row[1]),
                           (uint32_t)number(&row[2])};
}

static size_t
count_rows(const msgpack_object *list, size_t width, size_t rows_max)
{
    if (list->type != MSGPACK_OBJECT_ARRAY) {
        return 0;
    }
    size_t rows = list->via.array.size / width;
    return rows < rows_max ? rows : rows_max;
}

size_t
Pz_ReadCrashes(const msgpack_object *list, struct pz_crash *out,
               size_t rows_max)
{
    size_t count = count_rows(list, Pz_CRASH_FIELDS, rows_max);
    for (size_t i = 0; i < count; i++) {
        const msgpack_object *row = &list->via.array.ptr[i * Pz_CRASH_FIELDS];
        const msgpack_object *field = &row[Pz_KEY_FIELDS];
        out[i] = (struct pz_crash){
            .key = read_key(row),
            .endpoint = (uint32_t)number(&field[0]),
            .depth = (int)number(&field[1]),
            .head_received = number(&field[2]) != 0,
            .sent_at = number(&field[3]),
            .ended_at = number(&field[4]),
            .request = (uint32_t)number(&field[5]),
        };
    }
    return count;
}

size_t
Pz_ReadClears(const msgpack_object *list, struct pz_clear *out,
              size_t rows_max)
{
    size_t count = count_rows(list, Pz_CLEAR_FIELDS, rows_max);
    for (size_t i = 0; i < count; i++) {
        const msgpack_object *row = &list->via.array.ptr[i * Pz_CLEAR_FIELDS];
        out[i] = (struct pz_clear){read_key(row), number(&row[Pz_KEY_FIELDS])};
    }
    return count;
}

size_t
Pz_ReadQuarantines(const msgpack_object *list, struct pz_quarantine *out,
                   size_t rows_max)
{
    size_t count = count_rows(list, Pz_QUARANTINE_FIELDS, rows_max);
    for (size_t i = 0; i < count; i++) {
        const msgpack_object *row =
            &list->via.array.ptr[i * Pz_QUARANTINE_FIELDS];
        out[i] =
            (struct pz_quarantine){read_key(row), number(&row[Pz_KEY_FIELDS]),
                                   number(&row[Pz_KEY_FIELDS + 1])};
    }
    return count;
}
