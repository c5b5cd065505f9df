/*
 * Which part of a prompt ends the endpoints that begin to answer it (a poison
 * request).  Pure; true time, the same at all hosts, is passed in.
 *
 * A request whose endpoint ended before its first event accuses all its
 * parts, and the first event of any request clears its own.  Hosts tell each
 * other both.  A part is stopped when endpoints ended under it one after the
 * other, each given the request after the end before, and it has not begun
 * anywhere since, while other requests began.  What stops explains an end,
 * which accuses nothing else any more.  Of parts that are equally accused the
 * one that began least often is stopped, and of those the deepest, which the
 * fewest requests share.
 *
 * A part is stopped for the customer whose requests it came in: the sheet of
 * a prompt is the caller's word, and nobody has another's parts stopped.  Once
 * it ends endpoints in requests of several, it is stopped for all.
 */
#ifndef POLICY_POISON_H
#define POLICY_POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

struct pz_key {
    uint32_t service;
    uint32_t customer; /* never 0 in a request; 0 in a stop: of all */
    uint32_t part;
};

/* An endpoint that ended while a request with the part waited there. */
struct pz_crash {
    struct pz_key key;
    uint32_t endpoint; /* one run of it */
    uint32_t request;  /* whose repeats are the same */
    int depth;         /* of the part in the prompt, from 0 */
    bool begun;        /* the answer had begun, without an event */
    int64_t sent_at;
    int64_t ended_at;
};

/* A part that began well. */
struct pz_clear {
    struct pz_key key;
    int64_t at;
};

struct pz_stop {
    struct pz_key key;
    int64_t decided_at;
    int64_t seen_at; /* last request with it */
};

/* Parts that are stopped at the same time. */
#define Pz_STOPS_MAX 64
/* No endpoint is back so soon after its end. */
#define Pz_BACK_USEC (1500 * Ck_USEC_PER_MSEC)
/* A stop ends when no request with the part has come for so long. */
#define Pz_STOP_LASTS_USEC (600 * Ck_USEC_PER_SEC)

/* What a request asks with; the part that is its own is left out. */
#define Pz_PARTS_MAX 32

struct pz_request {
    uint32_t service;
    uint32_t customer;
    uint32_t id; /* its repeats have the same */
    uint32_t parts[Pz_PARTS_MAX];
    size_t count;
};

/* What stops a part; 0 and false leave a condition out. */
struct pz_rule {
    int begun_crashes;   /* of requests whose answer had begun */
    int crashes;         /* of any */
    int known_factor;    /* times as many for a part that has begun before */
    int requests;        /* that ended them: one may have met others' ends */
    int others_begun;    /* other requests meanwhile */
    bool in_order;       /* each request was sent after the end before */
    bool explains;       /* what stops explains an end */
    int64_t settle_usec; /* no decision so soon after the start */
};

struct pz_rule Pz_Rule(void);

struct pz_ops {
    /* A part was stopped, by this host or, when "heard", by another. */
    void (*stopped)(void *arg, const struct pz_stop *stop, int crashes,
                    bool heard);
    /* It is not stopped any more. */
    void (*lifted)(void *arg, const struct pz_stop *stop, const char *why);
};

struct pz_table;

struct pz_table *Pz_Create(const struct pz_rule *rule,
                           const struct pz_ops *ops, void *arg, int64_t now);
void Pz_Destroy(struct pz_table *table);

/* The first event of an answer. */
void Pz_Began(struct pz_table *table, const struct pz_request *request,
              int64_t now);
/* The connection of a request ended before its first event. */
void Pz_Ended(struct pz_table *table, const struct pz_request *request,
              const struct pz_crash *crash);
/*
 * A connection may break though its endpoint lives: what it accuses counts,
 * and is told, once the endpoint is known to have ended, or has shown no sign
 * of life for a while.  "at": of the sign.
 */
void Pz_Lives(struct pz_table *table, uint32_t endpoint, int64_t at);
/* What broke was the link to it. */
void Pz_Forget(struct pz_table *table, uint32_t endpoint);
void Pz_Dead(struct pz_table *table, uint32_t endpoint);
/*
 * Why the request is not to be sent: a stop, valid until the next call; NULL:
 * it may be.
 */
const struct pz_stop *Pz_Refuses(struct pz_table *table,
                                 const struct pz_request *request,
                                 int64_t now);
/* Whether another endpoint is too much for what it has done already. */
bool Pz_Doubts(const struct pz_table *table, const struct pz_request *request,
               int64_t now);
/* Decides by what is known; after changes, and now and then. */
void Pz_Judge(struct pz_table *table, int64_t now);

/* What other hosts are told; at most "most" rows, the newest. */
size_t Pz_TellCrashes(const struct pz_table *table, struct pz_crash *out,
                      size_t most, int64_t now);
size_t Pz_TellClears(const struct pz_table *table, struct pz_clear *out,
                     size_t most, int64_t now);
size_t Pz_TellStops(const struct pz_table *table, struct pz_stop *out,
                    size_t most);
void Pz_HearCrash(struct pz_table *table, const struct pz_crash *crash);
void Pz_HearClear(struct pz_table *table, const struct pz_clear *clear);
void Pz_HearStop(struct pz_table *table, const struct pz_stop *stop,
                 int64_t now);
/* Another version of a service ends its stops. */
void Pz_LiftService(struct pz_table *table, uint32_t service, const char *why,
                    int64_t now);

#ifdef __cplusplus
}
#endif

#endif
