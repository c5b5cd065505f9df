/* Sends an exchange's request to an endpoint. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "edge/brittle.h"
#include "edge/exchange_internal.h"
#include "edge/rate_limit.h"
#include "edge/warming.h"

/* With at most 1/4 of its slots in use, an engine reads prompts at full
   speed. */
#define Xc_UNLOADED_DIVISOR 4

static size_t
put(char *out, size_t at, struct h1_text text)
{
    memcpy(out + at, text.at, text.len);
    return at + text.len;
}

/*
 * Builds the request's head for the endpoint; the caller frees it.  Sets
 * *digest to a hash of what is the client's, the same for each attempt.
 */
static char *
write_head(const struct xc_exchange *exchange, const struct hd_send *send,
           size_t body_len, size_t *len, uint64_t *digest)
{
    const struct h1_head *head = Sv_Head(exchange->request);
    size_t size = head->method.len + head->target.len + 2048;
    for (size_t i = 0; i < head->count; i++) {
        size += head->fields[i].name.len + head->fields[i].value.len + 4;
    }
    char *out = malloc(size);
    if (out == NULL) {
        return NULL;
    }
    size_t at = put(out, 0, head->method);
    out[at++] = ' ';
    at = put(out, at, head->target);
    at += (size_t)sprintf(out + at, " HTTP/1.1\r\n");
    for (size_t i = 0; i < head->count; i++) {
        const struct h1_field *field = &head->fields[i];
        if (H1_HopByHop(head, field->name) ||
            exchange->gate->options.wire->reserved(field->name) ||
            (send->resume_after >= 0 &&
             H1_Is(field->name, exchange->gate->options.wire->last_event))) {
            continue;
        }
        at = put(out, at, field->name);
        at += (size_t)sprintf(out + at, ": ");
        at = put(out, at, field->value);
        at += (size_t)sprintf(out + at, "\r\n");
    }
    *digest = Hash_Bytes(out, at, 0);
    if (body_len > 0 || head->chunked ||
        H1_Find(head, "content-length") != NULL) {
        at += (size_t)sprintf(out + at, "Content-Length: %zu\r\n", body_len);
    }
    at += exchange->gate->options.wire->encode_send(send, out + at, size - at);
    at += (size_t)sprintf(out + at, "\r\n");
    *len = at;
    return out;
}

static int
priority_of(const struct xc_exchange *exchange)
{
    return exchange->tenant != NULL && exchange->tenant->priority >= 0
               ? exchange->tenant->priority
               : exchange->route->priority;
}

/*
 * Logs the data by which the endpoint was chosen, their age, and what of the
 * client's request was sent.
 */
static void
log_sent(const struct xc_exchange *exchange, const struct xc_target *target,
         uint64_t head_digest, size_t body_len)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    const struct fl_endpoint *endpoint = attempt->endpoint;
    long long prefill_tokens =
        endpoint->prefill_tokens + endpoint->peers_prefill_tokens;
    long long output_tokens =
        endpoint->output_tokens + endpoint->peers_output_tokens;
    Ln_Log(
        exchange->sends == 1 ? LN_ORDINARY : LN_FAILURE, "attempt.sent",
        "\"id\":\"%s\",\"endpoint\":\"%s\",\"tenant\":\"%s\",\"running\":%d,"
        "\"others\":%d,\"reading\":%lld,\"missing\":%lld,\"output\":%lld,"
        "\"expected\":%lld,\"speed\":%.2f,\"kept_conn\":%d,"
        "\"entry_age_ms\":%lld,\"config\":%lld,\"rate_limit\":%.2f,"
        "\"expected_ms\":%lld,\"slack_ms\":%lld,"
        "\"head_digest\":\"%016llx\",\"body_bytes\":%zu",
        exchange->info.id, endpoint->entry.id,
        exchange->tenant == NULL ? "" : exchange->tenant->name,
        endpoint->running, endpoint->peers_running, prefill_tokens,
        (long long)attempt->prefill_tokens, output_tokens,
        (long long)attempt->output_tokens, endpoint->speed,
        Cn_Used(attempt->channel),
        (long long)((attempt->sent_at - endpoint->last_entry_at) /
                    Ck_USEC_PER_MSEC),
        (long long)exchange->config->version, endpoint->rate_limit.per_sec,
        (long long)(target->expected_usec / Ck_USEC_PER_MSEC),
        (long long)(target->slack_usec / Ck_USEC_PER_MSEC),
        (unsigned long long)head_digest, body_len);
}

bool
xc_send_to(struct xc_exchange *exchange, const struct xc_target *target)
{
    struct ga_gate *gate = exchange->gate;
    struct fl_endpoint *endpoint = target->endpoint;
    int64_t now = Ga_Now(gate);
    struct xc_attempt *attempt = &exchange->attempt;
    struct hd_send send = {
        .endpoint = endpoint->entry.id,
        .tenant = exchange->tenant == NULL ? NULL : exchange->tenant->name,
        .left_usec = exchange->deadline - now,
        .priority = priority_of(exchange),
        .resume_after = exchange->head_sent ? exchange->last_event : -1,
        .version = exchange->head_sent && exchange->version[0] != '\0'
                       ? exchange->version
                       : NULL,
        .kv_from = target->kv_from,
    };
    size_t body_len;
    const char *body = Sv_Body(exchange->request, &body_len);
    size_t head_len;
    uint64_t head_digest = 0;
    char *head =
        write_head(exchange, &send, body_len, &head_len, &head_digest);
    struct lg_holder *holder = Sv_Holder(exchange->request);
    bool has_room = head != NULL && Lg_MakeRoom(holder, head_len + body_len);
    struct cn_channel *channel =
        has_room ? Po_Take(gate, endpoint, exchange->retryable) : NULL;
    if (channel == NULL) {
        free(head);
        return false;
    }
    attempt->endpoint = Fl_Ref(endpoint);
    attempt->channel = channel;
    attempt->sent_at = now;
    attempt->prefill_tokens = target->prefill_tokens;
    int running = endpoint->running + endpoint->peers_running;
    attempt->moved = target->kv_from != NULL;
    attempt->unloaded =
        endpoint->prefill_tokens + endpoint->peers_prefill_tokens == 0 &&
        running * Xc_UNLOADED_DIVISOR <= endpoint->entry.slots;
    endpoint->running++;
    endpoint->prefill_tokens += attempt->prefill_tokens;
    Xc_BeginOutput(exchange);
    Wa_NoteSent(gate, endpoint, exchange->service, now);
    Bt_NoteSent(gate, endpoint);
    Rl_NoteSent(gate, endpoint);
    /*
     * Demand counts a request once, not its retries: while endpoints crash
     * each request is sent several times, and endpoints would be ordered for
     * a load several times as large.
     */
    if (exchange->sends == 0) {
        De_RecordSent(gate->demand, exchange->service->name,
                      attempt->prefill_tokens,
                      Pl_IsLong(exchange->info.tokens_in));
    }
    Px_NoteSent(gate->prefixes, &exchange->info, endpoint->hash, now);
    if (!attempt->moved) {
        exchange->tried[exchange->tried_count++] = endpoint->hash;
    }
    exchange->sends++;
    exchange->endpoint_waits = 0;
    exchange->silence_handled = false;
    exchange->link_tested = false;
    Mt_Add(gate->count.expected_late,
           target->slack_usec < 0 && !exchange->head_sent);
    log_sent(exchange, target, head_digest, body_len);
    if (!attempt->moved) {
        Xc_NoteVersionSent(exchange, target);
    }
    Cn_Send(channel, head, head_len, body, body_len,
            H1_Is(Sv_Head(exchange->request)->method, "HEAD"), &xc_channel_ops,
            exchange);
    Lg_Set(holder, LG_COPY, Cn_HeldBytes(channel));
    free(head);
    return true;
}
