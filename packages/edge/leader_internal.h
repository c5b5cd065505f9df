/* Declarations shared by leader.c and leader_handover.c. */
#ifndef EDGE_LEADER_INTERNAL_H
#define EDGE_LEADER_INTERNAL_H

#include "edge/leader.h"

struct lr_lease {
    struct lr_options options;
    int64_t started_at;
    int64_t end; /* log offset after the last record read; -1: nothing read */
    int64_t end_changed_at; /* when the log's end was last seen to move */
    /* Lease of the peer whose notice arrived last. */
    int64_t peer_fence;
    int64_t peer_end;
    int64_t peer_until;
    struct lr_lease_notice release_notice; /* after a release by this daemon */
    int64_t fence; /* this daemon's fence; 0: not the lease holder */
    int64_t lease_until;
    int64_t sent_at; /* when the append or read in progress was sent */
    int64_t retry_at;
    bool stopped; /* released; not acquired again */
    bool at_end;  /* the last read reached the log's end */
    bool in_flight;
    bool append_unknown; /* an append may or may not have taken effect */
    int64_t unknown_sent_at;
    struct lr_usage usages[Lr_WINDOWS];
    size_t need_count;
    struct lr_need needs[Lr_NEEDS_MAX];
    /* recent usage of tenants */
    size_t recent_count; /* for the next renewal */
    struct qt_recent recent[Qt_RECENT_MAX];
    size_t recorded_count; /* in this daemon's last record */
    struct qt_recent recorded[Qt_RECENT_MAX];
    size_t inherited_count; /* in the last record of another daemon */
    struct qt_recent inherited[Qt_RECENT_MAX];
    size_t move_count;
    struct ro_status moves[Lr_MOVES_MAX];
    bool moves_recorded; /* "moves" is recorded as it is */
    bool moves_sent; /* "moves" is unchanged since the append in progress */
    /* usage in the append in progress; window 0: none */
    struct lr_usage pending;
};

/* Returns whether a tenant has spent much more than the last record says. */
bool lr_recent_increased(const struct lr_lease *lease);

#endif
