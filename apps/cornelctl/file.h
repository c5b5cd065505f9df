/* The documents made from a questionnaire, for the commands that take one. */
#ifndef CORNELCTL_FILE_H
#define CORNELCTL_FILE_H

#include "config/questionnaire.h"

enum st_status Fi_Load(const char *file, struct qn_answers **answers,
                       struct qn_documents *documents);

#endif
