#include "gate/claims.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate/claims_wire.h"

/* If the peer has not replied by then, this daemon appends the claim. */
#define Gc_PEER_TIMEOUT_USEC (1500 * Ck_USEC_PER_MSEC)
/* A served claim ends before the requesting daemon stops waiting for it. */
#define Gc_SERVE_TIMEOUT_USEC (1000 * Ck_USEC_PER_MSEC)
/* Added to a claim's expiry: endpoints may answer after the deadline. */
#define Gc_EXPIRE_SLACK_MS 90000
/* How long a slot stays open after its last use or assignment. */
#define Gc_CLOSE_DELAY_USEC (10 * Ck_USEC_PER_SEC)

struct gc_claims {
    struct gc_options options;
    struct kp_keeper *keeper;
    int64_t last_used[Cl_SLOTS]; /* last use, or time while assigned */
    uint64_t next_attempt;
    TAILQ_HEAD(wait_list, gc_wait) waits;
    size_t pending_updates; /* sent and not yet acknowledged */
};

/* A claim whose verdict is pending. */
struct gc_wait {
    TAILQ_ENTRY(gc_wait) link;
    struct gc_claims *claims;
    struct cl_claim claim;
    int64_t deadline;
    gc_done_fn done; /* NULL: cancelled; a claim still won is released */
    void *arg;
    bool maybe_appended; /* a peer may have appended it without a reply */
};

/* A result or a release that is sent to the daemon of its slot. */
struct update {
    struct gc_claims *claims;
    char *payload;
    size_t len;
};

/* A claim that is made for another daemon. */
struct served_claim {
    struct cl_claim claim;
    gc_answer_fn answer;
    void *arg;
};

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
        .owner_ended = options->ops->has_ended,
        .owner_ended_arg = options->arg,
    };
    enum st_status status = Kp_Create(&keeper, &claims->keeper);
    if (status != ST_OK) {
        free(claims);
        return status;
    }
    *out = claims;
    return ST_OK;
}

/* Frees the claims; pending claims end without a call of "done". */
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
 * Opens the slots assigned to this daemon, so that they are loaded before the
 * first claim, and closes those assigned to other daemons.  A daemon that
 * starts knows no peers yet and opens all slots; each open slot polls the log
 * twice a second.  A slot is closed only after a delay, because membership
 * changes would otherwise reload it again and again.
 */
void
Gc_Tick(struct gc_claims *claims)
{
    const struct gc_options *options = &claims->options;
    int64_t now = Ck_Now(options->gate->clock);
    for (int slot = 0; slot < Cl_SLOTS; slot++) {
        bool assigned =
            options->ops->assigned_node(options->arg, slot) == NULL;
        bool open = Kp_IsOpen(claims->keeper, slot);
        if (assigned) {
            claims->last_used[slot] = now;
        }
        if (assigned && !open) {
            Kp_Open(claims->keeper, slot);
        }
        else if (open &&
                 now - claims->last_used[slot] >= Gc_CLOSE_DELAY_USEC) {
            Kp_Close(claims->keeper, slot);
        }
    }
    Kp_Tick(claims->keeper);
}

/* True when no append to the log and no update to a peer is pending. */
bool
Gc_Idle(const struct gc_claims *claims)
{
    return Kp_Pending(claims->keeper) == 0 && claims->pending_updates == 0;
}

/* The number of slots assigned to this daemon. */
int
Gc_AssignedSlots(const struct gc_claims *claims)
{
    int count = 0;
    for (int slot = 0; slot < Cl_SLOTS; slot++) {
        if (claims->options.ops->assigned_node(claims->options.arg, slot) ==
            NULL) {
            count++;
        }
    }
    return count;
}

static void release(struct gc_claims *claims, const struct cl_key *key,
                    const struct cl_attempt *attempt);

static void
finish_wait(struct gc_wait *wait, const struct kp_answer *answer)
{
    struct gc_claims *claims = wait->claims;
    gc_done_fn done = wait->done;
    void *arg = wait->arg;
    TAILQ_REMOVE(&claims->waits, wait, link);
    bool won = answer->verdict == KP_WON;
    if ((done == NULL && won) || (wait->maybe_appended && !won)) {
        /*
         * The claim was cancelled, or a peer whose reply was lost may have
         * won it.  The request of this attempt is never dispatched, so the
         * key is released.  A release has no effect unless this attempt
         * holds the key.
         */
        release(claims, &wait->claim.key, &wait->claim.attempt);
    }
    free(wait);
    if (done != NULL) {
        done(arg, answer);
    }
}

static void
fail_wait(struct gc_wait *wait, const char *reason)
{
    struct kp_answer answer = {.verdict = KP_NOT_RUN, .reason = reason};
    finish_wait(wait, &answer);
}

static void
local_claim_done(void *arg, const struct kp_answer *answer)
{
    finish_wait(arg, answer);
}

static enum st_status
claim_locally(struct gc_claims *claims, const struct cl_claim *claim,
              int64_t deadline, kp_claim_fn done, void *arg)
{
    int slot = Cl_Slot(&claim->key);
    claims->last_used[slot] = Ck_Now(claims->options.gate->clock);
    if (!Kp_IsOpen(claims->keeper, slot)) {
        enum st_status status = Kp_Open(claims->keeper, slot);
        if (status != ST_OK) {
            return status;
        }
    }
    return Kp_Claim(claims->keeper, claim, deadline, done, arg);
}

static void
peer_claim_done(void *arg, enum st_status status, const char *payload,
                size_t len)
{
    struct gc_wait *wait = arg;
    struct cw_reply reply;
    if (status == ST_OK && Cw_ReadReply(payload, len, &reply) == ST_OK) {
        finish_wait(wait, &reply.answer);
        Cw_FreeReply(&reply);
        return;
    }
    /*
     * The peer may have failed, or may have appended the claim before its
     * reply was lost.  The same attempt is claimed locally.  If the peer's
     * record comes first in the log, the local claim ends "in progress"
     * although this attempt holds the key; finish_wait() then releases it.
     */
    wait->maybe_appended = true;
    if (claim_locally(wait->claims, &wait->claim, wait->deadline,
                      local_claim_done, wait) != ST_OK) {
        fail_wait(wait, "no daemon could settle the claim");
    }
}

static enum st_status
claim_remotely(struct gc_wait *wait, const char *node)
{
    const struct gc_options *options = &wait->claims->options;
    char *payload = Cw_ClaimRequest(&wait->claim);
    if (payload == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a claim");
    }
    enum st_status status =
        options->ops->send(options->arg, node, payload, strlen(payload),
                           Gc_PEER_TIMEOUT_USEC, peer_claim_done, wait);
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
 * Claims a key.  On success "done" is called exactly once, after this function
 * has returned, unless the claim is cancelled.  "deadline" is on the clock of
 * this daemon.
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
    const char *node =
        options->ops->assigned_node(options->arg, Cl_Slot(&key->key));
    enum st_status status = ST_UNAVAILABLE;
    if (node != NULL) {
        status = claim_remotely(wait, node);
    }
    if (status != ST_OK) {
        status = claim_locally(claims, &wait->claim, deadline,
                               local_claim_done, wait);
    }
    if (status != ST_OK) {
        free(wait);
        return status;
    }
    TAILQ_INSERT_TAIL(&claims->waits, wait, link);
    *out = wait;
    return ST_OK;
}

/* Cancels a pending claim; it is released if it is won later. */
void
Gc_Cancel(struct gc_wait *wait)
{
    wait->done = NULL;
}

static void
append_done(void *arg, bool written)
{
    (void)arg;
    (void)written;
}

static enum st_status
apply_locally(struct gc_claims *claims, const struct cw_request *request)
{
    int slot = Cl_Slot(&request->key);
    if (!Kp_IsOpen(claims->keeper, slot)) {
        Kp_Open(claims->keeper, slot);
    }
    if (request->kind == CW_RESULT) {
        return Kp_Result(claims->keeper, &request->key, &request->attempt,
                         &request->answer, append_done, NULL);
    }
    return Kp_Release(claims->keeper, &request->key, &request->attempt,
                      append_done, NULL);
}

static void
update_done(void *arg, enum st_status status, const char *payload, size_t len)
{
    struct update *update = arg;
    struct cw_request request;
    update->claims->pending_updates--;
    /* Without a reply the update is appended locally; it is idempotent. */
    if (status != ST_OK &&
        Cw_ReadRequest(update->payload, update->len, &request) == ST_OK) {
        apply_locally(update->claims, &request);
        Cw_FreeRequest(&request);
    }
    free(update->payload);
    free(update);
}

/*
 * Sends a result or a release to the daemon that its slot is assigned to.
 * Takes ownership of "payload".
 */
static void
send_update(struct gc_claims *claims, const struct cl_key *key, char *payload)
{
    const struct gc_options *options = &claims->options;
    struct update *update = calloc(1, sizeof(*update));
    if (payload == NULL || update == NULL) {
        /* The claim expires later, with an unknown outcome. */
        free(payload);
        free(update);
        return;
    }
    update->claims = claims;
    update->payload = payload;
    update->len = strlen(payload);
    claims->pending_updates++;
    const char *node = options->ops->assigned_node(options->arg, Cl_Slot(key));
    if (node == NULL || options->ops->send(options->arg, node, payload,
                                           update->len, Gc_PEER_TIMEOUT_USEC,
                                           update_done, update) != ST_OK) {
        update_done(update, ST_UNAVAILABLE, NULL, 0);
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
    send_update(claims, key, Cw_ReleaseRequest(key, attempt));
}

/* Records the answer to a claimed request, for retries under its key. */
void
Gc_Result(struct gc_claims *claims, const struct gc_key *key,
          const struct cl_answer *answer)
{
    struct cl_attempt attempt = attempt_of(claims, key);
    send_update(claims, &key->key,
                Cw_ResultRequest(&key->key, &attempt, answer));
}

/* Records that the outcome of a claimed request is unknown. */
void
Gc_Unknown(struct gc_claims *claims, const struct gc_key *key)
{
    struct cl_answer answer = {.code = Gc_UNKNOWN_CODE};
    Gc_Result(claims, key, &answer);
}

/* Releases a claim that was won; only if no endpoint was sent the request. */
void
Gc_Release(struct gc_claims *claims, const struct gc_key *key)
{
    struct cl_attempt attempt = attempt_of(claims, key);
    release(claims, &key->key, &attempt);
}

static void
peer_claim_settled(void *arg, const struct kp_answer *answer)
{
    struct served_claim *served = arg;
    char *text =
        Cw_ClaimReply(answer, &served->claim.key, &served->claim.attempt);
    served->answer(served->arg, text != NULL ? text : "",
                   text != NULL ? strlen(text) : 0);
    free(text);
    free(served);
}

static enum st_status
serve_claim(struct gc_claims *claims, const struct cw_request *request,
            gc_answer_fn answer, void *arg)
{
    struct served_claim *served = calloc(1, sizeof(*served));
    if (served == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a claim");
    }
    served->claim = request->claim;
    served->answer = answer;
    served->arg = arg;
    int64_t deadline =
        Ck_Now(claims->options.gate->clock) + Gc_SERVE_TIMEOUT_USEC;
    enum st_status status = claim_locally(claims, &request->claim, deadline,
                                          peer_claim_settled, served);
    if (status != ST_OK) {
        free(served);
    }
    return status;
}

/*
 * Serves a request of another daemon about a claim.  On ST_OK "answer" is
 * called once: at once for a result or a release, later for a claim.
 */
enum st_status
Gc_Serve(struct gc_claims *claims, const char *payload, size_t len,
         gc_answer_fn answer, void *arg)
{
    struct cw_request request;
    enum st_status status = Cw_ReadRequest(payload, len, &request);
    if (status != ST_OK) {
        return status;
    }
    if (request.kind == CW_CLAIM) {
        status = serve_claim(claims, &request, answer, arg);
    }
    else {
        status = apply_locally(claims, &request);
        if (status == ST_OK) {
            answer(arg, "", 0);
        }
    }
    Cw_FreeRequest(&request);
    return status;
}
