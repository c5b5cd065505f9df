/*
 * The speeds of engines: estimated from this daemon's streams, exchanged with
 * peers in the load rows, and merged; see policy/speed.h.
 */
#ifndef EDGE_SPEEDS_H
#define EDGE_SPEEDS_H

#include "edge/gate_internal.h"
#include "policy/speed.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Requests of all daemons at an endpoint / its slots, at most 1. */
double Sp_Utilization(const struct fl_endpoint *endpoint);
void Sp_Learn(struct ga_gate *gate, struct fl_endpoint *endpoint,
              enum sd_kind kind, const struct sd_sample *sample);
/*
 * Adds the speeds to the rows of a message, and rows of endpoints that run no
 * request but were measured recently, as long as there are fewer than
 * "rows_max".
 */
void Sp_FillLoads(const struct ga_gate *gate, struct ms_message *message,
                  size_t rows_max);

/* What all rows of a message have in common. */
struct sp_report {
    int64_t now;
    int64_t age_usec;
    double weight; /* Sd_ReportWeight() of the age */
    bool same_zone;
};

void Sp_AddReport(const struct ga_gate *gate, struct fl_endpoint *endpoint,
                  const struct ms_load *load, const struct sp_report *of);
/* Updates all speeds once the reports of the peers are summed. */
void Sp_Update(struct ga_gate *gate);
/* Logs each speed that has changed by a fifth since it was last logged. */
void Sp_LogChanges(const struct ga_gate *gate);
/* Logs how much output was expected, and how much was generated. */
void Sp_LogOutput(const struct ga_gate *gate);
void Sp_UpdateMetrics(struct ga_gate *gate);

#ifdef __cplusplus
}
#endif

#endif
