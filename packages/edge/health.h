/*
 * What an endpoint's own answers say of it.  Health checks are not asked:
 * they pass at endpoints that fail requests, and cost a request each.
 */
#ifndef EDGE_HEALTH_H
#define EDGE_HEALTH_H

#include "edge/fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

enum he_outcome {
    HE_SERVED,  /* answered as it should */
    HE_FAILED,  /* an error of its own, or bytes that are no answer */
    HE_REFUSED, /* said that it did not run the request */
    HE_BROKE,   /* closed, reset or could not be reached */
    HE_SILENT,  /* nothing in the time that others need many times over */
};

void He_Note(struct fl_endpoint *endpoint, enum he_outcome outcome,
             int64_t now);
void He_First(struct fl_endpoint *endpoint, int64_t usec, int64_t now);
/*
 * The share of recent answers that failed, and the time to the first byte, as
 * far as they still say something: an endpoint that is passed by for what it
 * was could not show what it is.
 */
double He_Failing(const struct fl_endpoint *endpoint, int64_t now);
double He_FirstUsec(const struct fl_endpoint *endpoint, double mean,
                    int64_t now);
bool He_Shunned(const struct fl_endpoint *endpoint, int64_t now);

#ifdef __cplusplus
}
#endif

#endif
