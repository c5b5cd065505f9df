#include "config/parsed_section.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "config/field.h"

#define Cf_LIST_MAX 10000   /* entries of one list of one section */
#define Cf_LOCATION_MAX 192 /* bytes of "SECTION.LIST.NAME" in messages */
#define Cf_REMEDY_NAME                                                        \
    "give 1 to 47 letters, digits, dots, underscores or hyphens"
#define Cf_REMEDY_DIGEST                                                      \
    "give the 32 hex digits that 'cornelctl key NAME' prints as the digest"
#define Cf_BODY_MAX (16.0 * 1024 * 1024) /* bytes */
#define Cf_REMEDY_REGIONS                                                     \
    "give a list of 1 to 16 names of regions, or leave it out for any"
#define Cf_MINUTE_USEC 6e7
#define Cf_TEN_MINUTES_USEC 6e8
#define Cf_DAY_USEC 8.64e10

#define OFFSET(type, member) offsetof(struct type, member)

static const struct fd_field data_centre_fields[] = {
    {"region", OFFSET(cf_data_centre, region), 0, 0, 0, Cf_REMEDY_NAME,
     FD_NAME, true},
    {"evacuated", OFFSET(cf_data_centre, evacuated), 0, 0, 0,
     "write true or false", FD_BOOL, false},
};

static const struct fd_field team_fields[] = {
    {"key_digest", OFFSET(cf_team, key_digest), 0, 0, 0, Cf_REMEDY_DIGEST,
     FD_DIGEST, true},
    {"role", OFFSET(cf_team, role), 0, 0, 0,
     "write \"viewer\", \"editor\" or \"operator\"", FD_ROLE, false},
};

static const struct fd_field customer_fields[] = {
    {"key_digest", OFFSET(cf_customer, key_digest), 0, 0, 0, Cf_REMEDY_DIGEST,
     FD_DIGEST, true},
    {"weight", OFFSET(cf_customer, weight), 0.001, 1000, 1,
     "give a share from 0.001 to 1000, 1 being usual", FD_DOUBLE, false},
    {"requests_per_sec", OFFSET(cf_customer, requests_per_sec), 0, 1e6, 0,
     "give requests a second up to 1000000, 0 for no limit", FD_DOUBLE, false},
    {"max_in_flight", OFFSET(cf_customer, max_in_flight), 0, 1e6, 0,
     "give a whole number up to 1000000, 0 for no limit", FD_INT, false},
    {"body_max", OFFSET(cf_customer, body_max), 1, Cf_BODY_MAX, 1024.0 * 1024,
     "give bytes from 1 to 16777216", FD_SIZE, false},
    {"regions", OFFSET(cf_customer, regions), 0, 0, 0, Cf_REMEDY_REGIONS,
     FD_REGIONS, false},
};

static const struct fd_field service_fields[] = {
    {"kind", OFFSET(cf_service, kind), 0, 0, 0,
     "write \"engine\" or \"plain\"", FD_KIND, true},
    {"prefix", OFFSET(cf_service, prefix), 0, 0, 0,
     "give a path that begins and ends with a slash, such as "
     "\"/box-office/\", without escapes or query, and not below /v1/",
     FD_PATH, false},
    {"idempotent", OFFSET(cf_service, idempotent), 0, 0, 0,
     "write true or false", FD_BOOL, false},
    {"fenced", OFFSET(cf_service, fenced), 0, 0, 0, "write true or false",
     FD_BOOL, false},
    {"first_token_usec", OFFSET(cf_service, first_token_usec), 1000,
     Cf_TEN_MINUTES_USEC, 300000, "give microseconds from 1000 to 600000000",
     FD_INT64, false},
    {"token_usec", OFFSET(cf_service, token_usec), 100, Cf_TEN_MINUTES_USEC,
     33000, "give microseconds from 100 to 600000000", FD_INT64, false},
    {"deadline_usec", OFFSET(cf_service, deadline_usec), 10000, Cf_DAY_USEC,
     60e6, "give microseconds from 10000 to one day", FD_INT64, false},
    {"slots", OFFSET(cf_service, slots), 1, 4096, 8,
     "give a whole number from 1 to 4096", FD_INT, false},
    {"replicas_min", OFFSET(cf_service, replicas_min), 0, 10000, 1,
     "give a whole number up to 10000", FD_INT, false},
    {"replicas_max", OFFSET(cf_service, replicas_max), 1, 10000, 10000,
     "give a whole number from 1 to 10000", FD_INT, false},
    {"headroom", OFFSET(cf_service, headroom), 0, 0.9, 0.2,
     "give a share from 0 to 0.9", FD_DOUBLE, false},
    {"survive_dc_loss", OFFSET(cf_service, survive_dc_loss), 0, 0, 0,
     "write true or false", FD_BOOL, false},
    {"reclaimable_max", OFFSET(cf_service, reclaimable_max), 0, 1, 1,
     "give a share from 0 to 1", FD_DOUBLE, false},
    {"cold_usec", OFFSET(cf_service, cold_usec), 0, Cf_MINUTE_USEC, 0,
     "give microseconds up to 60000000, 0 for none", FD_INT64, false},
    {"cold_per_sec", OFFSET(cf_service, cold_per_sec), 0, 1e6, 0,
     "give requests a second up to 1000000, 0 for no limit", FD_DOUBLE, false},
    {"regions", OFFSET(cf_service, regions), 0, 0, 0, Cf_REMEDY_REGIONS,
     FD_REGIONS, false},
};

static const struct fd_field move_fields[] = {
    {"from", OFFSET(cf_move, from), 0, 0, 0, Cf_REMEDY_NAME, FD_NAME, false},
    {"to", OFFSET(cf_move, to), 0, 0, 0, Cf_REMEDY_NAME, FD_NAME, true},
    {"first_share", OFFSET(cf_move, first_share), 0.0001, 0.5, 0.02,
     "give a share from 0.0001 to 0.5", FD_DOUBLE, false},
    {"deadline_sec", OFFSET(cf_move, deadline_sec), 0, 4e9, 0,
     "give seconds since 1970, 0 for no deadline", FD_INT64, false},
    {"withdrawn", OFFSET(cf_move, withdrawn), 0, 0, 0, "write true or false",
     FD_BOOL, false},
};

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

typedef enum st_status (*entry_fn)(const char *where, const json_t *object,
                                   const char *name, const char *team,
                                   void *out);

/* A list of a section: its field in the body and how an entry is read. */
struct list_kind {
    const char *name;
    bool in_platform;
    size_t entry_size;
    size_t items_offset; /* offset in struct cf_parsed_section */
    size_t count_offset;
    entry_fn read;
};

static enum st_status
read_data_centre(const char *where, const json_t *object, const char *name,
                 const char *team, void *out)
{
    struct cf_data_centre *entry = out;
    strlcpy(entry->name, name, sizeof(entry->name));
    return Fd_Read(where, object, data_centre_fields,
                   COUNT(data_centre_fields), entry);
}

static enum st_status
read_team(const char *where, const json_t *object, const char *name,
          const char *team, void *out)
{
    struct cf_team *entry = out;
    strlcpy(entry->name, name, sizeof(entry->name));
    if (strcmp(name, Cf_BOOTSTRAP) == 0) {
        return St_Fail(ST_INVALID,
                       "%s: this name is kept for the first key: choose "
                       "another name for the team",
                       where);
    }
    return Fd_Read(where, object, team_fields, COUNT(team_fields), entry);
}

static enum st_status
read_customer(const char *where, const json_t *object, const char *name,
              const char *team, void *out)
{
    struct cf_customer *entry = out;
    strlcpy(entry->name, name, sizeof(entry->name));
    strlcpy(entry->team, team, sizeof(entry->team));
    return Fd_Read(where, object, customer_fields, COUNT(customer_fields),
                   entry);
}

static enum st_status
read_move(const char *where, const json_t *object, struct cf_service *service)
{
    const json_t *move = json_object_get(object, "move");
    if (move == NULL && service->kind == CF_PLAIN) {
        return ST_OK;
    }
    if (!json_is_object(move)) {
        return St_Fail(ST_INVALID,
                       "%s.move is missing: write {\"to\": VERSION}, and "
                       "\"from\" for a move between two versions",
                       where);
    }
    char inner[Cf_LOCATION_MAX + 8];
    snprintf(inner, sizeof(inner), "%s.move", where);
    enum st_status status =
        Fd_Read(inner, move, move_fields, COUNT(move_fields), &service->move);
    if (status != ST_OK) {
        return status;
    }
    if (strcmp(service->move.from, service->move.to) == 0) {
        return St_Fail(ST_INVALID,
                       "%s goes from %s to itself: leave out \"from\" when "
                       "one version carries all traffic",
                       inner, service->move.to);
    }
    if (service->move.withdrawn && service->move.from[0] == '\0') {
        return St_Fail(ST_INVALID,
                       "%s is withdrawn but has no \"from\": name the "
                       "version to go back to",
                       inner);
    }
    return ST_OK;
}

static enum st_status
read_service(const char *where, const json_t *object, const char *name,
             const char *team, void *out)
{
    struct cf_service *entry = out;
    strlcpy(entry->name, name, sizeof(entry->name));
    strlcpy(entry->team, team, sizeof(entry->team));
    enum st_status status =
        Fd_Read(where, object, service_fields, COUNT(service_fields), entry);
    if (status != ST_OK) {
        return status;
    }
    if (entry->kind == CF_PLAIN && entry->prefix[0] == '\0') {
        return St_Fail(ST_INVALID,
                       "%s.prefix is missing: a plain service needs the path "
                       "prefix of its calls, such as \"/box-office/\"",
                       where);
    }
    if (entry->kind == CF_ENGINE && entry->prefix[0] != '\0') {
        return St_Fail(ST_INVALID,
                       "%s.prefix is \"%s\": leave it out, a model engine is "
                       "found by the name of its model",
                       where, entry->prefix);
    }
    if (entry->replicas_max < entry->replicas_min) {
        return St_Fail(ST_INVALID,
                       "%s.replicas_max is %d: give at least replicas_min, "
                       "which is %d",
                       where, entry->replicas_max, entry->replicas_min);
    }
    return read_move(where, object, entry);
}

static const struct list_kind lists[] = {
    {"data_centres", true, sizeof(struct cf_data_centre),
     OFFSET(cf_parsed_section, data_centres),
     OFFSET(cf_parsed_section, data_centre_count), read_data_centre},
    {"teams", true, sizeof(struct cf_team), OFFSET(cf_parsed_section, teams),
     OFFSET(cf_parsed_section, team_count), read_team},
    {"customers", false, sizeof(struct cf_customer),
     OFFSET(cf_parsed_section, customers),
     OFFSET(cf_parsed_section, customer_count), read_customer},
    {"services", false, sizeof(struct cf_service),
     OFFSET(cf_parsed_section, services),
     OFFSET(cf_parsed_section, service_count), read_service},
};

static enum st_status
check_entry(const char *where, const char *name, const json_t *value)
{
    if (!Cf_IsName(name)) {
        return St_Fail(ST_INVALID, "%s: the name \"%.60s\" will not do: %s",
                       where, name, Cf_REMEDY_NAME);
    }
    if (!json_is_object(value)) {
        return St_Fail(ST_INVALID,
                       "%s.%s is not an object: write its fields in braces",
                       where, name);
    }
    return ST_OK;
}

static enum st_status
read_list(const char *section, const char *team, const struct list_kind *kind,
          json_t *list, struct cf_parsed_section *parsed)
{
    size_t total = json_object_size(list);
    if (total > Cf_LIST_MAX) {
        return St_Fail(ST_INVALID, "%s.%s has %zu entries: at most %d go in",
                       section, kind->name, total, Cf_LIST_MAX);
    }
    char *items = calloc(total > 0 ? total : 1, kind->entry_size);
    if (items == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for %zu entries of %s.%s",
                       total, section, kind->name);
    }
    memcpy((char *)parsed + kind->items_offset, &items, sizeof(items));
    char prefix[Cf_SECTION_MAX + 32];
    snprintf(prefix, sizeof(prefix), "%s.%s", section, kind->name);
    const char *name;
    json_t *value;
    size_t count = 0;
    json_object_foreach (list, name, value) {
        enum st_status status = check_entry(prefix, name, value);
        if (status != ST_OK) {
            return status;
        }
        char where[Cf_LOCATION_MAX];
        snprintf(where, sizeof(where), "%s.%.47s", prefix, name);
        status = kind->read(where, value, name, team,
                            items + count * kind->entry_size);
        if (status != ST_OK) {
            return status;
        }
        count++;
    }
    memcpy((char *)parsed + kind->count_offset, &count, sizeof(count));
    return ST_OK;
}

/* Turns an array of objects with a "name" into an object keyed by name. */
static enum st_status
key_list(const char *section, const char *list_name, json_t *body)
{
    json_t *list = json_object_get(body, list_name);
    if (list == NULL || json_is_object(list)) {
        return ST_OK;
    }
    if (!json_is_array(list)) {
        return St_Fail(ST_INVALID,
                       "%s.%s is neither an object nor an array: write "
                       "{\"NAME\": {...}}",
                       section, list_name);
    }
    json_t *keyed = json_object();
    size_t i;
    json_t *value;
    json_array_foreach (list, i, value) {
        json_t *name = json_object_get(value, "name");
        if (!json_is_string(name) ||
            json_object_get(keyed, json_string_value(name)) != NULL) {
            json_decref(keyed);
            return St_Fail(ST_INVALID,
                           "%s.%s: entry %zu has no name, or one that stands "
                           "twice: give each entry a \"name\" of its own",
                           section, list_name, i + 1);
        }
        json_object_set(keyed, json_string_value(name), value);
    }
    json_object_set_new(body, list_name, keyed);
    return ST_OK;
}

/*
 * Turns the lists of a section into objects keyed by name, in place, so that
 * a merge patch can change one entry of a list.
 */
enum st_status
Cf_KeyListsByName(const char *section, json_t *body)
{
    if (!json_is_object(body)) {
        return St_Fail(ST_INVALID,
                       "the body of section %s is not an object: write its "
                       "lists in braces",
                       section);
    }
    for (size_t i = 0; i < COUNT(lists); i++) {
        enum st_status status = key_list(section, lists[i].name, body);
        if (status != ST_OK) {
            return status;
        }
    }
    return ST_OK;
}

/* Checks a section's name; sets the team, "" for the platform section. */
static enum st_status
check_name(const char *section, const char **team)
{
    size_t skip = strlen(Cf_TEAM_PREFIX);
    *team = "";
    if (strcmp(section, Cf_PLATFORM) == 0) {
        return ST_OK;
    }
    if (strncmp(section, Cf_TEAM_PREFIX, skip) == 0 &&
        Cf_IsName(section + skip)) {
        *team = section + skip;
        return ST_OK;
    }
    return St_Fail(ST_INVALID,
                   "there is no section \"%.60s\": write \"platform\" or "
                   "\"team/NAME\"",
                   section);
}

/*
 * Parses a section whose lists are keyed by name.  With ST_INVALID the
 * message names the section, the entry, the field and the remedy.
 */
enum st_status
Cf_ParseSection(const char *section, const json_t *body,
                struct cf_parsed_section **out)
{
    const char *team;
    enum st_status status = check_name(section, &team);
    if (status != ST_OK) {
        return status;
    }
    struct cf_parsed_section *parsed = calloc(1, sizeof(*parsed));
    if (parsed == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for section %s", section);
    }
    strlcpy(parsed->name, section, sizeof(parsed->name));
    for (size_t i = 0; i < COUNT(lists) && status == ST_OK; i++) {
        json_t *list = json_object_get(body, lists[i].name);
        if (list == NULL) {
            continue;
        }
        if (lists[i].in_platform != (team[0] == '\0')) {
            status = St_Fail(ST_INVALID,
                             "section %s has a list \"%s\": it belongs into "
                             "%s",
                             section, lists[i].name,
                             lists[i].in_platform ? "the platform section"
                                                  : "the section of a team");
            continue;
        }
        status = read_list(section, team, &lists[i], list, parsed);
    }
    if (status != ST_OK) {
        Cf_ParsedSectionDestroy(parsed);
        return status;
    }
    *out = parsed;
    return ST_OK;
}

/* "parsed" may be NULL. */
void
Cf_ParsedSectionDestroy(struct cf_parsed_section *parsed)
{
    if (parsed == NULL) {
        return;
    }
    free(parsed->data_centres);
    free(parsed->teams);
    free(parsed->customers);
    free(parsed->services);
    free(parsed);
}
