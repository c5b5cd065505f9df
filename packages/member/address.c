#include "member/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

/* The socket address of an IP number and port; 0 when it is no IP number. */
socklen_t
Ad_ToSocket(const struct mb_endpoint *endpoint, struct sockaddr_storage *out)
{
    memset(out, 0, sizeof(*out));
    struct sockaddr_in *four = (struct sockaddr_in *)out;
    if (inet_pton(AF_INET, endpoint->address, &four->sin_addr) == 1) {
        four->sin_family = AF_INET;
        four->sin_port = htons(endpoint->port);
        return sizeof(*four);
    }
    struct sockaddr_in6 *six = (struct sockaddr_in6 *)out;
    if (inet_pton(AF_INET6, endpoint->address, &six->sin6_addr) == 1) {
        six->sin6_family = AF_INET6;
        six->sin6_port = htons(endpoint->port);
        return sizeof(*six);
    }
    return 0;
}

/* The IP number and port of a socket address. */
void
Ad_FromSocket(const struct sockaddr_storage *address, struct mb_endpoint *out)
{
    memset(out, 0, sizeof(*out));
    if (address->ss_family == AF_INET6) {
        const struct sockaddr_in6 *six = (const struct sockaddr_in6 *)address;
        inet_ntop(AF_INET6, &six->sin6_addr, out->address,
                  sizeof(out->address));
        out->port = ntohs(six->sin6_port);
        return;
    }
    const struct sockaddr_in *four = (const struct sockaddr_in *)address;
    inet_ntop(AF_INET, &four->sin_addr, out->address, sizeof(out->address));
    out->port = ntohs(four->sin_port);
}

/* The port that a socket is bound to; 0 when that cannot be told. */
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
