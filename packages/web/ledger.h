/*
 * What a process holds for those who connect to it, over all its ports: one
 * bound on memory and on descriptors, and an account of who holds how much.
 * Who yields when the bound is met is decided by policy/yield.h.
 */
#ifndef WEB_LEDGER_H
#define WEB_LEDGER_H

#include <bsd/sys/queue.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/metric.h"
#include "policy/yield.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What the kernel may hold for a connection before it is read, and after it
 * was written; it may take twice as much.
 */
#define Lg_SOCKET_BYTES 32768

enum lg_kind {
    LG_CONNECTION, /* the connection itself */
    LG_HEAD,
    LG_BODY,
    LG_BEHIND, /* bytes behind the request that is being served */
    LG_COPY,   /* of a request, on its way to an endpoint */
    LG_COMING, /* an answer that is passed on once it is whole */
    LG_ANSWER, /* bytes that the caller has not taken yet */
    LG_KERNEL, /* in the queues of the connection, see Lg_CountQueues() */
    LG_KINDS,
};

/* Why a connection had to yield. */
enum lg_why {
    LG_MEMORY,
    LG_DESCRIPTORS,
};

struct lg_ledger;

/* One that yielded, or was not let in. */
struct lg_yield {
    enum lg_why why;
    const char *port;  /* name of the server */
    char peer[32];     /* IP:PORT of the client; empty: not known */
    const char *phase; /* its name; "new": not let in */
    size_t bytes;
    size_t unread;
    int64_t age; /* in the phase, microseconds */
    bool log;    /* false: many were told in this second already */
};

struct lg_options {
    const struct ck_clock *clock;
    struct yd_bound bound;
    void (*yielded)(void *arg, const struct lg_yield *yield);
    void *arg;
};

/* A connection, or another account; embedded in what it is about. */
struct lg_holder {
    TAILQ_ENTRY(lg_holder) link;
    struct lg_ledger *ledger; /* NULL: nothing is accounted for */
    struct yd_holder state;
    size_t bytes[LG_KINDS];
    const char *port;
    int fd;      /* -1: no connection of a client */
    bool asking; /* is in Lg_MakeRoom() */
    /* Gives up what it holds; it may leave the ledger within. */
    void (*yield)(void *arg, enum lg_why why);
    void *arg;
};

/*
 * The bound of a process with that memory that may open so many descriptors,
 * of which its loop may watch less.
 */
struct yd_bound Lg_Bound(int64_t memory_bytes, size_t files);
struct lg_ledger *Lg_Create(const struct lg_options *options);
void Lg_Destroy(struct lg_ledger *ledger);
/* Makes room for a connection at a port; false: it cannot be taken. */
bool Lg_TakesConnection(struct lg_ledger *ledger, const char *port, int fd);
/* "holder" has its fd, port, yield and arg. */
void Lg_Join(struct lg_ledger *ledger, struct lg_holder *holder);
void Lg_Leave(struct lg_holder *holder);
void Lg_SetPhase(struct lg_holder *holder, enum yd_phase phase);
/* Notes that the connection's caller has had an answer. */
void Lg_SetServed(struct lg_holder *holder);
/* Notes bytes of a request that were received. */
void Lg_NoteReceived(struct lg_holder *holder, size_t len);
void Lg_Set(struct lg_holder *holder, enum lg_kind kind, size_t bytes);
/* Sets how many bytes of an answer wait for the caller to take them. */
void Lg_SetUnread(struct lg_holder *holder, size_t bytes);
/*
 * Makes room for more bytes, which others may have to yield.  False when there
 * is none: the holder has to give up instead.  It is the caller that does so,
 * the holder's "yield" is not called.
 */
bool Lg_MakeRoom(struct lg_holder *holder, size_t more);
/*
 * Counts once a second what the kernel holds for the connections, while many
 * are open or much is held; to be called at least twice as often.  Where the
 * bound is passed with it, connections yield.
 */
void Lg_CountQueues(struct lg_ledger *ledger);
/* What all hold, of a kind. */
size_t Lg_Held(const struct lg_ledger *ledger, enum lg_kind kind);
size_t Lg_Connections(const struct lg_ledger *ledger);
/* Sets gauges named by "prefix". */
void Lg_Export(const struct lg_ledger *ledger, struct mt_registry *registry,
               const char *prefix);
const char *Lg_WhyName(enum lg_why why);

#ifdef __cplusplus
}
#endif

#endif
