/*
 * State that daemons exchange: membership, the highest configuration offset,
 * load samples, leaving hosts, distrusted versions, demand on shared limits,
 * and prompt parts that crash engines; and remote calls between daemons.
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
    /* A peer has read the config stream further than any daemon before. */
    void (*config_ahead)(void *arg, uint64_t offset);
    /* This daemon's configuration for a peer, to be freed; or NULL. */
    char *(*config_state)(void *arg);
    /* A peer sent its configuration. */
    void (*config_received)(void *arg, const char *state, size_t len);
    void (*load)(void *arg, const struct lw_report *report);
    void (*leaving)(void *arg, const char *host, int64_t left_usec);
    void (*distrust)(void *arg, const char *service, const char *version);
    /* Another daemon read a host list with this digest. */
    void (*hosts_digest)(void *arg, uint64_t digest);
    void (*demand)(void *arg, const char *node,
                   const struct pf_demands *demands);
    /*
     * A daemon joined or left.  An unreachable daemon has not left: behind a
     * network partition it may still serve its portion of the limits.
     */
    void (*member)(void *arg, const char *node, bool present);
    void (*poison)(void *arg, const struct gq_rows *rows);
    /* A router's report on a version move. */
    void (*move_report)(void *arg, const char *text, size_t len);
    /* A remote call about claims; reply with Lk_Reply(). */
    void (*claim)(void *arg, struct lk_request *request);
};

enum st_status Pe_Create(struct gt_gate *gate, uint16_t admin_port,
                         uint64_t incarnation, const struct pe_ops *ops,
                         void *arg, struct pe_peers **out);
void Pe_Destroy(struct pe_peers *peers);

void Pe_Seed(struct pe_peers *peers, const struct hl_host *hosts,
             size_t count);
void Pe_Leave(struct pe_peers *peers);
void Pe_PublishHostsDigest(struct pe_peers *peers, uint64_t digest);
void Pe_PublishConfigOffset(struct pe_peers *peers, uint64_t offset);
void Pe_FetchConfig(struct pe_peers *peers);
void Pe_PublishLoad(struct pe_peers *peers, const struct lw_report *report);
void Pe_PublishHostLeaving(struct pe_peers *peers, const char *host,
                           int64_t left_usec);
void Pe_PublishDistrust(struct pe_peers *peers, const char *service,
                        const char *version);
void Pe_PublishPoison(struct pe_peers *peers, const struct gq_rows *rows);
void Pe_PublishDemand(struct pe_peers *peers,
                      const struct pf_demands *demands);
void Pe_PublishTunnel(struct pe_peers *peers, const struct pf_tunnel *tunnel,
                      int64_t ttl_usec);
void Pe_SendMoveReport(struct pe_peers *peers, const char *node,
                       const char *text, size_t len);
enum st_status Pe_SendClaim(struct pe_peers *peers, const char *node,
                            const char *payload, size_t len,
                            int64_t timeout_usec, gc_reply_fn reply,
                            void *arg);

uint16_t Pe_Port(const struct pe_peers *peers);
const char *Pe_Responsible(struct pe_peers *peers, const char *key);
size_t Pe_Routers(const struct pe_peers *peers, const char **out, size_t max);
bool Pe_IsConfigReader(const struct pe_peers *peers);
bool Pe_IsWatcher(struct pe_peers *peers, const struct ch_info *info);
bool Pe_RunEnded(const struct pe_peers *peers, const char *node,
                 uint64_t incarnation);
bool Pe_FindTunnel(const struct pe_peers *peers, const char *node,
                   struct pf_tunnel *out);
bool Pe_PeerOffsetKnown(const struct pe_peers *peers);
uint64_t Pe_HighestOffset(const struct pe_peers *peers);
json_t *Pe_Status(const struct pe_peers *peers, uint64_t own_offset);
struct nd_node *Pe_Node(const struct pe_peers *peers);

#ifdef __cplusplus
}
#endif

#endif
