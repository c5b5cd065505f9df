/*
 * The record in the store of a part that is stopped, by which hosts that all
 * start again at once know of it.
 */
#ifndef EDGE_QUARANTINE_RECORD_H
#define EDGE_QUARANTINE_RECORD_H

#include "edge/store.h"
#include "policy/poison.h"

#ifdef __cplusplus
extern "C" {
#endif

struct qr_records;

/* "heard" is called for each record that is there at the start. */
typedef void (*qr_fn)(void *arg, const struct pz_stop *stop);

/* Returns NULL without memory. */
struct qr_records *Qr_Create(struct ag_store *store,
                             const struct ck_clock *clock, qr_fn heard,
                             void *arg);
/* The store must not answer any more. */
void Qr_Destroy(struct qr_records *records);
/* Reads and writes what is due; "stops" are kept current. */
void Qr_Tick(struct qr_records *records, const struct pz_stop *stops,
             size_t count);
void Qr_Keep(struct qr_records *records, const struct pz_stop *stop);
void Qr_Remove(struct qr_records *records, const struct pz_key *key);

#ifdef __cplusplus
}
#endif

#endif
