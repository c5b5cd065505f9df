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
const int64_t kHead = 40 * kMs; // from the head of an answer to its event
const int64_t kBoot = 3 * kSecond;
const int64_t kTick = 100 * kMs;
const int64_t kContact = 3 * kSecond;
const int64_t kSign = 120 * kMs; // until a test has shown what lives
const int64_t kResetsFrom = 6 * kSecond;
const int64_t kResetsTo = 9 * kSecond;
const size_t kMany = 5;
const size_t kZones = 4;
const double kNearPerSec = 120;
const double kFarPerSec = 100;
const size_t kCrashesTold = 24;
const size_t kClearsTold = 16;
const size_t kStopsTold = 8;
const int kAttempts = 3;
const int kSessionRequests = 4;
const uint32_t kDead = 1;
const uint32_t kFirst = 100;
const uint32_t kShared = 1000;
const uint32_t kSession = 100000;

struct Request {
    pz_request asked;
    size_t host;
    int bad;    // which part, from 1; 0: sound
    bool again; // the caller's own repeat
    int attempts = 0;
    int64_t sent_at = 0;
    int64_t due = 0; // its first event
    int64_t arrived = 0;
};

struct Endpoint {
    uint32_t run;
    int64_t down_until = 0;
    std::vector<Request> waiting;
};

struct Word {
    std::vector<pz_crash> crashes;
    std::vector<pz_clear> clears;
    std::vector<pz_stop> stops;
};

struct Host {
    pz_table *table = nullptr;
    int64_t started = 0;
    int64_t skew = 0;
    std::shared_ptr<Word> word = nullptr;
    int64_t word_at = 0;
};

void
OnStopped(void *arg, const pz_stop *stop, int crashes, bool heard)
{
    // What is known must last: the store keeps it.
    if (!heard) {
        static_cast<std::vector<pz_stop> *>(arg)->push_back(*stop);
    }
}

void
OnLifted(void *arg, const pz_stop *stop, const char *why)
{
    auto *kept = static_cast<std::vector<pz_stop> *>(arg);
    for (size_t i = kept->size(); i > 0; i--) {
        if ((*kept)[i - 1].key.part == stop->key.part &&
            (*kept)[i - 1].key.customer == stop->key.customer) {
            kept->erase(kept->begin() + static_cast<long>(i) - 1);
        }
    }
}

const pz_ops ops = {OnStopped, OnLifted};

class Model {
  public:
    Model(const PoisonScene &scene, const PoisonWay &way, unsigned seed)
        : scene_(scene), way_(way), random_(seed), hosts_(scene.hosts),
          endpoints_(scene.endpoints), next_run_(1),
          ends_(static_cast<size_t>(scene.parts))
    {
        for (Endpoint &endpoint : endpoints_) {
            endpoint.run = next_run_++;
        }
        std::uniform_int_distribution<int64_t> skew(-20 * kMs, 20 * kMs);
        for (size_t i = 0; i < hosts_.size(); i++) {
            hosts_[i].skew = skew(random_);
            StartHost(i, false);
            hosts_[i].started = now_ - 10 * kSecond;
        }
        for (size_t from = 0; from < hosts_.size() && way.words; from++) {
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

    PoisonPlayed
    Run()
    {
        std::poisson_distribution<int> arrivals(scene_.per_sec / 1000);
        int64_t end = kStart + static_cast<int64_t>(scene_.seconds * 1e6);
        double restart = scene_.restart_every;
        size_t next_crash = 0;
        for (now_ = kStart; now_ < end; now_ += kMs) {
            double second = static_cast<double>(now_ - kStart) / 1e6;
            for (int n = arrivals(random_); n > 0; n--) {
                Arrive();
            }
            Begin();
            TakeSigns();
            Talk();
            if (next_crash < scene_.crashes.size() &&
                second >= scene_.crashes[next_crash]) {
                next_crash++;
                CrashSome();
            }
            if (scene_.restart_every > 0 && second >= restart + 6) {
                StartHost(restarts_++ % hosts_.size(), true);
                restart += scene_.restart_every;
            }
            if (scene_.restart_all > 0 && !all_restarted_ &&
                second >= scene_.restart_all) {
                all_restarted_ = true;
                for (size_t i = 0; i < hosts_.size(); i++) {
                    StartHost(i, true);
                }
            }
            if ((now_ - kStart) % kTick == 0) {
                for (size_t i = 0; i < hosts_.size(); i++) {
                    Pz_Judge(hosts_[i].table, At(i));
                }
            }
        }
        return played_;
    }

  private:
    struct Due {
        int64_t at;
        size_t from;
        size_t to;
        bool
        operator>(const Due &other) const
        {
            return at > other.at;
        }
    };
    struct Coming {
        int64_t at;
        size_t to;
        std::shared_ptr<Word> word;
        bool
        operator>(const Coming &other) const
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
    StartHost(size_t i, bool know)
    {
        Pz_Destroy(hosts_[i].table);
        hosts_[i].table = Pz_Create(&way_.rule, &ops, &kept_, At(i));
        hosts_[i].started = now_;
        for (size_t k = 0; know && way_.words && k < kept_.size(); k++) {
            pz_stop stop = kept_[k];
            stop.seen_at = At(i);
            Pz_HearStop(hosts_[i].table, &stop, At(i));
        }
    }

    void
    Schedule(size_t from, size_t to, bool first)
    {
        bool near = from % kZones == to % kZones;
        size_t peers = near ? hosts_.size() / kZones
                            : hosts_.size() - hosts_.size() / kZones;
        double gap =
            static_cast<double>(peers) / (near ? kNearPerSec : kFarPerSec);
        gap = gap < 0.1 ? 0.1 : gap;
        double part = first ? Unit() : 0.8 + 0.4 * Unit();
        due_.push({now_ + static_cast<int64_t>(gap * part * 1e6), from, to});
    }

    void
    Talk()
    {
        while (!due_.empty() && due_.top().at <= now_) {
            Due due = due_.top();
            due_.pop();
            Schedule(due.from, due.to, false);
            Say(due.from, due.to);
        }
        while (!coming_.empty() && coming_.top().at <= now_) {
            Coming coming = coming_.top();
            coming_.pop();
            Hear(coming.to, *coming.word);
        }
    }

    static std::shared_ptr<Word>
    Make(const pz_table *table, int64_t now)
    {
        auto word = std::make_shared<Word>();
        word->crashes.resize(kCrashesTold);
        word->crashes.resize(
            Pz_TellCrashes(table, word->crashes.data(), kCrashesTold, now));
        word->clears.resize(kClearsTold);
        word->clears.resize(
            Pz_TellClears(table, word->clears.data(), kClearsTold, now));
        word->stops.resize(kStopsTold);
        word->stops.resize(
            Pz_TellStops(table, word->stops.data(), kStopsTold));
        return word;
    }

    void
    Say(size_t from, size_t to)
    {
        Host &host = hosts_[from];
        if (host.word == nullptr || now_ - host.word_at >= kTick) {
            host.word = Make(host.table, At(from));
            host.word_at = now_;
        }
        const std::shared_ptr<Word> &word = host.word;
        if (word->crashes.size() + word->clears.size() + word->stops.size() ==
                0 ||
            Unit() < scene_.lost) {
            return;
        }
        int64_t late = scene_.late > 0
                           ? static_cast<int64_t>(Unit() * (double)scene_.late)
                           : kMs;
        coming_.push({now_ + late, to, word});
    }

    void
    Hear(size_t to, const Word &word)
    {
        pz_table *table = hosts_[to].table;
        for (const pz_clear &clear : word.clears) {
            Pz_HearClear(table, &clear);
        }
        for (const pz_stop &stop : word.stops) {
            Pz_HearStop(table, &stop, At(to));
        }
        for (const pz_crash &crash : word.crashes) {
            Pz_HearCrash(table, &crash);
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
        while (poison_on && part < scene_.parts &&
               unit > scene_.poisoned * (part + 1)) {
            part++;
        }
        request.bad = poison_on && part < scene_.parts ? part + 1 : 0;
        // A few customers are large.
        int customer = static_cast<int>(Unit() * Unit() * scene_.customers);
        if (request.bad && !scene_.any_customer) {
            customer = 0;
        }
        pz_request *asked = &request.asked;
        asked->service = 1;
        asked->id = ++last_id_;
        asked->customer = static_cast<uint32_t>(customer + 1);
        uint32_t first = kFirst + static_cast<uint32_t>(customer);
        uint32_t dead = kDead + static_cast<uint32_t>(part);
        asked->parts[asked->count++] =
            request.bad && scene_.first ? dead : first;
        if (request.bad && !scene_.first) {
            asked->parts[asked->count++] = dead;
        }
        if (Unit() < 0.5) {
            asked->parts[asked->count++] =
                kShared + static_cast<uint32_t>(random_() % 8);
        }
        else {
            asked->parts[asked->count++] =
                kSession + session_++ / kSessionRequests;
        }
        request.arrived = now_;
        return request;
    }

    void
    Arrive()
    {
        Request request = Draw();
        Take(request);
    }

    bool
    Counts(const Request &request) const
    {
        return fifth_ != 0 && request.arrived > fifth_ + 2 * kContact &&
               request.arrived > hosts_[request.host].started + kContact;
    }

    void
    Take(Request request)
    {
        const pz_stop *stop = Pz_Refuses(hosts_[request.host].table,
                                         &request.asked, At(request.host));
        if (!request.bad && !request.again && Counts(request)) {
            played_.sound++;
        }
        if (stop != nullptr) {
            played_.refused += !request.bad;
            played_.refused_late += !request.bad && Counts(request);
            return;
        }
        Send(request);
    }

    void
    Send(Request request)
    {
        std::vector<size_t> up;
        for (size_t i = 0; i < endpoints_.size(); i++) {
            if (endpoints_[i].down_until <= now_) {
                up.push_back(i);
            }
        }
        if (up.empty()) {
            return;
        }
        request.attempts++;
        request.sent_at = At(request.host);
        std::exponential_distribution<double> wait(1 / scene_.begin_usec);
        request.due = now_ + kHead + static_cast<int64_t>(wait(random_));
        if (request.bad) {
            CountLate(request);
        }
        Endpoint &endpoint = endpoints_[up[random_() % up.size()]];
        bool resets = now_ > kStart + kResetsFrom && now_ < kStart + kResetsTo;
        if (resets && Unit() < scene_.resets) {
            Reset(request, endpoint);
            return;
        }
        endpoint.waiting.push_back(request);
    }

    void
    CountLate(const Request &request)
    {
        Ends &ends = ends_[static_cast<size_t>(request.bad) - 1];
        ends.late += ends.fifth != 0 && now_ > ends.fifth + kContact &&
                     now_ > hosts_[request.host].started + kContact;
        played_.late = std::max(played_.late, ends.late);
    }

    void
    CountEnd(const Request &request)
    {
        Ends &ends = ends_[static_cast<size_t>(request.bad) - 1];
        played_.ended++;
        ends.count++;
        if (ends.count == kMany) {
            ends.fifth = now_;
            fifth_ = now_;
        }
    }

    void
    Begin()
    {
        for (Endpoint &endpoint : endpoints_) {
            for (size_t i = 0; i < endpoint.waiting.size();) {
                if (endpoint.waiting[i].due > now_) {
                    i++;
                    continue;
                }
                Request request = endpoint.waiting[i];
                if (request.bad) {
                    CountEnd(request);
                    End(endpoint);
                    break;
                }
                endpoint.waiting.erase(endpoint.waiting.begin() +
                                       static_cast<long>(i));
                Pz_Began(hosts_[request.host].table, &request.asked,
                         At(request.host));
                played_.served += Counts(request);
            }
        }
    }

    void
    End(Endpoint &endpoint)
    {
        std::vector<Request> broken;
        broken.swap(endpoint.waiting);
        uint32_t run = endpoint.run;
        endpoint.run = next_run_++;
        endpoint.down_until = now_ + kBoot;
        for (const Request &request : broken) {
            signs_.push_back({now_ + kSign, request.host, run, false});
        }
        for (const Request &request : broken) {
            pz_crash crash = {};
            crash.endpoint = run;
            crash.begun = request.due - now_ <= kHead;
            crash.sent_at = request.sent_at;
            crash.ended_at = At(request.host);
            Pz_Ended(hosts_[request.host].table, &request.asked, &crash);
        }
        for (const Request &request : broken) {
            pz_table *table = hosts_[request.host].table;
            Pz_Judge(table, At(request.host));
            bool doubted = way_.doubts &&
                           Pz_Doubts(table, &request.asked, At(request.host));
            if (Pz_Refuses(table, &request.asked, At(request.host))) {
                played_.refused += !request.bad;
                continue;
            }
            if (request.attempts < kAttempts && !doubted) {
                Send(request);
            }
            else if (!request.again) {
                Request again = request;
                again.again = true;
                again.attempts = 0;
                again.host = random_() % hosts_.size();
                Take(again);
            }
        }
    }

    // A connection breaks at once, and the endpoint goes on.
    void
    Reset(Request request, const Endpoint &endpoint)
    {
        pz_table *table = hosts_[request.host].table;
        pz_crash crash = {};
        crash.endpoint = endpoint.run;
        crash.sent_at = request.sent_at;
        crash.ended_at = At(request.host) + 2 * kMs;
        Pz_Ended(table, &request.asked, &crash);
        signs_.push_back({now_ + kSign, request.host, endpoint.run, true});
        if (request.attempts < kAttempts &&
            !Pz_Doubts(table, &request.asked, At(request.host))) {
            Send(request);
        }
    }

    // Hosts test what a connection broke to.
    void
    TakeSigns()
    {
        for (; !signs_.empty() && signs_.front().at <= now_;
             signs_.pop_front()) {
            const Sign &sign = signs_.front();
            pz_table *table = hosts_[sign.host].table;
            if (sign.lives) {
                Pz_Lives(table, sign.endpoint, At(sign.host));
            }
            else {
                Pz_Dead(table, sign.endpoint);
            }
        }
    }

    void
    CrashSome()
    {
        for (Endpoint &endpoint : endpoints_) {
            if (endpoint.down_until <= now_ && Unit() < scene_.crash_part) {
                End(endpoint);
            }
        }
    }

    PoisonScene scene_;
    PoisonWay way_;
    std::mt19937 random_;
    std::vector<Host> hosts_;
    std::vector<Endpoint> endpoints_;
    uint32_t next_run_;
    struct Ends {
        int count = 0;
        int late = 0;
        int64_t fifth = 0;
    };
    std::vector<Ends> ends_;
    uint32_t session_ = 0;
    uint32_t last_id_ = 0;
    int64_t now_ = kStart;
    int64_t fifth_ = 0; // of the part that came to it last
    size_t restarts_ = 0;
    bool all_restarted_ = false;
    struct Sign {
        int64_t at;
        size_t host;
        uint32_t endpoint;
        bool lives;
    };
    std::deque<Sign> signs_;
    std::vector<pz_stop> kept_;
    std::priority_queue<Due, std::vector<Due>, std::greater<Due>> due_;
    std::priority_queue<Coming, std::vector<Coming>, std::greater<Coming>>
        coming_;
    PoisonPlayed played_;
};

} // namespace

PoisonPlayed
PlayPoison(const PoisonScene &scene, const PoisonWay &way, unsigned seed)
{
    Model model(scene, way, seed);
    return model.Run();
}

} // namespace cg
