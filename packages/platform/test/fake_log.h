/*
 * An in-memory log with fault injection, for tests of code that uses plog.h.
 * Answers wait in a queue until the test calls Run() or Step(), so that
 * a test controls their order.
 */
#ifndef PLATFORM_TEST_FAKE_LOG_H
#define PLATFORM_TEST_FAKE_LOG_H

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "platform/plog.h"

struct FakeLog {
    /*
     * kLost: the records are written and the answer is lost.  kRequestLost:
     * the request is lost.  kLate: the answer is lost and the records are
     * written when DeliverLate() is called.  kRefused: nothing is
     * written and the answer says so.
     */
    enum class Fault { kNone, kLost, kRequestLost, kLate, kRefused };

    struct Stream {
        uint64_t oldest = Pl_FIRST_OFFSET;
        std::vector<std::string> records;

        uint64_t
        Next() const
        {
            return oldest + records.size();
        }
    };

    struct pl_log log;
    std::map<std::string, Stream> streams;
    std::deque<std::function<void()>> answers;
    std::deque<std::function<void()>> late; /* written by DeliverLate() */
    std::deque<Fault> faults;               /* faults of the next appends */
    /* Probabilities: kLost, kRequestLost or kLate; kRefused. */
    double lost_rate = 0;
    double refused_rate = 0;
    /* Probability that a read omits the newest records. */
    double short_rate = 0;
    /* Probability that a read starts one record too early. */
    double overlap_rate = 0;
    bool outage = false;
    int appends = 0;
    struct rn_random random;

    FakeLog() : log{&kOps, this}
    {
        Rn_Seed(&random, 1);
    }
    FakeLog(const FakeLog &) = delete;

    /* Delivers the pending answers: "done" is called for every call. */
    ~FakeLog()
    {
        Run();
    }

    uint64_t
    Put(const std::string &stream, const std::string &text)
    {
        Stream &s = streams[stream];
        s.records.push_back(text);
        return s.Next() - 1;
    }

    void
    Expire(const std::string &stream, uint64_t oldest)
    {
        Stream &s = streams[stream];
        while (s.oldest < oldest && !s.records.empty()) {
            s.records.erase(s.records.begin());
            s.oldest++;
        }
    }

    bool
    Step()
    {
        if (answers.empty()) {
            return false;
        }
        auto answer = answers.front();
        answers.pop_front();
        answer();
        return true;
    }

    void
    Run(int limit = 100000)
    {
        while (limit-- > 0 && Step()) {
        }
    }

    bool
    DeliverLate()
    {
        if (late.empty()) {
            return false;
        }
        auto append = late.front();
        late.pop_front();
        append();
        return true;
    }

  private:
    static const struct pl_ops kOps;

    Fault
    NextFault()
    {
        if (outage) {
            return Fault::kRefused;
        }
        if (!faults.empty()) {
            Fault fault = faults.front();
            faults.pop_front();
            return fault;
        }
        if (Rn_Unit(&random) < refused_rate) {
            return Fault::kRefused;
        }
        if (Rn_Unit(&random) < lost_rate) {
            switch (Rn_Below(&random, 3)) {
            case 0:
                return Fault::kLost;
            case 1:
                return Fault::kRequestLost;
            default:
                return Fault::kLate;
            }
        }
        return Fault::kNone;
    }

    static enum st_status
    Append(struct pl_log *log, const char *stream, const char *const *texts,
           size_t count, pl_append_fn done, void *arg)
    {
        auto *self = static_cast<FakeLog *>(log->context);
        std::string name = stream;
        std::vector<std::string> copy(texts, texts + count);
        self->appends++;
        Fault fault = self->NextFault();
        struct pl_append answer = {PL_UNKNOWN, 0, 0};
        auto write = [self, name, copy] {
            for (const std::string &text : copy) {
                self->Put(name, text);
            }
        };
        if (fault == Fault::kRefused) {
            answer.kind = PL_REFUSED;
        }
        else if (fault == Fault::kLate) {
            self->late.push_back(write);
        }
        else if (fault != Fault::kRequestLost) {
            uint64_t offset = self->streams[name].Next();
            write();
            if (fault == Fault::kNone) {
                answer = {PL_WRITTEN, offset, count};
            }
        }
        self->answers.push_back([=] { done(arg, &answer); });
        return ST_OK;
    }

    static enum st_status
    Read(struct pl_log *log, const char *stream, uint64_t from, size_t max,
         pl_read_fn done, void *arg)
    {
        auto *self = static_cast<FakeLog *>(log->context);
        struct pl_read answer = {PL_READ, 0, 0, nullptr, 0};
        const Stream &s = self->streams[stream];
        std::vector<std::string> copy;
        answer.oldest = s.oldest;
        answer.next = s.Next();
        if (self->outage) {
            answer.kind = PL_FAILED;
        }
        else if (from < s.oldest) {
            answer.kind = PL_EXPIRED;
        }
        else {
            if (answer.next > s.oldest &&
                Rn_Unit(&self->random) < self->short_rate) {
                answer.next -=
                    Rn_Below(&self->random, (uint32_t)(s.records.size() + 1));
            }
            if (from > s.oldest &&
                Rn_Unit(&self->random) < self->overlap_rate) {
                from--;
            }
            for (uint64_t o = from; o < answer.next && copy.size() < max;
                 o++) {
                copy.push_back(s.records[o - s.oldest]);
            }
        }
        self->answers.push_back([=] {
            struct pl_read full = answer;
            std::vector<struct pl_record> records;
            for (size_t i = 0; i < copy.size(); i++) {
                records.push_back({from + i, copy[i].c_str()});
            }
            full.records = records.data();
            full.count = records.size();
            done(arg, &full);
        });
        return ST_OK;
    }
};

inline const struct pl_ops FakeLog::kOps = {FakeLog::Append, FakeLog::Read};

#endif
