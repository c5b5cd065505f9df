// Plain sockets on loopback for tests of the fault proxy.
#ifndef TEST_SOCKET_H
#define TEST_SOCKET_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <vector>

namespace cg {

const int kSocketWaitMillis = 20000;

class Socket {
  public:
    explicit Socket(int type) : fd_(socket(AF_INET, type | SOCK_CLOEXEC, 0))
    {
    }
    Socket(Socket &&other) noexcept : fd_(other.fd_)
    {
        other.fd_ = -1;
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket()
    {
        if (fd_ >= 0) {
            close(fd_);
        }
    }

    // Binds to a port, 0 picks a free one, and listens on a stream if asked
    // to; the port, 0 where another socket has it.
    int
    Bind(bool listens, int port = 0)
    {
        struct sockaddr_in address = Loopback(port);
        socklen_t len = sizeof(address);
        auto *generic = reinterpret_cast<struct sockaddr *>(&address);
        if (bind(fd_, generic, len) != 0) {
            return 0;
        }
        if (listens) {
            listen(fd_, 16);
        }
        getsockname(fd_, generic, &len);
        return ntohs(address.sin_port);
    }

    bool
    Connect(int port)
    {
        return Connect("127.0.0.1", port);
    }

    bool
    Connect(const std::string &ip, int port)
    {
        struct sockaddr_in address = Loopback(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return connect(fd_, reinterpret_cast<struct sockaddr *>(&address),
                       sizeof(address)) == 0;
    }

    Socket
    Accept()
    {
        Socket taken(-1, Raw());
        if (Readable(kSocketWaitMillis)) {
            taken.fd_ = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        }
        return taken;
    }

    bool
    Readable(int millis) const
    {
        struct pollfd poller = {fd_, POLLIN, 0};
        return poll(&poller, 1, millis) == 1;
    }

    bool
    Send(const std::string &data)
    {
        return send(fd_, data.data(), data.size(), MSG_NOSIGNAL) ==
               (ssize_t)data.size();
    }

    // Reads until "len" bytes, the end or a reset.
    std::string
    Receive(size_t len)
    {
        std::string data;
        while (data.size() < len && Readable(kSocketWaitMillis)) {
            char part[4096];
            size_t want = std::min(sizeof(part), len - data.size());
            ssize_t got = recv(fd_, part, want, 0);
            reset_ = got < 0 && errno == ECONNRESET;
            ended_ = got == 0;
            if (got <= 0) {
                break;
            }
            data.append(part, (size_t)got);
        }
        return data;
    }

    bool
    was_reset() const
    {
        return reset_;
    }
    bool
    ended() const
    {
        return ended_;
    }
    int
    fd() const
    {
        return fd_;
    }

  private:
    struct Raw {};
    Socket(int fd, Raw) : fd_(fd)
    {
    }

    static struct sockaddr_in
    Loopback(int port)
    {
        struct sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons((uint16_t)port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int fd_;
    bool reset_ = false;
    bool ended_ = false;
};

// A port whose host answers nothing, not even a new connection: the queue of
// connections that nobody takes is full.
class SilentPort {
  public:
    SilentPort() : listener_(SOCK_STREAM), port_(listener_.Bind(false))
    {
        listen(listener_.fd(), 0);
        for (int i = 0; i < kFill; i++) {
            fill_.emplace_back(SOCK_STREAM | SOCK_NONBLOCK);
            fill_.back().Connect(port_);
        }
    }

    int
    number() const
    {
        return port_;
    }

  private:
    static const int kFill = 3;
    Socket listener_;
    int port_;
    std::vector<Socket> fill_;
};

// A port that refuses connections: it is bound, and nobody listens.
class RefusingPort {
  public:
    RefusingPort() : socket_(SOCK_STREAM), port_(socket_.Bind(false))
    {
    }

    int
    number() const
    {
        return port_;
    }

  private:
    Socket socket_;
    int port_;
};

} // namespace cg

#endif
