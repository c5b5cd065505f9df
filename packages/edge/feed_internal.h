/* Shared by the files of the feed only. */
#ifndef EDGE_FEED_INTERNAL_H
#define EDGE_FEED_INTERNAL_H

#include <bsd/sys/tree.h>
#include <string.h>

#include "edge/feed.h"

/*
 * A store that is away or turns this daemon away is asked again after this,
 * twice as long after each failure: refused calls are paid for, and with many
 * daemons they are most of what the store has to answer.
 */
#define Fe_RETRY_USEC (250 * Ck_USEC_PER_MSEC)
/* After such a pause a listing is shorter than what was missed. */
#define Fe_RELIST_USEC (3 * Ck_USEC_PER_SEC)

struct known {
    RB_ENTRY(known) link;
    char *key;
    int64_t offset;
    int64_t changed; /* offset of the last record that said something new */
    char *value;     /* NULL: removed */
    size_t len;
    bool listed; /* by the listing that is being read */
    bool told;   /* by the pack that is being taken in */
};

RB_HEAD(known_tree, known);

struct follow {
    struct fe_feed *feed;
    enum ag_topic topic;
    struct lp_timer *timer;
    int64_t from;     /* next offset to read; -1: list first */
    int64_t highest;  /* no reading that ends before it is believed */
    int64_t changed;  /* behind the last change; -1: nothing is known */
    int64_t base;     /* removals before it may be unknown */
    bool listed;      /* a whole listing was read, or a peer's whole pack */
    bool packed;      /* a peer's whole pack was taken */
    int64_t paged_at; /* when the first page of the first listing came */
    int64_t listed_at;
    int64_t listing_end;
    int64_t listing_changed; /* behind the newest change in the listing */
    int64_t answered_at;
    bool waiting;         /* a read is under way */
    int64_t failed_at;    /* since when it fails; 0: it does not */
    int64_t dark_at;      /* last failure while no daemon reached the store */
    int failures;         /* in a row */
    int64_t refreshed_at; /* last read because a peer knew more */
    char after[Ec_NAME_MAX];
    struct known_tree known;
};

struct fe_feed {
    struct fe_options options;
    struct ec_config *config;
    struct follow config_follow;
    struct follow entry_follow;
    bool reached;
    int64_t started_at;
};

int fe_compare(const struct known *a, const struct known *b);
RB_PROTOTYPE(known_tree, known, link, fe_compare);

struct known *fe_find(struct follow *follow, const char *key);

/* The store answers again, here or at a daemon that reads for this one. */
void fe_end_failure(struct follow *follow);

/*
 * Takes a record, from the store or from a peer.  Returns the offset behind it
 * when it says something new, else 0.
 */
int64_t fe_take(struct follow *follow, const char *key, int64_t offset,
                const void *value, size_t len);

/*
 * Takes a record as removed where a whole listing of what stood before an
 * offset lacks it; false: it stays.
 */
bool fe_forget(struct follow *follow, struct known *known, int64_t before);

/* All records of a reading; what fe_take() returns for the last news. */
int64_t fe_take_records(struct follow *follow, const struct ag_result *result);
int64_t fe_later_of(int64_t a, int64_t b);
/* The store answered, or did not; the next read is timed by that. */
void fe_note_answer(struct follow *follow);
void fe_note_failure(struct follow *follow);

/* A page of the newest records has come. */
void fe_on_listed(void *arg, const struct ag_result *result);
/* Gives the listing a number where nobody else has a newer one. */
void fe_number_listing(struct follow *follow, int64_t now);

#endif
