/*
 * The platform's list of live and leaving hosts.  The list may lag behind the
 * actual state of the hosts.
 */
#ifndef PLATFORM_HOSTLIST_H
#define PLATFORM_HOSTLIST_H

#include "platform/jsoncall.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Hl_NAME_MAX 48 /* bytes, with the NUL */

enum hl_role {
    HL_ENTRY,    /* a host that runs the daemon */
    HL_ENDPOINT, /* a host that runs a model engine or a plain service */
};

enum hl_state {
    HL_LIVE,
    HL_LEAVING,
};

struct hl_host {
    char id[Hl_NAME_MAX];
    char address[Hl_NAME_MAX];
    int port;
    int peer_port;
    int admin_port;
    char data_centre[Hl_NAME_MAX];
    char region[Hl_NAME_MAX];
    enum hl_role role;
    enum hl_state state;
    char service[Hl_NAME_MAX];
    char version[Hl_NAME_MAX];
    char host_class[Hl_NAME_MAX];
    double price;     /* price per hour */
    bool reclaimable; /* a spot host, which the platform may reclaim */
    int slots;
    int64_t warmup_left_usec; /* warm-up time that remains after its start */
};

struct hl_list;

/*
 * The operations of a host list.  An adapter for another platform implements
 * them in one file.
 */
struct hl_ops {
    /*
     * Requests the list.  "done" gets ST_OK and the hosts, which are valid
     * during the callback, or a failure.
     */
    enum st_status (*fetch)(struct hl_list *list, int64_t timeout_usec,
                            void (*done)(void *arg, enum st_status status,
                                         const struct hl_host *hosts,
                                         size_t count),
                            void *arg);
    void (*destroy)(struct hl_list *list);
};

struct hl_list {
    const struct hl_ops *ops;
    size_t unreadable; /* entries of the last list that named no host */
};

enum st_status Hl_HttpCreate(struct lp_loop *loop,
                             const struct jc_target *target,
                             struct hl_list **out);

#ifdef __cplusplus
}
#endif

#endif
