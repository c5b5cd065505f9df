// An endpoint that sends bytes without end which are no answer.
#ifndef TEST_ENDLESS_H
#define TEST_ENDLESS_H

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace cg {

// More than any bound of the product, socket buffers included.
const size_t kEndlessMax = 64u << 20;
const size_t kEndlessBound = 16u << 20;
const size_t kEndlessChunk = 64u << 10;

// An endpoint that answers each request with a beginning of its own and then
// with filler until the connection is closed.
class EndlessEndpoint {
  public:
    // In both texts "ID" stands for the id of the request.
    EndlessEndpoint(std::string begin, const std::string &filler)
        : begin_(std::move(begin))
    {
        while (filler_.size() < kEndlessChunk) {
            filler_ += filler;
        }
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        fd_ = socket(AF_INET, SOCK_STREAM, 0);
        socklen_t size = sizeof(address);
        if (bind(fd_, reinterpret_cast<sockaddr *>(&address), size) != 0 ||
            listen(fd_, 64) != 0 ||
            getsockname(fd_, reinterpret_cast<sockaddr *>(&address), &size) !=
                0) {
            throw std::runtime_error("no socket for the endpoint");
        }
        port_ = ntohs(address.sin_port);
        acceptor_ = std::thread([this] { Accept(); });
    }

    ~EndlessEndpoint()
    {
        shutdown(fd_, SHUT_RDWR);
        close(fd_);
        acceptor_.join();
        for (std::thread &connection : connections_) {
            connection.join();
        }
    }

    int
    Port() const
    {
        return port_;
    }

    size_t
    Requests() const
    {
        return requests_;
    }

    // Connections that were not closed before they had carried kEndlessMax.
    size_t
    Unbounded() const
    {
        return unbounded_;
    }

    size_t
    MostBytes() const
    {
        return most_bytes_;
    }

  private:
    void
    Accept()
    {
        int connection;
        while ((connection = accept(fd_, nullptr, nullptr)) >= 0) {
            connections_.emplace_back([this, connection] {
                Serve(connection);
                close(connection);
            });
        }
    }

    static std::string
    RequestId(const std::string &request)
    {
        const std::string name = "X-Request-Id: ";
        size_t at = request.find(name);
        if (at == std::string::npos) {
            return "";
        }
        at += name.size();
        return request.substr(at, request.find('\r', at) - at);
    }

    void
    Serve(int connection)
    {
        std::string request;
        char buffer[4096];
        while (request.find("\r\n\r\n") == std::string::npos) {
            ssize_t got = recv(connection, buffer, sizeof(buffer), 0);
            if (got <= 0) {
                return;
            }
            request.append(buffer, static_cast<size_t>(got));
        }
        requests_++;
        std::string begin = begin_;
        size_t at = begin.find("ID");
        if (at != std::string::npos) {
            begin.replace(at, 2, RequestId(request));
        }
        Send(connection, begin);
        size_t sent = 0;
        while (sent < kEndlessMax && Send(connection, filler_)) {
            sent += filler_.size();
        }
        unbounded_ += sent >= kEndlessMax;
        size_t most = most_bytes_;
        while (sent > most && !most_bytes_.compare_exchange_weak(most, sent)) {
        }
    }

    static bool
    Send(int connection, const std::string &text)
    {
        size_t at = 0;
        while (at < text.size()) {
            ssize_t sent = send(connection, text.data() + at, text.size() - at,
                                MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            at += static_cast<size_t>(sent);
        }
        return true;
    }

    std::string begin_;
    std::string filler_;
    int fd_;
    int port_;
    std::thread acceptor_;
    std::vector<std::thread> connections_;
    std::atomic<size_t> requests_{0};
    std::atomic<size_t> unbounded_{0};
    std::atomic<size_t> most_bytes_{0};
};

} // namespace cg

#endif
