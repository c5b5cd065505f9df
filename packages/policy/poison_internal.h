/* Internal to the poison*.c files. */
#ifndef POLICY_POISON_INTERNAL_H
#define POLICY_POISON_INTERNAL_H

#include <bsd/sys/queue.h>

#include "base/clock.h"
#include "policy/poison.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Pz_CRASHES_MAX 512
/* Of these, crashes that implicate whole requests: a rack that ends accuses
   hundreds of them, and must not displace the crashes of parts. */
#define Pz_CONTENT_CRASHES_MAX 256
/* Crashes under a request that put it in doubt. */
#define Pz_DOUBT_CRASHES 2
/* Size of the set-associative table of answered parts. */
#define Pz_SETS 1024 /* a power of two */
#define Pz_WAYS 4
#define Pz_SERVICES_MAX 16
#define Pz_RECENT_ANSWERS 8

struct pz_crash_entry {
    TAILQ_ENTRY(pz_crash_entry) link;
    struct pz_crash crash;
    bool local;     /* the request was sent by this host */
    bool confirmed; /* the endpoint is known to have crashed */
    bool doubted;   /* stands for a crash before this host started */
    bool reported;  /* was told to pz_ops.doubted */
    /* Set by the last decision. */
    bool quarantined; /* the part is in quarantine */
    bool explained;   /* a quarantined part explains the crash */
};

TAILQ_HEAD(pz_crash_list, pz_crash_entry);

/* Answers to requests with a part, on this host or reported by peers. */
struct pz_history {
    struct pz_key key;
    uint32_t count;
    int64_t answered_at;
    int64_t implicated_at; /* last crash or quarantine that a peer reported */
};

/* Times of the last answers of a service to requests of this host. */
struct pz_recent_answers {
    uint32_t service;
    size_t next;
    int64_t at[Pz_RECENT_ANSWERS];
};

struct pz_table {
    struct pz_rule rule;
    const struct pz_ops *ops;
    void *arg;
    int64_t started_at;
    bool changed; /* since the last decision */
    /* A decision waits for a crash to be counted or for other answers. */
    bool pending;
    struct pz_crash_list crashes; /* oldest first */
    size_t content_count;         /* crashes of whole requests */
    struct pz_crash_list free_entries;
    struct pz_crash_entry pool[Pz_CRASHES_MAX];
    struct pz_quarantine quarantines[Pz_QUARANTINES_MAX];
    size_t quarantine_count;
    size_t service_count;
    struct pz_recent_answers recent_answers[Pz_SERVICES_MAX];
    struct pz_history history[Pz_SETS][Pz_WAYS];
};

/* As the customer of a key: the part in requests of any customer. */
#define Pz_ALL_CUSTOMERS 0

struct pz_key pz_all_customers(const struct pz_key *key);
/* The request as a whole: a key that no part has. */
struct pz_key pz_content_key(const struct pz_request *request);
/* The service of a crash's request. */
uint32_t pz_service_of(const struct pz_crash *crash);
/*
 * Whether the crash counts: the endpoint is known to have crashed, or a sign
 * of life, which would have removed the entry, is overdue.
 */
bool pz_is_counted(const struct pz_table *table,
                   const struct pz_crash_entry *entry, int64_t now);
bool pz_same_key(const struct pz_key *a, const struct pz_key *b);
/* NULL: no answer to a request with the part is known. */
struct pz_history *pz_find_history(const struct pz_table *table,
                                   const struct pz_key *key);
/* Records "count" answers to requests with the part, at "at". */
void pz_note_answer(struct pz_table *table, const struct pz_key *key,
                    uint32_t count, int64_t at);
/* Time of the last known answer; 0: none. */
int64_t pz_cleared_at(const struct pz_table *table, const struct pz_key *key);
/* Number of recent answers. */
uint32_t pz_answer_count(const struct pz_table *table,
                         const struct pz_key *key, int64_t now);
void pz_note_service_answer(struct pz_table *table, uint32_t service,
                            int64_t now);
/* Answers of the service since "since", at most Pz_RECENT_ANSWERS. */
int pz_answers_since(const struct pz_table *table, uint32_t service,
                     int64_t since);

bool pz_has_crash(const struct pz_table *table, const struct pz_key *key);
/* Remembers that peers were told of a crash, so that they are told when the
   key is cleared; ignored for a key that was never answered. */
void pz_note_implicated(struct pz_table *table, const struct pz_key *key,
                        int64_t at);
/* When an endpoint crashed last, as far as is counted; 0: never. */
int64_t pz_implicated_at(const struct pz_table *table,
                         const struct pz_key *key, int64_t now);
struct pz_crash_entry *pz_add_crash(struct pz_table *table,
                                    const struct pz_crash *crash, bool local);
struct pz_quarantine *pz_find_quarantine(const struct pz_table *table,
                                         const struct pz_key *key);
/* Replaces a hold.  False: the table of quarantines is full. */
bool pz_add_quarantine(struct pz_table *table,
                       const struct pz_quarantine *quarantine);
/* Whether a request with the part came recently enough to keep it in force. */
bool pz_is_current(const struct pz_quarantine *quarantine, int64_t now);
/* Removes expired crashes and quarantines. */
void pz_expire(struct pz_table *table, int64_t now);
/* Lifts the quarantine of a part that was answered after the decision. */
void pz_lift_cleared(struct pz_table *table, const struct pz_key *key);

/*
 * Successive crashes that implicate a part: no later answer clears the part,
 * and no quarantined part explains them.
 */
struct pz_chain {
    int length;
    int customers;     /* changes of the customer between crashes, plus one */
    int requests;      /* changes of the request between crashes, plus one */
    uint32_t endpoint; /* of the last crash */
    int64_t first_at;
    int64_t last_at;
    int depth;
};

/* Which crashes belong to a chain. */
struct pz_chain_rule {
    bool after_head; /* only those after the headers of an answer */
    bool explained;  /* also those that something in quarantine explains */
};

struct pz_chain pz_find_chain(const struct pz_table *table,
                              const struct pz_key *key,
                              const struct pz_chain_rule *rule, int64_t now);

#ifdef __cplusplus
}
#endif

#endif
