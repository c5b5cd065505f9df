// cg_soak: daemons and stand-ins under mixed load and seeded faults, held
// against each promise of the system at the end.  Exit status 1: a promise
// was broken or could not be tried.
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include "test/soak_check.h"
#include "test/soak_load.h"

namespace {

using cg::SoakCall;

const int kThreads = 16;
const size_t kDaemons = 5;
const size_t kEngines = 5;
const char kBearer[] = "key-of-the-customer";

struct Options {
    int seconds = 60;
    uint64_t seed = 1;
    bool silence_and_brittleness = false;
};

Options
ReadOptions(int argc, char **argv)
{
    Options options;
    for (int i = 1; i + 1 < argc; i += 2) {
        if (std::string(argv[i]) == "--seconds") {
            options.seconds = std::atoi(argv[i + 1]);
        }
        else if (std::string(argv[i]) == "--seed") {
            options.seed = std::strtoull(argv[i + 1], nullptr, 10);
        }
        else if (std::string(argv[i]) == "--silence-and-brittleness") {
            options.silence_and_brittleness = std::atoi(argv[i + 1]) != 0;
        }
        else {
            fprintf(
                stderr,
                "use --seconds N, --seed N and --silence-and-brittleness 1\n");
            exit(2);
        }
    }
    return options;
}

std::vector<std::string>
StartDaemons(cg::Scene &scene)
{
    std::vector<std::string> urls;
    for (size_t i = 0; i < kDaemons; i++) {
        cg::DaemonOptions options;
        options.data_centre = i % 2 == 0 ? "dc-1" : "dc-2";
        scene.cluster.Add(options);
        urls.push_back(scene.cluster.Url(i));
    }
    return urls;
}

// The service's fields, with a move to the bad version under way.
std::string
ServiceFields()
{
    const long long kMoveSeconds = 300;
    long long by = (long long)time(nullptr) + kMoveSeconds;
    return ",\"slots\":16,\"move\":{\"from\":\"v1\",\"to\":\"v2\","
           "\"first_share\":0.1,\"deadline_sec\":" +
           std::to_string(by) + "}";
}

void
PrintTally(const std::vector<SoakCall> &calls)
{
    std::map<std::string, long long> tally;
    for (const SoakCall &call : calls) {
        tally[call.whole ? "whole"
              : call.outcome.empty()
                  ? "no answer"
                  : call.outcome + " " + std::to_string(call.code)]++;
    }
    printf("calls %zu:", calls.size());
    for (const auto &[name, count] : tally) {
        printf(" %s %lld;", name.c_str(), count);
    }
    printf("\n");
}

void
PrintFaults(const cg::SoakFaults &faults, const cg::SoakConfig &config)
{
    printf("faults:");
    for (const auto &[name, count] : faults.counts) {
        printf(" %s %lld;", name.c_str(), count);
    }
    printf(
        "\nconfigurations: accepted %lld; lost races %lld; slowest %.2f s\n",
        config.published, config.lost_races, config.slowest_sec);
}

// All that a daemon has written, by its processes that ended as well.
std::string
LogOf(cg::Scene &scene, const cg::SoakFaults &faults, size_t daemon)
{
    auto ended = faults.ended_logs.find(daemon);
    return (ended == faults.ended_logs.end() ? "" : ended->second) +
           scene.cluster.process(daemon).Stderr();
}

// A failure may come once in many runs: its logs must be there then.
void
KeepLogs(cg::Scene &scene, const cg::SoakFaults &faults, uint64_t seed)
{
    std::filesystem::path folder =
        std::filesystem::path("soak-logs") /
        (std::to_string(seed) + "-" + std::to_string(getpid()));
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    for (size_t i = 0; i < scene.cluster.Size() && !error; i++) {
        std::ofstream(folder / ("daemon-" + std::to_string(i) + ".log"))
            << LogOf(scene, faults, i);
    }
    printf("logs: %s%s\n", folder.c_str(),
           error ? ", not kept: the folder cannot be made" : "");
}

// Why attempts were not followed by others, by daemon; with the lines of a
// broken run, so that its cause can be told.
void
PrintRetriesRefused(cg::Scene &scene, const cg::SoakFaults &faults,
                    bool broken)
{
    const size_t kLines = 40;
    const std::string kReason = " reason=";
    for (size_t i = 0; i < scene.cluster.Size(); i++) {
        std::istringstream log(LogOf(scene, faults, i));
        std::map<std::string, long long> reasons;
        size_t lines = 0;
        for (std::string line; std::getline(log, line);) {
            size_t at = line.find(kReason);
            if (line.find("GT_RETRY_REFUSED") == std::string::npos ||
                at == std::string::npos) {
                continue;
            }
            at += kReason.size();
            reasons[line.substr(at, line.find(' ', at) - at)]++;
            if (broken && lines++ < kLines) {
                printf("    daemon %zu: %s\n", i, line.c_str());
            }
        }
        for (const auto &[reason, count] : reasons) {
            printf("retries refused at daemon %zu: %s %lld\n", i,
                   reason.c_str(), count);
        }
    }
}

} // namespace

int
main(int argc, char **argv)
{
    Options options = ReadOptions(argc, argv);
    printf("seed %llu, %d s\n", (unsigned long long)options.seed,
           options.seconds);
    fflush(stdout);
    cg::Scene scene({"--lag-ms", "500"});
    cg::SoakLedger ledger;
    cg::SoakFaults faults(scene, ledger, options.seed);
    if (options.silence_and_brittleness) {
        faults.AddSilenceAndBrittleness();
    }
    for (size_t i = 0; i < kEngines; i++) {
        faults.AddEngine();
    }
    scene.AddPlain({"--work-us", "20000"});
    faults.AddBadVersion();
    std::string fields = ServiceFields();
    scene.PublishDefaults(fields);
    std::vector<std::string> urls = StartDaemons(scene);
    if (!scene.cluster.WaitReady()) {
        fprintf(stderr, "the daemons are not ready\n");
        return 1;
    }
    cg::SoakLoad load(ledger, urls, kBearer, options.seed);
    cg::SoakConfig config(scene, ledger, urls, fields, faults.log_out);
    load.Start(kThreads);
    config.Start();
    faults.Run(std::chrono::steady_clock::now() +
               std::chrono::seconds(options.seconds));
    faults.AwaitReclaims();
    faults.AwaitStop();
    faults.AwaitVerdict();
    config.Stop();
    load.Stop();
    faults.Finish();
    PrintTally(ledger.Calls());
    PrintFaults(faults, config);
    int bad = cg::ReportSoak(cg::CheckSoak(ledger, faults, config));
    PrintRetriesRefused(scene, faults, bad > 0);
    KeepLogs(scene, faults, options.seed);
    if (bad > 0) {
        printf("repeat with: make soak SECONDS=%d SEED=%llu\n",
               options.seconds, (unsigned long long)options.seed);
    }
    return bad > 0 ? 1 : 0;
}
