/*
 * The highest sequence number read from each writer of a stream.  A writer has
 * one append in flight at a time and resends it unchanged until it is settled.
 * So a record whose sequence number is not above the highest one read is a
 * duplicate, or arrived after later records of its writer, and is dropped.
 */
#ifndef STATE_SEQUENCES_H
#define STATE_SEQUENCES_H

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
