/*
 * The tables of questions, and the checks that compare several answers.
 * Private to the questionnaire.
 */
#ifndef CONFIG_QUESTIONS_H
#define CONFIG_QUESTIONS_H

#include "config/question.h"

struct qn_questions {
    const struct qu_question *questions;
    size_t count;
};

/* A list of groups, each with the same questions. */
struct qn_list_kind {
    const char *name;
    size_t entry_size;
    const struct qn_questions *questions;
    /* Compares several answers of an entry; may be NULL. */
    void (*check)(const struct qu_group *group, void *entry);
};

extern const struct qn_questions qn_top_questions;
extern const struct qn_questions qn_platform_questions;
extern const struct qn_questions qn_data_centre_questions;
extern const struct qn_questions qn_team_questions;
extern const struct qn_questions qn_caller_questions;
extern const struct qn_questions qn_service_questions;
extern const struct qn_questions qn_move_questions;
extern const struct qn_questions qn_risk_questions;

void Qn_CheckTeam(const struct qu_group *group, const struct qn_team *team);
void Qn_CheckMove(const struct qu_group *group, const struct qn_move *move);
void Qn_CheckService(const struct qu_group *group,
                     const struct qn_service *service);
void Qn_CheckPlatform(const struct qu_group *group,
                      const struct qn_answers *answers);
void Qn_CheckRisks(const struct qu_group *group,
                   const struct qn_answers *answers);
void Qn_CheckAll(const struct qu_group *top, const struct qn_answers *answers);

#endif
