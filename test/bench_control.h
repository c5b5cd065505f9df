// What control costs one daemon at one size of the system.
#ifndef TEST_BENCH_CONTROL_H
#define TEST_BENCH_CONTROL_H

#include <string>
#include <vector>

namespace cg {

// Per daemon and second unless said otherwise; means over the daemons.
struct ControlSample {
    double daemons = 0;
    double endpoints = 0;
    double gossip_bytes = 0;   // datagrams in and out
    double link_bytes = 0;     // frames in and out
    double platform_bytes = 0; // of the daemon behind the counting proxy
    double platform_calls = 0;
    double poll_bytes = 0; // load polls of all endpoints, over the daemons
    double cpu_percent = 0;
    double cpu_worst = 0;
    double rss_mb = 0;
    double rss_worst = 0;
    double appends = 0;      // at the log, for the whole system
    double reads = 0;        // of the log, by the whole system
    double in_force_ms = 0;  // slowest of the published changes
    double settle_ms = 0;    // until every daemon knew every other
    double load_average = 0; // of the machine, at the end of the window
};

// Starts a system of that size, lets it settle, and watches it.
ControlSample MeasureControl(size_t daemons, size_t endpoints,
                             double window_seconds);

// y = base + per_daemon * daemons + per_endpoint * endpoints, by least
// squares; "error" is the root of the mean square of what is left over.
struct PlaneFit {
    double base = 0;
    double per_daemon = 0;
    double per_endpoint = 0;
    double error = 0;
};

PlaneFit FitPlane(const std::vector<ControlSample> &samples,
                  double ControlSample::*field);

} // namespace cg

#endif
