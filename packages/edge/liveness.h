/*
 * Whether the endpoints of this host's list live, see policy/liveness.h: keeps
 * the judgement of each start of an endpoint, and marks endpoints that are
 * silent although their address accepts connections.
 */
#ifndef EDGE_LIVENESS_H
#define EDGE_LIVENESS_H

#include "base/clock.h"
#include "edge/fleet.h"
#include "policy/liveness.h"

#ifdef __cplusplus
extern "C" {
#endif

struct el_liveness;

struct el_ops {
    /* A start of an endpoint, see Fl_StartHash(), has ended. */
    void (*ended)(void *arg, uint32_t start);
    /* A start that was in doubt lives, or nothing can be told of it. */
    void (*denied)(void *arg, uint32_t start);
};

/* Returns NULL when out of memory. */
struct el_liveness *El_Create(struct fl_fleet *fleet,
                              const struct ck_clock *clock,
                              const struct el_ops *ops, void *arg);
void El_Destroy(struct el_liveness *liveness);
/* To be called every tenth of a second or more often. */
void El_Tick(struct el_liveness *liveness);

/*
 * A connection broke under a request that was sent at "sent_at".  False: this
 * tells nothing of the endpoint, or the request came after its end.
 */
bool El_NoteBreak(struct el_liveness *liveness,
                  const struct fl_endpoint *endpoint, bool relayed,
                  int64_t sent_at);
/* The endpoint sent bytes to this host, by any path. */
void El_NoteBytes(struct el_liveness *liveness, struct fl_endpoint *endpoint);
/* A connect that was begun at "since" was accepted, or refused by all. */
void El_NoteConnection(struct el_liveness *liveness,
                       const struct fl_endpoint *endpoint, bool accepted,
                       int64_t since);
/* A check that was begun at "since" got no bytes. */
void El_NoteUnanswered(struct el_liveness *liveness,
                       struct fl_endpoint *endpoint, int64_t since);
/* Another host has seen the end of a start at "ended_at". */
void El_NoteEnded(struct el_liveness *liveness, uint32_t start,
                  int64_t ended_at);
enum lv_state El_State(const struct el_liveness *liveness,
                       const struct fl_endpoint *endpoint);
/*
 * Whether the endpoint lived at "since", when a connection to it broke.  It
 * may be in doubt again by now: its later connections may break too.
 */
bool El_LivedSince(const struct el_liveness *liveness,
                   const struct fl_endpoint *endpoint, int64_t since);
/* Whether the endpoint is to be asked for bytes now; notes that it is. */
bool El_BeginCheck(struct el_liveness *liveness,
                   const struct fl_endpoint *endpoint);

#ifdef __cplusplus
}
#endif

#endif
