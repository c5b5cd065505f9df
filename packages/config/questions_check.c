/*
 * Checks that compare several answers.  Each problem names the answer and the
 * remedy.
 */
#include <stdio.h>
#include <string.h>

#include "config/questions.h"

/* By how much the sum of all budgets may exceed 100. */
#define Qn_TOLERANCE_PERCENT 0.5

/* No team may have the name of the bootstrap author. */
void
Qn_CheckTeam(const struct qu_group *group, const struct qn_team *team)
{
    if (strcmp(team->name, Cf_BOOTSTRAP) == 0) {
        Qu_AddProblem(group, "name",
                      "this name is kept for the first key: choose another");
    }
}

/* A move needs two different versions. */
void
Qn_CheckMove(const struct qu_group *group, const struct qn_move *move)
{
    if (move->to[0] != '\0' && strcmp(move->from, move->to) == 0) {
        Qu_AddProblem(
            group, "to",
            "the move goes to the version it comes from: name another "
            "one, or answer \"version\" in place of \"move\"");
    }
}

static void
check_path(const struct qu_group *group, const struct qn_service *service)
{
    bool given = config_setting_get_member(group->setting, "path") != NULL;
    if (service->kind == CF_PLAIN && !given) {
        Qu_AddProblem(group, "path",
                      "a plain service is found by the path of its calls: "
                      "answer with a prefix such as \"/box-office/\"");
    }
    if (service->kind == CF_ENGINE && given) {
        Qu_AddProblem(
            group, "path",
            "a model engine is found by the name of its model: leave "
            "this out");
    }
}

static void
check_repeatable(const struct qu_group *group,
                 const struct qn_service *service)
{
    bool given =
        config_setting_get_member(group->setting, "repeatable") != NULL;
    if (service->kind == CF_PLAIN && !given) {
        Qu_AddProblem(
            group, "repeatable",
            "say whether every call may run twice without harm: true, "
            "or false where a call charges or orders");
    }
}

static void
check_version(const struct qu_group *group, const struct qn_service *service)
{
    bool version = service->version[0] != '\0';
    if (version && service->moving) {
        Qu_AddProblem(
            group, "version",
            "answer either \"version\" or \"move\": a move names both "
            "versions");
    }
    if (service->kind == CF_ENGINE && !version && !service->moving) {
        Qu_AddProblem(group, "version",
                      "name the version that carries the traffic, or answer "
                      "\"move\"");
    }
}

/* Checks that the answers about a service are consistent. */
void
Qn_CheckService(const struct qu_group *group, const struct qn_service *service)
{
    check_path(group, service);
    check_repeatable(group, service);
    check_version(group, service);
    if (service->replicas_peak > 0 &&
        service->replicas_peak < service->replicas_quiet) {
        Qu_AddProblem(group, "replicas_peak",
                      "answer with at least replicas_quiet");
    }
    if (service->kind == CF_ENGINE && service->answer_within_s > 0 &&
        service->first_token_ms >= 1000 * service->answer_within_s) {
        Qu_AddProblem(group, "answer_within_s",
                      "the whole answer takes longer than its first token: "
                      "answer with more than first_token_ms");
    }
}

/* Without an operator nobody could publish the platform section again. */
void
Qn_CheckPlatform(const struct qu_group *group,
                 const struct qn_answers *answers)
{
    bool operator_found = false;
    bool own_team_found = false;
    for (size_t i = 0; i < answers->team_count; i++) {
        const struct qn_team *team = &answers->teams[i];
        operator_found |= team->role == CF_OPERATOR;
        own_team_found |= strcmp(team->name, answers->team) == 0;
    }
    if (!operator_found) {
        Qu_AddProblem(group, "teams",
                      "no team is \"operator\", and nobody could change these "
                      "answers again: give one team that role");
    }
    if (!own_team_found) {
        Qu_AddProblem(group, "teams",
                      "your own team is not among them: add the team that "
                      "answers this questionnaire");
    }
}

/* Surviving the loss of a data centre takes at least two of them. */
void
Qn_CheckRisks(const struct qu_group *group, const struct qn_answers *answers)
{
    if (answers->risks.survive_data_centre_loss && answers->has_platform &&
        answers->data_centre_count < 2) {
        Qu_AddProblem(group, "survive_data_centre_loss",
                      "there is one data centre only: add another one, or "
                      "answer false");
    }
}

static void
check_budgets(const struct qu_group *top, const struct qn_answers *answers)
{
    double sum = 0;
    for (size_t i = 0; i < answers->caller_count; i++) {
        sum += answers->callers[i].budget_percent;
    }
    if (sum > 100 + Qn_TOLERANCE_PERCENT) {
        char remedy[128];
        snprintf(remedy, sizeof(remedy),
                 "the answers to budget_percent add up to %g: lower some, "
                 "100 is the whole budget",
                 sum);
        Qu_AddProblem(top, "callers", remedy);
    }
}

/* Surviving the loss of a data centre takes at least two replicas. */
static void
check_spread(const struct qu_group *top, const struct qn_answers *answers)
{
    if (!answers->risks.survive_data_centre_loss) {
        return;
    }
    for (size_t i = 0; i < answers->service_count; i++) {
        const struct qn_service *service = &answers->services[i];
        if (service->replicas_quiet >= 2 || service->name[0] == '\0') {
            continue;
        }
        char remedy[256];
        snprintf(remedy, sizeof(remedy),
                 "%s keeps fewer than 2 replicas and would not survive the "
                 "loss of a data centre: answer replicas_quiet with 2 or "
                 "more, or risks.survive_data_centre_loss with false",
                 service->name);
        Qu_AddProblem(top, "services", remedy);
    }
}

/*
 * If two callers or teams had the same key digest, one of them would get the
 * limits and the answers of the other.
 */
static void
check_keys(const struct qu_group *top, const struct qn_answers *answers)
{
    for (size_t i = 0; i < answers->caller_count; i++) {
        const char *digest = answers->callers[i].key_digest;
        bool duplicate = false;
        for (size_t j = 0; j < i; j++) {
            duplicate |= strcmp(answers->callers[j].key_digest, digest) == 0;
        }
        for (size_t j = 0; j < answers->team_count; j++) {
            duplicate |= strcmp(answers->teams[j].key_digest, digest) == 0;
        }
        if (duplicate && digest[0] != '\0') {
            char remedy[192];
            snprintf(remedy, sizeof(remedy),
                     "the key_digest of %s is used twice: make a key of its "
                     "own for each with 'cornelctl key NAME'",
                     answers->callers[i].name);
            Qu_AddProblem(top, "callers", remedy);
        }
    }
}

/* Checks that callers, services and risks are consistent. */
void
Qn_CheckAll(const struct qu_group *top, const struct qn_answers *answers)
{
    check_budgets(top, answers);
    check_spread(top, answers);
    check_keys(top, answers);
}
