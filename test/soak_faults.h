// What the soak does to the system: a seeded schedule of faults, and the
// endpoints' records saved before an endpoint dies.
#ifndef TEST_SOAK_FAULTS_H
#define TEST_SOAK_FAULTS_H

#include <atomic>
#include <functional>

#include "base/random.h"
#include "test/scene.h"
#include "test/soak_ledger.h"

namespace cg {

// A reclaimed endpoint, watched until it is gone.
struct SoakLeaver {
    size_t engine = 0;
    long long told_usec = 0; // boot clock
    long long die_usec = 0;  // earlier than announced; 0: not
    bool watched_late = false;
    bool gone = false;
};

class SoakFaults {
  public:
    SoakFaults(Scene &scene, SoakLedger &ledger, uint64_t seed);

    // Engines fall silent for a second, too, and say that they are brittle.
    void AddSilenceAndBrittleness();
    void AddEngine();
    // One engine of a version that fails every request.
    void AddBadVersion();
    // Gives faults until the time is over; call it on the main thread.
    void Run(Instant until);
    // Waits, under load, until the bad version has been taken back.
    // Reclaims go on until some have met requests: on a busy machine the
    // drawn ones may all fall between two, and prove nothing.
    void AwaitReclaims();
    void AwaitVerdict();
    // Stops a daemon in order if none was: on a busy machine the time may be
    // over before its turn, and nothing shown of it.
    void AwaitStop();
    // Ends all faults and saves the records that are left.
    void Finish();

    // What was done, by name.
    std::map<std::string, long long> counts;
    std::vector<SoakRun> runs;
    std::set<std::string> reclaimed_requests; // ran when the notice came
    std::set<std::string> late_work;          // begun long after a notice
    std::vector<std::string> bad_stops;
    // What daemons wrote before they were started again, by daemon.
    std::map<size_t, std::string> ended_logs;
    long long leavers_watched = 0;
    long long bad_runs = 0;        // of the bad version
    long long bad_runs_late = 0;   // begun long after it was taken back
    long long taken_back_usec = 0; // boot clock; 0: not seen
    // Of the runs that came late what the engine recorded.
    std::vector<std::string> bad_runs_told;
    // Held while the log does not take or give records.
    std::atomic<bool> log_out{false};

  private:
    using Fault = void (SoakFaults::*)();

    void ReclaimWave();
    void EngineKill();
    void EngineFault();
    void PlainFault();
    void PlainKill();
    void DaemonKill();
    void DaemonStop();
    void LogOutage();
    void LogLostAnswers();
    void HostListFault();
    void EngineSilence();
    void EngineBrittleness();

    std::vector<size_t> LiveEngines();
    size_t Busiest(const std::vector<size_t> &live);
    void Watch();
    void WatchMove();
    void CountBadRuns();
    void Revive(size_t daemon);
    void ExpectAlive(size_t daemon);
    void StopInOrder(size_t daemon);
    void SaveRuns(const Endpoint &endpoint, const std::string &name);
    void SaveLeaver(SoakLeaver *leaver);
    void Sleep(int millis);
    int Below(int bound);

    Scene &scene_;
    SoakLedger &ledger_;
    std::vector<Fault> faults_;
    struct rn_random random_;
    std::vector<SoakLeaver> leavers_;
    std::set<size_t> retired_; // engines that are gone or going
    size_t live_plain_ = 0;
    size_t bad_engine_ = 0;
    int watches_ = 0;
    std::map<std::string, std::map<std::string, SoakRun>> seen_;
};

} // namespace cg

#endif
