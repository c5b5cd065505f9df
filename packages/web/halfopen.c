#include "web/halfopen.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define Ho_ANSWER_BYTES 16384
#define Ho_WAIT_USEC 100000

struct ho_question {
    struct nlmsghdr head;
    struct inet_diag_req_v2 body;
};

static bool
ask(int fd, const struct sockaddr_in *at)
{
    struct ho_question question = {
        .head =
            {
                .nlmsg_len = sizeof(question),
                .nlmsg_type = SOCK_DIAG_BY_FAMILY,
                .nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP,
            },
        .body =
            {
                .sdiag_family = AF_INET,
                .sdiag_protocol = IPPROTO_TCP,
                .idiag_states = 1U << TCP_SYN_RECV,
                .id = {.idiag_sport = at->sin_port},
            },
    };
    return send(fd, &question, sizeof(question), 0) ==
           (ssize_t)sizeof(question);
}

static bool
is_of(const struct inet_diag_msg *found, const struct sockaddr_in *at)
{
    return found->id.idiag_sport == at->sin_port &&
           (at->sin_addr.s_addr == htonl(INADDR_ANY) ||
            found->id.idiag_src[0] == at->sin_addr.s_addr);
}

/* Adds what a packet lists, or sets -1; true when it was the last one. */
static bool
add_packet(const struct nlmsghdr *head, size_t left,
           const struct sockaddr_in *at, int *count)
{
    for (; NLMSG_OK(head, left); head = NLMSG_NEXT(head, left)) {
        if (head->nlmsg_type == NLMSG_DONE) {
            return true;
        }
        if (head->nlmsg_type == NLMSG_ERROR) {
            *count = -1;
            return true;
        }
        *count += is_of(NLMSG_DATA(head), at) ? 1 : 0;
    }
    return false;
}

/*
 * Counts the connections to an address whose opening was answered and whose
 * caller's last word has not come (sock_diag(7)); -1 when the system does not
 * tell.
 */
int
Ho_Count(const struct sockaddr_in *at)
{
    static _Alignas(struct nlmsghdr) char answer[Ho_ANSWER_BYTES];
    int count = -1;
    int fd = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (fd < 0) {
        return -1;
    }
    struct timeval wait = {.tv_usec = Ho_WAIT_USEC};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    if (!ask(fd, at)) {
        goto out;
    }
    count = 0;
    for (bool last = false; !last;) {
        ssize_t len = recv(fd, answer, sizeof(answer), 0);
        if (len <= 0) {
            count = -1;
            break;
        }
        last = add_packet((const struct nlmsghdr *)answer, (size_t)len, at,
                          &count);
    }

out:
    close(fd);
    return count;
}
