#include "test/scene.h"

#include "base/hash.h"

namespace cg {

namespace {

const char kCustomerKey[] = "key-of-the-customer";

std::string
DefaultPlatform()
{
    return R"({"data_centres":[{"name":"dc-1","region":"region-1"},
        {"name":"dc-2","region":"region-1"}],
        "teams":[{"name":"ops","key_digest":")" +
           KeyDigest("ops-key") + R"(","role":"operator"},
        {"name":"derwent","key_digest":")" +
           KeyDigest("derwent-key") + R"(","role":"editor"}]})";
}

} // namespace

std::string
KeyDigest(const std::string &key)
{
    char hex[Hash_DIGEST_HEX];
    Hash_Digest(key.data(), key.size(), hex);
    return hex;
}

Scene::Scene(const std::vector<std::string> &platform_args)
    : platform(platform_args), cluster(platform)
{
}

std::string
Scene::DefaultTeam(const std::string &fields, const std::string &customers)
{
    return R"({"customers":[)" + customers +
           R"({"name":"families","key_digest":")" + KeyDigest(kCustomerKey) +
           R"("}],
        "services":[
        {"name":"rink","kind":"engine","slots":8,"move":{"to":"v1"})" +
           fields + R"(},
        {"name":"seats","kind":"plain","prefix":"/seats/","slots":64,
         "idempotent":true,"move":{"to":"v1"}},
        {"name":"charge","kind":"plain","prefix":"/charge/","slots":64,
         "move":{"to":"v1"}}]})";
}

Engine &
Scene::AddEngine(const std::vector<std::string> &args,
                 const std::string &version, const std::string &data_centre)
{
    std::vector<std::string> all = {"--service", "rink", "--version", version};
    all.insert(all.end(), args.begin(), args.end());
    engines.push_back(std::make_unique<Engine>(all));
    EndpointHost host;
    host.id = "engine-" + std::to_string(engines.size() - 1);
    host.port = engines.back()->Port();
    host.service = "rink";
    host.version = version;
    host.data_centre = data_centre;
    host.reclaimable = true;
    cluster.List(host);
    return *engines.back();
}

Plain &
Scene::AddPlain(const std::vector<std::string> &args)
{
    plains.push_back(std::make_unique<Plain>(args));
    for (const char *service : {"seats", "charge"}) {
        EndpointHost host;
        host.id =
            std::string(service) + "-" + std::to_string(plains.size() - 1);
        host.port = plains.back()->Port();
        host.service = service;
        host.version = "v1";
        host.slots = 64;
        cluster.List(host);
    }
    return *plains.back();
}

std::string
Scene::SectionRecord(const std::string &section, const std::string &body,
                     long long base)
{
    long long sequence = ++sequence_;
    Json record =
        Json()
            .Set("kind", "section")
            .Set("section", section)
            .Set("base", (int)base)
            .Set("author",
                 section == "platform" && base == 0 ? "bootstrap" : "ops")
            .Set("body", Json::Parse(body));
    Json envelope = Json()
                        .Set("v", 2)
                        .Set("n", "operator")
                        .Set("i", 1)
                        .Set("s", (int)sequence)
                        .Set("t", 0)
                        .Set("k", "section")
                        .Set("d", record);
    return envelope.Dump();
}

long long
Scene::Publish(const std::string &section, const std::string &body,
               long long base)
{
    return platform.Append("config", {SectionRecord(section, body, base)});
}

void
Scene::PublishDefaults(const std::string &fields)
{
    Publish("platform", DefaultPlatform());
    Publish("team/derwent", DefaultTeam(fields));
}

HttpCall
Scene::Call(size_t daemon, const std::string &method, const std::string &path,
            const std::string &body, const std::string &key) const
{
    HttpCall call;
    call.method = method;
    call.url = cluster.Url(daemon) + path;
    call.body = body;
    call.headers["authorization"] = std::string("Bearer ") + kCustomerKey;
    if (!key.empty()) {
        call.headers["idempotency-key"] = key;
    }
    return call;
}

HttpCall
Scene::Complete(size_t daemon, const std::string &prompt, int tokens,
                bool stream) const
{
    Json body = Json()
                    .Set("model", "rink")
                    .Set("prompt", prompt)
                    .Set("max_tokens", tokens)
                    .Set("stream", stream);
    return Call(daemon, "POST", "/v1/completions", body.Dump());
}

long long
Scene::Metric(size_t daemon, const std::string &name) const
{
    HttpResult result = Http("GET", cluster.Admin(daemon) + "/metrics");
    size_t at = result.body.find("\n" + name + " ");
    if (at == std::string::npos) {
        return 0;
    }
    return std::stoll(result.body.substr(at + name.size() + 2));
}

} // namespace cg
