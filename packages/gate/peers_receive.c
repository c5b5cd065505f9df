/*
 * Facts that peers published: each is decoded and handed to the daemon through
 * pe_ops.
 */
#include <string.h>

#include "gate/peer_facts.h"
#include "gate/peer_poison.h"
#include "gate/peers_internal.h"

static void
config_fact(void *arg, const struct fc_fact *fact)
{
    struct pe_peers *peers = arg;
    struct pf_config config;
    if (Pf_ReadConfig(fact->value, fact->len, &config) &&
        config.offset > peers->highest_offset) {
        peers->highest_offset = config.offset;
        peers->ops->config_ahead(peers->arg, config.offset);
    }
}

static void
load_fact(void *arg, const struct fc_fact *fact)
{
    struct pe_peers *peers = arg;
    struct lw_report report;
    struct pf_name name;
    if (strcmp(fact->owner, Nd_Id(peers->node)) == 0 ||
        !Pf_ReadName(fact->key, &name) ||
        !Pf_ReadLoad(fact->value, fact->len, &report)) {
        return;
    }
    report.service = NULL;
    report.endpoint = name.first;
    /* Peers send the age; "taken" is a time of this daemon's clock. */
    report.sample.taken = Ck_Now(peers->gate->clock) - report.sample.taken;
    peers->ops->load(peers->arg, &report);
}

static void
leaving_fact(void *arg, const struct fc_fact *fact)
{
    struct pe_peers *peers = arg;
    struct pf_name name;
    int64_t left =
        fact->ttl_usec > 0 ? fact->ttl_usec - Pe_LEAVING_TTL_USEC : 0;
    if (Pf_ReadName(fact->key, &name)) {
        peers->ops->leaving(peers->arg, name.first, left > 0 ? left : 0);
    }
}

static void
distrust_fact(void *arg, const struct fc_fact *fact)
{
    struct pe_peers *peers = arg;
    struct pf_name name;
    char text[Fc_VALUE_MAX + 1];
    memcpy(text, fact->value, fact->len);
    text[fact->len] = '\0';
    if (Pf_ReadName(text, &name)) {
        peers->ops->distrust(peers->arg, name.first, name.second);
    }
}

static void
demand_fact(void *arg, const struct fc_fact *fact)
{
    struct pe_peers *peers = arg;
    struct pf_demands demands;
    if (strcmp(fact->owner, Nd_Id(peers->node)) != 0 &&
        Pf_ReadDemands(fact->value, fact->len, &demands)) {
        peers->ops->demand(peers->arg, fact->owner, &demands);
    }
}

static void
poison_fact(void *arg, const struct fc_fact *fact)
{
    struct pe_peers *peers = arg;
    struct gq_rows rows;
    if (strcmp(fact->owner, Nd_Id(peers->node)) != 0 &&
        Pp_Read(fact->key, fact->value, fact->len, &rows)) {
        peers->ops->poison(peers->arg, &rows);
    }
}

static void
hosts_fact(void *arg, const struct fc_fact *fact)
{
    struct pe_peers *peers = arg;
    uint64_t digest;
    if (fact->len == sizeof(digest)) {
        memcpy(&digest, fact->value, sizeof(digest));
        peers->ops->hosts_digest(peers->arg, digest);
    }
}

/* Registers the readers of all facts with gossip. */
enum st_status
Pe_WatchFacts(struct pe_peers *peers)
{
    static const struct {
        const char *prefix;
        fc_changed_fn fn;
    } watched[] = {
        {Pf_CONFIG, config_fact},   {Pf_LOAD, load_fact},
        {Pf_LEAVING, leaving_fact}, {Pf_DISTRUST, distrust_fact},
        {Pf_DEMAND, demand_fact},   {Pf_HOSTS, hosts_fact},
        {Pp_PREFIX, poison_fact},
    };
    for (size_t i = 0; i < sizeof(watched) / sizeof(watched[0]); i++) {
        enum st_status status = Fc_Watch(
            Nd_Facts(peers->node), watched[i].prefix, watched[i].fn, peers);
        if (status != ST_OK) {
            return status;
        }
    }
    return ST_OK;
}
