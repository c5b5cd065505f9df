#include "member/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

/*
 * Converts an IP address and port to a socket address.  Returns its length, or
 * 0 when the text is not an IP address.
 */
socklen_t
Ad_ToSocket(const struct mb_endpoint *endpoint, struct sockaddr_storage *out)
{
    memset(out, 0, sizeof(*out));
    struct sockaddr_in *sin = (struct sockaddr_in *)out;
    if (inet_pton(AF_INET, endpoint->address, &sin->sin_addr) == 1) {
        sin->sin_family = AF_INET;
        sin->sin_port = htons(endpoint->port);
        return sizeof(*sin);
    }
    struct sockaddr_in6 *sin6 = (struct sockaddr_in6 *)out;
    if (inet_pton(AF_INET6, endpoint->address, &sin6->sin6_addr) == 1) {
        sin6->sin6_family = AF_INET6;
        sin6->sin6_port = htons(endpoint->port);
        return sizeof(*sin6);
    }
    return 0;
}

/* Converts a socket address to an IP address and port. */
void
Ad_FromSocket(const struct sockaddr_storage *address, struct mb_endpoint *out)
{
    memset(out, 0, sizeof(*out));
    if (address->ss_family == AF_INET6) {
        const struct sockaddr_in6 *sin6 = (const struct sockaddr_in6 *)address;
        inet_ntop(AF_INET6, &sin6->sin6_addr, out->address,
                  sizeof(out->address));
        out->port = ntohs(sin6->sin6_port);
        return;
    }
    const struct sockaddr_in *sin = (const struct sockaddr_in *)address;
    inet_ntop(AF_INET, &sin->sin_addr, out->address, sizeof(out->address));
    out->port = ntohs(sin->sin_port);
}

/* Returns the port that a socket is bound to, or 0 on failure. */
uint16_t
Ad_LocalPort(int fd)
{
    struct sockaddr_storage address;
    socklen_t len = sizeof(address);
    memset(&address, 0, sizeof(address));
    if (getsockname(fd, (struct sockaddr *)&address, &len) != 0) {
        return 0;
    }
    struct mb_endpoint endpoint = {0};
    Ad_FromSocket(&address, &endpoint);
    return endpoint.port;
}
