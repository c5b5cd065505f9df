/* Private to admin.c and admin_publish.c. */
#ifndef GATE_ADMIN_INTERNAL_H
#define GATE_ADMIN_INTERNAL_H

#include <bsd/sys/queue.h>

#include "base/event.h"
#include "gate/admin.h"
#include "web/server.h"

#define EV(n, name, level, meaning, todo) Ev_DEFINE(n, name, level)
#include "config/events.def"
#undef EV

struct ad_publish;

TAILQ_HEAD(ad_publishes, ad_publish);

struct ad_admin {
    struct lp_loop *loop;
    struct hs_server *server;
    const struct ad_ops *ops;
    void *arg;
    char bootstrap_digest[Hash_DIGEST_HEX];
    int64_t verdict_usec;
    struct ad_publishes publishes;
};

void Ad_Reply(struct hs_request *request, int code, json_t *body);
void Ad_ReplyError(struct hs_request *request, enum st_status status);
void Ad_Publish(struct ad_admin *admin, struct hs_request *request,
                const char *team, const char *section, bool patch);
bool Ad_HasVerdict(struct ad_admin *admin, struct hs_request *request,
                   const char *section);
void Ad_PublishGone(struct ad_publish *publish);
void Ad_PublishDestroy(struct ad_publish *publish);

#endif
