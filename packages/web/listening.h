/*
 * A listening socket, and its end: what has connected is taken and answered,
 * and nobody is left who holds a connection for made that nobody has.
 */
#ifndef WEB_LISTENING_H
#define WEB_LISTENING_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "web/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The longest that Ls_End() takes, in microseconds, called often enough. */
#define Ls_ENDING_MOST ((int64_t)1500000)

struct ls_listener;

/* What became of a connection whose descriptor was handed over. */
enum ls_take {
    LS_TAKEN,
    LS_CLOSED, /* unread, for want of time: the others are asked for at once */
    LS_LOST,   /* it had to be shut */
};

typedef enum ls_take (*ls_accept_fn)(void *arg, int fd);

/* How listening ended. */
struct ls_ending {
    int64_t took;      /* microseconds from the first step to the last */
    int half_open;     /* most connections seen half open; -1: not known */
    size_t taken_late; /* connections made between the steps */
    size_t lost;       /* connections, since the start, that had to be shut */
    int error;         /* errno of the last failed accept(); 0: none failed */
    bool filtered;     /* false: openings could not be dropped */
};

enum st_status Ls_Open(struct lp_loop *loop, const struct sockaddr_in *at,
                       ls_accept_fn fn, void *arg, struct ls_listener **out);
/*
 * Bounds what the kernel holds for each connection that begins from now on,
 * either way; it may take twice as much.
 */
void Ls_SetBuffers(struct ls_listener *listener, int bytes);
int Ls_Port(const struct ls_listener *listener);
/*
 * One step towards the end; to be called until it is true, which fills in
 * "ending".
 */
bool Ls_End(struct ls_listener *listener, int64_t now,
            struct ls_ending *ending);
/* Whether listening may end now; "half_open" is -1 when it is not known. */
bool Ls_MayEnd(int64_t waited, int half_open, bool queue_empty);
void Ls_Destroy(struct ls_listener *listener);

#ifdef __cplusplus
}
#endif

#endif
