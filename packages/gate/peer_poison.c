#include "gate/peer_poison.h"

#include <msgpack.h>
#include <string.h>

#include "base/packscan.h"

#define Pp_KEY_FIELDS 3
#define Pp_CRASH_FIELDS (Pp_KEY_FIELDS + 6)
#define Pp_CLEAR_FIELDS (Pp_KEY_FIELDS + 1)
#define Pp_STOP_FIELDS (Pp_KEY_FIELDS + 2)

static void
write_key(msgpack_packer *packer, const struct pz_key *key)
{
    msgpack_pack_uint32(packer, key->service);
    msgpack_pack_uint32(packer, key->customer);
    msgpack_pack_uint32(packer, key->part);
}

static void
write_crashes(msgpack_packer *packer, const struct gq_word *word)
{
    msgpack_pack_array(packer, word->crash_count * Pp_CRASH_FIELDS);
    for (size_t i = 0; i < word->crash_count; i++) {
        const struct pz_crash *row = &word->crashes[i];
        write_key(packer, &row->key);
        msgpack_pack_uint32(packer, row->endpoint);
        msgpack_pack_int(packer, row->depth);
        msgpack_pack_int(packer, row->begun);
        msgpack_pack_int64(packer, row->sent_at);
        msgpack_pack_int64(packer, row->ended_at);
        msgpack_pack_uint32(packer, row->request);
    }
}

static void
write_clears(msgpack_packer *packer, const struct gq_word *word)
{
    msgpack_pack_array(packer, word->clear_count * Pp_CLEAR_FIELDS);
    for (size_t i = 0; i < word->clear_count; i++) {
        write_key(packer, &word->clears[i].key);
        msgpack_pack_int64(packer, word->clears[i].at);
    }
}

static void
write_stops(msgpack_packer *packer, const struct gq_word *word)
{
    msgpack_pack_array(packer, word->stop_count * Pp_STOP_FIELDS);
    for (size_t i = 0; i < word->stop_count; i++) {
        write_key(packer, &word->stops[i].key);
        msgpack_pack_int64(packer, word->stops[i].decided_at);
        msgpack_pack_int64(packer, word->stops[i].seen_at);
    }
}

size_t
Pp_Write(const char *key, const struct gq_word *word, char *out, size_t size)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    size_t rows = 0;
    if (strcmp(key, Pp_ENDED) == 0) {
        rows = word->crash_count;
        write_crashes(&packer, word);
    }
    else if (strcmp(key, Pp_BEGUN) == 0) {
        rows = word->clear_count;
        write_clears(&packer, word);
    }
    else {
        rows = word->stop_count;
        write_stops(&packer, word);
    }
    size_t len = rows > 0 && buffer.size <= size ? buffer.size : 0;
    memcpy(out, buffer.data, len);
    msgpack_sbuffer_destroy(&buffer);
    return len;
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
rows_of(const msgpack_object *list, size_t width, size_t most)
{
    size_t rows = list->via.array.size / width;
    return rows < most ? rows : most;
}

static void
read_rows(const char *key, const msgpack_object *list, struct gq_word *out)
{
    const msgpack_object *row = list->via.array.ptr;
    if (strcmp(key, Pp_ENDED) == 0) {
        out->crash_count = rows_of(list, Pp_CRASH_FIELDS, Gq_CRASHES_MAX);
        for (size_t i = 0; i < out->crash_count; i++, row += Pp_CRASH_FIELDS) {
            out->crashes[i] = (struct pz_crash){
                .key = read_key(row),
                .endpoint = (uint32_t)number(&row[Pp_KEY_FIELDS]),
                .depth = (int)number(&row[Pp_KEY_FIELDS + 1]),
                .begun = number(&row[Pp_KEY_FIELDS + 2]) != 0,
                .sent_at = number(&row[Pp_KEY_FIELDS + 3]),
                .ended_at = number(&row[Pp_KEY_FIELDS + 4]),
                .request = (uint32_t)number(&row[Pp_KEY_FIELDS + 5]),
            };
        }
    }
    else if (strcmp(key, Pp_BEGUN) == 0) {
        out->clear_count = rows_of(list, Pp_CLEAR_FIELDS, Gq_CLEARS_MAX);
        for (size_t i = 0; i < out->clear_count; i++, row += Pp_CLEAR_FIELDS) {
            out->clears[i] =
                (struct pz_clear){read_key(row), number(&row[Pp_KEY_FIELDS])};
        }
    }
    else {
        out->stop_count = rows_of(list, Pp_STOP_FIELDS, Gq_STOPS_MAX);
        for (size_t i = 0; i < out->stop_count; i++, row += Pp_STOP_FIELDS) {
            out->stops[i] =
                (struct pz_stop){read_key(row), number(&row[Pp_KEY_FIELDS]),
                                 number(&row[Pp_KEY_FIELDS + 1])};
        }
    }
}

bool
Pp_Read(const char *key, const void *value, size_t len, struct gq_word *out)
{
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    memset(out, 0, sizeof(*out));
    bool good = Mp_CountsFit(value, len) &&
                msgpack_unpack_next(&unpacked, value, len, NULL) ==
                    MSGPACK_UNPACK_SUCCESS &&
                unpacked.data.type == MSGPACK_OBJECT_ARRAY;
    if (good) {
        read_rows(key, &unpacked.data, out);
    }
    msgpack_unpacked_destroy(&unpacked);
    return good;
}
