/*
 * Connections to endpoints, made directly or, where this daemon's network path
 * to an endpoint is cut, through a peer daemon that can connect to it.
 * policy/link.h decides which.
 */
#ifndef GATE_REACH_H
#define GATE_REACH_H

#include "gate/gate.h"
#include "gate/peers.h"
#include "policy/choose.h"
#include "policy/link.h"
#include "web/client.h"
#include "web/dial.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Rh_ADDRESS_MAX 160
#define Rh_IP_MAX 45
#define Rh_STEPS_MAX 3

struct rh_reach;

/* The connection attempts of one dispatch, made in order until one connects.
 */
struct rh_tries {
    char endpoint[Ch_NAME_MAX];
    size_t count; /* number of steps */
    size_t step;  /* index of the current step */
    struct {
        bool through;         /* connect through a peer */
        int64_t connect_usec; /* time limit; 0: the client's default */
    } steps[Rh_STEPS_MAX];
    enum li_outcome direct_outcome;
    enum li_outcome peer_outcome;
    bool connected;
    char peer_address[Rh_ADDRESS_MAX]; /* "USER:SECRET@IP:PORT" */
    char peer_id[Mb_ID_MAX];
    char peer_at[Di_ADDRESS_MAX]; /* "IP:PORT" */
    struct hc_through through;
};

enum st_status Rh_Create(struct gt_gate *gate, struct pe_peers *peers,
                         struct rh_reach **out);
void Rh_Destroy(struct rh_reach *reach);
void Rh_Tick(struct rh_reach *reach);
/* The number of open connections that are made for other daemons. */
size_t Rh_CountForPeers(const struct rh_reach *reach);

/* Plans the connection attempts to an endpoint. */
void Rh_Begin(struct rh_reach *reach, struct rh_tries *tries,
              const struct ch_info *info);
/* Sets in a call how the current connection attempt is made. */
void Rh_FillCall(struct rh_tries *tries, struct hc_request *call);
/* Records that the call is connected. */
void Rh_Connected(struct rh_reach *reach, struct rh_tries *tries);
/*
 * Takes the result of a call.  Returns true when the call did not connect, so
 * that no byte of the request was sent, and must be started again with the
 * next connection attempt.
 */
bool Rh_Next(struct rh_reach *reach, struct rh_tries *tries,
             const struct hc_result *result);

/* Whether the call was connected through a peer. */
bool Rh_IsThrough(const struct rh_tries *tries);
/* Sets the way to an endpoint, through the tries' peer or directly. */
void Rh_FillWay(const struct rh_reach *reach, const struct rh_tries *tries,
                const struct ch_info *info, bool through, struct di_way *way);

#ifdef __cplusplus
}
#endif

#endif
