/*
 * How a limit is divided, as the files of admit*.c share it.
 */
#ifndef POLICY_ADMIT_INTERNAL_H
#define POLICY_ADMIT_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One known daemon in the division of one limit. */
struct am_part {
    uint64_t rank; /* hash of the daemon's id: the order all agree on */
    double demand;
    bool silent; /* not heard of late: its even part is set aside */
    bool self;
};

double am_divide(double limit, const struct am_part *parts, size_t count);
int am_divide_whole(int limit, struct am_part *parts, size_t count);

#endif
