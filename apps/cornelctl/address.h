/* A list of administration ports, as given by --admin. */
#ifndef CORNELCTL_ADDRESS_H
#define CORNELCTL_ADDRESS_H

#include <stddef.h>

#include "base/status.h"

#define Ar_MOST 64

struct ar_target {
    char address[64]; /* IP number */
    int port;
};

struct ar_list {
    struct ar_target items[Ar_MOST];
    size_t count;
};

enum st_status Ar_Parse(const char *text, struct ar_list *out);

#endif
