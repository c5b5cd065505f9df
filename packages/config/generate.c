/*
 * Generates section documents from the answers of a questionnaire.
 * docs/QUESTIONNAIRE.md describes the same rules for users.
 */
#include <bsd/string.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "config/parsed_section.h"
#include "config/questionnaire.h"

/* Rate limit over the expected peak, because the peak is an estimate. */
#define Qn_PEAK_FACTOR 1.25
#define Qn_IN_FLIGHT_MAX 1e6
#define Qn_WEIGHT_MIN 0.001
#define Qn_WEIGHT_MAX 1000.0
#define Qn_USEC_PER_MSEC 1000.0
#define Qn_USEC_PER_SEC 1000000.0

/* Share of capacity kept free, by preference. */
static const double headroom[] = {
    [QN_LATENCY] = 0.35, [QN_BALANCE] = 0.25, [QN_COST] = 0.15};

/* Highest share on spot hosts, by preference and frequency of reclaims. */
static const double spot_max_share[][3] = {
    [QN_LATENCY] = {1.0, 0.7, 0.4},
    [QN_BALANCE] = {1.0, 0.85, 0.65},
    [QN_COST] = {1.0, 1.0, 0.85},
};

static json_t *
make_data_centres(const struct qn_answers *answers)
{
    json_t *list = json_object();
    for (size_t i = 0; i < answers->data_centre_count; i++) {
        const struct qn_data_centre *entry = &answers->data_centres[i];
        json_object_set_new(list, entry->name,
                            json_pack("{s:s}", "region", entry->region));
    }
    return list;
}

static json_t *
make_teams(const struct qn_answers *answers)
{
    static const char *const roles[] = {[CF_VIEWER] = "viewer",
                                        [CF_EDITOR] = "editor",
                                        [CF_OPERATOR] = "operator"};
    json_t *list = json_object();
    for (size_t i = 0; i < answers->team_count; i++) {
        const struct qn_team *team = &answers->teams[i];
        json_object_set_new(list, team->name,
                            json_pack("{s:s, s:s}", "key_digest",
                                      team->key_digest, "role",
                                      roles[team->role]));
    }
    return list;
}

static double
clamp(double value, double min, double max)
{
    return fmin(fmax(value, min), max);
}

/*
 * The share of the budget becomes the weight in the fair queue, where 1 is an
 * equal share.  By Little's law at most rate times patience requests are in
 * flight as long as no request takes longer than the caller's patience.
 */
static json_t *
make_caller(const struct qn_caller *caller, double budget_sum, size_t count)
{
    double share = caller->budget_percent / budget_sum;
    double weight = clamp(share * (double)count, Qn_WEIGHT_MIN, Qn_WEIGHT_MAX);
    double limit = caller->peak_per_s * Qn_PEAK_FACTOR;
    double in_flight =
        clamp(ceil(limit * caller->patience_s), 1, Qn_IN_FLIGHT_MAX);
    return json_pack("{s:s, s:f, s:f, s:i, s:i}", "key_digest",
                     caller->key_digest, "weight", round(weight * 1000) / 1000,
                     "requests_per_sec", limit, "max_in_flight",
                     (int)in_flight, "body_max",
                     caller->longest_request_kb * 1024);
}

static json_t *
make_callers(const struct qn_answers *answers)
{
    double sum = 0;
    for (size_t i = 0; i < answers->caller_count; i++) {
        sum += answers->callers[i].budget_percent;
    }
    json_t *list = json_object();
    for (size_t i = 0; i < answers->caller_count; i++) {
        const struct qn_caller *caller = &answers->callers[i];
        json_object_set_new(list, caller->name,
                            make_caller(caller, sum, answers->caller_count));
    }
    return list;
}

/*
 * Whether spot hosts are cheaper than on-demand hosts in any data centre; if
 * not, they add risk and save nothing.  Only a questionnaire with a platform
 * group has prices; without prices spot hosts count as cheaper.
 */
static bool
spot_is_cheaper(const struct qn_answers *answers)
{
    bool cheaper = answers->data_centre_count == 0;
    for (size_t i = 0; i < answers->data_centre_count; i++) {
        const struct qn_data_centre *entry = &answers->data_centres[i];
        cheaper |= entry->price_reclaimable < entry->price_on_demand;
    }
    return cheaper;
}

static json_t *
make_move(const struct qn_service *service)
{
    if (!service->moving) {
        return json_pack("{s:s}", "to", service->version);
    }
    const struct qn_move *move = &service->move;
    return json_pack("{s:s, s:s, s:f, s:I, s:b}", "from", move->from, "to",
                     move->to, "first_share", move->first_percent / 100,
                     "deadline_sec", (json_int_t)move->by, "withdrawn",
                     (int)move->take_back);
}

static void
set_usec(json_t *object, const char *name, double usec)
{
    json_object_set_new(object, name, json_integer((json_int_t)usec));
}

static json_t *
make_service(const struct qn_answers *answers,
             const struct qn_service *service)
{
    bool engine = service->kind == CF_ENGINE;
    enum qn_prefer prefer = service->prefer == QN_AS_RISKS
                                ? answers->risks.prefer
                                : service->prefer;
    double share = spot_is_cheaper(answers)
                       ? spot_max_share[prefer][answers->risks.reclaims]
                       : 0;
    json_t *json = json_pack(
        "{s:s, s:b, s:i, s:i, s:i, s:f, s:f, s:b}", "kind",
        engine ? "engine" : "plain", "fenced", (int)service->checks_fence,
        "slots", service->requests_at_once, "replicas_min",
        service->replicas_quiet, "replicas_max", service->replicas_peak,
        "headroom", headroom[prefer], "reclaimable_max", share,
        "survive_dc_loss", (int)answers->risks.survive_data_centre_loss);
    set_usec(json, "deadline_usec",
             service->answer_within_s * Qn_USEC_PER_SEC);
    if (engine) {
        set_usec(json, "first_token_usec",
                 service->first_token_ms * Qn_USEC_PER_MSEC);
        set_usec(json, "token_usec",
                 service->between_tokens_ms * Qn_USEC_PER_MSEC);
    }
    else {
        json_object_set_new(json, "prefix", json_string(service->path));
        json_object_set_new(json, "idempotent",
                            json_boolean(service->repeatable));
    }
    if (service->moving || service->version[0] != '\0') {
        json_object_set_new(json, "move", make_move(service));
    }
    return json;
}

static json_t *
make_services(const struct qn_answers *answers)
{
    json_t *list = json_object();
    for (size_t i = 0; i < answers->service_count; i++) {
        const struct qn_service *service = &answers->services[i];
        json_object_set_new(list, service->name,
                            make_service(answers, service));
    }
    return list;
}

/* Adds a document if it passes the check that every daemon makes. */
static enum st_status
add_document(struct qn_documents *documents, const char *section, json_t *body)
{
    struct qn_document *document = &documents->items[documents->count];
    struct cf_parsed_section *parsed = NULL;
    enum st_status status = Cf_ParseSection(section, body, &parsed);
    Cf_ParsedSectionDestroy(parsed);
    if (status == ST_OK) {
        strlcpy(document->section, section, sizeof(document->section));
        document->body = json_dumps(body, JSON_INDENT(2) | JSON_SORT_KEYS |
                                              JSON_REAL_PRECISION(6));
        documents->count++;
        status = document->body != NULL
                     ? ST_OK
                     : St_Fail(ST_NO_MEMORY, "no memory for %s", section);
    }
    json_decref(body);
    return status;
}

/* Makes the checks across sections that every daemon makes. */
static enum st_status
check_documents(const struct qn_documents *documents)
{
    struct cf_section sections[2];
    for (size_t i = 0; i < documents->count; i++) {
        sections[i].name = documents->items[i].section;
        sections[i].json = documents->items[i].body;
    }
    struct cf_config *config = NULL;
    enum st_status status = Cf_Build(sections, documents->count, 0, &config);
    Cf_Destroy(config);
    return status;
}

/*
 * Generates the section documents; the platform section comes first if the
 * answers have one.  The caller must clear "out" also after a failure.
 */
enum st_status
Qn_Generate(const struct qn_answers *answers, struct qn_documents *out)
{
    memset(out, 0, sizeof(*out));
    enum st_status status = ST_OK;
    if (answers->has_platform) {
        status = add_document(out, Cf_PLATFORM,
                              json_pack("{s:o, s:o}", "data_centres",
                                        make_data_centres(answers), "teams",
                                        make_teams(answers)));
    }
    char section[Cf_SECTION_MAX];
    snprintf(section, sizeof(section), Cf_TEAM_PREFIX "%s", answers->team);
    if (status == ST_OK) {
        status = add_document(out, section,
                              json_pack("{s:o, s:o}", "customers",
                                        make_callers(answers), "services",
                                        make_services(answers)));
    }
    if (status == ST_OK && answers->has_platform) {
        status = check_documents(out);
    }
    return status;
}

void
Qn_DocumentsClear(struct qn_documents *documents)
{
    for (size_t i = 0; i < documents->count; i++) {
        free(documents->items[i].body);
    }
    memset(documents, 0, sizeof(*documents));
}
