/* Stores, publishes and expires facts and selects them for gossip. */
#include "member/fact.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "member/fact_internal.h"

#define Fc_FACTS_MAX 16384
#define Fc_TRANSMISSIONS 6 /* of a new fact, until Fc_SetSpread() */
#define Fc_TOMBSTONE_MIN_USEC (60 * Ck_USEC_PER_SEC)
#define Fc_SETTLED_USEC (2 * Ck_USEC_PER_SEC) /* recent if younger */

RB_GENERATE(fc_tree, fc_entry, node, fc_compare);

/* Orders facts by the hash of owner and key, then by owner, then by key. */
int
fc_compare(const struct fc_entry *a, const struct fc_entry *b)
{
    if (a->name_hash != b->name_hash) {
        return a->name_hash < b->name_hash ? -1 : 1;
    }
    int order = strcmp(a->owner, b->owner);
    return order != 0 ? order : strcmp(a->key, b->key);
}

/* Creates an empty table of facts. */
enum st_status
Fc_Create(const struct fc_options *options, struct fc_table **out)
{
    struct fc_table *facts = calloc(1, sizeof(*facts));
    if (facts == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the fact table");
    }
    strlcpy(facts->node, options->node, sizeof(facts->node));
    facts->clock = options->clock;
    facts->changed = options->changed;
    facts->arg = options->arg;
    facts->facts_max =
        options->facts_max != 0 ? options->facts_max : Fc_FACTS_MAX;
    RB_INIT(&facts->entries);
    SLIST_INIT(&facts->watches);
    for (int scope = 0; scope < Fc_SCOPES; scope++) {
        TAILQ_INIT(&facts->queues[scope]);
        TAILQ_INIT(&facts->sent[scope]);
        facts->spread[scope] = Fc_TRANSMISSIONS;
    }
    *out = facts;
    return ST_OK;
}

static void
unqueue(struct fc_table *facts, struct fc_entry *entry)
{
    Fc_BeginDatagram(facts);
    if (entry->sends_left > 0) {
        TAILQ_REMOVE(&facts->queues[entry->scope], entry, queued);
        entry->sends_left = 0;
    }
}

static void
drop(struct fc_table *facts, struct fc_entry *entry)
{
    unqueue(facts, entry);
    RB_REMOVE(fc_tree, &facts->entries, entry);
    facts->count--;
    free(entry->value);
    free(entry);
}

/* Frees the table and every fact in it; NULL is allowed. */
void
Fc_Destroy(struct fc_table *facts)
{
    if (facts == NULL) {
        return;
    }
    Fc_BeginDatagram(facts);
    struct fc_entry *entry;
    while ((entry = RB_MIN(fc_tree, &facts->entries)) != NULL) {
        drop(facts, entry);
    }
    struct fc_watch *watch;
    while ((watch = SLIST_FIRST(&facts->watches)) != NULL) {
        SLIST_REMOVE_HEAD(&facts->watches, link);
        free(watch);
    }
    free(facts);
}

/*
 * Calls "changed" for every later update of a fact whose key begins with the
 * prefix, including those that this node publishes.
 */
enum st_status
Fc_Watch(struct fc_table *facts, const char *key_prefix, fc_changed_fn changed,
         void *arg)
{
    struct fc_watch *watch = calloc(1, sizeof(*watch));
    if (watch == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory to watch facts");
    }
    strlcpy(watch->prefix, key_prefix, sizeof(watch->prefix));
    watch->changed = changed;
    watch->arg = arg;
    SLIST_INSERT_HEAD(&facts->watches, watch, link);
    return ST_OK;
}

static void
notify(struct fc_table *facts, const struct fc_entry *entry)
{
    struct fc_fact fact;
    fc_view(facts, entry, &fact);
    if (facts->changed != NULL) {
        facts->changed(facts->arg, &fact);
    }
    struct fc_watch *watch;
    SLIST_FOREACH (watch, &facts->watches, link) {
        if (strncmp(fact.key, watch->prefix, strlen(watch->prefix)) == 0) {
            watch->changed(watch->arg, &fact);
        }
    }
}

static void
enqueue(struct fc_table *facts, struct fc_entry *entry, int left)
{
    unqueue(facts, entry);
    if (facts->no_spread) {
        return;
    }
    entry->sends_left = left;
    if (left > 0) {
        TAILQ_INSERT_HEAD(&facts->queues[entry->scope], entry, queued);
    }
}

static struct fc_entry *
add_entry(struct fc_table *facts, const char *owner, const char *key)
{
    if (facts->count >= facts->facts_max) {
        return NULL;
    }
    struct fc_entry *entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        return NULL;
    }
    strlcpy(entry->owner, owner, sizeof(entry->owner));
    strlcpy(entry->key, key, sizeof(entry->key));
    entry->name_hash = fc_name_hash(owner, key);
    entry->expired = true;
    RB_INSERT(fc_tree, &facts->entries, entry);
    facts->count++;
    return entry;
}

/* Stores a new version and value and queues the fact for gossip. */
static bool
replace(struct fc_table *facts, struct fc_entry *entry,
        const struct fc_fact *fact)
{
    void *value = malloc(fact->len + 1);
    if (value == NULL) {
        return false;
    }
    if (fact->len > 0) {
        memcpy(value, fact->value, fact->len);
    }
    unqueue(facts, entry);
    free(entry->value);
    entry->value = value;
    entry->len = fact->len;
    entry->version = fact->version;
    entry->scope = fact->scope;
    entry->expired = false;
    entry->updated_usec = Ck_Now(facts->clock);
    entry->expires_usec =
        fact->ttl_usec != 0 ? entry->updated_usec + fact->ttl_usec : 0;
    int64_t kept = fact->ttl_usec > Fc_TOMBSTONE_MIN_USEC
                       ? fact->ttl_usec
                       : Fc_TOMBSTONE_MIN_USEC;
    entry->purge_usec = entry->expires_usec + kept;
    enqueue(facts, entry, facts->spread[entry->scope]);
    return true;
}

/*
 * Compares the values of equal versions: the longer value is greater, and
 * bytes decide between equal lengths.  All nodes use this order and so
 * converge.
 */
static int
compare_values(const struct fc_entry *entry, const struct fc_fact *fact)
{
    if (fact->len != entry->len) {
        return fact->len > entry->len ? 1 : -1;
    }
    return fact->len == 0 ? 0 : memcmp(fact->value, entry->value, fact->len);
}

static bool
supersedes(const struct fc_entry *entry, const struct fc_fact *fact)
{
    if (fact->version != entry->version) {
        return fact->version > entry->version;
    }
    return !entry->expired && compare_values(entry, fact) > 0;
}

static enum st_status
check_post(const struct fc_publication *post)
{
    if (post->key[0] == '\0' || strlen(post->key) >= Fc_KEY_MAX) {
        return St_Fail(ST_INVALID, "a fact's key has 1 to %d bytes",
                       Fc_KEY_MAX - 1);
    }
    if (post->len > Fc_VALUE_MAX) {
        return St_Fail(ST_INVALID,
                       "fact %s has a value of %zu bytes; at most %d fit",
                       post->key, post->len, Fc_VALUE_MAX);
    }
    if (post->owned && post->ttl_usec == 0) {
        return St_Fail(ST_INVALID,
                       "fact %s of one node needs a time to live, since the "
                       "node may go for good",
                       post->key);
    }
    return ST_OK;
}

/*
 * Publishes a fact.  Returns ST_INVALID for a key or value out of bounds,
 * ST_CONFLICT when the same or a later version is already stored, and
 * ST_OVERLOAD when the table is full.
 */
enum st_status
Fc_Publish(struct fc_table *facts, const struct fc_publication *post)
{
    enum st_status status = check_post(post);
    if (status != ST_OK) {
        return status;
    }
    const char *owner = post->owned ? facts->node : "";
    struct fc_entry *entry = fc_find(facts, owner, post->key);
    uint64_t current = entry != NULL ? entry->version : 0;
    struct fc_fact fact = {
        .owner = owner,
        .key = post->key,
        .version = post->version != 0 ? post->version : current + 1,
        .scope = post->scope,
        .ttl_usec = post->ttl_usec,
        .value = post->value,
        .len = post->len,
    };
    if (entry != NULL && fact.version == current && !entry->expired &&
        compare_values(entry, &fact) == 0) {
        return ST_OK;
    }
    if (entry != NULL && !supersedes(entry, &fact)) {
        return St_Fail(
            ST_CONFLICT,
            "fact %s is stored at version %llu; publish a later one",
            post->key, (unsigned long long)current);
    }
    if (entry == NULL) {
        entry = add_entry(facts, owner, post->key);
    }
    if (entry == NULL) {
        return St_Fail(ST_OVERLOAD,
                       "the table holds %zu facts already; publish fewer keys",
                       facts->count);
    }
    if (!replace(facts, entry, &fact)) {
        drop(facts, entry);
        return St_Fail(ST_NO_MEMORY, "no memory for fact %s", post->key);
    }
    entry->published = true;
    notify(facts, entry);
    return ST_OK;
}

/*
 * Queues the current version once when a peer has sent an older one.  While
 * the current version is recent, ordinary gossip still carries it.
 */
static void
on_older_version(struct fc_table *facts, struct fc_entry *entry)
{
    int64_t age = Ck_Now(facts->clock) - entry->updated_usec;
    if (entry->sends_left == 0 && !entry->expired && age > Fc_SETTLED_USEC) {
        enqueue(facts, entry, 1);
    }
}

/*
 * Counts a received copy as one of the transmissions of this node, so that
 * nodes stop repeating a fact that their peers already have.
 */
static void
on_duplicate(struct fc_table *facts, struct fc_entry *entry)
{
    if (entry->sends_left == 1) {
        unqueue(facts, entry);
    }
    else if (entry->sends_left > 1) {
        entry->sends_left--;
    }
}

/*
 * Overrides a fact that this node published before it restarted.  Peers still
 * hold it at a higher version than the restarted node uses, so the current
 * value is published again under a version above theirs.
 */
static bool
override_stale(struct fc_table *facts, struct fc_entry *entry,
               const struct fc_fact *fact)
{
    bool own = strcmp(entry->owner, facts->node) == 0;
    if (!own || !entry->published || entry->expired) {
        return false;
    }
    entry->version = fact->version + 1;
    enqueue(facts, entry, facts->spread[entry->scope]);
    return true;
}

static bool
is_valid(const struct fc_fact *fact)
{
    return fact->key[0] != '\0' && strlen(fact->key) < Fc_KEY_MAX &&
           strlen(fact->owner) < Mb_ID_MAX && fact->len <= Fc_VALUE_MAX &&
           fact->ttl_usec >= 0 && fact->scope <= FC_DATA_CENTRE;
}

/* Merges a fact received from a peer.  Returns true when the fact changed. */
bool
Fc_Apply(struct fc_table *facts, const struct fc_fact *fact)
{
    if (!is_valid(fact)) {
        return false;
    }
    struct fc_entry *entry = fc_find(facts, fact->owner, fact->key);
    if (entry == NULL) {
        entry = add_entry(facts, fact->owner, fact->key);
        if (entry == NULL) {
            return false;
        }
    }
    else if (!supersedes(entry, fact)) {
        if (fact->version < entry->version) {
            on_older_version(facts, entry);
        }
        else {
            on_duplicate(facts, entry);
        }
        return false;
    }
    if (override_stale(facts, entry, fact)) {
        return false;
    }
    if (!replace(facts, entry, fact)) {
        drop(facts, entry);
        return false;
    }
    notify(facts, entry);
    return true;
}

/*
 * Merges a fact without queueing it for gossip.  A starting node uses this for
 * the first full state that it receives, which its peers already have.
 */
bool
Fc_ApplyLocally(struct fc_table *facts, const struct fc_fact *fact)
{
    facts->no_spread = true;
    bool updated = Fc_Apply(facts, fact);
    facts->no_spread = false;
    return updated;
}

/*
 * Expires facts at the end of their time to live.  The version is kept as a
 * tombstone for a while longer, so that a copy still held by a slow peer does
 * not restore the fact.
 */
void
Fc_Expire(struct fc_table *facts)
{
    int64_t now = Ck_Now(facts->clock);
    struct fc_entry *entry;
    struct fc_entry *next;
    RB_FOREACH_SAFE (entry, fc_tree, &facts->entries, next) {
        if (entry->expires_usec == 0 || now < entry->expires_usec) {
            continue;
        }
        if (!entry->expired) {
            entry->expired = true;
            unqueue(facts, entry);
            free(entry->value);
            entry->value = NULL;
            entry->len = 0;
        }
        if (now >= entry->purge_usec) {
            drop(facts, entry);
        }
    }
}

/*
 * Sets how many times this node transmits a new fact of a scope.  It must be 0
 * when the scope has no other node; otherwise the fact would stay queued for
 * ever.
 */
void
Fc_SetSpread(struct fc_table *facts, enum fc_scope scope, int count)
{
    facts->spread[scope] = count;
}

/* Begins a datagram: every queued fact may be selected once. */
void
Fc_BeginDatagram(struct fc_table *facts)
{
    for (int scope = 0; scope < Fc_SCOPES; scope++) {
        TAILQ_CONCAT(&facts->queues[scope], &facts->sent[scope], queued);
    }
}

/*
 * Selects the next fact for a datagram with "room" bytes left; false when none
 * fits.  "narrowest" is the narrowest scope that includes the receiver.  Wider
 * scopes go first: they have few facts, and every node needs them.
 */
bool
Fc_NextUpdate(struct fc_table *facts, enum fc_scope narrowest, size_t room,
              fc_size_fn size, struct fc_fact *out)
{
    for (int scope = FC_CLUSTER; scope <= (int)narrowest; scope++) {
        struct fc_entry *entry = TAILQ_FIRST(&facts->queues[scope]);
        if (entry == NULL) {
            continue;
        }
        fc_view(facts, entry, out);
        if (size(out) > room) {
            continue;
        }
        TAILQ_REMOVE(&facts->queues[scope], entry, queued);
        entry->sends_left--;
        if (entry->sends_left > 0) {
            TAILQ_INSERT_TAIL(&facts->sent[scope], entry, queued);
        }
        return true;
    }
    return false;
}
