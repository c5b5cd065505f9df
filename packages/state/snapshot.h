/*
 * A state that is made by applying the records of one stream in order, with
 * snapshots that carry it over on the same stream before its records expire.
 * A replica starts at the first record ever, or from a whole snapshot, or
 * from a peer's state: never from a hole.
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

/* The state.  The same records must give the same state everywhere. */
struct sn_ops {
    void (*reset)(void *arg);
    void (*apply)(void *arg, const struct rc_record *record);
    json_t *(*save)(void *arg); /* a list of entries, in the order to load */
    void (*load)(void *arg, const json_t *entry);
    /*
     * Instead of "save" for a large state: gives each entry, in the same
     * order, to "emit", which takes it over.  May be NULL.
     */
    void (*each)(void *arg, sn_emit_fn emit, void *emit_arg);
};

enum sn_phase {
    SN_LOADING, /* has not seen the end of the stream yet */
    SN_READY,
    SN_HOLE, /* records are gone and no snapshot covers them */
};

struct sn_options {
    struct pl_log *log;
    const char *stream;
    const struct ck_clock *clock;
    struct wr_writer *writer;  /* of the same stream; told of all records */
    int64_t poll_usec;         /* between reads at the tail; 0: 500 ms */
    int64_t snapshot_usec;     /* between snapshots; 0: 10 minutes */
    uint64_t snapshot_records; /* between snapshots; 0: 20000 */
    const struct sn_ops *ops;
    void *arg;
};

struct sn_replica;

enum st_status Sn_Create(const struct sn_options *options,
                         struct sn_replica **out);
void Sn_Destroy(struct sn_replica *replica);
void Sn_Tick(struct sn_replica *replica);
void Sn_Kick(struct sn_replica *replica);
void Sn_SetPoll(struct sn_replica *replica, int64_t poll_usec);
void Sn_SetWriting(struct sn_replica *replica, bool writing);
enum st_status Sn_Write(struct sn_replica *replica);
enum st_status Sn_Import(struct sn_replica *replica, const json_t *state);

enum sn_phase Sn_Phase(const struct sn_replica *replica);
uint64_t Sn_Next(const struct sn_replica *replica);
bool Sn_AtTail(const struct sn_replica *replica, int64_t *asked);
json_t *Sn_Export(const struct sn_replica *replica);

#ifdef __cplusplus
}
#endif

#endif
