// Whether a start of an endpoint has ended, judged from what one host sees.
#include <gtest/gtest.h>

#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "policy/liveness.h"

namespace {

const int64_t kMs = Ck_USEC_PER_MSEC;
const int64_t kSec = Ck_USEC_PER_SEC;
const int64_t kTick = 100 * kMs;
const uint32_t kStart = 7;
const int64_t kNow = 1000 * kSec;

// A table that records what it judges.
class Table {
  public:
    explicit Table(const struct lv_rule &rule = Lv_DefaultRule())
        : table_(Lv_Create(&rule, &kOps, this), Lv_Destroy)
    {
    }

    struct lv_table *
    get()
    {
        return table_.get();
    }

    // Ticks until "end" and calls "step" before each tick.
    void
    Run(int64_t end, const std::function<void(int64_t)> &step = nullptr)
    {
        for (; at_ < end; at_ += kTick) {
            if (step) {
                step(at_);
            }
            Lv_Tick(get(), at_);
        }
    }

    enum lv_state
    State()
    {
        return Lv_State(get(), kStart);
    }

    std::vector<enum lv_state> judged;
    std::vector<enum lv_witness> witnesses;
    int returned = 0;
    bool listed = true;

  private:
    static void
    Judged(void *arg, uint32_t, enum lv_state state, enum lv_witness witness)
    {
        auto *table = static_cast<Table *>(arg);
        table->judged.push_back(state);
        table->witnesses.push_back(witness);
    }

    static void
    Returned(void *arg, uint32_t)
    {
        static_cast<Table *>(arg)->returned++;
    }

    static bool
    Listed(void *arg, uint32_t)
    {
        return static_cast<Table *>(arg)->listed;
    }

    static const struct lv_ops kOps;
    int64_t at_ = kNow;
    std::unique_ptr<struct lv_table, decltype(&Lv_Destroy)> table_;
};

const struct lv_ops Table::kOps = {Judged, Returned, Listed};

using Judgements = std::vector<enum lv_state>;

// Guards against an ended endpoint that lives on since its address accepts.
TEST(Liveness, AnAcceptedConnectionIsNoSignOfLife)
{
    Table table;
    EXPECT_TRUE(Lv_NoteBreak(table.get(), kStart, false, kNow - kMs, kNow));
    table.Run(kNow + 2 * kSec, [&](int64_t at) {
        Lv_NoteConnection(table.get(), kStart, true, at, at);
    });
    EXPECT_EQ(table.judged, Judgements{LV_ENDED});
    EXPECT_EQ(table.witnesses.at(0), LV_SILENT);
}

// Guards against an endpoint that resets a connection and is given up.
TEST(Liveness, BytesDenyAnEnd)
{
    Table table;
    Lv_NoteBreak(table.get(), kStart, false, kNow - kMs, kNow);
    Lv_NoteBytes(table.get(), kStart, kNow + 20 * kMs); // still in transit
    EXPECT_EQ(table.State(), LV_IN_DOUBT);
    Lv_NoteBytes(table.get(), kStart, kNow + 200 * kMs);
    table.Run(kNow + 3 * kSec);
    EXPECT_EQ(table.judged, Judgements{LV_LIVES});
    EXPECT_TRUE(Lv_IsEmpty(table.get()));
}

// Guards against an end that is known only after the silence.
TEST(Liveness, ARefusedConnectionConfirmsAnEndAtOnce)
{
    Table table;
    Lv_NoteBreak(table.get(), kStart, false, kNow - kMs, kNow);
    Lv_NoteConnection(table.get(), kStart, false, kNow - kMs, kNow);
    EXPECT_EQ(table.State(), LV_IN_DOUBT); // begun before the break
    Lv_NoteConnection(table.get(), kStart, false, kNow + kMs, kNow + 2 * kMs);
    EXPECT_EQ(table.State(), LV_ENDED);
    Lv_NoteConnection(table.get(), kStart, true, kNow + kSec, kNow + kSec);
    EXPECT_EQ(table.State(), LV_LIVES); // another process
    EXPECT_EQ(table.returned, 1);
}

// Guards against requests that are accused of an end before they were sent.
TEST(Liveness, ARequestSentAfterABreakEndedNothing)
{
    Table table;
    EXPECT_TRUE(Lv_NoteBreak(table.get(), kStart, false, kNow - kMs, kNow));
    EXPECT_TRUE(Lv_NoteBreak(table.get(), kStart, false, kNow - 9 * kMs,
                             kNow + 5 * kMs));
    EXPECT_FALSE(
        Lv_NoteBreak(table.get(), kStart, false, kNow + kMs, kNow + 10 * kMs));
    table.Run(kNow + 2 * kSec);
    EXPECT_FALSE(Lv_NoteBreak(table.get(), kStart, false, kNow + 2 * kSec,
                              kNow + 3 * kSec));
}

// Guards against the end of a peer that is taken for that of an endpoint.
TEST(Liveness, ABreakThroughAPeerNeedsChecksWithoutAnAnswer)
{
    Table unasked;
    Lv_NoteBreak(unasked.get(), kStart, true, kNow - kMs, kNow);
    unasked.Run(kNow + 10 * kSec);
    EXPECT_EQ(unasked.judged, Judgements{LV_LIVES});
    EXPECT_EQ(unasked.witnesses.at(0), LV_UNASKED);

    Table asked;
    Lv_NoteBreak(asked.get(), kStart, true, kNow - kMs, kNow);
    Lv_NoteUnanswered(asked.get(), kStart, kNow + 100 * kMs);
    Lv_NoteUnanswered(asked.get(), kStart, kNow + 400 * kMs);
    asked.Run(kNow + 2 * kSec);
    EXPECT_EQ(asked.judged, Judgements{LV_ENDED});
}

// Guards against the end of an endpoint that left the list unasked.
TEST(Liveness, AnEndpointThatLeftTheListHasEnded)
{
    Table table;
    Lv_NoteBreak(table.get(), kStart, true, kNow - kMs, kNow);
    table.listed = false;
    table.Run(kNow + 2 * kSec);
    EXPECT_EQ(table.judged, Judgements{LV_ENDED});
}

// Guards against an endpoint that gets no requests for ever, since its end was
// forgotten for want of room and nobody asks it any more.
TEST(Liveness, AnEndThatIsForgottenIsGivenBack)
{
    const uint32_t many = 256;
    Table table;
    for (uint32_t start = 1; start <= many; start++) {
        Lv_NoteBreak(table.get(), start, false, kNow - kMs, kNow);
    }
    EXPECT_FALSE(Lv_NoteBreak(table.get(), many + 1, false, kNow - kMs, kNow));
    table.Run(kNow + 2 * kSec);
    EXPECT_TRUE(Lv_NoteBreak(table.get(), many + 1, false, kNow + kSec,
                             kNow + 2 * kSec));
    EXPECT_EQ(table.returned, 1);
    EXPECT_EQ(Lv_State(table.get(), 1), LV_LIVES);
}

// Guards against requests that are sent, and lost, to an address that accepts
// them and answers nothing.
TEST(Liveness, AStartThatAnswersNoCheckIsSilent)
{
    Table table;
    EXPECT_FALSE(Lv_IsSilent(table.get(), kStart));
    Lv_NoteBreak(table.get(), kStart, false, kNow - kMs, kNow);
    EXPECT_FALSE(Lv_IsSilent(table.get(), kStart));
    Lv_NoteUnanswered(table.get(), kStart, kNow + 100 * kMs);
    EXPECT_TRUE(Lv_IsSilent(table.get(), kStart));
    Lv_NoteBytes(table.get(), kStart, kNow + 400 * kMs);
    EXPECT_FALSE(Lv_IsSilent(table.get(), kStart));
}

// Guards against a cut link that is taken for the end of the endpoint.
TEST(Liveness, ACutLinkDeniesWhatDidNotLeadThroughAPeer)
{
    Table direct;
    Lv_NoteBreak(direct.get(), kStart, false, kNow - kMs, kNow);
    Lv_NoteCut(direct.get(), kStart);
    EXPECT_EQ(direct.judged, Judgements{LV_LIVES});

    Table relayed;
    Lv_NoteBreak(relayed.get(), kStart, true, kNow - kMs, kNow);
    Lv_NoteCut(relayed.get(), kStart);
    EXPECT_EQ(relayed.State(), LV_IN_DOUBT);
    Lv_NoteEnded(relayed.get(), kStart, kNow - 10 * kMs); // another host
    EXPECT_EQ(relayed.judged, Judgements{LV_ENDED});
}

// Guards against an ended start that stays so when its process is back.
TEST(Liveness, AnEndedStartReturnsWithItsBytes)
{
    Table table;
    Lv_NoteBreak(table.get(), kStart, false, kNow - kMs, kNow);
    table.Run(kNow + 2 * kSec);
    EXPECT_EQ(table.State(), LV_ENDED);
    EXPECT_TRUE(Lv_BeginCheck(table.get(), kStart, kNow + 2 * kSec));
    EXPECT_FALSE(
        Lv_BeginCheck(table.get(), kStart, kNow + 2 * kSec + 250 * kMs));
    EXPECT_TRUE(Lv_IsSilent(table.get(), kStart));
    Lv_NoteBytes(table.get(), kStart, kNow + 3 * kSec);
    EXPECT_EQ(table.State(), LV_LIVES);
    EXPECT_EQ(table.returned, 1);
}

// How an endpoint behaves after a connection of this host broke.
struct Scene {
    const char *name;
    bool ended;
    bool relayed;
    double accepts;        // share of connections that are accepted
    double answers;        // share of accepted checks that are answered
    double requests_a_sec; // answered by it, over all hosts
};

// Which ways of judging are compared.
struct Way {
    const char *name;
    struct lv_rule rule;
    bool checks;
};

struct Wrong {
    int missed = 0; // ends that were denied, or never seen
    int invented = 0;
};

const int kTrials = 400;

// One break; this host gets its share of the answers of the endpoint.
enum lv_state
Play(const Scene &scene, const Way &way, int hosts, std::mt19937 &random)
{
    std::uniform_real_distribution<double> unit;
    Table table(way.rule);
    if (!Lv_NoteBreak(table.get(), kStart, scene.relayed, kNow - kMs, kNow)) {
        return LV_LIVES;
    }
    double bytes = scene.requests_a_sec / hosts * static_cast<double>(kTick) /
                   static_cast<double>(kSec);
    table.Run(kNow + 8 * kSec, [&](int64_t at) {
        if (!scene.ended && unit(random) < bytes) {
            Lv_NoteBytes(table.get(), kStart, at);
        }
        if (!Lv_BeginCheck(table.get(), kStart, at)) {
            return;
        }
        bool accepted = unit(random) < scene.accepts;
        if (accepted || !scene.relayed) {
            Lv_NoteConnection(table.get(), kStart, accepted, at, at);
        }
        if (!scene.ended && accepted && way.checks &&
            unit(random) < scene.answers) {
            Lv_NoteBytes(table.get(), kStart, at + 60 * kMs);
        }
        else if (way.checks) {
            Lv_NoteUnanswered(table.get(), kStart, at);
        }
    });
    return table.judged.empty() ? LV_LIVES : table.judged.at(0);
}

Wrong
Count(const Scene &scene, const Way &way, int hosts)
{
    std::mt19937 random(11);
    Wrong wrong;
    for (int i = 0; i < kTrials; i++) {
        bool ended = Play(scene, way, hosts, random) == LV_ENDED;
        wrong.missed += scene.ended && !ended;
        wrong.invented += !scene.ended && ended;
    }
    return wrong;
}

const Scene kScenes[] = {
    {"ended, refuses", true, false, 0, 0, 0},
    {"ended, accepts", true, false, 1, 0, 0},
    {"ended, accepts, through a peer", true, true, 1, 0, 0},
    {"ended, refuses, through a peer", true, true, 0, 0, 0},
    {"lives, busy", false, false, 1, 1, 20},
    {"lives, idle", false, false, 1, 1, 0},
    {"lives, answers half of the checks", false, false, 1, 0.5, 20},
    {"lives, answers few checks", false, false, 1, 0.2, 20},
    {"lives, the peer ended", false, true, 1, 1, 0},
};

// An end that is missed lets a request go on ending endpoints.
const int kMissedMax = 0;

// Guards against ends that one host in a few, or one of hundreds, misses, and
// against sound endpoints that are given up.
TEST(LivenessModel, EndsAreSeenAndLivingEndpointsKept)
{
    struct lv_rule accepted = Lv_DefaultRule();
    accepted.connection_is_life = true;
    accepted.relayed = false;
    struct lv_rule bytes = Lv_DefaultRule();
    const Way kWays[] = {
        {"accepted connections", accepted, false},
        {"bytes alone", bytes, false},
        {"bytes and checks", Lv_DefaultRule(), true},
    };
    for (const Way &way : kWays) {
        for (const Scene &scene : kScenes) {
            for (int hosts : {7, 60, 300}) {
                Wrong wrong = Count(scene, way, hosts);
                std::cout << way.name << "; " << scene.name << "; " << hosts
                          << " hosts: " << wrong.missed << " missed, "
                          << wrong.invented << " invented of " << kTrials
                          << "\n";
                if (&way != &kWays[2]) {
                    continue;
                }
                EXPECT_LE(wrong.missed, kMissedMax) << scene.name;
                if (scene.answers == 1) {
                    EXPECT_EQ(wrong.invented, 0) << scene.name;
                }
            }
        }
    }
}

} // namespace
