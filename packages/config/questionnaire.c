#include "config/questionnaire.h"

#include <bsd/string.h>
#include <libconfig.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/questions.h"

#define Qn_LIST_MAX 10000

/* Returns the member, or NULL if it is missing or of another type. */
static const config_setting_t *
member_of_type(const struct qu_group *group, const char *name, int type,
               const char *remedy)
{
    const config_setting_t *member =
        config_setting_get_member(group->setting, name);
    if (member != NULL && config_setting_type(member) != type) {
        Qu_AddProblem(group, name, remedy);
        return NULL;
    }
    return member;
}

static void
set_where(struct qu_group *group, const char *list, const char *name, int i)
{
    if (name != NULL) {
        snprintf(group->where, sizeof(group->where), "%s.%.47s", list, name);
    }
    else {
        snprintf(group->where, sizeof(group->where), "%s[%d]", list, i);
    }
}

/* Every entry begins with its name, which must be unique in the list. */
static void
check_duplicate_name(const struct qu_group *group,
                     const struct qn_list_kind *kind, const char *entries,
                     size_t count)
{
    const char *name = entries + count * kind->entry_size;
    for (size_t i = 0; i < count && name[0] != '\0'; i++) {
        if (strcmp(entries + i * kind->entry_size, name) == 0) {
            Qu_AddProblem(group, "name",
                          "an entry before has this name: give each its own");
            return;
        }
    }
}

static size_t
read_list(const struct qu_group *parent, const struct qn_list_kind *kind,
          void **out)
{
    const config_setting_t *list = member_of_type(
        parent, kind->name, CONFIG_TYPE_LIST,
        "answer with a list of groups in round brackets: ( { ... } )");
    int length = list != NULL ? config_setting_length(list) : 0;
    if (length > Qn_LIST_MAX) {
        Qu_AddProblem(parent, kind->name, "at most 10000 entries go in");
        length = 0;
    }
    char *entries = calloc((size_t)length + 1, kind->entry_size);
    *out = entries;
    if (entries == NULL) {
        return 0;
    }
    for (int i = 0; i < length; i++) {
        struct qu_group group = {parent->problems, NULL, ""};
        group.setting = config_setting_get_elem(list, (unsigned int)i);
        set_where(&group, kind->name, NULL, i);
        if (!config_setting_is_group(group.setting)) {
            Qu_AddProblem(&group, NULL, "write this entry in braces: { ... }");
            continue;
        }
        const char *name = NULL;
        config_setting_lookup_string(group.setting, "name", &name);
        set_where(&group, kind->name, name, i);
        void *entry = entries + (size_t)i * kind->entry_size;
        Qu_Read(&group, kind->questions->questions, kind->questions->count,
                entry);
        check_duplicate_name(&group, kind, entries, (size_t)i);
        if (kind->check != NULL) {
            kind->check(&group, entry);
        }
    }
    return (size_t)length;
}

static void
read_move(const struct qu_group *parent, struct qn_service *service)
{
    struct qu_group group = {parent->problems, NULL, ""};
    group.setting = member_of_type(parent, "move", CONFIG_TYPE_GROUP,
                                   "answer with a group: { ... }");
    if (group.setting == NULL) {
        return;
    }
    snprintf(group.where, sizeof(group.where), "%.120s.move", parent->where);
    service->moving = true;
    Qu_Read(&group, qn_move_questions.questions, qn_move_questions.count,
            &service->move);
    Qn_CheckMove(&group, &service->move);
}

static void
check_team(const struct qu_group *group, void *entry)
{
    Qn_CheckTeam(group, entry);
}

static void
check_service(const struct qu_group *group, void *entry)
{
    read_move(group, entry);
    Qn_CheckService(group, entry);
}

static const struct qn_list_kind data_centre_list = {
    "data_centres", sizeof(struct qn_data_centre), &qn_data_centre_questions,
    NULL};
static const struct qn_list_kind team_list = {"teams", sizeof(struct qn_team),
                                              &qn_team_questions, check_team};
static const struct qn_list_kind caller_list = {
    "callers", sizeof(struct qn_caller), &qn_caller_questions, NULL};
static const struct qn_list_kind service_list = {
    "services", sizeof(struct qn_service), &qn_service_questions,
    check_service};

static void
read_platform(const struct qu_group *top, struct qn_answers *answers)
{
    struct qu_group group = {top->problems, NULL, "platform"};
    group.setting = member_of_type(top, "platform", CONFIG_TYPE_GROUP,
                                   "answer with a group in braces: { ... }");
    if (group.setting == NULL) {
        return;
    }
    answers->has_platform = true;
    Qu_Read(&group, qn_platform_questions.questions,
            qn_platform_questions.count, answers);
    void *list;
    answers->data_centre_count = read_list(&group, &data_centre_list, &list);
    answers->data_centres = list;
    answers->team_count = read_list(&group, &team_list, &list);
    answers->teams = list;
    Qn_CheckPlatform(&group, answers);
}

static void
read_risks(const struct qu_group *top, struct qn_answers *answers)
{
    struct qu_group group = {top->problems, NULL, "risks"};
    group.setting = member_of_type(top, "risks", CONFIG_TYPE_GROUP,
                                   "answer with a group in braces: { ... }");
    if (group.setting == NULL) {
        return;
    }
    Qu_Read(&group, qn_risk_questions.questions, qn_risk_questions.count,
            &answers->risks);
    Qn_CheckRisks(&group, answers);
}

static void
read_all(const config_t *config, struct qn_problems *problems,
         struct qn_answers *answers)
{
    struct qu_group top = {problems, config_root_setting(config), ""};
    Qu_Read(&top, qn_top_questions.questions, qn_top_questions.count, answers);
    read_platform(&top, answers);
    void *list;
    answers->caller_count = read_list(&top, &caller_list, &list);
    answers->callers = list;
    answers->service_count = read_list(&top, &service_list, &list);
    answers->services = list;
    read_risks(&top, answers);
    Qn_CheckAll(&top, answers);
}

static void
add_syntax_problem(struct qn_problems *problems, const config_t *config)
{
    struct qn_problem *problem = calloc(1, sizeof(*problem));
    if (problem == NULL) {
        return;
    }
    snprintf(problem->text, sizeof(problem->text),
             "%s:%d: %s: mend the line; answers are written NAME = VALUE;",
             problems->file, config_error_line(config),
             config_error_text(config));
    STAILQ_INSERT_TAIL(&problems->list, problem, link);
    problems->count++;
}

static enum st_status
read_answers(const config_t *config, int parsed, struct qn_problems *problems,
             struct qn_answers **out)
{
    if (parsed != CONFIG_TRUE) {
        add_syntax_problem(problems, config);
    }
    else {
        *out = calloc(1, sizeof(**out));
        if (*out == NULL) {
            return St_Fail(ST_NO_MEMORY, "no memory for the answers");
        }
        read_all(config, problems, *out);
    }
    if (problems->count == 0) {
        return ST_OK;
    }
    Qn_Destroy(*out);
    *out = NULL;
    return St_Fail(ST_INVALID, "%s has %zu wrong answers: mend them",
                   problems->file, problems->count);
}

/*
 * Reads and checks a questionnaire.  ST_INVALID: "problems" lists the invalid
 * answers.  ST_NOT_FOUND: the file cannot be read.
 */
enum st_status
Qn_Read(const char *file, struct qn_problems *problems,
        struct qn_answers **out)
{
    *out = NULL;
    FILE *stream = fopen(file, "r");
    if (stream == NULL) {
        return St_Fail(ST_NOT_FOUND,
                       "%s cannot be read: name a file that "
                       "exists and that you may read",
                       file);
    }
    config_t config;
    config_init(&config);
    int parsed = config_read(&config, stream);
    enum st_status status = read_answers(&config, parsed, problems, out);
    config_destroy(&config);
    fclose(stream);
    return status;
}

/* Like Qn_Read(), but reads the questionnaire from a string. */
enum st_status
Qn_ReadText(const char *text, struct qn_problems *problems,
            struct qn_answers **out)
{
    *out = NULL;
    config_t config;
    config_init(&config);
    int parsed = config_read_string(&config, text);
    enum st_status status = read_answers(&config, parsed, problems, out);
    config_destroy(&config);
    return status;
}

/* "answers" may be NULL. */
void
Qn_Destroy(struct qn_answers *answers)
{
    if (answers == NULL) {
        return;
    }
    free(answers->data_centres);
    free(answers->teams);
    free(answers->callers);
    free(answers->services);
    free(answers);
}
