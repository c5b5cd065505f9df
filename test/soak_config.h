// Operators of the soak: two publish conflicting changes at once, again and
// again. Each change brings a customer of its own, so that a call with its
// key tells whether it is in force.
#ifndef TEST_SOAK_CONFIG_H
#define TEST_SOAK_CONFIG_H

#include <atomic>
#include <thread>

#include "base/random.h"
#include "test/scene.h"
#include "test/soak_ledger.h"

namespace cg {

// What one daemon answered until a key was accepted; times in seconds since
// the change.
struct SoakAsks {
    int code = 0; // of the last answer, 0: none
    double first = 0;
    double last = 0;
    double took = 0;
    double slowest = 0;
    int count = 0;
    int silent = 0;
};

class SoakConfig {
  public:
    SoakConfig(Scene &scene, SoakLedger &ledger, std::vector<std::string> urls,
               std::string fields, const std::atomic<bool> &log_out);
    void Start();
    void Stop();

    long long published = 0;
    long long lost_races = 0;
    double slowest_sec = 0;
    std::vector<std::string> breaches;

  private:
    void Work();
    void Round(int round);
    std::string Team(const std::string &extra) const;
    int Ask(size_t daemon, const std::string &key) const;
    int AskTimed(size_t daemon, const std::string &key, Instant from,
                 SoakAsks *asks) const;
    std::string WhatIsKnown(size_t daemon, const SoakAsks &asks) const;
    bool InForceEverywhere(const std::string &key);
    void CheckNothingReverted();

    Scene &scene_;
    SoakLedger &ledger_;
    std::vector<std::string> urls_;
    std::vector<std::string> admins_; // a restart keeps its ports
    std::string fields_; // of the service, the same in every change
    const std::atomic<bool> &log_out_;
    std::atomic<bool> stop_{false};
    std::thread thread_;
    std::vector<std::string> accepted_;
    long long base_ = 2; // the team's section of PublishDefaults()
};

} // namespace cg

#endif
