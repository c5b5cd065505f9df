#include "test/standins.h"

#include <stdexcept>

namespace cg {

namespace {

ProcessOptions
Options(const std::string &program, const std::vector<std::string> &args)
{
    ProcessOptions options;
    options.program = Program("standins/" + program);
    options.args = args;
    return options;
}

std::vector<std::string>
PlainArgs(std::vector<std::string> args)
{
    args.push_back("--plain");
    return args;
}

std::vector<std::string>
ProxyArgs(const std::string &to, bool udp, int seed)
{
    std::vector<std::string> args = {"--to", to, "--seed",
                                     std::to_string(seed)};
    if (udp) {
        args.push_back("--udp");
    }
    return args;
}

} // namespace

Standin::Standin(const std::string &program,
                 const std::vector<std::string> &args)
    : process_(Options(program, args))
{
}

int
Standin::Port() const
{
    return process_.Ready("port");
}

std::string
Standin::Address() const
{
    return "127.0.0.1:" + std::to_string(Port());
}

HttpResult
Standin::Get(const std::string &path) const
{
    return Http("GET", Address() + path);
}

HttpResult
Standin::Post(const std::string &path, const Json &body) const
{
    return Http("POST", Address() + path, {}, body.Dump());
}

void
Standin::Fault(const Json &fault) const
{
    HttpResult result = Post("/standin/fault", fault);
    if (result.code != 200) {
        throw std::runtime_error("fault not taken: " + result.body);
    }
}

void
Standin::Fault(const std::string &json) const
{
    Fault(Json::Parse(json));
}

void
Standin::Clear() const
{
    Post("/standin/clear", Json());
}

int
Standin::FaultHits() const
{
    Json faults = Get("/standin/faults").json()["faults"];
    int hits = 0;
    for (size_t i = 0; i < faults.Size(); i++) {
        hits += (int)faults[i]["hits"].Int();
    }
    return hits;
}

Platform::Platform(const std::vector<std::string> &args)
    : Standin("standin_platform", args)
{
}

long long
Platform::Append(const std::string &stream,
                 const std::vector<std::string> &texts) const
{
    Json body;
    body.Set("records", Json::Texts(texts));
    return Post("/log/v1/" + stream + "/append", body).json()["offset"].Int();
}

std::vector<std::string>
Platform::Records(const std::string &stream) const
{
    Json list = Get("/standin/records?stream=" + stream).json()["records"];
    std::vector<std::string> texts;
    for (size_t i = 0; i < list.Size(); i++) {
        texts.push_back(list[i]["data"].Str());
    }
    return texts;
}

void
Platform::Expire(const std::string &stream, long long oldest) const
{
    Json body;
    body.Set("stream", stream).Set("oldest", (int)oldest);
    Post("/standin/expire", body);
}

Json
Platform::Counts() const
{
    return Get("/standin/counts").json();
}

void
Platform::SetHosts(const Json &hosts) const
{
    Post("/standin/hosts", Json().Set("hosts", hosts));
}

void
Platform::SetOffers(const Json &offers) const
{
    Post("/standin/offers", Json().Set("offers", offers));
}

void
Platform::Notice(const std::string &host, int left_ms) const
{
    Post("/standin/notices", Json().Set("host", host).Set("left_ms", left_ms));
}

Endpoint::Endpoint(const std::vector<std::string> &args)
    : Standin("standin_engine", args)
{
}

Json
Endpoint::Runs() const
{
    return Get("/standin/runs").json()["runs"];
}

Json
Endpoint::Totals() const
{
    return Get("/standin/runs").json()["totals"];
}

long long
Endpoint::RunsOfKey(const std::string &key) const
{
    return Get("/standin/runs").json()["keys"][key].Int();
}

void
Endpoint::Leave(int left_ms) const
{
    Post("/standin/leave", Json().Set("left_ms", left_ms));
}

void
Endpoint::Cold(int cold_ms) const
{
    Post("/standin/cold", Json().Set("cold_ms", cold_ms));
}

void
Endpoint::Brittle(int most) const
{
    Json body;
    if (most >= 0) {
        body.Set("most", most);
    }
    Post("/standin/brittle", body);
}

void
Endpoint::RateLimit(double per_sec) const
{
    Post("/standin/rate-limit", Json().Set("per_s", per_sec));
}

int
Endpoint::Falls() const
{
    return (int)Get("/standin/falls").json()["falls"].Int();
}

Plain::Plain(std::vector<std::string> args)
    : Endpoint(PlainArgs(std::move(args)))
{
}

FaultProxy::FaultProxy(const std::string &to, bool udp, int seed)
    : Standin("standin_faultproxy", ProxyArgs(to, udp, seed))
{
}

int
FaultProxy::ListenPort()
{
    return process().Ready("listen_port");
}

std::string
FaultProxy::ListenAddress()
{
    return "127.0.0.1:" + std::to_string(ListenPort());
}

Json
FaultProxy::Counts() const
{
    return Get("/standin/counts").json();
}

} // namespace cg
