/*
 * A blocking client of the administration API.  It sends one call at a time
 * to the current daemon.  If that daemon does not answer, Am_Get and
 * Am_Publish continue with the next daemon of the --admin list.
 */
#ifndef CORNELCTL_ADMIN_H
#define CORNELCTL_ADMIN_H

#include <jansson.h>
#include <stdint.h>

#include "address.h"
#include "base/clock.h"
#include "command.h"

struct am_session {
    struct ar_list targets;
    size_t current; /* index of the daemon to call next */
    const char *key;
    bool tls;
    const struct ck_clock *clock;
};

/* One change of a section and, once it is published, its log offset. */
struct am_change {
    const char *section;
    uint64_t base; /* offset of the version changed; 0: none */
    const json_t *body;
    bool patch;      /* "body" is a merge patch, not the whole section */
    char id[33];     /* the same in every attempt, so that it applies once */
    uint64_t offset; /* of the record in the log */
};

enum st_status Am_Open(const struct ct_options *options,
                       struct am_session *out);
enum st_status Am_Call(struct am_session *session, const char *method,
                       const char *path, const json_t *body, json_t **out);
enum st_status Am_Get(struct am_session *session, const char *path,
                      json_t **out);
enum st_status Am_Publish(struct am_session *session, int64_t deadline,
                          struct am_change *change);
void Am_Sleep(int64_t usec);

#endif
