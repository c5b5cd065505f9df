#include "test/soak_config.h"

#include <algorithm>
#include <cstdio>

namespace cg {

namespace {

const Millis kInForceLimit{11000};
const int kRoundMs = 1500;
const int kStepMs = 50;
const size_t kCustomersMost = 40;

std::string
Seconds(double seconds)
{
    char text[32];
    snprintf(text, sizeof(text), "%.2f s", seconds);
    return text;
}

} // namespace

SoakConfig::SoakConfig(Scene &scene, SoakLedger &ledger,
                       std::vector<std::string> urls, std::string fields,
                       const std::atomic<bool> &log_out)
    : scene_(scene), ledger_(ledger), urls_(std::move(urls)),
      fields_(std::move(fields)), log_out_(log_out)
{
    for (size_t i = 0; i < urls_.size(); i++) {
        admins_.push_back(scene.cluster.Admin(i));
    }
}

void
SoakConfig::Start()
{
    thread_ = std::thread([this] { Work(); });
}

void
SoakConfig::Stop()
{
    stop_ = true;
    thread_.join();
}

void
SoakConfig::Work()
{
    for (int round = 0; !stop_ && accepted_.size() < kCustomersMost; round++) {
        Round(round);
        for (int i = 0; i < kRoundMs / kStepMs && !stop_; i++) {
            std::this_thread::sleep_for(Millis(kStepMs));
        }
    }
}

std::string
SoakConfig::Team(const std::string &extra) const
{
    std::vector<std::string> names = accepted_;
    names.push_back(extra);
    std::string list;
    for (const std::string &name : names) {
        list += R"({"name":")" + name + R"(","key_digest":")" +
                KeyDigest(name) + R"("},)";
    }
    return Scene::DefaultTeam(fields_, list);
}

// 401: not in force; 0: no answer; anything else: it is.
int
SoakConfig::Ask(size_t daemon, const std::string &key) const
{
    return Http("GET", urls_[daemon] + "/seats/config",
                {{"authorization", "Bearer " + key}}, "", Millis(3000))
        .code;
}

// What tells a daemon that has not read of a change from one that is starved,
// and both from a check that was late itself: with "in_force" at the accepted
// offset, the key is refused no more.
std::string
SoakConfig::WhatIsKnown(size_t daemon, const SoakAsks &asks) const
{
    return "first asked after " + Seconds(asks.first) + ", last asked after " +
           Seconds(asks.last) + " and answered " + std::to_string(asks.code) +
           " after " + Seconds(asks.took) + "; slowest answer " +
           Seconds(asks.slowest) + ", asked " + std::to_string(asks.count) +
           " times, " + std::to_string(asks.silent) +
           " without answer; accepted as " + std::to_string(base_) +
           ", daemon says " +
           Http("GET", admins_[daemon] + "/admin/v1/status",
                {{"authorization", "Bearer ops-key"}}, "", Millis(3000))
               .json()["config"]
               .Dump();
}

int
SoakConfig::AskTimed(size_t daemon, const std::string &key, Instant from,
                     SoakAsks *asks) const
{
    using Sec = std::chrono::duration<double>;
    Instant sent = std::chrono::steady_clock::now();
    asks->code = Ask(daemon, key);
    asks->took = Sec(std::chrono::steady_clock::now() - sent).count();
    asks->last = Sec(sent - from).count();
    asks->first = asks->count == 0 ? asks->last : asks->first;
    asks->slowest = std::max(asks->slowest, asks->took);
    asks->count++;
    asks->silent += asks->code == 0 ? 1 : 0;
    return asks->code;
}

// Waits for every daemon that nobody touches meanwhile.
bool
SoakConfig::InForceEverywhere(const std::string &key)
{
    Instant from = std::chrono::steady_clock::now();
    Instant since = from;
    for (size_t i = 0; i < urls_.size(); i++) {
        SoakAsks asks;
        while (AskTimed(i, key, from, &asks) == 401 || asks.code == 0) {
            Instant now = std::chrono::steady_clock::now();
            if (log_out_) {
                since = now;
            }
            if (!ledger_.Untouched(i, from, now)) {
                break;
            }
            if (now - since > kInForceLimit) {
                breaches.push_back(key + " is not in force at daemon " +
                                   std::to_string(i) + ": " +
                                   WhatIsKnown(i, asks));
                return false;
            }
            std::this_thread::sleep_for(Millis(kStepMs));
        }
    }
    std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - from;
    slowest_sec = std::max(slowest_sec, took.count());
    return true;
}

void
SoakConfig::CheckNothingReverted()
{
    for (size_t i = 0; i < urls_.size(); i++) {
        for (const std::string &key : accepted_) {
            Instant from = std::chrono::steady_clock::now();
            if (Ask(i, key) == 401 &&
                ledger_.Untouched(i, from, std::chrono::steady_clock::now())) {
                breaches.push_back(key + " was taken back at daemon " +
                                   std::to_string(i));
            }
        }
    }
}

// Two operators build on the same base; the first in the log wins.
void
SoakConfig::Round(int round)
{
    std::string names[2];
    long long offsets[2];
    std::future<long long> appends[2];
    for (int i = 0; i < 2; i++) {
        names[i] =
            "operator-" + std::to_string(i) + "-" + std::to_string(round);
        std::string record =
            scene_.SectionRecord("team/derwent", Team(names[i]), base_);
        appends[i] = std::async(std::launch::async, [this, record] {
            return scene_.platform.Append("config", {record});
        });
    }
    for (int i = 0; i < 2; i++) {
        offsets[i] = appends[i].get();
    }
    // An append without an answer may have won; read who did.
    std::vector<std::string> records = scene_.platform.Records("config");
    int winner = -1;
    for (size_t at = (size_t)base_; at < records.size() && winner < 0; at++) {
        for (int i = 0; i < 2; i++) {
            if (records[at].find(names[i] + "\"") != std::string::npos) {
                winner = i;
                base_ = (long long)at + 1;
                break;
            }
        }
    }
    if (winner < 0) {
        return;
    }
    lost_races += offsets[1 - winner] > 0 ? 1 : 0;
    accepted_.push_back(names[winner]);
    published++;
    if (InForceEverywhere(names[winner])) {
        for (size_t i = 0; i < urls_.size(); i++) {
            if (Ask(i, names[1 - winner]) == 200) {
                breaches.push_back(names[1 - winner] +
                                   " lost the race and is in force");
            }
        }
    }
    CheckNothingReverted();
}

} // namespace cg
