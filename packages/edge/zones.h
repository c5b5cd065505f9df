/*
 * What the daemons of each data centre have admitted and sent, as sums.  Own
 * sums are made of what the daemons of this data centre tell; those of another
 * come from one daemon there at a time.  Each daemon's sums start from zero at
 * its own start, so what counts is how much more one and the same reporter
 * says.
 */
#ifndef EDGE_ZONES_H
#define EDGE_ZONES_H

#include "edge/mesh.h"

#ifdef __cplusplus
extern "C" {
#endif

struct zn_zones;

struct zn_zones *Zn_Create(const struct ck_clock *clock);
void Zn_Destroy(struct zn_zones *zones);

/* Another daemon of this data centre admitted so much more. */
void Zn_AddNear(struct zn_zones *zones, const struct ms_spent *more);
/* Adds what the others here admitted to what this daemon did. */
void Zn_Summarize(const struct zn_zones *zones, struct ms_word *word);

/* Takes a summary; "fn" is called for what is new in it. */
typedef void (*zn_spent_fn)(void *arg, const struct ms_spent *more);
void Zn_Take(struct zn_zones *zones, const struct ms_word *summary,
             zn_spent_fn fn, void *arg);
/* Whether a data centre's sums are being told. */
bool Zn_IsReported(const struct zn_zones *zones, const char *zone);
/* The requests sent from data centres whose sums are being told. */
typedef void (*zn_load_fn)(void *arg, const struct ms_load *load,
                           int64_t age_usec);
void Zn_EachLoad(const struct zn_zones *zones, zn_load_fn fn, void *arg);

#ifdef __cplusplus
}
#endif

#endif
