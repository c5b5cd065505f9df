// Contract tests run against the address in an environment variable, or
// against a stand-in of their own; only a stand-in can be asked for faults.
#ifndef TEST_CONTRACT_H
#define TEST_CONTRACT_H

#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "test/harness.h"

namespace cg {

// What a caller sees of a fault, and whether its request took effect.
struct FaultCase {
    const char *name;
    const char *fault;
    int code;      // 0: no answer at all
    bool complete; // the whole answer came
    bool json;     // and it is JSON
    bool effect;
};

// Names of cases, for the output of a failure.
inline std::string
Describe(const FaultCase &item)
{
    return std::string("fault ") + item.name + ": " + item.fault;
}

template <typename StandinType> class ContractTarget {
  public:
    ContractTarget(const char *variable, std::vector<std::string> args = {})
    {
        const char *address = std::getenv(variable);
        if (address != nullptr) {
            address_ = address;
            return;
        }
        standin_ = std::make_unique<StandinType>(args);
        address_ = standin_->Address();
    }

    const std::string &
    address() const
    {
        return address_;
    }
    // Null when the real system is tested.
    StandinType *
    standin() const
    {
        return standin_.get();
    }
    HttpResult
    Get(const std::string &path) const
    {
        return Http("GET", address_ + path);
    }
    HttpResult
    Post(const std::string &path, const Json &body,
         Millis timeout = Millis(20000)) const
    {
        return Http("POST", address_ + path, {}, body.Dump(), timeout);
    }

  private:
    std::unique_ptr<StandinType> standin_;
    std::string address_;
};

} // namespace cg

#endif
