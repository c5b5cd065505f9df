// What a caller sees whose request is refused before its body has come.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <libwebsockets.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>

#include "web/loop.h"
#include "web/serve.h"
#include "web/server.h"

namespace {

const size_t kBodyMost = 1024;
const size_t kBodySent = 4 << 20; // more than the sockets' buffers hold

const struct hs_ops kOps = {[](void *, struct hs_request *request) {
                                Hs_Reply(request, 200, "text/plain", nullptr,
                                         0, "", 0);
                            },
                            [](void *, struct hs_request *) {}, nullptr};

const struct sv_ops kServeOps = {[](void *, struct sv_request *request) {
                                     Sv_Reply(request, 200, "", "", 0);
                                 },
                                 [](void *, struct sv_request *) {}, nullptr,
                                 nullptr, nullptr};

// Sends a request with a large body to its end, and then reads the answer.
std::string
SendAll(int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in at = {};
    at.sin_family = AF_INET;
    at.sin_port = htons((uint16_t)port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    struct timeval wait = {20, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
    std::string bytes = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                        std::to_string(kBodySent) + "\r\n\r\n" +
                        std::string(kBodySent, 'x');
    if (connect(fd, (struct sockaddr *)&at, sizeof(at)) == 0) {
        size_t sent = 0;
        ssize_t n = 1;
        while (sent < bytes.size() && n > 0) {
            n = send(fd, bytes.data() + sent, bytes.size() - sent,
                     MSG_NOSIGNAL);
            sent += n > 0 ? (size_t)n : 0;
        }
    }
    char buffer[512];
    ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
    close(fd);
    return got > 0 ? std::string(buffer, (size_t)got) : "";
}

class RefusedBody : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ASSERT_EQ(ST_OK, Lp_Create(&loop));
    }

    // The first words of the answer, the loop running meanwhile.
    std::string
    Ask(int port)
    {
        std::string answer;
        std::atomic<bool> over{false};
        std::thread caller([&] {
            answer = SendAll(port);
            over = true;
            lws_cancel_service(Lp_Context(loop));
        });
        while (!over) {
            lws_service(Lp_Context(loop), 0);
        }
        caller.join();
        return answer.substr(0, 12);
    }

    struct lp_loop *loop = nullptr;
};

// Guards against a refusal that the caller never reads, since the server
// closes with unread bytes and the connection is reset.
TEST_F(RefusedBody, IsToldToTheCaller)
{
    struct hs_options options = {};
    options.address = "127.0.0.1";
    options.ops = &kOps;
    options.body_max = kBodyMost;
    struct hs_server *server = nullptr;
    ASSERT_EQ(ST_OK, Hs_Create(loop, &options, &server));
    EXPECT_EQ("HTTP/1.1 413", Ask(Hs_Port(server)));
    Lp_Destroy(loop);
    Hs_Destroy(server);
}

// Guards against the same at the entry hosts' server.
TEST_F(RefusedBody, IsToldToTheCallerByTheEntryHosts)
{
    struct sv_server *server = nullptr;
    ASSERT_EQ(ST_OK, Sv_Create(loop, Ck_System(), "127.0.0.1:0", &kServeOps,
                               nullptr, &server));
    struct sv_limits limits = {};
    limits.head_bytes = kBodyMost;
    limits.body_bytes = kBodyMost;
    limits.head_usec = 3 * Ck_USEC_PER_SEC;
    limits.idle_usec = 15 * Ck_USEC_PER_SEC;
    Sv_SetLimits(server, &limits);
    EXPECT_EQ("HTTP/1.1 413", Ask(Sv_Port(server)));
    Sv_Destroy(server);
    Lp_Destroy(loop);
}

} // namespace
