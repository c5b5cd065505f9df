/*
 * This daemon's replica of the "config" stream of the platform's log.  It puts
 * accepted configurations in force and appends changes.
 */
#ifndef GATE_CONFSTREAM_H
#define GATE_CONFSTREAM_H

#include "config/sections.h"
#include "gate/gate.h"
#include "platform/plog.h"
#include "state/budget.h"
#include "state/writer.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Poll interval of daemons that rely on gossip to learn of a change, for the
 * case that gossip misses it.  Even with two reads of 2 s lost and the daemon
 * stopped for 2 s, a change is then in force within 11 s.
 */
#define Cs_POLL_SLOW_USEC (2500 * Ck_USEC_PER_MSEC)

struct cs_stream;

struct cs_options {
    struct gt_gate *gate;
    struct pl_log *log;
    struct bg_budget *budget;
    struct rc_writer self;
    /* Records up to "offset" have been applied. */
    void (*applied)(void *arg, uint64_t offset);
    void *arg;
};

enum st_status Cs_Create(const struct cs_options *options,
                         struct cs_stream **out);
void Cs_Destroy(struct cs_stream *stream);
void Cs_Tick(struct cs_stream *stream);
void Cs_Kick(struct cs_stream *stream);
void Cs_HandleNotice(struct cs_stream *stream, uint64_t offset);
void Cs_SetFastPolling(struct cs_stream *stream, bool fast);
void Cs_SetSnapshotWriter(struct cs_stream *stream, bool writing);
enum st_status Cs_Import(struct cs_stream *stream, const char *state,
                         size_t len);

const struct sc_state *Cs_State(const struct cs_stream *stream);
struct wr_writer *Cs_Writer(struct cs_stream *stream);
/* Microseconds since the request of the last read to the end; -1: none. */
int64_t Cs_ReadAge(const struct cs_stream *stream);
bool Cs_IsLogReachable(const struct cs_stream *stream);
bool Cs_IsComplete(const struct cs_stream *stream);
char *Cs_Export(const struct cs_stream *stream);

#ifdef __cplusplus
}
#endif

#endif
