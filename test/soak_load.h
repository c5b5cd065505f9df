// Callers of the soak: threads that give mixed load to every daemon.
#ifndef TEST_SOAK_LOAD_H
#define TEST_SOAK_LOAD_H

#include <atomic>
#include <thread>
#include <vector>

#include "base/random.h"
#include "test/soak_ledger.h"

namespace cg {

class SoakLoad {
  public:
    SoakLoad(SoakLedger &ledger, std::vector<std::string> urls,
             std::string bearer, uint64_t seed);
    void Start(int threads);
    // Ends once every call has its answer.
    void Stop();

  private:
    void Work(int thread);
    void Complete(struct rn_random *random, const std::string &name);
    void Charge(struct rn_random *random, const std::string &key);
    void ChargeOnce(size_t daemon, const std::string &path);
    void Read(size_t daemon, const std::string &path);
    HttpCall Call(size_t daemon, const std::string &method,
                  const std::string &path, const std::string &body) const;
    SoakCall Begin(SoakKind kind, size_t daemon,
                   const std::string &name) const;
    void End(SoakCall *call, const HttpResult &result);
    size_t AnyDaemon(struct rn_random *random) const;

    SoakLedger &ledger_;
    std::vector<std::string> urls_;
    std::string bearer_;
    uint64_t seed_;
    std::atomic<bool> stop_{false};
    std::vector<std::thread> threads_;
};

} // namespace cg

#endif
