#include <bsd/sys/queue.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "platform/plog.h"
#include "web/client.h"

#define Pl_PATH_MAX 128
#define Pl_ADDRESS_MAX 64
#define Pl_ANSWER_MAX ((size_t)32 << 20) /* bytes */
#define Pl_CODE_OK 200
#define Pl_CODE_GONE 410

struct log_http {
    struct pl_log log;
    struct lp_loop *loop;
    char address[Pl_ADDRESS_MAX];
    int port;
    int64_t append_usec;
    int64_t read_usec;
    TAILQ_HEAD(call_list, log_call) calls;
};

struct log_call {
    TAILQ_ENTRY(log_call) link;
    struct log_http *http;
    struct hc_call *call;
    pl_append_fn append_done;
    pl_read_fn read_done;
    void *arg;
};

static void
call_free(struct log_call *call)
{
    TAILQ_REMOVE(&call->http->calls, call, link);
    free(call);
}

/*
 * Returns true when the append was certainly not written: no byte of the
 * request was sent, or the log service answered that it refuses the request.
 * After a timeout or a closed connection the append may still take effect,
 * even later.
 */
static bool
certainly_not_written(const struct hc_result *result)
{
    if (result->stage == HC_CONNECTING) {
        return true;
    }
    return result->status == ST_OK &&
           (result->code == 400 || result->code == 404 ||
            result->code == 413 || result->code == 429 || result->code == 503);
}

static uint64_t
get_positive(const json_t *object, const char *name)
{
    json_int_t value = json_integer_value(json_object_get(object, name));
    return value > 0 ? (uint64_t)value : 0;
}

static void
append_done(void *arg, struct hc_call *hc, const struct hc_result *result)
{
    struct log_call *call = arg;
    struct pl_append answer = {.kind = PL_UNKNOWN};
    size_t len;
    const char *body = Hc_Body(hc, &len);
    if (certainly_not_written(result)) {
        answer.kind = PL_REFUSED;
    }
    else if (result->status == ST_OK && result->code == Pl_CODE_OK &&
             body != NULL) {
        json_t *root = json_loadb(body, len, 0, NULL);
        answer.offset = get_positive(root, "offset");
        answer.count = (size_t)get_positive(root, "count");
        json_decref(root);
        if (answer.offset > 0 && answer.count > 0) {
            answer.kind = PL_WRITTEN;
        }
    }
    pl_append_fn done = call->append_done;
    void *done_arg = call->arg;
    call_free(call);
    done(done_arg, &answer);
}

static size_t
collect_records(const json_t *list, struct pl_record *records)
{
    size_t count = 0;
    size_t i;
    json_t *item;
    json_array_foreach (list, i, item) {
        const char *text = json_string_value(json_object_get(item, "data"));
        uint64_t offset = get_positive(item, "offset");
        if (text == NULL || offset == 0) {
            break;
        }
        records[count].offset = offset;
        records[count].text = text;
        count++;
    }
    return count;
}

static void
deliver_read(const struct log_call *call, int code, const json_t *root)
{
    struct pl_read answer = {.kind = PL_FAILED};
    struct pl_record *records = NULL;
    const json_t *list = json_object_get(root, "records");
    answer.oldest = get_positive(root, "oldest");
    answer.next = get_positive(root, "next");
    if (code == Pl_CODE_GONE && answer.oldest > 0) {
        answer.kind = PL_EXPIRED;
    }
    else if (code == Pl_CODE_OK && answer.next > 0 && json_is_array(list)) {
        records = calloc(json_array_size(list) + 1, sizeof(*records));
        if (records != NULL) {
            answer.kind = PL_READ;
            answer.count = collect_records(list, records);
            answer.records = records;
        }
    }
    call->read_done(call->arg, &answer);
    free(records);
}

static void
read_done(void *arg, struct hc_call *hc, const struct hc_result *result)
{
    struct log_call *call = arg;
    size_t len;
    const char *body = Hc_Body(hc, &len);
    json_t *root = NULL;
    if (result->status == ST_OK && body != NULL) {
        root = json_loadb(body, len, 0, NULL);
    }
    TAILQ_REMOVE(&call->http->calls, call, link);
    deliver_read(call, result->code, root);
    json_decref(root);
    free(call);
}

static const struct hc_ops append_ops = {.done = append_done};
static const struct hc_ops read_ops = {.done = read_done};

static char *
append_body(const char *const *texts, size_t count)
{
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(list, json_string(texts[i]));
    }
    bool complete = json_array_size(list) == count;
    json_t *root = json_pack("{s:o}", "records", list);
    char *text = complete ? json_dumps(root, JSON_COMPACT) : NULL;
    json_decref(root);
    return text;
}

static enum st_status
start_call(struct log_http *http, struct log_call *call,
           const struct hc_request *request, const struct hc_ops *ops)
{
    call->http = http;
    TAILQ_INSERT_HEAD(&http->calls, call, link);
    enum st_status status =
        Hc_Start(http->loop, request, ops, call, &call->call);
    if (status != ST_OK) {
        call_free(call);
    }
    return status;
}

static enum st_status
http_append(struct pl_log *log, const char *stream, const char *const *texts,
            size_t count, pl_append_fn done, void *arg)
{
    struct log_http *http = log->context;
    enum st_status status = ST_OK;
    char path[Pl_PATH_MAX];
    snprintf(path, sizeof(path), "/log/v1/%s/append", stream);
    char *body = append_body(texts, count);
    struct log_call *call = calloc(1, sizeof(*call));
    if (body == NULL || call == NULL) {
        status = St_Fail(ST_NO_MEMORY, "no memory for an append, or a record "
                                       "is not UTF-8; encode it");
        free(call);
    }
    else {
        call->append_done = done;
        call->arg = arg;
        struct hc_request request = {
            .address = http->address,
            .port = http->port,
            .method = "POST",
            .path = path,
            .type = "application/json",
            .body = body,
            .body_len = strlen(body),
            .connect_usec = http->append_usec,
            .total_usec = http->append_usec,
        };
        status = start_call(http, call, &request, &append_ops);
    }
    free(body);
    return status;
}

static enum st_status
http_read(struct pl_log *log, const char *stream, uint64_t from, size_t max,
          pl_read_fn done, void *arg)
{
    struct log_http *http = log->context;
    char path[Pl_PATH_MAX];
    snprintf(path, sizeof(path), "/log/v1/%s/read?from=%llu&max=%zu", stream,
             (unsigned long long)from, max);
    struct log_call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a read of the log");
    }
    call->read_done = done;
    call->arg = arg;
    struct hc_request request = {
        .address = http->address,
        .port = http->port,
        .method = "GET",
        .path = path,
        .connect_usec = http->read_usec,
        .total_usec = http->read_usec,
        .collect_max = Pl_ANSWER_MAX,
    };
    return start_call(http, call, &request, &read_ops);
}

static const struct pl_ops http_ops = {
    .append = http_append,
    .read = http_read,
};

/*
 * Creates a client of the log service.  Destroy it with Pl_HttpDestroy()
 * after the modules that use it are destroyed.
 */
enum st_status
Pl_HttpCreate(struct lp_loop *loop, const struct pl_http_options *options,
              struct pl_log **out)
{
    struct log_http *http = calloc(1, sizeof(*http));
    if (http == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the log client");
    }
    TAILQ_INIT(&http->calls);
    http->loop = loop;
    snprintf(http->address, sizeof(http->address), "%s", options->address);
    http->port = options->port;
    http->append_usec =
        options->append_usec > 0 ? options->append_usec : Pl_TIMEOUT_USEC;
    http->read_usec =
        options->read_usec > 0 ? options->read_usec : Pl_TIMEOUT_USEC;
    http->log.ops = &http_ops;
    http->log.context = http;
    *out = &http->log;
    return ST_OK;
}

static void
fail_call(const struct log_call *call)
{
    const struct pl_append unknown = {.kind = PL_UNKNOWN};
    const struct pl_read failed = {.kind = PL_FAILED};
    if (call->append_done != NULL) {
        call->append_done(call->arg, &unknown);
    }
    else {
        call->read_done(call->arg, &failed);
    }
}

/*
 * Destroys the client.  Pending appends end as PL_UNKNOWN, pending reads as
 * PL_FAILED.
 */
void
Pl_HttpDestroy(struct pl_log *log)
{
    if (log == NULL) {
        return;
    }
    struct log_http *http = log->context;
    struct log_call *call;
    while ((call = TAILQ_FIRST(&http->calls)) != NULL) {
        TAILQ_REMOVE(&http->calls, call, link);
        Hc_Cancel(call->call);
        fail_call(call);
        free(call);
    }
    free(http);
}
