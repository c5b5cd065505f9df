/* A call to an endpoint about the KV caches of its runs. */
#ifndef EDGE_KV_CALL_H
#define EDGE_KV_CALL_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buffer.h"
#include "web/channel.h"

struct fl_endpoint;
struct ga_gate;

struct kc_call {
    struct ga_gate *gate;
    struct fl_endpoint *endpoint;
    struct cn_channel *channel; /* NULL: no call is in progress */
    int status;                 /* of the answer */
    struct bf_buffer body;
    size_t body_max;
    /* The end of the call; never from within Kc_Start(). */
    void (*done)(void *arg, enum cn_outcome outcome);
    void *arg;
};

/* Sends a whole request; false: no connection to spare. */
bool Kc_Start(struct kc_call *call, const char *request, size_t len);
/* Ends a call, if one is in progress, and forgets its answer. */
void Kc_End(struct kc_call *call);

#endif
