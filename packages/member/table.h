/*
 * Membership as a state machine in the manner of SWIM: probes, indirect
 * probes, suspicion and refutation by incarnation.  The module does no input
 * or output: the clock, the random numbers and a send function are passed in.
 *
 * Membership is a hint.  It selects which node should do a job, but does not
 * decide whose action is valid: the order of records in the platform's log
 * decides that.
 *
 * Failures are detected within a probe group: the data centre of this node
 * when it has at least "group_min" members, its region otherwise.  Other data
 * centres are probed by a few nodes, the bridges, which only decide whether a
 * data centre is reachable.  The members of an unreachable data centre stay in
 * the table, and the bridges probe them with backoff.
 */
#ifndef MEMBER_TABLE_H
#define MEMBER_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/random.h"
#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Mb_ID_MAX 48        /* bytes with NUL */
#define Mb_NAME_MAX 48      /* bytes with NUL */
#define Mb_ADDRESS_MAX 46   /* bytes with NUL */
#define Mb_UPDATES_MAX 16   /* updates in one message */
#define Mb_UPDATE_BYTES 700 /* limit for the encoded updates of a message */

enum mb_state {
    MB_ALIVE,
    MB_LEAVING, /* announced by the member itself: it gets no new work */
    MB_SUSPECT,
    MB_DEAD,
};

struct mb_endpoint {
    char address[Mb_ADDRESS_MAX]; /* IP address */
    uint16_t port;
};

struct mb_record {
    char id[Mb_ID_MAX];
    uint64_t incarnation;
    enum mb_state state;
    char suspected_by[Mb_ID_MAX]; /* MB_SUSPECT: suspector, or empty */
    bool full;                    /* the fields below are set */
    char address[Mb_ADDRESS_MAX];
    uint16_t peer_port;
    uint16_t admin_port;
    char data_centre[Mb_NAME_MAX];
    char region[Mb_NAME_MAX];
};

enum mb_type {
    MB_PING,
    MB_ACK,
    MB_PING_REQ, /* request for an indirect probe of "subject" */
    MB_GOSSIP,   /* updates only */
};

struct mb_message {
    enum mb_type type;
    char from[Mb_ID_MAX];
    uint64_t incarnation; /* incarnation of the sender */
    uint32_t sequence;
    char subject[Mb_ID_MAX]; /* target of a ping or ping-req; empty: any */
    size_t update_count;
    struct mb_record updates[Mb_UPDATES_MAX];
};

struct mb_table;

/* Distance of a peer.  It limits which facts are sent to it. */
enum mb_distance {
    MB_SAME_DATA_CENTRE,
    MB_SAME_REGION,
    MB_FAR,
};

struct mb_ops {
    /* Sends a message; "distance" is MB_FAR for an unknown peer. */
    void (*send)(void *arg, const struct mb_endpoint *to,
                 enum mb_distance distance, const struct mb_message *message);
    /*
     * A member changed its state; "before" is MB_DEAD for a new member.  Not
     * called for this node itself.  May be NULL.
     */
    void (*changed)(void *arg, const struct mb_record *member,
                    enum mb_state before);
    /* A data centre became reachable or unreachable.  May be NULL. */
    void (*reach_changed)(void *arg, const char *data_centre, bool reachable);
};

struct mb_options {
    struct mb_record self; /* state, suspected_by, full: ignored */
    const struct ck_clock *clock;
    struct rn_random *random;
    const struct mb_ops *ops;
    void *arg;
    int64_t period_usec;  /* between probes; 0: 1 s */
    int64_t timeout_usec; /* before indirect probes; 0: 300 ms */
    size_t group_min;     /* 0: 8 */
};

enum st_status Mb_Create(const struct mb_options *options,
                         struct mb_table **out);
void Mb_Destroy(struct mb_table *table);

void Mb_SetSeeds(struct mb_table *table, const struct mb_endpoint *seeds,
                 size_t count);
void Mb_Tick(struct mb_table *table);
void Mb_Receive(struct mb_table *table, const struct mb_endpoint *from,
                const struct mb_message *message);
void Mb_Apply(struct mb_table *table, const struct mb_record *record);
void Mb_ApplyLocally(struct mb_table *table, const struct mb_record *record);
void Mb_Gossip(struct mb_table *table);
void Mb_Leave(struct mb_table *table);
void Mb_SetReachable(struct mb_table *table, const char *data_centre,
                     bool reachable);

const struct mb_record *Mb_Self(const struct mb_table *table);
const struct mb_record *Mb_Find(const struct mb_table *table, const char *id);
const struct mb_record *Mb_First(const struct mb_table *table);
const struct mb_record *Mb_Next(const struct mb_record *record);
size_t Mb_Count(const struct mb_table *table, enum mb_state state);
bool Mb_HasUpdates(const struct mb_table *table);
bool Mb_Reachable(const struct mb_table *table, const char *data_centre);
bool Mb_IsBridge(const struct mb_table *table, const char *data_centre);
bool Mb_Isolated(const struct mb_table *table);
bool Mb_Usable(const struct mb_table *table, const struct mb_record *record);
enum mb_distance Mb_Distance(const struct mb_table *table,
                             const struct mb_record *record);
uint64_t Mb_Generation(const struct mb_table *table);
size_t Mb_RankByKey(const struct mb_table *table, const char *key,
                    const char *data_centre, const struct mb_record **out,
                    size_t max);
const struct mb_record *Mb_RandomPeer(struct mb_table *table,
                                      enum mb_distance distance);
void Mb_Digest(const struct mb_table *table, uint64_t *buckets, size_t count);
size_t Mb_Bucket(const struct mb_record *record, size_t count);
size_t Mb_RecordBytes(const struct mb_record *record);
const char *Mb_StateName(enum mb_state state);

#ifdef __cplusplus
}
#endif

#endif
