/* A plain service: every request to any path is a run. */
#ifndef STANDINS_PLAIN_H
#define STANDINS_PLAIN_H

#include "standins/endpoint.h"

struct pn_plain;

struct pn_plain *Pn_Create(struct ep_endpoint *endpoint);
void Pn_Destroy(struct pn_plain *plain);
void Pn_Serve(struct pn_plain *plain, struct hs_request *request);

#endif
