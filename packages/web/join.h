/*
 * Joins two connections: the bytes of each go out on the other as they are.
 * The far end's end is passed on, in order or by a reset; the near one's ends
 * both at once.
 */
#ifndef WEB_JOIN_H
#define WEB_JOIN_H

#include "base/status.h"
#include "web/loop.h"
#include "web/sock.h"

#ifdef __cplusplus
extern "C" {
#endif

struct jn_join;

/* Both connections have ended; the join is freed next. */
typedef void (*jn_done_fn)(void *arg);

/* Takes both connections over; NULL without memory, and then neither. */
struct jn_join *Jn_Create(struct lp_loop *loop, struct sk_sock *near,
                          struct sk_sock *far, jn_done_fn done, void *arg);
/* Resets both; "done" is not called. */
void Jn_Destroy(struct jn_join *join);

#ifdef __cplusplus
}
#endif

#endif
