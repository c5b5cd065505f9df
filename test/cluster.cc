#include "test/cluster.h"

#include "test/rogue.h"

namespace cg {

namespace {

std::string
OrElse(const std::string &value, const std::string &fallback)
{
    return value.empty() ? fallback : value;
}

Json
EndpointJson(const EndpointHost &host)
{
    return Json()
        .Set("id", host.id)
        .Set("address", "127.0.0.1")
        .Set("port", host.port)
        .Set("data_centre", host.data_centre)
        .Set("region", host.region)
        .Set("role", "endpoint")
        .Set("state", host.state)
        .Set("service", host.service)
        .Set("version", host.version)
        .Set("class", host.host_class)
        .Set("price", host.price)
        .Set("reclaimable", host.reclaimable)
        .Set("slots", host.slots);
}

} // namespace

Cluster::Cluster(Platform &platform, std::string key)
    : platform_(platform), key_(std::move(key))
{
}

std::unique_ptr<Process>
Cluster::Launch(const DaemonOptions &options) const
{
    std::string platform = platform_.Address();
    ProcessOptions start;
    start.program = Program("apps/cornelgated/cornelgated");
    start.args = {
        "--node-id",     options.id,
        "--address",     "127.0.0.1",
        "--port",        std::to_string(options.port),
        "--admin-port",  std::to_string(options.admin_port),
        "--peer-port",   std::to_string(options.peer_port),
        "--data-centre", options.data_centre,
        "--region",      options.region,
        "--log",         OrElse(options.log, platform),
        "--hosts",       OrElse(options.hosts, platform),
        "--cloud",       OrElse(options.cloud, platform),
        "--weights",     OrElse(options.weights, platform),
    };
    start.args.insert(start.args.end(), options.args.begin(),
                      options.args.end());
    start.env = options.env;
    start.env["CORNELGATE_CLUSTER_KEY"] = key_;
    if (options.rogue_target) {
        start.data_max = options.data_max;
        LimitRogueTarget(&start);
        start.env["CORNELGATE_MEMORY_MB"] = std::to_string(kRogueMemoryMb);
    }
    return std::make_unique<Process>(start);
}

size_t
Cluster::Add(const DaemonOptions &options)
{
    Daemon daemon;
    daemon.options = options;
    if (daemon.options.id.empty()) {
        daemon.options.id = "entry-" + std::to_string(daemons_.size());
    }
    for (int *port : {&daemon.options.port, &daemon.options.admin_port,
                      &daemon.options.peer_port}) {
        if (*port == 0) {
            daemon.ports.push_back(std::make_unique<HeldPort>());
            *port = daemon.ports.back()->number();
        }
    }
    daemon.process = Launch(daemon.options);
    daemons_.push_back(std::move(daemon));
    PublishHosts();
    return daemons_.size() - 1;
}

void
Cluster::AddMany(size_t count, const std::vector<std::string> &data_centres)
{
    for (size_t i = 0; i < count; i++) {
        DaemonOptions options;
        options.data_centre = data_centres[i % data_centres.size()];
        Add(options);
    }
}

void
Cluster::Restart(size_t i)
{
    daemons_[i].process.reset();
    daemons_[i].process = Launch(daemons_[i].options);
    PublishHosts();
}

Process &
Cluster::process(size_t i)
{
    return *daemons_[i].process;
}

std::string
Cluster::Url(size_t i) const
{
    return "127.0.0.1:" + std::to_string(daemons_[i].process->Ready("port"));
}

std::string
Cluster::Admin(size_t i) const
{
    return "127.0.0.1:" +
           std::to_string(daemons_[i].process->Ready("admin_port"));
}

int
Cluster::PeerPort(size_t i) const
{
    return daemons_[i].process->Ready("peer_port");
}

bool
Cluster::IsReady(size_t i) const
{
    return Http("GET", Admin(i) + "/readyz", {}, "", Millis(2000)).code == 200;
}

bool
Cluster::WaitReady(Millis limit) const
{
    return Eventually(
        [this] {
            for (size_t i = 0; i < daemons_.size(); i++) {
                if (daemons_[i].process->Running() && !IsReady(i)) {
                    return false;
                }
            }
            return true;
        },
        limit);
}

Json
Cluster::Status(size_t i, const std::string &key) const
{
    return Http("GET", Admin(i) + "/admin/v1/status",
                {{"authorization", "Bearer " + key}})
        .json();
}

void
Cluster::List(const EndpointHost &endpoint)
{
    endpoints_[endpoint.id] = endpoint;
    PublishHosts();
}

void
Cluster::Unlist(const std::string &id)
{
    endpoints_.erase(id);
    PublishHosts();
}

void
Cluster::PublishHosts() const
{
    Json hosts = Json(json_array());
    for (const Daemon &daemon : daemons_) {
        const DaemonOptions &options = daemon.options;
        int listed = options.listed_peer_port;
        hosts.Add(
            Json()
                .Set("id", options.id)
                .Set("address", "127.0.0.1")
                .Set("port", daemon.process->Ready("port"))
                .Set("admin_port", daemon.process->Ready("admin_port"))
                .Set("peer_port",
                     listed != 0 ? listed : daemon.process->Ready("peer_port"))
                .Set("data_centre", options.data_centre)
                .Set("region", options.region)
                .Set("role", "entry")
                .Set("state", "live"));
    }
    for (const auto &[id, endpoint] : endpoints_) {
        hosts.Add(EndpointJson(endpoint));
    }
    platform_.SetHosts(hosts);
}

} // namespace cg
