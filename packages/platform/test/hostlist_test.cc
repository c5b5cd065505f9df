#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "platform/hostlist.h"
#include "test/socket.h"
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

struct Hosts {
    enum st_status status = ST_INTERNAL;
    std::vector<std::string> ids;

    static void
    Take(void *arg, enum st_status status, const struct hl_host *hosts,
         size_t count)
    {
        auto *self = static_cast<Hosts *>(arg);
        self->status = status;
        for (size_t i = 0; i < count; i++) {
            self->ids.emplace_back(hosts[i].id);
        }
    }
};

// Fetches a list that is answered with these bytes.
Hosts
Fetch(const std::string &body)
{
    cg::Socket listener(SOCK_STREAM);
    struct jc_target target = {};
    snprintf(target.address, sizeof(target.address), "127.0.0.1");
    target.port = listener.Bind(true);
    std::thread server([&] {
        cg::Socket taken = listener.Accept();
        std::string request;
        while (request.find("\r\n\r\n") == std::string::npos) {
            request += taken.Receive(1);
        }
        taken.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    struct lp_loop *loop = nullptr;
    EXPECT_EQ(ST_OK, Lp_Create(&loop));
    struct hl_list *list = nullptr;
    EXPECT_EQ(ST_OK, Hl_HttpCreate(loop, &target, &list));
    Hosts hosts;
    EXPECT_EQ(ST_OK, list->ops->fetch(list, 10 * Ck_USEC_PER_SEC, Hosts::Take,
                                      &hosts));
    {
        Runner runner(loop);
        runner.For(200 * Ck_USEC_PER_MSEC);
    }
    server.join();
    list->ops->destroy(list);
    Lp_Destroy(loop);
    return hosts;
}

// One odd entry among the hosts: the daemon stops to follow the list, or sends
// requests to a port that is none.
TEST(HostList, AnOddEntryNamesNoHost)
{
    const std::string sound = "{\"id\":\"a\",\"address\":\"127.0.0.1\","
                              "\"port\":80,\"slots\":4}";
    const std::string odd[] = {
        std::string(60000, '[') + std::string(60000, ']'),
        "{\"id\":\"b\",\"address\":\"127.0.0.1\",\"port\":" +
            std::string(400, '9') + "}",
        "{\"id\":\"b\",\"address\":\"127.0.0.1\",\"port\":70000}",
        "{\"id\":\"b\",\"address\":\"127.0.0.1\",\"port\":-1}",
        "{\"id\":\"b\",\"address\":\"127.0.0.1\",\"port\":0}",
        "{\"id\":\"b\",\"address\":\"127.0.0.1\",\"port\":4294967376}",
        "{\"id\":\"b\",\"address\":\"127.0.0.1\",\"port\":80,"
        "\"slots\":9223372036854775807}",
        "{\"id\":[],\"address\":{},\"port\":\"80\"}",
        "7",
        "nothing",
    };
    for (const std::string &entry : odd) {
        Hosts hosts = Fetch("{\"hosts\":[" + entry + "," + sound + "]}");
        EXPECT_EQ(hosts.status, ST_OK) << entry.substr(0, 60);
        EXPECT_EQ(hosts.ids, std::vector<std::string>{"a"})
            << entry.substr(0, 60);
    }
}

} // namespace
