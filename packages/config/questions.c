#include "config/questions.h"

#define Qn_REMEDY_NAME                                                        \
    "answer with 1 to 47 letters, digits, dots, underscores or hyphens, in "  \
    "quotes"
#define Qn_REMEDY_DIGEST                                                      \
    "make a key with 'cornelctl key NAME' and answer with the digest it "     \
    "prints, in quotes"
#define Qn_REMEDY_BOOL "answer true or false, without quotes"
#define Qn_REMEDY_PRICE "answer with the price of a host per hour, above 0"

#define OFFSET(type, member) offsetof(struct type, member)
#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

static const char *const prefer_choices[] = {"latency", "balance", "cost",
                                             NULL};
static const char *const reclaim_choices[] = {"never", "rare", "often", NULL};
static const char *const kind_choices[] = {"engine", "plain", NULL};
static const char *const role_choices[] = {"viewer", "editor", "operator",
                                           NULL};

static const struct qu_question top_questions[] = {
    {"team", OFFSET(qn_answers, team), 0, 0, 0, NULL,
     "answer with your team's name: " Qn_REMEDY_NAME, QU_NAME, true},
    {"platform", 0, 0, 0, 0, NULL, "", QU_GROUP, false},
    {"callers", 0, 0, 0, 0, NULL,
     "answer with a list of groups in round brackets: ( { ... }, { ... } )",
     QU_GROUP, true},
    {"services", 0, 0, 0, 0, NULL,
     "answer with a list of groups in round brackets: ( { ... }, { ... } )",
     QU_GROUP, true},
    {"risks", 0, 0, 0, 0, NULL, "answer with a group in braces: { ... }",
     QU_GROUP, true},
};

static const struct qu_question platform_questions[] = {
    {"data_centres", 0, 0, 0, 0, NULL,
     "answer with a list of groups in round brackets: ( { ... }, { ... } )",
     QU_GROUP, true},
    {"teams", 0, 0, 0, 0, NULL,
     "answer with a list of groups in round brackets: ( { ... }, { ... } )",
     QU_GROUP, true},
};

static const struct qu_question data_centre_questions[] = {
    {"name", OFFSET(qn_data_centre, name), 0, 0, 0, NULL, Qn_REMEDY_NAME,
     QU_NAME, true},
    {"region", OFFSET(qn_data_centre, region), 0, 0, 0, NULL, Qn_REMEDY_NAME,
     QU_NAME, true},
    {"price_on_demand", OFFSET(qn_data_centre, price_on_demand), 0.0001, 1e6,
     0, NULL, Qn_REMEDY_PRICE, QU_NUMBER, true},
    {"price_reclaimable", OFFSET(qn_data_centre, price_reclaimable), 0.0001,
     1e6, 0, NULL, Qn_REMEDY_PRICE, QU_NUMBER, true},
};

static const struct qu_question team_questions[] = {
    {"name", OFFSET(qn_team, name), 0, 0, 0, NULL, Qn_REMEDY_NAME, QU_NAME,
     true},
    {"key_digest", OFFSET(qn_team, key_digest), 0, 0, 0, NULL,
     Qn_REMEDY_DIGEST, QU_DIGEST, true},
    {"role", OFFSET(qn_team, role), 0, 0, 0, role_choices,
     "answer \"viewer\", \"editor\" or \"operator\"", QU_CHOICE, true},
};

static const struct qu_question caller_questions[] = {
    {"name", OFFSET(qn_caller, name), 0, 0, 0, NULL, Qn_REMEDY_NAME, QU_NAME,
     true},
    {"key_digest", OFFSET(qn_caller, key_digest), 0, 0, 0, NULL,
     Qn_REMEDY_DIGEST, QU_DIGEST, true},
    {"peak_per_s", OFFSET(qn_caller, peak_per_s), 0.01, 1e5, 0, NULL,
     "answer with the most requests a second you expect, from 0.01 to 100000",
     QU_NUMBER, true},
    {"patience_s", OFFSET(qn_caller, patience_s), 0.1, 86400, 0, NULL,
     "answer with the seconds this caller waits for a whole answer, from 0.1 "
     "to 86400",
     QU_NUMBER, true},
    {"budget_percent", OFFSET(qn_caller, budget_percent), 0.1, 100, 0, NULL,
     "answer with this caller's share of the budget, from 0.1 to 100",
     QU_NUMBER, true},
    {"longest_request_kb", OFFSET(qn_caller, longest_request_kb), 1, 16384,
     1024, NULL, "answer with a whole number of kilobytes from 1 to 16384",
     QU_INT, false},
};

static const struct qu_question service_questions[] = {
    {"name", OFFSET(qn_service, name), 0, 0, 0, NULL, Qn_REMEDY_NAME, QU_NAME,
     true},
    {"kind", OFFSET(qn_service, kind), 0, 0, 0, kind_choices,
     "answer \"engine\" for a model behind the completions API, \"plain\" "
     "for any other service",
     QU_CHOICE, true},
    {"path", OFFSET(qn_service, path), 0, 0, 0, NULL,
     "answer with a path that begins and ends with a slash, such as "
     "\"/box-office/\", not below /v1/",
     QU_PATH, false},
    {"repeatable", OFFSET(qn_service, repeatable), 0, 0, 0, NULL,
     Qn_REMEDY_BOOL, QU_BOOL, false},
    {"checks_fence", OFFSET(qn_service, checks_fence), 0, 0, 0, NULL,
     Qn_REMEDY_BOOL, QU_BOOL, false},
    {"first_token_ms", OFFSET(qn_service, first_token_ms), 1, 600000, 300,
     NULL, "answer with milliseconds from 1 to 600000", QU_NUMBER, false},
    {"between_tokens_ms", OFFSET(qn_service, between_tokens_ms), 0.1, 600000,
     33, NULL, "answer with milliseconds from 0.1 to 600000", QU_NUMBER,
     false},
    {"answer_within_s", OFFSET(qn_service, answer_within_s), 0.01, 86400, 0,
     NULL, "answer with seconds from 0.01 to 86400", QU_NUMBER, true},
    {"requests_at_once", OFFSET(qn_service, requests_at_once), 1, 4096, 0,
     NULL,
     "answer with how many requests one replica runs at once, from 1 to 4096",
     QU_INT, true},
    {"replicas_quiet", OFFSET(qn_service, replicas_quiet), 0, 10000, 0, NULL,
     "answer with the fewest replicas to keep, up to 10000", QU_INT, true},
    {"replicas_peak", OFFSET(qn_service, replicas_peak), 1, 10000, 0, NULL,
     "answer with the most replicas to pay for, from 1 to 10000", QU_INT,
     true},
    {"prefer", OFFSET(qn_service, prefer), 0, 0, QN_AS_RISKS, prefer_choices,
     "answer \"latency\", \"balance\" or \"cost\", or leave it out to follow "
     "risks.prefer",
     QU_CHOICE, false},
    {"version", OFFSET(qn_service, version), 0, 0, 0, NULL, Qn_REMEDY_NAME,
     QU_NAME, false},
    {"move", 0, 0, 0, 0, NULL, "answer with a group in braces: { ... }",
     QU_GROUP, false},
};

static const struct qu_question move_questions[] = {
    {"from", OFFSET(qn_move, from), 0, 0, 0, NULL,
     "name the version that carries the traffic today", QU_NAME, true},
    {"to", OFFSET(qn_move, to), 0, 0, 0, NULL,
     "name the version that shall carry the traffic", QU_NAME, true},
    {"by", OFFSET(qn_move, by), 0, 0, 0, NULL,
     "answer with a time of day in UTC, such as \"2026-12-04T06:00:00Z\"",
     QU_TIME, true},
    {"first_percent", OFFSET(qn_move, first_percent), 0.01, 50, 2, NULL,
     "answer with the share of traffic for the first step, from 0.01 to 50",
     QU_NUMBER, false},
    {"take_back", OFFSET(qn_move, take_back), 0, 0, 0, NULL, Qn_REMEDY_BOOL,
     QU_BOOL, false},
};

static const struct qu_question risk_questions[] = {
    {"reclaims", OFFSET(qn_risks, reclaims), 0, 0, 0, reclaim_choices,
     "answer \"never\", \"rare\" (some a month) or \"often\" (daily, or in "
     "waves)",
     QU_CHOICE, true},
    {"survive_data_centre_loss", OFFSET(qn_risks, survive_data_centre_loss), 0,
     0, 0, NULL, Qn_REMEDY_BOOL, QU_BOOL, true},
    {"prefer", OFFSET(qn_risks, prefer), 0, 0, 0, prefer_choices,
     "answer \"latency\", \"balance\" or \"cost\"", QU_CHOICE, true},
};

const struct qn_questions qn_top_questions = {top_questions,
                                              COUNT(top_questions)};
const struct qn_questions qn_platform_questions = {platform_questions,
                                                   COUNT(platform_questions)};
const struct qn_questions qn_data_centre_questions = {
    data_centre_questions, COUNT(data_centre_questions)};
const struct qn_questions qn_team_questions = {team_questions,
                                               COUNT(team_questions)};
const struct qn_questions qn_caller_questions = {caller_questions,
                                                 COUNT(caller_questions)};
const struct qn_questions qn_service_questions = {service_questions,
                                                  COUNT(service_questions)};
const struct qn_questions qn_move_questions = {move_questions,
                                               COUNT(move_questions)};
const struct qn_questions qn_risk_questions = {risk_questions,
                                               COUNT(risk_questions)};
