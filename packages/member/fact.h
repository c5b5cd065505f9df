/*
 * Facts: small items of shared state that are held only in memory and
 * distributed by gossip.  A fact belongs to a node (its owner) or to the whole
 * cluster (empty owner), and has a version and an opaque value.  The higher
 * version wins, so that a fact never returns to an older value; of equal
 * versions the greater value wins, so that all nodes converge.  The module
 * does no input or output.
 */
#ifndef MEMBER_FACT_H
#define MEMBER_FACT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/status.h"
#include "member/table.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Fc_KEY_MAX 64    /* bytes with NUL */
#define Fc_VALUE_MAX 256 /* bytes */
#define Fc_BUCKETS 32    /* per scope, in a digest */
#define Fc_SCOPES 3

/* Which nodes a fact is sent to. */
enum fc_scope {
    FC_CLUSTER,
    FC_REGION,
    FC_DATA_CENTRE,
};

struct fc_fact {
    const char *owner; /* node id; empty: fact of the whole cluster */
    const char *key;
    uint64_t version;
    enum fc_scope scope;
    int64_t ttl_usec; /* remaining time to live; 0: unlimited */
    const void *value;
    size_t len;
};

struct fc_table;

/*
 * Called after a fact was added or updated; the pointers are valid only during
 * the call.
 */
typedef void (*fc_changed_fn)(void *arg, const struct fc_fact *fact);

/* Returns the encoded size of a fact in bytes. */
typedef size_t (*fc_size_fn)(const struct fc_fact *fact);

struct fc_options {
    const char *node; /* id of this node */
    const struct ck_clock *clock;
    fc_changed_fn changed; /* called for every fact; may be NULL */
    void *arg;
    size_t facts_max; /* 0: 16384 */
};

/* A fact to publish. */
struct fc_publication {
    const char *key;
    bool owned;       /* this node owns the fact; else the cluster */
    uint64_t version; /* 0: the current version plus 1 */
    enum fc_scope scope;
    int64_t ttl_usec; /* 0: unlimited */
    const void *value;
    size_t len;
};

/* Identifies one version of a fact when two nodes compare their facts. */
struct fc_stamp {
    uint64_t name_hash; /* of owner and key */
    uint64_t version;
    uint32_t value_hash;
};

enum st_status Fc_Create(const struct fc_options *options,
                         struct fc_table **out);
void Fc_Destroy(struct fc_table *facts);

enum st_status Fc_Publish(struct fc_table *facts,
                          const struct fc_publication *post);
enum st_status Fc_Watch(struct fc_table *facts, const char *key_prefix,
                        fc_changed_fn changed, void *arg);
bool Fc_Apply(struct fc_table *facts, const struct fc_fact *fact);
bool Fc_ApplyLocally(struct fc_table *facts, const struct fc_fact *fact);
void Fc_Expire(struct fc_table *facts);
void Fc_SetSpread(struct fc_table *facts, enum fc_scope scope, int count);
void Fc_BeginDatagram(struct fc_table *facts);
bool Fc_NextUpdate(struct fc_table *facts, enum fc_scope narrowest,
                   size_t room, fc_size_fn size, struct fc_fact *out);

bool Fc_Get(const struct fc_table *facts, const char *owner, const char *key,
            struct fc_fact *out);
void Fc_Each(const struct fc_table *facts, const char *key_prefix,
             fc_changed_fn fn, void *arg);
size_t Fc_Count(const struct fc_table *facts);
bool Fc_HasUpdates(const struct fc_table *facts);
void Fc_Digest(const struct fc_table *facts, enum fc_scope scope,
               uint64_t buckets[Fc_BUCKETS]);
size_t Fc_Stamps(const struct fc_table *facts, enum fc_scope scope,
                 size_t bucket, struct fc_stamp *out, size_t max);
bool Fc_ByHash(const struct fc_table *facts, uint64_t name_hash,
               struct fc_fact *out);
uint32_t Fc_ValueHash(const struct fc_fact *fact);
size_t Fc_Bucket(uint64_t name_hash);

#ifdef __cplusplus
}
#endif

#endif
