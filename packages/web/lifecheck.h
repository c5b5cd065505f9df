/*
 * Asks an endpoint for bytes on a connection of its own: any byte of an answer
 * shows that it lives, whatever the answer says.
 */
#ifndef WEB_LIFECHECK_H
#define WEB_LIFECHECK_H

#include <stdbool.h>

#include "web/sock.h"

#ifdef __cplusplus
extern "C" {
#endif

struct lc_check;

/*
 * The end, once, never from within Lc_Start(); the check is freed after it.
 * "answered": the endpoint sent bytes.
 */
typedef void (*lc_done_fn)(void *arg, bool answered);

/*
 * Takes the connection over and asks for "path" at "host".  NULL when out of
 * memory; the connection is closed then.
 */
struct lc_check *Lc_Start(struct sk_sock *sock, const char *host,
                          const char *path, lc_done_fn done, void *arg);
/* Ends the check without a result; NULL is allowed. */
void Lc_Cancel(struct lc_check *check);

#ifdef __cplusplus
}
#endif

#endif
