#include "web/join.h"

#include <stdlib.h>

/* Bytes on their way to one side that stop the reading of the other. */
#define Jn_PENDING_MAX ((size_t)64 << 10)

enum { Jn_NEAR, Jn_FAR, Jn_SIDES };

struct side {
    struct jn_join *join;
    struct sk_sock *sock;
};

struct jn_join {
    struct lp_loop *loop;
    struct side sides[Jn_SIDES];
    jn_done_fn done;
    void *arg;
    struct lp_later later;
    bool over;
};

static void
release(void *arg)
{
    free(arg);
}

static struct side *
other(struct side *side)
{
    struct jn_join *join = side->join;
    return &join->sides[side == &join->sides[Jn_NEAR] ? Jn_FAR : Jn_NEAR];
}

static void
on_data(void *arg, const char *data, size_t len)
{
    struct side *side = arg;
    struct side *to = other(side);
    Sk_Write(to->sock, data, len);
    if (Sk_Pending(to->sock) > Jn_PENDING_MAX) {
        Sk_Pause(side->sock, true);
    }
}

static void
on_drained(void *arg)
{
    struct side *side = arg;
    Sk_Pause(other(side)->sock, false);
}

static void
end(struct jn_join *join)
{
    join->over = true;
    Lp_Later(join->loop, &join->later, release, join);
}

/*
 * Whoever asked for the connection gives it up: the far end has to stop at
 * once.  An answer that was reset on its way must not look complete.
 */
static void
on_closed(void *arg, bool clean)
{
    struct side *side = arg;
    struct jn_join *join = side->join;
    struct sk_sock *left = other(side)->sock;
    Sk_Close(side->sock);
    if (side == &join->sides[Jn_NEAR]) {
        Sk_Close(left);
    }
    else if (clean) {
        Sk_Finish(left);
    }
    else {
        Sk_Reset(left);
    }
    end(join);
    join->done(join->arg);
}

static void
on_yield(void *arg, enum lg_why why)
{
    struct side *side = arg;
    struct jn_join *join = side->join;
    (void)why;
    Sk_Reset(side->sock);
    Sk_Reset(other(side)->sock);
    end(join);
    join->done(join->arg);
}

static const struct sk_ops side_ops = {
    .data = on_data,
    .closed = on_closed,
    .drained = on_drained,
    .yield = on_yield,
};

struct jn_join *
Jn_Create(struct lp_loop *loop, struct sk_sock *near, struct sk_sock *far,
          jn_done_fn done, void *arg)
{
    struct jn_join *join = calloc(1, sizeof(*join));
    if (join == NULL) {
        return NULL;
    }
    join->loop = loop;
    join->done = done;
    join->arg = arg;
    join->sides[Jn_NEAR] = (struct side){join, near};
    join->sides[Jn_FAR] = (struct side){join, far};
    Sk_SetOwner(near, &side_ops, &join->sides[Jn_NEAR]);
    Sk_SetOwner(far, &side_ops, &join->sides[Jn_FAR]);
    return join;
}

void
Jn_Destroy(struct jn_join *join)
{
    if (join == NULL || join->over) {
        return;
    }
    Sk_Reset(join->sides[Jn_NEAR].sock);
    Sk_Reset(join->sides[Jn_FAR].sock);
    end(join);
}
