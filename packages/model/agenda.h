/*
 * Event queue of a simulation: a binary heap ordered by time and, for events
 * at the same time, by insertion.  Deterministic.
 */
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
    size_t index; /* of the object that the event concerns */
};

/* Returns NULL if an allocation fails. */
struct ag_agenda *Ag_Create(void);
void Ag_Destroy(struct ag_agenda *agenda);
/* Returns false if an allocation fails. */
bool Ag_Add(struct ag_agenda *agenda, int64_t at, int kind, size_t index);
/* Removes the earliest event; returns false if the queue is empty. */
bool Ag_Next(struct ag_agenda *agenda, struct ag_entry *out);

#ifdef __cplusplus
}
#endif

#endif
