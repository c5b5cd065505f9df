#include "policy/test/model/poison_model.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <queue>
#include <random>

#include "base/clock.h"

namespace cg {
namespace {

const int64_t kMs = Ck_USEC_PER_MSEC;
const int64_t kSecond = Ck_USEC_PER_SEC;
const int64_t kStart = 1000 * kSecond;
const int64_t kPoisonFrom = 6 * kSecond;
// From the headers of an answer to its first event.
const int64_t kHeadToEvent = 40 * kMs;
const int64_t kRestartTime = 3 * kSecond;
const int64_t kTick = 100 * kMs;
const int64_t kDetectionTime = 3 * kSecond;
const int64_t kProbeTime = 120 * kMs; // until a health check has its result
const int64_t kResetsFrom = 6 * kSecond;
const int64_t kResetsTo = 9 * kSecond;
// Requests that arrive later than this before the end may still be answered.
const int64_t kAnswerTime = 1 * kSecond;
const size_t kCrashesToDetect = 5;
const int kRequestCrashesToDetect = 3;
const uint32_t kCommonContents = 8;
const uint32_t kRepeatedContent = 100;
const uint32_t kUniqueContent = 1000;
const size_t kZones = 4;
const double kSameZoneMessagesPerSec = 120;
const double kOtherZoneMessagesPerSec = 100;
const size_t kCrashRowsMax = 24;
const size_t kClearRowsMax = 16;
const size_t kQuarantineRowsMax = 8;
const int kAttemptsMax = 3;
const int kSessionRequests = 4;
const uint32_t kPoisonPart = 1;
const uint32_t kCustomerPart = 100;
const uint32_t kSharedPart = 1000;
const uint32_t kSessionPart = 100000;

struct Request {
    pz_request prompt;
    size_t host;
    int poison;      // number of its poisonous part, from 1; 0: sound
    size_t repeated; // number of the repeated one that it is, from 1; 0: none
    bool is_client_retry; // sent again by the caller
    int attempts = 0;
    int64_t sent_at = 0;
    int64_t due = 0; // time of its first event
    int64_t arrived = 0;
};

struct Endpoint {
    uint32_t run;
    int64_t down_until = 0;
    std::vector<Request> waiting;
};

struct Message {
    std::vector<pz_crash> crashes;
    std::vector<pz_clear> clears;
    std::vector<pz_quarantine> quarantines;
};

struct Host {
    pz_table *table = nullptr;
    int64_t started = 0;
    int64_t skew = 0;
    std::shared_ptr<Message> message = nullptr;
    int64_t message_at = 0;
};

void
OnQuarantined(void *arg, const pz_quarantine *quarantine, int crashes,
              bool from_peer)
{
    // The store has the quarantines that hosts decided themselves; a host that
    // restarts reads them back.
    if (!from_peer) {
        static_cast<std::vector<pz_quarantine> *>(arg)->push_back(*quarantine);
    }
}

void
OnLifted(void *arg, const pz_quarantine *quarantine, const char *why)
{
    auto *store = static_cast<std::vector<pz_quarantine> *>(arg);
    for (size_t i = store->size(); i > 0; i--) {
        if ((*store)[i - 1].key.part == quarantine->key.part &&
            (*store)[i - 1].key.customer == quarantine->key.customer) {
            store->erase(store->begin() + static_cast<long>(i) - 1);
        }
    }
}

const pz_ops ops = {OnQuarantined, OnLifted, nullptr};

class Model {
  public:
    Model(const PoisonScenario &scenario, const PoisonPolicy &policy,
          unsigned seed)
        : scenario_(scenario), policy_(policy), random_(seed),
          hosts_(scenario.hosts), endpoints_(scenario.endpoints), next_run_(1),
          part_crashes_(static_cast<size_t>(scenario.poison_parts)),
          end_(kStart + static_cast<int64_t>(scenario.seconds * 1e6))
    {
        for (Endpoint &endpoint : endpoints_) {
            endpoint.run = next_run_++;
        }
        repeated_.resize(static_cast<size_t>(scenario.poison_requests));
        std::uniform_int_distribution<int64_t> skew(-20 * kMs, 20 * kMs);
        for (size_t i = 0; i < hosts_.size(); i++) {
            hosts_[i].skew = skew(random_);
            StartHost(i, false);
            hosts_[i].started = now_ - 10 * kSecond;
        }
        for (size_t from = 0; from < hosts_.size() && policy.gossip; from++) {
            for (size_t to = 0; to < hosts_.size(); to++) {
                if (to != from) {
                    Schedule(from, to, true);
                }
            }
        }
    }

    ~Model()
    {
        for (Host &host : hosts_) {
            Pz_Destroy(host.table);
        }
    }

    PoisonResult
    Run()
    {
        std::poisson_distribution<int> arrivals(scenario_.per_sec / 1000);
        double restart = scenario_.restart_every;
        size_t next_crash = 0;
        for (now_ = kStart; now_ < end_; now_ += kMs) {
            double second = static_cast<double>(now_ - kStart) / 1e6;
            for (int n = arrivals(random_); n > 0; n--) {
                Arrive();
            }
            RepeatPoisonRequests();
            DeliverEvents();
            ApplyProbes();
            Gossip();
            if (next_crash < scenario_.crash_times.size() &&
                second >= scenario_.crash_times[next_crash]) {
                next_crash++;
                CrashSome();
            }
            if (scenario_.restart_every > 0 && second >= restart + 6) {
                StartHost(restarts_++ % hosts_.size(), true);
                restart += scenario_.restart_every;
            }
            if (scenario_.restart_all > 0 && !all_restarted_ &&
                second >= scenario_.restart_all) {
                all_restarted_ = true;
                for (size_t i = 0; i < hosts_.size(); i++) {
                    StartHost(i, true);
                }
            }
            if ((now_ - kStart) % kTick == 0) {
                for (size_t i = 0; i < hosts_.size(); i++) {
                    Pz_Evaluate(hosts_[i].table, At(i));
                }
            }
        }
        return result_;
    }

  private:
    struct ScheduledMessage {
        int64_t at;
        size_t from;
        size_t to;
        bool
        operator>(const ScheduledMessage &other) const
        {
            return at > other.at;
        }
    };
    struct Delivery {
        int64_t at;
        size_t to;
        std::shared_ptr<Message> message;
        bool
        operator>(const Delivery &other) const
        {
            return at > other.at;
        }
    };

    int64_t
    At(size_t host) const
    {
        return now_ + hosts_[host].skew;
    }

    double
    Unit()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    void
    StartHost(size_t i, bool restore)
    {
        Pz_Destroy(hosts_[i].table);
        hosts_[i].table = Pz_Create(&policy_.rule, &ops, &store_, At(i));
        hosts_[i].started = now_;
        for (size_t k = 0; restore && policy_.gossip && k < store_.size();
             k++) {
            pz_quarantine quarantine = store_[k];
            if (quarantine.requested_at != Pz_HOLD) {
                quarantine.requested_at = At(i);
            }
            Pz_ImportQuarantine(hosts_[i].table, &quarantine, At(i));
        }
    }

    void
    Schedule(size_t from, size_t to, bool first)
    {
        bool same_zone = from % kZones == to % kZones;
        size_t peers = same_zone ? hosts_.size() / kZones
                                 : hosts_.size() - hosts_.size() / kZones;
        double gap =
            static_cast<double>(peers) /
            (same_zone ? kSameZoneMessagesPerSec : kOtherZoneMessagesPerSec);
        gap = gap < 0.1 ? 0.1 : gap;
        double jitter = first ? Unit() : 0.8 + 0.4 * Unit();
        schedule_.push(
            {now_ + static_cast<int64_t>(gap * jitter * 1e6), from, to});
    }

    void
    Gossip()
    {
        while (!schedule_.empty() && schedule_.top().at <= now_) {
            ScheduledMessage due = schedule_.top();
            schedule_.pop();
            Schedule(due.from, due.to, false);
            SendMessage(due.from, due.to);
        }
        while (!deliveries_.empty() && deliveries_.top().at <= now_) {
            Delivery delivery = deliveries_.top();
            deliveries_.pop();
            ReceiveMessage(delivery.to, *delivery.message);
        }
    }

    static std::shared_ptr<Message>
    MakeMessage(const pz_table *table, int64_t now)
    {
        auto message = std::make_shared<Message>();
        message->crashes.resize(kCrashRowsMax);
        message->crashes.resize(Pz_ExportCrashes(
            table, PZ_BOTH, message->crashes.data(), kCrashRowsMax, now));
        message->clears.resize(kClearRowsMax);
        message->clears.resize(Pz_ExportClears(table, message->clears.data(),
                                               kClearRowsMax, now));
        message->quarantines.resize(kQuarantineRowsMax);
        message->quarantines.resize(Pz_ExportQuarantines(
            table, message->quarantines.data(), kQuarantineRowsMax));
        return message;
    }

    void
    SendMessage(size_t from, size_t to)
    {
        Host &host = hosts_[from];
        if (host.message == nullptr || now_ - host.message_at >= kTick) {
            host.message = MakeMessage(host.table, At(from));
            host.message_at = now_;
        }
        const std::shared_ptr<Message> &message = host.message;
        if (message->crashes.size() + message->clears.size() +
                    message->quarantines.size() ==
                0 ||
            Unit() < scenario_.message_loss) {
            return;
        }
        int64_t delay = scenario_.message_delay_max > 0
                            ? static_cast<int64_t>(
                                  Unit() * (double)scenario_.message_delay_max)
                            : kMs;
        deliveries_.push({now_ + delay, to, message});
    }

    void
    ReceiveMessage(size_t to, const Message &message)
    {
        pz_table *table = hosts_[to].table;
        for (const pz_clear &clear : message.clears) {
            Pz_ImportClear(table, &clear);
        }
        for (const pz_quarantine &quarantine : message.quarantines) {
            Pz_ImportQuarantine(table, &quarantine, At(to));
        }
        for (const pz_crash &crash : message.crashes) {
            Pz_ImportCrash(table, &crash);
        }
    }

    Request
    Draw()
    {
        Request request = {};
        request.host = random_() % hosts_.size();
        bool poison_on = now_ - kStart > kPoisonFrom;
        double unit = Unit();
        int part = 0;
        while (poison_on && part < scenario_.poison_parts &&
               unit > scenario_.poison_fraction * (part + 1)) {
            part++;
        }
        request.poison =
            poison_on && part < scenario_.poison_parts ? part + 1 : 0;
        // Customers differ in size: few of them send most requests.
        int customer = static_cast<int>(Unit() * Unit() * scenario_.customers);
        if (request.poison && !scenario_.all_customers) {
            customer = 0;
        }
        pz_request *prompt = &request.prompt;
        prompt->service = 1;
        prompt->id = ++last_id_;
        prompt->customer = static_cast<uint32_t>(customer + 1);
        uint32_t first = kCustomerPart + static_cast<uint32_t>(customer);
        uint32_t poison_part = kPoisonPart + static_cast<uint32_t>(part);
        prompt->parts[prompt->count++] =
            request.poison && scenario_.poison_first ? poison_part : first;
        if (request.poison && !scenario_.poison_first) {
            prompt->parts[prompt->count++] = poison_part;
        }
        if (Unit() < 0.5) {
            prompt->parts[prompt->count++] =
                kSharedPart + static_cast<uint32_t>(random_() % 8);
        }
        else {
            prompt->parts[prompt->count++] =
                kSessionPart + session_++ / kSessionRequests;
        }
        request.arrived = now_;
        prompt->content =
            scenario_.common_fraction > 0 && Unit() < scenario_.common_fraction
                ? 1 + static_cast<uint32_t>(random_() % kCommonContents)
                : kUniqueContent + last_id_;
        return request;
    }

    void
    Arrive()
    {
        Request request = Draw();
        Admit(request);
    }

    // Callers send their request again, with its content and a shared first
    // part.
    void
    RepeatPoisonRequests()
    {
        for (size_t i = 0; i < repeated_.size(); i++) {
            if (now_ < kStart + kPoisonFrom || now_ < repeated_[i].next_at) {
                continue;
            }
            repeated_[i].next_at =
                now_ + static_cast<int64_t>(scenario_.repeat_seconds * 1e6);
            Request request = {};
            request.host = random_() % hosts_.size();
            request.repeated = i + 1;
            request.arrived = now_;
            request.is_client_retry = true;
            request.prompt.service = 1;
            request.prompt.id = kRepeatedContent + static_cast<uint32_t>(i);
            request.prompt.customer = 1;
            request.prompt.parts[request.prompt.count++] = kCustomerPart;
            request.prompt.content =
                kRepeatedContent + static_cast<uint32_t>(i);
            Admit(request);
        }
    }

    bool
    IsAfterDetection(const Request &request) const
    {
        return fifth_crash_ != 0 && request.arrived < end_ - kAnswerTime &&
               request.arrived > fifth_crash_ + 2 * kDetectionTime &&
               request.arrived > hosts_[request.host].started + kDetectionTime;
    }

    static bool
    IsSound(const Request &request)
    {
        return request.poison == 0 && request.repeated == 0;
    }

    void
    Admit(Request request)
    {
        const pz_quarantine *quarantine = Pz_FindQuarantine(
            hosts_[request.host].table, &request.prompt, At(request.host));
        if (!request.poison && !request.is_client_retry &&
            IsAfterDetection(request)) {
            result_.sound_requests++;
        }
        if (quarantine != nullptr) {
            bool hold = quarantine->requested_at == Pz_HOLD;
            result_.sound_refused += IsSound(request) && !hold;
            result_.sound_held += IsSound(request) && hold;
            result_.sound_refused_late +=
                IsSound(request) && IsAfterDetection(request);
            return;
        }
        Send(request);
    }

    void
    Send(Request request)
    {
        std::vector<size_t> available;
        for (size_t i = 0; i < endpoints_.size(); i++) {
            if (endpoints_[i].down_until <= now_) {
                available.push_back(i);
            }
        }
        if (available.empty()) {
            return;
        }
        request.attempts++;
        request.sent_at = At(request.host);
        std::exponential_distribution<double> wait(1 /
                                                   scenario_.first_event_usec);
        request.due =
            now_ + kHeadToEvent + static_cast<int64_t>(wait(random_));
        if (request.poison) {
            CountSentLate(request);
        }
        if (request.repeated) {
            CountRepeatedLate(request);
        }
        Endpoint &endpoint =
            endpoints_[available[random_() % available.size()]];
        bool resets = now_ > kStart + kResetsFrom && now_ < kStart + kResetsTo;
        if (resets && Unit() < scenario_.reset_fraction) {
            Reset(request, endpoint);
            return;
        }
        endpoint.waiting.push_back(request);
    }

    void
    CountSentLate(const Request &request)
    {
        PartCrashes &crashes =
            part_crashes_[static_cast<size_t>(request.poison) - 1];
        crashes.late += crashes.fifth_at != 0 &&
                        now_ > crashes.fifth_at + kDetectionTime &&
                        now_ > hosts_[request.host].started + kDetectionTime;
        result_.poison_sent_late =
            std::max(result_.poison_sent_late, crashes.late);
    }

    void
    CountRepeatedLate(const Request &request)
    {
        Repeated &repeated = repeated_[request.repeated - 1];
        repeated.late += repeated.third_at != 0 &&
                         now_ > repeated.third_at + kDetectionTime &&
                         now_ > hosts_[request.host].started + kDetectionTime;
        result_.request_sent_late =
            std::max(result_.request_sent_late, repeated.late);
    }

    void
    CountRepeatedCrash(const Request &request)
    {
        Repeated &repeated = repeated_[request.repeated - 1];
        repeated.crashes++;
        if (repeated.crashes == kRequestCrashesToDetect) {
            repeated.third_at = now_;
        }
        result_.request_crashes =
            std::max(result_.request_crashes, repeated.crashes);
    }

    void
    CountCrash(const Request &request)
    {
        if (request.repeated) {
            CountRepeatedCrash(request);
            return;
        }
        PartCrashes &crashes =
            part_crashes_[static_cast<size_t>(request.poison) - 1];
        result_.crashes++;
        crashes.count++;
        if (crashes.count == kCrashesToDetect) {
            crashes.fifth_at = now_;
            fifth_crash_ = now_;
        }
    }

    void
    DeliverEvents()
    {
        for (Endpoint &endpoint : endpoints_) {
            for (size_t i = 0; i < endpoint.waiting.size();) {
                if (endpoint.waiting[i].due > now_) {
                    i++;
                    continue;
                }
                Request request = endpoint.waiting[i];
                if (!IsSound(request)) {
                    CountCrash(request);
                    Crash(endpoint);
                    break;
                }
                endpoint.waiting.erase(endpoint.waiting.begin() +
                                       static_cast<long>(i));
                Pz_NoteAnswer(hosts_[request.host].table, &request.prompt,
                              At(request.host));
                Pz_NoteWholeAnswer(hosts_[request.host].table, &request.prompt,
                                   At(request.host));
                result_.sound_served += IsAfterDetection(request);
            }
        }
    }

    void
    Crash(Endpoint &endpoint)
    {
        std::vector<Request> victims;
        victims.swap(endpoint.waiting);
        uint32_t run = endpoint.run;
        endpoint.run = next_run_++;
        endpoint.down_until = now_ + kRestartTime;
        for (const Request &request : victims) {
            probes_.push_back({now_ + kProbeTime, request.host, run, false});
        }
        for (const Request &request : victims) {
            pz_crash crash = {};
            crash.endpoint = run;
            crash.head_received = request.due - now_ <= kHeadToEvent;
            crash.sent_at = request.sent_at;
            crash.ended_at = At(request.host);
            Pz_NoteCrash(hosts_[request.host].table, &request.prompt, &crash,
                         false);
        }
        for (const Request &request : victims) {
            pz_table *table = hosts_[request.host].table;
            Pz_Evaluate(table, At(request.host));
            bool no_retry =
                policy_.limit_retries &&
                Pz_DeniesRetry(table, &request.prompt, At(request.host));
            if (Pz_FindQuarantine(table, &request.prompt, At(request.host))) {
                result_.sound_refused += IsSound(request);
                continue;
            }
            if (request.attempts < kAttemptsMax && !no_retry) {
                Send(request);
            }
            else if (!request.is_client_retry) {
                Request retry = request;
                retry.is_client_retry = true;
                retry.attempts = 0;
                retry.host = random_() % hosts_.size();
                Admit(retry);
            }
        }
    }

    // The connection breaks at once, but the endpoint goes on running.
    void
    Reset(Request request, const Endpoint &endpoint)
    {
        pz_table *table = hosts_[request.host].table;
        pz_crash crash = {};
        crash.endpoint = endpoint.run;
        crash.sent_at = request.sent_at;
        crash.ended_at = At(request.host) + 2 * kMs;
        Pz_NoteCrash(table, &request.prompt, &crash, false);
        probes_.push_back(
            {now_ + kProbeTime, request.host, endpoint.run, true});
        if (request.attempts < kAttemptsMax &&
            !Pz_DeniesRetry(table, &request.prompt, At(request.host))) {
            Send(request);
        }
    }

    // Applies the results of health checks of endpoints whose connection
    // broke.
    void
    ApplyProbes()
    {
        for (; !probes_.empty() && probes_.front().at <= now_;
             probes_.pop_front()) {
            const Probe &probe = probes_.front();
            pz_table *table = hosts_[probe.host].table;
            if (probe.alive) {
                Pz_NoteAlive(table, probe.endpoint, At(probe.host));
            }
            else {
                Pz_ConfirmDead(table, probe.endpoint);
            }
        }
    }

    void
    CrashSome()
    {
        for (Endpoint &endpoint : endpoints_) {
            if (endpoint.down_until <= now_ &&
                Unit() < scenario_.crash_fraction) {
                Crash(endpoint);
            }
        }
    }

    PoisonScenario scenario_;
    PoisonPolicy policy_;
    std::mt19937 random_;
    std::vector<Host> hosts_;
    std::vector<Endpoint> endpoints_;
    uint32_t next_run_;
    struct PartCrashes {
        int count = 0;
        int late = 0;
        int64_t fifth_at = 0;
    };
    std::vector<PartCrashes> part_crashes_;
    struct Repeated {
        int crashes = 0;
        int late = 0;
        int64_t third_at = 0;
        int64_t next_at = 0;
    };
    std::vector<Repeated> repeated_;
    uint32_t session_ = 0;
    uint32_t last_id_ = 0;
    int64_t now_ = kStart;
    int64_t end_;
    int64_t fifth_crash_ = 0; // latest fifth crash of any part
    size_t restarts_ = 0;
    bool all_restarted_ = false;
    struct Probe {
        int64_t at;
        size_t host;
        uint32_t endpoint;
        bool alive;
    };
    std::deque<Probe> probes_;
    std::vector<pz_quarantine> store_;
    std::priority_queue<ScheduledMessage, std::vector<ScheduledMessage>,
                        std::greater<ScheduledMessage>>
        schedule_;
    std::priority_queue<Delivery, std::vector<Delivery>,
                        std::greater<Delivery>>
        deliveries_;
    PoisonResult result_;
};

} // namespace

PoisonResult
SimulatePoison(const PoisonScenario &scenario, const PoisonPolicy &policy,
               unsigned seed)
{
    Model model(scenario, policy, seed);
    return model.Run();
}

} // namespace cg
