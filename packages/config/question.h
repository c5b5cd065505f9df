/*
 * Reads the answers of one group of the questionnaire into a struct by a
 * table of questions, and notes every problem with the place of the answer
 * and the remedy.  For the modules of this package only.
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
    QU_WHOLE,  /* int */
    QU_BOOL,
    QU_CHOICE, /* an int-sized enum: the place of the word */
    QU_TIME,   /* int64_t, seconds since 1970 */
    QU_GROUP,  /* answers of their own, read by the caller */
};

struct qu_question {
    const char *name;
    size_t offset;
    double least; /* numbers: lowest and highest answer */
    double most;
    double preset;            /* the value when the question is left out */
    const char *const *words; /* choices, NULL-terminated */
    const char *remedy;       /* what to answer */
    enum qu_type type;
    bool required;
};

/* One group being read. */
struct qu_group {
    struct qn_problems *problems;
    const config_setting_t *setting;
    char where[128]; /* such as "callers.schools"; empty at the top */
};

void Qu_Read(const struct qu_group *group, const struct qu_question *questions,
             size_t count, void *out);
void Qu_Problem(const struct qu_group *group, const char *name,
                const char *remedy);

#endif
