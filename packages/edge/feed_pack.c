/* Packs the state for peers, and applies that of a peer. */
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_check.h"
#include "edge/feed_internal.h"
#include "edge/packed.h"

/*
 * First byte of a msgpack array of eight elements; never that of deflate
 * output.
 */
#define Fe_STATE_FIRST_BYTE 0x98

static size_t
count_changed(const struct reader *reader, int64_t from)
{
    size_t count = 0;
    struct cached *cached;
    RB_FOREACH (cached, record_tree, (struct record_tree *)&reader->records) {
        count += cached->changed >= from;
    }
    return count;
}

static void
pack_topic(msgpack_packer *packer, const struct reader *reader, int64_t from)
{
    bool full = from < reader->base;
    from = full ? 0 : from;
    /*
     * A topic that was not requested is sent without records, so its
     * changes_end must not be used.
     */
    msgpack_pack_int64(packer,
                       from > reader->changes_end ? -1 : reader->changes_end);
    msgpack_pack_int64(packer, reader->base);
    msgpack_pack_int(packer, full);
    msgpack_pack_array(packer, count_changed(reader, from));
    struct cached *cached;
    RB_FOREACH (cached, record_tree, (struct record_tree *)&reader->records) {
        if (cached->changed < from) {
            continue;
        }
        size_t key_len = strlen(cached->key);
        msgpack_pack_array(packer, 3);
        msgpack_pack_str(packer, key_len);
        msgpack_pack_str_body(packer, cached->key, key_len);
        msgpack_pack_int64(packer, cached->changed);
        if (cached->value == NULL) {
            msgpack_pack_nil(packer);
        }
        else {
            msgpack_pack_bin(packer, cached->len);
            msgpack_pack_bin_body(packer, cached->value, cached->len);
        }
    }
}

/*
 * Packs [changes_end, base, full, records] of the configuration and then of
 * the endpoints. A peer whose records end before the last listing here gets
 * all records: a removal before that listing may not be known here, and shows
 * only by the missing record.
 */
size_t
Fe_PackState(const struct fe_feed *feed, int64_t config_from,
             int64_t entries_from, char **out)
{
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer packer;
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, 8);
    pack_topic(&packer, &feed->config_reader, config_from);
    pack_topic(&packer, &feed->entry_reader, entries_from);
    size_t len = buffer.size;
    *out = msgpack_sbuffer_release(&buffer);
    return len;
}

static void
unpack_record(struct reader *reader, const msgpack_object *record)
{
    if (record->type != MSGPACK_OBJECT_ARRAY || record->via.array.size != 3) {
        return;
    }
    const msgpack_object *field = record->via.array.ptr;
    char key[Ec_NAME_MAX * 2];
    if (!Pk_CopyString(&field[0], key, sizeof(key)) ||
        field[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return;
    }
    int64_t offset = (int64_t)field[1].via.u64;
    const struct cached *cached = fe_find(reader, key);
    if (reader->listed && offset < reader->base &&
        (cached == NULL || cached->value == NULL)) {
        /*
         * The listing read by this daemon is newer and lacks the record, so it
         * was removed. The peer has not learned of the removal yet.
         */
        return;
    }
    bool has_value = field[2].type == MSGPACK_OBJECT_BIN;
    fe_apply_record(reader, key, offset,
                    has_value ? field[2].via.bin.ptr : NULL,
                    has_value ? field[2].via.bin.size : 0);
    struct cached *applied = fe_find(reader, key);
    if (applied != NULL) {
        applied->in_state = true;
    }
}

static int64_t
get_number(const msgpack_object *object)
{
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER
               ? (int64_t)object->via.u64
               : 0;
}

/*
 * A record that a full state lacks was removed, unless the record is newer
 * than the state.
 */
static void
remove_missing(struct reader *reader, int64_t before)
{
    struct cached *cached;
    RB_FOREACH (cached, record_tree, &reader->records) {
        if (!cached->in_state) {
            (void)fe_apply_removal(reader, cached, before);
        }
    }
}

static void
unpack_topic(struct reader *reader, const msgpack_object *field)
{
    int64_t changed = field[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER
                          ? get_number(&field[0])
                          : -1;
    int64_t base = get_number(&field[1]);
    bool full = get_number(&field[2]) != 0;
    int64_t previous_end = reader->changes_end;
    const msgpack_object *records = &field[3];
    if (records->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    struct cached *cached;
    RB_FOREACH (cached, record_tree, &reader->records) {
        cached->in_state = false;
    }
    for (size_t i = 0; i < records->via.array.size; i++) {
        unpack_record(reader, &records->via.array.ptr[i]);
    }
    reader->state_applied |= full && changed > 0;
    /* A listing that this daemon has read since is newer and more complete. */
    if (full && previous_end < base && reader->base < base) {
        remove_missing(reader, base);
        reader->base = base;
    }
    if (reader->changes_end < changed) {
        reader->changes_end = changed;
    }
}

/*
 * A peer may have reached the store again before this daemon retried. The
 * removals in the peer's state may then be entries that expired during the
 * outage, so they are held back here as well.
 */
static void
clear_failure(struct reader *reader)
{
    const struct fe_options *options = &reader->feed->options;
    if (reader->failing_since != 0 &&
        options->ops->peers_read(options->arg, reader->topic)) {
        fe_end_failure(reader);
    }
}

/*
 * Whether the bytes begin with an array of eight, as Fe_PackState() writes it.
 */
bool
Fe_IsPackedState(const char *data, size_t len)
{
    return len > 0 && (unsigned char)data[0] == Fe_STATE_FIRST_BYTE;
}

/* Applies the packed state of a peer; malformed bytes are ignored. */
void
Fe_ApplyState(struct fe_feed *feed, const char *data, size_t len)
{
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    if (Mp_LengthsFit((const uint8_t *)data, len) &&
        msgpack_unpack_next(&unpacked, data, len, NULL) ==
            MSGPACK_UNPACK_SUCCESS &&
        unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
        unpacked.data.via.array.size == 8) {
        const msgpack_object *field = unpacked.data.via.array.ptr;
        clear_failure(&feed->entry_reader);
        unpack_topic(&feed->config_reader, &field[0]);
        unpack_topic(&feed->entry_reader, &field[4]);
    }
    msgpack_unpacked_destroy(&unpacked);
}
