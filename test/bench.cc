// Prints what control costs a daemon at several sizes, straight lines
// through that, and what they say at the size the system is built for.
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include "test/bench_control.h"

namespace {

using cg::ControlSample;

constexpr double kDaemons = 420;
constexpr double kEndpoints = 740;

struct Field {
    const char *name;
    double ControlSample::*value;
};

const Field kFields[] = {
    {"gossip_bytes", &ControlSample::gossip_bytes},
    {"link_bytes", &ControlSample::link_bytes},
    {"platform_bytes", &ControlSample::platform_bytes},
    {"platform_calls", &ControlSample::platform_calls},
    {"poll_bytes", &ControlSample::poll_bytes},
    {"cpu_percent", &ControlSample::cpu_percent},
    {"cpu_worst", &ControlSample::cpu_worst},
    {"rss_mb", &ControlSample::rss_mb},
    {"rss_worst", &ControlSample::rss_worst},
    {"appends", &ControlSample::appends},
    {"reads", &ControlSample::reads},
    {"in_force_ms", &ControlSample::in_force_ms},
    {"settle_ms", &ControlSample::settle_ms},
    {"load_average", &ControlSample::load_average},
};

void
PrintSample(const ControlSample &sample)
{
    printf("{\"daemons\":%.0f,\"endpoints\":%.0f", sample.daemons,
           sample.endpoints);
    for (const Field &field : kFields) {
        printf(",\"%s\":%.3f", field.name, sample.*field.value);
    }
    printf("}\n");
    fflush(stdout);
}

void
PrintFits(const std::vector<ControlSample> &samples)
{
    printf("%-15s %10s %10s %12s %9s %12s\n", "", "base", "a daemon",
           "an endpoint", "error", "at the size");
    for (const Field &field : kFields) {
        cg::PlaneFit fit = cg::FitPlane(samples, field.value);
        printf("%-15s %10.2f %10.4f %12.4f %9.2f %12.2f\n", field.name,
               fit.base, fit.per_daemon, fit.per_endpoint, fit.error,
               fit.base + fit.per_daemon * kDaemons +
                   fit.per_endpoint * kEndpoints);
    }
}

} // namespace

// Usage: cg_bench_control [--seconds N] [DAEMONS,ENDPOINTS]...
int
main(int argc, char **argv)
{
    double seconds = 10;
    std::vector<ControlSample> samples;
    std::vector<std::string> sizes;
    for (int i = 1; i < argc; i++) {
        if (strcmp(argv[i], "--seconds") == 0 && i + 1 < argc) {
            seconds = strtod(argv[++i], nullptr);
        }
        else {
            sizes.push_back(argv[i]);
        }
    }
    if (sizes.empty()) {
        sizes = {"7,0", "20,0", "60,0", "120,0", "20,40", "60,160", "120,160"};
    }
    for (const std::string &size : sizes) {
        char *rest = nullptr;
        size_t daemons = strtoul(size.c_str(), &rest, 10);
        size_t endpoints = *rest == ',' ? strtoul(rest + 1, nullptr, 10) : 0;
        samples.push_back(cg::MeasureControl(daemons, endpoints, seconds));
        PrintSample(samples.back());
    }
    PrintFits(samples);
    return 0;
}
