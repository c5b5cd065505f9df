/*
 * Explains to an operator where a request would go now, and why, without
 * sending it.  Decides by the code that decides on callers' requests, and
 * changes nothing that later decisions depend on.
 */
#ifndef EDGE_EXPLAIN_H
#define EDGE_EXPLAIN_H

#include <stdbool.h>

#include "edge/header_codec.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Ex_PATH "/explain"
#define Ex_TEXT_MAX 512

struct ga_gate;
struct sv_request;

struct ex_query {
    char host[Ex_TEXT_MAX];
    char path[Ex_TEXT_MAX];
    char customer[Ex_TEXT_MAX]; /* empty: none */
    /* token counts, id and prompt parts; the key is not used */
    struct hd_request_info info;
};

/*
 * Reads "/explain?host=H&path=P&customer=C&tokens=IN,OUT", percent-encoded,
 * into a query.  False if host or path is missing or a value is invalid or too
 * long.
 */
bool Ex_Parse(struct h1_text target, struct ex_query *query);
/* Returns the explanation, to be freed; NULL when out of memory. */
char *Ex_Explain(struct ga_gate *gate, const struct ex_query *query);
/* Answers a request for Ex_PATH, whose fields may give id and prompt parts. */
void Ex_Reply(struct ga_gate *gate, struct sv_request *request);

#ifdef __cplusplus
}
#endif

#endif
