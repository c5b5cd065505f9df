#include "config/question.h"

#include <bsd/string.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "config/field.h"

#define Qu_VALUE_MAX 64 /* bytes of an answer repeated in a message */

/* Starts an empty list of problems; "file" is borrowed. */
void
Qn_ProblemsInit(struct qn_problems *problems, const char *file)
{
    STAILQ_INIT(&problems->list);
    problems->count = 0;
    problems->file = file;
}

/* Frees the problems. */
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

/* The answer as it was written, for a message. */
static void
show_value(const config_setting_t *setting, char out[Qu_VALUE_MAX])
{
    switch (config_setting_type(setting)) {
    case CONFIG_TYPE_STRING:
        snprintf(out, Qu_VALUE_MAX, "\"%.50s\"",
                 config_setting_get_string(setting));
        break;
    case CONFIG_TYPE_INT:
    case CONFIG_TYPE_INT64:
        snprintf(out, Qu_VALUE_MAX, "%lld", config_setting_get_int64(setting));
        break;
    case CONFIG_TYPE_FLOAT:
        snprintf(out, Qu_VALUE_MAX, "%g", config_setting_get_float(setting));
        break;
    case CONFIG_TYPE_BOOL:
        snprintf(out, Qu_VALUE_MAX, "%s",
                 config_setting_get_bool(setting) ? "true" : "false");
        break;
    default:
        strlcpy(out, "a group or list", Qu_VALUE_MAX);
        break;
    }
}

/*
 * Notes a problem with the answer "name" of the group; without such an
 * answer the problem is that it is missing.  NULL: with the group itself.
 */
void
Qu_Problem(const struct qu_group *group, const char *name, const char *remedy)
{
    struct qn_problem *problem = calloc(1, sizeof(*problem));
    if (problem == NULL) {
        return;
    }
    const config_setting_t *answer =
        name != NULL ? config_setting_get_member(group->setting, name) : NULL;
    const config_setting_t *place = answer != NULL ? answer : group->setting;
    const char *dot = group->where[0] != '\0' && name != NULL ? "." : "";
    char value[Qu_VALUE_MAX + 4] = "";
    if (answer != NULL) {
        strlcpy(value, " is ", sizeof(value));
        show_value(answer, value + strlen(value));
    }
    else if (name != NULL) {
        strlcpy(value, " is not answered", sizeof(value));
    }
    snprintf(problem->text, sizeof(problem->text), "%s:%u: %s%s%s%s: %s",
             group->problems->file, config_setting_source_line(place),
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
    else if (question->type == QU_WHOLE) {
        *(int *)(void *)out = (int)number;
    }
    else if (question->type == QU_BOOL) {
        *(bool *)(void *)out = number != 0;
    }
    else if (question->type == QU_CHOICE) {
        int place = (int)number;
        memcpy(out, &place, sizeof(place));
    }
}

static bool
read_number(const struct qu_question *question, const config_setting_t *answer,
            char *out)
{
    int type = config_setting_type(answer);
    bool whole = type == CONFIG_TYPE_INT || type == CONFIG_TYPE_INT64;
    double number;
    if (whole) {
        number = (double)config_setting_get_int64(answer);
    }
    else if (type == CONFIG_TYPE_FLOAT && question->type == QU_NUMBER) {
        number = config_setting_get_float(answer);
    }
    else {
        return false;
    }
    if (!(number >= question->least && number <= question->most)) {
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
    for (int i = 0; text != NULL && question->words[i] != NULL; i++) {
        if (strcmp(text, question->words[i]) == 0) {
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
    struct tm parts;
    memset(&parts, 0, sizeof(parts));
    if (text == NULL) {
        return false;
    }
    const char *rest = strptime(text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    if (rest == NULL || *rest != '\0') {
        return false;
    }
    *(int64_t *)(void *)out = timegm(&parts);
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
    case QU_WHOLE:
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
    char *place = (char *)out + question->offset;
    if (answer == NULL) {
        store_number(question, question->preset, place);
        if (question->required) {
            Qu_Problem(group, question->name, question->remedy);
        }
        return;
    }
    if (!read_answer(question, answer, place)) {
        Qu_Problem(group, question->name, question->remedy);
    }
}

/* A misspelt question would leave its preset in force without a word. */
static void
check_known(const struct qu_group *group, const struct qu_question *questions,
            size_t count)
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
            Qu_Problem(group, name,
                       "there is no such question here; see "
                       "docs/QUESTIONNAIRE.md for the questions, or remove "
                       "it");
        }
    }
}

/* Reads a group into the zeroed struct "out"; problems are noted. */
void
Qu_Read(const struct qu_group *group, const struct qu_question *questions,
        size_t count, void *out)
{
    for (size_t i = 0; i < count; i++) {
        read_question(group, &questions[i], out);
    }
    check_known(group, questions, count);
}
