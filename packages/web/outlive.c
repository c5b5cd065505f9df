#include "web/outlive.h"

#include <bsd/string.h>
#include <stdlib.h>

#include "base/clock.h"
#include "web/lifecheck.h"

/* The caller waits for the answer's end meanwhile. */
#define Ol_LIMIT_USEC (300 * Ck_USEC_PER_MSEC)
#define Ol_TEXT_MAX 256

struct ol_query {
    struct di_dial *dial;   /* NULL: the connection is made */
    struct lc_check *check; /* NULL: not yet connected */
    struct lp_timer *timer;
    char host[Ol_TEXT_MAX];
    char path[Ol_TEXT_MAX];
    ol_done_fn done;
    void *arg;
};

static void
end(struct ol_query *query, enum ol_result result)
{
    ol_done_fn done = query->done;
    void *arg = query->arg;
    Ol_Cancel(query);
    done(arg, result);
}

static void
on_timer(void *arg)
{
    end(arg, OL_SILENT);
}

static void
on_checked(void *arg, bool answered)
{
    struct ol_query *query = arg;
    query->check = NULL;
    end(query, answered ? OL_ANSWERED : OL_CLOSED);
}

static void
on_dialed(void *arg, const struct di_result *result)
{
    struct ol_query *query = arg;
    query->dial = NULL;
    if (result->sock == NULL) {
        end(query, result->ways[0] == DI_DECLINED ? OL_DECLINED : OL_REFUSED);
        return;
    }
    if (query->path[0] == '\0') {
        Sk_Close(result->sock);
        end(query, OL_ANSWERED);
        return;
    }
    query->check =
        Lc_Start(result->sock, query->host, query->path, on_checked, query);
    if (query->check == NULL) {
        end(query, OL_SILENT);
    }
}

struct ol_query *
Ol_Start(const struct ol_options *options, ol_done_fn done, void *arg)
{
    struct ol_query *query = calloc(1, sizeof(*query));
    if (query == NULL) {
        return NULL;
    }
    strlcpy(query->host, options->host, sizeof(query->host));
    if (options->path != NULL) {
        strlcpy(query->path, options->path, sizeof(query->path));
    }
    query->done = done;
    query->arg = arg;
    struct di_plan plan = {
        .count = 1,
        .ways = {*options->way},
        .patience_usec = Ol_LIMIT_USEC,
    };
    query->timer = Lp_TimerCreate(options->loop, on_timer, query);
    query->dial = query->timer == NULL
                      ? NULL
                      : Di_Start(options->loop, &plan, on_dialed, query);
    if (query->dial == NULL) {
        Ol_Cancel(query);
        return NULL;
    }
    Lp_TimerSet(query->timer, Ol_LIMIT_USEC);
    return query;
}

void
Ol_Cancel(struct ol_query *query)
{
    if (query == NULL) {
        return;
    }
    Di_Cancel(query->dial);
    Lc_Cancel(query->check);
    Lp_TimerDestroy(query->timer);
    free(query);
}

const char *
Ol_ResultName(enum ol_result result)
{
    static const char *const names[] = {"answered", "closed", "refused",
                                        "declined", "silent"};
    return names[result];
}
