#include "test/soak_faults.h"

#include <algorithm>
#include <thread>

#include "base/clock.h"

namespace cg {

namespace {

const size_t kEnginesLeast = 3;
const long long kNewWorkUsec = 3 * Ck_USEC_PER_SEC;
const int kNoticeLeastMs = 1500;
const int kNoticeRangeMs = 8000;
const int kStepMs = 50;
const int kWarmMs = 1500;
const size_t kTailBytes = 300;
const Millis kStopLimit{90000};

long long
NowUsec()
{
    return (long long)Ck_Now(Ck_System());
}

std::string
RequestOf(const std::string &attempt)
{
    return attempt.substr(0, attempt.rfind('.'));
}

// A moment of the boot clock as logs show it.
std::string
LogTime(long long boot_usec)
{
    return ClockTime(std::chrono::system_clock::now() +
                     std::chrono::microseconds(boot_usec - NowUsec()));
}

std::string
Tail(const std::string &log)
{
    return log.substr(log.size() - std::min(log.size(), kTailBytes));
}

std::string
FaultText(const std::string &target, const std::string &mode, int count,
          int delay_ms = 0)
{
    Json fault;
    if (!target.empty()) {
        fault.Set("target", target);
    }
    fault.Set("mode", mode).Set("count", count);
    if (delay_ms > 0) {
        fault.Set("delay_ms", delay_ms);
    }
    return fault.Dump();
}

} // namespace

SoakFaults::SoakFaults(Scene &scene, SoakLedger &ledger, uint64_t seed)
    : scene_(scene), ledger_(ledger),
      faults_{
          &SoakFaults::ReclaimWave,    &SoakFaults::ReclaimWave,
          &SoakFaults::EngineKill,     &SoakFaults::EngineFault,
          &SoakFaults::EngineFault,    &SoakFaults::PlainFault,
          &SoakFaults::PlainFault,     &SoakFaults::PlainKill,
          &SoakFaults::DaemonKill,     &SoakFaults::DaemonStop,
          &SoakFaults::LogOutage,      &SoakFaults::LogLostAnswers,
          &SoakFaults::LogLostAnswers, &SoakFaults::HostListFault,
      }
{
    Rn_Seed(&random_, seed);
}

int
SoakFaults::Below(int bound)
{
    return (int)Rn_Below(&random_, (uint32_t)bound);
}

void
SoakFaults::AddEngine()
{
    scene_.AddEngine({"--token-us", "3000", "--slots", "16"});
}

void
SoakFaults::AddBadVersion()
{
    Engine &engine =
        scene_.AddEngine({"--token-us", "3000", "--slots", "16"}, "v2");
    engine.Fault(FaultText("", "error_500", -1));
    bad_engine_ = scene_.engines.size() - 1;
    retired_.insert(bad_engine_);
}

// Notes when any daemon first says that the bad version was taken back.
void
SoakFaults::WatchMove()
{
    const int kEvery = 10;
    if (taken_back_usec != 0 || ++watches_ % kEvery != 0) {
        return;
    }
    for (size_t i = 0; i < scene_.cluster.Size(); i++) {
        Json moves = scene_.cluster.Status(i, "ops-key")["moves"];
        if (moves[0]["phase"].Str() == "taken back") {
            taken_back_usec = NowUsec();
            return;
        }
    }
}

void
SoakFaults::CountBadRuns()
{
    Json list = scene_.engines[bad_engine_]->Runs();
    bad_runs = (long long)list.Size();
    for (size_t i = 0; i < list.Size(); i++) {
        if (taken_back_usec != 0 &&
            list[i]["started"].Int() > taken_back_usec + kNewWorkUsec) {
            bad_runs_late++;
            bad_runs_told.push_back(
                "attempt " + list[i]["request_id"].Str() + " began at " +
                LogTime(list[i]["started"].Int()) + ", " +
                list[i]["outcome"].Str() + "; taken back as seen at " +
                LogTime(taken_back_usec));
        }
    }
}

std::vector<size_t>
SoakFaults::LiveEngines()
{
    std::vector<size_t> live;
    for (size_t i = 0; i < scene_.engines.size(); i++) {
        if (retired_.count(i) == 0) {
            live.push_back(i);
        }
    }
    return live;
}

// Keeps the records of an endpoint; later reads replace earlier ones.
void
SoakFaults::SaveRuns(const Endpoint &endpoint, const std::string &name)
{
    Json list = endpoint.Runs();
    for (size_t i = 0; i < list.Size(); i++) {
        SoakRun run;
        run.endpoint = name;
        run.request = RequestOf(list[i]["request_id"].Str());
        run.key = list[i]["key"].Str();
        run.path = list[i]["path"].Str();
        seen_[name][std::to_string(i)] = run;
    }
}

// Reads a leaving engine's records while they can still be read.
void
SoakFaults::SaveLeaver(SoakLeaver *leaver)
{
    Engine &engine = *scene_.engines[leaver->engine];
    std::string name = "engine-" + std::to_string(leaver->engine);
    if (!engine.process().Running()) {
        leaver->gone = true;
        scene_.cluster.Unlist(name);
        return;
    }
    if (leaver->die_usec > 0 && NowUsec() >= leaver->die_usec) {
        engine.process().Kill();
        return;
    }
    SaveRuns(engine, name);
    Json list = engine.Runs();
    if (!leaver->watched_late &&
        NowUsec() > leaver->told_usec + kNewWorkUsec && list.Size() > 0) {
        leaver->watched_late = true;
        leavers_watched++;
    }
    for (size_t i = 0; i < list.Size(); i++) {
        long long started = list[i]["started"].Int();
        long long finished = list[i]["finished"].Int();
        std::string request = RequestOf(list[i]["request_id"].Str());
        if (started > leaver->told_usec + kNewWorkUsec) {
            late_work.insert(name + " began " + request);
        }
        if (started <= leaver->told_usec &&
            (finished == 0 || finished > leaver->told_usec)) {
            reclaimed_requests.insert(request);
        }
    }
}

void
SoakFaults::Watch()
{
    WatchMove();
    for (SoakLeaver &leaver : leavers_) {
        if (!leaver.gone) {
            SaveLeaver(&leaver);
        }
    }
}

void
SoakFaults::Sleep(int millis)
{
    for (int slept = 0; slept < millis; slept += kStepMs) {
        Watch();
        std::this_thread::sleep_for(Millis(kStepMs));
    }
}

size_t
SoakFaults::Busiest(const std::vector<size_t> &live)
{
    size_t busiest = live[0];
    long long most = -1;
    for (size_t i : live) {
        long long running =
            scene_.engines[i]->Get("/v1/load").json()["running"].Int();
        if (running > most) {
            most = running;
            busiest = i;
        }
    }
    return busiest;
}

// Announces one or two reclaims at once; some hosts die before their time.
void
SoakFaults::ReclaimWave()
{
    int wave = 1 + Below(2);
    for (int i = 0; i < wave; i++) {
        std::vector<size_t> live = LiveEngines();
        if (live.size() <= kEnginesLeast) {
            return;
        }
        SoakLeaver leaver;
        leaver.engine = Busiest(live);
        int left = kNoticeLeastMs + Below(kNoticeRangeMs);
        bool early = Below(3) == 0;
        if (leavers_.empty()) {
            // Long enough to see whether new work still comes.
            left = kNoticeLeastMs + kNoticeRangeMs;
            early = false;
        }
        Engine &engine = *scene_.engines[leaver.engine];
        leaver.told_usec = NowUsec();
        if (early) {
            leaver.die_usec =
                leaver.told_usec + (300 + Below(700)) * Ck_USEC_PER_MSEC;
        }
        engine.Leave(left);
        scene_.platform.Notice("engine-" + std::to_string(leaver.engine),
                               left);
        retired_.insert(leaver.engine);
        leavers_.push_back(leaver);
        counts[early ? "reclaims, died early" : "reclaims"]++;
        AddEngine();
    }
}

void
SoakFaults::EngineKill()
{
    std::vector<size_t> live = LiveEngines();
    if (live.size() <= kEnginesLeast) {
        return;
    }
    size_t victim = live[(size_t)Below((int)live.size())];
    retired_.insert(victim);
    SaveRuns(*scene_.engines[victim], "engine-" + std::to_string(victim));
    scene_.engines[victim]->process().Kill();
    counts["engine kills"]++;
    AddEngine();
    Sleep(300);
    scene_.cluster.Unlist("engine-" + std::to_string(victim));
}

void
SoakFaults::EngineFault()
{
    static const char *const modes[] = {"truncate", "crossed", "error_500",
                                        "reset_before", "reset_after"};
    std::vector<size_t> live = LiveEngines();
    Engine &engine = *scene_.engines[live[(size_t)Below((int)live.size())]];
    engine.Fault(FaultText("", modes[Below(5)], 1 + Below(3)));
    counts["engine faults"]++;
}

void
SoakFaults::PlainFault()
{
    static const char *const modes[] = {"lost_answer", "reset_after",
                                        "crossed", "reset_before"};
    scene_.plains[live_plain_]->Fault(
        FaultText("", modes[Below(4)], 1 + Below(3), 300));
    counts["lost or crossed answers of charges"]++;
}

// Its records are exact: after the fault no run begins that is not in them.
void
SoakFaults::PlainKill()
{
    size_t victim = live_plain_;
    scene_.AddPlain({"--work-us", "20000"});
    live_plain_ = scene_.plains.size() - 1;
    Sleep(1500);
    Plain &plain = *scene_.plains[victim];
    plain.Fault(FaultText("", "reset_before", -1));
    SaveRuns(plain, "plain-" + std::to_string(victim));
    plain.process().Kill();
    scene_.cluster.Unlist("seats-" + std::to_string(victim));
    scene_.cluster.Unlist("charge-" + std::to_string(victim));
    counts["plain endpoint kills"]++;
}

void
SoakFaults::Revive(size_t daemon)
{
    ended_logs[daemon] += scene_.cluster.process(daemon).Stderr();
    scene_.cluster.Restart(daemon);
    Eventually([&] {
        Watch();
        return scene_.cluster.IsReady(daemon);
    });
    ledger_.Close(daemon);
}

// A daemon that ends by itself breaks every promise at once.
void
SoakFaults::ExpectAlive(size_t daemon)
{
    Process &process = scene_.cluster.process(daemon);
    if (!process.Running()) {
        bad_stops.push_back("daemon " + std::to_string(daemon) +
                            " ended by itself: " + Tail(process.Stderr()));
    }
}

// Stops a daemon in order; its end is noted when it was not one.
void
SoakFaults::StopInOrder(size_t daemon)
{
    Process &process = scene_.cluster.process(daemon);
    ExpectAlive(daemon);
    process.Term();
    Instant limit = std::chrono::steady_clock::now() + kStopLimit;
    while (process.Running() && std::chrono::steady_clock::now() < limit) {
        Sleep(kStepMs);
    }
    std::string who = "daemon " + std::to_string(daemon) + ": ";
    if (process.Running()) {
        bad_stops.push_back(who + "did not end");
        return;
    }
    std::string log = process.Stderr();
    int status = process.WaitExit();
    size_t cut = log.find("GT_CUT");
    if (status != 0 || cut != std::string::npos ||
        log.find("forced=0") == std::string::npos) {
        std::string what = cut == std::string::npos
                               ? Tail(log)
                               : log.substr(log.rfind('\n', cut) + 1, 400);
        bad_stops.push_back(who + "exit status " + std::to_string(status) +
                            ", " + what);
    }
}

void
SoakFaults::DaemonKill()
{
    size_t victim = (size_t)Below((int)scene_.cluster.Size());
    ExpectAlive(victim);
    ledger_.Open(victim, SoakBlow::kKilled);
    scene_.cluster.process(victim).Kill();
    Sleep(300);
    Revive(victim);
    counts["daemon kills"]++;
}

void
SoakFaults::DaemonStop()
{
    size_t victim = (size_t)Below((int)scene_.cluster.Size());
    ledger_.Open(victim, SoakBlow::kStopped);
    StopInOrder(victim);
    Revive(victim);
    counts["planned stops"]++;
}

void
SoakFaults::LogOutage()
{
    log_out = true;
    scene_.platform.Fault(FaultText("append", "refuse", -1));
    if (Below(2) == 0) {
        scene_.platform.Fault(FaultText("read", "refuse", -1));
    }
    Sleep(500 + Below(1500));
    scene_.platform.Clear();
    log_out = false;
    counts["log outages"]++;
}

void
SoakFaults::LogLostAnswers()
{
    scene_.platform.Fault(
        FaultText("append", "lost_answer", 1 + Below(3), 300));
    counts["lost answers of appends"]++;
}

void
SoakFaults::HostListFault()
{
    scene_.platform.Fault(FaultText("hosts", "stale_read", 3));
    counts["stale host lists"]++;
}

// A sound engine that says nothing for a second, and goes on.
void
SoakFaults::EngineSilence()
{
    std::vector<size_t> live = LiveEngines();
    Engine &engine = *scene_.engines[live[(size_t)Below((int)live.size())]];
    engine.process().Stop();
    std::this_thread::sleep_for(Millis(1000));
    engine.process().Cont();
    counts["engines silent for a second"]++;
}

void
SoakFaults::EngineBrittleness()
{
    int most = Below(3) == 0 ? -1 : 2 + Below(8);
    for (size_t i : LiveEngines()) {
        scene_.engines[i]->Brittle(most);
    }
    counts["changes of brittleness"]++;
}

void
SoakFaults::AddSilenceAndBrittleness()
{
    faults_.push_back(&SoakFaults::EngineSilence);
    faults_.push_back(&SoakFaults::EngineSilence);
    faults_.push_back(&SoakFaults::EngineBrittleness);
    faults_.push_back(&SoakFaults::EngineBrittleness);
}

void
SoakFaults::Run(Instant until)
{
    const int kFaults = (int)faults_.size();
    // One round in a drawn order before the next, so that a short run meets
    // every kind.
    std::vector<int> order;
    // The first host to leave must have had work before.
    Sleep(kWarmMs);
    ReclaimWave();
    while (std::chrono::steady_clock::now() < until) {
        if (order.empty()) {
            for (int i = 0; i < kFaults; i++) {
                order.insert(order.begin() + Below((int)order.size() + 1), i);
            }
        }
        (this->*faults_[(size_t)order.back()])();
        order.pop_back();
        Sleep(100 + Below(400));
    }
}

void
SoakFaults::AwaitReclaims()
{
    const size_t kEnough = 5;
    const int kMoreWaves = 10;
    const int kBetweenMs = 3000;
    for (int wave = 0; wave < kMoreWaves; wave++) {
        if (reclaimed_requests.size() >= kEnough && leavers_watched > 0) {
            return;
        }
        ReclaimWave();
        Sleep(kBetweenMs);
    }
}

void
SoakFaults::AwaitStop()
{
    if (counts.count("planned stops") == 0) {
        DaemonStop();
    }
}

void
SoakFaults::AwaitVerdict()
{
    const int kVerdictMs = 60000;
    const int kAfterMs = 5000;
    for (int waited = 0; waited < kVerdictMs && taken_back_usec == 0;
         waited += kStepMs) {
        Sleep(kStepMs);
    }
    Sleep(kAfterMs);
}

void
SoakFaults::Finish()
{
    scene_.platform.Clear();
    for (size_t i = 0; i < scene_.cluster.Size(); i++) {
        StopInOrder(i);
    }
    CountBadRuns();
    SaveRuns(*scene_.engines[bad_engine_],
             "engine-" + std::to_string(bad_engine_));
    for (size_t i : LiveEngines()) {
        SaveRuns(*scene_.engines[i], "engine-" + std::to_string(i));
    }
    for (size_t i = 0; i < scene_.plains.size(); i++) {
        if (scene_.plains[i]->process().Running()) {
            SaveRuns(*scene_.plains[i], "plain-" + std::to_string(i));
        }
    }
    for (const auto &[name, list] : seen_) {
        for (const auto &[index, run] : list) {
            runs.push_back(run);
        }
    }
}

} // namespace cg
