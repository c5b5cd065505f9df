/* Facts that this daemon publishes to its peers. */
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "base/hash.h"
#include "gate/events.h"
#include "gate/peer_facts.h"
#include "gate/peer_poison.h"
#include "gate/peers_internal.h"

#define Pe_LOAD_TTL_USEC (15 * Ck_USEC_PER_SEC)
#define Pe_DISTRUST_TTL_USEC (24 * 3600 * Ck_USEC_PER_SEC)
#define Pe_CONFIG_TTL_USEC (3600 * Ck_USEC_PER_SEC)
#define Pe_HOSTS_TTL_USEC (3600 * Ck_USEC_PER_SEC)
#define Pe_DEMAND_TTL_USEC (60 * Ck_USEC_PER_SEC)
#define Pe_POISON_TTL_USEC (30 * Ck_USEC_PER_SEC)

static void
publish(struct pe_peers *peers, const struct fc_publication *post)
{
    if (Nd_Publish(peers->node, post) != ST_OK) {
        Ev_Log(&GT_FACT_REFUSED, "key=%s reason=\"%s\"", post->key,
               St_Message());
    }
}

/*
 * A version for a fact owned by this daemon, above those of its earlier runs:
 * peers that still hold an older fact would otherwise keep it.
 */
static uint64_t
next_version(const struct pe_peers *peers, const char *key)
{
    struct fc_fact current;
    uint64_t version = (uint64_t)Ck_Wall(peers->gate->clock);
    if (Fc_Get(Nd_Facts(peers->node), Nd_Id(peers->node), key, &current) &&
        current.version >= version) {
        version = current.version + 1;
    }
    return version;
}

/* Publishes a fact of this daemon to all daemons. */
static void
publish_own(struct pe_peers *peers, const char *key, int64_t ttl_usec,
            const char *value, size_t len)
{
    struct fc_publication post = {
        .key = key,
        .owned = true,
        .version = next_version(peers, key),
        .scope = FC_CLUSTER,
        .ttl_usec = ttl_usec,
        .value = value,
        .len = len,
    };
    publish(peers, &post);
}

/* Publishes how far this daemon has read the config stream. */
void
Pe_PublishConfigOffset(struct pe_peers *peers, uint64_t offset)
{
    struct pf_config config = {
        .offset = offset,
        .incarnation = peers->incarnation,
    };
    char value[Fc_VALUE_MAX];
    size_t len = Pf_WriteConfig(&config, value, sizeof(value));
    if (offset > peers->highest_offset) {
        peers->highest_offset = offset;
    }
    publish_own(peers, Pf_CONFIG, Pe_CONFIG_TTL_USEC, value, len);
}

/* Publishes where this daemon accepts tunnels for its peers. */
void
Pe_PublishTunnel(struct pe_peers *peers, const struct pf_tunnel *tunnel,
                 int64_t ttl_usec)
{
    char value[Fc_VALUE_MAX];
    size_t len = Pf_WriteTunnel(tunnel, value, sizeof(value));
    publish_own(peers, Pf_TUNNEL, ttl_usec, value, len);
}

/*
 * Publishes the digest of a new host list, unless the current fact has it
 * already.  Digests are only compared for equality, so the byte order does
 * not matter.
 */
void
Pe_PublishHostsDigest(struct pe_peers *peers, uint64_t digest)
{
    struct fc_fact current;
    struct fc_publication post = {
        .key = Pf_HOSTS,
        .version = (uint64_t)Ck_Wall(peers->gate->clock),
        .scope = FC_CLUSTER,
        .ttl_usec = Pe_HOSTS_TTL_USEC,
        .value = &digest,
        .len = sizeof(digest),
    };
    if (Fc_Get(Nd_Facts(peers->node), "", Pf_HOSTS, &current)) {
        if (current.len == sizeof(digest) &&
            memcmp(current.value, &digest, sizeof(digest)) == 0) {
            return;
        }
        if (current.version >= post.version) {
            post.version = current.version + 1;
        }
    }
    publish(peers, &post);
}

/*
 * True when this daemon, or the other watcher of the endpoint, published a
 * sample within report->gossip_interval_usec.  A change of the leaving or cold
 * state is always published at once.
 */
static bool
published_recently(const struct pe_peers *peers,
                   const struct lw_report *report, const char *key)
{
    struct fc_fact current;
    struct lw_report last;
    if (!Fc_Get(Nd_Facts(peers->node), "", key, &current) ||
        !Pf_ReadLoad(current.value, current.len, &last) ||
        last.leaving != report->leaving ||
        (last.cold_left_usec > 0) != (report->cold_left_usec > 0)) {
        return false;
    }
    int64_t age = Ck_Wall(peers->gate->clock) - (int64_t)current.version;
    return age < report->gossip_interval_usec;
}

/*
 * Publishes a load sample to the daemons of this data centre, at most one
 * each report->gossip_interval_usec.
 */
void
Pe_PublishLoad(struct pe_peers *peers, const struct lw_report *report)
{
    char key[Fc_KEY_MAX];
    char value[Fc_VALUE_MAX];
    int64_t age = Ck_Now(peers->gate->clock) - report->sample.taken;
    struct fc_publication post = {
        .key = key,
        .scope = FC_DATA_CENTRE,
        .ttl_usec = Pe_LOAD_TTL_USEC,
        .value = value,
        .version = (uint64_t)Ck_Wall(peers->gate->clock),
    };
    post.len = Pf_WriteLoad(report, age, value, sizeof(value));
    if (post.len > 0 &&
        Pf_WriteName(Pf_LOAD, report->endpoint, "", key, sizeof(key)) &&
        !published_recently(peers, report, key)) {
        publish(peers, &post);
    }
}

/* Announces to all daemons that a host will be reclaimed. */
void
Pe_PublishHostLeaving(struct pe_peers *peers, const char *host,
                      int64_t left_usec)
{
    char key[Fc_KEY_MAX];
    struct fc_publication post = {
        .key = key,
        .version = 1,
        .scope = FC_CLUSTER,
        /* Readers derive the remaining time from the remaining TTL. */
        .ttl_usec = Pe_LEAVING_TTL_USEC + left_usec,
        .value = "",
    };
    if (Pf_WriteName(Pf_LEAVING, host, "", key, sizeof(key))) {
        publish(peers, &post);
    }
}

/* Announces to all daemons that a version must get no new requests. */
void
Pe_PublishDistrust(struct pe_peers *peers, const char *service,
                   const char *version)
{
    char key[Fc_KEY_MAX];
    char value[Fc_VALUE_MAX];
    struct fc_publication post = {
        .key = key,
        .version = 1,
        .scope = FC_CLUSTER,
        .ttl_usec = Pe_DISTRUST_TTL_USEC,
        .value = value,
    };
    /* Two names may exceed a key; the value holds them, the key a hash. */
    if (Pf_WriteName(Pf_DISTRUST, service, version, value, sizeof(value))) {
        snprintf(key, sizeof(key), Pf_DISTRUST "%016llx",
                 (unsigned long long)Hash_String(value, 0));
        post.len = strlen(value);
        publish(peers, &post);
    }
}

/* Publishes what this daemon knows of what crashes endpoints. */
void
Pe_PublishPoison(struct pe_peers *peers, const struct gq_rows *rows)
{
    static const char *const keys[] = {Pp_CRASHED, Pp_CONTENT_CRASHED,
                                       Pp_CLEARED, Pp_QUARANTINED};
    for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
        char value[Fc_VALUE_MAX];
        size_t len = Pp_Write(keys[i], rows, value, sizeof(value));
        if (len > 0) {
            publish_own(peers, keys[i], Pe_POISON_TTL_USEC, value, len);
        }
    }
}

/* Publishes the demand of this daemon's callers on shared limits. */
void
Pe_PublishDemand(struct pe_peers *peers, const struct pf_demands *demands)
{
    char value[Fc_VALUE_MAX];
    size_t len = Pf_WriteDemands(demands, value, sizeof(value));
    publish_own(peers, Pf_DEMAND, Pe_DEMAND_TTL_USEC, value, len);
}
