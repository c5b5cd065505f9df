#include "gate/admin.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "gate/admin_internal.h"

#define Ad_VERDICT_USEC (8 * INT64_C(1000000))
#define Ad_BEARER "Bearer "
#define Ad_SECTIONS "/admin/v1/sections/"

/* Replies with a JSON document; the reference to "body" is taken. */
void
Ad_Reply(struct hs_request *request, int code, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    if (text == NULL) {
        Hs_Reply(request, 500, NULL, NULL, 0, NULL, 0);
        return;
    }
    Hs_Reply(request, code, "application/json", NULL, 0, text, strlen(text));
    free(text);
}

/* The HTTP status and the error type of a failure. */
struct error_reply {
    enum st_status status;
    int code;
    const char *type;
};

static const struct error_reply error_replies[] = {
    {ST_INVALID, 400, "invalid_request"}, {ST_NOT_FOUND, 404, "not_found"},
    {ST_CONFLICT, 409, "conflict"},       {ST_DENIED, 403, "denied"},
    {ST_OVERLOAD, 503, "overloaded"},     {ST_UNAVAILABLE, 503, "unavailable"},
    {ST_TIMEOUT, 504, "unknown"},         {ST_UNKNOWN, 504, "unknown"},
};

static void
reply_error(struct hs_request *request, int code, const char *type,
            const char *message)
{
    Ad_Reply(request, code,
             json_pack("{s:{s:s, s:s}}", "error", "type", type, "message",
                       message));
}

/* Replies with the error for a status and the message of St_Fail(). */
void
Ad_ReplyError(struct hs_request *request, enum st_status status)
{
    for (size_t i = 0; i < sizeof(error_replies) / sizeof(error_replies[0]);
         i++) {
        if (error_replies[i].status == status) {
            reply_error(request, error_replies[i].code, error_replies[i].type,
                        St_Message());
            return;
        }
    }
    reply_error(request, 500, "internal", St_Message());
}

static const struct cf_config *
config_of(const struct ad_admin *admin)
{
    return Sc_Config(admin->ops->sections(admin->arg));
}

/* The team whose key is the bearer token, or NULL. */
static const char *
authenticate(const struct ad_admin *admin, const struct hs_request *request)
{
    const char *value = Hs_Header(request, "authorization");
    size_t skip = strlen(Ad_BEARER);
    if (value == NULL || strncasecmp(value, Ad_BEARER, skip) != 0) {
        return NULL;
    }
    char digest[Hash_DIGEST_HEX];
    Hash_Digest(value + skip, strlen(value + skip), digest);
    const struct cf_config *config = config_of(admin);
    if (admin->bootstrap_digest[0] != '\0' &&
        strcmp(digest, admin->bootstrap_digest) == 0) {
        return Cf_BOOTSTRAP;
    }
    const struct cf_team *team = Cf_TeamByKey(config, digest);
    return team != NULL ? team->name : NULL;
}

static bool
may_read(const struct ad_admin *admin, const char *team, const char *section)
{
    return strcmp(team, Cf_BOOTSTRAP) == 0 ||
           Cf_MayRead(config_of(admin), team, section);
}

static json_t *
section_to_json(const struct sc_section *section)
{
    return json_pack("{s:s, s:I, s:o}", "name", section->name, "offset",
                     (json_int_t)section->offset, "body",
                     json_loads(section->body, 0, NULL));
}

static void
get_config(const struct ad_admin *admin, struct hs_request *request,
           const char *team)
{
    const struct sc_state *state = admin->ops->sections(admin->arg);
    json_t *list = json_array();
    for (size_t i = 0; i < Sc_SectionCount(state); i++) {
        struct sc_section section = Sc_SectionAt(state, i);
        if (may_read(admin, team, section.name)) {
            json_array_append_new(list, section_to_json(&section));
        }
    }
    Ad_Reply(request, 200,
             json_pack("{s:I, s:I, s:s, s:o}", "offset",
                       (json_int_t)Sc_Offset(state), "in_force",
                       (json_int_t)Sc_Config(state)->offset, "team", team,
                       "sections", list));
}

static void
get_section(const struct ad_admin *admin, struct hs_request *request,
            const char *team, const char *name)
{
    const struct sc_state *state = admin->ops->sections(admin->arg);
    if (!may_read(admin, team, name)) {
        Ad_ReplyError(
            request,
            St_Fail(ST_DENIED,
                    "team %s may not read section %s: use that team's "
                    "key, or an operator's",
                    team, name));
        return;
    }
    for (size_t i = 0; i < Sc_SectionCount(state); i++) {
        struct sc_section section = Sc_SectionAt(state, i);
        if (strcmp(section.name, name) == 0) {
            Ad_Reply(request, 200, section_to_json(&section));
            return;
        }
    }
    Ad_ReplyError(request,
                  St_Fail(ST_NOT_FOUND,
                          "section %s was never published: publish it "
                          "with base 0",
                          name));
}

static void
serve_public(const struct ad_admin *admin, struct hs_request *request,
             const char *path)
{
    static const char plain[] = "text/plain; charset=utf-8";
    if (strcmp(path, "/metrics") == 0) {
        char *text = admin->ops->metrics(admin->arg);
        Hs_Reply(request, text != NULL ? 200 : 500, plain, NULL, 0, text,
                 text != NULL ? strlen(text) : 0);
        free(text);
        return;
    }
    const char *why = "ok";
    bool ready = true;
    if (strcmp(path, "/readyz") == 0) {
        ready = admin->ops->ready(admin->arg, &why);
    }
    const char *text = ready ? "ok" : why;
    Hs_Reply(request, ready ? 200 : 503, plain, NULL, 0, text, strlen(text));
}

static void
serve_section(struct ad_admin *admin, struct hs_request *request,
              const char *team, const char *name)
{
    const char *method = Hs_Method(request);
    bool put = strcmp(method, "PUT") == 0;
    if (put || strcmp(method, "PATCH") == 0) {
        Ad_Publish(admin, request, team, name, !put);
    }
    else if (strcmp(method, "GET") == 0) {
        get_section(admin, request, team, name);
    }
    else {
        reply_error(request, 405, "invalid_request", "use GET, PUT or PATCH");
    }
}

static void
serve_authenticated(struct ad_admin *admin, struct hs_request *request,
                    const char *path, const char *team)
{
    size_t skip = strlen(Ad_SECTIONS);
    if (strncmp(path, Ad_SECTIONS, skip) == 0) {
        serve_section(admin, request, team, path + skip);
    }
    else if (strcmp(Hs_Method(request), "GET") != 0) {
        reply_error(request, 405, "invalid_request", "use GET");
    }
    else if (strcmp(path, "/admin/v1/config") == 0) {
        get_config(admin, request, team);
    }
    else if (strcmp(path, "/admin/v1/status") == 0) {
        Ad_Reply(request, 200, admin->ops->status(admin->arg));
    }
    else {
        reply_error(request, 404, "not_found",
                    "there is no such path; docs/INTERFACES.md lists them");
    }
}

/*
 * The bootstrap key is valid while no team exists.  Afterwards it only gives
 * the verdict on the change that it published: if the response to the first
 * change was lost, the operator retries a change that has itself made the key
 * invalid, and must not be told that the change was refused.
 */
static bool
bootstrap_allows(struct ad_admin *admin, struct hs_request *request,
                 const char *path)
{
    if (config_of(admin)->team_count == 0) {
        return true;
    }
    const char *method = Hs_Method(request);
    return strcmp(path, Ad_SECTIONS Cf_PLATFORM) == 0 &&
           (strcmp(method, "PUT") == 0 || strcmp(method, "PATCH") == 0) &&
           Ad_HasVerdict(admin, request, Cf_PLATFORM);
}

static void
on_request(void *arg, struct hs_request *request)
{
    struct ad_admin *admin = arg;
    const char *path = Hs_Path(request);
    bool get = strcmp(Hs_Method(request), "GET") == 0;
    if (get &&
        (strcmp(path, "/healthz") == 0 || strcmp(path, "/readyz") == 0 ||
         strcmp(path, "/metrics") == 0)) {
        serve_public(admin, request, path);
        return;
    }
    const char *team = authenticate(admin, request);
    if (team != NULL && strcmp(team, Cf_BOOTSTRAP) == 0 &&
        !bootstrap_allows(admin, request, path)) {
        team = NULL;
    }
    if (team == NULL) {
        Ev_Log(&CF_KEY_UNKNOWN, "method=%s path=%s", Hs_Method(request), path);
        reply_error(request, 401, "unauthenticated",
                    "no team has this key: set CORNELGATE_ADMIN_KEY to your "
                    "team's key, and ask an operator if it was replaced");
        return;
    }
    serve_authenticated(admin, request, path, team);
}

static void
on_gone(void *arg, struct hs_request *request)
{
    struct ad_publish *publish = Hs_User(request);
    if (publish != NULL) {
        Ad_PublishGone(publish);
    }
}

static const struct hs_ops server_ops = {on_request, on_gone, NULL};
static const char *const request_headers[] = {"authorization", NULL};

/* Listens on the administration port. */
enum st_status
Ad_Create(struct lp_loop *loop, const struct ad_options *options,
          struct ad_admin **out)
{
    struct ad_admin *admin = calloc(1, sizeof(*admin));
    if (admin == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the administration API");
    }
    TAILQ_INIT(&admin->publishes);
    admin->loop = loop;
    admin->ops = options->ops;
    admin->arg = options->arg;
    admin->verdict_usec =
        options->verdict_usec > 0 ? options->verdict_usec : Ad_VERDICT_USEC;
    if (options->bootstrap_digest != NULL) {
        strlcpy(admin->bootstrap_digest, options->bootstrap_digest,
                sizeof(admin->bootstrap_digest));
    }
    struct hs_options server = {
        .address = options->address,
        .port = options->port,
        .tls_cert_file = options->tls_cert_file,
        .tls_key_file = options->tls_key_file,
        .body_max = Sc_RECORD_MAX,
        .ledger = options->ledger,
        .account = "admin",
        .headers = request_headers,
        .ops = &server_ops,
        .arg = admin,
    };
    enum st_status status = Hs_Create(loop, &server, &admin->server);
    if (status != ST_OK) {
        free(admin);
        return status;
    }
    *out = admin;
    return ST_OK;
}

/*
 * Drops pending changes.  Must be called before Lp_Destroy(), and should be
 * called only once Ad_OpenRequests() is 0: the callers of dropped changes get
 * no response, although the appends may still take effect.
 */
void
Ad_Stop(struct ad_admin *admin)
{
    struct ad_publish *publish;
    while ((publish = TAILQ_FIRST(&admin->publishes)) != NULL) {
        Ad_PublishDestroy(publish);
    }
}

/* Must be called after Lp_Destroy(); NULL is allowed. */
void
Ad_Destroy(struct ad_admin *admin)
{
    if (admin == NULL) {
        return;
    }
    Hs_Destroy(admin->server);
    free(admin);
}

int
Ad_Port(const struct ad_admin *admin)
{
    return Hs_Port(admin->server);
}

/* The number of requests without a response, for a graceful shutdown. */
size_t
Ad_OpenRequests(const struct ad_admin *admin)
{
    return Hs_OpenRequests(admin->server);
}
