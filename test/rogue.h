// Clients that break the limits: a crowd of connections that send bytes to a
// plan, don't read, and stay open.
#ifndef TEST_ROGUE_H
#define TEST_ROGUE_H

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "test/process.h"

namespace cg {

// What one client sends: "head", then "unit" so many times, then "tail".
struct RoguePlan {
    std::string name;
    std::string head;
    std::string unit;
    size_t units = 0;
    std::string tail;
    bool holds_only = false; // takes little more than a descriptor
};

// Limits that the tests of such clients set, and what must hold within them.
const size_t kRogueMemoryMb = 64;
const size_t kRogueFiles = 512;
const size_t kRogueBodyMax = 1 << 20; // bytes, of the callers' port
// Left for endpoints, peers and the platform.
const size_t kRogueOwnFiles = 64;
const size_t kRogueCrowd = 200;
// More than there are descriptors.
const size_t kRogueMany = 600;

// The kinds of client; "start" is a request line with header fields, each
// ended by CRLF, that the port accepts.
std::vector<RoguePlan> RoguePlans(const std::string &start);
// The plan of that name; throws without it.
RoguePlan RoguePlanOf(const std::string &name, const std::string &start);
// How many clients of that plan make a crowd.
size_t RogueCrowdOf(const RoguePlan &plan);

// Connections that are all open at once.
class RogueCrowd {
  public:
    // "address" is an IP number.
    RogueCrowd(const std::string &address, int port,
               bool many_addresses = false);
    ~RogueCrowd();
    RogueCrowd(const RogueCrowd &) = delete;
    RogueCrowd &operator=(const RogueCrowd &) = delete;

    void Add(const RoguePlan &plan, size_t clients);
    // Sends until each client is done, closed, or none gets on any more.
    void Send();
    // Has each client send these bytes, again and again with pauses.
    void Dribble(const std::string &bytes, int times);
    // Waits until each client has an answer that it could read, or was
    // closed; gives up when that takes too long.
    void AwaitAnswers() const;
    // What the first client has got, once there is something to read.
    std::string AnswerOfFirst() const;
    // Closes all connections.
    void Leave();

  private:
    struct Client {
        int fd = -1;
        size_t plan = 0;
        size_t sent = 0;
        bool closed = false;
    };

    void Connect(Client *client) const;
    bool SendSome(Client *client) const;
    bool Wants(const Client &client) const;

    std::string address_;
    int port_;
    bool many_addresses_;
    std::vector<RoguePlan> plans_;
    std::vector<Client> clients_;
};

// What a daemon takes, from here on until the check.
class RogueBounds {
  public:
    explicit RogueBounds(Process &daemon);
    ~RogueBounds();
    RogueBounds(const RogueBounds &) = delete;
    RogueBounds &operator=(const RogueBounds &) = delete;

    // Checks that the daemon lives and has stayed within its machine.
    void Check() const;

  private:
    void WatchFiles();

    Process &daemon_;
    long before_;
    std::atomic<size_t> most_files_{0};
    std::atomic<long> most_memory_{0}; // with the sockets' queues, kilobytes
    std::atomic<bool> over_{false};
    std::thread watcher_;
};

// A port, and how a request at it begins.
struct RoguePort {
    int port;
    std::string start;
};

// A daemon that meets crowds.
class RogueFixture : public testing::Test {
  protected:
    virtual Process &Target() = 0;
    virtual std::string Address() = 0;
    // A caller in order, and the readiness check: asked again and again, until
    // there is an answer or the daemon has ended.
    virtual bool CallerIsServed() = 0;
    virtual bool AnswersReady() = 0;

    // A crowd of the plans at one port, and callers before and after it left.
    void Meet(int port, const std::vector<RoguePlan> &plans,
              bool awaits_answers = false);
    // Clients of all kinds at each of the ports at once.
    void MeetAll(const std::vector<RoguePort> &ports);
    // Several crowds, one after the other.
    void MeetInTurn(const RoguePort &at, int times);
    // Clients of which each goes on by a byte now and then.
    void MeetDribble(int port, const RoguePlan &plan);
    // Clients that each have an address of their own.
    void MeetManyAddresses(int port, const std::vector<RoguePlan> &plans);
};

// The names of all kinds.
std::vector<std::string> RogueNames();

// Limits of a daemon's process in these tests.
void LimitRogueTarget(ProcessOptions *options);

// Ports on which the process listens.
std::vector<int> ListeningPorts(const Process &process);

} // namespace cg

#endif
