/*
 * A replica of the state that results from applying the records of one stream
 * in order.  Snapshots, written to the same stream, carry the state over
 * before its records expire.  A replica starts from the first record of the
 * stream, from a complete snapshot or from a peer's state, and never across a
 * gap of missing records.
 */
#ifndef STATE_SNAPSHOT_H
#define STATE_SNAPSHOT_H

#include <stdbool.h>

#include "base/clock.h"
#include "platform/plog.h"
#include "state/record.h"
#include "state/writer.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Sn_KIND "snapshot"

typedef void (*sn_emit_fn)(void *arg, json_t *entry);

/*
 * Operations on the state.  The same records must give the same state on every
 * host.
 */
struct sn_ops {
    void (*reset)(void *arg);
    void (*apply)(void *arg, const struct rc_record *record);
    json_t *(*save)(void *arg); /* list of entries, in load order */
    void (*load)(void *arg, const json_t *entry);
    /*
     * Alternative to "save" for a large state: passes each entry, in the same
     * order, to "emit", which takes ownership.  May be NULL.
     */
    void (*each)(void *arg, sn_emit_fn emit, void *emit_arg);
};

enum sn_phase {
    SN_LOADING, /* has not reached the tail of the stream */
    SN_READY,
    SN_GAP, /* records have expired and no snapshot covers them */
};

struct sn_options {
    struct pl_log *log;
    const char *stream;
    const struct ck_clock *clock;
    struct wr_writer *writer;  /* of the same stream; gets all records */
    int64_t poll_usec;         /* interval of reads at the tail; 0: 500 ms */
    int64_t snapshot_usec;     /* interval of snapshots; 0: 10 minutes */
    uint64_t snapshot_records; /* interval in records; 0: 20000 */
    const struct sn_ops *ops;
    void *arg;
};

struct sn_replica;

enum st_status Sn_Create(const struct sn_options *options,
                         struct sn_replica **out);
void Sn_Destroy(struct sn_replica *replica);
void Sn_Tick(struct sn_replica *replica);
void Sn_ReadNow(struct sn_replica *replica);
void Sn_SetPoll(struct sn_replica *replica, int64_t poll_usec);
void Sn_EnableSnapshots(struct sn_replica *replica, bool writing);
enum st_status Sn_Write(struct sn_replica *replica);
enum st_status Sn_Import(struct sn_replica *replica, const json_t *state);

enum sn_phase Sn_Phase(const struct sn_replica *replica);
uint64_t Sn_Next(const struct sn_replica *replica);
bool Sn_AtTail(const struct sn_replica *replica, int64_t *sent_at);
json_t *Sn_Export(const struct sn_replica *replica);

#ifdef __cplusplus
}
#endif

#endif
