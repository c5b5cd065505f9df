/*
 * Makes one connection by whichever of several ways comes first: to an
 * address itself, or through a daemon that connects there for us (see
 * join.h).  No byte for the far end leaves before the way is settled.
 */
#ifndef WEB_DIAL_H
#define WEB_DIAL_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "web/loop.h"
#include "web/sock.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Di_WAYS_MAX 2
#define Di_ADDRESS_MAX 64
#define Di_TARGET_MAX 160
/* What a daemon is asked, and says once the connection is there. */
#define Di_ASK "CONNECT %s HTTP/1.1\r\n"
#define Di_CREDENTIALS_MAX 128
#define Di_MADE "HTTP/1.1 200 \r\n\r\n"
#define Di_NOT_MADE "HTTP/1.1 502 \r\n\r\n"
#define Di_HEAD_END "\r\n\r\n"

struct di_way {
    char address[Di_ADDRESS_MAX]; /* "IP:PORT" */
    /* What the daemon at the address is to connect to; empty: the address is
       the far end itself. */
    char target[Di_TARGET_MAX];
    /* What it is shown, "USER:SECRET"; empty: nothing. */
    char credentials[Di_CREDENTIALS_MAX];
    uint32_t peer; /* names that daemon; 0: none */
};

struct di_plan {
    size_t count;
    struct di_way ways[Di_WAYS_MAX]; /* in this order */
    int64_t patience_usec; /* with one way, before the next is tried too */
};

enum di_state {
    DI_UNTRIED,
    DI_PENDING,
    DI_FAILED,
    DI_DECLINED, /* the daemon at the address did not connect */
    DI_MADE,
};

struct di_result {
    struct sk_sock *sock; /* the receiver's from now on; NULL: none came */
    size_t way;           /* that it came by */
    enum di_state ways[Di_WAYS_MAX];
};

struct di_dial;

/* The end, once, never from within Di_Start(); the dial is freed after it. */
typedef void (*di_done_fn)(void *arg, const struct di_result *result);

struct di_dial *Di_Start(struct lp_loop *loop, const struct di_plan *plan,
                         di_done_fn done, void *arg);
void Di_Cancel(struct di_dial *dial);

#ifdef __cplusplus
}
#endif

#endif
