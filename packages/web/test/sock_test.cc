#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "web/loop.h"
#include "web/sock.h"

namespace {

int
Option(int fd, int name)
{
    int value = 0;
    socklen_t len = sizeof(value);
    EXPECT_EQ(getsockopt(fd, IPPROTO_TCP, name, &value, &len), 0);
    return value;
}

// A limit on unacknowledged data ends a silent connection before, or long
// after, its probes would: the limit decides, whatever their count.
TEST(Sock, SilentConnectionsEndWhenTheProbesGiveUp)
{
    struct lp_loop *loop = nullptr;
    ASSERT_EQ(Lp_Create(&loop), ST_OK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    struct sk_sock *sock = nullptr;
    ASSERT_EQ(Sk_Adopt(loop, fd, nullptr, nullptr, &sock), ST_OK);
    int probes = Option(fd, TCP_KEEPIDLE) +
                 Option(fd, TCP_KEEPINTVL) * Option(fd, TCP_KEEPCNT);
    EXPECT_EQ(Option(fd, TCP_USER_TIMEOUT), 1000 * probes);
    Sk_Close(sock);
    Lp_Destroy(loop);
}

} // namespace
