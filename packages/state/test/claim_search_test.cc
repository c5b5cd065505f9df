/* Every interleaving of two keepers of one key, over the claim table. */
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "base/hash.h"
#include "state/claim.h"
#include "state/seen.h"

namespace {

enum class Flaw {
    kNone,
    kWonByAnswer,       /* the append's own answer is the verdict */
    kReleaseDispatched, /* an owner releases what it has dispatched */
    kKeepReleased,      /* an owner dispatches what it has released */
    kReleaseUnread,     /* a claim given up is released before it is read,
                           and dispatched when it turns out to have won */
};

enum Op { OP_NONE, OP_CLAIM, OP_RESULT, OP_RELEASE };
enum Phase { IDLE, WAITING, GIVEN_UP, WON, RUNNING };

const int kHosts = 2;
const int kAttempts = 2; /* of each host */
const int kRecords = 4;

struct Record {
    int host;
    int incarnation;
    int sequence;
    int op;
    int attempt;
};

struct Host {
    Record flight; /* op OP_NONE: none; repeated unchanged until settled */
    Record orphan; /* what a dead run of this host left on its way */
    bool landed;   /* the flight may be in the log */
    int incarnation;
    int sequence;
    int attempts;
    int phase;
    int attempt;
    int read;
};

/* Compared by its bytes, so it is cleared before use. */
struct Model {
    Host hosts[kHosts];
    Record log[kRecords];
    int records;
    int runs;
};

struct Verdict {
    bool fresh; /* not a repeat */
    enum cl_verdict verdict;
};

struct Search {
    Flaw flaw;
    bool failed = false;
    int most_runs = 0;
    std::unordered_set<uint64_t> seen;
    std::unordered_map<uint64_t, Verdict> verdicts;

    explicit Search(Flaw f) : flaw(f)
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
        if (verdict.fresh) {
            Cl_Apply(table, &record, &out);
            verdict.verdict = out.verdict;
        }
        json_decref(record.body);
        return verdict;
    }

    /* What the last of the first "count" records is judged to be. */
    Verdict
    Judge(const Model &m, int count)
    {
        uint64_t id = Hash_Bytes(m.log, sizeof(Record) * (size_t)count, 1);
        auto known = verdicts.find(id);
        if (known != verdicts.end()) {
            return known->second;
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
        if (failed || !seen.insert(Hash_Bytes(&m, sizeof(m), 0)).second) {
            return;
        }
        for (int i = 0; i < kHosts; i++) {
            Act(m, i);
            Land(m, i, true);
            Land(m, i, false);
            LandOrphan(m, i);
            Refuse(m, i);
            Read(m, i);
            Crash(m, i);
        }
    }

    static void
    Send(Host &host, int i, int op, int attempt)
    {
        host.flight = {i, host.incarnation, ++host.sequence, op, attempt};
        host.landed = false;
    }

    /* What an owner may do of its own accord. */
    void
    Act(Model m, int i)
    {
        Host &host = m.hosts[i];
        bool free = host.flight.op == OP_NONE;
        if (host.phase == WAITING) {
            host.phase = GIVEN_UP;
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
                host.phase = flaw == Flaw::kKeepReleased ? WON : IDLE;
                Send(host, i, OP_RELEASE, host.attempt);
                Visit(m);
            }
        }
        else if (host.phase == RUNNING && free) {
            host.phase = IDLE;
            Model released = m;
            Send(host, i, OP_RESULT, host.attempt);
            Visit(m);
            if (flaw == Flaw::kReleaseDispatched) {
                Send(released.hosts[i], i, OP_RELEASE, host.attempt);
                Visit(released);
            }
        }
    }

    /* The append takes effect, and is answered or may be repeated. */
    void
    Land(Model m, int i, bool answered)
    {
        Host &host = m.hosts[i];
        if (host.flight.op == OP_NONE || m.records == kRecords) {
            return;
        }
        m.log[m.records++] = host.flight;
        host.landed = true;
        if (answered) {
            if (flaw == Flaw::kWonByAnswer && host.flight.op == OP_CLAIM &&
                host.phase == WAITING) {
                host.phase = WON;
            }
            host.flight = {};
        }
        Visit(m);
    }

    void
    LandOrphan(Model m, int i)
    {
        Host &host = m.hosts[i];
        if (host.orphan.op != OP_NONE && m.records < kRecords) {
            m.log[m.records++] = host.orphan;
            host.orphan = {};
            Visit(m);
        }
    }

    /* A refusal proves something only of an append that never landed. */
    void
    Refuse(Model m, int i)
    {
        Host &host = m.hosts[i];
        if (host.flight.op != OP_CLAIM || host.landed) {
            return;
        }
        host.flight = {};
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
        Verdict verdict = Judge(m, host.read);
        bool own = record.host == i && record.incarnation == host.incarnation;
        if (own && record.sequence == host.flight.sequence) {
            host.flight = {};
        }
        if (own && verdict.fresh && record.op == OP_CLAIM &&
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
        else if (host.phase == GIVEN_UP) {
            host.phase = IDLE;
            if (won) {
                host.phase = flaw == Flaw::kReleaseUnread ? WON : IDLE;
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
        host.orphan = host.flight;
        host.flight = {};
        host.landed = false;
        host.incarnation++;
        host.sequence = 0;
        host.phase = IDLE;
        host.read = 0;
        Visit(m);
    }
};

/*
 * A seat is charged twice: two hosts claim the same key, appends land, are
 * refused, repeated or left behind by a dead run, owners give up, release,
 * dispatch, answer or die, in every order within the bound.
 */
TEST(ClaimSearch, AKeyRunsAtMostOnce)
{
    Search search(Flaw::kNone);
    Model m;
    memset(&m, 0, sizeof(m));
    search.Visit(m);
    EXPECT_FALSE(search.failed);
    EXPECT_EQ(1, search.most_runs);
    printf("states searched: %zu\n", search.seen.size());
}

TEST(ClaimSearch, FindsEveryFlawPutIn)
{
    for (Flaw flaw : {Flaw::kWonByAnswer, Flaw::kReleaseDispatched,
                      Flaw::kKeepReleased, Flaw::kReleaseUnread}) {
        Search search(flaw);
        Model m;
        memset(&m, 0, sizeof(m));
        search.Visit(m);
        EXPECT_TRUE(search.failed) << (int)flaw;
    }
}

} // namespace
