// The stand-ins as objects of a test.
#ifndef TEST_STANDINS_H
#define TEST_STANDINS_H

#include <map>
#include <string>
#include <vector>

#include "test/process.h"

namespace cg {

// What all stand-ins have: an address, faults, an end.
class Standin {
  public:
    Standin(const std::string &program, const std::vector<std::string> &args);

    int Port() const;
    std::string Address() const; // "127.0.0.1:PORT"
    HttpResult Get(const std::string &path) const;
    HttpResult Post(const std::string &path, const Json &body) const;
    // Throws when the stand-in does not take the fault.
    void Fault(const Json &fault) const;
    void Fault(const std::string &json) const;
    void Clear() const;
    int FaultHits() const; // of all faults set since the last Clear()
    Process &
    process()
    {
        return process_;
    }

  private:
    Process process_;
};

class Platform : public Standin {
  public:
    explicit Platform(const std::vector<std::string> &args = {});

    // Appends texts; the offset of the first, 0 when refused.
    long long Append(const std::string &stream,
                     const std::vector<std::string> &texts) const;
    // Everything ever appended, in order.
    std::vector<std::string> Records(const std::string &stream) const;
    void Expire(const std::string &stream, long long oldest) const;
    Json Counts() const;
    void SetHosts(const Json &hosts) const;
    void SetOffers(const Json &offers) const;
    void Notice(const std::string &host, int left_ms) const;
};

// A model engine or a plain service.
class Endpoint : public Standin {
  public:
    explicit Endpoint(const std::vector<std::string> &args = {});

    Json Runs() const; // list of runs
    Json Totals() const;
    long long RunsOfKey(const std::string &key) const;
    void Leave(int left_ms) const;
    // Makes it cold again, without a restart.
    void Cold(int cold_ms) const;
    // It falls over above so many refusals in a second; below 0: no more.
    void Brittle(int most) const;
    // Has the load report name a rate limit; 0: none.
    void RateLimit(double per_sec) const;
    int Falls() const;
};

class Engine : public Endpoint {
  public:
    using Endpoint::Endpoint;
};

class Plain : public Endpoint {
  public:
    explicit Plain(std::vector<std::string> args = {});
};

// A forwarder that spoils what passes.
class FaultProxy : public Standin {
  public:
    FaultProxy(const std::string &to, bool udp = false, int seed = 1);

    int ListenPort();
    std::string ListenAddress();
    Json Counts() const;
};

} // namespace cg

#endif
