/* The send queue of a connection and the MACs of its frames. */
#include <openssl/crypto.h>
#include <stdlib.h>
#include <string.h>

#include "member/link.h"
#include "member/link_internal.h"

static const uint8_t no_nonce[Wr_NONCE_BYTES];

static void
write_length(uint8_t *bytes, size_t len)
{
    for (int i = 0; i < Wr_FRAME_HEAD_BYTES; i++) {
        bytes[i] = (uint8_t)(len >> 8 * (Wr_FRAME_HEAD_BYTES - 1 - i));
    }
}

/* Returns the size of a frame with its length field and MAC. */
size_t
lk_frame_bytes(const struct lk_frame *frame)
{
    return Wr_FRAME_HEAD_BYTES + frame->body_len + Wr_MAC_BYTES;
}

/*
 * Writes the length and the MAC just before a frame is sent, so that a frame
 * removed from the queue leaves no gap in the sequence numbers.
 */
bool
lk_seal(struct lk_connection *connection, struct lk_frame *frame)
{
    uint8_t *body = frame->bytes + Wr_FRAME_HEAD_BYTES;
    const uint8_t *from = frame->hello ? no_nonce : connection->nonce;
    const uint8_t *to = frame->hello ? no_nonce : connection->peer_nonce;
    uint64_t sequence = frame->hello ? 0 : ++connection->sent_sequence;
    write_length(frame->bytes, frame->body_len);
    frame->sealed = true;
    return Wr_FrameMac(connection->links->key, from, to, sequence, body,
                       frame->body_len, body + frame->body_len) == ST_OK;
}

/*
 * Returns the next frame that may be sent.  Until the hello of the peer has
 * arrived, that is only the hello of this node.
 */
struct lk_frame *
lk_next_frame(struct lk_connection *connection)
{
    struct lk_frame *frame = TAILQ_FIRST(&connection->frames);
    if (frame == NULL || (!frame->hello && !connection->ready)) {
        return NULL;
    }
    return frame;
}

/* Removes a frame from the queue and frees it. */
void
lk_unqueue(struct lk_connection *connection, struct lk_frame *frame)
{
    TAILQ_REMOVE(&connection->frames, frame, link);
    connection->queued_frames--;
    connection->queued_bytes -= lk_frame_bytes(frame);
    if (frame->call != NULL) {
        frame->call->frame = NULL;
    }
    free(frame);
}

/* Queues a frame.  Returns ST_OVERLOAD when the queue is full. */
enum st_status
lk_queue(struct lk_connection *connection, const struct wr_frame *frame,
         struct lk_call *call)
{
    size_t max = frame->len + Lk_HELLO_MAX;
    if (connection->queued_frames >= Lk_QUEUED_FRAMES_MAX ||
        connection->queued_bytes + max > Lk_QUEUED_BYTES_MAX) {
        return St_Fail(ST_OVERLOAD,
                       "%zu frames wait for node at %s; try again later",
                       connection->queued_frames, connection->peer.address);
    }
    struct lk_frame *queued =
        calloc(1, sizeof(*queued) + Wr_FRAME_HEAD_BYTES + max + Wr_MAC_BYTES);
    if (queued == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a frame of %zu bytes",
                       max);
    }
    queued->body_len =
        Wr_PackFrame(frame, queued->bytes + Wr_FRAME_HEAD_BYTES, max);
    if (queued->body_len == 0 || queued->body_len > Wr_FRAME_MAX) {
        free(queued);
        return St_Fail(ST_INVALID, "frame of %zu bytes; at most %d fit",
                       frame->len, Lk_PAYLOAD_MAX);
    }
    queued->call = call;
    queued->hello = frame->kind == WR_HELLO;
    if (call != NULL) {
        call->frame = queued;
    }
    TAILQ_INSERT_TAIL(&connection->frames, queued, link);
    connection->queued_frames++;
    connection->queued_bytes += lk_frame_bytes(queued);
    connection->used_usec = Ck_Now(connection->links->clock);
    return ST_OK;
}

/* Verifies the MAC of a received frame. */
bool
lk_check_mac(struct lk_connection *connection, const uint8_t *body, size_t len)
{
    uint8_t mac[Wr_MAC_BYTES];
    bool hello = !connection->ready;
    const uint8_t *from = hello ? no_nonce : connection->peer_nonce;
    const uint8_t *to = hello ? no_nonce : connection->nonce;
    uint64_t sequence = hello ? 0 : ++connection->received_sequence;
    if (Wr_FrameMac(connection->links->key, from, to, sequence, body, len,
                    mac) != ST_OK) {
        return false;
    }
    return CRYPTO_memcmp(mac, body + len, Wr_MAC_BYTES) == 0;
}
