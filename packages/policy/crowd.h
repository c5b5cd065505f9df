/*
 * Whether a host takes another connection from callers.  Pure; fed with how
 * long each turn of the host's loop took, which is what a request waits to be
 * read.
 *
 * The load it answers: whoever spreads connections sends most of them to one
 * host for some seconds.  What that host cannot read in time it closes unread,
 * and the caller goes to another at once; what it reads it serves.
 */
#ifndef POLICY_CROWD_H
#define POLICY_CROWD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct cr_host {
    int64_t late_since; /* turns have taken too long; 0: they do not */
    bool full;
};

/* A turn that took "usec" has ended. */
void Cr_Turn(struct cr_host *host, int64_t usec, int64_t now);
/* "most": connections that descriptors are there for. */
bool Cr_MayTake(const struct cr_host *host, size_t connections, size_t most);

#ifdef __cplusplus
}
#endif

#endif
