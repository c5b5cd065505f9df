/*
 * Encodes and decodes records and facts, derives keys, and keeps the replay
 * window.
 */
#include "member/wire.h"

#include <bsd/string.h>
#include <stdio.h>
#include <string.h>

#include "base/hash.h"

#define Wr_SHORT_RECORD_ITEMS 4
#define Wr_FULL_RECORD_ITEMS 9
#define Wr_FACT_ITEMS 6
#define Wr_TTL_UNIT_USEC (100 * Ck_USEC_PER_MSEC)
#define Wr_TTL_MAX (INT64_MAX / Wr_TTL_UNIT_USEC)
#define Wr_WINDOW_BITS 64

/*
 * Derives a key for one purpose.  Datagrams and frames use different keys, so
 * that neither is accepted as the other.
 */
void
Wr_DeriveKey(const char *cluster_key, const char *purpose,
             char out[Wr_KEY_MAX])
{
    uint8_t mac[Wr_MAC_BYTES];
    Hash_Mac(cluster_key, purpose, strlen(purpose), mac);
    for (int i = 0; i < Wr_MAC_BYTES; i++) {
        snprintf(out + 2 * i, 3, "%02x", mac[i]);
    }
}

static int
buffer_write(void *data, const char *bytes, size_t len)
{
    struct wr_buffer *buffer = data;
    if (buffer->overflow || len > buffer->max - buffer->len) {
        buffer->overflow = true;
        return -1;
    }
    if (len > 0) {
        memcpy(buffer->data + buffer->len, bytes, len);
        buffer->len += len;
    }
    return 0;
}

/*
 * Makes msgpack pack into a buffer.  The caller checks "overflow" when all is
 * packed.
 */
void
Wr_PackerInit(msgpack_packer *packer, struct wr_buffer *buffer)
{
    msgpack_packer_init(packer, buffer, buffer_write);
}

static void
pack_string(msgpack_packer *packer, const char *text)
{
    msgpack_pack_str_with_body(packer, text, strlen(text));
}

void
Wr_PackRecord(msgpack_packer *packer, const struct mb_record *record)
{
    msgpack_pack_array(packer, record->full ? Wr_FULL_RECORD_ITEMS
                                            : Wr_SHORT_RECORD_ITEMS);
    pack_string(packer, record->id);
    msgpack_pack_uint64(packer, record->incarnation);
    msgpack_pack_uint8(packer, record->state);
    pack_string(packer, record->suspected_by);
    if (record->full) {
        pack_string(packer, record->address);
        msgpack_pack_uint16(packer, record->peer_port);
        msgpack_pack_uint16(packer, record->admin_port);
        pack_string(packer, record->data_centre);
        pack_string(packer, record->region);
    }
}

/*
 * Copies a string.  Returns false when the object is not a string, is too long
 * or contains a NUL.
 */
bool
Wr_ReadString(const msgpack_object *object, char *out, size_t size)
{
    if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= size) {
        return false;
    }
    size_t len = object->via.str.size;
    if (len > 0) { /* the pointer to an empty string may be NULL */
        memcpy(out, object->via.str.ptr, len);
    }
    out[len] = '\0';
    return strlen(out) == len;
}

static bool
read_number(const msgpack_object *object, uint64_t max, uint64_t *out)
{
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        object->via.u64 > max) {
        return false;
    }
    *out = object->via.u64;
    return true;
}

static const msgpack_object *
read_array(const msgpack_object *object, size_t min_count)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size < min_count) {
        return NULL;
    }
    return object->via.array.ptr;
}

static bool
read_location(const msgpack_object *item, struct mb_record *out)
{
    uint64_t peer_port;
    uint64_t admin_port;
    if (!Wr_ReadString(&item[0], out->address, sizeof(out->address)) ||
        !read_number(&item[1], UINT16_MAX, &peer_port) ||
        !read_number(&item[2], UINT16_MAX, &admin_port) ||
        !Wr_ReadString(&item[3], out->data_centre, sizeof(out->data_centre)) ||
        !Wr_ReadString(&item[4], out->region, sizeof(out->region))) {
        return false;
    }
    out->peer_port = (uint16_t)peer_port;
    out->admin_port = (uint16_t)admin_port;
    out->full = true;
    return out->address[0] != '\0' && out->data_centre[0] != '\0' &&
           out->region[0] != '\0';
}

/* Reads a record.  Elements after the last expected one are ignored. */
bool
Wr_ReadRecord(const msgpack_object *object, struct mb_record *out)
{
    memset(out, 0, sizeof(*out));
    const msgpack_object *item = read_array(object, Wr_SHORT_RECORD_ITEMS);
    uint64_t state;
    if (item == NULL || !Wr_ReadString(&item[0], out->id, sizeof(out->id)) ||
        out->id[0] == '\0' ||
        !read_number(&item[1], UINT64_MAX - 1, &out->incarnation) ||
        !read_number(&item[2], MB_DEAD, &state) ||
        !Wr_ReadString(&item[3], out->suspected_by,
                       sizeof(out->suspected_by))) {
        return false;
    }
    out->state = (enum mb_state)state;
    if (object->via.array.size < Wr_FULL_RECORD_ITEMS) {
        return true;
    }
    return read_location(item + Wr_SHORT_RECORD_ITEMS, out);
}

static uint64_t
ttl_units(const struct fc_fact *fact)
{
    return (uint64_t)((fact->ttl_usec + Wr_TTL_UNIT_USEC - 1) /
                      Wr_TTL_UNIT_USEC);
}

/* Packs a fact with its remaining time to live. */
void
Wr_PackFact(msgpack_packer *packer, const struct fc_fact *fact)
{
    msgpack_pack_array(packer, Wr_FACT_ITEMS);
    pack_string(packer, fact->owner);
    pack_string(packer, fact->key);
    msgpack_pack_uint64(packer, fact->version);
    msgpack_pack_uint8(packer, fact->scope);
    msgpack_pack_uint64(packer, ttl_units(fact));
    msgpack_pack_bin_with_body(packer, fact->value, fact->len);
}

/* Reads a fact.  Its value points into the unpacked bytes. */
bool
Wr_ReadFact(const msgpack_object *object, struct wr_fact *out)
{
    const msgpack_object *item = read_array(object, Wr_FACT_ITEMS);
    uint64_t scope;
    uint64_t ttl;
    if (item == NULL ||
        !Wr_ReadString(&item[0], out->owner, sizeof(out->owner)) ||
        !Wr_ReadString(&item[1], out->key, sizeof(out->key)) ||
        !read_number(&item[2], UINT64_MAX - 1, &out->fact.version) ||
        !read_number(&item[3], FC_DATA_CENTRE, &scope) ||
        !read_number(&item[4], Wr_TTL_MAX, &ttl) ||
        item[5].type != MSGPACK_OBJECT_BIN ||
        item[5].via.bin.size > Fc_VALUE_MAX || out->key[0] == '\0') {
        return false;
    }
    out->fact.owner = out->owner;
    out->fact.key = out->key;
    out->fact.scope = (enum fc_scope)scope;
    out->fact.ttl_usec = (int64_t)ttl * Wr_TTL_UNIT_USEC;
    out->fact.value = item[5].via.bin.ptr;
    out->fact.len = item[5].via.bin.size;
    return true;
}

static size_t
number_bytes(uint64_t number)
{
    if (number < 0x80) {
        return 1;
    }
    if (number <= UINT8_MAX) {
        return 2;
    }
    if (number <= UINT16_MAX) {
        return 3;
    }
    return number <= UINT32_MAX ? 5 : 9;
}

/*
 * Returns an upper bound of the encoded size of a fact, at most 2 bytes above
 * the actual size.
 */
size_t
Wr_FactBytes(const struct fc_fact *fact)
{
    return 1 + 2 + strlen(fact->owner) + 2 + strlen(fact->key) +
           number_bytes(fact->version) + 1 + number_bytes(ttl_units(fact)) +
           3 + fact->len;
}

/*
 * Checks a datagram's incarnation and counter against the replay window of its
 * sender and records them.  Without the check, an attacker on the network
 * could resend a recorded datagram and make, for example, a host that left
 * appear alive.  The counter grows with each datagram and the incarnation with
 * each restart of the sender, and the MAC covers both, so a replayed datagram
 * falls below the window or on a bit that is already set.
 */
enum wr_admission
Wr_Admit(struct wr_window *window, uint64_t incarnation, uint64_t counter)
{
    if (incarnation < window->incarnation) {
        return WR_OLD_INCARNATION;
    }
    if (incarnation > window->incarnation) {
        window->incarnation = incarnation;
        window->highest = counter;
        window->seen = 1;
        return WR_FRESH;
    }
    if (counter > window->highest) {
        uint64_t ahead = counter - window->highest;
        window->seen = ahead < Wr_WINDOW_BITS ? window->seen << ahead : 0;
        window->seen |= 1;
        window->highest = counter;
        return WR_FRESH;
    }
    uint64_t behind = window->highest - counter;
    if (behind >= Wr_WINDOW_BITS || (window->seen >> behind & 1) != 0) {
        return WR_REPLAYED;
    }
    window->seen |= UINT64_C(1) << behind;
    return WR_FRESH;
}
