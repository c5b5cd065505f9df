/*
 * What the platform does on order: it takes usage reports and provides
 * endpoints.  An adapter provides it; answers come later.
 */
#ifndef EDGE_CLOUD_H
#define EDGE_CLOUD_H

#include <stdbool.h>
#include <stdint.h>

#include "edge/duty.h"

#ifdef __cplusplus
extern "C" {
#endif

enum cl_status {
    CL_DONE,
    CL_FENCED,  /* refused: a higher fence was seen, or none to be had */
    CL_BUSY,    /* refused for now, nothing was done */
    CL_UNKNOWN, /* may be done, now or later */
};

typedef void (*cl_fn)(void *arg, enum cl_status status);

/* How many endpoints of a kind a data centre should have. */
struct cl_order {
    const char *service;
    const char *zone;
    bool spot;
    int count;
};

struct cl_cloud;

struct cl_ops {
    void (*report)(struct cl_cloud *cloud, int64_t fence,
                   const struct du_usage *usage, cl_fn fn, void *arg);
    void (*order)(struct cl_cloud *cloud, int64_t fence,
                  const struct cl_order *order, cl_fn fn, void *arg);
};

struct cl_cloud {
    const struct cl_ops *ops;
};

#ifdef __cplusplus
}
#endif

#endif
