#include "test/rogue.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>

namespace cg {

namespace {

const size_t kSendBytes = 64 << 10;
const size_t kFarBytes = 4 * kRogueBodyMax;
const size_t kLargeChunk = 64 << 10;
// What a daemon that breaks its bound may take of the test's machine.
const size_t kDataMax = size_t(2) << 30;
const unsigned kSeed = 68;
const Millis kDribbleInterval(100);
const int kDribbles = 20;
const int kReceiveBytes = 4096;
const Millis kWatchInterval(2);
const uint32_t kFirstAddress = 0x7f7f0001; // 127.127.0.1
const int kPollMillis = 100;
// A crowd of which nobody gets on for so many polls is done.
const int kStalledPolls = 15;
// An end to a crowd that gets on for ever.
const int kPollsMax = 100000;

#if defined(__SANITIZE_ADDRESS__)
const bool kSanitized = true;
#else
const bool kSanitized = false;
#endif

std::string
Chunk(size_t len)
{
    char size[32];
    snprintf(size, sizeof(size), "%zx\r\n", len);
    return size + std::string(len, 'x') + "\r\n";
}

// All but the last byte.
std::string
ButTheEnd(const std::string &text)
{
    return text.substr(0, text.size() - 1);
}

size_t
Total(const RoguePlan &plan)
{
    return plan.head.size() + plan.unit.size() * plan.units + plan.tail.size();
}

// Bytes of the plan from "at" on, at most kSendBytes.
std::string
Slice(const RoguePlan &plan, size_t at)
{
    std::string out;
    if (at < plan.head.size()) {
        return plan.head.substr(at, kSendBytes);
    }
    at -= plan.head.size();
    size_t filler = plan.unit.size() * plan.units;
    if (at >= filler) {
        return plan.tail.substr(at - filler, kSendBytes);
    }
    size_t left = filler - at;
    size_t skip = at % plan.unit.size();
    while (out.size() < kSendBytes && left > 0) {
        size_t take = std::min(plan.unit.size() - skip, left);
        out.append(plan.unit, skip, take);
        left -= take;
        skip = 0;
    }
    return out;
}

std::set<std::string>
SocketsOf(pid_t pid)
{
    std::set<std::string> found;
    std::string folder = "/proc/" + std::to_string(pid) + "/fd/";
    DIR *dir = opendir(folder.c_str());
    struct dirent *entry;
    while (dir != nullptr && (entry = readdir(dir)) != nullptr) {
        char target[64] = "";
        if (readlink((folder + entry->d_name).c_str(), target,
                     sizeof(target) - 1) > 0) {
            found.insert(target);
        }
    }
    if (dir != nullptr) {
        closedir(dir);
    }
    return found;
}

// A TCP socket of a process, as the kernel lists it.
struct ListedSocket {
    int port = 0; // local
    bool listening = false;
    long queued = 0; // bytes
};

std::vector<ListedSocket>
ListSockets(pid_t pid)
{
    const std::string listening = "0A";
    std::vector<ListedSocket> list;
    std::set<std::string> inodes = SocketsOf(pid);
    std::ifstream table("/proc/" + std::to_string(pid) + "/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number, local, remote, state, queues, skipped, inode;
        fields >> number >> local >> remote >> state >> queues;
        for (int i = 0; i < 4; i++) {
            fields >> skipped;
        }
        fields >> inode;
        if (inodes.count("socket:[" + inode + "]") == 0) {
            continue;
        }
        ListedSocket socket;
        socket.port =
            std::stoi(local.substr(local.find(':') + 1), nullptr, 16);
        socket.listening = state == listening;
        size_t colon = queues.find(':');
        socket.queued = std::stol(queues.substr(0, colon), nullptr, 16) +
                        std::stol(queues.substr(colon + 1), nullptr, 16);
        list.push_back(socket);
    }
    return list;
}

long
QueuedKilobytes(pid_t pid)
{
    long sum = 0;
    for (const ListedSocket &socket : ListSockets(pid)) {
        sum += socket.listening ? 0 : socket.queued;
    }
    return sum >> 10;
}

} // namespace

std::vector<RoguePlan>
RoguePlans(const std::string &start)
{
    const std::string end = "\r\n";
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
    auto announced = [&](size_t len) {
        return start + "Content-Length: " + std::to_string(len) + "\r\n\r\n";
    };
    const size_t larges = kRogueBodyMax / kLargeChunk - 1;
    const std::string last = "0\r\n\r\n";
    return {
        {"LargeChunksShort", chunked, Chunk(kLargeChunk), larges,
         ButTheEnd(Chunk(kLargeChunk))},
        {"LargeChunksWhole", chunked, Chunk(kLargeChunk), larges, last},
        {"SmallChunksShort", chunked, Chunk(8), kRogueBodyMax / 16,
         ButTheEnd(last)},
        {"SmallChunksWhole", chunked, Chunk(8), kRogueBodyMax / 16, last},
        {"ByteChunksShort", chunked, Chunk(1), kLargeChunk / 2,
         ButTheEnd(last)},
        {"LengthShort", announced(kRogueBodyMax), std::string(1023, 'x'),
         kRogueBodyMax / 1024, ""},
        {"LengthWhole", announced(kRogueBodyMax), std::string(1024, 'x'),
         kRogueBodyMax / 1024, ""},
        {"FarAnnounced", announced(size_t(1) << 30), std::string(1024, 'x'),
         kFarBytes / 1024, ""},
        {"FarSent", chunked, Chunk(kLargeChunk), kFarBytes / kLargeChunk, ""},
        {"FarSentSmall", chunked, Chunk(8), kFarBytes / 16, ""},
        {"FarAnnouncedInManyDigits",
         start + "Content-Length: 1000000000000000\r\n\r\n",
         std::string(1024, 'x'), kFarBytes / 1024, ""},
        {"BodyStalled", announced(1000) + "x", "", 0, "", true},
        {"ExpectSilent",
         start + "Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n", "", 0,
         "", true},
        {"EmptyLines", "", "\r\n", kFarBytes / 2, ""},
        {"ChunkSizeEndless", chunked + "8;", std::string(1024, 'x'),
         kFarBytes / 1024, ""},
        {"HeadShort", start, "", 0, end.substr(0, 1), true},
        {"HeadEndless", start + "X-Pad: ", std::string(1024, 'x'),
         kFarBytes / 1024, ""},
        {"BehindARequest", start + "Content-Length: 0\r\n\r\n",
         announced(64) + std::string(64, 'x'), kRogueBodyMax / 256, ""},
        {"Silent", "", "", 0, "", true},
    };
}

RoguePlan
RoguePlanOf(const std::string &name, const std::string &start)
{
    for (const RoguePlan &plan : RoguePlans(start)) {
        if (plan.name == name) {
            return plan;
        }
    }
    throw std::runtime_error("no plan " + name);
}

size_t
RogueCrowdOf(const RoguePlan &plan)
{
    return plan.holds_only ? kRogueMany : kRogueCrowd;
}

RogueCrowd::RogueCrowd(const std::string &address, int port,
                       bool many_addresses)
    : address_(address), port_(port), many_addresses_(many_addresses)
{
    struct rlimit files;
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
    }
}

RogueCrowd::~RogueCrowd()
{
    Leave();
}

void
RogueCrowd::Add(const RoguePlan &plan, size_t clients)
{
    plans_.push_back(plan);
    for (size_t i = 0; i < clients; i++) {
        Client client;
        client.plan = plans_.size() - 1;
        clients_.push_back(client);
    }
}

void
RogueCrowd::Connect(Client *client) const
{
    struct sockaddr_in at = {};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<uint16_t>(port_));
    inet_pton(AF_INET, address_.c_str(), &at.sin_addr);
    client->fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (client->fd < 0) {
        throw std::runtime_error("no descriptor for a client");
    }
    // A crowd of many addresses: each client has its own.
    if (many_addresses_) {
        struct sockaddr_in from = {};
        from.sin_family = AF_INET;
        from.sin_addr.s_addr = htonl(
            kFirstAddress + static_cast<uint32_t>(client - &clients_[0]));
        bind(client->fd, reinterpret_cast<struct sockaddr *>(&from),
             sizeof(from));
    }
    // What it does not read stays with the daemon.
    int least = kReceiveBytes;
    setsockopt(client->fd, SOL_SOCKET, SO_RCVBUF, &least, sizeof(least));
    if (connect(client->fd, reinterpret_cast<struct sockaddr *>(&at),
                sizeof(at)) != 0 &&
        errno != EINPROGRESS) {
        client->closed = true;
    }
}

bool
RogueCrowd::Wants(const Client &client) const
{
    return !client.closed && client.sent < Total(plans_[client.plan]);
}

// Returns whether the client got on.
bool
RogueCrowd::SendSome(Client *client) const
{
    std::string bytes = Slice(plans_[client->plan], client->sent);
    ssize_t n = send(client->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
        client->closed = true;
        return true;
    }
    client->sent += n > 0 ? static_cast<size_t>(n) : 0;
    return n > 0;
}

void
RogueCrowd::Send()
{
    // Clients of all plans in any order.
    std::shuffle(clients_.begin(), clients_.end(), std::mt19937(kSeed));
    for (Client &client : clients_) {
        Connect(&client);
    }
    int stalled = 0;
    for (int polls = 0; polls < kPollsMax && stalled < kStalledPolls;
         polls++) {
        std::vector<struct pollfd> pollers;
        std::vector<Client *> who;
        for (Client &client : clients_) {
            if (Wants(client)) {
                pollers.push_back({client.fd, POLLOUT, 0});
                who.push_back(&client);
            }
        }
        if (pollers.empty()) {
            return;
        }
        bool moved = false;
        if (poll(pollers.data(), pollers.size(), kPollMillis) > 0) {
            for (size_t i = 0; i < pollers.size(); i++) {
                moved |= pollers[i].revents != 0 && SendSome(who[i]);
            }
        }
        stalled = moved ? 0 : stalled + 1;
    }
}

void
RogueCrowd::Dribble(const std::string &bytes, int times)
{
    for (int i = 0; i < times; i++) {
        for (Client &client : clients_) {
            if (!client.closed &&
                send(client.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) <
                    0 &&
                errno != EAGAIN) {
                client.closed = true;
            }
        }
        std::this_thread::sleep_for(kDribbleInterval);
    }
}

std::string
RogueCrowd::AnswerOfFirst() const
{
    char text[1024] = "";
    ssize_t got = -1;
    Eventually([&] {
        got = recv(clients_[0].fd, text, sizeof(text), MSG_DONTWAIT);
        return got >= 0 || errno != EAGAIN;
    });
    return std::string(text, got > 0 ? static_cast<size_t>(got) : 0);
}

void
RogueCrowd::Leave()
{
    for (Client &client : clients_) {
        if (client.fd >= 0) {
            close(client.fd);
        }
        client.fd = -1;
        client.closed = true;
    }
}

void
RogueCrowd::AwaitAnswers() const
{
    Eventually([this] {
        return std::all_of(
            clients_.begin(), clients_.end(), [](const Client &client) {
                struct pollfd poller = {client.fd, POLLIN, 0};
                return client.closed || poll(&poller, 1, 0) != 0;
            });
    });
}

// The runtime of a sanitizer takes memory of its own: only what comes on top
// with the crowd is compared then.
RogueBounds::RogueBounds(Process &daemon)
    : daemon_(daemon), before_(kSanitized ? daemon.RssKilobytes() : 0),
      watcher_([this] { WatchFiles(); })
{
}

RogueBounds::~RogueBounds()
{
    over_ = true;
    watcher_.join();
}

// The kernel notes the most resident memory, but neither what waits in the
// queues of sockets, which is the machine's memory too, nor files.
void
RogueBounds::WatchFiles()
{
    while (!over_) {
        most_files_ = std::max(most_files_.load(), daemon_.OpenFiles());
        most_memory_ = std::max(most_memory_.load(),
                                daemon_.RssKilobytes() +
                                    QueuedKilobytes(daemon_.pid()) - before_);
        std::this_thread::sleep_for(kWatchInterval);
    }
}

void
RogueBounds::Check() const
{
    ASSERT_TRUE(daemon_.Running()) << daemon_.Stderr();
    EXPECT_LE(daemon_.PeakKilobytes() - before_,
              static_cast<long>(kRogueMemoryMb << 10));
    EXPECT_LE(most_memory_, static_cast<long>(kRogueMemoryMb << 10));
    EXPECT_LE(most_files_, kRogueFiles - kRogueOwnFiles);
}

void
RogueFixture::Meet(int port, const std::vector<RoguePlan> &plans,
                   bool awaits_answers)
{
    ASSERT_NE(0, port);
    RogueBounds bounds(Target());
    RogueCrowd crowd(Address(), port);
    for (const RoguePlan &plan : plans) {
        crowd.Add(plan, RogueCrowdOf(plan) / plans.size());
    }
    crowd.Send();
    if (awaits_answers) {
        crowd.AwaitAnswers();
    }
    bounds.Check();
    EXPECT_TRUE(CallerIsServed());
    EXPECT_TRUE(AnswersReady());
    bounds.Check();
    crowd.Leave();
    EXPECT_TRUE(CallerIsServed());
    bounds.Check();
}

void
RogueFixture::MeetAll(const std::vector<RoguePort> &ports)
{
    RogueBounds bounds(Target());
    std::vector<std::unique_ptr<RogueCrowd>> crowds;
    for (const RoguePort &at : ports) {
        crowds.push_back(std::make_unique<RogueCrowd>(Address(), at.port));
        std::vector<RoguePlan> plans = RoguePlans(at.start);
        for (const RoguePlan &plan : plans) {
            crowds.back()->Add(plan, RogueCrowdOf(plan) / plans.size());
        }
        crowds.back()->Send();
    }
    bounds.Check();
    EXPECT_TRUE(CallerIsServed());
    EXPECT_TRUE(AnswersReady());
    for (auto &crowd : crowds) {
        crowd->Leave();
    }
    EXPECT_TRUE(CallerIsServed());
    bounds.Check();
}

void
RogueFixture::MeetInTurn(const RoguePort &at, int times)
{
    const size_t of_each = 8;
    RogueBounds bounds(Target());
    for (int i = 0; i < times; i++) {
        RogueCrowd crowd(Address(), at.port);
        for (const RoguePlan &plan : RoguePlans(at.start)) {
            crowd.Add(plan, of_each);
        }
        crowd.Send();
    }
    EXPECT_TRUE(CallerIsServed());
    bounds.Check();
}

void
RogueFixture::MeetDribble(int port, const RoguePlan &plan)
{
    RogueBounds bounds(Target());
    RogueCrowd crowd(Address(), port);
    crowd.Add(plan, RogueCrowdOf(plan));
    crowd.Send();
    crowd.Dribble("x", kDribbles);
    EXPECT_TRUE(CallerIsServed());
    bounds.Check();
}

void
RogueFixture::MeetManyAddresses(int port, const std::vector<RoguePlan> &plans)
{
    RogueBounds bounds(Target());
    RogueCrowd crowd(Address(), port, true);
    for (const RoguePlan &plan : plans) {
        crowd.Add(plan, RogueCrowdOf(plan));
    }
    crowd.Send();
    EXPECT_TRUE(CallerIsServed());
    bounds.Check();
}

std::vector<std::string>
RogueNames()
{
    std::vector<std::string> names;
    for (const RoguePlan &plan : RoguePlans("")) {
        names.push_back(plan.name);
    }
    return names;
}

void
LimitRogueTarget(ProcessOptions *options)
{
    options->files_max = kRogueFiles;
    if (options->data_max == 0) {
        options->data_max = kDataMax;
    }
    if (kSanitized) {
        options->data_max = 0; // the sanitizer's own memory would count
    }
    // Memory that was freed counts as taken while a sanitizer withholds it.
    options->env["ASAN_OPTIONS"] = "quarantine_size_mb=1:hard_rss_limit_mb=" +
                                   std::to_string(kDataMax >> 20);
}

std::vector<int>
ListeningPorts(const Process &process)
{
    std::vector<int> ports;
    for (const ListedSocket &socket : ListSockets(process.pid())) {
        if (socket.listening) {
            ports.push_back(socket.port);
        }
    }
    return ports;
}

} // namespace cg
