/*
 * A JSON request over HTTP to a service of the platform.  The adapters of
 * this package use it, except the log client.
 */
#ifndef PLATFORM_JSONCALL_H
#define PLATFORM_JSONCALL_H

#include <jansson.h>

#include "web/client.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The address of a service. */
struct jc_target {
    char address[64];
    int port;
};

struct jc_answer {
    enum st_status status; /* ST_OK for any complete HTTP response */
    bool may_have_run;     /* false: no byte of the request was sent */
    int code;
    const json_t *body; /* NULL when empty or not JSON */
    const char *text;   /* the same as it came; NULL when empty */
    size_t text_len;
};

struct jc_call;

typedef void (*jc_done_fn)(void *arg, const struct jc_answer *answer);

enum st_status Jc_ParseTarget(const char *text, struct jc_target *out);
enum st_status Jc_Start(struct lp_loop *loop, const struct jc_target *target,
                        const char *method, const char *path,
                        const json_t *body, int64_t timeout_usec,
                        jc_done_fn done, void *arg, struct jc_call **out);
void Jc_Cancel(struct jc_call *call);

#ifdef __cplusplus
}
#endif

#endif
