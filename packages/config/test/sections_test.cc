#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "config/patch.h"
#include "config/sections.h"

namespace {

std::string
digest(const std::string &key)
{
    char hex[Hash_DIGEST_HEX];
    Hash_Digest(key.data(), key.size(), hex);
    return hex;
}

std::string
record(const char *kind, const std::string &section, uint64_t base,
       const std::string &author, const std::string &body,
       const std::string &id = "")
{
    std::string text = std::string(R"({"kind":")") + kind +
                       R"(","section":")" + section + R"(","base":)" +
                       std::to_string(base) + R"(,"author":")" + author +
                       R"(","body":)" + body;
    if (!id.empty()) {
        text += R"(,"id":")" + id + "\"";
    }
    return text + "}";
}

std::string
platform()
{
    return R"({"data_centres":{"hobart":{"region":"tasmania"}},"teams":{
        "derwent":{"role":"editor","key_digest":")" +
           digest("d") + R"("},"nakashima":{"role":"editor","key_digest":")" +
           digest("n") + R"("},"ops":{"role":"operator","key_digest":")" +
           digest("o") + R"("},"eyes":{"role":"viewer","key_digest":")" +
           digest("e") + R"("}}})";
}

std::string
customers(const std::string &name, double weight)
{
    return R"({"customers":{")" + name + R"(":{"weight":)" +
           std::to_string(weight) + R"(,"key_digest":")" + digest(name) +
           R"("}}})";
}

struct StateDeleter {
    void
    operator()(struct sc_state *state) const
    {
        Sc_Destroy(state);
    }
};

using State = std::unique_ptr<struct sc_state, StateDeleter>;

State
create()
{
    struct sc_state *state;
    EXPECT_EQ(ST_OK, Sc_Create(&state));
    return State(state);
}

enum st_status
apply_next(const State &state, const std::string &text)
{
    uint64_t offset = Sc_Offset(state.get()) + 1;
    EXPECT_EQ(ST_OK, Sc_Apply(state.get(), offset, text.c_str()));
    return Sc_VerdictAt(state.get(), offset)->status;
}

/* A state with the platform section at offset 1 and derwent's at offset 2. */
State
with_two_sections()
{
    State state = create();
    EXPECT_EQ(ST_OK, apply_next(state, record("section", "platform", 0,
                                              "bootstrap", platform())));
    EXPECT_EQ(ST_OK,
              apply_next(state, record("section", "team/derwent", 0, "derwent",
                                       customers("clubs", 1))))
        << Sc_VerdictAt(state.get(), 2)->reason;
    return state;
}

std::string
snapshot(const State &state)
{
    char *text = Sc_Snapshot(state.get());
    std::string copy = text;
    free(text);
    return copy;
}

TEST(Sections, PatchChangesOneEntry)
{
    State state = with_two_sections();
    EXPECT_EQ(ST_OK,
              apply_next(state, record("patch", "team/derwent", 2, "derwent",
                                       customers("schools", 2))));
    struct cf_config *config = Sc_Config(state.get());
    EXPECT_EQ(3U, config->offset);
    EXPECT_EQ(2U, config->customer_count);
    EXPECT_EQ(ST_OK,
              apply_next(state, record("patch", "team/derwent", 3, "ops",
                                       R"({"customers":{"clubs":null}})")));
    EXPECT_EQ(1U, Sc_Config(state.get())->customer_count);
    EXPECT_EQ(4U, Sc_SectionOffset(state.get(), "team/derwent"));
}

struct Refused {
    const char *kind;
    const char *section;
    uint64_t base;
    const char *author;
    const char *body;
    enum st_status status;
    const char *remedy;
};

const Refused kRefused[] = {
    {"section", "team/derwent", 1, "derwent", "{}", ST_CONFLICT,
     "publish again"},
    {"section", "team/derwent", 2, "nakashima", "{}", ST_DENIED, "ask"},
    {"section", "platform", 1, "derwent", "{}", ST_DENIED, "ask"},
    {"section", "team/eyes", 0, "eyes", "{}", ST_DENIED, "ask"},
    {"section", "platform", 1, "bootstrap", "{}", ST_DENIED, "key of a team"},
    {"section", "platform", 1, "ops", "{}", ST_INVALID, "operator"},
    {"patch", "platform", 1, "ops", R"({"teams":{"derwent":null}})",
     ST_INVALID, "before removing"},
    {"patch", "team/derwent", 2, "derwent",
     R"({"customers":{"clubs":{"weight":-1}}})", ST_INVALID, "give a share"},
    {"patch", "team/derwent", 2, "derwent", R"({"customers":7})", ST_INVALID,
     "write"},
    {"replace", "team/derwent", 2, "derwent", "{}", ST_INVALID, "cornelctl"},
    {"patch", "team/derwent", 2, "derwent", "[]", ST_INVALID, "cornelctl"},
};

TEST(Sections, RefusalsNameTheRemedyAndChangeNothing)
{
    State state = with_two_sections();
    for (const Refused &row : kRefused) {
        auto text =
            record(row.kind, row.section, row.base, row.author, row.body);
        EXPECT_EQ(row.status, Sc_Check(state.get(), text.c_str())) << text;
        EXPECT_EQ(row.status, apply_next(state, text)) << text;
        auto *verdict = Sc_VerdictAt(state.get(), Sc_Offset(state.get()));
        EXPECT_NE(nullptr, strstr(verdict->reason, row.remedy))
            << verdict->reason;
        EXPECT_EQ(2U, Sc_Config(state.get())->offset);
    }
    EXPECT_EQ(ST_INVALID, apply_next(state, "not json"));
}

TEST(Sections, LargeSectionIsRefused)
{
    State state = with_two_sections();
    std::string body = R"({"note":")" + std::string(60000, 'x') + "\"}";
    EXPECT_EQ(ST_INVALID, apply_next(state, record("section", "team/derwent",
                                                   2, "derwent", body)));
}

/*
 * Guards against a refused change that takes effect later.  The append got no
 * answer and was retried, so the log has the record twice.  The first copy is
 * refused because its team does not exist; the second copy must not be
 * accepted once the team exists.
 */
TEST(Sections, RetriedRecordIsRefused)
{
    State state = create();
    EXPECT_EQ(ST_OK, apply_next(state, record("section", "platform", 0,
                                              "bootstrap", platform())));
    auto change = record("section", "team/later", 0, "ops",
                         customers("late", 1), "intent-1");
    EXPECT_EQ(ST_INVALID, apply_next(state, change));
    std::string team =
        R"({"teams":{"later":{"key_digest":")" + digest("l") + "\"}}}";
    EXPECT_EQ(ST_OK,
              apply_next(state, record("patch", "platform", 1, "ops", team)));
    State other = create();
    ASSERT_EQ(ST_OK, Sc_Restore(other.get(), snapshot(state).c_str()));
    EXPECT_EQ(ST_CONFLICT, apply_next(state, change));
    EXPECT_EQ(ST_CONFLICT, apply_next(other, change));
    EXPECT_EQ(2U, Sc_VerdictById(state.get(), "intent-1")->offset);
    EXPECT_EQ(0U, Sc_Config(state.get())->customer_count);
}

/*
 * Guards against the return of a removed customer.  After the daemon has read
 * up to offset 3, the log answers with a shorter tail (or a peer restarts with
 * old state), and other records come at offsets that were read before.
 */
TEST(Sections, RecordsAndSnapshotsAlreadyReadHaveNoEffect)
{
    State state = with_two_sections();
    std::string old = snapshot(state);
    EXPECT_EQ(ST_OK,
              apply_next(state, record("patch", "team/derwent", 2, "derwent",
                                       R"({"customers":{"clubs":null}})")));
    std::string now = snapshot(state);
    EXPECT_EQ(ST_OK, Sc_Restore(state.get(), old.c_str()));
    auto again =
        record("section", "team/derwent", 2, "derwent", customers("clubs", 1));
    EXPECT_EQ(ST_OK, Sc_Apply(state.get(), 2, again.c_str()));
    EXPECT_EQ(ST_OK, Sc_Apply(state.get(), 3, again.c_str()));
    Sc_SkipTo(state.get(), 1);
    EXPECT_EQ(now, snapshot(state));
}

/*
 * Guards against a daemon whose configuration differs from that of its peers.
 * Records expired while the daemon was down; if it went on after the gap, a
 * later record would meet another base there than elsewhere.
 */
TEST(Sections, RefusesAGapInTheLog)
{
    State state = with_two_sections();
    std::string now = snapshot(state);
    auto text = record("section", "team/derwent", 2, "derwent", "{}");
    EXPECT_EQ(ST_NOT_FOUND, Sc_Apply(state.get(), 4, text.c_str()));
    EXPECT_EQ(now, snapshot(state));
    Sc_SkipTo(state.get(), 3);
    EXPECT_EQ(ST_OK, Sc_Apply(state.get(), 4, text.c_str()));
    EXPECT_EQ(ST_OK, Sc_VerdictAt(state.get(), 4)->status);
}

TEST(Sections, InvalidSnapshotLeavesTheStateUnchanged)
{
    State state = with_two_sections();
    std::string now = snapshot(state);
    const char *invalid[] = {
        "",
        "{}",
        "[]",
        R"({"offset":9,"sections":[],"verdicts":{}})",
        R"({"offset":9,"in_force":1,"sections":[{"name":"team/derwent"}],
            "verdicts":[]})",
        R"({"offset":9,"in_force":1,"sections":[{"name":"team/derwent",
            "offset":1,"body":{"customers":{"a":{}}}}],"verdicts":[]})",
        R"({"offset":9,"in_force":1,"sections":[],"verdicts":[{}]})"};
    for (const char *text : invalid) {
        EXPECT_EQ(ST_INVALID, Sc_Restore(state.get(), text)) << text;
        EXPECT_EQ(now, snapshot(state));
    }
}

/* The author may lack permission and the base may be stale. */
std::string
random_record(struct rn_random *random, const State &reader)
{
    static const char *const authors[] = {"derwent", "nakashima", "ops",
                                          "eyes", "bootstrap"};
    static const char *const sections[] = {"team/derwent", "team/nakashima",
                                           "platform", "team/eyes"};
    const char *author = authors[Rn_Below(random, 5)];
    const char *section = sections[Rn_Below(random, 4)];
    uint64_t base = Sc_SectionOffset(reader.get(), section);
    if (Rn_Below(random, 3) == 0) {
        base = Rn_Below(random, 60);
    }
    std::string body;
    if (strcmp(section, "platform") == 0) {
        body = Rn_Below(random, 2) == 0 ? platform() : "{}";
    }
    else {
        std::string name = "c" + std::to_string(Rn_Below(random, 6));
        body = Rn_Below(random, 4) == 0
                   ? R"({"customers":{")" + name + R"(":null}})"
                   : customers(name, Rn_Below(random, 5) / 2.0);
    }
    std::string id = "i" + std::to_string(Rn_Below(random, 40));
    return record(Rn_Below(random, 3) == 0 ? "section" : "patch", section,
                  base, author, body, Rn_Below(random, 2) == 0 ? id : "");
}

/*
 * Guards against daemons that decide a race between two operators differently,
 * so that one operator finds the other's change undone.  Records arrive once,
 * repeatedly and late, or as part of a snapshot; every reader of the same
 * prefix must reach the same state.
 */
TEST(Sections, ReadersOfTheSamePrefixAgree)
{
    int accepted = 0;
    for (uint64_t seed = 1; seed <= 40; seed++) {
        struct rn_random random;
        Rn_Seed(&random, seed);
        State plain = create();
        State replayed = create();
        State restored = create();
        std::vector<std::string> log = {
            record("section", "platform", 0, "bootstrap", platform())};
        std::map<std::string, uint64_t> winners;
        for (uint64_t offset = 1; offset <= 120; offset++) {
            if (offset > log.size()) {
                log.push_back(Rn_Below(&random, 8) == 0
                                  ? log[Rn_Below(&random, log.size())]
                                  : random_record(&random, plain));
            }
            const char *text = log[offset - 1].c_str();
            ASSERT_EQ(ST_OK, Sc_Apply(plain.get(), offset, text));
            uint64_t back = 1 + Rn_Below(&random, offset);
            for (uint64_t at = back; at <= offset; at++) {
                ASSERT_EQ(ST_OK,
                          Sc_Apply(replayed.get(), at, log[at - 1].c_str()));
            }
            if (Rn_Below(&random, 10) == 0) {
                State copy = create();
                ASSERT_EQ(ST_OK,
                          Sc_Restore(copy.get(), snapshot(plain).c_str()));
                restored = std::move(copy);
            }
            else if (Sc_Offset(restored.get()) + 1 == offset) {
                ASSERT_EQ(ST_OK, Sc_Apply(restored.get(), offset, text));
            }
            auto *verdict = Sc_VerdictAt(plain.get(), offset);
            accepted += verdict->status == ST_OK ? 1 : 0;
        }
        ASSERT_EQ(snapshot(plain), snapshot(replayed)) << "seed " << seed;
        ASSERT_EQ(snapshot(plain), snapshot(restored)) << "seed " << seed;
    }
    EXPECT_GT(accepted, 400);
}

json_t *
random_json(struct rn_random *random, int depth)
{
    if (depth == 0 || Rn_Below(random, 3) == 0) {
        return json_integer(Rn_Below(random, 3));
    }
    json_t *object = json_object();
    for (uint32_t i = Rn_Below(random, 4); i > 0; i--) {
        char name[2] = {(char)('a' + Rn_Below(random, 4)), '\0'};
        json_object_set_new(object, name, random_json(random, depth - 1));
    }
    return object;
}

TEST(Patch, DifferenceAppliedGivesTheNewValue)
{
    struct rn_random random;
    Rn_Seed(&random, 7);
    for (int i = 0; i < 2000; i++) {
        json_t *before = json_object();
        json_t *after = json_object();
        json_object_set_new(before, "x", random_json(&random, 4));
        json_object_set_new(after, "x", random_json(&random, 4));
        json_t *patch = Mp_Diff(before, after);
        json_t *result = Mp_Apply(before, patch);
        ASSERT_TRUE(json_equal(after, result));
        json_t *none = Mp_Diff(after, result);
        EXPECT_EQ(0U, json_object_size(none));
        json_decref(before);
        json_decref(after);
        json_decref(patch);
        json_decref(result);
        json_decref(none);
    }
}

struct Example {
    const char *target;
    const char *patch;
    const char *result;
};

/* Examples from appendix A of RFC 7386. */
const Example kExamples[] = {
    {R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
    {R"({"a":"b"})", R"({"b":"c"})", R"({"a":"b","b":"c"})"},
    {R"({"a":"b"})", R"({"a":null})", R"({})"},
    {R"({"a":"b","b":"c"})", R"({"a":null})", R"({"b":"c"})"},
    {R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})"},
    {R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})",
     R"({"a":{"b":"d"}})"},
    {R"({"a":[{"b":"c"}]})", R"({"a":[1]})", R"({"a":[1]})"},
    {R"(["a","b"])", R"(["c","d"])", R"(["c","d"])"},
    {R"({"e":null})", R"({"a":1})", R"({"e":null,"a":1})"},
    {R"([1,2])", R"({"a":"b","c":null})", R"({"a":"b"})"},
    {R"({})", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})"},
};

TEST(Patch, FollowsTheRfc)
{
    for (const Example &row : kExamples) {
        json_t *target = json_loads(row.target, 0, nullptr);
        json_t *patch = json_loads(row.patch, 0, nullptr);
        json_t *expected = json_loads(row.result, 0, nullptr);
        json_t *result = Mp_Apply(target, patch);
        EXPECT_TRUE(json_equal(expected, result)) << row.patch;
        json_decref(target);
        json_decref(patch);
        json_decref(expected);
        json_decref(result);
    }
}

} // namespace
