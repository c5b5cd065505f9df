// A cluster of cornelgated processes beside one platform, and the host list
// that names them and their endpoints.
#ifndef TEST_CLUSTER_H
#define TEST_CLUSTER_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "test/standins.h"

namespace cg {

struct DaemonOptions {
    std::string id;
    std::string data_centre = "dc-1";
    std::string region = "region-1";
    // Addresses other than the platform's, e.g. of a fault proxy.
    std::string log;
    std::string hosts;
    std::string cloud;
    std::string weights;
    // Ports to use; 0: one that stays this daemon's, also while it is down.
    int port = 0;
    int admin_port = 0;
    int peer_port = 0;
    // Shown in the host list instead of the real one, e.g. of a fault proxy
    // before a "peer_port" of a HeldPort; 0: the real one.
    int listed_peer_port = 0;
    std::vector<std::string> args; // further flags
    size_t data_max = 0;           // bytes it may allocate; 0: any
    bool rogue_target = false;     // with the limits of test/rogue.h
    std::map<std::string, std::string> env;
};

// An endpoint as the host list shows it.
struct EndpointHost {
    std::string id;
    int port = 0;
    std::string service;
    std::string version = "1";
    std::string data_centre = "dc-1";
    std::string region = "region-1";
    std::string host_class = "small";
    std::string state = "live";
    double price = 1.0;
    bool reclaimable = false;
    int slots = 8;
};

class Cluster {
  public:
    explicit Cluster(Platform &platform,
                     std::string key = "cluster-key-of-the-tests");

    // Starts one daemon more and lists it; its number.
    size_t Add(const DaemonOptions &options = {});
    // Starts "count" daemons, spread over the data centres in turn.
    void AddMany(size_t count,
                 const std::vector<std::string> &data_centres = {"dc-1"});
    // Starts a daemon that has ended again under its id.
    void Restart(size_t i);

    size_t
    Size() const
    {
        return daemons_.size();
    }
    Process &process(size_t i);
    std::string Url(size_t i) const;   // of callers, "127.0.0.1:PORT"
    std::string Admin(size_t i) const; // of the administration port
    int PeerPort(size_t i) const;
    bool IsReady(size_t i) const; // "/readyz" answers 200
    bool WaitReady(Millis limit = Millis(30000)) const;
    Json Status(size_t i, const std::string &key) const;

    // Changes of the host list; each is published at once.
    void List(const EndpointHost &endpoint);
    void Unlist(const std::string &id);
    void PublishHosts() const;

  private:
    struct Daemon {
        DaemonOptions options;
        std::vector<std::unique_ptr<HeldPort>> ports;
        std::unique_ptr<Process> process;
    };

    std::unique_ptr<Process> Launch(const DaemonOptions &options) const;

    Platform &platform_;
    std::string key_;
    std::vector<Daemon> daemons_;
    std::map<std::string, EndpointHost> endpoints_;
};

} // namespace cg

#endif
