// A small system for tests of the whole: platform, endpoints, daemons and a
// published configuration with one customer.
#ifndef TEST_SCENE_H
#define TEST_SCENE_H

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "test/harness.h"

namespace cg {

class Scene {
  public:
    explicit Scene(const std::vector<std::string> &platform_args = {});

    // One model engine of service "rink", or one plain endpoint of the
    // services "seats" (repeatable) and "charge" (not).
    Engine &AddEngine(const std::vector<std::string> &args = {},
                      const std::string &version = "v1",
                      const std::string &data_centre = "dc-1");
    Plain &AddPlain(const std::vector<std::string> &args = {});

    // Appends a section to the config stream; its offset.
    long long Publish(const std::string &section, const std::string &body,
                      long long base = 0);
    // A record of the config stream.
    std::string SectionRecord(const std::string &section,
                              const std::string &body, long long base);
    // The team's section of most tests, with more customers, each with a
    // comma after it.
    static std::string DefaultTeam(const std::string &fields,
                                   const std::string &customers = "");
    // The configuration of most tests; "fields" go into service "rink".
    void PublishDefaults(const std::string &fields = "");

    // Calls with the customer's key.
    HttpCall Call(size_t daemon, const std::string &method,
                  const std::string &path, const std::string &body = "",
                  const std::string &key = "") const;
    HttpCall Complete(size_t daemon, const std::string &prompt, int tokens,
                      bool stream) const;
    long long Metric(size_t daemon, const std::string &name) const;

    Platform platform;
    Cluster cluster;
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<Plain>> plains;

  private:
    std::atomic<long long> sequence_{0};
};

// First 32 hex digits of SHA-256: how keys stand in the configuration.
std::string KeyDigest(const std::string &key);

} // namespace cg

#endif
