/*
 * Frames: a 4-byte big-endian length, the body in msgpack, and the MAC. The
 * body is [kind, id, name, status, payload].
 */
#include <openssl/crypto.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/msgpack_check.h"
#include "member/wire.h"

#define Wr_FRAME_ITEMS 5
#define Wr_SEQUENCE_BYTES 8

/*
 * Packs the body of a frame.  Returns its length, or 0 when it does not fit.
 */
size_t
Wr_PackFrame(const struct wr_frame *frame, uint8_t *out, size_t max)
{
    struct wr_buffer buffer = {.data = out, .max = max};
    msgpack_packer packer;
    Wr_PackerInit(&packer, &buffer);
    msgpack_pack_array(&packer, Wr_FRAME_ITEMS);
    msgpack_pack_uint8(&packer, frame->kind);
    msgpack_pack_uint64(&packer, frame->id);
    msgpack_pack_str_with_body(&packer, frame->name, strlen(frame->name));
    msgpack_pack_uint8(&packer, frame->status);
    msgpack_pack_bin_with_body(&packer, frame->payload, frame->len);
    return buffer.overflow ? 0 : buffer.len;
}

static bool
read_frame(const msgpack_object *object, struct wr_frame *out)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size < Wr_FRAME_ITEMS) {
        return false;
    }
    const msgpack_object *item = object->via.array.ptr;
    if (item[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        item[0].via.u64 > WR_HELLO ||
        item[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        item[3].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        item[3].via.u64 > ST_INTERNAL || item[4].type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    out->kind = (enum wr_kind)item[0].via.u64;
    out->id = item[1].via.u64;
    out->status = (enum st_status)item[3].via.u64;
    out->payload = item[4].via.bin.ptr;
    out->len = item[4].via.bin.size;
    return Wr_ReadString(&item[2], out->name, sizeof(out->name));
}

/* Decodes the body of a frame whose MAC has been verified. */
enum st_status
Wr_UnpackFrame(const uint8_t *body, size_t len, struct wr_frame *out)
{
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t offset = 0;
    bool good = Mp_LengthsFit(body, len) &&
                msgpack_unpack_next(&unpacked, (const char *)body, len,
                                    &offset) == MSGPACK_UNPACK_SUCCESS &&
                offset == len && read_frame(&unpacked.data, out);
    msgpack_unpacked_destroy(&unpacked);
    if (!good) {
        return St_Fail(ST_INVALID, "malformed frame; check that the daemons' "
                                   "versions are compatible");
    }
    return ST_OK;
}

/*
 * Computes the MAC of a frame.  It covers the nonces that both sides chose for
 * this connection and the sequence number of the frame, so that a frame
 * recorded on another connection, or earlier on this one, is rejected.
 */
enum st_status
Wr_FrameMac(const char *key, const uint8_t *from_nonce,
            const uint8_t *to_nonce, uint64_t sequence, const uint8_t *body,
            size_t len, uint8_t out[Wr_MAC_BYTES])
{
    const size_t head = 2 * Wr_NONCE_BYTES + Wr_SEQUENCE_BYTES;
    uint8_t *bytes = malloc(head + len);
    if (bytes == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a frame of %zu bytes",
                       len);
    }
    memcpy(bytes, from_nonce, Wr_NONCE_BYTES);
    memcpy(bytes + Wr_NONCE_BYTES, to_nonce, Wr_NONCE_BYTES);
    for (int i = 0; i < Wr_SEQUENCE_BYTES; i++) {
        bytes[2 * Wr_NONCE_BYTES + i] = (uint8_t)(sequence >> 8 * i);
    }
    memcpy(bytes + head, body, len);
    Hash_Mac(key, bytes, head + len, out);
    free(bytes);
    return ST_OK;
}
