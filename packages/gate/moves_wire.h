/* Version moves and their evidence as JSON, on the log and between daemons. */
#ifndef GATE_MOVES_WIRE_H
#define GATE_MOVES_WIRE_H

#include <jansson.h>

#include "policy/move.h"

#define Mw_KIND "move"
#define Mw_SENTENCE_MAX 512

/* The record of a move's state. */
struct mw_record {
    uint64_t fence; /* of the holder that wrote it */
    struct mv_move move;
    char sentence[Mw_SENTENCE_MAX];
};

/* What one router saw in one block. */
struct mw_report {
    char service[Mv_NAME_MAX];
    char to[Mv_NAME_MAX];
    char router[Mv_NAME_MAX];
    uint64_t sequence;
    struct mv_cell cells[Mv_CELLS_MAX];
    size_t count;
};

json_t *Mw_Body(const struct mw_record *record);
bool Mw_Read(const json_t *body, struct mw_record *out);
char *Mw_WriteReport(const struct mw_report *report);
bool Mw_ReadReport(const char *text, size_t len, struct mw_report *out);

#endif
