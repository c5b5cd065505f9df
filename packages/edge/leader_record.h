/* Encoding of the lease log's records. */
#ifndef EDGE_LEADER_RECORD_H
#define EDGE_LEADER_RECORD_H

#include "edge/leader.h"

#ifdef __cplusplus
extern "C" {
#endif

struct lc_record {
    uint64_t run; /* of the process that wrote the record */
    bool has_usage;
    struct lr_usage usage;
    size_t need_count;
    struct lr_need needs[Lr_NEEDS_MAX];
    size_t recent_count;
    struct qt_recent recent[Qt_RECENT_MAX];
    size_t move_count;
    struct ro_status moves[Lr_MOVES_MAX];
};

/* Returns the length; the caller frees *out. */
size_t Lc_Encode(const struct lc_record *record, char **out);
bool Lc_Decode(const void *data, size_t len, struct lc_record *out);

#ifdef __cplusplus
}
#endif

#endif
