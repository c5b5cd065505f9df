// Stand-ins for one small deployment, and the processes of the system itself:
// the platform's store and cloud API, replicas, and clients.  Everything
// listens on loopback addresses.  The store, the replicas and the clients are
// threads of the case's own process; each host of the system is a process.
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

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
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lab {

// ---------------------------------------------------------------- time, text

inline int64_t
NowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline void
SleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::string
Text(const char *format, ...)
{
    char out[4096];
    va_list args;
    va_start(args, format);
    vsnprintf(out, sizeof(out), format, args);
    va_end(args);
    return out;
}

// The record of a run: what was sent, answered and run, with milliseconds
// since the start.
class Record {
  public:
    explicit Record(const std::string &path)
        : out_(path, std::ios::trunc), start_(NowMs())
    {
    }

    void
    Line(const std::string &text)
    {
        std::lock_guard<std::mutex> hold(mutex_);
        out_ << Text("%8.3f ", (NowMs() - start_) / 1000.0) << text << "\n"
             << std::flush;
    }

  private:
    std::mutex mutex_;
    std::ofstream out_;
    int64_t start_;
};

inline std::string
Lower(std::string text)
{
    for (char &c : text) {
        c = static_cast<char>(tolower(c));
    }
    return text;
}

// ------------------------------------------------------------------- sockets

inline sockaddr_in
Address(const std::string &ip, int port)
{
    sockaddr_in at = {};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    return at;
}

// Listens on a free port of an address, or on the port given.
inline int
Listen(const std::string &ip, int *port, int backlog = 512)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in at = Address(ip, *port);
    if (bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof(at)) != 0 ||
        listen(fd, backlog) != 0) {
        close(fd);
        return -1;
    }
    socklen_t len = sizeof(at);
    getsockname(fd, reinterpret_cast<sockaddr *>(&at), &len);
    *port = ntohs(at.sin_port);
    return fd;
}

// Returns a connected socket, or -1.
inline int
Connect(const std::string &ip, int port, int timeout_ms)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in at = Address(ip, port);
    int rc = connect(fd, reinterpret_cast<sockaddr *>(&at), sizeof(at));
    if (rc != 0 && errno == EINPROGRESS) {
        pollfd wait = {fd, POLLOUT, 0};
        int error = ETIMEDOUT;
        socklen_t len = sizeof(error);
        if (poll(&wait, 1, timeout_ms) == 1) {
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len);
        }
        rc = error == 0 ? 0 : -1;
    }
    if (rc != 0) {
        close(fd);
        return -1;
    }
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

inline bool
SendAll(int fd, const std::string &data)
{
    size_t at = 0;
    while (at < data.size()) {
        ssize_t n = send(fd, data.data() + at, data.size() - at, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        at += static_cast<size_t>(n);
    }
    return true;
}

// Reads what is there, within a time: bytes, 0 at the end of the connection,
// -1 when it was reset, -2 when nothing came in time.
inline ssize_t
ReadSome(int fd, std::string *to, int64_t timeout_ms)
{
    pollfd wait = {fd, POLLIN, 0};
    if (timeout_ms < 0 || poll(&wait, 1, static_cast<int>(timeout_ms)) != 1) {
        return -2;
    }
    char data[65536];
    ssize_t n = recv(fd, data, sizeof(data), 0);
    if (n > 0) {
        to->append(data, static_cast<size_t>(n));
    }
    return n < 0 ? -1 : n;
}

// ------------------------------------------------------------ HTTP messages

using Fields = std::map<std::string, std::string>; // names in lower case

struct Request {
    std::string method;
    std::string target;
    Fields fields;
    std::string body;

    std::string
    Field(const std::string &name) const
    {
        auto at = fields.find(name);
        return at == fields.end() ? "" : at->second;
    }
};

inline Fields
ParseFields(const std::string &head)
{
    Fields fields;
    size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
        size_t end = head.find("\r\n", at + 2);
        std::string line = head.substr(at + 2, end - at - 2);
        size_t colon = line.find(':');
        if (colon != std::string::npos) {
            size_t value = line.find_first_not_of(' ', colon + 1);
            fields[Lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
        at = end;
    }
    return fields;
}

// One connection of a server.
struct Connection {
    int fd = -1;
    std::string unread;
    std::atomic<bool> *stop = nullptr;

    // Reads the next request; false at the end of the connection.
    bool
    Next(Request *out)
    {
        size_t end;
        while ((end = unread.find("\r\n\r\n")) == std::string::npos) {
            if (!More()) {
                return false;
            }
        }
        std::string head = unread.substr(0, end + 2);
        unread.erase(0, end + 4);
        size_t first = head.find(' ');
        size_t second = head.find(' ', first + 1);
        out->method = head.substr(0, first);
        out->target = head.substr(first + 1, second - first - 1);
        out->fields = ParseFields(head);
        size_t length =
            static_cast<size_t>(atol(out->Field("content-length").c_str()));
        while (unread.size() < length) {
            if (!More()) {
                return false;
            }
        }
        out->body = unread.substr(0, length);
        unread.erase(0, length);
        return true;
    }

    bool
    Send(const std::string &data) const
    {
        return SendAll(fd, data);
    }

    // Whether the caller has closed or reset the connection.
    bool
    Gone() const
    {
        pollfd wait = {fd, POLLIN, 0};
        char byte;
        return poll(&wait, 1, 0) == 1 &&
               recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    }

    bool
    Reply(int status, const std::string &fields, const std::string &body) const
    {
        return Send(Text("HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n",
                         status, fields.c_str(), body.size()) +
                    body);
    }

  private:
    bool
    More()
    {
        while (!stop->load()) {
            ssize_t n = ReadSome(fd, &unread, 200);
            if (n != -2) {
                return n > 0;
            }
        }
        return false;
    }
};

// A server with a thread for each connection.  The handler returns whether
// the connection is kept.
class Server {
  public:
    using Handler = std::function<bool(Connection &, const Request &)>;

    Server(const std::string &ip, Handler handler, int port = 0)
        : ip_(ip), port_(port), handler_(std::move(handler))
    {
        fd_ = Listen(ip, &port_);
        if (fd_ < 0) {
            fprintf(stderr, "cannot listen on %s\n", ip.c_str());
            exit(2);
        }
        accepter_ = std::thread([this] { Accept(); });
    }

    ~Server()
    {
        stop_ = true;
        accepter_.join();
        while (running_ > 0) {
            SleepMs(10);
        }
        close(fd_);
    }

    std::string
    Url() const
    {
        return ip_ + ":" + std::to_string(port_);
    }

    const std::string &
    ip() const
    {
        return ip_;
    }

    int
    port() const
    {
        return port_;
    }

    // With a full queue of new connections, opening packets are dropped, and
    // their senders send them again after a second or more.
    void
    FillQueue()
    {
        std::lock_guard<std::mutex> hold(accepting_);
        full_ = true;
        listen(fd_, 0);
        filler_ = Connect(ip_, port_, 200);
    }

    void
    EmptyQueue()
    {
        std::lock_guard<std::mutex> hold(accepting_);
        listen(fd_, 512);
        if (filler_ >= 0) {
            close(filler_);
        }
        full_ = false;
    }

  private:
    void
    Accept()
    {
        while (!stop_) {
            pollfd wait = {fd_, POLLIN, 0};
            if (full_ || poll(&wait, 1, 20) != 1) {
                if (full_) {
                    SleepMs(1);
                }
                continue;
            }
            std::lock_guard<std::mutex> hold(accepting_);
            if (full_) {
                continue;
            }
            int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                running_++;
                std::thread([this, fd] { Serve(fd); }).detach();
            }
        }
    }

    void
    Serve(int fd)
    {
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        Connection connection;
        connection.fd = fd;
        connection.stop = &stop_;
        Request request;
        while (connection.Next(&request) && handler_(connection, request)) {
        }
        close(fd);
        running_--;
    }

    std::string ip_;
    int port_;
    Handler handler_;
    int fd_;
    std::atomic<bool> stop_{false};
    std::atomic<bool> full_{false};
    std::mutex accepting_;
    int filler_ = -1;
    std::atomic<int> running_{0};
    std::thread accepter_;
};

// ----------------------------------------------------------------- the store

inline std::string
BigEndian(uint64_t number, int bytes)
{
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        out += static_cast<char>(number >> shift);
    }
    return out;
}

inline std::string
Base64(const std::string &in)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < in.size(); i += 3) {
        uint32_t bits = 0;
        size_t have = std::min<size_t>(3, in.size() - i);
        for (size_t j = 0; j < 3; j++) {
            bits = bits << 8 |
                   (j < have ? static_cast<unsigned char>(in[i + j]) : 0);
        }
        for (size_t j = 0; j < 4; j++) {
            out += j <= have ? digits[bits >> (18 - 6 * j) & 63] : '=';
        }
    }
    return out;
}

// The platform's store (a log with keyed topics) and its cloud API.
class Platform {
  public:
    struct DutyCall {
        std::string path;
        std::string holder;
        long fence;
        std::string body;
        int status;
    };

    explicit Platform(Record *record)
        : record_(record),
          server_("127.0.0.1", [this](Connection &c, const Request &r) {
              return Handle(c, r);
          })
    {
    }

    std::string
    Url() const
    {
        return server_.Url();
    }

    // Writes a record of a keyed topic; an empty value removes the key.
    // Returns when the store has acknowledged it.
    void
    Put(const std::string &topic, const std::string &key,
        const std::string &value)
    {
        std::lock_guard<std::mutex> hold(mutex_);
        topics_[topic].push_back(static_cast<char>(key.size()) + key + value);
        changed_.notify_all();
    }

    std::vector<DutyCall>
    DutyCalls()
    {
        std::lock_guard<std::mutex> hold(mutex_);
        return calls_;
    }

    // While it is down, each call is answered 503: nothing was done.
    std::atomic<bool> down{false};

  private:
    static std::string
    Query(const std::string &target, const std::string &name)
    {
        size_t at = target.find('?');
        while (at != std::string::npos) {
            at++;
            if (target.compare(at, name.size() + 1, name + "=") == 0) {
                at += name.size() + 1;
                return target.substr(at, target.find('&', at) - at);
            }
            at = target.find('&', at);
        }
        return "";
    }

    bool
    Handle(Connection &connection, const Request &request)
    {
        std::string path = request.target.substr(0, request.target.find('?'));
        if (path == "/usage" || path == "/scale") {
            return Duty(connection, request, path);
        }
        if (down) {
            return connection.Reply(503, "", "");
        }
        std::string topic = Query(request.target, "Topic");
        if (path == "/v1/log-append") {
            return Append(connection, request, topic);
        }
        if (path == "/v1/log-read") {
            return Read(connection, request, topic);
        }
        if (path == "/v1/log-newest") {
            return Newest(connection, request, topic);
        }
        return connection.Reply(404, "", "{}");
    }

    bool
    Append(Connection &connection, const Request &request,
           const std::string &topic)
    {
        SleepMs(4); // AppendMs
        std::unique_lock<std::mutex> hold(mutex_);
        std::vector<std::string> &records = topics_[topic];
        std::string at = Query(request.target, "At");
        if (!at.empty() &&
            static_cast<size_t>(atol(at.c_str())) != records.size()) {
            std::string body = Text("{\"End\":%zu}", records.size());
            hold.unlock();
            return connection.Reply(412, kJson, body);
        }
        size_t offset = records.size();
        const std::string &data = request.body;
        for (size_t i = 0; i + 4 <= data.size();) {
            size_t size = 0;
            for (size_t j = 0; j < 4; j++) {
                size = size << 8 | static_cast<unsigned char>(data[i + j]);
            }
            records.push_back(data.substr(i + 4, size));
            i += 4 + size;
        }
        std::string body =
            Text("{\"Offset\":%zu,\"End\":%zu}", offset, records.size());
        changed_.notify_all();
        hold.unlock();
        return connection.Reply(200, kJson, body);
    }

    bool
    Read(Connection &connection, const Request &request,
         const std::string &topic)
    {
        size_t from =
            static_cast<size_t>(atol(Query(request.target, "From").c_str()));
        int64_t until =
            NowMs() + atol(Query(request.target, "WaitMs").c_str());
        std::string body;
        {
            std::unique_lock<std::mutex> hold(mutex_);
            std::vector<std::string> &records = topics_[topic];
            while (records.size() <= from && NowMs() < until) {
                changed_.wait_for(hold, std::chrono::milliseconds(20));
            }
            body = BigEndian(records.size(), 8) + BigEndian(0, 8);
            for (size_t i = from;
                 i < records.size() && body.size() < (1u << 20); i++) {
                body += BigEndian(records[i].size(), 4) + records[i];
            }
        }
        return connection.Reply(200, "", body);
    }

    bool
    Newest(Connection &connection, const Request &request,
           const std::string &topic)
    {
        (void)request;
        std::string items;
        size_t end;
        {
            std::lock_guard<std::mutex> hold(mutex_);
            std::map<std::string, std::pair<size_t, std::string>> newest;
            const std::vector<std::string> &records = topics_[topic];
            for (size_t i = 0; i < records.size(); i++) {
                size_t len = static_cast<unsigned char>(records[i][0]);
                newest[records[i].substr(1, len)] = {
                    i, records[i].substr(1 + len)};
            }
            end = records.size();
            for (const auto &entry : newest) {
                if (entry.second.second.empty()) {
                    continue;
                }
                items += (items.empty() ? "" : ",");
                items += "{\"Key\":\"" + entry.first + "\",\"Value\":\"" +
                         Base64(entry.second.second) + "\",\"Offset\":" +
                         std::to_string(entry.second.first) + "}";
            }
        }
        return connection.Reply(
            200, kJson,
            "{\"Items\":[" + items +
                "],\"Truncated\":false,\"End\":" + std::to_string(end) + "}");
    }

    bool
    Duty(Connection &connection, const Request &request,
         const std::string &path)
    {
        int status = 200;
        {
            std::lock_guard<std::mutex> hold(mutex_);
            long fence = atol(request.Field("x-fence-token").c_str());
            status = fence < fences_[path] ? 409 : 200;
            fences_[path] = std::max(fences_[path], fence);
            calls_.push_back({path, request.Field("x-duty-holder"), fence,
                              request.body, status});
        }
        record_->Line("platform: " + path + " from " +
                      request.Field("x-duty-holder") + " fence " +
                      request.Field("x-fence-token") + " " + request.body +
                      " -> " + std::to_string(status));
        return connection.Reply(status, "", "");
    }

    static constexpr const char *kJson = "Content-Type: application/json\r\n";

    Record *record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<std::string>> topics_;
    std::map<std::string, long> fences_;
    std::vector<DutyCall> calls_;
    Server server_;
};

// ------------------------------------------------------------------ replicas

// A replica's entry in the store, written again with each heartbeat.
class Entry {
  public:
    Entry(Platform *platform, const std::string &id,
          const std::string &service, const std::string &address,
          const std::string &zone, int slots)
        : platform_(platform), id_(id), service_(service), address_(address),
          zone_(zone), slots_(slots), born_(time(nullptr) * 1000L)
    {
        Write();
        beat_ = std::thread([this] {
            for (int i = 1; !stop_; i++) {
                SleepMs(20);
                if (i % 60 == 0) { // HeartbeatMs 1200
                    Write();
                }
            }
        });
    }

    ~Entry()
    {
        stop_ = true;
        beat_.join();
    }

    // "more": further members of the entry, each after a comma.
    void
    Set(const std::string &state, const std::string &more = "")
    {
        {
            std::lock_guard<std::mutex> hold(mutex_);
            state_ = state;
            more_ = more;
        }
        Write();
    }

    const std::string &
    id() const
    {
        return id_;
    }

  private:
    void
    Write()
    {
        std::lock_guard<std::mutex> hold(mutex_);
        platform_->Put("keyed.servers", id_,
                       Text("{\"Service\":\"%s\",\"Addr\":\"%s\",\"Zone\":"
                            "\"%s\",\"Version\":\"v1\",\"Slots\":%d,"
                            "\"State\":\"%s\",\"ColdLeftMs\":0,\"born\":%ld,"
                            "\"Sequence\":%d%s}",
                            service_.c_str(), address_.c_str(), zone_.c_str(),
                            slots_, state_.c_str(), born_, ++sequence_,
                            more_.c_str()));
    }

    Platform *platform_;
    std::string id_, service_, address_, zone_;
    int slots_;
    long born_;
    std::mutex mutex_;
    std::string state_ = "ready";
    std::string more_;
    int sequence_ = 0;
    std::atomic<bool> stop_{false};
    std::thread beat_;
};

// --------------------------------------------------------------------- hosts

// The figures of a small deployment, as the settings' template names them.
inline std::string
SmallBounds()
{
    return "\"max_fds\":4100,\"memory_mb\":260,\"link_mbps\":1000.0,"
           "\"heartbeat_ms\":1200,\"drain_ms\":2000,\"config_apply_ms\":2000,"
           "\"grace_s\":8,\"retry_ratio\":0.2,\"retry_window_s\":10,"
           "\"retry_extra\":54,\"quota_window_s\":8,\"quota_slack\":140000,"
           "\"lease_ms\":3000,\"usage_window_s\":5,\"usage_late_s\":10";
}

// All hosts of a deployment.  Ports are the same on all of them.
class Hosts {
  public:
    Hosts(Platform *platform, Record *record, const std::string &folder)
        : platform_(platform), record_(record), folder_(folder)
    {
        const char *program = getenv("CORNELGATE");
        program_ = program == nullptr ? "target/cornelgate" : program;
        for (int i = 0; i < 5; i++) {
            int port = 0;
            held_.push_back(Listen(Ip(0), &port));
            ports_.push_back(port);
        }
        for (int fd : held_) {
            close(fd);
        }
    }

    ~Hosts()
    {
        for (size_t i = 0; i < pids_.size(); i++) {
            Kill(i);
        }
    }

    std::string
    Ip(size_t i) const
    {
        int network = getpid() % (254 * 256);
        return Text("127.%d.%d.%zu", 1 + network / 256, network % 256, i + 2);
    }

    int
    front_port() const
    {
        return ports_[0];
    }

    size_t
    Add(const std::string &zone, const std::string &zones_json,
        const std::string &bounds = SmallBounds())
    {
        size_t i = pids_.size();
        pids_.push_back(-1);
        zones_.push_back(zone);
        zones_json_.push_back(zones_json);
        bounds_.push_back(bounds);
        Start(i, true);
        return i;
    }

    // Starts a host's process as the deploy file does.
    void
    Start(size_t i, bool first_start = false)
    {
        std::string path = folder_ + "/node-" + std::to_string(i) + ".json";
        std::string seeds;
        for (size_t j = 0; j < 3; j++) {
            seeds += (j == 0 ? "\"" : ",\"") + Ip(j) + ":1\"";
        }
        std::ofstream(path)
            << "{\"name\":\"front-" << zones_[i] << "-" << i << "\",\"ip\":\""
            << Ip(i) << "\",\"zone\":\"" << zones_[i] << "\",\"regions\":{"
            << zones_json_[i] << "},\"callers\":\"" << Ip(i) << ":"
            << ports_[0] << "\",\"ready\":\"" << Ip(i) << ":" << ports_[1]
            << "\",\"ports\":[" << ports_[2] << "," << ports_[2] + 15
            << "],\"metrics_port\":" << ports_[3]
            << ",\"through_port\":" << ports_[4] << ",\"seeds\":[" << seeds
            << "],\"first_start\":" << (first_start ? "true" : "false")
            << ",\"store\":\"" << platform_->Url() << "\",\"cloud\":\""
            << platform_->Url()
            << "\",\"duties\":[\"usage_report\",\"autoscale\"]," << bounds_[i]
            << "}";
        std::string log = folder_ + "/host-" + std::to_string(i) + ".log";
        pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this process
            int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            setenv("CORNELGATE_NODE_FILE", path.c_str(), 1);
            execl(program_.c_str(), program_.c_str(),
                  static_cast<char *>(nullptr));
            _exit(127);
        }
        pids_[i] = pid;
        record_->Line(Text("host %zu started, pid %d", i, pid));
    }

    void
    Signal(size_t i, int number)
    {
        if (pids_[i] > 0) {
            kill(pids_[i], number);
            record_->Line(Text("host %zu: signal %d", i, number));
        }
    }

    // SIGKILL, and waits for the end of the process.
    void
    Kill(size_t i)
    {
        if (pids_[i] > 0) {
            Signal(i, SIGKILL);
            waitpid(pids_[i], nullptr, 0);
            pids_[i] = -1;
        }
    }

    // Whether the process has ended by itself.
    bool
    Ended(size_t i)
    {
        if (pids_[i] > 0 && waitpid(pids_[i], nullptr, WNOHANG) == pids_[i]) {
            pids_[i] = -1;
        }
        return pids_[i] <= 0;
    }

    // As the platform asks: a 200 at the host's Ready address.
    bool
    Ready(size_t i) const
    {
        int fd = Connect(Ip(i), ports_[1], 300);
        if (fd < 0) {
            return false;
        }
        std::string answer;
        SendAll(fd, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        ReadSome(fd, &answer, 500);
        close(fd);
        return answer.compare(0, 12, "HTTP/1.1 200") == 0;
    }

    bool
    WaitReady(int64_t ms = 15000)
    {
        int64_t until = NowMs() + ms;
        for (size_t i = 0; i < pids_.size();) {
            if (Ready(i)) {
                i++;
            }
            else if (NowMs() > until) {
                fprintf(stderr, "host %zu is not ready\n", i);
                return false;
            }
            else {
                SleepMs(50);
            }
        }
        return true;
    }

    size_t
    Count() const
    {
        return pids_.size();
    }

    // Gives each host a share of a core as a quota: it runs at full speed
    // until the quota of a tenth of a second is used up, and then not at all
    // for the rest of it.  To be called in a thread of its own.
    void
    KeepQuota(double share, const std::atomic<bool> *stop)
    {
        const int64_t kPeriodUsec = 100000;
        struct State {
            int64_t used = 0;
            bool stopped = false;
        };
        std::vector<State> states(pids_.size());
        while (!*stop) {
            int64_t end = NowMs() + kPeriodUsec / 1000;
            for (size_t i = 0; i < pids_.size(); i++) {
                if (states[i].stopped) {
                    kill(pids_[i], SIGCONT);
                }
                states[i] = {CpuUsec(i), false};
            }
            while (NowMs() < end) {
                for (size_t i = 0; i < pids_.size(); i++) {
                    int64_t used = CpuUsec(i) - states[i].used;
                    if (!states[i].stopped &&
                        used >= static_cast<int64_t>(share * kPeriodUsec)) {
                        kill(pids_[i], SIGSTOP);
                        states[i].stopped = true;
                    }
                }
                SleepMs(1);
            }
        }
        for (pid_t pid : pids_) {
            kill(pid, SIGCONT);
        }
    }

  private:
    int64_t
    CpuUsec(size_t i) const
    {
        clockid_t clock;
        timespec used = {};
        if (clock_getcpuclockid(pids_[i], &clock) == 0) {
            clock_gettime(clock, &used);
        }
        return used.tv_sec * 1000000 + used.tv_nsec / 1000;
    }

    Platform *platform_;
    Record *record_;
    std::string folder_;
    std::string program_;
    std::vector<int> held_;
    std::vector<int> ports_; // front, ready, peers, metrics, relays
    std::vector<pid_t> pids_;
    std::vector<std::string> zones_, zones_json_, bounds_;
};

// ------------------------------------------------------------------- clients

struct Answer {
    int status = 0; // 0: none
    Fields fields;
    std::string body;      // without the framing
    bool complete = false; // ended as its framing says
    std::string how;       // of an answer that is not complete
    int64_t ms = 0;
};

// Takes whole chunks off "raw"; true after the last one.
inline bool
TakeChunks(std::string *raw, std::string *body)
{
    for (;;) {
        size_t line = raw->find("\r\n");
        if (line == std::string::npos) {
            return false;
        }
        size_t size = strtoul(raw->c_str(), nullptr, 16);
        if (raw->size() < line + 2 + size + 2) {
            return false;
        }
        body->append(*raw, line + 2, size);
        raw->erase(0, line + 2 + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

// Reads one answer from a connection.
inline Answer
ReadAnswer(int fd, int64_t deadline_ms)
{
    Answer answer;
    int64_t start = NowMs();
    std::string raw;
    size_t end;
    ssize_t n = 1;
    while ((end = raw.find("\r\n\r\n")) == std::string::npos && n > 0) {
        n = ReadSome(fd, &raw, start + deadline_ms - NowMs());
    }
    if (end != std::string::npos) {
        answer.status = atoi(raw.c_str() + 9);
        answer.fields = ParseFields(raw.substr(0, end + 2));
        raw.erase(0, end + 4);
    }
    bool chunked = answer.fields.count("transfer-encoding") > 0;
    bool has_length = answer.fields.count("content-length") > 0;
    size_t length = static_cast<size_t>(
        atol(has_length ? answer.fields["content-length"].c_str() : "0"));
    while (answer.status != 0 && !answer.complete) {
        if (chunked) {
            answer.complete = TakeChunks(&raw, &answer.body);
        }
        else {
            answer.body = raw;
            answer.complete = has_length ? raw.size() >= length : n == 0;
        }
        if (answer.complete || n <= 0) {
            break;
        }
        n = ReadSome(fd, &raw, start + deadline_ms - NowMs());
    }
    answer.how = n == -2 ? "deadline" : n == -1 ? "reset" : "closed";
    answer.ms = NowMs() - start;
    return answer;
}

// Sends one request on a new connection and reads its answer.
inline Answer
Call(const std::string &ip, int port, const std::string &request,
     int64_t deadline_ms)
{
    Answer answer;
    answer.how = "no connection";
    int fd = Connect(ip, port, 1000);
    if (fd >= 0) {
        if (SendAll(fd, request)) {
            answer = ReadAnswer(fd, deadline_ms);
        }
        close(fd);
    }
    return answer;
}

// A temporary folder for settings and logs of the hosts.  It is removed at the
// end, unless KEEP is set.
class Folder {
  public:
    Folder()
    {
        char name[] = "/tmp/review-XXXXXX";
        if (mkdtemp(name) == nullptr) {
            perror("mkdtemp");
            exit(2);
        }
        path_ = name;
    }

    ~Folder()
    {
        if (getenv("KEEP") == nullptr) {
            std::error_code error;
            std::filesystem::remove_all(path_, error);
        }
        else {
            printf("logs in %s\n", path_.c_str());
        }
    }

    const std::string &
    path() const
    {
        return path_;
    }

  private:
    std::string path_;
};

inline bool
Trouble()
{
    const char *value = getenv("TROUBLE");
    return value == nullptr || strcmp(value, "0") != 0;
}

// Ends the run: prints and records the verdict, and returns the exit status.
inline int
Verdict(Record *record, bool broken, const std::string &why)
{
    std::string text = (broken ? "BROKEN: " : "held: ") + why;
    record->Line(text);
    printf("%s\n", text.c_str());
    return broken ? 1 : 0;
}

} // namespace lab

#endif
