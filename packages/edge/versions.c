#include "edge/versions.h"

#include <stdio.h>

#define Vs_LABELS_MAX (4 * Ec_NAME_MAX + 64)

static void
count_by_reason(struct mt_registry *registry, const char *name,
                const struct fl_entry *entry, const char *why)
{
    char labels[Vs_LABELS_MAX];
    snprintf(labels, sizeof(labels),
             "service=\"%s\",version=\"%s\",why=\"%s\"", entry->service,
             entry->version, why);
    Mt_Add(Mt_Get(registry, MT_COUNTER, name, labels), 1);
}

void
Vs_CountSent(struct mt_registry *registry, const struct fl_entry *entry,
             const char *why)
{
    count_by_reason(registry, "cornelgate_version_sent_total", entry, why);
}

void
Vs_CountUnjudged(struct mt_registry *registry, const struct fl_entry *entry,
                 const char *why)
{
    count_by_reason(registry, "cornelgate_version_unjudged_total", entry, why);
}

void
Vs_CountAnswer(struct mt_registry *registry, const struct fl_entry *entry)
{
    char labels[Vs_LABELS_MAX];
    snprintf(labels, sizeof(labels), "service=\"%s\",version=\"%s\"",
             entry->service, entry->version);
    Mt_Add(Mt_Get(registry, MT_COUNTER, "cornelgate_answers_total", labels),
           1);
}

static const char *
state_of(const struct fl_endpoint *endpoint)
{
    if (Fl_Usable(endpoint)) {
        return "serving";
    }
    return endpoint->evacuated ? "evacuated" : "draining";
}

void
Vs_UpdateEndpoints(struct mt_registry *registry, const struct fl_fleet *fleet)
{
    static const char name[] = "cornelgate_endpoints";
    Mt_Clear(registry, name);
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(fleet), link) {
        const struct fl_entry *entry = &endpoint->entry;
        char labels[Vs_LABELS_MAX];
        snprintf(labels, sizeof(labels),
                 "service=\"%s\",zone=\"%s\",version=\"%s\",state=\"%s\"",
                 entry->service, entry->zone, entry->version,
                 state_of(endpoint));
        Mt_Add(Mt_Get(registry, MT_GAUGE, name, labels), 1);
    }
}
