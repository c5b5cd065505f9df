/*
 * This daemon's replica of the "control" stream of the platform's log: leases
 * of jobs and the state of version moves.  Snapshots are records of the stream
 * itself.
 */
#ifndef GATE_CONTROL_H
#define GATE_CONTROL_H

#include "gate/gate.h"
#include "platform/plog.h"
#include "state/budget.h"
#include "state/leases.h"
#include "state/record.h"
#include "state/writer.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ct_control;

/* Replicated state besides the leases; the operations are as in sn_ops. */
struct ct_component {
    void (*reset)(void *arg);
    void (*apply)(void *arg, const struct rc_record *record);
    void (*save)(void *arg, json_t *list);
    void (*load)(void *arg, const json_t *entry);
    void *arg;
};

struct ct_options {
    const struct ck_clock *clock;
    struct pl_log *log;
    struct bg_budget *budget;
    struct rc_writer self;
    struct ct_component component;
};

enum st_status Ct_Create(const struct ct_options *options,
                         struct ct_control **out);
void Ct_Destroy(struct ct_control *control);
void Ct_Tick(struct ct_control *control);
void Ct_SetSnapshotWriter(struct ct_control *control, bool writing);
enum st_status Ct_Append(struct ct_control *control, const char *kind,
                         json_t *body, int64_t deadline, wr_done_fn done,
                         void *arg);
struct le_table *Ct_Leases(struct ct_control *control);
bool Ct_Ready(const struct ct_control *control);

#ifdef __cplusplus
}
#endif

#endif
