// What a daemon adds to a request: the same load at the engines' stand-in
// directly and through one daemon, in turn; and what it costs the daemon.
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "test/scene.h"

namespace {

constexpr int kRounds = 3;
constexpr const char *kRate = "30";
constexpr const char *kSeconds = "4";

cg::Json
Load(const std::string &to)
{
    return cg::Json::Parse(
        cg::Run(cg::Program("tools/cgload"),
                {"--to", to, "--key", "key-of-the-customer", "--model", "rink",
                 "--rate", kRate, "--seconds", kSeconds, "--tokens-min", "32",
                 "--tokens-max", "32", "--stream-share", "1",
                 "--grace-seconds", "10"})
            .out);
}

void
Print(const std::string &way, const cg::Json &report, double cpu)
{
    cg::Json urgent = report["classes"]["urgent"];
    cg::Json latency = urgent["latency_ms"];
    printf("{\"way\":\"%s\",\"sent\":%lld,\"answered\":%lld,"
           "\"first_p50\":%.3f,\"first_p99\":%.3f,\"between_p50\":%.3f,"
           "\"between_p99\":%.3f,\"tokens\":%lld,\"cpu_seconds\":%.2f,"
           "\"most_late_ms\":%.2f}\n",
           way.c_str(), urgent["sent"].Int(),
           urgent["outcomes"]["answered"].Int(),
           latency["first"]["p50"].Number(), latency["first"]["p99"].Number(),
           latency["between"]["p50"].Number(),
           latency["between"]["p99"].Number(), report["tokens"].Int(), cpu,
           report["most_late_ms"].Number());
    fflush(stdout);
}

// Resident memory that one open request costs, most of them in the queue.
double
OpenKilobytes(cg::Scene &scene)
{
    constexpr int kConnections = 500;
    long before = scene.cluster.process(0).RssKilobytes();
    std::vector<cg::HttpCall> calls(kConnections);
    for (cg::HttpCall &call : calls) {
        call = scene.Complete(0, "a long answer", 400, true);
    }
    std::vector<std::future<cg::HttpResult>> open;
    for (const cg::HttpCall &call : calls) {
        open.push_back(cg::HttpAsync(call));
    }
    long most = before;
    for (auto &answer : open) {
        answer.wait();
        long now = scene.cluster.process(0).RssKilobytes();
        most = now > most ? now : most;
    }
    return (double)(most - before) / kConnections;
}

} // namespace

int
main()
{
    cg::Scene scene;
    for (int i = 0; i < 2; i++) {
        scene.AddEngine({"--slots", "512", "--token-us", "10000"});
    }
    scene.PublishDefaults();
    scene.cluster.AddMany(1);
    if (!scene.cluster.WaitReady()) {
        fprintf(stderr, "the daemon did not get ready\n");
        return 1;
    }
    for (int i = 0; i < kRounds; i++) {
        Print("direct", Load(scene.engines[0]->Address()), 0);
        double before = scene.cluster.process(0).CpuSeconds();
        cg::Json report = Load(scene.cluster.Url(0));
        Print("daemon", report,
              scene.cluster.process(0).CpuSeconds() - before);
    }
    printf("{\"kb_per_open_request\":%.1f}\n", OpenKilobytes(scene));
    return 0;
}
