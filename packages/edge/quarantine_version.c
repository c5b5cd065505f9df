#include "edge/quarantine_version.h"

#include <stdlib.h>
#include <string.h>

#include "edge/demand.h"

#define Qv_SERVICES_MAX 16

/* The last version that all endpoints of a service had in common. */
struct service_version {
    uint32_t service;
    uint32_t version; /* 0: none yet */
};

struct qv_versions {
    qv_fn changed;
    void *arg;
    size_t count;
    struct service_version rows[Qv_SERVICES_MAX];
};

struct qv_versions *
Qv_Create(qv_fn changed, void *arg)
{
    struct qv_versions *versions = calloc(1, sizeof(*versions));
    if (versions != NULL) {
        versions->changed = changed;
        versions->arg = arg;
    }
    return versions;
}

void
Qv_Destroy(struct qv_versions *versions)
{
    free(versions);
}

static struct service_version *
find_or_add(struct qv_versions *versions, uint32_t service)
{
    for (size_t i = 0; i < versions->count; i++) {
        if (versions->rows[i].service == service) {
            return &versions->rows[i];
        }
    }
    if (versions->count == Qv_SERVICES_MAX) {
        return NULL;
    }
    struct service_version *added = &versions->rows[versions->count++];
    *added = (struct service_version){.service = service};
    return added;
}

/* Whether all usable endpoints of the service have this version. */
static bool
all_have_version(const struct fl_fleet *fleet, const char *service,
                 const char *version)
{
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(fleet), link) {
        if (Fl_Usable(endpoint) &&
            strcmp(endpoint->entry.service, service) == 0 &&
            strcmp(endpoint->entry.version, version) != 0) {
            return false;
        }
    }
    return true;
}

void
Qv_Update(struct qv_versions *versions, const struct fl_fleet *fleet)
{
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(fleet), link) {
        const struct fl_entry *entry = &endpoint->entry;
        uint32_t service = De_Hash(entry->service);
        uint32_t version = De_Hash(entry->version);
        struct service_version *last = find_or_add(versions, service);
        if (last == NULL || last->version == version || !Fl_Usable(endpoint) ||
            !all_have_version(fleet, entry->service, entry->version)) {
            continue;
        }
        if (last->version != 0) {
            versions->changed(versions->arg, service);
        }
        last->version = version;
    }
}
