/* Shared by the feed files only. */
#ifndef EDGE_FEED_INTERNAL_H
#define EDGE_FEED_INTERNAL_H

#include <bsd/sys/tree.h>
#include <string.h>

#include "edge/feed.h"

/*
 * Delay before an unavailable store, or one that rejects this daemon, is
 * called again. The delay doubles with each failure: rejected calls are
 * charged too, and with many daemons they would be most of the store's load.
 */
#define Fe_RETRY_USEC (250 * Ck_USEC_PER_MSEC)
/*
 * After a pause this long, a new listing is shorter than the records that were
 * missed.
 */
#define Fe_RELIST_USEC (3 * Ck_USEC_PER_SEC)

struct cached {
    RB_ENTRY(cached) link;
    char *key;
    int64_t offset;
    int64_t changed; /* offset of the last record that changed the value */
    char *value;     /* NULL: removed */
    size_t len;
    bool listed;   /* seen in the current listing */
    bool in_state; /* seen in the peer's state being applied */
};

RB_HEAD(record_tree, cached);

struct reader {
    struct fe_feed *feed;
    enum ag_topic topic;
    struct lp_timer *timer;
    int64_t next_offset; /* -1: list first */
    int64_t newest_end;  /* a listing that ends before it is outdated */
    int64_t changes_end; /* offset behind the last change; -1: no record yet */
    int64_t base;        /* removals before this offset may be missing */
    bool listed;         /* read whole from the store or from a peer */
    bool state_applied;  /* a full state from a peer was applied */
    int64_t first_page_at; /* of the first listing */
    int64_t listed_at;
    int64_t listing_end;         /* end of the topic when the listing began */
    int64_t listing_changes_end; /* offset behind the last change listed */
    int64_t answered_at;
    bool reading;          /* a call to the store is in progress */
    int64_t failing_since; /* 0: the store answers */
    int64_t all_failed_at; /* last failure while no daemon reached the store */
    int failures;          /* consecutive failed calls, capped */
    int64_t refreshed_at;  /* last read because a peer had a newer one */
    char list_after[Ec_NAME_MAX];
    struct record_tree records;
};

struct fe_feed {
    struct fe_options options;
    struct ec_config *config;
    struct reader config_reader;
    struct reader entry_reader;
    bool reached;
    int64_t started_at;
};

int fe_compare(const struct cached *a, const struct cached *b);
RB_PROTOTYPE(record_tree, cached, link, fe_compare);

struct cached *fe_find(struct reader *reader, const char *key);

/*
 * Ends a failure: the store answers again, here or at a peer that reads for
 * this daemon.
 */
void fe_end_failure(struct reader *reader);

/*
 * Applies a record from the store or from a peer. Returns the offset behind
 * the record if it is a change, else 0.
 */
int64_t fe_apply_record(struct reader *reader, const char *key, int64_t offset,
                        const void *value, size_t len);

/*
 * Removes a record that is missing from a complete listing of the records
 * before an offset. False: the record is kept.
 */
bool fe_apply_removal(struct reader *reader, struct cached *cached,
                      int64_t before);

/*
 * Applies all records of a result. Returns the offset behind the last change,
 * or 0.
 */
int64_t fe_apply_records(struct reader *reader,
                         const struct ag_result *result);
int64_t fe_max(int64_t a, int64_t b);
/*
 * Note the outcome of a call to the store, on which the time of the next call
 * depends.
 */
void fe_note_success(struct reader *reader);
void fe_note_failure(struct reader *reader);

/* Reads the store if it is due. */
void fe_on_timer(void *arg);
/* Handles a page of a listing. */
void fe_on_listed(void *arg, const struct ag_result *result);
/*
 * Publishes the end of the last listing as changes_end if no peer has a newer
 * one.
 */
void fe_publish_listing(struct reader *reader, int64_t now);

#endif
