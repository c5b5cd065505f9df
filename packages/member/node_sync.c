/*
 * Exchange of full state between two nodes (anti-entropy): digests first, then
 * only the differences.
 *
 * "sync/digest" carries [members, [facts of a scope...]], each a digest of
 * fixed-size buckets.  The answer is [differing, [record...], [[differing,
 * [stamp...]]...]], where "differing" has a bit for each bucket.  "sync/merge"
 * carries [[record...], [fact...], [wanted...]] and is answered by [fact...].
 */
#include <bsd/string.h>
#include <string.h>

#include "base/msgpack_check.h"
#include "member/node.h"
#include "member/node_internal.h"

#define Nd_BUCKETS 64 /* of members; one bit each in a uint64_t */
#define Nd_SYNC_TIMEOUT_USEC (5 * Ck_USEC_PER_SEC)
#define Nd_SYNC_RETRY_USEC Ck_USEC_PER_SEC
#define Nd_STAMPS_MAX 1024 /* stamps in a bucket */
#define Nd_FAR_OF_TEN 1    /* of ten exchanges, with other regions */
#define Nd_REGION_OF_TEN 2
#define Nd_DIGEST "sync/digest"
#define Nd_MERGE "sync/merge"
#define Nd_BYTES_MAX (Lk_PAYLOAD_MAX - 4096) /* a last fact fits */

static void
pack_buckets(msgpack_packer *packer, const uint64_t *buckets, size_t count)
{
    uint8_t bytes[Nd_BUCKETS * sizeof(uint64_t)];
    for (size_t i = 0; i < count * sizeof(uint64_t); i++) {
        bytes[i] = (uint8_t)(buckets[i / 8] >> i % 8 * 8);
    }
    msgpack_pack_bin_with_body(packer, bytes, count * sizeof(uint64_t));
}

static bool
read_buckets(const msgpack_object *object, uint64_t *buckets, size_t count)
{
    if (object->type != MSGPACK_OBJECT_BIN ||
        object->via.bin.size != count * sizeof(uint64_t)) {
        return false;
    }
    memset(buckets, 0, count * sizeof(uint64_t));
    for (size_t i = 0; i < count * sizeof(uint64_t); i++) {
        buckets[i / 8] |= (uint64_t)(uint8_t)object->via.bin.ptr[i]
                          << i % 8 * 8;
    }
    return true;
}

static uint64_t
differing_bits(const uint64_t *a, const uint64_t *b, size_t count)
{
    uint64_t bits = 0;
    for (size_t i = 0; i < count; i++) {
        if (a[i] != b[i]) {
            bits |= UINT64_C(1) << i;
        }
    }
    return bits;
}

static const msgpack_object *
array_items(const msgpack_object *object, size_t min_count)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size < min_count) {
        return NULL;
    }
    return object->via.array.ptr;
}

static bool
is_in_buckets(const struct mb_record *record, uint64_t bits)
{
    return (bits >> Mb_Bucket(record, Nd_BUCKETS) & 1) != 0;
}

static void
pack_records(struct nd_node *node, msgpack_packer *packer, uint64_t bits)
{
    size_t count = 0;
    const struct mb_record *record;
    for (record = Mb_First(node->members); record != NULL;
         record = Mb_Next(record)) {
        count += is_in_buckets(record, bits);
    }
    msgpack_pack_array(packer, count);
    for (record = Mb_First(node->members); record != NULL;
         record = Mb_Next(record)) {
        if (is_in_buckets(record, bits)) {
            Wr_PackRecord(packer, record);
        }
    }
}

static bool
apply_records(struct nd_node *node, const msgpack_object *object,
              bool local_only)
{
    const msgpack_object *item = array_items(object, 0);
    if (item == NULL) {
        return false;
    }
    for (size_t i = 0; i < object->via.array.size; i++) {
        struct mb_record record;
        if (!Wr_ReadRecord(&item[i], &record)) {
            return false;
        }
        if (local_only) {
            Mb_ApplyLocally(node->members, &record);
        }
        else {
            Mb_Apply(node->members, &record);
        }
    }
    return true;
}

static bool
apply_facts(struct nd_node *node, const msgpack_object *object,
            bool local_only)
{
    const msgpack_object *item = array_items(object, 0);
    if (item == NULL) {
        return false;
    }
    for (size_t i = 0; i < object->via.array.size; i++) {
        struct wr_fact fact;
        if (!Wr_ReadFact(&item[i], &fact)) {
            return false;
        }
        if (local_only) {
            Fc_ApplyLocally(node->facts, &fact.fact);
        }
        else {
            Fc_Apply(node->facts, &fact.fact);
        }
    }
    return true;
}

static void
pack_stamps(struct nd_node *node, msgpack_packer *packer, enum fc_scope scope,
            uint64_t bits)
{
    struct fc_stamp stamps[Nd_STAMPS_MAX];
    size_t total = 0;
    for (size_t i = 0; i < Fc_BUCKETS; i++) {
        if ((bits >> i & 1) != 0) {
            total += Fc_Stamps(node->facts, scope, i, stamps, Nd_STAMPS_MAX);
        }
    }
    msgpack_pack_array(packer, 2);
    msgpack_pack_uint64(packer, bits);
    msgpack_pack_array(packer, total);
    for (size_t i = 0; i < Fc_BUCKETS; i++) {
        if ((bits >> i & 1) == 0) {
            continue;
        }
        size_t count = Fc_Stamps(node->facts, scope, i, stamps, Nd_STAMPS_MAX);
        for (size_t j = 0; j < count; j++) {
            msgpack_pack_array(packer, 3);
            msgpack_pack_uint64(packer, stamps[j].name_hash);
            msgpack_pack_uint64(packer, stamps[j].version);
            msgpack_pack_uint32(packer, stamps[j].value_hash);
        }
    }
}

static bool
read_stamp(const msgpack_object *object, struct fc_stamp *out)
{
    const msgpack_object *item = array_items(object, 3);
    if (item == NULL) {
        return false;
    }
    for (int i = 0; i < 3; i++) {
        if (item[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return false;
        }
    }
    out->name_hash = item[0].via.u64;
    out->version = item[1].via.u64;
    out->value_hash = (uint32_t)item[2].via.u64;
    return true;
}

static enum fc_scope
scope_of_peer(struct nd_node *node, const char *id)
{
    const struct mb_record *record = Mb_Find(node->members, id);
    return nd_scope(record != NULL ? Mb_Distance(node->members, record)
                                   : MB_FAR);
}

/* Unpacks the payload of a request or an answer and passes it to "decode". */
static bool
decode_payload(struct nd_node *node, const void *payload, size_t len,
               bool (*decode)(struct nd_node *node,
                              const msgpack_object *object, void *arg),
               void *arg)
{
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t offset = 0;
    bool good = Mp_LengthsFit(payload, len) &&
                msgpack_unpack_next(&unpacked, payload, len, &offset) ==
                    MSGPACK_UNPACK_SUCCESS &&
                decode(node, &unpacked.data, arg);
    msgpack_unpacked_destroy(&unpacked);
    return good;
}

/* The node that answers an exchange. */

struct nd_reply {
    enum fc_scope narrowest;
    msgpack_sbuffer buffer;
};

static bool
answer_digest(struct nd_node *node, const msgpack_object *object, void *arg)
{
    struct nd_reply *reply = arg;
    const msgpack_object *item = array_items(object, 2);
    uint64_t theirs[Nd_BUCKETS];
    uint64_t ours[Nd_BUCKETS];
    if (item == NULL || !read_buckets(&item[0], theirs, Nd_BUCKETS) ||
        array_items(&item[1], 0) == NULL) {
        return false;
    }
    msgpack_packer packer;
    msgpack_packer_init(&packer, &reply->buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, 3);
    Mb_Digest(node->members, ours, Nd_BUCKETS);
    uint64_t bits = differing_bits(theirs, ours, Nd_BUCKETS);
    msgpack_pack_uint64(&packer, bits);
    pack_records(node, &packer, bits);
    size_t scopes = reply->narrowest + 1U;
    if (item[1].via.array.size < scopes) {
        scopes = item[1].via.array.size;
    }
    msgpack_pack_array(&packer, scopes);
    for (size_t scope = 0; scope < scopes; scope++) {
        if (!read_buckets(&item[1].via.array.ptr[scope], theirs, Fc_BUCKETS)) {
            return false;
        }
        Fc_Digest(node->facts, (enum fc_scope)scope, ours);
        pack_stamps(node, &packer, (enum fc_scope)scope,
                    differing_bits(theirs, ours, Fc_BUCKETS));
    }
    return true;
}

static bool
answer_merge(struct nd_node *node, const msgpack_object *object, void *arg)
{
    struct nd_reply *reply = arg;
    const msgpack_object *item = array_items(object, 3);
    if (item == NULL || !apply_records(node, &item[0], false) ||
        !apply_facts(node, &item[1], false)) {
        return false;
    }
    const msgpack_object *wanted = array_items(&item[2], 0);
    if (wanted == NULL) {
        return false;
    }
    msgpack_packer packer;
    msgpack_packer_init(&packer, &reply->buffer, msgpack_sbuffer_write);
    size_t at = 0;
    size_t count = item[2].via.array.size;
    msgpack_pack_array(&packer, count);
    for (; at < count; at++) {
        struct fc_fact fact = {.owner = "", .key = ""};
        /*
         * Every requested fact has an element in the answer: nil when there is
         * none to send.
         */
        if (wanted[at].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
            !Fc_ByHash(node->facts, wanted[at].via.u64, &fact) ||
            fact.scope > reply->narrowest ||
            reply->buffer.size > Nd_BYTES_MAX) {
            msgpack_pack_nil(&packer);
        }
        else {
            Wr_PackFact(&packer, &fact);
        }
    }
    return true;
}

static void
reply_with(struct nd_node *node, struct lk_request *request,
           bool (*decode)(struct nd_node *node, const msgpack_object *object,
                          void *arg))
{
    size_t len;
    const void *payload = Lk_Payload(request, &len);
    struct nd_reply reply = {.narrowest =
                                 scope_of_peer(node, Lk_From(request))};
    msgpack_sbuffer_init(&reply.buffer);
    bool good = decode_payload(node, payload, len, decode, &reply);
    Lk_Reply(request, good ? ST_OK : ST_INVALID, reply.buffer.data,
             good ? reply.buffer.size : 0);
    msgpack_sbuffer_destroy(&reply.buffer);
}

static void
on_digest(void *arg, struct lk_request *request)
{
    reply_with(arg, request, answer_digest);
}

static void
on_merge(void *arg, struct lk_request *request)
{
    reply_with(arg, request, answer_merge);
}

/* The node that starts an exchange. */

static void
end_sync(struct nd_node *node, bool good)
{
    node->syncing = false;
    if (good) {
        node->synced = true;
        node->counters.syncs++;
    }
}

static bool
apply_merged(struct nd_node *node, const msgpack_object *object, void *arg)
{
    const msgpack_object *item = array_items(object, 0);
    if (item == NULL) {
        return false;
    }
    for (size_t i = 0; i < object->via.array.size; i++) {
        struct wr_fact fact;
        if (item[i].type == MSGPACK_OBJECT_NIL) {
            continue;
        }
        if (!Wr_ReadFact(&item[i], &fact)) {
            return false;
        }
        if (node->synced) {
            Fc_Apply(node->facts, &fact.fact);
        }
        else {
            Fc_ApplyLocally(node->facts, &fact.fact);
        }
    }
    return true;
}

static void
on_merged(void *arg, const struct lk_result *result)
{
    struct nd_node *node = arg;
    end_sync(node, result->status == ST_OK &&
                       decode_payload(node, result->payload, result->len,
                                      apply_merged, NULL));
}

/* The records and facts to send and the facts to request. */
struct nd_difference {
    uint64_t member_bits;
    msgpack_sbuffer facts;
    size_t fact_count;
    msgpack_sbuffer wanted;
    size_t wanted_count;
};

static void
request_fact(struct nd_difference *difference, uint64_t name_hash)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, &difference->wanted, msgpack_sbuffer_write);
    msgpack_pack_uint64(&packer, name_hash);
    difference->wanted_count++;
}

static void
send_fact(struct nd_difference *difference, const struct fc_fact *fact)
{
    msgpack_packer packer;
    if (difference->facts.size > Nd_BYTES_MAX / 2) {
        return; /* the next exchange sends the rest */
    }
    msgpack_packer_init(&packer, &difference->facts, msgpack_sbuffer_write);
    Wr_PackFact(&packer, fact);
    difference->fact_count++;
}

static bool
holds_stamp(const msgpack_object *stamps, uint64_t name_hash)
{
    for (size_t i = 0; i < stamps->via.array.size; i++) {
        struct fc_stamp stamp;
        if (read_stamp(&stamps->via.array.ptr[i], &stamp) &&
            stamp.name_hash == name_hash) {
            return true;
        }
    }
    return false;
}

/*
 * Compares the facts of the peer with the local ones: requests newer versions
 * and sends newer local versions.  Of equal versions with different values,
 * each side sends its value.
 */
static bool
compare_theirs(struct nd_node *node, const msgpack_object *stamps,
               struct nd_difference *difference)
{
    for (size_t i = 0; i < stamps->via.array.size; i++) {
        struct fc_stamp theirs;
        struct fc_fact ours;
        if (!read_stamp(&stamps->via.array.ptr[i], &theirs)) {
            return false;
        }
        bool found = Fc_ByHash(node->facts, theirs.name_hash, &ours);
        if (!found || theirs.version > ours.version) {
            request_fact(difference, theirs.name_hash);
        }
        else if (theirs.version < ours.version) {
            send_fact(difference, &ours);
        }
        else if (theirs.value_hash != Fc_ValueHash(&ours)) {
            request_fact(difference, theirs.name_hash);
            send_fact(difference, &ours);
        }
    }
    return true;
}

/* Sends the facts that only this node has in the buckets that differ. */
static void
compare_ours(struct nd_node *node, enum fc_scope scope, uint64_t bits,
             const msgpack_object *theirs, struct nd_difference *difference)
{
    struct fc_stamp stamps[Nd_STAMPS_MAX];
    for (size_t i = 0; i < Fc_BUCKETS; i++) {
        if ((bits >> i & 1) == 0) {
            continue;
        }
        size_t count = Fc_Stamps(node->facts, scope, i, stamps, Nd_STAMPS_MAX);
        for (size_t j = 0; j < count; j++) {
            struct fc_fact ours;
            if (!holds_stamp(theirs, stamps[j].name_hash) &&
                Fc_ByHash(node->facts, stamps[j].name_hash, &ours)) {
                send_fact(difference, &ours);
            }
        }
    }
}

static bool
compare_scope(struct nd_node *node, enum fc_scope scope,
              const msgpack_object *object, struct nd_difference *difference)
{
    const msgpack_object *item = array_items(object, 2);
    if (item == NULL || item[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        array_items(&item[1], 0) == NULL ||
        !compare_theirs(node, &item[1], difference)) {
        return false;
    }
    compare_ours(node, scope, item[0].via.u64, &item[1], difference);
    return true;
}

static bool
apply_digest(struct nd_node *node, const msgpack_object *object, void *arg)
{
    struct nd_difference *difference = arg;
    const msgpack_object *item = array_items(object, 3);
    if (item == NULL || item[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        array_items(&item[2], 0) == NULL ||
        item[2].via.array.size > Fc_SCOPES) {
        return false;
    }
    difference->member_bits = item[0].via.u64;
    for (size_t scope = 0; scope < item[2].via.array.size; scope++) {
        if (!compare_scope(node, (enum fc_scope)scope,
                           &item[2].via.array.ptr[scope], difference)) {
            return false;
        }
    }
    return apply_records(node, &item[1], !node->synced);
}

static bool
is_equal(const struct nd_difference *difference)
{
    return difference->member_bits == 0 && difference->fact_count == 0 &&
           difference->wanted_count == 0;
}

static enum st_status
send_merge(struct nd_node *node, const char *peer,
           const struct nd_difference *difference)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, 3);
    pack_records(node, &packer, difference->member_bits);
    msgpack_pack_array(&packer, difference->fact_count);
    if (difference->fact_count > 0) {
        msgpack_sbuffer_write(&buffer, difference->facts.data,
                              difference->facts.size);
    }
    msgpack_pack_array(&packer, difference->wanted_count);
    if (difference->wanted_count > 0) {
        msgpack_sbuffer_write(&buffer, difference->wanted.data,
                              difference->wanted.size);
    }
    enum st_status status =
        Nd_Call(node, peer, Nd_MERGE, buffer.data, buffer.size,
                Nd_SYNC_TIMEOUT_USEC, on_merged, node, NULL);
    msgpack_sbuffer_destroy(&buffer);
    return status;
}

static void
on_digests(void *arg, const struct lk_result *result)
{
    struct nd_node *node = arg;
    struct nd_difference difference = {0};
    msgpack_sbuffer_init(&difference.facts);
    msgpack_sbuffer_init(&difference.wanted);
    bool good = result->status == ST_OK &&
                decode_payload(node, result->payload, result->len,
                               apply_digest, &difference);
    if (!good || is_equal(&difference) ||
        send_merge(node, node->sync_peer, &difference) != ST_OK) {
        end_sync(node, good && is_equal(&difference));
    }
    msgpack_sbuffer_destroy(&difference.facts);
    msgpack_sbuffer_destroy(&difference.wanted);
}

static const struct mb_record *
choose_peer(struct nd_node *node)
{
    uint32_t draw = Rn_Below(&node->random, 10);
    enum mb_distance distance = MB_SAME_DATA_CENTRE;
    if (draw < Nd_FAR_OF_TEN || node->sync_far) {
        distance = MB_FAR;
    }
    else if (draw < Nd_FAR_OF_TEN + Nd_REGION_OF_TEN) {
        distance = MB_SAME_REGION;
    }
    node->sync_far = false;
    for (int i = 0; i <= MB_FAR; i++) {
        const struct mb_record *peer = Mb_RandomPeer(node->members, distance);
        if (peer != NULL) {
            return peer;
        }
        distance = (enum mb_distance)((distance + 1) % (MB_FAR + 1));
    }
    return NULL;
}

/*
 * Sets the time of the next exchange.  The interval is short after start and
 * doubles up to the period: when many daemons start at once, the first peers
 * have few of the members yet.
 */
static void
plan_next(struct nd_node *node)
{
    int64_t wait_usec = 2 * node->sync_wait_usec;
    if (!node->synced) {
        wait_usec = Nd_SYNC_RETRY_USEC;
    }
    if (wait_usec > node->sync_period_usec) {
        wait_usec = node->sync_period_usec;
    }
    node->sync_wait_usec = wait_usec;
    int64_t jitter = Rn_Below(&node->random, (uint32_t)(wait_usec / 2) + 1);
    node->next_sync_usec = Ck_Now(node->clock) + wait_usec * 3 / 4 + jitter;
}

/*
 * Starts an exchange with a random member, usually of the same data centre.
 * The first exchange starts as soon as there is a member.
 */
void
nd_sync_start(struct nd_node *node)
{
    const struct mb_record *peer = node->syncing ? NULL : choose_peer(node);
    if (peer == NULL) {
        return;
    }
    plan_next(node);
    uint64_t buckets[Nd_BUCKETS];
    size_t scopes = nd_scope(Mb_Distance(node->members, peer)) + 1U;
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, 2);
    Mb_Digest(node->members, buckets, Nd_BUCKETS);
    pack_buckets(&packer, buckets, Nd_BUCKETS);
    msgpack_pack_array(&packer, scopes);
    for (size_t scope = 0; scope < scopes; scope++) {
        Fc_Digest(node->facts, (enum fc_scope)scope, buckets);
        pack_buckets(&packer, buckets, Fc_BUCKETS);
    }
    strlcpy(node->sync_peer, peer->id, sizeof(node->sync_peer));
    node->syncing =
        Nd_Call(node, peer->id, Nd_DIGEST, buffer.data, buffer.size,
                Nd_SYNC_TIMEOUT_USEC, on_digests, node, NULL) == ST_OK;
    msgpack_sbuffer_destroy(&buffer);
}

/* Registers the handlers that answer the exchanges of other nodes. */
enum st_status
nd_sync_init(struct nd_node *node)
{
    enum st_status status =
        Lk_SetHandler(node->links, Nd_DIGEST, on_digest, node);
    if (status == ST_OK) {
        status = Lk_SetHandler(node->links, Nd_MERGE, on_merge, node);
    }
    return status;
}
