/*
 * Facts: small pieces of shared state that live only in memory and are spread
 * by gossip.  A fact has an owner (a node) or none (a key of the whole
 * system), a version and an opaque value.  The later version wins and a fact
 * never goes back; of equal versions the greater value wins, so that all
 * nodes end with the same.  Pure: no input or output.
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

#define Fc_KEY_MAX 64
#define Fc_VALUE_MAX 256
#define Fc_BUCKETS 32 /* of the digest of one scope */
#define Fc_SCOPES 3

/* How far a fact spreads. */
enum fc_scope {
    FC_CLUSTER,
    FC_REGION,
    FC_DATA_CENTRE,
};

struct fc_fact {
    const char *owner; /* node id; empty: of the whole system */
    const char *key;
    uint64_t version;
    enum fc_scope scope;
    int64_t ttl_usec; /* time left to live; 0: for ever */
    const void *value;
    size_t len;
};

struct fc_table;

/* Called after a fact was taken in; the pointers are valid during the call. */
typedef void (*fc_changed_fn)(void *arg, const struct fc_fact *fact);

/* The encoded size of a fact in bytes. */
typedef size_t (*fc_size_fn)(const struct fc_fact *fact);

struct fc_options {
    const char *node; /* id of this node */
    const struct ck_clock *clock;
    fc_changed_fn changed; /* for every fact; may be NULL */
    void *arg;
    size_t facts_max; /* 0: 16384 */
};

/* What to publish. */
struct fc_post {
    const char *key;
    bool owned;       /* the fact is this node's own; else the system's */
    uint64_t version; /* 0: one more than the version known */
    enum fc_scope scope;
    int64_t ttl_usec; /* 0: for ever */
    const void *value;
    size_t len;
};

/* One line of a digest comparison. */
struct fc_stamp {
    uint64_t name_hash; /* of owner and key */
    uint64_t version;
    uint32_t value_hash;
};

enum st_status Fc_Create(const struct fc_options *options,
                         struct fc_table **out);
void Fc_Destroy(struct fc_table *facts);

/* Commands. */
enum st_status Fc_Publish(struct fc_table *facts, const struct fc_post *post);
enum st_status Fc_Watch(struct fc_table *facts, const char *key_prefix,
                        fc_changed_fn changed, void *arg);
bool Fc_Apply(struct fc_table *facts, const struct fc_fact *fact);
bool Fc_ApplyLocally(struct fc_table *facts, const struct fc_fact *fact);
void Fc_Expire(struct fc_table *facts);
void Fc_SetSpread(struct fc_table *facts, enum fc_scope scope, int count);
void Fc_BeginDatagram(struct fc_table *facts);
bool Fc_NextUpdate(struct fc_table *facts, enum fc_scope narrowest,
                   size_t room, fc_size_fn size, struct fc_fact *out);

/* Queries. */
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
