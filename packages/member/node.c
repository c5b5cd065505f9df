/*
 * Starts and stops a node, runs its timer and distributes whether data centres
 * are reachable.
 */
#include "member/node.h"

#include <bsd/stdlib.h>
#include <bsd/string.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "member/node_internal.h"

#define EV(number, name, level, meaning, todo) Ev_DEFINE(number, name, level)
#include "member/events.def"

#define Nd_TICK_USEC (100 * Ck_USEC_PER_MSEC)
#define Nd_GOSSIP_USEC (250 * Ck_USEC_PER_MSEC)
#define Nd_SYNC_USEC (30 * Ck_USEC_PER_SEC)
#define Nd_PORT_TRIES 16
#define Nd_REACH_PREFIX "reach/"
#define Nd_REACH_TTL_USEC (180 * Ck_USEC_PER_SEC)
#define Nd_REACH_REPEAT_USEC (60 * Ck_USEC_PER_SEC)
#define Nd_SPREAD_EXTRA 2     /* transmissions beyond log2 of the nodes */
#define Nd_SPREAD_REDUCTION 2 /* fewer for facts of data centre scope */
#define Nd_SPREAD_MIN 2

static void
on_changed(void *arg, const struct mb_record *member, enum mb_state before)
{
    struct nd_node *node = arg;
    Ev_Log(&MEMBER_CHANGED, "member=%s state=%s before=%s data_centre=%s",
           member->id, Mb_StateName(member->state), Mb_StateName(before),
           member->data_centre);
    if (node->ops != NULL && node->ops->changed != NULL) {
        node->ops->changed(node->arg, member, before);
    }
}

static void
publish_reach(struct nd_node *node, const char *data_centre, bool reachable)
{
    char key[Fc_KEY_MAX];
    snprintf(key, sizeof(key), Nd_REACH_PREFIX "%s", data_centre);
    struct fc_publication post = {
        .key = key,
        .owned = true,
        .scope = FC_DATA_CENTRE,
        .ttl_usec = Nd_REACH_TTL_USEC,
        .value = reachable ? "1" : "0",
        .len = 1,
    };
    Fc_Publish(node->facts, &post);
}

static void
on_reach(void *arg, const char *data_centre, bool reachable)
{
    struct nd_node *node = arg;
    Ev_Log(&MEMBER_REACH, "data_centre=%s reachable=%d", data_centre,
           reachable);
    if (!node->reach_from_peer) {
        publish_reach(node, data_centre, reachable);
        if (reachable) {
            node->sync_far = true; /* many records may have changed there */
            node->next_sync_usec = 0;
        }
    }
    if (node->ops != NULL && node->ops->reach_changed != NULL) {
        node->ops->reach_changed(node->arg, data_centre, reachable);
    }
}

static const struct mb_ops table_ops = {nd_send, on_changed, on_reach};

/*
 * Applies whether a data centre is reachable, as published by a bridge in the
 * data centre of this node.  A node that is itself a bridge to that data
 * centre uses its own probes.
 */
static void
on_reach_fact(void *arg, const struct fc_fact *fact)
{
    struct nd_node *node = arg;
    const char *data_centre = fact->key + strlen(Nd_REACH_PREFIX);
    const struct mb_record *self = Mb_Self(node->members);
    if (fact->len != 1 || strcmp(fact->owner, self->id) == 0 ||
        Mb_IsBridge(node->members, data_centre)) {
        return;
    }
    node->reach_from_peer = true;
    Mb_SetReachable(node->members, data_centre,
                    *(const char *)fact->value == '1');
    node->reach_from_peer = false;
}

/*
 * Returns how many times a fact is transmitted: log2 of the number of
 * receivers plus "extra", but at least two, and 0 when there is no receiver.
 */
static int
copies_for(size_t members, int extra)
{
    if (members <= 1) {
        return 0;
    }
    int copies = extra;
    for (size_t n = members; n > 0; n >>= 1) {
        copies++;
    }
    return copies > Nd_SPREAD_MIN ? copies : Nd_SPREAD_MIN;
}

/*
 * Sets the number of transmissions of each scope from the number of its
 * members.
 */
static void
update_spread(struct nd_node *node)
{
    if (node->spread_generation == Mb_Generation(node->members)) {
        return;
    }
    node->spread_generation = Mb_Generation(node->members);
    size_t counts[Fc_SCOPES] = {0};
    const struct mb_record *record;
    for (record = Mb_First(node->members); record != NULL;
         record = Mb_Next(record)) {
        if (record->state == MB_DEAD) {
            continue;
        }
        enum mb_distance distance = Mb_Distance(node->members, record);
        counts[FC_CLUSTER]++;
        counts[FC_REGION] += distance != MB_FAR;
        counts[FC_DATA_CENTRE] += distance == MB_SAME_DATA_CENTRE;
    }
    Fc_SetSpread(node->facts, FC_CLUSTER,
                 copies_for(counts[FC_CLUSTER], Nd_SPREAD_EXTRA));
    Fc_SetSpread(node->facts, FC_REGION,
                 copies_for(counts[FC_REGION], Nd_SPREAD_EXTRA));
    /* Load samples are frequent and soon replaced, so fewer copies suffice. */
    Fc_SetSpread(node->facts, FC_DATA_CENTRE,
                 copies_for(counts[FC_DATA_CENTRE], -Nd_SPREAD_REDUCTION));
}

/*
 * Publishes unreachable data centres again before the facts expire, also for
 * new members.
 */
static void
repeat_reach(struct nd_node *node, int64_t now)
{
    if (now < node->next_reach_usec) {
        return;
    }
    node->next_reach_usec = now + Nd_REACH_REPEAT_USEC;
    const struct mb_record *record;
    const char *last = "";
    for (record = Mb_First(node->members); record != NULL;
         record = Mb_Next(record)) {
        const char *dc = record->data_centre;
        if (strcmp(dc, last) != 0 && Mb_IsBridge(node->members, dc) &&
            !Mb_Reachable(node->members, dc)) {
            last = dc;
            publish_reach(node, dc, false);
        }
    }
}

static void
check_isolation(struct nd_node *node)
{
    bool isolated = Mb_Isolated(node->members);
    if (isolated && !node->isolated) {
        Ev_Log(&MEMBER_ISOLATED, "node=%s", Nd_Id(node));
    }
    node->isolated = isolated;
}

static void
each_second(struct nd_node *node, int64_t now)
{
    Fc_Expire(node->facts);
    repeat_reach(node, now);
    check_isolation(node);
    nd_drop_old_senders(node, now);
}

static void
on_timer(void *arg)
{
    struct nd_node *node = arg;
    int64_t now = Ck_Now(node->clock);
    Lp_TimerSet(node->timer, Nd_TICK_USEC);
    Mb_Tick(node->members);
    update_spread(node);
    if (now >= node->next_gossip_usec &&
        (Mb_HasUpdates(node->members) || Fc_HasUpdates(node->facts))) {
        node->next_gossip_usec = now + Nd_GOSSIP_USEC;
        Mb_Gossip(node->members);
    }
    if (now >= node->next_second_usec) {
        node->next_second_usec = now + Ck_USEC_PER_SEC;
        each_second(node, now);
    }
    if (now >= node->next_sync_usec) {
        nd_sync_start(node);
    }
}

static enum st_status
open_ports(struct nd_node *node, const struct nd_options *options)
{
    struct lk_options links = {
        .node = options->id,
        .address = options->address,
        .port = options->peer_port,
        .cluster_key = options->cluster_key,
        .clock = options->clock,
        .ledger = options->ledger,
    };
    enum st_status status = ST_CONFLICT;
    /* The UDP port of a free TCP port may be in use: then try another port. */
    for (int i = 0; i < Nd_PORT_TRIES && status == ST_CONFLICT; i++) {
        status = Lk_Create(node->loop, &links, &node->links);
        if (status != ST_OK) {
            return status;
        }
        status = nd_open_socket(node, options->address, Nd_Port(node));
        if (status != ST_OK) {
            Lk_Destroy(node->links);
            node->links = NULL;
        }
        if (options->peer_port != 0) {
            break;
        }
    }
    return status;
}

static enum st_status
make_table(struct nd_node *node, const struct nd_options *options)
{
    struct mb_options table = {
        .clock = options->clock,
        .random = &node->random,
        .ops = &table_ops,
        .arg = node,
        .period_usec = options->period_usec,
    };
    struct mb_record *self = &table.self;
    self->incarnation = node->incarnation;
    self->peer_port = Nd_Port(node);
    self->admin_port = options->admin_port;
    if (strlcpy(self->id, options->id, sizeof(self->id)) >= sizeof(self->id) ||
        strlcpy(self->data_centre, options->data_centre,
                sizeof(self->data_centre)) >= sizeof(self->data_centre) ||
        strlcpy(self->region, options->region, sizeof(self->region)) >=
            sizeof(self->region)) {
        return St_Fail(ST_INVALID,
                       "the names of a node, its data centre and "
                       "region have at most %d bytes",
                       Mb_ID_MAX - 1);
    }
    strlcpy(self->address, options->address, sizeof(self->address));
    return Mb_Create(&table, &node->members);
}

static enum st_status
make_facts(struct nd_node *node, const struct nd_options *options)
{
    struct fc_options facts = {.node = options->id, .clock = options->clock};
    enum st_status status = Fc_Create(&facts, &node->facts);
    if (status == ST_OK) {
        status = Fc_Watch(node->facts, Nd_REACH_PREFIX, on_reach_fact, node);
    }
    return status;
}

static enum st_status
start(struct nd_node *node, const struct nd_options *options)
{
    enum st_status status = open_ports(node, options);
    if (status != ST_OK) {
        return status;
    }
    status = make_facts(node, options);
    if (status != ST_OK) {
        return status;
    }
    status = make_table(node, options);
    if (status != ST_OK) {
        return status;
    }
    status = nd_sync_init(node);
    if (status != ST_OK) {
        return status;
    }
    node->timer = Lp_TimerCreate(node->loop, on_timer, node);
    if (node->timer == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a timer");
    }
    Lp_TimerSet(node->timer, Rn_Below(&node->random, Nd_TICK_USEC));
    Ev_Log(&MEMBER_STARTED, "node=%s port=%d data_centre=%s incarnation=%llu",
           options->id, Nd_Port(node), options->data_centre,
           (unsigned long long)node->incarnation);
    return ST_OK;
}

/*
 * Starts a node.  Returns ST_INVALID for invalid options, ST_CONFLICT or
 * ST_UNAVAILABLE when the port is in use.  The node must be destroyed before
 * the loop.
 */
enum st_status
Nd_Create(struct lp_loop *loop, const struct nd_options *options,
          struct nd_node **out)
{
    struct nd_node *node = calloc(1, sizeof(*node));
    if (node == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the node");
    }
    node->loop = loop;
    node->clock = options->clock;
    node->ops = options->ops;
    node->arg = options->arg;
    node->sync_period_usec = options->sync_period_usec != 0
                                 ? options->sync_period_usec
                                 : Nd_SYNC_USEC;
    node->incarnation = (uint64_t)(Ck_Wall(options->clock) / Ck_USEC_PER_MSEC);
    RB_INIT(&node->senders);
    uint64_t seed = options->seed;
    if (seed == 0) {
        arc4random_buf(&seed, sizeof(seed));
    }
    Rn_Seed(&node->random, seed);
    enum st_status status = ST_INVALID;
    if (options->cluster_key != NULL) {
        Wr_DeriveKey(options->cluster_key, "datagram", node->key);
        status = start(node, options);
    }
    else {
        St_Fail(ST_INVALID, "no cluster key; give every daemon the same "
                            "secret");
    }
    if (status != ST_OK) {
        Nd_Destroy(node);
        return status;
    }
    *out = node;
    return ST_OK;
}

/* Stops a node without announcing it to the others; see Nd_Leave(). */
void
Nd_Destroy(struct nd_node *node)
{
    if (node == NULL) {
        return;
    }
    Lp_TimerDestroy(node->timer);
    nd_close_socket(node);
    Lk_Destroy(node->links);
    Mb_Destroy(node->members);
    Fc_Destroy(node->facts);
    free(node);
}

/* Replaces the seeds; see Mb_SetSeeds(). */
void
Nd_SetSeeds(struct nd_node *node, const struct mb_endpoint *seeds,
            size_t count)
{
    Mb_SetSeeds(node->members, seeds, count);
}

/*
 * Announces that this node leaves: it gets no new work but stays a member
 * until it is destroyed.
 */
void
Nd_Leave(struct nd_node *node)
{
    Ev_Log(&MEMBER_LEAVING, "node=%s", Nd_Id(node));
    Mb_Leave(node->members);
}

/* Publishes a fact; see Fc_Publish(). */
enum st_status
Nd_Publish(struct nd_node *node, const struct fc_publication *post)
{
    update_spread(node);
    return Fc_Publish(node->facts, post);
}

/*
 * Calls a member by its id; see Lk_Call().  Returns ST_NOT_FOUND when the
 * member is not in the table.
 */
enum st_status
Nd_Call(struct nd_node *node, const char *member, const char *type,
        const void *payload, size_t len, int64_t timeout_usec, lk_done_fn done,
        void *arg, struct lk_call **out)
{
    const struct mb_record *record = Mb_Find(node->members, member);
    if (record == NULL) {
        return St_Fail(ST_NOT_FOUND, "unknown member %s; see the member list",
                       member);
    }
    struct mb_endpoint to = {.port = record->peer_port};
    strlcpy(to.address, record->address, sizeof(to.address));
    return Lk_Call(node->links, &to, type, payload, len, timeout_usec, done,
                   arg, out);
}
