#include "web/ledger.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "web/loop.h"

#define Lg_NAME_MAX 96
/* Log lines about connections that yielded. */
#define Lg_LINES_PER_SEC 5
#define Lg_QUEUES_USEC (1 * Ck_USEC_PER_SEC)

TAILQ_HEAD(lg_holders, lg_holder);

struct lg_ledger {
    struct lg_options options;
    struct lg_holders holders;
    size_t connections;
    size_t all; /* bytes */
    size_t held[LG_KINDS];
    size_t most; /* highest value of "all" */
    int64_t queues_counted_at;
    bool counts_queues;
    int64_t logged_at;
    int logged; /* lines in the second that began then */
};

static const char *const kind_names[LG_KINDS] = {
    "connection", "head",   "body",   "behind",
    "copy",       "coming", "answer", "kernel",
};

struct yd_bound
Lg_Bound(int64_t memory_bytes, size_t files)
{
    size_t most = Lp_DescriptorsMax();
    return Yd_Bound(memory_bytes, files < most ? files : most);
}

/* NULL without memory. */
struct lg_ledger *
Lg_Create(const struct lg_options *options)
{
    struct lg_ledger *ledger = calloc(1, sizeof(*ledger));
    if (ledger != NULL) {
        ledger->options = *options;
        TAILQ_INIT(&ledger->holders);
    }
    return ledger;
}

/* Connections that are still ending are accounted for no longer. */
void
Lg_Destroy(struct lg_ledger *ledger)
{
    struct lg_holder *holder;
    if (ledger != NULL) {
        TAILQ_FOREACH (holder, &ledger->holders, link) {
            holder->ledger = NULL;
        }
        free(ledger);
    }
}

static int64_t
now_of(const struct lg_ledger *ledger)
{
    return Ck_Now(ledger->options.clock);
}

/*
 * The holder that yields first; NULL: none may.  Whoever yields may ask for
 * room itself, for the bytes of a refusal: not from those on whose behalf it
 * yields, who are in the midst of their work.
 */
static struct lg_holder *
first_to_yield(struct lg_ledger *ledger, yd_rank_fn rank,
               const struct lg_holder *asker)
{
    int64_t now = now_of(ledger);
    struct lg_holder *first = NULL;
    double first_rank = -1;
    struct lg_holder *holder;
    TAILQ_FOREACH (holder, &ledger->holders, link) {
        double its_rank =
            holder->asking && holder != asker ? -1 : rank(&holder->state, now);
        if (its_rank >= 0 && its_rank > first_rank) {
            first = holder;
            first_rank = its_rank;
        }
    }
    return first;
}

static void
read_peer(int fd, char *out, size_t size)
{
    struct sockaddr_in at = {0};
    socklen_t len = sizeof(at);
    char ip[INET_ADDRSTRLEN] = "";
    out[0] = '\0';
    if (getpeername(fd, (struct sockaddr *)&at, &len) == 0 &&
        at.sin_family == AF_INET &&
        inet_ntop(AF_INET, &at.sin_addr, ip, sizeof(ip)) != NULL) {
        snprintf(out, size, "%s:%d", ip, ntohs(at.sin_port));
    }
}

/* Whether one more is to be logged in this second. */
static bool
take_log_line(struct lg_ledger *ledger, int64_t now)
{
    if (now - ledger->logged_at >= Ck_USEC_PER_SEC) {
        ledger->logged_at = now;
        ledger->logged = 0;
    }
    return ledger->logged++ < Lg_LINES_PER_SEC;
}

/* "holder" is NULL for a connection that is not let in. */
static void
tell(struct lg_ledger *ledger, const struct lg_holder *holder,
     const char *port, int fd, enum lg_why why)
{
    static const char *const phases[] = {"idle", "reading", "serving",
                                         "ending"};
    int64_t now = now_of(ledger);
    struct lg_yield yield = {
        .why = why,
        .port = port,
        .phase = "new",
        .log = take_log_line(ledger, now),
    };
    if (ledger->options.yielded == NULL) {
        return;
    }
    if (holder != NULL) {
        yield.phase = phases[holder->state.phase];
        yield.bytes = holder->state.bytes;
        yield.unread = holder->state.unread;
        yield.age = now - holder->state.since;
    }
    if (yield.log) {
        read_peer(fd, yield.peer, sizeof(yield.peer));
    }
    ledger->options.yielded(ledger->options.arg, &yield);
}

static void
make_yield(struct lg_holder *holder, enum lg_why why)
{
    tell(holder->ledger, holder, holder->port, holder->fd, why);
    holder->yield(holder->arg, why);
}

bool
Lg_TakesConnection(struct lg_ledger *ledger, const char *port, int fd)
{
    /* The first time a connection may only begin to end. */
    for (int tries = 0; tries < 2; tries++) {
        if (ledger == NULL ||
            ledger->connections < ledger->options.bound.connections) {
            return true;
        }
        struct lg_holder *holder =
            first_to_yield(ledger, Yd_RankConnection, NULL);
        if (holder == NULL) {
            break;
        }
        make_yield(holder, LG_DESCRIPTORS);
    }
    if (ledger->connections < ledger->options.bound.connections) {
        return true;
    }
    tell(ledger, NULL, port, fd, LG_DESCRIPTORS);
    return false;
}

void
Lg_Join(struct lg_ledger *ledger, struct lg_holder *holder)
{
    holder->ledger = ledger;
    if (ledger != NULL) {
        holder->state.since = now_of(ledger);
        holder->state.moved_at = holder->state.since;
        TAILQ_INSERT_TAIL(&ledger->holders, holder, link);
        ledger->connections += holder->fd >= 0;
    }
}

void
Lg_Leave(struct lg_holder *holder)
{
    struct lg_ledger *ledger = holder->ledger;
    if (ledger == NULL) {
        return;
    }
    for (int kind = 0; kind < LG_KINDS; kind++) {
        Lg_Set(holder, kind, 0);
    }
    TAILQ_REMOVE(&ledger->holders, holder, link);
    ledger->connections -= holder->fd >= 0;
    holder->ledger = NULL;
}

void
Lg_SetPhase(struct lg_holder *holder, enum yd_phase phase)
{
    if (holder->ledger != NULL && holder->state.phase != phase) {
        holder->state.phase = phase;
        holder->state.since = now_of(holder->ledger);
        holder->state.moved_at = holder->state.since;
        holder->state.received = 0;
    }
}

void
Lg_NoteReceived(struct lg_holder *holder, size_t len)
{
    if (holder->ledger != NULL) {
        Yd_NoteReceived(&holder->state, len, now_of(holder->ledger));
    }
}

void
Lg_SetServed(struct lg_holder *holder)
{
    holder->state.served = true;
}

void
Lg_Set(struct lg_holder *holder, enum lg_kind kind, size_t bytes)
{
    struct lg_ledger *ledger = holder->ledger;
    if (ledger == NULL) {
        return;
    }
    size_t had = holder->bytes[kind];
    holder->bytes[kind] = bytes;
    holder->state.bytes += bytes - had;
    ledger->held[kind] += bytes - had;
    ledger->all += bytes - had;
    if (ledger->all > ledger->most) {
        ledger->most = ledger->all;
    }
}

void
Lg_SetUnread(struct lg_holder *holder, size_t bytes)
{
    if (holder->ledger != NULL && holder->state.unread == 0 && bytes > 0) {
        holder->state.unread_at = now_of(holder->ledger);
    }
    holder->state.unread = bytes;
}

static bool
fits(const struct lg_holder *holder, size_t more)
{
    const struct lg_ledger *ledger = holder->ledger;
    return Yd_Fits(&ledger->options.bound, ledger->all + more,
                   holder->state.bytes + more);
}

/* Has others yield until there is room; false when no more can. */
static bool
take_room(struct lg_holder *holder, size_t more)
{
    struct lg_ledger *ledger = holder->ledger;
    while (!fits(holder, more)) {
        size_t all = ledger->all;
        struct lg_holder *first = first_to_yield(ledger, Yd_RankBytes, holder);
        if (first == NULL || first == holder) {
            return false;
        }
        make_yield(first, LG_MEMORY);
        if (ledger->all >= all) {
            return false;
        }
    }
    return true;
}

bool
Lg_MakeRoom(struct lg_holder *holder, size_t more)
{
    if (holder->ledger == NULL || fits(holder, more)) {
        return true;
    }
    bool was_asking = holder->asking;
    holder->asking = true;
    bool made = take_room(holder, more);
    holder->asking = was_asking;
    if (!made) {
        tell(holder->ledger, holder, holder->port, holder->fd, LG_MEMORY);
    }
    return made;
}

static size_t
queue_bytes(int fd, unsigned long request)
{
    int bytes = 0;
    return ioctl(fd, request, &bytes) == 0 && bytes > 0 ? (size_t)bytes : 0;
}

static void
count_queues_of(struct lg_holder *holder, int64_t now)
{
    struct yd_holder *state = &holder->state;
    size_t out = queue_bytes(holder->fd, SIOCOUTQ);
    size_t in = queue_bytes(holder->fd, SIOCINQ);
    if (state->queued == 0) {
        state->queued_at = now;
    }
    state->queued = out;
    Lg_Set(holder, LG_KERNEL, in + out);
}

static void
forget_queues(struct lg_ledger *ledger)
{
    struct lg_holder *holder;
    TAILQ_FOREACH (holder, &ledger->holders, link) {
        holder->state.queued = 0;
        Lg_Set(holder, LG_KERNEL, 0);
    }
}

/* What came on top may pass the bound: connections yield until it does not. */
static void
keep_bound(struct lg_ledger *ledger)
{
    size_t all = SIZE_MAX;
    while (ledger->all > ledger->options.bound.bytes && ledger->all < all) {
        all = ledger->all;
        struct lg_holder *first = first_to_yield(ledger, Yd_RankBytes, NULL);
        if (first != NULL) {
            make_yield(first, LG_MEMORY);
        }
    }
}

void
Lg_CountQueues(struct lg_ledger *ledger)
{
    int64_t now = now_of(ledger);
    if (now - ledger->queues_counted_at < Lg_QUEUES_USEC) {
        return;
    }
    ledger->queues_counted_at = now;
    bool counted = ledger->counts_queues;
    ledger->counts_queues = Yd_CountsQueues(&ledger->options.bound,
                                            ledger->all, ledger->connections);
    if (!ledger->counts_queues) {
        if (counted) {
            forget_queues(ledger);
        }
        return;
    }
    struct lg_holder *holder;
    TAILQ_FOREACH (holder, &ledger->holders, link) {
        if (holder->fd >= 0) {
            count_queues_of(holder, now);
        }
    }
    keep_bound(ledger);
}

size_t
Lg_Held(const struct lg_ledger *ledger, enum lg_kind kind)
{
    return ledger == NULL ? 0 : ledger->held[kind];
}

size_t
Lg_Connections(const struct lg_ledger *ledger)
{
    return ledger->connections;
}

static void
set_gauge(struct mt_registry *registry, const char *prefix, const char *name,
          const char *labels, size_t value)
{
    char full[Lg_NAME_MAX];
    snprintf(full, sizeof(full), "%s_%s", prefix, name);
    Mt_Set(Mt_Get(registry, MT_GAUGE, full, labels), (int64_t)value);
}

void
Lg_Export(const struct lg_ledger *ledger, struct mt_registry *registry,
          const char *prefix)
{
    const struct yd_bound *bound = &ledger->options.bound;
    for (int kind = 0; kind < LG_KINDS; kind++) {
        char labels[Lg_NAME_MAX];
        snprintf(labels, sizeof(labels), "what=\"%s\"", kind_names[kind]);
        set_gauge(registry, prefix, "held_bytes", labels, ledger->held[kind]);
    }
    set_gauge(registry, prefix, "held_bytes_most", "", ledger->most);
    set_gauge(registry, prefix, "held_bytes_bound", "", bound->bytes);
    set_gauge(registry, prefix, "held_connections", "", ledger->connections);
    set_gauge(registry, prefix, "held_connections_bound", "",
              bound->connections);
}

const char *
Lg_WhyName(enum lg_why why)
{
    return why == LG_MEMORY ? "memory" : "descriptors";
}
