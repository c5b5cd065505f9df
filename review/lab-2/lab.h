// A small deployment for the cases of this review: the daemons are the
// project's own program, each a process of its own; the platform's store, the
// replicas and the clients are threads of the case.  Everything is on
// loopback addresses and the real clock.  The stand-ins speak what the users'
// protocol page says and no more.
#ifndef REVIEW_LAB_2_LAB_H
#define REVIEW_LAB_2_LAB_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lab {

enum Verdict { HELD = 0, BROKEN = 1, NOT_RUN = 2 };

inline int64_t
NowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
        .count();
}

// A variable of the environment.
inline const char *
Variable(const char *name, const char *fallback)
{
    const char *value = getenv(name);
    return value == nullptr || value[0] == '\0' ? fallback : value;
}

inline void
SleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---- the record of what was sent, answered and run

class Record {
  public:
    // An empty path: nothing is recorded.
    explicit Record(const std::string &path)
        : quiet_(path.empty()),
          file_(quiet_ ? nullptr : fopen(path.c_str(), "w")), start_(NowMs())
    {
    }

    void
    Line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2048];
        va_list args;
        va_start(args, format);
        vsnprintf(text, sizeof(text), format, args);
        va_end(args);
        if (quiet_) {
            return;
        }
        std::lock_guard<std::mutex> lock(mutex_);
        long long at = (long long)(NowMs() - start_);
        printf("%8lld ms  %s\n", at, text);
        fflush(stdout);
        if (file_ != nullptr) {
            fprintf(file_, "%8lld ms  %s\n", at, text);
            fflush(file_);
        }
    }

  private:
    std::mutex mutex_;
    bool quiet_;
    FILE *file_;
    int64_t start_;
};

// ---- HTTP/1.1

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Message {
    std::string start; // request or status line
    Fields fields;
    std::string body;
    bool whole = false;  // read to its end
    bool framed = true;  // has a length or chunks
    std::string problem; // why it is no valid message

    std::string
    Field(const std::string &name) const
    {
        for (const auto &field : fields) {
            if (strcasecmp(field.first.c_str(), name.c_str()) == 0) {
                return field.second;
            }
        }
        return "";
    }

    bool
    Has(const std::string &name) const
    {
        for (const auto &field : fields) {
            if (strcasecmp(field.first.c_str(), name.c_str()) == 0) {
                return true;
            }
        }
        return false;
    }

    int
    Status() const
    {
        return start.size() > 12 ? atoi(start.c_str() + 9) : 0;
    }

    std::string
    Target() const
    {
        size_t a = start.find(' ');
        size_t b = start.find(' ', a + 1);
        return a == std::string::npos || b == std::string::npos
                   ? ""
                   : start.substr(a + 1, b - a - 1);
    }

    std::string
    Method() const
    {
        return start.substr(0, start.find(' '));
    }
};

class Stream {
  public:
    explicit Stream(int fd) : fd_(fd)
    {
    }
    ~Stream()
    {
        Close();
    }
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    bool
    Open() const
    {
        return fd_ >= 0;
    }

    int
    Descriptor() const
    {
        return fd_;
    }

    void
    Close()
    {
        if (fd_ >= 0) {
            close(fd_);
            fd_ = -1;
        }
    }

    bool
    Write(const std::string &data)
    {
        size_t at = 0;
        while (at < data.size()) {
            ssize_t n =
                send(fd_, data.data() + at, data.size() - at, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            at += (size_t)n;
        }
        return true;
    }

    // Reads a request; false at the end of the connection.
    bool
    ReadRequest(Message *out, int wait_ms)
    {
        return Read(out, wait_ms, true);
    }

    // Reads an answer; "whole" tells whether it is complete.
    bool
    ReadAnswer(Message *out, int wait_ms)
    {
        return Read(out, wait_ms, false);
    }

    // Reads bytes; 0 at the end, -1 after a reset or the wait.
    ssize_t
    ReadSome(char *data, size_t size, int wait_ms)
    {
        struct pollfd poller = {fd_, POLLIN, 0};
        if (poll(&poller, 1, wait_ms) != 1) {
            return -1;
        }
        return recv(fd_, data, size, 0);
    }

  private:
    bool
    Fill(int64_t until)
    {
        char data[16384];
        int64_t left = until - NowMs();
        ssize_t n = left <= 0 ? -1 : ReadSome(data, sizeof(data), (int)left);
        if (n > 0) {
            buffer_.append(data, (size_t)n);
        }
        ended_ = n == 0;
        return n > 0;
    }

    bool
    Line(std::string *out, int64_t until)
    {
        size_t end;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!Fill(until)) {
                return false;
            }
        }
        *out = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }

    bool
    Take(size_t len, std::string *out, int64_t until)
    {
        while (buffer_.size() < len) {
            if (!Fill(until)) {
                out->append(buffer_);
                buffer_.clear();
                return false;
            }
        }
        out->append(buffer_, 0, len);
        buffer_.erase(0, len);
        return true;
    }

    static bool
    IsToken(const std::string &name)
    {
        static const std::string others = "!#$%&'*+-.^_`|~";
        for (char c : name) {
            if (!isalnum((unsigned char)c) &&
                others.find(c) == std::string::npos) {
                return false;
            }
        }
        return !name.empty();
    }

    bool
    Read(Message *out, int wait_ms, bool request)
    {
        int64_t until = NowMs() + wait_ms;
        *out = Message();
        do {
            if (!Line(&out->start, until)) {
                return false;
            }
        } while (out->start.empty());
        std::string line;
        for (;;) {
            if (!Line(&line, until)) {
                return false;
            }
            if (line.empty()) {
                break;
            }
            size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            if (colon == std::string::npos || !IsToken(name)) {
                out->problem = "not a header field: '" + line + "'";
                return true;
            }
            size_t value = line.find_first_not_of(" \t", colon + 1);
            out->fields.emplace_back(
                name, value == std::string::npos ? "" : line.substr(value));
        }
        return ReadBody(out, until, request);
    }

    bool
    ReadBody(Message *out, int64_t until, bool request)
    {
        std::string line;
        if (strcasecmp(out->Field("transfer-encoding").c_str(), "chunked") ==
            0) {
            for (;;) {
                if (!Line(&line, until)) {
                    return true;
                }
                size_t size = strtoul(line.c_str(), nullptr, 16);
                if (size == 0) {
                    break;
                }
                if (!Take(size, &out->body, until) || !Line(&line, until)) {
                    return true;
                }
            }
            while (Line(&line, until) && !line.empty()) {
                continue; // trailer fields
            }
            out->whole = line.empty();
            return true;
        }
        if (out->Has("content-length")) {
            size_t size =
                strtoul(out->Field("content-length").c_str(), nullptr, 10);
            out->whole = Take(size, &out->body, until);
            return true;
        }
        if (request) {
            out->whole = true; // no body
            return true;
        }
        out->framed = false;
        while (Fill(until)) {
            continue;
        }
        out->body = buffer_;
        buffer_.clear();
        out->whole = ended_;
        return true;
    }

    int fd_;
    bool ended_ = false;
    std::string buffer_;
};

inline struct sockaddr_in
Address(const std::string &ip, int port)
{
    struct sockaddr_in at = {};
    at.sin_family = AF_INET;
    at.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    return at;
}

// Connects; "receive_bytes" is the size of the receive buffer, 0: as usual.
inline int
Connect(const std::string &ip, int port, int receive_bytes = 0)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                   sizeof(receive_bytes));
    }
    struct sockaddr_in to = Address(ip, port);
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
        close(fd);
        return -1;
    }
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline std::string
Answer(int status, const std::string &reason, const std::string &fields,
       const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" +
           fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// A server with a thread for each connection.  "serve" answers one request
// and returns whether the connection goes on.
class Server {
  public:
    using Serve = std::function<bool(Stream *, Message *)>;

    Server(const std::string &ip, Serve serve) : ip_(ip), serve_(serve)
    {
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        struct sockaddr_in at = Address(ip, 0);
        socklen_t len = sizeof(at);
        if (bind(fd_, (struct sockaddr *)&at, sizeof(at)) != 0 ||
            listen(fd_, 256) != 0 ||
            getsockname(fd_, (struct sockaddr *)&at, &len) != 0) {
            fprintf(stderr, "no port at %s\n", ip.c_str());
            exit(NOT_RUN);
        }
        port_ = ntohs(at.sin_port);
        std::thread([this] { Accept(); }).detach();
    }

    int
    Port() const
    {
        return port_;
    }

    std::string
    Url() const
    {
        return ip_ + ":" + std::to_string(port_);
    }

  private:
    void
    Accept()
    {
        for (;;) {
            int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, fd] {
                Stream stream(fd);
                Message request;
                while (stream.ReadRequest(&request, 30000) &&
                       serve_(&stream, &request)) {
                    continue;
                }
            }).detach();
        }
    }

    std::string ip_;
    Serve serve_;
    int fd_;
    int port_;
};

// ---- the platform: store and cloud

inline std::string
Base64(const std::string &data)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < data.size(); i += 3) {
        uint32_t bits = 0;
        for (size_t j = 0; j < 3; j++) {
            bits = bits << 8 |
                   (i + j < data.size() ? (unsigned char)data[i + j] : 0u);
        }
        for (size_t j = 0; j < 4; j++) {
            out +=
                i + j <= data.size() ? digits[bits >> (18 - 6 * j) & 63] : '=';
        }
    }
    return out;
}

// A call that is the duty of one node at a time, in the order of arrival.
struct DutyCall {
    int64_t at;
    std::string path;
    std::string holder;
    long fence;
    std::string body;
};

class Platform {
  public:
    // "fenced": calls with a lower fencing token are refused (RequireFence).
    explicit Platform(bool fenced = true)
        : fenced_(fenced),
          server_("127.0.0.1", [this](Stream *stream, Message *request) {
              return Serve(stream, request);
          })
    {
    }

    std::string
    Url() const
    {
        return server_.Url();
    }

    int
    Port() const
    {
        return server_.Port();
    }

    std::vector<DutyCall>
    Calls()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return calls_;
    }

    // What the operator and the replicas write.
    void
    Put(const std::string &topic, const std::string &key,
        const std::string &value)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        topics_[topic].push_back(std::string(1, (char)key.size()) + key +
                                 value);
        changed_.notify_all();
    }

  private:
    static std::string
    Query(const std::string &target, const std::string &name)
    {
        size_t at = target.find('?');
        while (at != std::string::npos) {
            at++;
            size_t end = target.find('&', at);
            std::string pair =
                target.substr(at, end == std::string::npos ? end : end - at);
            if (pair.compare(0, name.size() + 1, name + "=") == 0) {
                return pair.substr(name.size() + 1);
            }
            at = end;
        }
        return "";
    }

    static std::string
    BigEndian(uint64_t number, int bytes)
    {
        std::string out;
        for (int i = bytes - 1; i >= 0; i--) {
            out += (char)(number >> (8 * i));
        }
        return out;
    }

    std::string
    ReadLog(const std::string &target)
    {
        size_t from = strtoul(Query(target, "From").c_str(), nullptr, 10);
        long wait = strtol(Query(target, "WaitMs").c_str(), nullptr, 10);
        std::unique_lock<std::mutex> lock(mutex_);
        std::vector<std::string> &log = topics_[Query(target, "Topic")];
        changed_.wait_for(lock, std::chrono::milliseconds(wait),
                          [&] { return log.size() > from; });
        std::string body = BigEndian(log.size(), 8) + BigEndian(0, 8);
        for (size_t i = from; i < log.size(); i++) {
            body += BigEndian(log[i].size(), 4) + log[i];
        }
        return Answer(200, "OK", "", body);
    }

    std::string
    Append(const Message &request)
    {
        std::string at = Query(request.Target(), "At");
        std::lock_guard<std::mutex> lock(mutex_);
        std::vector<std::string> &log =
            topics_[Query(request.Target(), "Topic")];
        if (!at.empty() && strtoul(at.c_str(), nullptr, 10) != log.size()) {
            return Answer(412, "Precondition Failed", "",
                          "{\"End\":" + std::to_string(log.size()) + "}");
        }
        size_t offset = log.size();
        const std::string &body = request.body;
        for (size_t i = 0; i + 4 <= body.size();) {
            size_t len = 0;
            for (size_t j = 0; j < 4; j++) {
                len = len << 8 | (unsigned char)body[i + j];
            }
            log.push_back(body.substr(i + 4, len));
            i += 4 + len;
        }
        changed_.notify_all();
        return Answer(200, "OK", "Content-Type: application/json\r\n",
                      "{\"Offset\":" + std::to_string(offset) +
                          ",\"End\":" + std::to_string(log.size()) + "}");
    }

    std::string
    Newest(const std::string &target)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        std::vector<std::string> &log = topics_[Query(target, "Topic")];
        std::map<std::string, size_t> newest;
        for (size_t i = 0; i < log.size(); i++) {
            newest[log[i].substr(1, (unsigned char)log[i][0])] = i;
        }
        std::string items;
        for (const auto &entry : newest) {
            std::string value =
                log[entry.second].substr(1 + entry.first.size());
            if (!value.empty()) {
                items += std::string(items.empty() ? "" : ",") +
                         "{\"Key\":\"" + entry.first + "\",\"Value\":\"" +
                         Base64(value) +
                         "\",\"Offset\":" + std::to_string(entry.second) + "}";
            }
        }
        return Answer(200, "OK", "Content-Type: application/json\r\n",
                      "{\"Items\":[" + items + "],\"Truncated\":false," +
                          "\"End\":" + std::to_string(log.size()) + "}");
    }

    std::string
    Duty(const Message &request)
    {
        long fence = atol(request.Field("x-fence-token").c_str());
        std::lock_guard<std::mutex> lock(mutex_);
        calls_.push_back({NowMs(), request.Target(),
                          request.Field("x-duty-holder"), fence,
                          request.body});
        if (fenced_ && fence < fence_) {
            return Answer(409, "Conflict", "", "");
        }
        fence_ = std::max(fence, fence_);
        return Answer(200, "OK", "", "");
    }

    bool
    Serve(Stream *stream, Message *request)
    {
        std::string target = request->Target();
        std::string path = target.substr(0, target.find('?'));
        SleepMs(4);
        if (path == "/v1/log-read") {
            return stream->Write(ReadLog(target));
        }
        if (path == "/v1/log-append") {
            return stream->Write(Append(*request));
        }
        if (path == "/v1/log-newest") {
            return stream->Write(Newest(target));
        }
        if (path == "/usage" || path == "/scale") {
            return stream->Write(Duty(*request));
        }
        return stream->Write(Answer(404, "Not Found", "", ""));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<std::string>> topics_;
    bool fenced_;
    long fence_ = 0;
    std::vector<DutyCall> calls_;
    Server server_;
};

// A proxy that can hold what it gets next for some time.
class Proxy {
  public:
    explicit Proxy(int to_port) : to_port_(to_port)
    {
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        struct sockaddr_in at = Address("127.0.0.1", 0);
        socklen_t len = sizeof(at);
        if (bind(fd_, (struct sockaddr *)&at, sizeof(at)) != 0 ||
            listen(fd_, 64) != 0 ||
            getsockname(fd_, (struct sockaddr *)&at, &len) != 0) {
            exit(NOT_RUN);
        }
        port_ = ntohs(at.sin_port);
        std::thread([this] { Accept(); }).detach();
    }

    std::string
    Url() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

    // Holds the next bytes of a client for that long.
    void
    HoldNext(int ms)
    {
        hold_ms_ = ms;
    }

    // Whether bytes are held now, or have been since HoldNext().
    bool
    HasBegunToHold() const
    {
        return hold_ms_ == 0;
    }

  private:
    void
    Accept()
    {
        for (;;) {
            int near = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            int far = near < 0 ? -1 : Connect("127.0.0.1", to_port_);
            if (near < 0 || far < 0) {
                continue;
            }
            std::thread([this, near, far] { Pump(near, far, true); }).detach();
            std::thread([this, near, far] {
                Pump(far, near, false);
            }).detach();
        }
    }

    void
    Pump(int from, int to, bool may_hold)
    {
        char data[16384];
        ssize_t n;
        while ((n = recv(from, data, sizeof(data), 0)) > 0) {
            int hold = may_hold ? hold_ms_.exchange(0) : 0;
            SleepMs(hold);
            if (send(to, data, (size_t)n, MSG_NOSIGNAL) != n) {
                break;
            }
        }
        shutdown(to, SHUT_WR);
    }

    int to_port_;
    int fd_;
    int port_;
    std::atomic<int> hold_ms_{0};
};

// ---- replicas

// A replica's answer to one request.
struct Reply {
    int status = 200;
    std::string reason = "OK";
    std::string fields; // besides the echo and the seal
    std::string body = "done";
    bool runs = true;
    bool sealed = true;
    int work_ms = 20;
};

class Replica {
  public:
    using Decide = std::function<Reply(const Message &)>;

    Replica(const std::string &id, const std::string &service, Record *record,
            Decide decide)
        : id_(id), service_(service), record_(record), decide_(decide),
          server_("127.0.0.1", [this](Stream *stream, Message *request) {
              return Serve(stream, request);
          })
    {
    }

    // Registers in the store and goes on doing so every heartbeat.
    void
    Register(Platform *platform)
    {
        std::thread([this, platform] {
            for (int sequence = 1;; sequence++) {
                platform->Put("keyed.servers", id_,
                              "{\"Service\":\"" + service_ + "\",\"Addr\":\"" +
                                  server_.Url() +
                                  "\",\"Zone\":\"zone-a\",\"Version\":\"v1\","
                                  "\"Slots\":6,\"State\":\"ready\","
                                  "\"ColdLeftMs\":0,\"Sequence\":" +
                                  std::to_string(sequence) + "}");
                SleepMs(1200);
            }
        }).detach();
    }

    // Requests that were run, in their order.
    std::vector<Message>
    Runs()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return runs_;
    }

    std::string
    Id() const
    {
        return id_;
    }

  private:
    bool
    Serve(Stream *stream, Message *request)
    {
        if (!request->problem.empty()) {
            record_->Line("replica %s answers 400 and runs nothing: %s",
                          id_.c_str(), request->problem.c_str());
            stream->Write(Answer(400, "Bad Request",
                                 "X-Not-Executed: 1\r\nConnection: close\r\n",
                                 ""));
            return false;
        }
        if (!request->whole) {
            return false;
        }
        if (request->Target() == "/healthz") {
            return stream->Write(
                Answer(200, "OK", "X-Replica-Id: " + id_ + "\r\n", ""));
        }
        std::string id = request->Field("x-request-id");
        if (id.empty()) {
            return stream->Write(
                Answer(400, "Bad Request", "X-Not-Executed: 1\r\n", ""));
        }
        std::string echo = "X-Request-Id: " + id + "\r\n";
        std::string expected = request->Field("x-expect-replica");
        if (request->Has("x-expect-replica") && expected != id_) {
            return stream->Write(Answer(421, "Misdirected Request",
                                        echo + "X-Replica-Id: " + id_ + "\r\n",
                                        ""));
        }
        Reply reply = decide_(*request);
        if (reply.runs) {
            std::lock_guard<std::mutex> lock(mutex_);
            runs_.push_back(*request);
        }
        SleepMs(reply.work_ms);
        if (reply.sealed) {
            echo += "X-Replica-Seal: seal." + id_ + "." + id + "\r\n";
        }
        record_->Line("replica %s %s %s: %s %s, %zu bytes of body, tenant "
                      "'%s'; answers %d%s",
                      id_.c_str(), reply.runs ? "runs" : "does not run",
                      id.c_str(), request->Method().c_str(),
                      request->Target().c_str(), request->body.size(),
                      request->Field("x-tenant").c_str(), reply.status,
                      reply.fields.find("X-Not-Executed") == std::string::npos
                          ? ""
                          : " with X-Not-Executed");
        return stream->Write(Answer(reply.status, reply.reason,
                                    echo + reply.fields, reply.body));
    }

    std::string id_;
    std::string service_;
    Record *record_;
    Decide decide_;
    std::mutex mutex_;
    std::vector<Message> runs_;
    Server server_;
};

// ---- the daemons

// Ports that are free at all addresses in use; a daemon takes six of them.
inline int
FreePorts()
{
    int first = 20000 + (int)(getpid() % 1000) * 30;
    for (int tries = 0; tries < 200; tries++, first += 7) {
        bool free = true;
        for (int port = first; port < first + 6 && free; port++) {
            for (const char *ip : {"127.0.0.2", "127.0.0.3", "127.0.0.4"}) {
                for (int type : {SOCK_STREAM, SOCK_DGRAM}) {
                    int fd = socket(AF_INET, type, 0);
                    struct sockaddr_in at = Address(ip, port);
                    free &= bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0;
                    close(fd);
                }
            }
        }
        if (free) {
            return first;
        }
    }
    exit(NOT_RUN);
}

// Three entry hosts of one zone.
class Daemons {
  public:
    static const int COUNT = 3;

    // "cloud" is the address of the calls that are duties; empty: the store's.
    Daemons(const Platform &platform, const std::string &program,
            const std::string &folder, Record *record,
            const std::string &cloud = "")
        : program_(program), folder_(folder), record_(record),
          ports_(FreePorts()), store_(platform.Url()),
          cloud_(cloud.empty() ? store_ : cloud)
    {
        for (int i = 0; i < COUNT; i++) {
            pids_[i] = -1;
            Start(i);
        }
    }

    ~Daemons()
    {
        Stop();
    }

    // Ends all processes that are left.
    void
    Stop()
    {
        for (int i = 0; i < COUNT; i++) {
            if (pids_[i] > 0) {
                kill(pids_[i], SIGKILL);
                waitpid(pids_[i], nullptr, 0);
                pids_[i] = -1;
            }
        }
    }

    std::string
    Ip(int i) const
    {
        return "127.0.0." + std::to_string(2 + i);
    }

    int
    FrontPort() const
    {
        return ports_ + 4;
    }

    // Waits until all are ready; false if one is not in time.
    bool
    WaitReady()
    {
        for (int i = 0; i < COUNT; i++) {
            int64_t until = NowMs() + 15000;
            while (!IsReady(i)) {
                if (NowMs() > until) {
                    record_->Line("daemon %d is not ready", i);
                    return false;
                }
                SleepMs(50);
            }
        }
        SleepMs(1500);
        return true;
    }

    // GET /v1/readyz, as the platform asks.
    bool
    IsReady(int i)
    {
        Stream stream(Connect(Ip(i), ports_ + 5));
        Message answer;
        return stream.Open() &&
               stream.Write(
                   "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
               stream.ReadAnswer(&answer, 1000) && answer.Status() == 200;
    }

    void
    Signal(int i, int number)
    {
        kill(pids_[i], number);
    }

    // Whether the process has ended by now.
    bool
    HasEnded(int i)
    {
        if (pids_[i] > 0 && waitpid(pids_[i], nullptr, WNOHANG) == pids_[i]) {
            pids_[i] = -1;
        }
        return pids_[i] < 0;
    }

  private:
    // As the platform fills in the template, with the figures of its example.
    std::string
    Settings(int i) const
    {
        std::string ip = Ip(i);
        std::string first = std::to_string(ports_);
        return "{\"name\":\"front-" + std::to_string(i + 1) + "\",\"ip\":\"" +
               ip +
               "\",\"zone\":\"zone-a\",\"regions\":{\"zone-a\":\"here\"}," +
               "\"callers\":\"" + ip + ":" + std::to_string(ports_ + 4) +
               "\",\"ready\":\"" + ip + ":" + std::to_string(ports_ + 5) +
               "\",\"ports\":[" + first + "," + std::to_string(ports_ + 3) +
               "],\"metrics_port\":" + std::to_string(ports_ + 3) +
               ",\"seeds\":[],\"first_start\":true,\"store\":\"" + store_ +
               "\",\"cloud\":\"" + cloud_ +
               "\",\"duties\":[\"usage_report\",\"autoscale\"]," +
               "\"max_fds\":4100,\"memory_mb\":260,\"link_mbps\":1000.0," +
               "\"heartbeat_ms\":1200,\"drain_ms\":2000," +
               "\"config_apply_ms\":2000,\"grace_s\":8,\"retry_ratio\":0.2," +
               "\"retry_window_s\":10,\"retry_extra\":54," +
               "\"quota_window_s\":8,\"quota_slack\":140000," +
               "\"lease_ms\":3000,\"usage_window_s\":5,\"usage_late_s\":10}";
    }

    // All that needs memory is done before the fork: other threads run.
    void
    Start(int i)
    {
        std::string path = folder_ + "/node-" + std::to_string(i) + ".json";
        std::ofstream(path) << Settings(i);
        std::string log = folder_ + "/daemon-" + std::to_string(i) + ".log";
        int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        std::string file = "CORNELGATE_NODE_FILE=" + path;
        std::string search = std::string("PATH=") + Variable("PATH", "");
        char *const arguments[] = {&program_[0], nullptr};
        char *const environment[] = {&file[0], &search[0], nullptr};
        pids_[i] = fork();
        if (pids_[i] == 0) {
            // The daemon ends with the case, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            execve(arguments[0], arguments, environment);
            _exit(NOT_RUN);
        }
        close(out);
    }

    std::string program_;
    std::string folder_;
    Record *record_;
    int ports_;
    std::string store_;
    std::string cloud_;
    pid_t pids_[COUNT];
};

// ---- the configuration

struct Route {
    std::string name;
    std::string kind; // safe, unsafe or streaming
    int attempts = 1;
    int timeout_ms = 10000;
    int slo_ms = 300;
};

const char *const HOST = "shop.example";
const char *const SERVICE = "orders";
const char *const KEY = "i9n73hh2b9wu3fexd9dn";
const char *const TENANT = "hule930";

inline void
Configure(Platform *platform, const std::vector<Route> &routes)
{
    std::string list;
    for (const Route &route : routes) {
        list += std::string(list.empty() ? "" : ",") + "{\"Name\":\"" +
                route.name + "\",\"Host\":\"" + HOST +
                "\",\"PathPrefix\":\"/" + route.name + "/\",\"Kind\":\"" +
                route.kind +
                "\",\"TimeoutMs\":" + std::to_string(route.timeout_ms) +
                ",\"SloMs\":" + std::to_string(route.slo_ms) +
                ",\"Priority\":2,\"Service\":\"" + SERVICE +
                "\",\"MaxAttempts\":" + std::to_string(route.attempts) +
                ",\"Public\":false}";
    }
    platform->Put(
        "keyed.op", "config",
        "{\"Version\":7,\"Routes\":[" + list + "],\"Services\":[{\"Name\":\"" +
            SERVICE +
            "\",\"HealthPath\":\"/healthz\",\"MaxConns\":100,"
            "\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{"
            "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
            "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            "\"Tenants\":[{\"Name\":\"" +
            TENANT + "\",\"ApiKeys\":[\"" + KEY +
            "\"],\"Priority\":1,\"Unit\":\"tokens\",\"PlainTokens\":200,"
            "\"RatePerS\":172977,\"Burst\":172977}]}");
}

// The fields that a client sends with each request.
inline std::string
ClientFields(const std::string &id, int deadline_ms)
{
    return std::string("Host: ") + HOST + "\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nApi-Key: " + KEY + "\r\n";
}

// ---- the frame of a case

// What a case is run with: the environment of run.sh.
struct Setup {
    bool trouble;
    std::string program;
    std::string folder;
    Record record;

    Setup()
        : trouble(strcmp(Variable("TROUBLE", "1"), "0") != 0),
          program(Variable("PROGRAM", "target/cornelgate")),
          folder(Variable("FOLDER", "/tmp")),
          record(Variable("RECORD", "record.txt"))
    {
        signal(SIGPIPE, SIG_IGN);
        // Whatever happens, the case ends in time.
        alarm(110);
    }
};

} // namespace lab

#endif
