#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <sstream>
#include <string>

#include "config/questionnaire.h"

namespace {

std::string
example(const std::string &name)
{
    std::ifstream in(std::string(CG_SOURCE_DIR) + "/examples/" + name);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

struct Outcome {
    enum st_status status;
    std::string problems;
    size_t count;
};

Outcome
check(const std::string &text)
{
    struct qn_problems problems;
    struct qn_answers *answers;
    Qn_ProblemsInit(&problems, "q.cfg");
    Outcome outcome = {Qn_ReadText(text.c_str(), &problems, &answers), "", 0};
    struct qn_problem *problem;
    STAILQ_FOREACH(problem, &problems.list, link)
    {
        outcome.problems += problem->text;
        outcome.problems += "\n";
    }
    outcome.count = problems.count;
    Qn_ProblemsClear(&problems);
    Qn_Destroy(answers);
    return outcome;
}

struct cf_config *
generate(const std::string &text)
{
    struct qn_problems problems;
    struct qn_answers *answers;
    struct qn_documents documents;
    struct cf_config *config = nullptr;
    Qn_ProblemsInit(&problems, "q.cfg");
    EXPECT_EQ(ST_OK, Qn_ReadText(text.c_str(), &problems, &answers));
    EXPECT_EQ(ST_OK, Qn_Generate(answers, &documents)) << St_Message();
    struct cf_section sections[2];
    for (size_t i = 0; i < documents.count; i++) {
        sections[i].name = documents.items[i].section;
        sections[i].json = documents.items[i].body;
    }
    EXPECT_EQ(ST_OK, Cf_Build(sections, documents.count, 1, &config))
        << St_Message();
    Qn_DocumentsClear(&documents);
    Qn_Destroy(answers);
    return config;
}

TEST(Questionnaire, DerwentFavoursLatency)
{
    struct cf_config *config = generate(example("derwent.cfg"));
    ASSERT_NE(nullptr, config);
    EXPECT_EQ(4U, config->data_centre_count);
    EXPECT_EQ(5U, config->customer_count);
    auto *rink = Cf_ServiceByName(config, "rink-assistant");
    ASSERT_NE(nullptr, rink);
    EXPECT_EQ(300000, rink->first_token_usec);
    EXPECT_EQ(20000000, rink->deadline_usec);
    EXPECT_EQ(9, rink->replicas_max);
    EXPECT_NEAR(0.35, rink->headroom, 1e-9);
    EXPECT_NEAR(0.4, rink->reclaimable_max, 1e-9);
    EXPECT_TRUE(rink->survive_dc_loss);
    EXPECT_STREQ("v1", rink->move.to);
    EXPECT_STREQ("", rink->move.from);
    auto *office = Cf_ServiceByPath(config, "/box-office/charge");
    ASSERT_NE(nullptr, office);
    EXPECT_FALSE(office->idempotent);
    EXPECT_TRUE(office->fenced);
    for (size_t i = 0; i < config->customer_count; i++) {
        const struct cf_customer *customer = &config->customers[i];
        if (strcmp(customer->name, "families") == 0) {
            EXPECT_NEAR(1.75, customer->weight, 1e-3);
            EXPECT_NEAR(7.5, customer->requests_per_sec, 1e-9);
            EXPECT_EQ(60, customer->max_in_flight);
        }
    }
    Cf_Destroy(config);
}

TEST(Questionnaire, NakashimaFavoursCost)
{
    struct cf_config *config = generate(example("nakashima.cfg"));
    ASSERT_NE(nullptr, config);
    auto *advice = Cf_ServiceByName(config, "adhesive-advice");
    auto *desk = Cf_ServiceByName(config, "order-desk");
    EXPECT_NEAR(0.15, advice->headroom, 1e-9);
    EXPECT_NEAR(0.85, advice->reclaimable_max, 1e-9);
    EXPECT_NEAR(0.25, desk->headroom, 1e-9);
    Cf_Destroy(config);
}

TEST(Questionnaire, MoveCarriesItsDeadline)
{
    std::string text = std::regex_replace(
        example("derwent.cfg"), std::regex("version = \"v1\";"),
        "move = { from = \"v1\"; to = \"v2\"; by = \"2026-12-20T06:00:00Z\"; "
        "first_percent = 5; take_back = true; };");
    struct cf_config *config = generate(text);
    ASSERT_NE(nullptr, config);
    auto *rink = Cf_ServiceByName(config, "rink-assistant");
    EXPECT_STREQ("v1", rink->move.from);
    EXPECT_STREQ("v2", rink->move.to);
    EXPECT_EQ(1797746400, rink->move.deadline_sec);
    EXPECT_NEAR(0.05, rink->move.first_share, 1e-9);
    EXPECT_TRUE(rink->move.withdrawn);
    Cf_Destroy(config);
}

struct Change {
    const char *before; /* regular expression; its first match is replaced */
    const char *after;
    const char *problem; /* must be in the message, as is the remedy */
    const char *remedy;
};

const Change kChanges[] = {
    {"team = \"derwent\";", "", "team is not answered", "team's name"},
    {"team = \"derwent\";", "team = \"a b\";", "team is \"a b\"", "letters"},
    {"platform = \\{", "platforms = {", "platforms", "no such question"},
    {"peak_per_s = 6.0", "peak_per_s = -2",
     "callers.families.peak_per_s is "
     "-2",
     "from 0.01"},
    {"peak_per_s = 6.0", "peak_per_s = \"6\"", "is \"6\"", "from 0.01"},
    {"peak_per_s = 6.0", "peak_per_sec = 6.0", "callers.families.peak_per_sec",
     "no such question"},
    {"patience_s = 8.0;", "", "patience_s is not answered", "seconds"},
    {"budget_percent = 35.0", "budget_percent = 60.0", "callers", "add up"},
    {"longest_request_kb = 2048", "longest_request_kb = 0.5",
     "coaches.longest_request_kb is 0.5", "whole number"},
    {"4cb67a367a20209998d3a7324b8d8514", "secret", "key_digest is \"secret\"",
     "cornelctl key"},
    {"4cb67a367a20209998d3a7324b8d8514", "ea4ce9ddabda346853b4e97f06c1df7e",
     "callers", "used twice"},
    {"\"school-groups\"", "\"families\"", "name is \"families\"", "its own"},
    {"kind = \"engine\"", "kind = \"model\"", "kind is \"model\"", "plain"},
    {"path = \"/box-office/\";", "", "box-office.path is not answered",
     "prefix"},
    {"path = \"/box-office/\";", "path = \"box\";", "path is \"box\"",
     "slash"},
    {"path = \"/box-office/\";", "path = \"/box\xff/\";", "box-office.path is",
     "slash"},
    {"repeatable = false;", "", "repeatable is not answered", "twice"},
    {"version = \"v1\";", "", "version is not answered", "move"},
    {"version = \"v1\";",
     "version = \"v1\"; move = { from = \"a\"; to = \"b\"; by = "
     "\"2026-12-20T06:00:00Z\"; };",
     "version is \"v1\"", "either"},
    {"version = \"v1\";",
     "move = { from = \"a\"; to = \"a\"; by = \"2026-12-20T06:00:00Z\"; };",
     "move.to is \"a\"", "another"},
    {"version = \"v1\";",
     "move = { from = \"a\"; to = \"b\"; by = \"tomorrow\"; };",
     "move.by is \"tomorrow\"", "UTC"},
    {"version = \"v1\";", "move = \"v2\";", "move is \"v2\"", "group"},
    {"answer_within_s = 20.0", "answer_within_s = 0.2",
     "answer_within_s is 0.2", "first_token_ms"},
    {"replicas_peak = 9", "replicas_peak = 3", "replicas_peak is 3",
     "at least"},
    {"replicas_quiet = 2; replicas_peak = 4",
     "replicas_quiet = 1; replicas_peak = 4", "services", "2 or more"},
    {"survive_data_centre_loss = true", "survive_data_centre_loss = \"yes\"",
     "is \"yes\"", "true or false"},
    {"reclaims = \"often\"", "reclaims = \"daily\"", "reclaims is \"daily\"",
     "rare"},
    {"role = \"operator\"", "role = \"editor\"", "platform.teams", "operator"},
    {"name = \"derwent\"; role", "name = \"other\"; role", "platform.teams",
     "your own team"},
    {"name = \"derwent\"; role", "name = \"bootstrap\"; role",
     "name is \"bootstrap\"", "choose another"},
    {"price_on_demand = 2.6", "price_on_demand = 0", "tasmania-1", "above 0"},
    {"risks = \\{", "risks = 7; unread = {", "risks is 7", "braces"},
    {"services = \\(", "services = 7; unread = (", "services is 7",
     "round brackets"},
};

TEST(Questionnaire, EveryProblemNamesPlaceAnswerAndRemedy)
{
    std::string text = example("derwent.cfg");
    ASSERT_EQ(ST_OK, check(text).status);
    for (const Change &row : kChanges) {
        std::string changed =
            std::regex_replace(text, std::regex(row.before), row.after,
                               std::regex_constants::format_first_only);
        ASSERT_NE(text, changed) << row.before;
        Outcome outcome = check(changed);
        EXPECT_EQ(ST_INVALID, outcome.status) << row.after;
        std::smatch match;
        std::regex line("q\\.cfg:[0-9]+: .*: .*");
        EXPECT_TRUE(std::regex_search(outcome.problems, match, line));
        EXPECT_NE(std::string::npos, outcome.problems.find(row.problem))
            << row.problem << " in " << outcome.problems;
        EXPECT_NE(std::string::npos, outcome.problems.find(row.remedy))
            << row.remedy << " in " << outcome.problems;
    }
}

TEST(Questionnaire, ProblemNamesTheLineOfTheAnswer)
{
    std::string text = example("derwent.cfg");
    size_t at = text.find("patience_s = 8.0");
    text.replace(at, 16, "patience_s = 0.0");
    auto line = 1 + std::count(text.begin(), text.begin() + (long)at, '\n');
    Outcome outcome = check(text);
    EXPECT_EQ(1U, outcome.count);
    EXPECT_EQ(0U, outcome.problems.find("q.cfg:" + std::to_string(line) + ":"))
        << outcome.problems;
}

TEST(Questionnaire, AllProblemsAreListedAtOnce)
{
    Outcome outcome = check("team = \"t\"; callers = ( { name = \"a\"; } );");
    EXPECT_EQ(ST_INVALID, outcome.status);
    EXPECT_GE(outcome.count, 6U);
}

TEST(Questionnaire, SyntaxErrorNamesTheLine)
{
    Outcome outcome = check("team = \"t\";\ncallers = {{\n");
    EXPECT_EQ(ST_INVALID, outcome.status);
    EXPECT_EQ(0U, outcome.problems.find("q.cfg:2: ")) << outcome.problems;
}

TEST(Questionnaire, SpotHostsAreNotUsedUnlessCheaper)
{
    std::string text = std::regex_replace(
        example("derwent.cfg"), std::regex("price_reclaimable = [0-9.]+"),
        "price_reclaimable = 9.0");
    struct cf_config *config = generate(text);
    ASSERT_NE(nullptr, config);
    EXPECT_EQ(0, Cf_ServiceByName(config, "rink-assistant")->reclaimable_max);
    Cf_Destroy(config);
}

TEST(Questionnaire, MissingFileIsReported)
{
    struct qn_problems problems;
    struct qn_answers *answers;
    Qn_ProblemsInit(&problems, "none.cfg");
    EXPECT_EQ(ST_NOT_FOUND, Qn_Read("none.cfg", &problems, &answers));
}

} // namespace
