/*
 * Buys one host. The intent, with an idempotency token of its own, is in the
 * log before the cloud is called, and the call is made once. If the answer is
 * lost, the outcome is found by listing the hosts by token: a second call
 * would buy, and pay for, a second host.
 */
#include <bsd/string.h>
#include <string.h>

#include "base/clock.h"
#include "policy/fleet.h"

#define ANSWER_TIMEOUT_USEC (10 * Ck_USEC_PER_SEC)
#define LIST_INTERVAL_USEC (5 * Ck_USEC_PER_SEC)
/*
 * For this long a call whose answer was lost may still take effect, and the
 * listing may lag. Ft_IsOrphan() finds a host that appears later.
 */
#define SETTLE_USEC (60 * Ck_USEC_PER_SEC)
#define HTTP_CREATED 201
#define HTTP_CONFLICT 409

static void
set_state(struct ft_intent *intent, enum ft_intent_state state, int64_t now)
{
    intent->state = state;
    intent->state_since = now;
}

/* Creates an intent that is not yet in the log. */
void
Ft_IntentInit(struct ft_intent *intent, const char *token,
              const struct ft_offer *offer, int64_t now)
{
    memset(intent, 0, sizeof(*intent));
    strlcpy(intent->token, token, sizeof(intent->token));
    intent->offer = *offer;
    set_state(intent, FT_UNRECORDED, now);
}

/*
 * Restores an intent that the log holds without a result. Whether the process
 * that wrote it called the cloud is unknown, so the cloud is never called
 * again for it.
 */
void
Ft_IntentRestore(struct ft_intent *intent, int64_t now)
{
    set_state(intent, FT_UNKNOWN, now);
}

/* Records that the intent is in the log. */
void
Ft_IntentRecorded(struct ft_intent *intent, int64_t now)
{
    if (intent->state == FT_UNRECORDED) {
        set_state(intent, FT_RECORDED, now);
    }
}

/*
 * Records that the cloud is being called; to be invoked before the first byte
 * of the call is sent.
 */
void
Ft_IntentCalled(struct ft_intent *intent, int64_t now)
{
    if (intent->state == FT_RECORDED) {
        set_state(intent, FT_CALLED, now);
    }
}

/*
 * Records the HTTP status that answered the call; 0: no answer came, whatever
 * the cause.
 */
void
Ft_IntentAnswered(struct ft_intent *intent, int code, const char *host,
                  int64_t now)
{
    if (intent->state != FT_CALLED && intent->state != FT_UNKNOWN) {
        return;
    }
    if (code == HTTP_CREATED && host != NULL) {
        strlcpy(intent->host, host, sizeof(intent->host));
        set_state(intent, FT_BOUGHT, now);
    }
    else if (code == HTTP_CONFLICT) {
        set_state(intent, FT_REFUSED, now);
    }
    else if (intent->state == FT_CALLED) {
        set_state(intent, FT_UNKNOWN, now);
    }
}

/*
 * Records the result of a listing requested at requested_at: the host with the
 * intent's token, or NULL if there was none. Only a listing requested at least
 * SETTLE_USEC after the outcome became unknown proves that there is none.
 */
void
Ft_IntentListed(struct ft_intent *intent, const char *host,
                int64_t requested_at, int64_t now)
{
    if (intent->state != FT_CALLED && intent->state != FT_UNKNOWN) {
        return;
    }
    if (host != NULL) {
        strlcpy(intent->host, host, sizeof(intent->host));
        set_state(intent, FT_BOUGHT, now);
    }
    else if (intent->state == FT_UNKNOWN &&
             requested_at - intent->state_since >= SETTLE_USEC) {
        set_state(intent, FT_NOT_CREATED, now);
    }
}

/* Returns the next action for the intent. */
enum ft_action
Ft_IntentNext(const struct ft_intent *intent, int64_t now)
{
    switch (intent->state) {
    case FT_UNRECORDED:
        return FT_RECORD;
    case FT_RECORDED:
        return FT_CALL;
    case FT_CALLED:
        return now - intent->state_since >= ANSWER_TIMEOUT_USEC ? FT_LIST
                                                                : FT_WAIT;
    case FT_UNKNOWN:
        return now - intent->state_since >= LIST_INTERVAL_USEC ? FT_LIST
                                                               : FT_WAIT;
    default:
        return FT_CLOSE;
    }
}

/*
 * Whether a listed host that carries one of our tokens is unused: a second
 * host with the same token, or one that appeared after its intent was settled
 * without a host. Such a host must be released, or it is paid for unnoticed.
 * "intents" holds all intents in the log, settled ones included.
 */
bool
Ft_IsOrphan(const char *host, const char *token,
            const struct ft_intent *intents, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(intents[i].token, token) != 0) {
            continue;
        }
        if (intents[i].state == FT_NOT_CREATED ||
            intents[i].state == FT_REFUSED) {
            return true;
        }
        return intents[i].state == FT_BOUGHT &&
               strcmp(intents[i].host, host) != 0;
    }
    return false;
}
