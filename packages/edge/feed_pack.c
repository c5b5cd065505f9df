/* What daemons fetch from each other, and how it is taken in. */
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "base/packscan.h"
#include "edge/feed_internal.h"
#include "edge/packed.h"

/* The first byte of a msgpack array of eight; none of deflate's. */
#define Fe_PACK_HEAD 0x98

static size_t
count_known(const struct follow *follow, int64_t from)
{
    size_t count = 0;
    struct known *known;
    RB_FOREACH (known, known_tree, (struct known_tree *)&follow->known) {
        count += known->changed >= from;
    }
    return count;
}

static void
pack_follow(msgpack_packer *packer, const struct follow *follow, int64_t from)
{
    bool full = from < follow->base;
    from = full ? 0 : from;
    /* What was not asked for is not told, and its number says nothing. */
    msgpack_pack_int64(packer, from > follow->changed ? -1 : follow->changed);
    msgpack_pack_int64(packer, follow->base);
    msgpack_pack_int(packer, full);
    msgpack_pack_array(packer, count_known(follow, from));
    struct known *known;
    RB_FOREACH (known, known_tree, (struct known_tree *)&follow->known) {
        if (known->changed < from) {
            continue;
        }
        size_t key_len = strlen(known->key);
        msgpack_pack_array(packer, 3);
        msgpack_pack_str(packer, key_len);
        msgpack_pack_str_body(packer, known->key, key_len);
        msgpack_pack_int64(packer, known->changed);
        if (known->value == NULL) {
            msgpack_pack_nil(packer);
        }
        else {
            msgpack_pack_bin(packer, known->len);
            msgpack_pack_bin_body(packer, known->value, known->len);
        }
    }
}

/*
 * [changed, base, full, records] of the configuration and of the endpoints.
 * Whoever knows less than the last listing here gets all: a removal before it
 * may not be known here, and shows only by what is missing.
 */
size_t
Fe_Pack(const struct fe_feed *feed, int64_t config_from, int64_t entries_from,
        char **out)
{
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer packer;
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, 8);
    pack_follow(&packer, &feed->config_follow, config_from);
    pack_follow(&packer, &feed->entry_follow, entries_from);
    size_t len = buffer.size;
    *out = msgpack_sbuffer_release(&buffer);
    return len;
}

static void
unpack_record(struct follow *follow, const msgpack_object *record)
{
    if (record->type != MSGPACK_OBJECT_ARRAY || record->via.array.size != 3) {
        return;
    }
    const msgpack_object *part = record->via.array.ptr;
    char key[Ec_NAME_MAX * 2];
    if (!Pk_Text(&part[0], key, sizeof(key)) ||
        part[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return;
    }
    int64_t offset = (int64_t)part[1].via.u64;
    const struct known *known = fe_find(follow, key);
    if (follow->listed && offset < follow->base &&
        (known == NULL || known->value == NULL)) {
        /*
         * The listing read here is newer and lacks it: it has gone, though
         * the peer has not heard of that yet.
         */
        return;
    }
    bool has = part[2].type == MSGPACK_OBJECT_BIN;
    fe_take(follow, key, offset, has ? part[2].via.bin.ptr : NULL,
            has ? part[2].via.bin.size : 0);
    struct known *taken = fe_find(follow, key);
    if (taken != NULL) {
        taken->told = true;
    }
}

static int64_t
get_number(const msgpack_object *object)
{
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER
               ? (int64_t)object->via.u64
               : 0;
}

/* What a whole pack lacks was removed, unless it is newer than the pack. */
static void
remove_unlisted(struct follow *follow, int64_t before)
{
    struct known *known;
    RB_FOREACH (known, known_tree, &follow->known) {
        if (!known->told) {
            (void)fe_forget(follow, known, before);
        }
    }
}

static void
unpack_follow(struct follow *follow, const msgpack_object *part)
{
    int64_t changed = part[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER
                          ? get_number(&part[0])
                          : -1;
    int64_t base = get_number(&part[1]);
    bool full = get_number(&part[2]) != 0;
    int64_t had = follow->changed;
    const msgpack_object *records = &part[3];
    if (records->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    struct known *known;
    RB_FOREACH (known, known_tree, &follow->known) {
        known->told = false;
    }
    for (size_t i = 0; i < records->via.array.size; i++) {
        unpack_record(follow, &records->via.array.ptr[i]);
    }
    follow->packed |= full && changed > 0;
    /* A listing read here since then is newer, and stands for more. */
    if (full && had < base && follow->base < base) {
        remove_unlisted(follow, base);
        follow->base = base;
    }
    if (follow->changed < changed) {
        follow->changed = changed;
    }
}

/*
 * The peer may have reached the store again before this daemon asked; the
 * removals that it tells of are in doubt here as well.
 */
static void
note_peer(struct follow *follow)
{
    const struct fe_options *options = &follow->feed->options;
    if (follow->failed_at != 0 &&
        options->ops->others_read(options->arg, follow->topic)) {
        fe_end_failure(follow);
    }
}

/* An array of eight, as Fe_Pack() begins. */
bool
Fe_IsPack(const char *data, size_t len)
{
    return len > 0 && (unsigned char)data[0] == Fe_PACK_HEAD;
}

/* Takes what a peer packed; bytes that make no sense are passed over. */
void
Fe_Unpack(struct fe_feed *feed, const char *data, size_t len)
{
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    if (Mp_CountsFit((const uint8_t *)data, len) &&
        msgpack_unpack_next(&unpacked, data, len, NULL) ==
            MSGPACK_UNPACK_SUCCESS &&
        unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
        unpacked.data.via.array.size == 8) {
        const msgpack_object *part = unpacked.data.via.array.ptr;
        note_peer(&feed->entry_follow);
        unpack_follow(&feed->config_follow, &part[0]);
        unpack_follow(&feed->entry_follow, &part[4]);
    }
    msgpack_unpacked_destroy(&unpacked);
}
