/*
 * Liveness: judges whether a start of an endpoint has ended, from all that is
 * seen of it.  A connection that breaks under a request puts the start in
 * doubt.  Only bytes that it sends afterwards show that it lives: an accepted
 * connection does not, since the address of an ended process may go on
 * accepting them.  It has ended when its address refuses connections, when
 * another host has seen its end, or when it stays silent.  Where the
 * connection led through a peer, which may have failed instead, silence
 * counts only if the start was asked for bytes and sent none.
 *
 * The functions do no I/O and read no clock; times are microseconds of one
 * monotonic clock of the caller.
 */
#ifndef POLICY_LIVENESS_H
#define POLICY_LIVENESS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A start that lives has sent bytes by then. */
#define Lv_SILENCE_USEC (1500 * Ck_USEC_PER_MSEC)

enum lv_state {
    LV_LIVES, /* or nothing is known against it */
    LV_IN_DOUBT,
    LV_ENDED,
};

/* What settled a doubt. */
enum lv_witness {
    LV_BYTES,   /* it sent bytes */
    LV_REFUSED, /* its address refuses connections */
    LV_SILENT,  /* it sent none */
    LV_TOLD,    /* another host, or the list of endpoints, said so */
    LV_UNASKED, /* the peer may have failed, and nobody could ask */
    LV_CUT,     /* the link to it is cut */
};

struct lv_rule {
    bool connection_is_life; /* an accepted connection shows that it lives */
    bool relayed;            /* breaks through a peer put a start in doubt */
    int unanswered_min;      /* checks without an answer, for a relayed one */
};

struct lv_rule Lv_DefaultRule(void);

struct lv_ops {
    /* A doubt was settled. */
    void (*judged)(void *arg, uint32_t start, enum lv_state state,
                   enum lv_witness witness);
    /* A start that was judged to have ended sends bytes: it is another one. */
    void (*returned)(void *arg, uint32_t start);
    /* Whether the list of endpoints has the start. */
    bool (*listed)(void *arg, uint32_t start);
};

struct lv_table;

/* Returns NULL when out of memory. */
struct lv_table *Lv_Create(const struct lv_rule *rule,
                           const struct lv_ops *ops, void *arg);
void Lv_Destroy(struct lv_table *table);
/* To be called every tenth of a second or more often. */
void Lv_Tick(struct lv_table *table, int64_t now);

/*
 * A connection broke under a request that was sent at "sent_at".  False: the
 * request was sent to a start that was in doubt already, or had ended, so it
 * cannot have ended it; or the table is full.
 */
bool Lv_NoteBreak(struct lv_table *table, uint32_t start, bool relayed,
                  int64_t sent_at, int64_t now);
/* It sent bytes, on any connection to this host. */
void Lv_NoteBytes(struct lv_table *table, uint32_t start, int64_t now);
/* A connection that was begun at "since" was accepted, or refused. */
void Lv_NoteConnection(struct lv_table *table, uint32_t start, bool accepted,
                       int64_t since, int64_t now);
/* A check that was begun at "since" got no bytes. */
void Lv_NoteUnanswered(struct lv_table *table, uint32_t start, int64_t since);
/* Another host, or the list of endpoints, says that it ended at "ended_at". */
void Lv_NoteEnded(struct lv_table *table, uint32_t start, int64_t ended_at);
/* The link to it is cut: connections that did not lead through a peer may
   have broken for this reason. */
void Lv_NoteCut(struct lv_table *table, uint32_t start);

enum lv_state Lv_State(const struct lv_table *table, uint32_t start);
/*
 * Whether nothing should be sent to the start for now: it is in doubt, or has
 * ended, and answered no check since, though its address accepts connections.
 */
bool Lv_IsSilent(const struct lv_table *table, uint32_t start);
/* Whether any start is in doubt or has ended. */
bool Lv_IsEmpty(const struct lv_table *table);
/* Whether the start should be asked for bytes now, and notes that it is. */
bool Lv_BeginCheck(struct lv_table *table, uint32_t start, int64_t now);

/* The name of a witness in logs. */
const char *Lv_WitnessName(enum lv_witness witness);

#ifdef __cplusplus
}
#endif

#endif
