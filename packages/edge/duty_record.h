/* Encoding of the lease log's records. */
#ifndef EDGE_DUTY_RECORD_H
#define EDGE_DUTY_RECORD_H

#include "edge/duty.h"

#ifdef __cplusplus
extern "C" {
#endif

struct dr_record {
    uint64_t run; /* of the process that wrote the record */
    bool has_usage;
    struct du_usage usage;
    size_t need_count;
    struct du_need needs[Du_NEEDS_MAX];
    size_t recent_count;
    struct qt_recent recent[Qt_RECENT_MAX];
    size_t move_count;
    struct ro_standing moves[Du_MOVES_MAX];
};

/* Returns the length; the caller frees *out. */
size_t Dr_Encode(const struct dr_record *record, char **out);
bool Dr_Decode(const void *data, size_t len, struct dr_record *out);

#ifdef __cplusplus
}
#endif

#endif
