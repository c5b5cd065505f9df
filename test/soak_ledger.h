// What callers of the soak saw and what was done to the system, with times
// of one clock, to be held against the stand-ins' records at the end.
#ifndef TEST_SOAK_LEDGER_H
#define TEST_SOAK_LEDGER_H

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "test/harness.h"

namespace cg {

using Instant = std::chrono::steady_clock::time_point;

enum class SoakKind {
    kCompletion,
    kKeyedCharge,
    kPlainCharge, // without a key
    kRead,
};

// One call and its end.
struct SoakCall {
    SoakKind kind = SoakKind::kRead;
    size_t daemon = 0;
    std::string name; // prompt, key or path
    Instant start;
    Instant end;
    int code = 0;
    bool complete = false;
    std::string error;  // why it is not complete
    int local_port = 0; // of its connection; 0: it had none
    std::chrono::system_clock::time_point ended_at; // as logs show it
    std::string outcome;                            // header
    std::string request_id;
    std::string detail; // type of the error, for reports
    bool whole = false; // an answer, and it ended in order
    bool right = false; // the bytes are this request's own
    std::string run;    // which run a charge's answer names
};

enum class SoakBlow {
    kKilled,
    kStopped,
};

// A daemon was gone, or going, in this time.
struct SoakGap {
    size_t daemon = 0;
    SoakBlow blow = SoakBlow::kKilled;
    Instant from;
    Instant to = Instant::max();
};

class SoakLedger {
  public:
    void
    Add(const SoakCall &call)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        calls_.push_back(call);
    }
    void
    Open(size_t daemon, SoakBlow blow)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        SoakGap gap;
        gap.daemon = daemon;
        gap.blow = blow;
        gap.from = std::chrono::steady_clock::now();
        gaps_.push_back(gap);
    }
    void
    Close(size_t daemon)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        for (SoakGap &gap : gaps_) {
            if (gap.daemon == daemon && gap.to == Instant::max()) {
                gap.to = std::chrono::steady_clock::now();
            }
        }
    }
    // True while the daemon was not touched in this time.
    bool
    Untouched(size_t daemon, Instant from, Instant to)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        for (const SoakGap &gap : gaps_) {
            if (gap.daemon == daemon && gap.from <= to && gap.to >= from) {
                return false;
            }
        }
        return true;
    }
    bool
    During(const SoakCall &call, SoakBlow blow)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        for (const SoakGap &gap : gaps_) {
            if (gap.daemon == call.daemon && gap.blow == blow &&
                gap.from <= call.end && gap.to >= call.start) {
                return true;
            }
        }
        return false;
    }
    std::vector<SoakCall>
    Calls()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return calls_;
    }

  private:
    std::mutex mutex_;
    std::vector<SoakCall> calls_;
    std::vector<SoakGap> gaps_;
};

// What the stand-ins recorded: one run of an endpoint.
struct SoakRun {
    std::string endpoint;
    std::string request; // the request's id, without the attempt
    std::string key;
    std::string path;
};

// A promise of the brief: what was tried and what broke it.
struct SoakPromise {
    std::string name;
    long long tried = 0;
    std::vector<std::string> breaches;
};

} // namespace cg

#endif
