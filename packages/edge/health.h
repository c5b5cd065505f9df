/*
 * Passive health tracking: an endpoint's health follows from its answers to
 * callers' requests.  Active health checks are not used: they pass at
 * endpoints that fail requests, and each costs a request.
 */
#ifndef EDGE_HEALTH_H
#define EDGE_HEALTH_H

#include "edge/fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

enum he_outcome {
    HE_SERVED,  /* a valid answer */
    HE_FAILED,  /* a server error, or bytes that are no valid answer */
    HE_REFUSED, /* the endpoint answered that it did not run the request */
    HE_BROKE,   /* connection closed or reset, or endpoint unreachable */
    HE_SILENT,  /* no answer within a multiple of the usual time */
};

void He_Note(struct fl_endpoint *endpoint, enum he_outcome outcome,
             int64_t now);
void He_NoteFirstByte(struct fl_endpoint *endpoint, int64_t usec, int64_t now);
/*
 * The fraction of recent answers that failed, and the time to the first byte.
 * Both decay with time (the time towards "mean"): an endpoint that gets no
 * requests because of past failures cannot show that it has recovered.
 */
double He_FailureRate(const struct fl_endpoint *endpoint, int64_t now);
double He_FirstByteUsec(const struct fl_endpoint *endpoint, double mean,
                        int64_t now);
bool He_IsEjected(const struct fl_endpoint *endpoint, int64_t now);

#ifdef __cplusplus
}
#endif

#endif
