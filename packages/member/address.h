/* Converts between IP address and port pairs and socket addresses. */
#ifndef MEMBER_ADDRESS_H
#define MEMBER_ADDRESS_H

#include <stdint.h>
#include <sys/socket.h>

#include "member/table.h"

#ifdef __cplusplus
extern "C" {
#endif

socklen_t Ad_ToSocket(const struct mb_endpoint *endpoint,
                      struct sockaddr_storage *out);
void Ad_FromSocket(const struct sockaddr_storage *address,
                   struct mb_endpoint *out);
uint16_t Ad_LocalPort(int fd);

#ifdef __cplusplus
}
#endif

#endif
