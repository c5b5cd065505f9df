/*
 * The envelope of every record that this system writes to the platform's log:
 * schema version, writer (node and incarnation), the writer's sequence number,
 * its calendar time, a kind and a body.  Unknown fields are ignored and older
 * schemas are accepted, so that old and new daemons can run together.
 */
#ifndef STATE_RECORD_H
#define STATE_RECORD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Rc_SCHEMA 2
#define Rc_NODE_MAX 48
#define Rc_KIND_MAX 24

struct rc_writer {
    char node[Rc_NODE_MAX];
    uint64_t incarnation; /* new at each start of the process; below 2^63 */
};

struct rc_record {
    uint64_t offset; /* offset in the stream; 0 before it is written */
    int schema;
    struct rc_writer writer;
    uint64_t sequence; /* per writer and stream, from 1 */
    int64_t wall_ms;   /* the writer's calendar time; 0 in schema 1 */
    char kind[Rc_KIND_MAX];
    json_t *body; /* owned after Rc_Parse(), borrowed by Rc_Format() */
};

enum st_status Rc_Format(const struct rc_record *record, char **out);
enum st_status Rc_Parse(const char *text, uint64_t offset,
                        struct rc_record *out);
void Rc_Clear(struct rc_record *record);
bool Rc_IsKind(const struct rc_record *record, const char *kind);
int Rc_CompareWriters(const struct rc_writer *a, const struct rc_writer *b);

/* Return a field of a body, or "" and 0 if it is absent or of another type. */
const char *Rc_Text(const json_t *body, const char *name);
int64_t Rc_Number(const json_t *body, const char *name);

#ifdef __cplusplus
}
#endif

#endif
