/* Connections that a listening socket has not got whole yet. */
#ifndef WEB_HALFOPEN_H
#define WEB_HALFOPEN_H

#include <netinet/in.h>

#ifdef __cplusplus
extern "C" {
#endif

int Ho_Count(const struct sockaddr_in *at);

#ifdef __cplusplus
}
#endif

#endif
