#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "config/parsed_section.h"

typedef int (*compare_fn)(const void *, const void *);

static int
data_centre_by_name(const void *a, const void *b)
{
    const struct cf_data_centre *x = a;
    const struct cf_data_centre *y = b;
    return strcmp(x->name, y->name);
}

static int
team_by_key(const void *a, const void *b)
{
    const struct cf_team *x = a;
    const struct cf_team *y = b;
    return strcmp(x->key_digest, y->key_digest);
}

static int
customer_by_key(const void *a, const void *b)
{
    const struct cf_customer *x = a;
    const struct cf_customer *y = b;
    return strcmp(x->key_digest, y->key_digest);
}

static int
service_by_name(const void *a, const void *b)
{
    const struct cf_service *x = a;
    const struct cf_service *y = b;
    return strcmp(x->name, y->name);
}

static int
pointer_by_text(const void *a, const void *b)
{
    const char *const *x = a;
    const char *const *y = b;
    return strcmp(*x, *y);
}

/* Allocates lists that hold the entries of all sections; counts stay 0. */
static enum st_status
alloc_lists(const struct cf_parsed_section *const *parsed, size_t count,
            struct cf_config *config)
{
    size_t data_centres = 1;
    size_t teams = 1;
    size_t customers = 1;
    size_t services = 1;
    for (size_t i = 0; i < count; i++) {
        data_centres += parsed[i]->data_centre_count;
        teams += parsed[i]->team_count;
        customers += parsed[i]->customer_count;
        services += parsed[i]->service_count;
    }
    config->data_centres = calloc(data_centres, sizeof(struct cf_data_centre));
    config->teams = calloc(teams, sizeof(struct cf_team));
    config->customers = calloc(customers, sizeof(struct cf_customer));
    config->services = calloc(services, sizeof(struct cf_service));
    if (config->data_centres == NULL || config->teams == NULL ||
        config->customers == NULL || config->services == NULL) {
        return St_Fail(ST_NO_MEMORY,
                       "no memory for a configuration of %zu "
                       "customers",
                       customers);
    }
    return ST_OK;
}

static void
add_list(void *to, size_t *to_count, const void *from, size_t from_count,
         size_t size)
{
    if (from_count > 0) {
        memcpy((char *)to + *to_count * size, from, from_count * size);
        *to_count += from_count;
    }
}

static void
add_section(struct cf_config *config, const struct cf_parsed_section *section)
{
    add_list(config->data_centres, &config->data_centre_count,
             section->data_centres, section->data_centre_count,
             sizeof(struct cf_data_centre));
    add_list(config->teams, &config->team_count, section->teams,
             section->team_count, sizeof(struct cf_team));
    add_list(config->customers, &config->customer_count, section->customers,
             section->customer_count, sizeof(struct cf_customer));
    add_list(config->services, &config->service_count, section->services,
             section->service_count, sizeof(struct cf_service));
}

static void
sort_lists(struct cf_config *config)
{
    qsort(config->data_centres, config->data_centre_count,
          sizeof(struct cf_data_centre), data_centre_by_name);
    qsort(config->teams, config->team_count, sizeof(struct cf_team),
          team_by_key);
    qsort(config->customers, config->customer_count,
          sizeof(struct cf_customer), customer_by_key);
    qsort(config->services, config->service_count, sizeof(struct cf_service),
          service_by_name);
}

/* Sorts the texts and returns one that occurs twice, or NULL. */
static const char *
find_duplicate(const char **texts, size_t count)
{
    qsort(texts, count, sizeof(texts[0]), pointer_by_text);
    for (size_t i = 1; i < count; i++) {
        if (strcmp(texts[i - 1], texts[i]) == 0) {
            return texts[i];
        }
    }
    return NULL;
}

/*
 * Checks that customer names, key digests and prefixes are unique across all
 * sections.  If two customers had the same key, one of them would get the
 * limits and the answers of the other.
 */
static enum st_status
check_unique(const struct cf_config *config)
{
    size_t max_count = config->team_count + config->customer_count +
                       config->service_count + 1;
    const char **texts = calloc(max_count, sizeof(texts[0]));
    if (texts == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory to check %zu names",
                       max_count);
    }
    enum st_status status = ST_OK;
    size_t n = 0;
    for (size_t i = 0; i < config->customer_count; i++) {
        texts[n++] = config->customers[i].name;
    }
    const char *duplicate = find_duplicate(texts, n);
    if (duplicate != NULL) {
        status = St_Fail(ST_INVALID,
                         "the customer %s stands in two sections: rename one "
                         "of them",
                         duplicate);
        goto out;
    }
    n = 0;
    for (size_t i = 0; i < config->customer_count; i++) {
        texts[n++] = config->customers[i].key_digest;
    }
    for (size_t i = 0; i < config->team_count; i++) {
        texts[n++] = config->teams[i].key_digest;
    }
    duplicate = find_duplicate(texts, n);
    if (duplicate != NULL) {
        status = St_Fail(ST_INVALID,
                         "the key digest %s is used twice: make a key of its "
                         "own for each with 'cornelctl key NAME'",
                         duplicate);
        goto out;
    }
    n = 0;
    for (size_t i = 0; i < config->service_count; i++) {
        if (config->services[i].prefix[0] != '\0') {
            texts[n++] = config->services[i].prefix;
        }
    }
    duplicate = find_duplicate(texts, n);
    if (duplicate != NULL) {
        status = St_Fail(ST_INVALID,
                         "the prefix %s belongs to two services: give each "
                         "service a prefix of its own",
                         duplicate);
    }
out:
    free(texts);
    return status;
}

static enum st_status
check_services(const struct cf_config *config)
{
    for (size_t i = 1; i < config->service_count; i++) {
        const struct cf_service *one = &config->services[i - 1];
        const struct cf_service *two = &config->services[i];
        if (strcmp(one->name, two->name) == 0) {
            return St_Fail(ST_INVALID,
                           "the service %s stands in the sections of teams "
                           "%s and %s: rename one of them",
                           one->name, one->team, two->team);
        }
    }
    return ST_OK;
}

/*
 * Requires an operator: only an operator may change the platform section, so
 * without one nobody could ever change it again.
 */
static enum st_status
check_operator(const struct cf_config *config)
{
    for (size_t i = 0; i < config->team_count; i++) {
        if (config->teams[i].role == CF_OPERATOR) {
            return ST_OK;
        }
    }
    return St_Fail(ST_INVALID, "no team has the role \"operator\": give it to "
                               "one team, or nobody could change this "
                               "section again");
}

static enum st_status
check_owner(const struct cf_config *config,
            const struct cf_parsed_section *section)
{
    if (strcmp(section->name, Cf_PLATFORM) == 0) {
        return check_operator(config);
    }
    const char *team = section->name + strlen(Cf_TEAM_PREFIX);
    bool empty = section->customer_count == 0 && section->service_count == 0;
    if (empty || Cf_TeamByName(config, team) != NULL) {
        return ST_OK;
    }
    return St_Fail(ST_INVALID,
                   "section %s has customers or services, but the platform "
                   "section names no team %s: add the team there first, or "
                   "empty its section before removing the team",
                   section->name, team);
}

/*
 * Merges parsed sections into a configuration and checks them against each
 * other.  With ST_INVALID the message names the conflict and the remedy.
 */
enum st_status
Cf_Assemble(const struct cf_parsed_section *const *parsed, size_t count,
            uint64_t offset, struct cf_config **out)
{
    struct cf_config *config = calloc(1, sizeof(*config));
    if (config == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a configuration");
    }
    config->references = 1;
    config->offset = offset;
    enum st_status status = alloc_lists(parsed, count, config);
    if (status == ST_OK) {
        for (size_t i = 0; i < count; i++) {
            add_section(config, parsed[i]);
        }
        sort_lists(config);
        status = check_unique(config);
    }
    if (status == ST_OK) {
        status = check_services(config);
    }
    for (size_t i = 0; i < count && status == ST_OK; i++) {
        status = check_owner(config, parsed[i]);
    }
    if (status != ST_OK) {
        Cf_Destroy(config);
        return status;
    }
    *out = config;
    return ST_OK;
}

static enum st_status
parse_section(const struct cf_section *section, struct cf_parsed_section **out)
{
    json_error_t error;
    json_t *body = json_loads(section->json, JSON_REJECT_DUPLICATES, &error);
    if (body == NULL) {
        St_Fail(ST_INVALID, "section %s, line %d: %s: mend the JSON",
                section->name, error.line, error.text);
        return ST_INVALID;
    }
    enum st_status status = Cf_KeyListsByName(section->name, body);
    if (status == ST_OK) {
        status = Cf_ParseSection(section->name, body, out);
    }
    json_decref(body);
    return status;
}

/*
 * Builds a configuration from whole section documents; the caller holds one
 * reference.  With ST_INVALID the message names the section and the remedy.
 */
enum st_status
Cf_Build(const struct cf_section *sections, size_t count, uint64_t offset,
         struct cf_config **out)
{
    enum st_status status = ST_OK;
    struct cf_parsed_section **parsed = calloc(count + 1, sizeof(*parsed));
    if (parsed == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for %zu sections", count);
    }
    for (size_t i = 0; i < count && status == ST_OK; i++) {
        status = parse_section(&sections[i], &parsed[i]);
    }
    if (status == ST_OK) {
        status = Cf_Assemble((const struct cf_parsed_section *const *)parsed,
                             count, offset, out);
    }
    for (size_t i = 0; i < count; i++) {
        Cf_ParsedSectionDestroy(parsed[i]);
    }
    free(parsed);
    return status;
}

/*
 * Adds a reference, so that a request keeps the configuration under which it
 * started.  Cf_Destroy() releases it.
 */
struct cf_config *
Cf_Ref(struct cf_config *config)
{
    config->references++;
    return config;
}

/* Releases a reference and frees with the last one; NULL is allowed. */
void
Cf_Destroy(struct cf_config *config)
{
    if (config == NULL || --config->references > 0) {
        return;
    }
    free(config->data_centres);
    free(config->teams);
    free(config->customers);
    free(config->services);
    free(config);
}
