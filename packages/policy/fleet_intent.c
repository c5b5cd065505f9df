/*
 * Buying one host.  The intent, with a token of ours, is in the log before
 * the cloud is called; the call is made once.  A lost answer is settled by
 * listing hosts by token: calling again would buy, and pay for, a second
 * host.
 */
#include <bsd/string.h>
#include <string.h>

#include "base/clock.h"
#include "policy/fleet.h"

#define ANSWER_MAX (10 * Ck_USEC_PER_SEC)
#define LIST_EVERY (5 * Ck_USEC_PER_SEC)
/*
 * A call whose answer was lost may take effect, and the listing may lag, for
 * so long.  What appears later still is found by Ft_IsSurplus().
 */
#define SETTLE_AFTER (60 * Ck_USEC_PER_SEC)
#define CODE_CREATED 201
#define CODE_REFUSED 409

static void
enter(struct ft_intent *intent, enum ft_intent_state state, int64_t now)
{
    intent->state = state;
    intent->since = now;
}

/* Starts an intent that is not yet in the log. */
void
Ft_IntentInit(struct ft_intent *intent, const char *token,
              const struct ft_offer *offer, int64_t now)
{
    memset(intent, 0, sizeof(*intent));
    strlcpy(intent->token, token, sizeof(intent->token));
    intent->offer = *offer;
    enter(intent, FT_INTENDED, now);
}

/*
 * Takes over an intent read from the log without a result.  Whether its
 * writer made the call cannot be known, so it is never called again.
 */
void
Ft_IntentRestore(struct ft_intent *intent, int64_t now)
{
    enter(intent, FT_UNKNOWN, now);
}

/* The intent is in the log. */
void
Ft_IntentRecorded(struct ft_intent *intent, int64_t now)
{
    if (intent->state == FT_INTENDED) {
        enter(intent, FT_RECORDED, now);
    }
}

/* The call is being made: to be entered before its first byte is sent. */
void
Ft_IntentCalled(struct ft_intent *intent, int64_t now)
{
    if (intent->state == FT_RECORDED) {
        enter(intent, FT_CALLED, now);
    }
}

/* The answer to the call; code 0: none came, whatever the cause. */
void
Ft_IntentAnswered(struct ft_intent *intent, int code, const char *host,
                  int64_t now)
{
    if (intent->state != FT_CALLED && intent->state != FT_UNKNOWN) {
        return;
    }
    if (code == CODE_CREATED && host != NULL) {
        strlcpy(intent->host, host, sizeof(intent->host));
        enter(intent, FT_BOUGHT, now);
    }
    else if (code == CODE_REFUSED) {
        enter(intent, FT_REFUSED, now);
    }
    else if (intent->state == FT_CALLED) {
        enter(intent, FT_UNKNOWN, now);
    }
}

/*
 * A listing that was asked for at asked_at shows this host with the
 * intent's token, or none (NULL).  Only a listing asked for long after the
 * call may prove that there is none.
 */
void
Ft_IntentListed(struct ft_intent *intent, const char *host, int64_t asked_at,
                int64_t now)
{
    if (intent->state != FT_CALLED && intent->state != FT_UNKNOWN) {
        return;
    }
    if (host != NULL) {
        strlcpy(intent->host, host, sizeof(intent->host));
        enter(intent, FT_BOUGHT, now);
    }
    else if (intent->state == FT_UNKNOWN &&
             asked_at - intent->since >= SETTLE_AFTER) {
        enter(intent, FT_NOTHING, now);
    }
}

/* What to do next for the intent. */
enum ft_action
Ft_IntentNext(const struct ft_intent *intent, int64_t now)
{
    switch (intent->state) {
    case FT_INTENDED:
        return FT_RECORD;
    case FT_RECORDED:
        return FT_CALL;
    case FT_CALLED:
        return now - intent->since >= ANSWER_MAX ? FT_LIST : FT_WAIT;
    case FT_UNKNOWN:
        return now - intent->since >= LIST_EVERY ? FT_LIST : FT_WAIT;
    default:
        return FT_CLOSE;
    }
}

/*
 * Whether a listed host with a token of ours is one that nobody counts on: a
 * second host of one token, or one that appeared after its intent was
 * settled as nothing.  It is to be released, or it is paid for unseen.
 * "intents" are all that are in the log, the settled ones included.
 */
bool
Ft_IsSurplus(const char *host, const char *token,
             const struct ft_intent *intents, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(intents[i].token, token) != 0) {
            continue;
        }
        if (intents[i].state == FT_NOTHING || intents[i].state == FT_REFUSED) {
            return true;
        }
        return intents[i].state == FT_BOUGHT &&
               strcmp(intents[i].host, host) != 0;
    }
    return false;
}
