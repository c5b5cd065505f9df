// Seeded mutations of valid input: nothing crashes, and every refusal is
// ST_INVALID with a message.  A failure prints the seed that reproduces it.
#include <gtest/gtest.h>

#include <cstring>
#include <fstream>
#include <sstream>
#include <string>

#include "base/random.h"
#include "config/questionnaire.h"
#include "config/sections.h"

// The scanner of libconfig leaks a partly scanned string on a syntax error;
// only these two of its functions are suppressed.
extern "C" const char *__lsan_default_suppressions(void);

extern "C" const char *
__lsan_default_suppressions(void)
{
    return "leak:strbuf_append\nleak:libconfig_yylex\n";
}

namespace {

const int kRounds = 4000;

const char *const kTokens[] = {"null",       "{}",
                               "[]",         "-1",
                               "1e308",      "\"\"",
                               "true",       "{",
                               "}",          "(",
                               ")",          ";",
                               "\"",         "\\u0000",
                               "0x7fffffff", "[[[[",
                               ",",          ":",
                               "=",          "name",
                               "1e9",        "9223372036854775807L"};

std::string
mutate(struct rn_random *random, std::string text)
{
    for (uint32_t i = 1 + Rn_Below(random, 4); i > 0 && !text.empty(); i--) {
        size_t at = Rn_Below(random, (uint32_t)text.size());
        size_t len = Rn_Below(random, 30);
        switch (Rn_Below(random, 5)) {
        case 0:
            text[at] = (char)(1 + Rn_Below(random, 255));
            break;
        case 1:
            text.erase(at, len);
            break;
        case 2:
            text.insert(at, text.substr(at, len));
            break;
        case 3:
            text.insert(at, kTokens[Rn_Below(random, std::size(kTokens))]);
            break;
        default:
            text.replace(at, len,
                         kTokens[Rn_Below(random, std::size(kTokens))]);
            break;
        }
    }
    return text;
}

bool
ok_or_invalid(enum st_status status)
{
    return status == ST_OK ||
           (status == ST_INVALID && St_Message()[0] != '\0');
}

const char kPlatform[] = R"({"data_centres":{"a":{"region":"r"}},"teams":{
    "t":{"role":"operator","key_digest":"448c37fc40016bceaf7e78163d97c9e7"}}})";

const char kTeam[] = R"({"customers":{"c":{"weight":2,"max_in_flight":5,
    "key_digest":"4cb67a367a20209998d3a7324b8d8514"}},"services":{
    "e":{"kind":"engine","slots":8,"move":{"from":"v1","to":"v2",
    "first_share":0.1,"deadline_sec":10}},"p":{"kind":"plain",
    "prefix":"/p/","idempotent":true}}})";

std::string
record(const char *kind, const char *section, int base, const char *author,
       const std::string &body)
{
    return std::string(R"({"kind":")") + kind + R"(","section":")" + section +
           R"(","base":)" + std::to_string(base) + R"(,"author":")" + author +
           R"(","body":)" + body + "}";
}

TEST(Fuzz, SectionDocuments)
{
    int accepted = 0;
    for (int seed = 1; seed <= kRounds; seed++) {
        struct rn_random random;
        Rn_Seed(&random, (uint64_t)seed);
        std::string top = mutate(&random, kPlatform);
        std::string team = mutate(&random, kTeam);
        struct cf_section sections[] = {
            {"platform", seed % 2 == 0 ? kPlatform : top.c_str()},
            {"team/t", team.c_str()}};
        struct cf_config *config = nullptr;
        enum st_status status = Cf_Build(sections, 2, 1, &config);
        ASSERT_TRUE(ok_or_invalid(status)) << "seed " << seed;
        accepted += status == ST_OK ? 1 : 0;
        Cf_Destroy(config);
    }
    EXPECT_GT(accepted, 20);
}

TEST(Fuzz, RecordsPatchesAndSnapshots)
{
    struct sc_state *state;
    ASSERT_EQ(ST_OK, Sc_Create(&state));
    std::string start =
        record("section", "platform", 0, "bootstrap", kPlatform);
    ASSERT_EQ(ST_OK, Sc_Apply(state, 1, start.c_str()));
    int accepted = 0;
    for (int seed = 1; seed <= kRounds; seed++) {
        struct rn_random random;
        Rn_Seed(&random, (uint64_t)seed);
        auto base = (int)Sc_SectionOffset(state, "team/t");
        const char *kind = Rn_Below(&random, 2) == 0 ? "patch" : "section";
        std::string text =
            mutate(&random, record(kind, "team/t", base, "t", kTeam));
        uint64_t offset = Sc_Offset(state) + 1;
        ASSERT_EQ(ST_OK, Sc_Apply(state, offset, text.c_str()));
        const struct sc_verdict *verdict = Sc_VerdictAt(state, offset);
        ASSERT_TRUE(verdict->status == ST_OK || verdict->reason[0] != '\0')
            << "seed " << seed;
        accepted += verdict->status == ST_OK ? 1 : 0;
        if (seed % 8 != 0) {
            continue;
        }
        char *snapshot = Sc_Snapshot(state);
        std::string mutated = mutate(&random, snapshot);
        struct sc_state *other;
        ASSERT_EQ(ST_OK, Sc_Create(&other));
        ASSERT_TRUE(ok_or_invalid(Sc_Restore(other, mutated.c_str())))
            << "seed " << seed;
        ASSERT_NE(nullptr, Sc_Config(other));
        Sc_Destroy(other);
        free(snapshot);
    }
    EXPECT_GT(accepted, 20);
    Sc_Destroy(state);
}

TEST(Fuzz, Questionnaires)
{
    std::ifstream in(std::string(CG_SOURCE_DIR) + "/examples/derwent.cfg");
    std::stringstream sample;
    sample << in.rdbuf();
    int accepted = 0;
    for (int seed = 1; seed <= kRounds; seed++) {
        struct rn_random random;
        Rn_Seed(&random, (uint64_t)seed);
        std::string text = mutate(&random, sample.str());
        struct qn_problems problems;
        struct qn_answers *answers;
        struct qn_documents documents;
        Qn_ProblemsInit(&problems, "f.cfg");
        enum st_status status = Qn_ReadText(text.c_str(), &problems, &answers);
        ASSERT_TRUE(ok_or_invalid(status)) << "seed " << seed;
        ASSERT_EQ(status == ST_OK, problems.count == 0) << "seed " << seed;
        if (status == ST_OK) {
            accepted++;
            ASSERT_EQ(ST_OK, Qn_Generate(answers, &documents))
                << "seed " << seed << ": " << St_Message();
            Qn_DocumentsClear(&documents);
        }
        Qn_ProblemsClear(&problems);
        Qn_Destroy(answers);
    }
    EXPECT_GT(accepted, 20);
}

TEST(Fuzz, DeepNestingIsRefused)
{
    std::string deep;
    for (int i = 0; i < 5000; i++) {
        deep += "{\"a\":";
    }
    struct sc_state *state;
    ASSERT_EQ(ST_OK, Sc_Create(&state));
    ASSERT_EQ(ST_OK, Sc_Apply(state, 1, deep.c_str()));
    EXPECT_EQ(ST_INVALID, Sc_VerdictAt(state, 1)->status);
    std::string closed = "1";
    for (int i = 0; i < 1500; i++) {
        closed = "{\"a\":" + closed + "}";
    }
    std::string text = record("section", "platform", 0, "bootstrap", closed);
    ASSERT_EQ(ST_OK, Sc_Apply(state, 2, text.c_str()));
    EXPECT_EQ(ST_INVALID, Sc_VerdictAt(state, 2)->status);
    Sc_Destroy(state);
}

} // namespace
