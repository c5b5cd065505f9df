/*
 * Connections that a daemon makes for peers whose own links to endpoints are
 * cut.  It passes bytes on, nothing more: every decision, account and
 * deadline stays with the peer.  One hop: what it makes is its own.
 */
#ifndef WEB_THROUGH_H
#define WEB_THROUGH_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "base/status.h"
#include "web/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

struct th_through;

struct th_ops {
    /* The "IP:PORT" of an endpoint that peers may reach; false: of none. */
    bool (*find)(void *arg, const char *id, char *address, size_t size);
    /* A connection was made. */
    void (*made)(void *arg);
};

struct th_options {
    struct lp_loop *loop;
    const struct ck_clock *clock;
    const char *address;      /* "IP:PORT"; port 0 picks one */
    size_t most;              /* connections at the same time */
    const char *credentials;  /* "USER:SECRET" that peers show; NULL: none */
    struct lg_ledger *ledger; /* NULL: nothing is accounted for */
    const struct th_ops *ops;
    void *arg;
};

/* Listens; ST_INVALID where the address cannot be used. */
enum st_status Th_Create(const struct th_options *options,
                         struct th_through **out);
void Th_Destroy(struct th_through *through);
/* Ends what has asked and got no connection in time. */
void Th_Tick(struct th_through *through);
int Th_Port(const struct th_through *through);
/* Connections made for peers that are open. */
size_t Th_Count(const struct th_through *through);

#ifdef __cplusplus
}
#endif

#endif
