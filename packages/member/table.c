/* Holds the members of the cluster and merges received updates into them. */
#include "member/table.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "member/table_internal.h"

#define Mb_PERIOD_USEC Ck_USEC_PER_SEC
#define Mb_TIMEOUT_USEC (300 * Ck_USEC_PER_MSEC)
#define Mb_GROUP_MIN 8
#define Mb_SUSPICION_PERIODS 4 /* times log10 of the group size */
#define Mb_SUSPICION_FACTOR 5  /* times, divided by suspectors + 1 */
#define Mb_ISOLATED_PERIODS 3
#define Mb_ISOLATED_MIN 3 /* others in the group, else never isolated */
#define Mb_SPREAD_EXTRA 2 /* transmissions beyond log2 of the members */

static int
spread_count(const struct mb_table *table)
{
    int count = Mb_SPREAD_EXTRA;
    for (size_t n = table->member_count; n > 0; n >>= 1) {
        count++;
    }
    return count;
}

/* Queues the record of a member for gossip, ahead of older changes. */
void
mb_enqueue(struct mb_table *table, struct mb_entry *entry)
{
    if (table->no_spread && entry != table->self) {
        return;
    }
    if (entry->sends_left > 0) {
        TAILQ_REMOVE(&table->queue, entry, queued);
    }
    entry->sends_left = spread_count(table);
    TAILQ_INSERT_HEAD(&table->queue, entry, queued);
}

/* Sets the state of a member and calls "changed". */
void
mb_set_state(struct mb_table *table, struct mb_entry *entry,
             enum mb_state state)
{
    enum mb_state before = entry->record.state;
    entry->record.state = state;
    entry->since_usec = Ck_Now(table->clock);
    entry->deadline_usec = 0;
    entry->suspector_count = 0;
    entry->record.suspected_by[0] = '\0';
    entry->local_suspicion = false;
    entry->wait_usec = 0;
    entry->next_usec = 0;
    if (state == MB_LEAVING) {
        entry->departed = true;
    }
    else if (state == MB_ALIVE) {
        entry->departed = false;
    }
    if (mb_is_live(before) && !mb_is_live(state)) {
        entry->dc->live_count--;
    }
    else if (!mb_is_live(before) && mb_is_live(state)) {
        entry->dc->live_count++;
    }
    table->generation++;
    if (entry != table->self && before != state &&
        table->ops->changed != NULL) {
        table->ops->changed(table->arg, &entry->record, before);
    }
}

/*
 * Returns true for a member of the probe group, where this node detects
 * failures.
 */
bool
mb_in_group(const struct mb_table *table, const struct mb_entry *entry)
{
    const struct mb_dc *own = table->self->dc;
    if (entry->dc == own) {
        return true;
    }
    return own->live_count < table->group_min &&
           strcmp(entry->dc->region, own->region) == 0;
}

static size_t
group_size(const struct mb_table *table)
{
    size_t size = 0;
    struct mb_entry *entry;
    RB_FOREACH (entry, mb_tree, (struct mb_tree *)&table->members) {
        if (entry->record.state != MB_DEAD && mb_in_group(table, entry)) {
            size++;
        }
    }
    return size;
}

/*
 * Returns true when this node itself is probably isolated: it has received
 * nothing for three periods from any member of a group with at least three
 * others.  Without this check, a node whose switch failed would declare its
 * whole group dead and gossip that when it is connected again, so that every
 * member would briefly be marked dead.
 */
bool
mb_isolated(const struct mb_table *table, int64_t now)
{
    int64_t silence_usec = now - table->last_received_usec;
    return silence_usec > Mb_ISOLATED_PERIODS * table->period_usec &&
           group_size(table) > Mb_ISOLATED_MIN;
}

static int64_t
suspicion_usec(const struct mb_table *table, const struct mb_entry *entry)
{
    /* Approximate log10 in thousandths: 301 for each binary digit. */
    int64_t thousandths = 0;
    size_t size = group_size(table);
    for (size_t n = size; n > 1; n >>= 1) {
        thousandths += 301;
    }
    if (thousandths < 1000) {
        thousandths = 1000;
    }
    int64_t min_usec =
        Mb_SUSPICION_PERIODS * table->period_usec * thousandths / 1000;
    /*
     * Apart from the suspected member, this node and the first suspector, a
     * small group has few members that could confirm the suspicion.
     */
    size_t wanted = size < 2 + Mb_SUSPECTORS_MAX ? 1 : Mb_SUSPECTORS_MAX;
    if (entry->suspector_count >= wanted) {
        return min_usec;
    }
    return min_usec * Mb_SUSPICION_FACTOR /
           (int64_t)(entry->suspector_count + 1);
}

/*
 * Records a suspector.  Returns true for a new one.  A member with several
 * suspectors is declared dead early.  In a group of five or more, a member
 * with a single suspector gets 2.5 times as long to refute, since the fault
 * may be at the suspector or on the path between the two.
 */
static bool
add_suspector(struct mb_table *table, struct mb_entry *entry, const char *id)
{
    uint64_t hash = Hash_String(id, 0);
    for (size_t i = 0; i < entry->suspector_count; i++) {
        if (entry->suspectors[i] == hash) {
            return false;
        }
    }
    if (entry->suspector_count == Mb_SUSPECTORS_MAX) {
        return false;
    }
    entry->suspectors[entry->suspector_count++] = hash;
    strlcpy(entry->record.suspected_by, id,
            sizeof(entry->record.suspected_by));
    if (mb_in_group(table, entry)) {
        entry->deadline_usec =
            entry->since_usec + suspicion_usec(table, entry);
    }
    mb_enqueue(table, entry);
    return true;
}

/*
 * Suspects a member that answered neither a direct nor an indirect probe.
 * While this node is isolated, the suspicion is not gossiped and the member is
 * not declared dead; see mb_isolated().
 */
void
mb_suspect(struct mb_table *table, struct mb_entry *entry)
{
    if (entry->record.state == MB_DEAD) {
        return;
    }
    bool isolated = mb_isolated(table, Ck_Now(table->clock));
    if (entry->record.state != MB_SUSPECT) {
        mb_set_state(table, entry, MB_SUSPECT);
        entry->local_suspicion = isolated;
    }
    if (!entry->local_suspicion) {
        add_suspector(table, entry, table->self->record.id);
    }
}

/*
 * Refutes a record that says that this node is suspected or dead, or that has
 * a later incarnation (the host was replaced and the clock of the new one is
 * behind).  This node takes the next incarnation, which overrides all earlier
 * records.
 */
static void
refute(struct mb_table *table, const struct mb_record *record)
{
    struct mb_entry *self = table->self;
    bool newer = record->incarnation > self->record.incarnation;
    bool same = record->incarnation == self->record.incarnation;
    bool wrong =
        record->state == MB_SUSPECT || record->state == MB_DEAD ||
        (record->state == MB_LEAVING && self->record.state == MB_ALIVE);
    if (newer || (same && wrong)) {
        self->record.incarnation = record->incarnation + 1;
        table->generation++;
        mb_enqueue(table, self);
    }
}

static void
apply_location(struct mb_table *table, struct mb_entry *entry,
               const struct mb_record *record)
{
    struct mb_dc *dc = mb_dc_of(table, record);
    if (dc == NULL) {
        return;
    }
    if (mb_is_live(entry->record.state)) {
        entry->dc->live_count--;
        dc->live_count++;
    }
    entry->dc = dc;
    enum mb_state state = entry->record.state;
    entry->record = *record;
    entry->record.state = state;
}

/*
 * Decides whether a record replaces the stored one.  The later incarnation
 * wins; within one incarnation the later state in the order alive, leaving,
 * suspect, dead wins.  A short record with a new incarnation is ignored unless
 * it says that the member is dead: the restarted node may have a new address,
 * which only a full record contains.
 */
static bool
supersedes(const struct mb_entry *entry, const struct mb_record *record)
{
    if (record->incarnation < entry->record.incarnation) {
        return false;
    }
    if (record->incarnation > entry->record.incarnation) {
        return record->full || record->state == MB_DEAD;
    }
    return record->state > entry->record.state || entry->local_suspicion;
}

static void
apply_record(struct mb_table *table, struct mb_entry *entry,
             const struct mb_record *record)
{
    if (record->full) {
        apply_location(table, entry, record);
    }
    entry->record.incarnation = record->incarnation;
    mb_set_state(table, entry, record->state);
    if (record->state == MB_SUSPECT) {
        add_suspector(table, entry, record->suspected_by);
    }
    mb_enqueue(table, entry);
}

/* Merges a received record of a member. */
void
Mb_Apply(struct mb_table *table, const struct mb_record *record)
{
    if (strcmp(record->id, table->self->record.id) == 0) {
        refute(table, record);
        return;
    }
    struct mb_entry *entry = mb_find(table, record->id);
    if (entry == NULL) {
        if (!record->full || record->state == MB_DEAD) {
            return;
        }
        entry = mb_add(table, record);
        if (entry != NULL) {
            apply_record(table, entry, record);
        }
        return;
    }
    if (supersedes(entry, record)) {
        apply_record(table, entry, record);
    }
    else if (record->incarnation == entry->record.incarnation &&
             record->state == MB_SUSPECT &&
             entry->record.state == MB_SUSPECT) {
        add_suspector(table, entry, record->suspected_by);
    }
}

/*
 * Merges a received record without queueing it for gossip.  A starting node
 * uses this for the first full state that it receives, which its peers already
 * have.
 */
void
Mb_ApplyLocally(struct mb_table *table, const struct mb_record *record)
{
    table->no_spread = true;
    Mb_Apply(table, record);
    table->no_spread = false;
}

static enum st_status
check_options(const struct mb_options *options)
{
    const struct mb_record *self = &options->self;
    if (self->id[0] == '\0' || self->data_centre[0] == '\0' ||
        self->region[0] == '\0' || self->address[0] == '\0') {
        return St_Fail(ST_INVALID, "a member needs an id, an address, a data "
                                   "centre and a region; set all four");
    }
    return ST_OK;
}

/* Creates a table that contains only this node. */
enum st_status
Mb_Create(const struct mb_options *options, struct mb_table **out)
{
    enum st_status status = check_options(options);
    if (status != ST_OK) {
        return status;
    }
    struct mb_table *table = calloc(1, sizeof(*table));
    if (table == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the member table");
    }
    table->clock = options->clock;
    table->random = options->random;
    table->ops = options->ops;
    table->arg = options->arg;
    table->period_usec =
        options->period_usec != 0 ? options->period_usec : Mb_PERIOD_USEC;
    table->timeout_usec =
        options->timeout_usec != 0 ? options->timeout_usec : Mb_TIMEOUT_USEC;
    table->group_min =
        options->group_min != 0 ? options->group_min : Mb_GROUP_MIN;
    RB_INIT(&table->members);
    TAILQ_INIT(&table->queue);
    TAILQ_INIT(&table->dcs);
    table->last_tick_usec = Ck_Now(table->clock);
    table->last_received_usec = table->last_tick_usec;
    table->next_probe_usec =
        table->last_tick_usec +
        Rn_Below(table->random, (uint32_t)table->period_usec);
    table->sequence = Rn_Below(table->random, UINT32_MAX);
    table->self = mb_add(table, &options->self);
    if (table->self == NULL) {
        Mb_Destroy(table);
        return St_Fail(ST_NO_MEMORY, "no memory for the member table");
    }
    table->self->record.full = true;
    mb_set_state(table, table->self, MB_ALIVE);
    mb_enqueue(table, table->self);
    *out = table;
    return ST_OK;
}

/* Frees the table; NULL is allowed. */
void
Mb_Destroy(struct mb_table *table)
{
    if (table == NULL) {
        return;
    }
    struct mb_entry *entry;
    while ((entry = RB_MIN(mb_tree, &table->members)) != NULL) {
        RB_REMOVE(mb_tree, &table->members, entry);
        free(entry);
    }
    struct mb_dc *dc;
    while ((dc = TAILQ_FIRST(&table->dcs)) != NULL) {
        TAILQ_REMOVE(&table->dcs, dc, link);
        free(dc);
    }
    free(table->order);
    free(table);
}

/* Replaces the seeds: addresses to probe that belong to no live member. */
void
Mb_SetSeeds(struct mb_table *table, const struct mb_endpoint *seeds,
            size_t count)
{
    table->seed_count = count < Mb_SEEDS_MAX ? count : Mb_SEEDS_MAX;
    if (table->seed_count > 0) {
        memcpy(table->seeds, seeds, table->seed_count * sizeof(*seeds));
    }
}

/*
 * Reverts the suspicions of group members since a time, when this node turns
 * out to have been isolated.
 */
static void
revert_suspicions(struct mb_table *table, int64_t since_usec)
{
    struct mb_entry *entry;
    RB_FOREACH (entry, mb_tree, &table->members) {
        if (entry->record.state == MB_SUSPECT &&
            entry->since_usec >= since_usec && mb_in_group(table, entry)) {
            mb_set_state(table, entry,
                         entry->departed ? MB_LEAVING : MB_ALIVE);
        }
    }
}

static void
note_sender(struct mb_table *table, const struct mb_entry *sender)
{
    int64_t now = Ck_Now(table->clock);
    if (sender == NULL) {
        return;
    }
    if (sender->dc->unreachable) {
        sender->dc->next_usec = now; /* end the backoff */
    }
    if (!mb_in_group(table, sender)) {
        return;
    }
    if (mb_isolated(table, now)) {
        revert_suspicions(table, table->last_received_usec);
    }
    table->last_received_usec = now;
}

static bool
has_update_for(const struct mb_message *message, const char *id)
{
    for (size_t i = 0; i < message->update_count; i++) {
        if (strcmp(message->updates[i].id, id) == 0) {
            return true;
        }
    }
    return false;
}

static void
answer_ping(struct mb_table *table, const struct mb_endpoint *from,
            const struct mb_message *ping)
{
    struct mb_message ack =
        mb_message_new(table, MB_ACK, ping->sequence, ping->from);
    const struct mb_entry *sender = mb_find(table, ping->from);
    bool suspected = sender != NULL && (sender->record.state == MB_SUSPECT ||
                                        sender->record.state == MB_DEAD);
    if (suspected ||
        (sender != NULL && sender->record.incarnation > ping->incarnation)) {
        mb_message_add(&ack, &sender->record);
    }
    if (ping->subject[0] == '\0' || sender == NULL ||
        has_update_for(ping, table->self->record.id)) {
        mb_message_add(&ack, &table->self->record);
    }
    mb_message_fill(table, &ack);
    enum mb_distance distance =
        sender != NULL ? Mb_Distance(table, &sender->record) : MB_FAR;
    table->ops->send(table->arg, from, distance, &ack);
}

/*
 * Handles a message received from an address.  A ping for another node is
 * dropped: a host that took over the address of a failed one must not keep
 * that one alive in the table.
 */
void
Mb_Receive(struct mb_table *table, const struct mb_endpoint *from,
           const struct mb_message *message)
{
    const char *own = table->self->record.id;
    if (strcmp(message->from, own) == 0) {
        return;
    }
    for (size_t i = 0; i < message->update_count; i++) {
        Mb_Apply(table, &message->updates[i]);
    }
    note_sender(table, mb_find(table, message->from));
    switch (message->type) {
    case MB_PING:
        if (message->subject[0] == '\0' ||
            strcmp(message->subject, own) == 0) {
            answer_ping(table, from, message);
        }
        break;
    case MB_ACK:
        mb_handle_ack(table, message);
        break;
    case MB_PING_REQ:
        mb_relay_probe(table, message);
        break;
    case MB_GOSSIP:
        break;
    }
}

/* Sets whether a data centre is reachable, as reported by a bridge. */
void
Mb_SetReachable(struct mb_table *table, const char *data_centre,
                bool reachable)
{
    struct mb_dc *dc;
    TAILQ_FOREACH (dc, &table->dcs, link) {
        if (strcmp(dc->name, data_centre) == 0 && dc != table->self->dc) {
            mb_set_reachable(table, dc, reachable);
        }
    }
}
