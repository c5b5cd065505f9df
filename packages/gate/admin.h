/*
 * The administration API, on its own port (docs/INTERFACES.md, section 8).  A
 * team authenticates with its key as bearer token.  A change is checked and
 * appended to the config stream; the response is the verdict on the change
 * that was read back from the log.  The API calls the daemon through struct
 * ad_ops.
 */
#ifndef GATE_ADMIN_H
#define GATE_ADMIN_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "config/sections.h"
#include "web/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ad_admin;

/*
 * The result of an append.  ST_OK: the record is in the log.  ST_UNAVAILABLE
 * or ST_OVERLOAD: the record was not written.  Other: the outcome is unknown.
 */
typedef void (*ad_appended_fn)(void *ticket, enum st_status status);

struct ad_ops {
    /* The sections as read from the log; valid as long as the daemon. */
    const struct sc_state *(*sections)(void *arg);
    /*
     * Appends a record with this body (borrowed) to the config stream.  After
     * ST_OK, "appended" is called once, later, and not after Ad_Stop().  With
     * any other result nothing was written.
     */
    enum st_status (*append)(void *arg, const char *kind, json_t *body,
                             ad_appended_fn appended, void *ticket);
    /* The status document, a new reference. */
    json_t *(*status)(void *arg);
    /* All metrics as text, to be freed. */
    char *(*metrics)(void *arg);
    /* Whether callers are served; "why" is set to the reason if not. */
    bool (*ready)(void *arg, const char **why);
};

struct ad_options {
    const char *address; /* IP number to listen on */
    int port;            /* 0 picks a free one; see Ad_Port() */
    const char *tls_cert_file;
    const char *tls_key_file;
    /*
     * Digest of the key that may publish the first platform section; NULL or
     * empty: none.
     */
    const char *bootstrap_digest;
    int64_t verdict_usec;     /* timeout of a verdict; 0: 8 s */
    struct lg_ledger *ledger; /* NULL: nothing is accounted for */
    const struct ad_ops *ops;
    void *arg;
};

enum st_status Ad_Create(struct lp_loop *loop,
                         const struct ad_options *options,
                         struct ad_admin **out);
void Ad_Stop(struct ad_admin *admin);
void Ad_Destroy(struct ad_admin *admin);
int Ad_Port(const struct ad_admin *admin);
size_t Ad_OpenRequests(const struct ad_admin *admin);
void Ad_AnswerVerdicts(struct ad_admin *admin);

#ifdef __cplusplus
}
#endif

#endif
