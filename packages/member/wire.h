/*
 * Encodes datagrams and frames between daemons as msgpack with a message
 * authentication code (MAC), and rejects replayed datagrams.  See
 * docs/design/membership.md for the exact layout.
 */
#ifndef MEMBER_WIRE_H
#define MEMBER_WIRE_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "member/fact.h"
#include "member/table.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Wr_VERSION 1
#define Wr_DATAGRAM_MAX 1400 /* bytes */
#define Wr_MAC_BYTES 16
#define Wr_FACTS_MAX 96 /* facts in one datagram */
#define Wr_KEY_MAX 33   /* a derived key: 32 hex digits and the NUL */
#define Wr_FRAME_MAX (1024 * 1024) /* bytes of the body */
#define Wr_FRAME_HEAD_BYTES 4
#define Wr_NONCE_BYTES 16
#define Wr_TYPE_MAX 32 /* bytes with NUL */

/* A buffer of fixed size for the msgpack packer. */
struct wr_buffer {
    uint8_t *data;
    size_t len;
    size_t max;
    bool overflow;
};

struct wr_fact {
    char owner[Mb_ID_MAX];
    char key[Fc_KEY_MAX];
    struct fc_fact fact;
};

struct wr_datagram {
    struct mb_message message;
    uint64_t counter;
    size_t fact_count;
    struct wr_fact facts[Wr_FACTS_MAX];
};

enum wr_kind {
    WR_REQUEST,
    WR_ANSWER,
    WR_HELLO,
};

/* The body of a frame.  "payload" points into the decoded bytes. */
struct wr_frame {
    enum wr_kind kind;
    uint64_t id;
    char name[Mb_ID_MAX];  /* request type, or node id in a hello */
    enum st_status status; /* status of an answer */
    const void *payload;   /* the nonce in a hello */
    size_t len;
};

/* The sliding replay window of one sender. */
struct wr_window {
    uint64_t incarnation;
    uint64_t highest; /* highest counter received */
    uint64_t seen;    /* bit n: "highest" - n was received */
};

enum wr_admission {
    WR_FRESH,
    WR_REPLAYED,
    WR_OLD_INCARNATION, /* sent under an earlier incarnation */
};

void Wr_DeriveKey(const char *cluster_key, const char *purpose,
                  char out[Wr_KEY_MAX]);

size_t Wr_PackDatagram(const char *key, const struct mb_message *message,
                       uint64_t counter, struct fc_table *facts,
                       enum fc_scope narrowest, uint8_t out[Wr_DATAGRAM_MAX]);
enum st_status Wr_UnpackDatagram(const char *key, const uint8_t *data,
                                 size_t len, struct wr_datagram *out);
enum wr_admission Wr_Admit(struct wr_window *window, uint64_t incarnation,
                           uint64_t counter);

size_t Wr_PackFrame(const struct wr_frame *frame, uint8_t *out, size_t max);
enum st_status Wr_UnpackFrame(const uint8_t *body, size_t len,
                              struct wr_frame *out);
enum st_status Wr_FrameMac(const char *key, const uint8_t *from_nonce,
                           const uint8_t *to_nonce, uint64_t sequence,
                           const uint8_t *body, size_t len,
                           uint8_t out[Wr_MAC_BYTES]);

/* Also used by the exchange of full states. */
void Wr_PackerInit(msgpack_packer *packer, struct wr_buffer *buffer);
void Wr_PackRecord(msgpack_packer *packer, const struct mb_record *record);
bool Wr_ReadRecord(const msgpack_object *object, struct mb_record *out);
void Wr_PackFact(msgpack_packer *packer, const struct fc_fact *fact);
bool Wr_ReadFact(const msgpack_object *object, struct wr_fact *out);
size_t Wr_FactBytes(const struct fc_fact *fact);
bool Wr_ReadString(const msgpack_object *object, char *out, size_t size);

#ifdef __cplusplus
}
#endif

#endif
