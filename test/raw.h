// Bytes to a daemon as they stand, for what no HTTP library would send.
#ifndef TEST_RAW_H
#define TEST_RAW_H

#include <cstdlib>
#include <cstring>
#include <string>

#include "test/socket.h"

namespace cg {

// What came back over a plain connection.
struct RawAnswer {
    int code = 0;      // 0: closed without an answer
    bool ended = true; // the daemon closed, or the answer was whole
    std::string head;
    std::string body;

    std::string
    Header(const std::string &name) const
    {
        const std::string line = "\r\n" + name + ": ";
        const char *found = strcasestr(head.c_str(), line.c_str());
        if (found == nullptr) {
            return "";
        }
        size_t at = (size_t)(found - head.c_str()) + line.size();
        return head.substr(at, head.find("\r\n", at) - at);
    }
};

// Reads one answer with a Content-Length, or until the daemon closes.
inline RawAnswer
ReadRaw(Socket &socket)
{
    RawAnswer answer;
    std::string data;
    size_t end = std::string::npos;
    while (end == std::string::npos) {
        std::string part = socket.Receive(1);
        if (part.empty()) {
            answer.ended = socket.ended() || socket.was_reset();
            return answer;
        }
        data += part;
        end = data.find("\r\n\r\n");
    }
    answer.head = data;
    answer.code = std::atoi(data.c_str() + data.find(' ') + 1);
    size_t length =
        (size_t)std::atoll(answer.Header("content-length").c_str());
    answer.body = socket.Receive(length);
    answer.ended = answer.body.size() == length;
    return answer;
}

// Sends bytes over a connection of its own and reads one answer.
inline RawAnswer
Raw(int port, const std::string &bytes, bool half_close = false)
{
    Socket socket(SOCK_STREAM);
    if (!socket.Connect(port)) {
        return {};
    }
    socket.Send(bytes);
    if (half_close) {
        shutdown(socket.fd(), SHUT_WR);
    }
    return ReadRaw(socket);
}

} // namespace cg

#endif
