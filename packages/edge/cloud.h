/*
 * Interface to the platform, which takes usage reports and provides endpoints.
 * An adapter implements it; results are delivered later, never from within the
 * call.
 */
#ifndef EDGE_CLOUD_H
#define EDGE_CLOUD_H

#include <stdbool.h>
#include <stdint.h>

#include "edge/leader.h"

#ifdef __cplusplus
extern "C" {
#endif

enum cl_status {
    CL_DONE,
    CL_FENCED, /* refused: a higher fence was seen, or no fence could be had */
    CL_BUSY,   /* refused for now, without effect */
    CL_UNKNOWN, /* may have taken effect, or still will */
};

typedef void (*cl_fn)(void *arg, enum cl_status status);

/* The number of endpoints of a kind that a data centre should have. */
struct cl_order {
    const char *service;
    const char *zone;
    bool spot;
    int count;
};

struct cl_cloud;

struct cl_ops {
    void (*report)(struct cl_cloud *cloud, int64_t fence,
                   const struct lr_usage *usage, cl_fn fn, void *arg);
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
