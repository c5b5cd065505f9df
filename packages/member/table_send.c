/* Composes the messages of the table and selects their receivers. */
#include <bsd/string.h>
#include <string.h>

#include "member/table.h"
#include "member/table_internal.h"

#define Mb_SHORT_BYTES 16 /* array, incarnation, state, lengths */
#define Mb_FULL_BYTES 30
#define Mb_LEAVE_PEERS 8 /* members notified directly */

/* Returns an upper bound of the encoded size of an update in bytes. */
size_t
Mb_RecordBytes(const struct mb_record *record)
{
    size_t bytes =
        Mb_SHORT_BYTES + strlen(record->id) + strlen(record->suspected_by);
    if (record->full) {
        bytes += Mb_FULL_BYTES + strlen(record->address) +
                 strlen(record->data_centre) + strlen(record->region);
    }
    return bytes;
}

/* Creates a message from this node without updates. */
struct mb_message
mb_message_new(struct mb_table *table, enum mb_type type, uint32_t sequence,
               const char *subject)
{
    struct mb_message message;
    message.type = type;
    message.update_count = 0;
    message.sequence = sequence;
    message.incarnation = table->self->record.incarnation;
    strlcpy(message.from, table->self->record.id, sizeof(message.from));
    strlcpy(message.subject, subject, sizeof(message.subject));
    return message;
}

static size_t
update_bytes(const struct mb_message *message)
{
    size_t bytes = 0;
    for (size_t i = 0; i < message->update_count; i++) {
        bytes += Mb_RecordBytes(&message->updates[i]);
    }
    return bytes;
}

static bool
holds_update(const struct mb_message *message, const char *id)
{
    for (size_t i = 0; i < message->update_count; i++) {
        if (strcmp(message->updates[i].id, id) == 0) {
            return true;
        }
    }
    return false;
}

/* Adds an update.  Returns false when it does not fit. */
bool
mb_message_add(struct mb_message *message, const struct mb_record *record)
{
    if (holds_update(message, record->id)) {
        return true;
    }
    struct mb_record update = *record;
    /*
     * A receiver that has no address of a member ignores its failure, so the
     * address is left out.
     */
    update.full = record->state == MB_ALIVE || record->state == MB_LEAVING;
    if (message->update_count == Mb_UPDATES_MAX ||
        update_bytes(message) + Mb_RecordBytes(&update) > Mb_UPDATE_BYTES) {
        return false;
    }
    message->updates[message->update_count++] = update;
    return true;
}

/* Fills the rest of a message with queued updates, newest first. */
void
mb_message_fill(struct mb_table *table, struct mb_message *message)
{
    struct mb_queue sent = TAILQ_HEAD_INITIALIZER(sent);
    struct mb_entry *entry;
    while ((entry = TAILQ_FIRST(&table->queue)) != NULL &&
           mb_message_add(message, &entry->record)) {
        TAILQ_REMOVE(&table->queue, entry, queued);
        entry->sends_left--;
        if (entry->sends_left > 0) {
            TAILQ_INSERT_TAIL(&sent, entry, queued);
        }
    }
    TAILQ_CONCAT(&table->queue, &sent, queued);
}

void
mb_send_to(struct mb_table *table, const struct mb_entry *entry,
           const struct mb_message *message)
{
    struct mb_endpoint to;
    strlcpy(to.address, entry->record.address, sizeof(to.address));
    to.port = entry->record.peer_port;
    table->ops->send(table->arg, &to, Mb_Distance(table, &entry->record),
                     message);
}

/*
 * Pings a member.  The ping to a suspected or dead member contains that
 * record, so that the member can refute it in time.  "introduce" adds the
 * record of this node, for a member that may not have it.
 */
void
mb_ping(struct mb_table *table, const struct mb_entry *entry,
        uint32_t sequence, bool introduce)
{
    struct mb_message ping =
        mb_message_new(table, MB_PING, sequence, entry->record.id);
    bool suspected =
        entry->record.state == MB_SUSPECT || entry->record.state == MB_DEAD;
    if (suspected && !entry->local_suspicion) {
        mb_message_add(&ping, &entry->record);
    }
    if (introduce) {
        mb_message_add(&ping, &table->self->record);
    }
    mb_message_fill(table, &ping);
    mb_send_to(table, entry, &ping);
}

/*
 * Returns a random member that "accept" returns true for; NULL when there is
 * none.
 */
struct mb_entry *
mb_pick_random(struct mb_table *table, mb_accept_fn accept, const void *arg)
{
    struct mb_entry *picked = NULL;
    uint32_t seen = 0;
    struct mb_entry *entry;
    RB_FOREACH (entry, mb_tree, &table->members) {
        if (entry == table->self || !accept(table, entry, arg)) {
            continue;
        }
        seen++;
        if (Rn_Below(table->random, seen) == 0) {
            picked = entry;
        }
    }
    return picked;
}

static bool
is_live_in_group(const struct mb_table *table, const struct mb_entry *entry,
                 const void *arg)
{
    return entry->record.state != MB_DEAD && mb_in_group(table, entry);
}

static bool
is_live_in(const struct mb_table *table, const struct mb_entry *entry,
           const void *arg)
{
    return entry->record.state != MB_DEAD && entry->dc == arg;
}

static void
gossip_to(struct mb_table *table, const struct mb_entry *entry)
{
    if (entry == NULL) {
        return;
    }
    struct mb_message gossip = mb_message_new(table, MB_GOSSIP, 0, "");
    mb_message_fill(table, &gossip);
    mb_send_to(table, entry, &gossip);
}

/*
 * Sends one round of gossip: to one member of the same data centre, one member
 * of the probe group and, where this node is a bridge, one member of each
 * reachable data centre that it probes.
 */
void
Mb_Gossip(struct mb_table *table)
{
    mb_update_bridges(table);
    gossip_to(table, mb_pick_random(table, is_live_in, table->self->dc));
    gossip_to(table, mb_pick_random(table, is_live_in_group, NULL));
    struct mb_dc *dc;
    TAILQ_FOREACH (dc, &table->dcs, link) {
        if (dc->bridged && !dc->unreachable) {
            gossip_to(table, mb_pick_random(table, is_live_in, dc));
        }
    }
}

/*
 * Announces that this node leaves: to several members directly and to the rest
 * by gossip.
 */
void
Mb_Leave(struct mb_table *table)
{
    if (table->self->record.state == MB_LEAVING) {
        return;
    }
    table->self->record.incarnation++;
    mb_set_state(table, table->self, MB_LEAVING);
    mb_enqueue(table, table->self);
    for (int i = 0; i < Mb_LEAVE_PEERS; i++) {
        const struct mb_entry *entry =
            mb_pick_random(table, is_live_in_group, NULL);
        if (entry == NULL) {
            break;
        }
        struct mb_message gossip = mb_message_new(table, MB_GOSSIP, 0, "");
        mb_message_add(&gossip, &table->self->record);
        mb_send_to(table, entry, &gossip);
    }
}

struct mb_near {
    enum mb_distance distance;
};

static bool
at_distance(const struct mb_table *table, const struct mb_entry *entry,
            const void *arg)
{
    const struct mb_near *near = arg;
    return entry->record.state != MB_DEAD && !entry->dc->unreachable &&
           Mb_Distance(table, &entry->record) == near->distance;
}

/*
 * Returns a random member at the given distance that is not dead and whose
 * data centre is reachable; NULL when there is none.
 */
const struct mb_record *
Mb_RandomPeer(struct mb_table *table, enum mb_distance distance)
{
    struct mb_near near = {.distance = distance};
    const struct mb_entry *entry = mb_pick_random(table, at_distance, &near);
    return entry != NULL ? &entry->record : NULL;
}
