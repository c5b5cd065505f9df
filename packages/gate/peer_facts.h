/*
 * Keys and msgpack-encoded values of the facts that daemons gossip.
 */
#ifndef GATE_PEER_FACTS_H
#define GATE_PEER_FACTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gate/loadwatch.h"
#include "member/fact.h"
#include "policy/admit.h"

#define Pf_CONFIG "config"
#define Pf_LOAD "load/"
#define Pf_LEAVING "left/"
#define Pf_DISTRUST "dist/"
#define Pf_DEMAND "demand"
#define Pf_HOSTS "hosts"
#define Pf_TUNNEL "through"

#define Pf_DEMANDS_MAX 32

/* The two names in a key "prefix/FIRST/SECOND". */
struct pf_name {
    char first[Fc_KEY_MAX];
    char second[Fc_KEY_MAX];
};

/* How far one run of a daemon has read the config stream. */
struct pf_config {
    uint64_t offset;
    uint64_t incarnation; /* random, new at each start of the daemon */
};

/* Where a daemon accepts tunnels: connections that it makes for its peers. */
struct pf_tunnel {
    uint16_t port;
    bool endpoints_cut; /* the daemon itself cannot reach some endpoints */
};

size_t Pf_WriteTunnel(const struct pf_tunnel *tunnel, char *out, size_t size);
bool Pf_ReadTunnel(const void *value, size_t len, struct pf_tunnel *out);
size_t Pf_WriteConfig(const struct pf_config *config, char *out, size_t size);
bool Pf_ReadConfig(const void *value, size_t len, struct pf_config *out);
bool Pf_WriteName(const char *prefix, const char *first, const char *second,
                  char *out, size_t size);
bool Pf_ReadName(const char *key, struct pf_name *out);
size_t Pf_WriteLoad(const struct lw_report *report, int64_t age_usec,
                    char *out, size_t size);
bool Pf_ReadLoad(const void *value, size_t len, struct lw_report *out);
/* The demand of a daemon's callers on shared limits. */
struct pf_demands {
    size_t daemons; /* that it divides the limits by; 0: not reported */
    size_t count;
    struct am_demand rows[Pf_DEMANDS_MAX];
};

size_t Pf_WriteDemands(const struct pf_demands *demands, char *out,
                       size_t size);
bool Pf_ReadDemands(const void *value, size_t len, struct pf_demands *out);

#endif
