/* Bounded search of the interleavings of two keepers that claim one key. */
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "base/hash.h"
#include "state/claim.h"
#include "state/sequences.h"

namespace {

enum class Fault {
    kNone,
    kWonByAnswer,       /* the append's own answer is taken as the verdict */
    kReleaseDispatched, /* a dispatched attempt is released */
    kDispatchReleased,  /* a released attempt is dispatched */
    /*
     * An abandoned claim is released before it is read back, and dispatched if
     * it turns out to have won.
     */
    kReleaseUnread,
};

enum Op { OP_NONE, OP_CLAIM, OP_RESULT, OP_RELEASE };
enum Phase { IDLE, WAITING, ABANDONED, WON, RUNNING };

const int kHosts = 2;
const int kAttempts = 2; /* per host */
const int kRecords = 4;

struct Record {
    int host;
    int incarnation;
    int sequence;
    int op;
    int attempt;
};

struct Host {
    Record in_flight;   /* OP_NONE: none; resent unchanged until settled */
    Record orphan;      /* record in flight when this host crashed */
    bool maybe_written; /* "in_flight" may be in the log */
    int incarnation;
    int sequence;
    int attempts;
    int phase;
    int attempt;
    int read;
};

/* Compared by its bytes, so it must be zeroed before use. */
struct Model {
    Host hosts[kHosts];
    Record log[kRecords];
    int records;
    int runs;
};

struct Verdict {
    bool accepted; /* the record is not a duplicate */
    enum cl_verdict verdict;
};

struct Search {
    Fault fault;
    bool failed = false;
    int most_runs = 0;
    std::unordered_set<uint64_t> visited;
    std::unordered_map<uint64_t, Verdict> verdicts;

    explicit Search(Fault f) : fault(f)
    {
    }

    static struct cl_attempt
    Attempt(const Record &record)
    {
        struct cl_attempt attempt = {};
        attempt.owner.node[0] = (char)('a' + record.host);
        attempt.owner.incarnation = (uint64_t)record.incarnation + 1;
        attempt.number = (uint64_t)record.attempt;
        return attempt;
    }

    static Verdict
    Apply(struct cl_table *table, struct se_table *writers, const Record &r)
    {
        struct cl_claim claim = {};
        struct cl_answer answer = {};
        claim.key.customer[0] = claim.key.digest[0] = 'k';
        claim.attempt = Attempt(r);
        answer.code = 200;
        answer.body = "";
        struct rc_record record = {};
        record.writer = claim.attempt.owner;
        record.sequence = (uint64_t)r.sequence;
        const char *const kinds[] = {"", Cl_CLAIM, Cl_RESULT, Cl_RELEASE};
        snprintf(record.kind, sizeof(record.kind), "%s", kinds[r.op]);
        record.body = r.op == OP_CLAIM ? Cl_ClaimBody(&claim)
                      : r.op == OP_RESULT
                          ? Cl_ResultBody(&claim.key, &claim.attempt, &answer)
                          : Cl_ReleaseBody(&claim.key, &claim.attempt);
        struct cl_outcome out = {};
        Verdict verdict = {Se_Accept(writers, &record), CL_NONE};
        if (verdict.accepted) {
            Cl_Apply(table, &record, &out);
            verdict.verdict = out.verdict;
        }
        json_decref(record.body);
        return verdict;
    }

    /* Returns the verdict on the last of the first "count" records. */
    Verdict
    LastVerdict(const Model &m, int count)
    {
        uint64_t id = Hash_Bytes(m.log, sizeof(Record) * (size_t)count, 1);
        auto cached = verdicts.find(id);
        if (cached != verdicts.end()) {
            return cached->second;
        }
        struct cl_options options = {};
        struct cl_table *table = Cl_Create(&options);
        struct se_table *writers = Se_Create(100);
        Verdict verdict = {};
        for (int i = 0; i < count; i++) {
            verdict = Apply(table, writers, m.log[i]);
        }
        Cl_Destroy(table);
        Se_Destroy(writers);
        verdicts[id] = verdict;
        return verdict;
    }

    void
    Visit(const Model &m)
    {
        most_runs = m.runs > most_runs ? m.runs : most_runs;
        failed = failed || m.runs > 1;
        if (failed || !visited.insert(Hash_Bytes(&m, sizeof(m), 0)).second) {
            return;
        }
        for (int i = 0; i < kHosts; i++) {
            OwnerStep(m, i);
            Write(m, i, true);
            Write(m, i, false);
            WriteOrphan(m, i);
            Refuse(m, i);
            Read(m, i);
            Crash(m, i);
        }
    }

    static void
    Send(Host &host, int i, int op, int attempt)
    {
        host.in_flight = {i, host.incarnation, ++host.sequence, op, attempt};
        host.maybe_written = false;
    }

    /* Takes the steps that an owner may take without an event from the log. */
    void
    OwnerStep(Model m, int i)
    {
        Host &host = m.hosts[i];
        bool free = host.in_flight.op == OP_NONE;
        if (host.phase == WAITING) {
            host.phase = ABANDONED;
            Visit(m);
        }
        else if (host.phase == IDLE && free && host.attempts < kAttempts) {
            host.attempt = ++host.attempts;
            host.phase = WAITING;
            Send(host, i, OP_CLAIM, host.attempt);
            Visit(m);
        }
        else if (host.phase == WON) {
            Model run = m;
            run.runs++;
            run.hosts[i].phase = RUNNING;
            Visit(run);
            if (free) {
                host.phase = fault == Fault::kDispatchReleased ? WON : IDLE;
                Send(host, i, OP_RELEASE, host.attempt);
                Visit(m);
            }
        }
        else if (host.phase == RUNNING && free) {
            host.phase = IDLE;
            Model released = m;
            Send(host, i, OP_RESULT, host.attempt);
            Visit(m);
            if (fault == Fault::kReleaseDispatched) {
                Send(released.hosts[i], i, OP_RELEASE, host.attempt);
                Visit(released);
            }
        }
    }

    /* The append takes effect and is either answered or may be sent again. */
    void
    Write(Model m, int i, bool answered)
    {
        Host &host = m.hosts[i];
        if (host.in_flight.op == OP_NONE || m.records == kRecords) {
            return;
        }
        m.log[m.records++] = host.in_flight;
        host.maybe_written = true;
        if (answered) {
            if (fault == Fault::kWonByAnswer &&
                host.in_flight.op == OP_CLAIM && host.phase == WAITING) {
                host.phase = WON;
            }
            host.in_flight = {};
        }
        Visit(m);
    }

    void
    WriteOrphan(Model m, int i)
    {
        Host &host = m.hosts[i];
        if (host.orphan.op != OP_NONE && m.records < kRecords) {
            m.log[m.records++] = host.orphan;
            host.orphan = {};
            Visit(m);
        }
    }

    /*
     * A refusal proves that the record was not written only if no earlier try
     * of the same append may have been written.
     */
    void
    Refuse(Model m, int i)
    {
        Host &host = m.hosts[i];
        if (host.in_flight.op != OP_CLAIM || host.maybe_written) {
            return;
        }
        host.in_flight = {};
        host.sequence--;
        host.phase = IDLE;
        Visit(m);
    }

    void
    Read(Model m, int i)
    {
        Host &host = m.hosts[i];
        if (host.read == m.records) {
            return;
        }
        Record record = m.log[host.read++];
        Verdict verdict = LastVerdict(m, host.read);
        bool own = record.host == i && record.incarnation == host.incarnation;
        if (own && record.sequence == host.in_flight.sequence) {
            host.in_flight = {};
        }
        if (own && verdict.accepted && record.op == OP_CLAIM &&
            record.attempt == host.attempt) {
            Settle(host, i, verdict.verdict == CL_WON);
        }
        Visit(m);
    }

    void
    Settle(Host &host, int i, bool won)
    {
        if (host.phase == WAITING) {
            host.phase = won ? WON : IDLE;
        }
        else if (host.phase == ABANDONED) {
            host.phase = IDLE;
            if (won) {
                host.phase = fault == Fault::kReleaseUnread ? WON : IDLE;
                Send(host, i, OP_RELEASE, host.attempt);
            }
        }
    }

    void
    Crash(Model m, int i)
    {
        Host &host = m.hosts[i];
        if (host.incarnation > 0) {
            return;
        }
        host.orphan = host.in_flight;
        host.in_flight = {};
        host.maybe_written = false;
        host.incarnation++;
        host.sequence = 0;
        host.phase = IDLE;
        host.read = 0;
        Visit(m);
    }
};

/*
 * Two hosts claim the same key.  Appends are written, refused, resent or left
 * in flight by a crash; owners abandon, release, dispatch, answer or crash.
 * All sequences within the bound are searched; the request must run at most
 * once, since otherwise a seat would be charged twice.
 */
TEST(ClaimSearch, AKeyRunsAtMostOnce)
{
    Search search(Fault::kNone);
    Model m;
    memset(&m, 0, sizeof(m));
    search.Visit(m);
    EXPECT_FALSE(search.failed);
    EXPECT_EQ(1, search.most_runs);
    printf("states searched: %zu\n", search.visited.size());
}

TEST(ClaimSearch, DetectsEveryInjectedFault)
{
    for (Fault fault : {Fault::kWonByAnswer, Fault::kReleaseDispatched,
                        Fault::kDispatchReleased, Fault::kReleaseUnread}) {
        Search search(fault);
        Model m;
        memset(&m, 0, sizeof(m));
        search.Visit(m);
        EXPECT_TRUE(search.failed) << (int)fault;
    }
}

} // namespace
