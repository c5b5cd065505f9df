#include "platform/hostlist.h"

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "platform/jsonlist.h"

#define Hl_PORT_MAX 65535
/* More than any host serves at a time. */
#define Hl_SLOTS_MAX 1000000
#define Hl_COLD_MSEC_MAX (24 * 3600 * 1000)

struct fetch;

struct http_list {
    struct hl_list base;
    struct lp_loop *loop;
    struct jc_target target;
    LIST_HEAD(fetches, fetch) fetches;
};

struct fetch {
    LIST_ENTRY(fetch) link;
    struct http_list *http;
    struct jc_call *call;
    void (*done)(void *arg, enum st_status status, const struct hl_host *hosts,
                 size_t count);
    void *arg;
};

static void
copy_string(const json_t *object, const char *key, char *out, size_t size)
{
    const char *text = json_string_value(json_object_get(object, key));
    strlcpy(out, text != NULL ? text : "", size);
}

/* 0 where it is absent, -1 where it is negative or larger than "most". */
static int
read_int(const json_t *object, const char *key, int most)
{
    json_int_t value = json_integer_value(json_object_get(object, key));
    return value < 0 || value > most ? -1 : (int)value;
}

static bool
string_is(const json_t *object, const char *key, const char *expected)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text != NULL && strcmp(text, expected) == 0;
}

static void
parse_host(const json_t *item, struct hl_host *host)
{
    copy_string(item, "id", host->id, sizeof(host->id));
    copy_string(item, "address", host->address, sizeof(host->address));
    copy_string(item, "data_centre", host->data_centre,
                sizeof(host->data_centre));
    copy_string(item, "region", host->region, sizeof(host->region));
    copy_string(item, "service", host->service, sizeof(host->service));
    copy_string(item, "version", host->version, sizeof(host->version));
    copy_string(item, "class", host->host_class, sizeof(host->host_class));
    host->port = read_int(item, "port", Hl_PORT_MAX);
    host->peer_port = read_int(item, "peer_port", Hl_PORT_MAX);
    host->admin_port = read_int(item, "admin_port", Hl_PORT_MAX);
    host->slots = read_int(item, "slots", Hl_SLOTS_MAX);
    int cold_ms = read_int(item, "cold_ms", Hl_COLD_MSEC_MAX);
    host->warmup_left_usec = cold_ms < 0 ? 0 : cold_ms * Ck_USEC_PER_MSEC;
    host->price = json_number_value(json_object_get(item, "price"));
    host->reclaimable = json_is_true(json_object_get(item, "reclaimable"));
    host->role = string_is(item, "role", "entry") ? HL_ENTRY : HL_ENDPOINT;
    host->state = string_is(item, "state", "leaving") ? HL_LEAVING : HL_LIVE;
}

/*
 * Whether the entry names a host that can be reached: another writer may have
 * left anything in its place.
 */
static bool
is_host(const struct hl_host *host)
{
    return host->id[0] != '\0' && host->address[0] != '\0' &&
           host->port >= (host->role == HL_ENDPOINT ? 1 : 0) &&
           host->peer_port >= 0 && host->admin_port >= 0 && host->slots >= 0;
}

/*
 * Parses the hosts.  The caller frees the array; NULL is returned when memory
 * runs out.
 */
static struct hl_host *
parse_hosts(const json_t *items, size_t *count)
{
    struct hl_host *hosts = calloc(json_array_size(items) + 1, sizeof(*hosts));
    *count = 0;
    if (hosts == NULL) {
        return NULL;
    }
    size_t i;
    const json_t *item;
    json_array_foreach (items, i, item) {
        struct hl_host *host = &hosts[*count];
        parse_host(item, host);
        if (is_host(host)) {
            (*count)++;
        }
        else {
            memset(host, 0, sizeof(*host));
        }
    }
    return hosts;
}

static void
fetch_done(void *arg, const struct jc_answer *answer)
{
    struct fetch *fetch = arg;
    struct hl_host *hosts = NULL;
    size_t count = 0;
    size_t unreadable = 0;
    json_t *items =
        answer->text == NULL
            ? NULL
            : Jl_Read(answer->text, answer->text_len, "hosts", &unreadable);
    enum st_status status = answer->status;
    if (status != ST_OK) {
        St_Fail(status, "the host list did not answer; check its address");
    }
    else if (answer->code != 200 || items == NULL) {
        status =
            St_Fail(ST_UNAVAILABLE, "the host list answered %d without hosts",
                    answer->code);
    }
    else {
        hosts = parse_hosts(items, &count);
        if (hosts == NULL) {
            status = St_Fail(ST_NO_MEMORY, "no memory for the host list");
        }
    }
    LIST_REMOVE(fetch, link);
    fetch->http->base.unreadable = unreadable + json_array_size(items) - count;
    json_decref(items);
    fetch->done(fetch->arg, status, hosts, count);
    free(hosts);
    free(fetch);
}

static enum st_status
http_fetch(struct hl_list *list, int64_t timeout_usec,
           void (*done)(void *arg, enum st_status status,
                        const struct hl_host *hosts, size_t count),
           void *arg)
{
    struct http_list *http = (struct http_list *)list;
    struct fetch *fetch = calloc(1, sizeof(*fetch));
    if (fetch == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory to ask for the host list");
    }
    fetch->http = http;
    fetch->done = done;
    fetch->arg = arg;
    enum st_status status =
        Jc_Start(http->loop, &http->target, "GET", "/hosts/v1", NULL,
                 timeout_usec, fetch_done, fetch, &fetch->call);
    if (status != ST_OK) {
        free(fetch);
        return status;
    }
    LIST_INSERT_HEAD(&http->fetches, fetch, link);
    return ST_OK;
}

/*
 * Cancels the pending fetches without calling "done": the owner of the list,
 * which would receive the result, is being destroyed too.
 */
static void
http_destroy(struct hl_list *list)
{
    struct http_list *http = (struct http_list *)list;
    struct fetch *fetch;
    while ((fetch = LIST_FIRST(&http->fetches)) != NULL) {
        LIST_REMOVE(fetch, link);
        Jc_Cancel(fetch->call);
        free(fetch);
    }
    free(http);
}

static const struct hl_ops http_ops = {
    .fetch = http_fetch,
    .destroy = http_destroy,
};

/* Creates a host list over HTTP (docs/INTERFACES.md section 3). */
enum st_status
Hl_HttpCreate(struct lp_loop *loop, const struct jc_target *target,
              struct hl_list **out)
{
    struct http_list *http = calloc(1, sizeof(*http));
    if (http == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the host list");
    }
    http->base.ops = &http_ops;
    http->loop = loop;
    http->target = *target;
    LIST_INIT(&http->fetches);
    *out = &http->base;
    return ST_OK;
}
