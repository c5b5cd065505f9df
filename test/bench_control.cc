#include "test/bench_control.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <thread>

#include "test/scene.h"

namespace cg {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kDataCentres = 7;
constexpr int kChanges = 3;
constexpr int kSettleSeconds = 14;

double
SecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

// The system under measurement.
class Fleet {
  public:
    Fleet(size_t daemons, size_t endpoints)
        : engine_proxy_(EngineAddress()),
          platform_proxy_(scene_.platform.Address())
    {
        scene_.PublishDefaults();
        ListEndpoints(endpoints);
        for (size_t i = 0; i < daemons; i++) {
            scene_.cluster.Add(Options(i));
        }
    }

    // Until every daemon counts all others alive.
    double
    Settle()
    {
        Clock::time_point start = Clock::now();
        scene_.cluster.WaitReady(Millis(60000));
        Eventually([this] { return AllKnown(); }, Millis(90000));
        double took = SecondsSince(start) * 1000;
        std::this_thread::sleep_for(std::chrono::seconds(kSettleSeconds));
        return took;
    }

    ControlSample
    Watch(double seconds)
    {
        size_t n = scene_.cluster.Size();
        ControlSample before = Read();
        std::vector<double> cpu = Cpu();
        Clock::time_point start = Clock::now();
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
        double took = SecondsSince(start);
        std::vector<double> cpu_after = Cpu();
        ControlSample sample = Read();
        sample.gossip_bytes =
            (sample.gossip_bytes - before.gossip_bytes) / took / (double)n;
        sample.link_bytes =
            (sample.link_bytes - before.link_bytes) / took / (double)n;
        sample.platform_bytes =
            (sample.platform_bytes - before.platform_bytes) / took;
        sample.platform_calls =
            (sample.platform_calls - before.platform_calls) / took;
        sample.poll_bytes =
            (sample.poll_bytes - before.poll_bytes) / took / (double)n;
        sample.appends = (sample.appends - before.appends) / took;
        sample.reads = (sample.reads - before.reads) / took;
        for (size_t i = 0; i < n; i++) {
            double share = (cpu_after[i] - cpu[i]) / took * 100;
            sample.cpu_percent += share / (double)n;
            sample.cpu_worst = std::max(sample.cpu_worst, share);
            double rss =
                (double)scene_.cluster.process(i).RssKilobytes() / 1024;
            sample.rss_mb += rss / (double)n;
            sample.rss_worst = std::max(sample.rss_worst, rss);
        }
        getloadavg(&sample.load_average, 1);
        return sample;
    }

    // Publishes a change; until the last daemon has it in force.
    double
    Change()
    {
        Clock::time_point start = Clock::now();
        long long offset =
            scene_.Publish("team/derwent", Scene::DefaultTeam(""), base_);
        base_ = offset;
        Eventually(
            [&] {
                for (size_t i = 0; i < scene_.cluster.Size(); i++) {
                    if (scene_.Metric(i, "cg_config_offset") < offset) {
                        return false;
                    }
                }
                return true;
            },
            Millis(60000));
        return SecondsSince(start) * 1000;
    }

  private:
    std::string
    EngineAddress()
    {
        engine_ = std::make_unique<Engine>(
            std::vector<std::string>{"--service", "rink", "--version", "v1"});
        return engine_->Address();
    }

    static std::string
    Place(size_t i)
    {
        return "dc-" + std::to_string(i % kDataCentres + 1);
    }

    static std::string
    Region(size_t i)
    {
        return i % kDataCentres < 4 ? "region-1" : "region-2";
    }

    // The first daemon reaches the platform through the counting proxy.
    DaemonOptions
    Options(size_t i)
    {
        DaemonOptions options;
        options.data_centre = Place(i);
        options.region = Region(i);
        if (i == 0) {
            std::string proxy = platform_proxy_.ListenAddress();
            options.log = proxy;
            options.hosts = proxy;
            options.cloud = proxy;
            options.weights = proxy;
        }
        return options;
    }

    // One process stands for all endpoints, each under a host id of its own.
    void
    ListEndpoints(size_t count)
    {
        for (size_t i = 0; i < count; i++) {
            EndpointHost host;
            host.id = "engine-" + std::to_string(i);
            host.port = engine_proxy_.ListenPort();
            host.service = "rink";
            host.version = "v1";
            host.data_centre = Place(i);
            host.region = Region(i);
            host.reclaimable = true;
            scene_.cluster.List(host);
        }
    }

    bool
    AllKnown()
    {
        long long n = (long long)scene_.cluster.Size();
        for (size_t i = 0; i < scene_.cluster.Size(); i++) {
            if (scene_.Metric(i, "cg_peers_alive") + 1 < n) {
                return false;
            }
        }
        return true;
    }

    std::vector<double>
    Cpu()
    {
        std::vector<double> seconds;
        for (size_t i = 0; i < scene_.cluster.Size(); i++) {
            seconds.push_back(scene_.cluster.process(i).CpuSeconds());
        }
        return seconds;
    }

    double
    Sum(const char *name)
    {
        double sum = 0;
        for (size_t i = 0; i < scene_.cluster.Size(); i++) {
            sum += (double)scene_.Metric(i, name);
        }
        return sum;
    }

    static double
    Bytes(const Json &counts)
    {
        return counts["up_bytes"].Number() + counts["down_bytes"].Number();
    }

    ControlSample
    Read()
    {
        ControlSample sample;
        Json platform = platform_proxy_.Counts();
        sample.gossip_bytes =
            Sum("cg_gossip_bytes_in") + Sum("cg_gossip_bytes_out");
        sample.link_bytes = Sum("cg_link_bytes_in") + Sum("cg_link_bytes_out");
        sample.platform_bytes = Bytes(platform);
        sample.platform_calls = platform["connections"].Number();
        sample.poll_bytes = Bytes(engine_proxy_.Counts());
        Json counts = scene_.platform.Counts();
        sample.appends = counts["appends"].Number();
        sample.reads = counts["reads"].Number();
        return sample;
    }

    Scene scene_;
    std::unique_ptr<Engine> engine_;
    FaultProxy engine_proxy_;
    FaultProxy platform_proxy_;
    long long base_ = 2; // the team's section in force
};

using Row = std::array<double, 4>;

// Solves three equations by elimination; a column without a pivot gets 0.
std::array<double, 3>
Solve(std::array<Row, 3> rows)
{
    std::array<double, 3> out{};
    std::array<bool, 3> solved{};
    for (size_t c = 0; c < 3; c++) {
        size_t best = c;
        for (size_t r = c; r < 3; r++) {
            if (std::abs(rows[r][c]) > std::abs(rows[best][c])) {
                best = r;
            }
        }
        std::swap(rows[c], rows[best]);
        if (std::abs(rows[c][c]) < 1e-9) {
            continue;
        }
        solved[c] = true;
        for (size_t r = 0; r < 3; r++) {
            double factor = r == c ? 0 : rows[r][c] / rows[c][c];
            for (size_t k = 0; k < 4; k++) {
                rows[r][k] -= factor * rows[c][k];
            }
        }
    }
    for (size_t c = 0; c < 3; c++) {
        out[c] = solved[c] ? rows[c][3] / rows[c][c] : 0;
    }
    return out;
}

} // namespace

ControlSample
MeasureControl(size_t daemons, size_t endpoints, double window_seconds)
{
    Fleet fleet(daemons, endpoints);
    double settle = fleet.Settle();
    ControlSample sample = fleet.Watch(window_seconds);
    sample.daemons = (double)daemons;
    sample.endpoints = (double)endpoints;
    sample.settle_ms = settle;
    for (int i = 0; i < kChanges; i++) {
        sample.in_force_ms = std::max(sample.in_force_ms, fleet.Change());
    }
    return sample;
}

PlaneFit
FitPlane(const std::vector<ControlSample> &samples,
         double ControlSample::*field)
{
    std::array<Row, 3> rows{};
    for (const ControlSample &sample : samples) {
        Row x = {1, sample.daemons, sample.endpoints, sample.*field};
        for (size_t r = 0; r < 3; r++) {
            for (size_t c = 0; c < 4; c++) {
                rows[r][c] += x[r] * x[c];
            }
        }
    }
    std::array<double, 3> solution = Solve(rows);
    PlaneFit fit = {solution[0], solution[1], solution[2], 0};
    double squares = 0;
    for (const ControlSample &sample : samples) {
        double off = fit.base + fit.per_daemon * sample.daemons +
                     fit.per_endpoint * sample.endpoints - sample.*field;
        squares += off * off;
    }
    fit.error =
        std::sqrt(squares / (double)std::max<size_t>(1, samples.size()));
    return fit;
}

} // namespace cg
