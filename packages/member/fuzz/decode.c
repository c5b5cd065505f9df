#include "member/fuzz/decode.h"

#include <bsd/string.h>
#include <string.h>

#include "base/hash.h"
#include "member/fact.h"
#include "member/table.h"
#include "member/wire.h"

static void
no_send(void *arg, const struct mb_endpoint *to, enum mb_distance distance,
        const struct mb_message *message)
{
}

static void
apply(const struct wr_datagram *datagram)
{
    static const struct mb_ops ops = {no_send, NULL, NULL};
    struct rn_random random;
    Rn_Seed(&random, 1);
    struct mb_options options = {
        .self = {.id = "self",
                 .incarnation = 1,
                 .address = "127.0.0.1",
                 .data_centre = "dc",
                 .region = "west"},
        .clock = Ck_System(),
        .random = &random,
        .ops = &ops,
    };
    struct fc_options fact_options = {.node = "self", .clock = Ck_System()};
    struct mb_endpoint from = {.address = "127.0.0.1", .port = 1};
    struct mb_table *members;
    struct fc_table *facts;
    if (Mb_Create(&options, &members) == ST_OK) {
        Mb_Receive(members, &from, &datagram->message);
        Mb_Tick(members);
        Mb_Gossip(members);
        Mb_Destroy(members);
    }
    if (Fc_Create(&fact_options, &facts) == ST_OK) {
        for (size_t i = 0; i < datagram->fact_count; i++) {
            Fc_Apply(facts, &datagram->facts[i].fact);
        }
        Fc_Expire(facts);
        Fc_Destroy(facts);
    }
}

int
fuzz_decode(const uint8_t *data, size_t len)
{
    static const char key[] = "fuzz";
    uint8_t bytes[Wr_DATAGRAM_MAX];
    struct wr_datagram datagram;
    struct wr_frame frame;
    int decoded = 0;
    if (len <= sizeof(bytes) - Wr_MAC_BYTES) {
        if (len > 0) {
            memcpy(bytes, data, len);
        }
        Hash_Mac(key, bytes, len, bytes + len);
        if (Wr_UnpackDatagram(key, bytes, len + Wr_MAC_BYTES, &datagram) ==
            ST_OK) {
            apply(&datagram);
            decoded++;
        }
    }
    if (Wr_UnpackFrame(data, len, &frame) == ST_OK) {
        decoded++;
    }
    return decoded;
}
