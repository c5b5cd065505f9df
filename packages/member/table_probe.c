/* Probes of group members, other data centres, dead members and seeds. */
#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "member/table.h"
#include "member/table_internal.h"

#define Mb_INDIRECT_PROBES 3 /* per probe without an ack */
#define Mb_HEALTH_PENALTY_MAX 4
#define Mb_PAUSE_MIN_USEC (500 * Ck_USEC_PER_MSEC)
#define Mb_REACH_FAILURES 5 /* consecutive failed bridge probes */
#define Mb_REACH_WAIT_MAX_USEC (30 * Ck_USEC_PER_SEC)
#define Mb_REJOIN_WAIT_USEC (5 * Ck_USEC_PER_SEC)
#define Mb_REJOIN_WAIT_MAX_USEC (60 * Ck_USEC_PER_SEC)
#define Mb_SEED_WAIT_USEC (30 * Ck_USEC_PER_SEC)
#define Mb_HOUR_USEC (3600 * Ck_USEC_PER_SEC)
#define Mb_PURGE_DEAD_USEC (4 * Mb_HOUR_USEC)
#define Mb_PURGE_LEFT_USEC (600 * Ck_USEC_PER_SEC)
#define Mb_PURGE_UNREACHED_USEC (24 * Mb_HOUR_USEC)

/*
 * Allocates a probe.  Returns NULL when too many are open; the probe is then
 * skipped.
 */
struct mb_probe *
mb_probe_new(struct mb_table *table, enum mb_purpose purpose,
             const char *target, int64_t deadline_usec)
{
    for (size_t i = 0; i < Mb_PROBES_MAX; i++) {
        struct mb_probe *probe = &table->probes[i];
        if (probe->used) {
            continue;
        }
        memset(probe, 0, sizeof(*probe));
        probe->used = true;
        probe->purpose = purpose;
        probe->sequence = ++table->sequence;
        probe->deadline_usec = deadline_usec;
        strlcpy(probe->target, target, sizeof(probe->target));
        return probe;
    }
    return NULL;
}

static struct mb_probe *
find_probe(struct mb_table *table, const struct mb_message *ack)
{
    for (size_t i = 0; i < Mb_PROBES_MAX; i++) {
        struct mb_probe *probe = &table->probes[i];
        if (probe->used && probe->sequence == ack->sequence) {
            return probe;
        }
    }
    return NULL;
}

/*
 * Records whether a data centre is reachable and calls "reach_changed" on a
 * change.
 */
void
mb_set_reachable(struct mb_table *table, struct mb_dc *dc, bool reachable)
{
    dc->failures = 0;
    if (dc->unreachable == !reachable) {
        return;
    }
    dc->unreachable = !reachable;
    dc->since_usec = Ck_Now(table->clock);
    dc->wait_usec = table->period_usec;
    table->generation++;
    if (table->ops->reach_changed != NULL) {
        table->ops->reach_changed(table->arg, dc->name, reachable);
    }
}

static void
relay_ack(struct mb_table *table, const struct mb_probe *probe)
{
    const struct mb_entry *requester = mb_find(table, probe->requester);
    if (requester == NULL) {
        return;
    }
    struct mb_message ack =
        mb_message_new(table, MB_ACK, probe->requester_sequence, "");
    mb_message_fill(table, &ack);
    mb_send_to(table, requester, &ack);
}

/* Ends the probe that an ack belongs to. */
void
mb_handle_ack(struct mb_table *table, const struct mb_message *message)
{
    struct mb_probe *probe = find_probe(table, message);
    if (probe == NULL) {
        return;
    }
    struct mb_entry *target = mb_find(table, probe->target);
    switch (probe->purpose) {
    case MB_FOR_GROUP:
        if (table->health_penalty > 0) {
            table->health_penalty--;
        }
        break;
    case MB_FOR_BRIDGE:
        if (target != NULL) {
            mb_set_reachable(table, target->dc, true);
        }
        break;
    case MB_FOR_OTHER:
        relay_ack(table, probe);
        break;
    case MB_FOR_REJOIN:
        break;
    }
    probe->used = false;
}

/*
 * Probes a member on behalf of the sender of a ping-req, which got no answer
 * from it.
 */
void
mb_relay_probe(struct mb_table *table, const struct mb_message *message)
{
    const struct mb_entry *target = mb_find(table, message->subject);
    if (target == NULL || target == table->self) {
        return;
    }
    int64_t deadline = Ck_Now(table->clock) + table->period_usec;
    struct mb_probe *probe =
        mb_probe_new(table, MB_FOR_OTHER, message->subject, deadline);
    if (probe == NULL) {
        return;
    }
    strlcpy(probe->requester, message->from, sizeof(probe->requester));
    probe->requester_sequence = message->sequence;
    mb_ping(table, target, probe->sequence, false);
}

static bool
is_helper(const struct mb_table *table, const struct mb_entry *entry,
          const void *arg)
{
    const char *target = arg;
    return entry->record.state == MB_ALIVE && mb_in_group(table, entry) &&
           strcmp(entry->record.id, target) != 0;
}

static void
send_ping_reqs(struct mb_table *table, struct mb_probe *probe)
{
    probe->indirect = true;
    for (int i = 0; i < Mb_INDIRECT_PROBES; i++) {
        const struct mb_entry *helper =
            mb_pick_random(table, is_helper, probe->target);
        if (helper == NULL) {
            break;
        }
        struct mb_message request =
            mb_message_new(table, MB_PING_REQ, probe->sequence, probe->target);
        mb_message_fill(table, &request);
        mb_send_to(table, helper, &request);
    }
}

static void
bridge_failed(struct mb_table *table, struct mb_dc *dc)
{
    dc->failures++;
    if (dc->unreachable) {
        dc->wait_usec *= 2;
        if (dc->wait_usec > Mb_REACH_WAIT_MAX_USEC) {
            dc->wait_usec = Mb_REACH_WAIT_MAX_USEC;
        }
    }
    else if (dc->failures >= Mb_REACH_FAILURES) {
        mb_set_reachable(table, dc, false);
    }
}

static void
probe_failed(struct mb_table *table, struct mb_probe *probe)
{
    struct mb_entry *target = mb_find(table, probe->target);
    probe->used = false;
    if (target == NULL) {
        return;
    }
    if (probe->purpose == MB_FOR_GROUP) {
        if (table->health_penalty < Mb_HEALTH_PENALTY_MAX) {
            table->health_penalty++;
        }
        mb_suspect(table, target);
    }
    else if (probe->purpose == MB_FOR_BRIDGE) {
        bridge_failed(table, target->dc);
    }
}

static void
check_probes(struct mb_table *table, int64_t now)
{
    for (size_t i = 0; i < Mb_PROBES_MAX; i++) {
        struct mb_probe *probe = &table->probes[i];
        if (!probe->used) {
            continue;
        }
        if (now >= probe->deadline_usec) {
            probe_failed(table, probe);
        }
        else if (probe->purpose == MB_FOR_GROUP && !probe->indirect &&
                 now >= probe->indirect_usec) {
            send_ping_reqs(table, probe);
        }
    }
}

static void
check_suspicions(struct mb_table *table, int64_t now)
{
    if (mb_isolated(table, now)) {
        return;
    }
    struct mb_entry *entry;
    RB_FOREACH (entry, mb_tree, &table->members) {
        if (entry->deadline_usec != 0 && now >= entry->deadline_usec) {
            mb_set_state(table, entry, MB_DEAD);
            mb_enqueue(table, entry);
        }
    }
}

/*
 * Pings every suspected member once a period until its suspicion ends.  The
 * gossip that carries its refutation may miss this node, but an ack reaches it
 * directly.
 */
static void
ping_suspects(struct mb_table *table)
{
    struct mb_entry *entry;
    RB_FOREACH (entry, mb_tree, &table->members) {
        if (entry->deadline_usec != 0) {
            mb_ping(table, entry, ++table->sequence, false);
        }
    }
}

static bool
is_probed(const struct mb_table *table, const struct mb_entry *entry)
{
    return entry != table->self && entry->record.state != MB_DEAD &&
           mb_in_group(table, entry);
}

/* Shuffles the group: every member is probed once per round. */
static void
new_round(struct mb_table *table)
{
    struct mb_entry **order = realloc(
        table->order, (table->member_count + 1) * sizeof(struct mb_entry *));
    if (order == NULL) {
        table->order_next = 0;
        return;
    }
    size_t len = 0;
    struct mb_entry *entry;
    RB_FOREACH (entry, mb_tree, &table->members) {
        if (!is_probed(table, entry)) {
            continue;
        }
        size_t at = Rn_Below(table->random, (uint32_t)len + 1);
        order[len] = order[at];
        order[at] = entry;
        len++;
    }
    table->order = order;
    table->order_len = len;
    table->order_next = 0;
}

static struct mb_entry *
next_in_round(struct mb_table *table)
{
    while (table->order_next < table->order_len) {
        struct mb_entry *entry = table->order[table->order_next++];
        if (entry != NULL && is_probed(table, entry)) {
            return entry;
        }
    }
    return NULL;
}

/*
 * Probes the next member.  A node whose probes often fail uses longer
 * timeouts, since the fault may be its own.
 */
static void
probe_next(struct mb_table *table, int64_t now)
{
    int64_t scale = 1 + table->health_penalty;
    table->next_probe_usec = now + table->period_usec * scale;
    struct mb_entry *entry = next_in_round(table);
    if (entry == NULL) {
        new_round(table);
        entry = next_in_round(table);
    }
    if (entry == NULL) {
        return;
    }
    struct mb_probe *probe =
        mb_probe_new(table, MB_FOR_GROUP, entry->record.id,
                     now + table->period_usec * scale);
    if (probe != NULL) {
        probe->indirect_usec = now + table->timeout_usec * scale;
        mb_ping(table, entry, probe->sequence, false);
    }
}

/* Updates which data centres this node is a bridge to. */
void
mb_update_bridges(struct mb_table *table)
{
    if (table->bridges_generation == table->generation) {
        return;
    }
    table->bridges_generation = table->generation;
    const struct mb_dc *own = table->self->dc;
    struct mb_dc *dc;
    TAILQ_FOREACH (dc, &table->dcs, link) {
        dc->bridged = false;
        bool grouped = own->live_count < table->group_min &&
                       strcmp(dc->region, own->region) == 0;
        if (dc == own || grouped || dc->live_count == 0) {
            continue;
        }
        char key[2 * Mb_NAME_MAX + sizeof("bridge//")];
        strlcpy(key, "bridge/", sizeof(key));
        strlcat(key, own->name, sizeof(key));
        strlcat(key, "/", sizeof(key));
        strlcat(key, dc->name, sizeof(key));
        const struct mb_record *top[Mb_BRIDGES];
        size_t count = Mb_RankByKey(table, key, own->name, top, Mb_BRIDGES);
        for (size_t i = 0; i < count; i++) {
            if (top[i] == &table->self->record) {
                dc->bridged = true;
            }
        }
    }
}

static bool
is_live_in(const struct mb_table *table, const struct mb_entry *entry,
           const void *arg)
{
    return entry->dc == arg && entry->record.state != MB_DEAD;
}

static void
probe_data_centres(struct mb_table *table, int64_t now)
{
    mb_update_bridges(table);
    struct mb_dc *dc;
    TAILQ_FOREACH (dc, &table->dcs, link) {
        if (!dc->bridged || now < dc->next_usec) {
            continue;
        }
        if (dc->wait_usec < table->period_usec) {
            dc->wait_usec = table->period_usec;
        }
        dc->next_usec = now + dc->wait_usec;
        const struct mb_entry *entry = mb_pick_random(table, is_live_in, dc);
        struct mb_probe *probe =
            entry == NULL
                ? NULL
                : mb_probe_new(table, MB_FOR_BRIDGE, entry->record.id,
                               now + table->period_usec);
        if (probe != NULL) {
            mb_ping(table, entry, probe->sequence, true);
        }
    }
}

static bool
may_rejoin(const struct mb_table *table, const struct mb_entry *entry,
           const void *arg)
{
    const int64_t *now = arg;
    return entry->record.state == MB_DEAD && !entry->departed &&
           mb_in_group(table, entry) && *now >= entry->next_usec;
}

/*
 * Probes one dead member with backoff.  Without this, the two sides of a
 * network partition inside a region, each of which has declared the other
 * dead, would stay separate after the partition has healed.
 */
static void
probe_dead(struct mb_table *table, int64_t now)
{
    struct mb_entry *entry = mb_pick_random(table, may_rejoin, &now);
    if (entry == NULL) {
        return;
    }
    entry->wait_usec *= 2;
    if (entry->wait_usec == 0) {
        entry->wait_usec = Mb_REJOIN_WAIT_USEC;
    }
    if (entry->wait_usec > Mb_REJOIN_WAIT_MAX_USEC) {
        entry->wait_usec = Mb_REJOIN_WAIT_MAX_USEC;
    }
    entry->next_usec = now + entry->wait_usec;
    mb_ping(table, entry, ++table->sequence, true);
}

static bool
is_member_address(const struct mb_table *table, const struct mb_endpoint *seed)
{
    struct mb_entry *entry;
    RB_FOREACH (entry, mb_tree, (struct mb_tree *)&table->members) {
        if (entry->record.state != MB_DEAD &&
            entry->record.peer_port == seed->port &&
            strcmp(entry->record.address, seed->address) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_alone(const struct mb_table *table)
{
    return Mb_Count(table, MB_ALIVE) <= 1;
}

/*
 * Pings a random seed that is not the address of a live member: once a period
 * while this node has no alive peer, else every Mb_SEED_WAIT_USEC.
 */
static void
probe_seed(struct mb_table *table, int64_t now)
{
    if (table->seed_count == 0 || now < table->next_seed_usec) {
        return;
    }
    table->next_seed_usec =
        now + (is_alone(table) ? table->period_usec : Mb_SEED_WAIT_USEC);
    size_t start = Rn_Below(table->random, (uint32_t)table->seed_count);
    for (size_t i = 0; i < table->seed_count; i++) {
        const struct mb_endpoint *seed =
            &table->seeds[(start + i) % table->seed_count];
        if (is_member_address(table, seed)) {
            continue;
        }
        struct mb_message ping =
            mb_message_new(table, MB_PING, ++table->sequence, "");
        mb_message_add(&ping, &table->self->record);
        table->ops->send(table->arg, seed, MB_FAR, &ping);
        return;
    }
}

static int64_t
retention_usec(const struct mb_entry *entry)
{
    return entry->departed ? Mb_PURGE_LEFT_USEC : Mb_PURGE_DEAD_USEC;
}

static bool
is_purgeable(const struct mb_entry *entry, int64_t now)
{
    if (entry->record.state == MB_DEAD) {
        return now - entry->since_usec > retention_usec(entry);
    }
    return entry->dc->unreachable &&
           now - entry->dc->since_usec > Mb_PURGE_UNREACHED_USEC;
}

static void
purge_old(struct mb_table *table, int64_t now)
{
    struct mb_entry *entry;
    struct mb_entry *next;
    RB_FOREACH_SAFE (entry, mb_tree, &table->members, next) {
        if (entry != table->self && is_purgeable(entry, now)) {
            mb_remove(table, entry);
        }
    }
}

/*
 * Compensates for a pause of this process.  After a pause all deadlines have
 * passed while the acks wait unread in the socket, and the node would suspect
 * healthy members and declare them dead.  Therefore open probes are dropped
 * and suspicions extended by the length of the pause.
 */
static void
compensate_pause(struct mb_table *table, int64_t now)
{
    int64_t pause_usec = now - table->last_tick_usec;
    table->last_tick_usec = now;
    if (pause_usec <= Mb_PAUSE_MIN_USEC) {
        return;
    }
    memset(table->probes, 0, sizeof(table->probes));
    table->last_received_usec += pause_usec;
    struct mb_entry *entry;
    RB_FOREACH (entry, mb_tree, &table->members) {
        if (entry->deadline_usec != 0) {
            entry->since_usec += pause_usec;
            entry->deadline_usec += pause_usec;
        }
    }
}

/*
 * Runs the probes and timeouts that are due.  Must be called about ten times
 * per period.
 */
void
Mb_Tick(struct mb_table *table)
{
    int64_t now = Ck_Now(table->clock);
    compensate_pause(table, now);
    check_probes(table, now);
    check_suspicions(table, now);
    if (now >= table->next_probe_usec) {
        probe_next(table, now);
    }
    probe_data_centres(table, now);
    if (now >= table->next_scan_usec) {
        table->next_scan_usec = now + table->period_usec;
        ping_suspects(table);
        probe_dead(table, now);
        purge_old(table, now);
    }
    probe_seed(table, now);
}
