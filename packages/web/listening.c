#include "web/listening.h"

#include <errno.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Byte of a TCP header that holds the flags (RFC 9293, 3.1). */
#define Ls_TCP_FLAGS_OFFSET 13

/*
 * Lets no further connection begin, while those that have begun complete and
 * can be taken.  A connection that completes between the last accept() and
 * the end of listening would be reset although its caller may have sent a
 * whole request; on a busy host a daemon can be preempted just there.  An
 * opening segment (SYN) that is dropped instead is sent again by the caller
 * and then refused, before any byte of a request.
 */
enum st_status
Ls_DropOpenings(int listen_fd)
{
    struct sock_filter code[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, Ls_TCP_FLAGS_OFFSET),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
    };
    struct sock_fprog filter = {
        .len = sizeof(code) / sizeof(code[0]),
        .filter = code,
    };
    if (setsockopt(listen_fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                   sizeof(filter)) != 0) {
        return St_Fail(ST_UNAVAILABLE,
                       "cannot filter new connections (%s); one that comes "
                       "just now may be reset: allow SO_ATTACH_FILTER",
                       strerror(errno));
    }
    return ST_OK;
}
