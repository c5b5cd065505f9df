/* Shared by the files of the duty only. */
#ifndef EDGE_DUTY_INTERNAL_H
#define EDGE_DUTY_INTERNAL_H

#include "edge/duty.h"

struct du_duty {
    struct du_options options;
    int64_t started_at;
    int64_t end;      /* all records before it were read; -1: none */
    int64_t moved_at; /* when the end was first seen where it is */
    /* The term that a peer told of last. */
    int64_t heard_fence;
    int64_t heard_end;
    int64_t heard_until;
    struct du_told resigned; /* a term of ours that was given up */
    int64_t fence;           /* ours; 0: not the holder */
    int64_t valid_until;
    int64_t sent_at; /* the append or read under way */
    int64_t retry_at;
    bool left;   /* resigned for good */
    bool at_end; /* the last read reached the end */
    bool busy;
    bool doubtful; /* an append may or may not be done */
    int64_t doubtful_sent_at;
    struct du_usage usages[Du_WINDOWS];
    size_t need_count;
    struct du_need needs[Du_NEEDS_MAX];
    size_t recent_count; /* to be handed on */
    struct qt_recent recent[Qt_RECENT_MAX];
    size_t recorded_count; /* as the last record of our own has them */
    struct qt_recent recorded[Qt_RECENT_MAX];
    size_t before_count; /* as another daemon recorded them */
    struct qt_recent before[Qt_RECENT_MAX];
    size_t move_count;
    struct ro_standing moves[Du_MOVES_MAX];
    bool moves_recorded;     /* as they stand here */
    bool moves_sent;         /* with the append under way */
    struct du_usage pending; /* being recorded; window 0: none */
};

/* Whether a tenant has spent much that the last record does not say. */
bool du_recent_grew(const struct du_duty *duty);

#endif
