/* Read-only queries on the fact table. */
#include <bsd/string.h>
#include <string.h>

#include "base/hash.h"
#include "member/fact.h"
#include "member/fact_internal.h"

#define Fc_BUCKET_SHIFT 59 /* 64 - log2(Fc_BUCKETS) */

/* Hashes the owner and key of a fact, as used in digests. */
uint64_t
fc_name_hash(const char *owner, const char *key)
{
    return Hash_String(key, Hash_String(owner, 0));
}

/* Finds the entry of an owner and key; NULL when there is none. */
struct fc_entry *
fc_find(const struct fc_table *facts, const char *owner, const char *key)
{
    struct fc_entry wanted;
    strlcpy(wanted.owner, owner, sizeof(wanted.owner));
    strlcpy(wanted.key, key, sizeof(wanted.key));
    wanted.name_hash = fc_name_hash(owner, key);
    return RB_FIND(fc_tree, (struct fc_tree *)&facts->entries, &wanted);
}

/* Fills a fact from an entry, with its remaining time to live. */
void
fc_view(const struct fc_table *facts, const struct fc_entry *entry,
        struct fc_fact *out)
{
    out->owner = entry->owner;
    out->key = entry->key;
    out->version = entry->version;
    out->scope = entry->scope;
    out->value = entry->value;
    out->len = entry->len;
    out->ttl_usec = 0;
    if (entry->expires_usec != 0) {
        int64_t left = entry->expires_usec - Ck_Now(facts->clock);
        out->ttl_usec = left > 0 ? left : 1;
    }
}

static bool
is_live(const struct fc_table *facts, const struct fc_entry *entry)
{
    return !entry->expired && (entry->expires_usec == 0 ||
                               Ck_Now(facts->clock) < entry->expires_usec);
}

/*
 * Finds a live fact; the owner "" stands for the whole cluster.  The pointers
 * are valid until the fact changes.
 */
bool
Fc_Get(const struct fc_table *facts, const char *owner, const char *key,
       struct fc_fact *out)
{
    const struct fc_entry *entry = fc_find(facts, owner, key);
    if (entry == NULL || !is_live(facts, entry)) {
        return false;
    }
    fc_view(facts, entry, out);
    return true;
}

/*
 * Calls "fn" for every live fact whose key begins with the prefix, in no
 * particular order.  The table must not be changed during the calls.
 */
void
Fc_Each(const struct fc_table *facts, const char *key_prefix, fc_changed_fn fn,
        void *arg)
{
    size_t len = strlen(key_prefix);
    struct fc_entry *entry;
    RB_FOREACH (entry, fc_tree, (struct fc_tree *)&facts->entries) {
        if (strncmp(entry->key, key_prefix, len) == 0 &&
            is_live(facts, entry)) {
            struct fc_fact fact;
            fc_view(facts, entry, &fact);
            fn(arg, &fact);
        }
    }
}

/* Returns the number of entries, including tombstones of expired facts. */
size_t
Fc_Count(const struct fc_table *facts)
{
    return facts->count;
}

/* Returns true while facts are queued for gossip. */
bool
Fc_HasUpdates(const struct fc_table *facts)
{
    for (int scope = 0; scope < Fc_SCOPES; scope++) {
        if (!TAILQ_EMPTY(&facts->queues[scope]) ||
            !TAILQ_EMPTY(&facts->sent[scope])) {
            return true;
        }
    }
    return false;
}

/* Returns the digest bucket of a name hash. */
size_t
Fc_Bucket(uint64_t name_hash)
{
    return name_hash >> Fc_BUCKET_SHIFT;
}

/* Hashes the value of a fact, to detect different values of one version. */
uint32_t
Fc_ValueHash(const struct fc_fact *fact)
{
    return (uint32_t)Hash_Bytes(fact->value, fact->len, 0);
}

static struct fc_stamp
stamp_of(const struct fc_entry *entry)
{
    struct fc_stamp stamp = {
        .name_hash = entry->name_hash,
        .version = entry->version,
        .value_hash = (uint32_t)Hash_Bytes(entry->value, entry->len, 0),
    };
    return stamp;
}

/*
 * Computes a hash for each bucket of a scope.  Two nodes with the same facts
 * in a bucket compute the same hash.
 */
void
Fc_Digest(const struct fc_table *facts, enum fc_scope scope,
          uint64_t buckets[Fc_BUCKETS])
{
    memset(buckets, 0, Fc_BUCKETS * sizeof(buckets[0]));
    struct fc_entry *entry;
    RB_FOREACH (entry, fc_tree, (struct fc_tree *)&facts->entries) {
        if (entry->scope != scope || !is_live(facts, entry)) {
            continue;
        }
        struct fc_stamp stamp = stamp_of(entry);
        buckets[Fc_Bucket(stamp.name_hash)] +=
            Hash_Bytes(&stamp.version, sizeof(stamp.version),
                       stamp.name_hash ^ stamp.value_hash);
    }
}

/*
 * Writes the stamps of at most "max" live facts of a bucket.  Returns their
 * number.
 */
size_t
Fc_Stamps(const struct fc_table *facts, enum fc_scope scope, size_t bucket,
          struct fc_stamp *out, size_t max)
{
    size_t count = 0;
    struct fc_entry *entry;
    RB_FOREACH (entry, fc_tree, (struct fc_tree *)&facts->entries) {
        if (count == max) {
            break;
        }
        if (entry->scope == scope && Fc_Bucket(entry->name_hash) == bucket &&
            is_live(facts, entry)) {
            out[count++] = stamp_of(entry);
        }
    }
    return count;
}

/* Finds a live fact by the hash of its owner and key. */
bool
Fc_ByHash(const struct fc_table *facts, uint64_t name_hash,
          struct fc_fact *out)
{
    struct fc_entry wanted = {.name_hash = name_hash};
    const struct fc_entry *entry =
        RB_NFIND(fc_tree, (struct fc_tree *)&facts->entries, &wanted);
    if (entry == NULL || entry->name_hash != name_hash ||
        !is_live(facts, entry)) {
        return false;
    }
    fc_view(facts, entry, out);
    return true;
}
