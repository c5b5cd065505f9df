#include "edge/rate_limit.h"

#include <math.h>

/* A smaller change of the limit is not logged. */
#define Rl_LOGGED_CHANGE 0.1

static void
log_change(const struct fl_endpoint *endpoint, double per_sec, const char *by)
{
    Ln_Log(LN_STATE, "endpoint.rate_limit",
           "\"endpoint\":\"%s\",\"service\":\"%s\",\"per_sec\":%.2f,"
           "\"by\":\"%s\"",
           endpoint->entry.id, endpoint->entry.service, per_sec, by);
}

static bool
is_logged(double before, double now)
{
    return (before > 0) != (now > 0) ||
           fabs(now - before) > Rl_LOGGED_CHANGE * before;
}

void
Rl_NoteAnswer(struct ga_gate *gate, struct fl_endpoint *endpoint,
              const struct hd_answer *answer)
{
    if (answer->rate_limit_invalid) {
        Mt_Add(gate->count.rate_limits_invalid, 1);
        return;
    }
    if (is_logged(endpoint->rate_limit, answer->rate_limit)) {
        log_change(endpoint, answer->rate_limit, "answer");
    }
    endpoint->rate_limit = answer->rate_limit;
}
