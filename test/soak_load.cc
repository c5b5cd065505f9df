#include "test/soak_load.h"

#include "base/hash.h"

namespace cg {

namespace {

const int kPrefixes = 6;
const int kPrefixBytes = 512;
const int kShortTokens = 250;
const int kLongTokens = 1200;
const int kRepeatsMost = 3;
const Millis kCallLimit{40000};

void
Pause(struct rn_random *random, uint32_t most_ms)
{
    std::this_thread::sleep_for(Millis(Rn_Below(random, most_ms + 1)));
}

std::string
Prompt(struct rn_random *random, const std::string &name)
{
    std::string topic =
        "topic " + std::to_string(Rn_Below(random, kPrefixes)) + " ";
    while (topic.size() < kPrefixBytes) {
        topic += "skates hired by the hour, ";
    }
    return topic + name;
}

} // namespace

SoakLoad::SoakLoad(SoakLedger &ledger, std::vector<std::string> urls,
                   std::string bearer, uint64_t seed)
    : ledger_(ledger), urls_(std::move(urls)), bearer_(std::move(bearer)),
      seed_(seed)
{
}

void
SoakLoad::Start(int threads)
{
    for (int i = 0; i < threads; i++) {
        threads_.emplace_back([this, i] { Work(i); });
    }
}

void
SoakLoad::Stop()
{
    stop_ = true;
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

size_t
SoakLoad::AnyDaemon(struct rn_random *random) const
{
    return Rn_Below(random, (uint32_t)urls_.size());
}

void
SoakLoad::Work(int thread)
{
    const uint32_t kKinds = 10;
    struct rn_random random;
    Rn_Seed(&random, seed_ * 1000 + (uint64_t)thread);
    for (int n = 0; !stop_; n++) {
        std::string name =
            "c" + std::to_string(thread) + "-" + std::to_string(n);
        uint32_t kind = Rn_Below(&random, kKinds);
        if (kind < 5) {
            Complete(&random, name);
        }
        else if (kind < 8) {
            Charge(&random, name);
        }
        else if (kind < 9) {
            ChargeOnce(AnyDaemon(&random), "/charge/" + name);
        }
        else {
            Read(AnyDaemon(&random), "/seats/" + name);
        }
        Pause(&random, 30);
    }
}

HttpCall
SoakLoad::Call(size_t daemon, const std::string &method,
               const std::string &path, const std::string &body) const
{
    HttpCall call;
    call.method = method;
    call.url = urls_[daemon] + path;
    call.body = body;
    call.timeout = kCallLimit;
    call.headers["authorization"] = "Bearer " + bearer_;
    call.headers["cornelgate-deadline-ms"] = "30000";
    return call;
}

SoakCall
SoakLoad::Begin(SoakKind kind, size_t daemon, const std::string &name) const
{
    SoakCall call;
    call.kind = kind;
    call.daemon = daemon;
    call.name = name;
    call.start = std::chrono::steady_clock::now();
    return call;
}

void
SoakLoad::End(SoakCall *call, const HttpResult &result)
{
    call->end = std::chrono::steady_clock::now();
    call->code = result.code;
    call->complete = result.complete;
    call->error = result.error;
    call->local_port = result.local_port;
    call->ended_at = result.ended;
    call->outcome = result.Header("cornelgate-outcome");
    call->request_id = result.Header("cornelgate-request-id");
    Json body = result.json();
    if (call->detail.empty()) {
        call->detail =
            body["error"]["type"].Str() + " " + body["error"]["message"].Str();
    }
    if (call->kind != SoakKind::kCompletion) {
        call->whole = result.code == 200 && result.complete;
        std::string key =
            call->kind == SoakKind::kKeyedCharge ? call->name : "";
        call->right = body["key"].Str() == key;
        if (call->kind != SoakKind::kKeyedCharge) {
            call->right = call->right && body["path"].Str() == call->name;
        }
        call->run = body.Dump();
    }
    ledger_.Add(*call);
}

void
SoakLoad::Complete(struct rn_random *random, const std::string &name)
{
    std::string prompt = Prompt(random, name);
    int most = Rn_Below(random, 4) == 0 ? kLongTokens : kShortTokens;
    int tokens = 10 + (int)Rn_Below(random, (uint32_t)most);
    bool stream = Rn_Below(random, 4) != 0;
    Json body = Json()
                    .Set("model", "rink")
                    .Set("prompt", prompt)
                    .Set("max_tokens", tokens)
                    .Set("stream", stream);
    size_t daemon = AnyDaemon(random);
    HttpCall call = Call(daemon, "POST", "/v1/completions", body.Dump());
    call.headers["cornelgate-class"] =
        Rn_Below(random, 3) == 0 ? "patient" : "urgent";
    SoakCall entry = Begin(SoakKind::kCompletion, daemon, name);
    HttpResult result = Http(call);
    Completion answer = ReadCompletion(result);
    entry.whole = result.code == 200 && answer.done;
    entry.right = answer.text == ExpectedAnswer(prompt, tokens);
    for (size_t i = 0; stream && i < answer.indexes.size(); i++) {
        entry.right = entry.right && answer.indexes[i] == (int)i;
    }
    if (result.code == 200) {
        entry.detail = answer.error;
    }
    End(&entry, result);
}

// One intent, sent again at other daemons as an impatient caller does.
void
SoakLoad::Charge(struct rn_random *random, const std::string &key)
{
    int repeats = (int)Rn_Below(random, kRepeatsMost + 1);
    std::vector<std::future<HttpResult>> waiting;
    std::vector<SoakCall> entries;
    for (int i = 0; i <= repeats; i++) {
        size_t daemon = AnyDaemon(random);
        HttpCall call =
            Call(daemon, "POST", "/charge/seat", "{\"seat\":\"" + key + "\"}");
        call.headers["idempotency-key"] = key;
        entries.push_back(Begin(SoakKind::kKeyedCharge, daemon, key));
        waiting.push_back(HttpAsync(call));
        Pause(random, Rn_Below(random, 2) == 0 ? 0 : 300);
    }
    for (size_t i = 0; i < waiting.size(); i++) {
        End(&entries[i], waiting[i].get());
    }
}

void
SoakLoad::ChargeOnce(size_t daemon, const std::string &path)
{
    SoakCall entry = Begin(SoakKind::kPlainCharge, daemon, path);
    End(&entry, Http(Call(daemon, "POST", path, "{}")));
}

void
SoakLoad::Read(size_t daemon, const std::string &path)
{
    SoakCall entry = Begin(SoakKind::kRead, daemon, path);
    End(&entry, Http(Call(daemon, "GET", path, "")));
}

} // namespace cg
