#include "test/soak_check.h"

#include <cstdio>

namespace cg {

namespace {

const size_t kShown = 5;

// The endpoints' records, by what they can be looked up with.
struct Records {
    std::set<std::string> requests;
    std::map<std::string, int> keys;
    std::map<std::string, int> paths;

    explicit Records(const std::vector<SoakRun> &runs)
    {
        for (const SoakRun &run : runs) {
            requests.insert(run.request);
            if (!run.key.empty()) {
                keys[run.key]++;
            }
            paths[run.path]++;
        }
    }
};

bool
NeverConnected(const SoakCall &call)
{
    return call.code == 0 &&
           call.error.find("connect to server") != std::string::npos;
}

bool
RefusedNotRun(const SoakCall &call)
{
    return call.outcome == "not-run";
}

std::string
Describe(const SoakCall &call)
{
    return call.name + " at daemon " + std::to_string(call.daemon) + ": " +
           std::to_string(call.code) + " " + call.outcome + " " +
           call.request_id + " " + call.error + " " + call.detail + " at " +
           ClockTime(call.ended_at) + " from port " +
           std::to_string(call.local_port);
}

// A completion that was taken must end whole; other refusals are true.
bool
Survived(const SoakCall &call)
{
    return call.whole || RefusedNotRun(call) || NeverConnected(call);
}

SoakPromise
Reclaims(const std::vector<SoakCall> &calls, SoakLedger &ledger,
         const SoakFaults &faults)
{
    SoakPromise promise;
    promise.name = "an accepted request survives an announced reclaim";
    for (const SoakCall &call : calls) {
        if (call.kind != SoakKind::kCompletion ||
            faults.reclaimed_requests.count(call.request_id) == 0 ||
            ledger.During(call, SoakBlow::kKilled)) {
            continue;
        }
        promise.tried++;
        if (!call.whole || !call.right) {
            promise.breaches.push_back(Describe(call));
        }
    }
    return promise;
}

SoakPromise
Answers(const std::vector<SoakCall> &calls, SoakLedger &ledger)
{
    SoakPromise promise;
    promise.name = "each caller gets the whole answer to its own request";
    for (const SoakCall &call : calls) {
        promise.tried++;
        bool killed = ledger.During(call, SoakBlow::kKilled);
        if (call.whole && !call.right) {
            promise.breaches.push_back("another's: " + Describe(call));
        }
        else if (call.kind == SoakKind::kCompletion && !killed &&
                 !Survived(call)) {
            promise.breaches.push_back("cut: " + Describe(call));
        }
        else if (call.code == 0 && !killed && !NeverConnected(call)) {
            promise.breaches.push_back("no answer: " + Describe(call));
        }
    }
    return promise;
}

SoakPromise
Refusals(const std::vector<SoakCall> &calls, const Records &records)
{
    SoakPromise promise;
    promise.name = "a refusal that says not-run is true";
    for (const SoakCall &call : calls) {
        if (!RefusedNotRun(call)) {
            continue;
        }
        promise.tried++;
        if (records.requests.count(call.request_id) > 0) {
            promise.breaches.push_back(Describe(call));
        }
    }
    return promise;
}

SoakPromise
AtMostOnce(const std::vector<SoakCall> &calls, const Records &records)
{
    SoakPromise promise;
    promise.name = "a non-idempotent call runs at most once";
    std::set<std::string> names;
    std::map<std::string, std::string> answers;
    for (const SoakCall &call : calls) {
        bool keyed = call.kind == SoakKind::kKeyedCharge;
        if (!keyed && call.kind != SoakKind::kPlainCharge) {
            continue;
        }
        names.insert(call.name);
        if (!call.whole) {
            continue;
        }
        auto [at, fresh] = answers.emplace(call.name, call.run);
        if (!fresh && at->second != call.run) {
            promise.breaches.push_back(call.name + " was answered as " +
                                       at->second + " and as " + call.run);
        }
    }
    for (const std::string &name : names) {
        auto key = records.keys.find(name);
        auto path = records.paths.find(name);
        int runs = key != records.keys.end()     ? key->second
                   : path != records.paths.end() ? path->second
                                                 : 0;
        promise.tried++;
        if (runs > 1) {
            promise.breaches.push_back(name + " ran " + std::to_string(runs) +
                                       " times");
        }
        if (runs == 0 && answers.count(name) > 0) {
            promise.breaches.push_back(name + " was answered, ran nowhere");
        }
    }
    return promise;
}

SoakPromise
PlannedStops(const std::vector<SoakCall> &calls, SoakLedger &ledger,
             const SoakFaults &faults)
{
    SoakPromise promise;
    promise.name = "a planned stop cuts off nothing";
    promise.breaches = faults.bad_stops;
    for (const SoakCall &call : calls) {
        if (!ledger.During(call, SoakBlow::kStopped) ||
            ledger.During(call, SoakBlow::kKilled)) {
            continue;
        }
        promise.tried++;
        bool answered = call.code != 0 && call.complete;
        if (!answered && !NeverConnected(call)) {
            promise.breaches.push_back(Describe(call));
        }
    }
    return promise;
}

SoakPromise
BadVersion(const SoakFaults &faults)
{
    const long long kSmallShare = 5; // one in so many, as a bound
    SoakPromise promise;
    promise.name = "a bad version gets a small share, and none 3 s after it "
                   "was taken back";
    promise.tried = faults.taken_back_usec != 0 ? faults.bad_runs : 0;
    if (faults.bad_runs * kSmallShare > (long long)faults.runs.size()) {
        promise.breaches.push_back(std::to_string(faults.bad_runs) + " of " +
                                   std::to_string(faults.runs.size()) +
                                   " runs");
    }
    if (faults.bad_runs_late > 0) {
        promise.breaches.push_back(std::to_string(faults.bad_runs_late) +
                                   " runs after it was taken back");
        promise.breaches.insert(promise.breaches.end(),
                                faults.bad_runs_told.begin(),
                                faults.bad_runs_told.end());
    }
    return promise;
}

} // namespace

std::vector<SoakPromise>
CheckSoak(SoakLedger &ledger, const SoakFaults &faults,
          const SoakConfig &config)
{
    std::vector<SoakCall> calls = ledger.Calls();
    Records records(faults.runs);
    SoakPromise leaving;
    leaving.name = "a leaving endpoint gets no new work after 3 s";
    leaving.tried = faults.leavers_watched;
    leaving.breaches.assign(faults.late_work.begin(), faults.late_work.end());
    SoakPromise force;
    force.name = "an accepted configuration is in force everywhere within "
                 "11 s and never reverts";
    force.tried = config.published;
    force.breaches = config.breaches;
    return {
        Reclaims(calls, ledger, faults),
        BadVersion(faults),
        Answers(calls, ledger),
        Refusals(calls, records),
        AtMostOnce(calls, records),
        leaving,
        PlannedStops(calls, ledger, faults),
        force,
    };
}

int
ReportSoak(const std::vector<SoakPromise> &promises)
{
    int bad = 0;
    for (const SoakPromise &promise : promises) {
        bool fine = promise.tried > 0 && promise.breaches.empty();
        bad += fine ? 0 : 1;
        printf("%s: %s: tried %lld, breaches %zu\n", fine ? "holds" : "BROKEN",
               promise.name.c_str(), promise.tried, promise.breaches.size());
        for (size_t i = 0; i < promise.breaches.size() && i < kShown; i++) {
            printf("    %s\n", promise.breaches[i].c_str());
        }
    }
    return bad;
}

} // namespace cg
