/*
 * The questionnaire: a libconfig file in which a team describes its callers,
 * services, data centres and risks.  The answers are checked and turned into
 * section documents.  Each problem names the file, line, answer and remedy.
 */
#ifndef CONFIG_QUESTIONNAIRE_H
#define CONFIG_QUESTIONNAIRE_H

#include <bsd/sys/queue.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "config/config.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Qn_PROBLEM_MAX 512

/* What to favour where latency and cost conflict. */
enum qn_prefer {
    QN_LATENCY,
    QN_BALANCE,
    QN_COST,
    QN_AS_RISKS, /* of a service: same as risks.prefer */
};

/* How often the provider reclaims spot hosts. */
enum qn_reclaims {
    QN_NEVER,
    QN_RARE,
    QN_OFTEN,
};

struct qn_data_centre {
    char name[Cf_NAME_MAX];
    char region[Cf_NAME_MAX];
    double price_on_demand; /* of a host, per hour */
    double price_reclaimable;
};

struct qn_team {
    char name[Cf_NAME_MAX];
    char key_digest[Hash_DIGEST_HEX];
    enum cf_role role;
};

struct qn_caller {
    char name[Cf_NAME_MAX];
    char key_digest[Hash_DIGEST_HEX];
    double peak_per_s;
    double patience_s;
    double budget_percent;
    int longest_request_kb;
};

struct qn_move {
    char from[Cf_NAME_MAX];
    char to[Cf_NAME_MAX];
    int64_t by; /* deadline, seconds since 1970 */
    double first_percent;
    bool take_back;
};

struct qn_service {
    char name[Cf_NAME_MAX];
    enum cf_kind kind;
    char path[Cf_PATH_MAX];
    bool repeatable;
    bool checks_fence;
    double first_token_ms;
    double between_tokens_ms;
    double answer_within_s;
    int requests_at_once;
    int replicas_quiet;
    int replicas_peak;
    enum qn_prefer prefer;
    char version[Cf_NAME_MAX];
    bool moving;
    struct qn_move move;
};

struct qn_risks {
    enum qn_reclaims reclaims;
    bool survive_data_centre_loss;
    enum qn_prefer prefer;
};

struct qn_answers {
    char team[Cf_NAME_MAX];
    bool has_platform; /* the file describes data centres and teams */
    struct qn_data_centre *data_centres;
    size_t data_centre_count;
    struct qn_team *teams;
    size_t team_count;
    struct qn_caller *callers;
    size_t caller_count;
    struct qn_service *services;
    size_t service_count;
    struct qn_risks risks;
};

struct qn_problem {
    STAILQ_ENTRY(qn_problem) link;
    char text[Qn_PROBLEM_MAX]; /* "FILE:LINE: ANSWER is VALUE: REMEDY" */
};

STAILQ_HEAD(qn_problem_list, qn_problem);

struct qn_problems {
    struct qn_problem_list list; /* in the order of detection */
    size_t count;
    const char *file; /* named in the messages */
};

/* A section generated from the answers. */
struct qn_document {
    char section[Cf_SECTION_MAX];
    char *body; /* JSON text */
};

struct qn_documents {
    struct qn_document items[2];
    size_t count;
};

void Qn_ProblemsInit(struct qn_problems *problems, const char *file);
void Qn_ProblemsClear(struct qn_problems *problems);
enum st_status Qn_Read(const char *file, struct qn_problems *problems,
                       struct qn_answers **out);
enum st_status Qn_ReadText(const char *text, struct qn_problems *problems,
                           struct qn_answers **out);
void Qn_Destroy(struct qn_answers *answers);
enum st_status Qn_Generate(const struct qn_answers *answers,
                           struct qn_documents *out);
void Qn_DocumentsClear(struct qn_documents *documents);

#ifdef __cplusplus
}
#endif

#endif
