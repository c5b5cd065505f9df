/* Loads a questionnaire and generates its configuration documents. */
#ifndef CORNELCTL_DOCUMENTS_H
#define CORNELCTL_DOCUMENTS_H

#include "config/questionnaire.h"

enum st_status Fi_Load(const char *file, struct qn_answers **answers,
                       struct qn_documents *documents);

#endif
