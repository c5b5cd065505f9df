/* What happens next in a model: a heap of moments, in order of time and, at
   the same time, of entry.  Deterministic. */
#ifndef MODEL_AGENDA_H
#define MODEL_AGENDA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct ag_agenda;

struct ag_entry {
    int64_t at; /* microseconds */
    uint64_t order;
    int kind;
    size_t index; /* of what it happens to */
};

/* NULL without memory. */
struct ag_agenda *Ag_Create(void);
void Ag_Destroy(struct ag_agenda *agenda);
/* False without memory. */
bool Ag_Add(struct ag_agenda *agenda, int64_t at, int kind, size_t index);
/* Takes out the first; false when there is none. */
bool Ag_Next(struct ag_agenda *agenda, struct ag_entry *out);

#ifdef __cplusplus
}
#endif

#endif
