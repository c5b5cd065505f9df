/* Runs the event loop in tests until a condition holds. */
#ifndef MEMBER_TEST_LOOP_UTIL_H
#define MEMBER_TEST_LOOP_UTIL_H

#include <arpa/inet.h>
#include <libwebsockets.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>

#include "base/clock.h"
#include "web/loop.h"

const int64_t kTimeoutUsec = 120 * Ck_USEC_PER_SEC;

class Runner {
  public:
    explicit Runner(struct lp_loop *loop) : loop_(loop)
    {
        timer_ = Lp_TimerCreate(loop, Tick, this);
        Tick(this);
    }

    ~Runner()
    {
        Lp_TimerDestroy(timer_);
    }

    bool
    Until(const std::function<bool()> &done, int64_t limit_usec = kTimeoutUsec)
    {
        int64_t end = Ck_Now(Ck_System()) + limit_usec;
        while (!done()) {
            if (Ck_Now(Ck_System()) > end) {
                return false;
            }
            lws_service(Lp_Context(loop_), 0);
        }
        return true;
    }

    void
    For(int64_t usec)
    {
        Until([] { return false; }, usec);
    }

  private:
    static void
    Tick(void *arg)
    {
        auto *runner = static_cast<Runner *>(arg);
        Lp_TimerSet(runner->timer_, 10 * Ck_USEC_PER_MSEC);
    }

    struct lp_loop *loop_;
    struct lp_timer *timer_;
};

/* Opens a plain socket on any free loopback port and stores the port. */
inline int
raw_socket(int type, uint16_t *port)
{
    int fd = socket(AF_INET, type | SOCK_NONBLOCK, 0);
    struct sockaddr_in address = {};
    socklen_t len = sizeof(address);
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(fd, (struct sockaddr *)&address, len);
    if (type == SOCK_STREAM) {
        listen(fd, 8);
    }
    getsockname(fd, (struct sockaddr *)&address, &len);
    *port = ntohs(address.sin_port);
    return fd;
}

inline struct sockaddr_in
loopback(uint16_t port)
{
    struct sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

/* Opens a plain TCP connection to a loopback port. */
inline int
raw_connect(uint16_t port)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = loopback(port);
    connect(fd, (struct sockaddr *)&address, sizeof(address));
    return fd;
}

#endif
