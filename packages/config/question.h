/*
 * Reads the answers of one group of the questionnaire into a struct by a
 * table of questions.  Every problem is listed with the line of the answer
 * and the remedy.  Private to this package.
 */
#ifndef CONFIG_QUESTION_H
#define CONFIG_QUESTION_H

#include <libconfig.h>
#include <stdbool.h>
#include <stddef.h>

#include "config/questionnaire.h"

enum qu_type {
    QU_NAME,   /* char[Cf_NAME_MAX] */
    QU_DIGEST, /* char[Hash_DIGEST_HEX] */
    QU_PATH,   /* char[Cf_PATH_MAX] */
    QU_NUMBER, /* double */
    QU_INT,    /* int */
    QU_BOOL,
    QU_CHOICE, /* an int-sized enum: the index in "choices" */
    QU_TIME,   /* int64_t, seconds since 1970 */
    QU_GROUP,  /* a nested group or list, read by the caller */
};

struct qu_question {
    const char *name;
    size_t offset;
    double min; /* numbers: lowest and highest valid answer */
    double max;
    double default_number;      /* used when there is no answer */
    const char *const *choices; /* NULL-terminated */
    const char *remedy;         /* what a user should answer */
    enum qu_type type;
    bool required;
};

/* A group of answers while it is read. */
struct qu_group {
    struct qn_problems *problems;
    const config_setting_t *setting;
    char where[128]; /* such as "callers.schools"; empty at the top */
};

void Qu_Read(const struct qu_group *group, const struct qu_question *questions,
             size_t count, void *out);
void Qu_AddProblem(const struct qu_group *group, const char *name,
                   const char *remedy);

#endif
