/*
 * Sums of what the daemons of each data centre have admitted and sent. The
 * sums of this data centre are built from the messages of its daemons; those
 * of another arrive as summaries, from one daemon there at a time, the
 * reporter. Each daemon's sums start from zero when it starts, so only the
 * increase between two summaries of the same reporter is charged.
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

/* Adds usage that another daemon of this data centre admitted. */
void Zn_AddLocalUsage(struct zn_zones *zones, const struct ms_usage *more);
/*
 * Adds the usage of the other daemons in this data centre to that of this
 * daemon.
 */
void Zn_Summarize(const struct zn_zones *zones, struct ms_message *message);

/*
 * Adds the demand by rank of another daemon of this data centre to a summary.
 */
void Zn_AddRankDemand(struct ms_message *summary,
                      const struct ms_rank_demand *more);

/* Applies a summary; "fn" is called for each increase in usage. */
typedef void (*zn_usage_fn)(void *arg, const struct ms_usage *more);
void Zn_ApplySummary(struct zn_zones *zones, const struct ms_message *summary,
                     zn_usage_fn fn, void *arg);
/*
 * To be called when what a daemon of the data centre spent while unreachable
 * is charged directly.  The next summary of a silent reporter then charges
 * nothing, and what other reporters have sent counts as charged.
 */
void Zn_DropSilentReporters(struct zn_zones *zones, const char *zone);
/* Whether a data centre is currently reported by summaries. */
bool Zn_IsReported(const struct zn_zones *zones, const char *zone);
/*
 * Calls "fn" for each load of the data centres that are currently reported by
 * summaries.
 */
typedef void (*zn_load_fn)(void *arg, const struct ms_load *load,
                           int64_t age_usec);
void Zn_EachLoad(const struct zn_zones *zones, zn_load_fn fn, void *arg);
/* The same for demand by rank. */
typedef void (*zn_rank_demand_fn)(void *arg,
                                  const struct ms_rank_demand *demand,
                                  int64_t age_usec);
void Zn_EachRankDemand(const struct zn_zones *zones, zn_rank_demand_fn fn,
                       void *arg);

#ifdef __cplusplus
}
#endif

#endif
