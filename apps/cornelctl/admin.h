/*
 * Calls of the administration API, one after the other, at whichever of the
 * named daemons answers.
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
    size_t current; /* the daemon that answered last */
    const char *key;
    bool tls;
    const struct ck_clock *clock;
};

/* What became of one changed section. */
struct am_change {
    const char *section;
    uint64_t base;
    const json_t *body;
    bool patch;
    char id[33];
    uint64_t offset; /* where it stands in the log */
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
