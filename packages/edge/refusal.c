#include <stdio.h>

#include "edge/gate_internal.h"

#define Rf_FIELDS_MAX 512
#define Rf_BODY_MAX 256

/* Answers a request with an error of this host; no retry-after if
   "retry_usec" is 0. */
void
Rf_Reply(struct ga_gate *gate, struct sv_request *request,
         const struct rf_refusal *refusal)
{
    char fields[Rf_FIELDS_MAX];
    char body[Rf_BODY_MAX];
    int at =
        snprintf(fields, sizeof(fields), "Content-Type: application/json\r\n");
    if (refusal->id[0] != '\0') {
        at += snprintf(fields + at, sizeof(fields) - (size_t)at, "%s: %s\r\n",
                       gate->options.wire->request_id, refusal->id);
    }
    if (refusal->retry_usec > 0) {
        snprintf(fields + at, sizeof(fields) - (size_t)at, "%s: %.3f\r\n",
                 gate->options.wire->retry_after,
                 (double)refusal->retry_usec / (double)Ck_USEC_PER_SEC);
    }
    int len =
        snprintf(body, sizeof(body), "{\"error\":\"%s\"}\n", refusal->why);
    Sv_Reply(request, refusal->status, fields, body, (size_t)len);
}
