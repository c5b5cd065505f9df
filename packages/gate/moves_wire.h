/*
 * JSON encoding of the state of version moves, in the log, and of outcome
 * reports, between daemons.
 */
#ifndef GATE_MOVES_WIRE_H
#define GATE_MOVES_WIRE_H

#include <jansson.h>

#include "policy/move.h"

#define Mw_KIND "move"
#define Mw_SENTENCE_MAX 512

/* The state of a move as a log record. */
struct mw_record {
    uint64_t fence; /* fencing token of the lease holder that wrote it */
    struct mv_move move;
    char sentence[Mw_SENTENCE_MAX];
};

/* Outcomes that one router counted in one block of time. */
struct mw_report {
    char service[Mv_NAME_MAX];
    char to[Mv_NAME_MAX];
    char router[Mv_NAME_MAX]; /* incarnation of the daemon */
    uint64_t sequence;
    struct mv_cell cells[Mv_CELLS_MAX];
    size_t count;
};

json_t *Mw_WriteRecord(const struct mw_record *record);
bool Mw_ReadRecord(const json_t *body, struct mw_record *out);
char *Mw_WriteReport(const struct mw_report *report);
bool Mw_ReadReport(const char *text, size_t len, struct mw_report *out);

#endif
