/*
 * The cloud: offers, hosts as mere records, and reclaim notices.
 */
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standins/platform.h"

#define HOSTS_PATH "/cloud/v1/hosts"
#define ID_MAX 32

struct pl_cloud {
    struct sv_program *program;
    int64_t start_usec;
    json_t *offers;
    json_t *hosts;   /* also those that are gone */
    json_t *notices; /* with "ends_at" in microseconds */
    int64_t last_host;
};

static json_t *
default_offers(void)
{
    return json_pack("[{s:s,s:s,s:f,s:b},{s:s,s:s,s:f,s:b}]", "data_centre",
                     "dc-1", "class", "small", "price", 1.0, "reclaimable", 0,
                     "data_centre", "dc-1", "class", "small", "price", 0.3,
                     "reclaimable", 1);
}

/* Creates a cloud with one class in one data centre on offer. */
struct pl_cloud *
Pl_CloudCreate(struct sv_program *program, const struct pl_options *options)
{
    struct pl_cloud *cloud = calloc(1, sizeof(*cloud));
    if (cloud == NULL) {
        return NULL;
    }
    cloud->program = program;
    cloud->start_usec = options->start_usec;
    cloud->offers = default_offers();
    cloud->hosts = json_array();
    cloud->notices = json_array();
    return cloud;
}

/* Frees the cloud with its records. */
void
Pl_CloudDestroy(struct pl_cloud *cloud)
{
    json_decref(cloud->offers);
    json_decref(cloud->hosts);
    json_decref(cloud->notices);
    free(cloud);
}

static json_t *
host_by_id(struct pl_cloud *cloud, const char *id)
{
    size_t i;
    json_t *host;
    json_array_foreach (cloud->hosts, i, host) {
        const char *name = json_string_value(json_object_get(host, "id"));
        if (name != NULL && strcmp(name, id) == 0) {
            return host;
        }
    }
    return NULL;
}

static bool
state_is(const json_t *host, const char *state)
{
    const char *is = json_string_value(json_object_get(host, "state"));
    return is != NULL && strcmp(is, state) == 0;
}

static void
set_state(json_t *host, const char *state)
{
    if (host != NULL && !state_is(host, "gone")) {
        json_object_set_new(host, "state", json_string(state));
    }
}

/* Moves hosts on: started ones run, those past their notice are gone. */
static void
advance(struct pl_cloud *cloud)
{
    int64_t now = Ck_Now(Ck_System());
    size_t i;
    json_t *host;
    json_array_foreach (cloud->hosts, i, host) {
        json_int_t at = json_integer_value(json_object_get(host, "runs_at"));
        if (state_is(host, "starting") && at <= now) {
            set_state(host, "running");
        }
    }
    json_t *notice;
    json_array_foreach (cloud->notices, i, notice) {
        json_int_t end =
            json_integer_value(json_object_get(notice, "ends_at"));
        if (end <= now) {
            const char *id =
                json_string_value(json_object_get(notice, "host"));
            set_state(host_by_id(cloud, id), "gone");
        }
    }
}

static bool
same_text(const json_t *a, const json_t *b, const char *name)
{
    return json_equal(json_object_get(a, name), json_object_get(b, name));
}

static json_t *
offer_for(struct pl_cloud *cloud, const json_t *wanted)
{
    size_t i;
    json_t *offer;
    json_array_foreach (cloud->offers, i, offer) {
        if (same_text(offer, wanted, "data_centre") &&
            same_text(offer, wanted, "class") &&
            same_text(offer, wanted, "reclaimable")) {
            return offer;
        }
    }
    return NULL;
}

/* Takes one host off an offer with a "capacity"; false when none is left. */
static bool
take_offer(struct pl_cloud *cloud, const json_t *wanted)
{
    json_t *offer = offer_for(cloud, wanted);
    if (offer == NULL) {
        return false;
    }
    const json_t *capacity = json_object_get(offer, "capacity");
    if (capacity == NULL) {
        return true;
    }
    json_int_t left = json_integer_value(capacity);
    json_object_set_new(offer, "capacity", json_integer(left - 1));
    return left > 0;
}

static void
refused(struct sv_answer *answer)
{
    answer->code = 409;
    answer->body = json_pack("{s:s}", "error", "refused");
}

static void
create_host(struct pl_cloud *cloud, struct hs_request *request,
            struct sv_answer *answer)
{
    json_t *wanted = Sv_BodyJson(request);
    if (!take_offer(cloud, wanted)) {
        json_decref(wanted);
        refused(answer);
        return;
    }
    char id[ID_MAX];
    snprintf(id, sizeof(id), "cloud-%lld", (long long)++cloud->last_host);
    int64_t runs_at = Ck_Now(Ck_System()) + cloud->start_usec;
    json_object_set_new(wanted, "id", json_string(id));
    json_object_set_new(wanted, "state", json_string("starting"));
    json_object_set_new(wanted, "runs_at", json_integer(runs_at));
    json_array_append_new(cloud->hosts, wanted);
    answer->code = 201;
    answer->body = json_pack("{s:s}", "id", id);
}

static void
delete_host(struct pl_cloud *cloud, const char *id, struct sv_answer *answer)
{
    json_t *host = host_by_id(cloud, id);
    if (host == NULL) {
        answer->code = 404;
        answer->body = json_pack("{s:s}", "error", "no such host");
        return;
    }
    set_state(host, "gone");
    answer->body = json_object();
}

static void
list_notices(struct pl_cloud *cloud, struct hs_request *request,
             struct sv_answer *answer)
{
    json_int_t from = Sv_QueryNumber(request, "from", 1);
    int64_t now = Ck_Now(Ck_System());
    json_t *list = json_array();
    size_t i;
    json_t *notice;
    json_array_foreach (cloud->notices, i, notice) {
        json_int_t seq = (json_int_t)i + 1;
        json_int_t left =
            json_integer_value(json_object_get(notice, "ends_at")) - now;
        if (seq < from) {
            continue;
        }
        json_array_append_new(
            list, json_pack("{s:I, s:O, s:I}", "seq", seq, "host",
                            json_object_get(notice, "host"), "left_ms",
                            left > 0 ? left / Ck_USEC_PER_MSEC : 0));
    }
    answer->body = json_pack("{s:I, s:o}", "next",
                             (json_int_t)json_array_size(cloud->notices) + 1,
                             "notices", list);
}

static bool
act(struct pl_cloud *cloud, struct hs_request *request,
    struct sv_answer *answer)
{
    const char *path = Hs_Path(request);
    size_t prefix = strlen(HOSTS_PATH "/");
    if (Sv_Is(request, "GET", "/cloud/v1/offers")) {
        answer->body = json_pack("{s:O}", "offers", cloud->offers);
    }
    else if (Sv_Is(request, "GET", HOSTS_PATH)) {
        answer->body = json_pack("{s:O}", "hosts", cloud->hosts);
    }
    else if (Sv_Is(request, "POST", HOSTS_PATH)) {
        create_host(cloud, request, answer);
    }
    else if (strcmp(Hs_Method(request), "DELETE") == 0 &&
             strncmp(path, HOSTS_PATH "/", prefix) == 0) {
        delete_host(cloud, path + prefix, answer);
    }
    else if (Sv_Is(request, "GET", "/cloud/v1/notices")) {
        list_notices(cloud, request, answer);
    }
    else {
        return false;
    }
    return true;
}

static void
serve_cloud(struct pl_cloud *cloud, struct hs_request *request)
{
    bool notices = strcmp(Hs_Path(request), "/cloud/v1/notices") == 0;
    struct fl_query query = {
        .target = notices ? "notices" : "cloud",
        .path = Hs_Path(request),
        .stream = Hs_Method(request),
    };
    struct fl_fault fault = Fl_Take(Sv_Faults(cloud->program), &query);
    struct sv_answer answer = {.code = 200};
    if (fault.mode == FL_REFUSE && Sv_Is(request, "POST", HOSTS_PATH)) {
        refused(&answer);
        Sv_Answer(cloud->program, request, &fault, &answer);
        return;
    }
    if (Sv_Before(request, &fault)) {
        return;
    }
    advance(cloud);
    if (!act(cloud, request, &answer)) {
        answer.code = 404;
        answer.body = json_pack("{s:s}", "error", "no such path");
    }
    Sv_Answer(cloud->program, request, &fault, &answer);
}

static void
add_notice(struct pl_cloud *cloud, const json_t *body)
{
    json_int_t left = json_integer_value(json_object_get(body, "left_ms"));
    int64_t ends_at = Ck_Now(Ck_System()) + left * Ck_USEC_PER_MSEC;
    json_t *id = json_object_get(body, "host");
    if (!json_is_string(id)) {
        return;
    }
    json_array_append_new(
        cloud->notices,
        json_pack("{s:O, s:I}", "host", id, "ends_at", (json_int_t)ends_at));
    set_state(host_by_id(cloud, json_string_value(id)), "leaving");
}

static void
set_offers(struct pl_cloud *cloud, const json_t *body)
{
    json_t *offers = json_object_get(body, "offers");
    if (json_is_array(offers)) {
        json_decref(cloud->offers);
        cloud->offers = json_incref(offers);
    }
}

/* Serves the cloud and its controls. */
bool
Pl_CloudServe(struct pl_cloud *cloud, struct hs_request *request)
{
    if (strncmp(Hs_Path(request), "/cloud/v1/", 10) == 0) {
        serve_cloud(cloud, request);
        return true;
    }
    bool notices = Sv_Is(request, "POST", "/standin/notices");
    if (!notices && !Sv_Is(request, "POST", "/standin/offers")) {
        return false;
    }
    json_t *body = Sv_BodyJson(request);
    if (notices) {
        add_notice(cloud, body);
    }
    else {
        set_offers(cloud, body);
    }
    json_decref(body);
    Sv_Reply(cloud->program, request, 200, json_object());
    return true;
}
