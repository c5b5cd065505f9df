/*
 * How this daemon reaches endpoints: by itself, or through a daemon that does
 * where its own links are cut.  What decides is policy/way.h.
 */
#ifndef GATE_REACH_H
#define GATE_REACH_H

#include "gate/gate.h"
#include "gate/peers.h"
#include "policy/choose.h"
#include "policy/way.h"
#include "web/client.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Rh_DAEMON_MAX 160
#define Rh_STEPS_MAX 3

struct rh_reach;

/* The tries of one attempt at one endpoint, until one connects. */
struct rh_tries {
    char endpoint[Ch_NAME_MAX];
    size_t count;
    size_t step;
    struct {
        bool through;
        int64_t connect_usec; /* 0: the client's own limit */
    } steps[Rh_STEPS_MAX];
    enum wy_end direct_outcome;
    enum wy_end peer_outcome;
    bool connected;
    char peer_address[Rh_DAEMON_MAX];
    char peer_id[Mb_ID_MAX]; /* the daemon's identity */
    struct hc_through through;
};

enum st_status Rh_Create(struct gt_gate *gate, struct pe_peers *peers,
                         struct rh_reach **out);
void Rh_Destroy(struct rh_reach *reach);
void Rh_Tick(struct rh_reach *reach);
/* Connections made for other daemons that are open. */
size_t Rh_CountForPeers(const struct rh_reach *reach);

/* Begins an attempt at an endpoint. */
void Rh_Begin(struct rh_reach *reach, struct rh_tries *tries,
              const struct ch_info *info);
/* Says in a call how its connection is made. */
void Rh_FillCall(struct rh_tries *tries, struct hc_request *call);
/* The call's connection is there. */
void Rh_Connected(struct rh_reach *reach, struct rh_tries *tries);
/*
 * The call has ended.  True: its connection did not come, no byte has left,
 * and it is to be made once more by the next way.
 */
bool Rh_Next(struct rh_reach *reach, struct rh_tries *tries,
             const struct hc_result *result);

#ifdef __cplusplus
}
#endif

#endif
