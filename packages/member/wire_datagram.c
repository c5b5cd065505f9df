/*
 * Datagrams: [version, type, from, incarnation, counter, sequence, subject,
 * [record...], [fact...]] in msgpack, followed by the MAC of these bytes.
 */
#include <openssl/crypto.h>
#include <string.h>

#include "base/hash.h"
#include "base/msgpack_check.h"
#include "member/wire.h"

#define Wr_DATAGRAM_ITEMS 9
#define Wr_ARRAY16_LIMIT 0x10000 /* one less has a 2-byte length */
#define Wr_COUNT_BYTES 2

static void
pack_header(msgpack_packer *packer, const struct mb_message *message,
            uint64_t counter)
{
    msgpack_pack_array(packer, Wr_DATAGRAM_ITEMS);
    msgpack_pack_uint8(packer, Wr_VERSION);
    msgpack_pack_uint8(packer, message->type);
    msgpack_pack_str_with_body(packer, message->from, strlen(message->from));
    msgpack_pack_uint64(packer, message->incarnation);
    msgpack_pack_uint64(packer, counter);
    msgpack_pack_uint32(packer, message->sequence);
    msgpack_pack_str_with_body(packer, message->subject,
                               strlen(message->subject));
    msgpack_pack_array(packer, message->update_count);
    for (size_t i = 0; i < message->update_count; i++) {
        Wr_PackRecord(packer, &message->updates[i]);
    }
}

static void
pack_facts(msgpack_packer *packer, struct wr_buffer *buffer,
           struct fc_table *facts, enum fc_scope narrowest)
{
    /*
     * The number of facts that fit is known only after packing: reserve a
     * 2-byte count and overwrite it afterwards.
     */
    msgpack_pack_array(packer, Wr_ARRAY16_LIMIT - 1);
    size_t count_at = buffer->len - Wr_COUNT_BYTES;
    size_t count = 0;
    struct fc_fact fact;
    if (facts != NULL) {
        Fc_BeginDatagram(facts);
        while (count < Wr_FACTS_MAX &&
               Fc_NextUpdate(facts, narrowest, buffer->max - buffer->len,
                             Wr_FactBytes, &fact)) {
            Wr_PackFact(packer, &fact);
            count++;
        }
    }
    buffer->data[count_at] = (uint8_t)(count >> 8);
    buffer->data[count_at + 1] = (uint8_t)count;
}

/*
 * Packs a message and fills the remaining space with queued facts whose scope
 * includes the receiver ("facts" may be NULL).  Returns the length, or 0 when
 * the message does not fit.
 */
size_t
Wr_PackDatagram(const char *key, const struct mb_message *message,
                uint64_t counter, struct fc_table *facts,
                enum fc_scope narrowest, uint8_t out[Wr_DATAGRAM_MAX])
{
    struct wr_buffer buffer = {.data = out,
                               .max = Wr_DATAGRAM_MAX - Wr_MAC_BYTES};
    msgpack_packer packer;
    Wr_PackerInit(&packer, &buffer);
    pack_header(&packer, message, counter);
    pack_facts(&packer, &buffer, facts, narrowest);
    if (buffer.overflow) {
        return 0;
    }
    Hash_Mac(key, out, buffer.len, out + buffer.len);
    return buffer.len + Wr_MAC_BYTES;
}

static bool
read_header(const msgpack_object *item, struct wr_datagram *out)
{
    struct mb_message *message = &out->message;
    for (int i = 0; i < 6; i++) {
        if (i != 2 && item[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return false;
        }
    }
    if (item[0].via.u64 != Wr_VERSION || item[1].via.u64 > MB_GOSSIP ||
        item[3].via.u64 == UINT64_MAX || item[5].via.u64 > UINT32_MAX) {
        return false;
    }
    message->type = (enum mb_type)item[1].via.u64;
    message->incarnation = item[3].via.u64;
    out->counter = item[4].via.u64;
    message->sequence = (uint32_t)item[5].via.u64;
    return Wr_ReadString(&item[2], message->from, sizeof(message->from)) &&
           message->from[0] != '\0' &&
           Wr_ReadString(&item[6], message->subject, sizeof(message->subject));
}

static bool
read_updates(const msgpack_object *object, struct mb_message *message)
{
    message->update_count = 0;
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size > Mb_UPDATES_MAX) {
        return false;
    }
    for (size_t i = 0; i < object->via.array.size; i++) {
        if (!Wr_ReadRecord(&object->via.array.ptr[i], &message->updates[i])) {
            return false;
        }
        message->update_count++;
    }
    return true;
}

static bool
read_facts(const msgpack_object *object, struct wr_datagram *out)
{
    out->fact_count = 0;
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size > Wr_FACTS_MAX) {
        return false;
    }
    for (size_t i = 0; i < object->via.array.size; i++) {
        if (!Wr_ReadFact(&object->via.array.ptr[i], &out->facts[i])) {
            return false;
        }
        out->fact_count++;
    }
    return true;
}

static bool
read_datagram(const msgpack_object *object, struct wr_datagram *out)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size < Wr_DATAGRAM_ITEMS) {
        return false;
    }
    const msgpack_object *item = object->via.array.ptr;
    return read_header(item, out) && read_updates(&item[7], &out->message) &&
           read_facts(&item[8], out);
}

/*
 * Verifies and decodes a datagram.  Returns ST_DENIED when the MAC does not
 * match the key, ST_INVALID when the content is malformed.  The MAC is
 * verified before anything is parsed.  The values of facts point into "data".
 */
enum st_status
Wr_UnpackDatagram(const char *key, const uint8_t *data, size_t len,
                  struct wr_datagram *out)
{
    uint8_t mac[Wr_MAC_BYTES];
    if (len <= Wr_MAC_BYTES || len > Wr_DATAGRAM_MAX) {
        return St_Fail(ST_INVALID,
                       "datagram of %zu bytes is too short or too long", len);
    }
    len -= Wr_MAC_BYTES;
    Hash_Mac(key, data, len, mac);
    if (CRYPTO_memcmp(mac, data + len, Wr_MAC_BYTES) != 0) {
        return St_Fail(ST_DENIED,
                       "datagram MAC does not match the cluster key; "
                       "give all daemons the same key");
    }
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t offset = 0;
    bool good = Mp_LengthsFit(data, len) &&
                msgpack_unpack_next(&unpacked, (const char *)data, len,
                                    &offset) == MSGPACK_UNPACK_SUCCESS &&
                offset == len && read_datagram(&unpacked.data, out);
    msgpack_unpacked_destroy(&unpacked);
    if (!good) {
        return St_Fail(ST_INVALID, "malformed datagram; check that the "
                                   "daemons' versions are compatible");
    }
    return ST_OK;
}
