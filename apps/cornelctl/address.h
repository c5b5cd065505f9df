/* The list of daemon administration addresses given by --admin. */
#ifndef CORNELCTL_ADDRESS_H
#define CORNELCTL_ADDRESS_H

#include <stddef.h>

#include "base/status.h"

#define Ar_TARGETS_MAX 64

struct ar_target {
    char address[64]; /* numeric IPv4 or IPv6 address */
    int port;
};

struct ar_list {
    struct ar_target items[Ar_TARGETS_MAX];
    size_t count;
};

enum st_status Ar_Parse(const char *text, struct ar_list *out);

#endif
