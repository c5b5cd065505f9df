#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>

#include "platform/hostlist.h"
#include "web/loop.h"

#include "../../member/test/loop_util.h"

namespace {

// A port that takes connections and never answers.
class SilentPort {
  public:
    SilentPort() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        socklen_t len = sizeof(at_);
        at_.sin_family = AF_INET;
        at_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(0, bind(fd_, (struct sockaddr *)&at_, len));
        EXPECT_EQ(0, listen(fd_, 8));
        EXPECT_EQ(0, getsockname(fd_, (struct sockaddr *)&at_, &len));
    }
    ~SilentPort()
    {
        close(fd_);
    }

    int
    port() const
    {
        return ntohs(at_.sin_port);
    }

  private:
    int fd_;
    struct sockaddr_in at_ = {};
};

void
Count(void *arg, enum st_status status, const struct hl_host *hosts,
      size_t count)
{
    (void)status;
    (void)hosts;
    (void)count;
    ++*static_cast<int *>(arg);
}

// Guards against a daemon that crashes at the end of a planned stop: the host
// list that it was reading answered a watcher that was gone.
TEST(HostList, AFetchEndsWithItsList)
{
    SilentPort silent;
    struct lp_loop *loop = nullptr;
    ASSERT_EQ(ST_OK, Lp_Create(&loop));
    struct jc_target target = {};
    snprintf(target.address, sizeof(target.address), "127.0.0.1");
    target.port = silent.port();
    struct hl_list *list = nullptr;
    ASSERT_EQ(ST_OK, Hl_HttpCreate(loop, &target, &list));
    int answers = 0;
    for (int i = 0; i < 2; i++) {
        ASSERT_EQ(ST_OK, list->ops->fetch(list, 60 * Ck_USEC_PER_SEC, Count,
                                          &answers));
    }
    {
        Runner runner(loop);
        runner.For(50 * Ck_USEC_PER_MSEC);
    }
    list->ops->destroy(list);
    Lp_Destroy(loop);
    EXPECT_EQ(0, answers);
}

} // namespace
