#include <stdlib.h>
#include <string.h>

#include "config/config.h"

static int
key_to_customer(const void *key, const void *entry)
{
    const struct cf_customer *customer = entry;
    return strcmp(key, customer->key_digest);
}

static int
key_to_team(const void *key, const void *entry)
{
    const struct cf_team *team = entry;
    return strcmp(key, team->key_digest);
}

static int
name_to_service(const void *key, const void *entry)
{
    const struct cf_service *service = entry;
    return strcmp(key, service->name);
}

const struct cf_customer *
Cf_CustomerByKey(const struct cf_config *config, const char *key_digest)
{
    return bsearch(key_digest, config->customers, config->customer_count,
                   sizeof(struct cf_customer), key_to_customer);
}

const struct cf_service *
Cf_ServiceByName(const struct cf_config *config, const char *name)
{
    return bsearch(name, config->services, config->service_count,
                   sizeof(struct cf_service), name_to_service);
}

/* Returns the plain service with the longest prefix of the path, or NULL. */
const struct cf_service *
Cf_ServiceByPath(const struct cf_config *config, const char *path)
{
    const struct cf_service *best = NULL;
    size_t best_len = 0;
    for (size_t i = 0; i < config->service_count; i++) {
        const struct cf_service *service = &config->services[i];
        size_t len = strlen(service->prefix);
        if (len > best_len && strncmp(path, service->prefix, len) == 0) {
            best = service;
            best_len = len;
        }
    }
    return best;
}

const struct cf_team *
Cf_TeamByKey(const struct cf_config *config, const char *key_digest)
{
    return bsearch(key_digest, config->teams, config->team_count,
                   sizeof(struct cf_team), key_to_team);
}

const struct cf_team *
Cf_TeamByName(const struct cf_config *config, const char *name)
{
    for (size_t i = 0; i < config->team_count; i++) {
        if (strcmp(config->teams[i].name, name) == 0) {
            return &config->teams[i];
        }
    }
    return NULL;
}

static bool
owns(const char *team, const char *section)
{
    size_t skip = strlen(Cf_TEAM_PREFIX);
    return strncmp(section, Cf_TEAM_PREFIX, skip) == 0 &&
           strcmp(section + skip, team) == 0;
}

/*
 * Whether a team may publish a section.  Operators may publish every section,
 * editors the section of their team.  While no team exists, the bootstrap
 * author may publish the platform section and no other.
 */
bool
Cf_MayPublish(const struct cf_config *config, const char *team,
              const char *section)
{
    if (strcmp(team, Cf_BOOTSTRAP) == 0) {
        return config->team_count == 0 && strcmp(section, Cf_PLATFORM) == 0;
    }
    const struct cf_team *entry = Cf_TeamByName(config, team);
    if (entry == NULL || entry->role == CF_VIEWER) {
        return false;
    }
    return entry->role == CF_OPERATOR || owns(team, section);
}

/* Operators may read every section, other teams only their own. */
bool
Cf_MayRead(const struct cf_config *config, const char *team,
           const char *section)
{
    const struct cf_team *entry = Cf_TeamByName(config, team);
    if (entry == NULL) {
        return false;
    }
    return entry->role == CF_OPERATOR || owns(team, section);
}

/* Whether the configuration keeps new requests out of a data centre. */
bool
Cf_IsEvacuated(const struct cf_config *config, const char *data_centre)
{
    for (size_t i = 0; i < config->data_centre_count; i++) {
        const struct cf_data_centre *entry = &config->data_centres[i];
        if (entry->evacuated && strcmp(entry->name, data_centre) == 0) {
            return true;
        }
    }
    return false;
}

bool
Cf_AllowsRegion(const struct cf_regions *regions, const char *region)
{
    for (size_t i = 0; i < regions->count; i++) {
        if (strcmp(regions->names[i], region) == 0) {
            return true;
        }
    }
    return regions->count == 0;
}
