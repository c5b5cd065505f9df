#include "gate/claims.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate/claims_wire.h"

/* How long another daemon may take before this one claims by itself. */
#define Gc_ASK_USEC (1500 * Ck_USEC_PER_MSEC)
/* The asked one gives up before its asker does. */
#define Gc_SERVE_USEC (1000 * Ck_USEC_PER_MSEC)
/* Beyond the caller's deadline an endpoint may still answer for a while. */
#define Gc_EXPIRE_SLACK_MS 90000
/* How long a slot stays open after this daemon last had to keep it. */
#define Gc_KEEP_USEC (10 * Ck_USEC_PER_SEC)

struct gc_claims {
    struct gc_options options;
    struct kp_keeper *keeper;
    int64_t kept_at[Cl_SLOTS]; /* when a slot was last kept or used here */
    uint64_t next_attempt;
    TAILQ_HEAD(wait_list, gc_wait) waits;
    size_t notes; /* results and releases on their way to other daemons */
};

/* A claim whose verdict is awaited. */
struct gc_wait {
    TAILQ_ENTRY(gc_wait) link;
    struct gc_claims *claims;
    struct cl_claim claim;
    int64_t deadline;
    gc_done_fn done; /* NULL: given up; a claim won late is given back */
    void *arg;
    bool unheard; /* another daemon may have appended it */
};

/* A result or a release on its way to another daemon. */
struct note {
    struct gc_claims *claims;
    char *payload;
    size_t len;
};

/* A question of another daemon being served. */
struct served {
    struct cl_claim claim;
    gc_answer_fn answer;
    void *arg;
};

/* Creates the claims of this daemon. */
enum st_status
Gc_Create(const struct gc_options *options, struct gc_claims **out)
{
    struct gc_claims *claims = calloc(1, sizeof(*claims));
    if (claims == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for claims");
    }
    claims->options = *options;
    TAILQ_INIT(&claims->waits);
    struct kp_options keeper = {
        .log = options->log,
        .clock = options->gate->clock,
        .self = options->self,
        .budget = options->budget,
        .dead = options->ops->dead,
        .dead_arg = options->arg,
    };
    enum st_status status = Kp_Create(&keeper, &claims->keeper);
    if (status != ST_OK) {
        free(claims);
        return status;
    }
    *out = claims;
    return ST_OK;
}

/* Stops; verdicts that are still awaited do not come any more. */
void
Gc_Destroy(struct gc_claims *claims)
{
    if (claims == NULL) {
        return;
    }
    struct gc_wait *wait;
    TAILQ_FOREACH (wait, &claims->waits, link) {
        wait->done = NULL;
    }
    Kp_Destroy(claims->keeper);
    while ((wait = TAILQ_FIRST(&claims->waits)) != NULL) {
        TAILQ_REMOVE(&claims->waits, wait, link);
        free(wait);
    }
    free(claims);
}

/*
 * Follows the slots this daemon should keep, so that it is ready when the
 * first claim comes, and closes those that others should keep: every daemon
 * starts alone and opens all of them, and each open one asks the log twice a
 * second.  One that was kept a moment ago stays open for a while, since
 * members that come and go would have it loaded again and again.
 */
void
Gc_Tick(struct gc_claims *claims)
{
    const struct gc_options *options = &claims->options;
    int64_t now = Ck_Now(options->gate->clock);
    for (int slot = 0; slot < Cl_SLOTS; slot++) {
        bool mine = options->ops->keeper(options->arg, slot) == NULL;
        bool open = Kp_IsOpen(claims->keeper, slot);
        if (mine) {
            claims->kept_at[slot] = now;
        }
        if (mine && !open) {
            Kp_Open(claims->keeper, slot);
        }
        else if (open && now - claims->kept_at[slot] >= Gc_KEEP_USEC) {
            Kp_Close(claims->keeper, slot);
        }
    }
    Kp_Tick(claims->keeper);
}

/* True when nothing is on its way to the log or to another daemon. */
bool
Gc_Idle(const struct gc_claims *claims)
{
    return Kp_Pending(claims->keeper) == 0 && claims->notes == 0;
}

/* How many slots this daemon should keep. */
int
Gc_SlotsKept(const struct gc_claims *claims)
{
    int kept = 0;
    for (int slot = 0; slot < Cl_SLOTS; slot++) {
        if (claims->options.ops->keeper(claims->options.arg, slot) == NULL) {
            kept++;
        }
    }
    return kept;
}

static void release(struct gc_claims *claims, const struct cl_key *key,
                    const struct cl_attempt *attempt);

static void
wait_end(struct gc_wait *wait, const struct kp_answer *answer)
{
    struct gc_claims *claims = wait->claims;
    gc_done_fn done = wait->done;
    void *arg = wait->arg;
    TAILQ_REMOVE(&claims->waits, wait, link);
    bool won = answer->verdict == KP_WON;
    if ((done == NULL && won) || (wait->unheard && !won)) {
        /*
         * Nobody waits for it any more, or it may have been won at a daemon
         * whose word was lost: the key is free again.  This changes nothing
         * unless this attempt holds the key, and it is never dispatched.
         */
        release(claims, &wait->claim.key, &wait->claim.attempt);
    }
    free(wait);
    if (done != NULL) {
        done(arg, answer);
    }
}

static void
wait_fail(struct gc_wait *wait, const char *reason)
{
    struct kp_answer answer = {.verdict = KP_NOT_RUN, .reason = reason};
    wait_end(wait, &answer);
}

static void
keeper_answered(void *arg, const struct kp_answer *answer)
{
    wait_end(arg, answer);
}

static enum st_status
claim_here(struct gc_claims *claims, const struct cl_claim *claim,
           int64_t deadline, kp_claim_fn done, void *arg)
{
    int slot = Cl_Slot(&claim->key);
    claims->kept_at[slot] = Ck_Now(claims->options.gate->clock);
    if (!Kp_IsOpen(claims->keeper, slot)) {
        enum st_status status = Kp_Open(claims->keeper, slot);
        if (status != ST_OK) {
            return status;
        }
    }
    return Kp_Claim(claims->keeper, claim, deadline, done, arg);
}

static void
peer_answered(void *arg, enum st_status status, const char *payload,
              size_t len)
{
    struct gc_wait *wait = arg;
    struct cw_answer answer;
    if (status == ST_OK && Cw_ReadAnswer(payload, len, &answer) == ST_OK) {
        wait_end(wait, &answer.answer);
        Cw_FreeAnswer(&answer);
        return;
    }
    /*
     * The other daemon may be gone, or may have appended the claim already.
     * The same attempt is claimed from here.  If the other record comes
     * first this one is told that the key is in progress, by this very
     * attempt: wait_end() then gives the key back.
     */
    wait->unheard = true;
    if (claim_here(wait->claims, &wait->claim, wait->deadline, keeper_answered,
                   wait) != ST_OK) {
        wait_fail(wait, "no daemon could settle the claim");
    }
}

static enum st_status
claim_there(struct gc_wait *wait, const char *node)
{
    const struct gc_options *options = &wait->claims->options;
    char *payload = Cw_ClaimAsk(&wait->claim);
    if (payload == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a claim");
    }
    enum st_status status =
        options->ops->ask(options->arg, node, payload, strlen(payload),
                          Gc_ASK_USEC, peer_answered, wait);
    free(payload);
    return status;
}

static void
fill_claim(struct gc_claims *claims, struct gc_key *key, int64_t deadline,
           struct cl_claim *claim)
{
    const struct ck_clock *clock = claims->options.gate->clock;
    int64_t wall_ms = Ck_Wall(clock) / Ck_USEC_PER_MSEC;
    int64_t left_ms = (deadline - Ck_Now(clock)) / Ck_USEC_PER_MSEC;
    key->attempt = ++claims->next_attempt;
    claim->key = key->key;
    claim->attempt.owner = claims->options.self;
    claim->attempt.number = key->attempt;
    memcpy(claim->body_digest, key->body_digest, sizeof(claim->body_digest));
    claim->wall_ms = wall_ms;
    claim->expires_ms = wall_ms + left_ms + Gc_EXPIRE_SLACK_MS;
}

/*
 * Claims a key; "done" comes exactly once, later, unless it is cancelled.
 * "deadline" is on this daemon's clock.
 */
enum st_status
Gc_Claim(struct gc_claims *claims, struct gc_key *key, int64_t deadline,
         gc_done_fn done, void *arg, struct gc_wait **out)
{
    struct gc_wait *wait = calloc(1, sizeof(*wait));
    if (wait == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a claim");
    }
    wait->claims = claims;
    wait->deadline = deadline;
    wait->done = done;
    wait->arg = arg;
    fill_claim(claims, key, deadline, &wait->claim);
    const struct gc_options *options = &claims->options;
    const char *node = options->ops->keeper(options->arg, Cl_Slot(&key->key));
    enum st_status status = ST_UNAVAILABLE;
    if (node != NULL) {
        status = claim_there(wait, node);
    }
    if (status != ST_OK) {
        status =
            claim_here(claims, &wait->claim, deadline, keeper_answered, wait);
    }
    if (status != ST_OK) {
        free(wait);
        return status;
    }
    TAILQ_INSERT_TAIL(&claims->waits, wait, link);
    *out = wait;
    return ST_OK;
}

/* Nobody waits any more; if the claim is won all the same it is released. */
void
Gc_Cancel(struct gc_wait *wait)
{
    wait->done = NULL;
}

static void
here_done(void *arg, bool written)
{
    (void)arg;
    (void)written;
}

static enum st_status
apply_here(struct gc_claims *claims, const struct cw_ask *ask)
{
    int slot = Cl_Slot(&ask->key);
    if (!Kp_IsOpen(claims->keeper, slot)) {
        Kp_Open(claims->keeper, slot);
    }
    if (ask->kind == CW_RESULT) {
        return Kp_Result(claims->keeper, &ask->key, &ask->attempt,
                         &ask->answer, here_done, NULL);
    }
    return Kp_Release(claims->keeper, &ask->key, &ask->attempt, here_done,
                      NULL);
}

static void
note_done(void *arg, enum st_status status, const char *payload, size_t len)
{
    struct note *note = arg;
    struct cw_ask ask;
    note->claims->notes--;
    /* Unheard: written from here.  Written twice does no harm. */
    if (status != ST_OK &&
        Cw_ReadAsk(note->payload, note->len, &ask) == ST_OK) {
        apply_here(note->claims, &ask);
        Cw_FreeAsk(&ask);
    }
    free(note->payload);
    free(note);
}

/* Sends a result or a release to the keeper of its slot; takes "payload". */
static void
send_note(struct gc_claims *claims, const struct cl_key *key, char *payload)
{
    const struct gc_options *options = &claims->options;
    struct note *note = calloc(1, sizeof(*note));
    if (payload == NULL || note == NULL) {
        /* The claim's expiry settles it as unknown. */
        free(payload);
        free(note);
        return;
    }
    note->claims = claims;
    note->payload = payload;
    note->len = strlen(payload);
    claims->notes++;
    const char *node = options->ops->keeper(options->arg, Cl_Slot(key));
    if (node == NULL ||
        options->ops->ask(options->arg, node, payload, note->len, Gc_ASK_USEC,
                          note_done, note) != ST_OK) {
        note_done(note, ST_UNAVAILABLE, NULL, 0);
    }
}

static struct cl_attempt
attempt_of(const struct gc_claims *claims, const struct gc_key *key)
{
    struct cl_attempt attempt = {
        .owner = claims->options.self,
        .number = key->attempt,
    };
    return attempt;
}

static void
release(struct gc_claims *claims, const struct cl_key *key,
        const struct cl_attempt *attempt)
{
    send_note(claims, key, Cw_ReleaseAsk(key, attempt));
}

/* Records the answer of a claim that was won, for repeats of the request. */
void
Gc_Result(struct gc_claims *claims, const struct gc_key *key,
          const struct cl_answer *answer)
{
    struct cl_attempt attempt = attempt_of(claims, key);
    send_note(claims, &key->key, Cw_ResultAsk(&key->key, &attempt, answer));
}

/* Records that the outcome of a claim that was won cannot be known. */
void
Gc_Unknown(struct gc_claims *claims, const struct gc_key *key)
{
    struct cl_answer answer = {.code = Gc_UNKNOWN_CODE};
    Gc_Result(claims, key, &answer);
}

/* Gives a claim that was won back: nothing was sent to any endpoint. */
void
Gc_Release(struct gc_claims *claims, const struct gc_key *key)
{
    struct cl_attempt attempt = attempt_of(claims, key);
    release(claims, &key->key, &attempt);
}

static void
serve_claim_done(void *arg, const struct kp_answer *answer)
{
    struct served *served = arg;
    char *text = Cw_Answer(answer, &served->claim.key, &served->claim.attempt);
    served->answer(served->arg, text != NULL ? text : "",
                   text != NULL ? strlen(text) : 0);
    free(text);
    free(served);
}

static enum st_status
serve_claim(struct gc_claims *claims, const struct cw_ask *ask,
            gc_answer_fn answer, void *arg)
{
    struct served *served = calloc(1, sizeof(*served));
    if (served == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a claim");
    }
    served->claim = ask->claim;
    served->answer = answer;
    served->arg = arg;
    int64_t deadline = Ck_Now(claims->options.gate->clock) + Gc_SERVE_USEC;
    enum st_status status =
        claim_here(claims, &ask->claim, deadline, serve_claim_done, served);
    if (status != ST_OK) {
        free(served);
    }
    return status;
}

/* Serves another daemon's question as the keeper of its slot. */
enum st_status
Gc_Serve(struct gc_claims *claims, const char *payload, size_t len,
         gc_answer_fn answer, void *arg)
{
    struct cw_ask ask;
    enum st_status status = Cw_ReadAsk(payload, len, &ask);
    if (status != ST_OK) {
        return status;
    }
    if (ask.kind == CW_CLAIM) {
        status = serve_claim(claims, &ask, answer, arg);
    }
    else {
        status = apply_here(claims, &ask);
        if (status == ST_OK) {
            answer(arg, "", 0);
        }
    }
    Cw_FreeAsk(&ask);
    return status;
}
