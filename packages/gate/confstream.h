/*
 * The "config" stream of the platform's log on this daemon: follows it, puts
 * accepted configurations in force, and publishes changes.
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
 * Without word of a change; a net below gossip.  With two reads of 2 s lost
 * and the daemon stopped for 2 s, a change is in force within 11 s.
 */
#define Cs_POLL_SLOW (2500 * Ck_USEC_PER_MSEC)

struct cs_stream;

struct cs_options {
    struct gt_gate *gate;
    struct pl_log *log;
    struct bg_budget *budget;
    struct rc_writer self;
    /* The highest offset applied has changed. */
    void (*applied)(void *arg, uint64_t offset);
    void *arg;
};

enum st_status Cs_Create(const struct cs_options *options,
                         struct cs_stream **out);
void Cs_Destroy(struct cs_stream *stream);
void Cs_Tick(struct cs_stream *stream);
void Cs_Kick(struct cs_stream *stream);
void Cs_Word(struct cs_stream *stream, uint64_t offset);
void Cs_SetFast(struct cs_stream *stream, bool fast);
void Cs_SetWriting(struct cs_stream *stream, bool writing);
enum st_status Cs_Import(struct cs_stream *stream, const char *state,
                         size_t len);

const struct sc_state *Cs_State(const struct cs_stream *stream);
struct wr_writer *Cs_Writer(struct cs_stream *stream);
/* Microseconds since the last read that came to the end; -1: none did. */
int64_t Cs_ReadAge(const struct cs_stream *stream);
bool Cs_Reading(const struct cs_stream *stream);
bool Cs_Whole(const struct cs_stream *stream);
char *Cs_Export(const struct cs_stream *stream);

#ifdef __cplusplus
}
#endif

#endif
