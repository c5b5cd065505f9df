#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>

#include "platform/hostlist.h"
#include "web/loop.h"

#include "../../member/test/loop_util.h"

namespace {

// A listening port that accepts connections and never answers.
class UnresponsivePort {
  public:
    UnresponsivePort() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        socklen_t len = sizeof(address_);
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(0, bind(fd_, (struct sockaddr *)&address_, len));
        EXPECT_EQ(0, listen(fd_, 8));
        EXPECT_EQ(0, getsockname(fd_, (struct sockaddr *)&address_, &len));
    }
    ~UnresponsivePort()
    {
        close(fd_);
    }

    int
    port() const
    {
        return ntohs(address_.sin_port);
    }

  private:
    int fd_;
    struct sockaddr_in address_ = {};
};

void
CountCalls(void *arg, enum st_status status, const struct hl_host *hosts,
           size_t count)
{
    (void)status;
    (void)hosts;
    (void)count;
    ++*static_cast<int *>(arg);
}

// Guards against a crash of the daemon at the end of a graceful stop: a
// pending fetch of the host list called the watcher after the watcher had
// been freed.
TEST(HostList, DestroyCancelsPendingFetches)
{
    UnresponsivePort listener;
    struct lp_loop *loop = nullptr;
    ASSERT_EQ(ST_OK, Lp_Create(&loop));
    struct jc_target target = {};
    snprintf(target.address, sizeof(target.address), "127.0.0.1");
    target.port = listener.port();
    struct hl_list *list = nullptr;
    ASSERT_EQ(ST_OK, Hl_HttpCreate(loop, &target, &list));
    int calls = 0;
    for (int i = 0; i < 2; i++) {
        ASSERT_EQ(ST_OK, list->ops->fetch(list, 60 * Ck_USEC_PER_SEC,
                                          CountCalls, &calls));
    }
    {
        Runner runner(loop);
        runner.For(50 * Ck_USEC_PER_MSEC);
    }
    list->ops->destroy(list);
    Lp_Destroy(loop);
    EXPECT_EQ(0, calls);
}

} // namespace
