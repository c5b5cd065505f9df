/*
 * Records of quarantined prompt parts in the store.  Hosts that all restart
 * at once, so that no peer remembers the parts, read them from there.
 */
#ifndef EDGE_QUARANTINE_RECORD_H
#define EDGE_QUARANTINE_RECORD_H

#include "edge/store.h"
#include "policy/poison.h"

#ifdef __cplusplus
extern "C" {
#endif

struct qr_records;

/* Called for each record that the store holds at the start. */
typedef void (*qr_fn)(void *arg, const struct pz_quarantine *quarantine);

/* Returns NULL when out of memory. */
struct qr_records *Qr_Create(struct ag_store *store,
                             const struct ck_clock *clock, qr_fn loaded,
                             void *arg);
/* The store must make no more callbacks. */
void Qr_Destroy(struct qr_records *records);
/*
 * Starts due reads and writes; updates the records of "quarantines"; "now" is
 * true time.
 */
void Qr_Tick(struct qr_records *records,
             const struct pz_quarantine *quarantines, size_t count,
             int64_t now);
void Qr_Keep(struct qr_records *records,
             const struct pz_quarantine *quarantine);
/* Keeps a doubt for a while; a few at most. */
void Qr_KeepDoubt(struct qr_records *records,
                  const struct pz_quarantine *doubt);
/* Whether the record of the key is a doubt. */
bool Qr_HasDoubt(struct qr_records *records, const struct pz_key *key);
void Qr_Remove(struct qr_records *records, const struct pz_key *key);

#ifdef __cplusplus
}
#endif

#endif
