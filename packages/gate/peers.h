/*
 * What this daemon shares with the others: who is there, the highest
 * configuration offset, loads and leaving hosts, distrusted versions,
 * demands on shared limits, and questions between daemons.
 */
#ifndef GATE_PEERS_H
#define GATE_PEERS_H

#include <jansson.h>

#include "gate/claims.h"
#include "gate/gate.h"
#include "gate/loadwatch.h"
#include "gate/peer_facts.h"
#include "gate/quarantine.h"
#include "member/node.h"
#include "platform/hostlist.h"
#include "policy/admit.h"

#ifdef __cplusplus
extern "C" {
#endif

struct pe_peers;

struct pe_ops {
    /* A peer knows of a higher configuration offset. */
    void (*config_ahead)(void *arg, uint64_t offset);
    /* The state of this daemon's sections for a peer, to be freed; or NULL. */
    char *(*config_state)(void *arg);
    /* A peer's state has come. */
    void (*config_came)(void *arg, const char *state, size_t len);
    void (*load)(void *arg, const struct lw_report *report);
    void (*leaving)(void *arg, const char *host, int64_t left_usec);
    void (*distrust)(void *arg, const char *service, const char *version);
    /* Another daemon got a host list with this digest. */
    void (*hosts)(void *arg, uint64_t digest);
    void (*demand)(void *arg, const char *node,
                   const struct pf_demands *demands);
    /*
     * A daemon came, or has left.  One that is only out of reach has not
     * left: on its side of a cut it goes on serving its part of the limits.
     */
    void (*member)(void *arg, const char *node, bool present);
    void (*poison)(void *arg, const struct gq_word *word);
    /* A router's report on a version move. */
    void (*evidence)(void *arg, const char *text, size_t len);
    /* A question about claims; answer by Lk_Reply(). */
    void (*claim)(void *arg, struct lk_request *request);
};

enum st_status Pe_Create(struct gt_gate *gate, uint16_t admin_port,
                         uint64_t incarnation, const struct pe_ops *ops,
                         void *arg, struct pe_peers **out);
void Pe_Destroy(struct pe_peers *peers);

/* Commands. */
void Pe_Seed(struct pe_peers *peers, const struct hl_host *hosts,
             size_t count);
void Pe_Leave(struct pe_peers *peers);
void Pe_HostsDigest(struct pe_peers *peers, uint64_t digest);
void Pe_ConfigOffset(struct pe_peers *peers, uint64_t offset);
void Pe_PullConfig(struct pe_peers *peers);
void Pe_Load(struct pe_peers *peers, const struct lw_report *report);
void Pe_HostLeaving(struct pe_peers *peers, const char *host,
                    int64_t left_usec);
void Pe_Distrust(struct pe_peers *peers, const char *service,
                 const char *version);
void Pe_Poison(struct pe_peers *peers, const struct gq_word *word);
void Pe_Demand(struct pe_peers *peers, const struct pf_demands *demands);
void Pe_TellThrough(struct pe_peers *peers, const struct pf_through *through,
                    int64_t ttl_usec);
void Pe_SendEvidence(struct pe_peers *peers, const char *node,
                     const char *text, size_t len);
enum st_status Pe_AskClaim(struct pe_peers *peers, const char *node,
                           const char *payload, size_t len,
                           int64_t timeout_usec, gc_reply_fn reply, void *arg);

/* Queries. */
uint16_t Pe_Port(const struct pe_peers *peers);
const char *Pe_Responsible(struct pe_peers *peers, const char *key);
size_t Pe_Routers(const struct pe_peers *peers, const char **out, size_t max);
bool Pe_ReadsFast(const struct pe_peers *peers);
bool Pe_Watches(struct pe_peers *peers, const struct ch_info *info);
bool Pe_RunEnded(const struct pe_peers *peers, const char *node,
                 uint64_t incarnation);
bool Pe_Through(const struct pe_peers *peers, const char *node,
                struct pf_through *out);
bool Pe_HeardAny(const struct pe_peers *peers);
uint64_t Pe_HighestOffset(const struct pe_peers *peers);
json_t *Pe_Status(const struct pe_peers *peers, uint64_t own_offset);
struct nd_node *Pe_Node(const struct pe_peers *peers);

#ifdef __cplusplus
}
#endif

#endif
