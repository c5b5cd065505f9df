/*
 * The highest sequence read of each writer of a stream.  A writer has one
 * append on its way at a time and repeats it unchanged until it is settled,
 * so a sequence that is not above the highest one is a repeat, or comes too
 * late to count.
 */
#ifndef STATE_SEEN_H
#define STATE_SEEN_H

#include <stdbool.h>
#include <stddef.h>

#include "state/record.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Se_WRITERS 4096

struct se_table;

struct se_table *Se_Create(size_t max);
void Se_Destroy(struct se_table *table);
void Se_Reset(struct se_table *table);
bool Se_Accept(struct se_table *table, const struct rc_record *record);
size_t Se_Count(const struct se_table *table);
json_t *Se_Save(const struct se_table *table);
void Se_Load(struct se_table *table, const json_t *entry);

#ifdef __cplusplus
}
#endif

#endif
