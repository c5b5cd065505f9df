#include "config/question.h"

#include <bsd/string.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "config/field.h"

#define Qu_SHOWN_VALUE_BYTES 64 /* of an answer, in messages */

/* Makes an empty list; "file" must outlive it. */
void
Qn_ProblemsInit(struct qn_problems *problems, const char *file)
{
    STAILQ_INIT(&problems->list);
    problems->count = 0;
    problems->file = file;
}

void
Qn_ProblemsClear(struct qn_problems *problems)
{
    struct qn_problem *problem;
    while ((problem = STAILQ_FIRST(&problems->list)) != NULL) {
        STAILQ_REMOVE_HEAD(&problems->list, link);
        free(problem);
    }
    problems->count = 0;
}

/* Formats the answer as the user wrote it. */
static void
show_value(const config_setting_t *setting, char out[Qu_SHOWN_VALUE_BYTES])
{
    switch (config_setting_type(setting)) {
    case CONFIG_TYPE_STRING:
        snprintf(out, Qu_SHOWN_VALUE_BYTES, "\"%.50s\"",
                 config_setting_get_string(setting));
        break;
    case CONFIG_TYPE_INT:
    case CONFIG_TYPE_INT64:
        snprintf(out, Qu_SHOWN_VALUE_BYTES, "%lld",
                 config_setting_get_int64(setting));
        break;
    case CONFIG_TYPE_FLOAT:
        snprintf(out, Qu_SHOWN_VALUE_BYTES, "%g",
                 config_setting_get_float(setting));
        break;
    case CONFIG_TYPE_BOOL:
        snprintf(out, Qu_SHOWN_VALUE_BYTES, "%s",
                 config_setting_get_bool(setting) ? "true" : "false");
        break;
    default:
        strlcpy(out, "a group or list", Qu_SHOWN_VALUE_BYTES);
        break;
    }
}

/*
 * Lists a problem with the answer "name" of the group.  If the group has no
 * such answer, the message says that it is missing.  If "name" is NULL, the
 * problem is with the group itself.
 */
void
Qu_AddProblem(const struct qu_group *group, const char *name,
              const char *remedy)
{
    struct qn_problem *problem = calloc(1, sizeof(*problem));
    if (problem == NULL) {
        return;
    }
    const config_setting_t *answer =
        name != NULL ? config_setting_get_member(group->setting, name) : NULL;
    const config_setting_t *source = answer != NULL ? answer : group->setting;
    const char *dot = group->where[0] != '\0' && name != NULL ? "." : "";
    char value[Qu_SHOWN_VALUE_BYTES + 4] = "";
    if (answer != NULL) {
        strlcpy(value, " is ", sizeof(value));
        show_value(answer, value + strlen(value));
    }
    else if (name != NULL) {
        strlcpy(value, " is not answered", sizeof(value));
    }
    snprintf(problem->text, sizeof(problem->text), "%s:%u: %s%s%s%s: %s",
             group->problems->file, config_setting_source_line(source),
             group->where, dot, name != NULL ? name : "", value, remedy);
    STAILQ_INSERT_TAIL(&group->problems->list, problem, link);
    group->problems->count++;
}

static bool
read_text(const struct qu_question *question, const config_setting_t *answer,
          char *out)
{
    const char *text = config_setting_get_string(answer);
    if (text == NULL) {
        return false;
    }
    if (question->type == QU_DIGEST) {
        strlcpy(out, text, Hash_DIGEST_HEX);
        return Fd_IsDigest(text);
    }
    if (question->type == QU_PATH) {
        strlcpy(out, text, Cf_PATH_MAX);
        return Fd_IsPrefix(text);
    }
    strlcpy(out, text, Cf_NAME_MAX);
    return Cf_IsName(text);
}

static void
store_number(const struct qu_question *question, double number, char *out)
{
    if (question->type == QU_NUMBER) {
        *(double *)(void *)out = number;
    }
    else if (question->type == QU_INT) {
        *(int *)(void *)out = (int)number;
    }
    else if (question->type == QU_BOOL) {
        *(bool *)(void *)out = number != 0;
    }
    else if (question->type == QU_CHOICE) {
        int choice = (int)number;
        memcpy(out, &choice, sizeof(choice));
    }
}

static bool
read_number(const struct qu_question *question, const config_setting_t *answer,
            char *out)
{
    int type = config_setting_type(answer);
    bool is_integer = type == CONFIG_TYPE_INT || type == CONFIG_TYPE_INT64;
    double number;
    if (is_integer) {
        number = (double)config_setting_get_int64(answer);
    }
    else if (type == CONFIG_TYPE_FLOAT && question->type == QU_NUMBER) {
        number = config_setting_get_float(answer);
    }
    else {
        return false;
    }
    if (!(number >= question->min && number <= question->max)) {
        return false;
    }
    store_number(question, number, out);
    return true;
}

static bool
read_choice(const struct qu_question *question, const config_setting_t *answer,
            char *out)
{
    const char *text = config_setting_get_string(answer);
    for (int i = 0; text != NULL && question->choices[i] != NULL; i++) {
        if (strcmp(text, question->choices[i]) == 0) {
            store_number(question, i, out);
            return true;
        }
    }
    return false;
}

static bool
read_time(const config_setting_t *answer, char *out)
{
    const char *text = config_setting_get_string(answer);
    struct tm fields;
    memset(&fields, 0, sizeof(fields));
    if (text == NULL) {
        return false;
    }
    const char *rest = strptime(text, "%Y-%m-%dT%H:%M:%SZ", &fields);
    if (rest == NULL || *rest != '\0') {
        return false;
    }
    *(int64_t *)(void *)out = timegm(&fields);
    return true;
}

static bool
read_answer(const struct qu_question *question, const config_setting_t *answer,
            char *out)
{
    switch (question->type) {
    case QU_NAME:
    case QU_DIGEST:
    case QU_PATH:
        return read_text(question, answer, out);
    case QU_NUMBER:
    case QU_INT:
        return read_number(question, answer, out);
    case QU_CHOICE:
        return read_choice(question, answer, out);
    case QU_TIME:
        return read_time(answer, out);
    case QU_BOOL:
        if (config_setting_type(answer) != CONFIG_TYPE_BOOL) {
            return false;
        }
        *(bool *)(void *)out = config_setting_get_bool(answer) != 0;
        return true;
    case QU_GROUP:
        return true;
    }
    return false;
}

static void
read_question(const struct qu_group *group, const struct qu_question *question,
              void *out)
{
    const config_setting_t *answer =
        config_setting_get_member(group->setting, question->name);
    char *field = (char *)out + question->offset;
    if (answer == NULL) {
        store_number(question, question->default_number, field);
        if (question->required) {
            Qu_AddProblem(group, question->name, question->remedy);
        }
        return;
    }
    if (!read_answer(question, answer, field)) {
        Qu_AddProblem(group, question->name, question->remedy);
    }
}

/* Reports misspelt questions, which would silently keep their defaults. */
static void
check_unknown_answers(const struct qu_group *group,
                      const struct qu_question *questions, size_t count)
{
    int members = config_setting_length(group->setting);
    for (int i = 0; i < members; i++) {
        const char *name = config_setting_name(
            config_setting_get_elem(group->setting, (unsigned int)i));
        bool known = false;
        for (size_t j = 0; j < count && !known; j++) {
            known = strcmp(name, questions[j].name) == 0;
        }
        if (!known) {
            Qu_AddProblem(group, name,
                          "there is no such question here; see "
                          "docs/QUESTIONNAIRE.md for the questions, or remove "
                          "it");
        }
    }
}

/* Reads a group into the zeroed struct "out" and lists the problems. */
void
Qu_Read(const struct qu_group *group, const struct qu_question *questions,
        size_t count, void *out)
{
    for (size_t i = 0; i < count; i++) {
        read_question(group, &questions[i], out);
    }
    check_unknown_answers(group, questions, count);
}
