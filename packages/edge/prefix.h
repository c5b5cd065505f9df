/*
 * Which endpoint has lately read which part of a prompt, as far as this
 * daemon sent it there.  A fixed table; an older entry yields to a newer.
 */
#ifndef EDGE_PREFIX_H
#define EDGE_PREFIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "edge/ask.h"

#ifdef __cplusplus
extern "C" {
#endif

struct px_table;

/* Prompt tokens that an endpoint would have to read. */
struct px_missing {
    int64_t tokens;
    int64_t shared; /* of these, in parts that other requests have too */
};

struct px_table *Px_Create(void);
void Px_Destroy(struct px_table *table);
/* The request's prompt was sent to the endpoint. */
void Px_Note(struct px_table *table, const struct ak_ask *ask,
             uint32_t endpoint, int64_t now);
/* Parts count as kept only with all parts before them. */
struct px_missing Px_Missing(const struct px_table *table,
                             const struct ak_ask *ask, uint32_t endpoint,
                             int64_t now);
/* A part as logs and other daemons name it; Px_NAME_LEN digits in hex. */
#define Px_NAME_LEN 8
uint32_t Px_Name(const struct ak_part *part);
/* What requests that share this prompt have in common; 0: nothing. */
uint64_t Px_Group(const struct ak_ask *ask);

#ifdef __cplusplus
}
#endif

#endif
