/*
 * The host list: what tests set becomes visible after a lag.
 */
#include <bsd/sys/queue.h>
#include <stdlib.h>

#include "base/clock.h"
#include "standins/platform.h"

/* A list that was set and is not visible yet. */
struct change {
    STAILQ_ENTRY(change) link;
    json_t *list;
    int64_t visible_at;
};

struct pl_hosts {
    struct sv_program *program;
    int64_t lag_usec;
    json_t *visible;
    json_t *marked; /* the list when a fault was last set */
    STAILQ_HEAD(changes, change) changes;
};

/* Creates an empty list. */
struct pl_hosts *
Pl_HostsCreate(struct sv_program *program, const struct pl_options *options)
{
    struct pl_hosts *hosts = calloc(1, sizeof(*hosts));
    if (hosts == NULL) {
        return NULL;
    }
    hosts->program = program;
    hosts->lag_usec = options->lag_usec;
    hosts->visible = json_array();
    hosts->marked = json_array();
    STAILQ_INIT(&hosts->changes);
    return hosts;
}

static void
change_free(struct pl_hosts *hosts, struct change *change)
{
    STAILQ_REMOVE_HEAD(&hosts->changes, link);
    json_decref(change->list);
    free(change);
}

/* Frees the list with its pending changes. */
void
Pl_HostsDestroy(struct pl_hosts *hosts)
{
    struct change *change;
    while ((change = STAILQ_FIRST(&hosts->changes)) != NULL) {
        change_free(hosts, change);
    }
    json_decref(hosts->visible);
    json_decref(hosts->marked);
    free(hosts);
}

static void
apply_changes(struct pl_hosts *hosts)
{
    int64_t now = Ck_Now(Ck_System());
    struct change *change;
    while ((change = STAILQ_FIRST(&hosts->changes)) != NULL &&
           change->visible_at <= now) {
        json_decref(hosts->visible);
        hosts->visible = json_incref(change->list);
        change_free(hosts, change);
    }
}

/* Remembers the visible list, for stale reads. */
void
Pl_HostsMark(struct pl_hosts *hosts)
{
    apply_changes(hosts);
    json_decref(hosts->marked);
    hosts->marked = json_incref(hosts->visible);
}

static void
set_hosts(struct pl_hosts *hosts, struct hs_request *request)
{
    json_t *body = Sv_BodyJson(request);
    struct change *change = calloc(1, sizeof(*change));
    if (change == NULL) {
        abort();
    }
    json_t *list = json_object_get(body, "hosts");
    change->list = json_is_array(list) ? json_incref(list) : json_array();
    change->visible_at = Ck_Now(Ck_System()) + hosts->lag_usec;
    STAILQ_INSERT_TAIL(&hosts->changes, change, link);
    json_decref(body);
    Sv_Reply(hosts->program, request, 200, json_object());
}

static void
get_hosts(struct pl_hosts *hosts, struct hs_request *request)
{
    struct fl_query query = {
        .target = "hosts",
        .path = Hs_Path(request),
        .stream = "",
    };
    struct fl_fault fault = Fl_Take(Sv_Faults(hosts->program), &query);
    if (Sv_Before(request, &fault)) {
        return;
    }
    apply_changes(hosts);
    bool stale = fault.mode == FL_STALE_READ;
    struct sv_answer answer = {
        .code = 200,
        .body = json_pack("{s:O}", "hosts",
                          stale ? hosts->marked : hosts->visible),
    };
    Sv_Answer(hosts->program, request, &fault, &answer);
}

/* Serves the list and its control. */
bool
Pl_HostsServe(struct pl_hosts *hosts, struct hs_request *request)
{
    if (Sv_Is(request, "GET", "/hosts/v1")) {
        get_hosts(hosts, request);
        return true;
    }
    if (Sv_Is(request, "POST", "/standin/hosts")) {
        set_hosts(hosts, request);
        return true;
    }
    return false;
}
