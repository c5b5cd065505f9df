#include "edge/node.h"

#include <bsd/string.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"

#define Nd_BYTES_PER_MB (INT64_C(1024) * 1024)

static enum st_status
read_text(const json_t *file, const char *name, char *out, size_t size)
{
    const char *text = json_string_value(json_object_get(file, name));
    if (text == NULL || text[0] == '\0' || strlcpy(out, text, size) >= size) {
        return St_Fail(ST_INVALID,
                       "setting '%s' must be a text of 1 to %zu bytes", name,
                       size - 1);
    }
    return ST_OK;
}

static double
read_number(const json_t *file, const char *name, double fallback)
{
    const json_t *value = json_object_get(file, name);
    return json_is_number(value) ? json_number_value(value) : fallback;
}

static int64_t
read_msec(const json_t *file, const char *name, int64_t fallback_msec)
{
    return (int64_t)(read_number(file, name, (double)fallback_msec) *
                     (double)Ck_USEC_PER_MSEC);
}

static int64_t
read_sec(const json_t *file, const char *name, int64_t fallback_sec)
{
    return (int64_t)(read_number(file, name, (double)fallback_sec) *
                     (double)Ck_USEC_PER_SEC);
}

/*
 * Entries are "IP:PORT"; the port belongs to another service and is dropped.
 */
static void
read_seeds(const json_t *list, struct nd_node *out)
{
    size_t i;
    json_t *entry;
    json_array_foreach (list, i, entry) {
        const char *text = json_string_value(entry);
        if (text == NULL || out->seed_count == Nd_SEEDS_MAX) {
            continue;
        }
        char *seed = out->seeds[out->seed_count];
        if (strlcpy(seed, text, Nd_NAME_MAX) >= Nd_NAME_MAX) {
            continue;
        }
        seed[strcspn(seed, ":")] = '\0';
        out->seed_count++;
    }
}

static enum st_status
read_regions(const json_t *table, struct nd_node *out)
{
    const char *zone;
    json_t *region;
    json_object_foreach ((json_t *)table, zone, region) {
        struct nd_region *entry = &out->regions[out->region_count];
        const char *text = json_string_value(region);
        if (out->region_count == Nd_ZONES_MAX || text == NULL ||
            strlcpy(entry->zone, zone, Nd_NAME_MAX) >= Nd_NAME_MAX ||
            strlcpy(entry->region, text, Nd_NAME_MAX) >= Nd_NAME_MAX) {
            return St_Fail(ST_INVALID,
                           "setting 'regions' must name the region of each "
                           "data centre, %d at most; '%s' does not fit",
                           Nd_ZONES_MAX, zone);
        }
        out->region_count++;
    }
    return ST_OK;
}

static bool
list_contains(const json_t *list, const char *wanted)
{
    size_t i;
    json_t *entry;
    json_array_foreach (list, i, entry) {
        const char *text = json_string_value(entry);
        if (text != NULL && strcmp(text, wanted) == 0) {
            return true;
        }
    }
    return false;
}

/* Defaults for absent settings are common values. */
static void
read_limits(const json_t *file, struct nd_node *out)
{
    out->max_fds = (int)read_number(file, "max_fds", 1024);
    out->memory_bytes =
        (int64_t)read_number(file, "memory_mb", 256) * Nd_BYTES_PER_MB;
    out->link_mbps = (int)read_number(file, "link_mbps", 0);
    out->heartbeat_usec = read_msec(file, "heartbeat_ms", 1200);
    out->drain_usec = read_msec(file, "drain_ms", 2000);
    out->config_apply_usec = read_msec(file, "config_apply_ms", 2000);
    out->grace_usec = read_sec(file, "grace_s", 8);
    out->retry_ratio = read_number(file, "retry_ratio", 0.1);
    out->retry_window_usec = read_sec(file, "retry_window_s", 10);
    out->retry_extra = read_number(file, "retry_extra", 0);
    out->quota_window_usec = read_sec(file, "quota_window_s", 8);
    out->quota_slack = read_number(file, "quota_slack", 0);
    out->lease_usec = read_msec(file, "lease_ms", 3000);
    out->usage_window_usec = read_sec(file, "usage_window_s", 5);
    out->usage_late_usec = read_sec(file, "usage_late_s", 10);
}

static enum st_status
read_file(const json_t *file, struct nd_node *out)
{
    const struct {
        const char *name;
        char *to;
    } texts[] = {
        {"name", out->name},   {"ip", out->ip},
        {"zone", out->zone},   {"callers", out->callers},
        {"ready", out->ready}, {"store", out->store},
        {"cloud", out->cloud},
    };
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        if (read_text(file, texts[i].name, texts[i].to, Nd_NAME_MAX) !=
            ST_OK) {
            return ST_INVALID;
        }
    }
    const json_t *ports = json_object_get(file, "ports");
    out->peer_port = (int)json_integer_value(json_array_get(ports, 0));
    if (out->peer_port <= 0) {
        return St_Fail(ST_INVALID, "setting 'ports' must be [FIRST, LAST]");
    }
    out->metrics_port =
        (int)read_number(file, "metrics_port", out->peer_port + 1);
    out->tunnel_port =
        (int)read_number(file, "through_port", out->peer_port + 2);
    out->first_start = json_is_true(json_object_get(file, "first_start"));
    const json_t *duties = json_object_get(file, "duties");
    out->report_usage = list_contains(duties, "usage_report");
    out->order_endpoints = list_contains(duties, "autoscale");
    read_seeds(json_object_get(file, "seeds"), out);
    read_limits(file, out);
    return read_regions(json_object_get(file, "regions"), out);
}

const char *
Nd_Region(const struct nd_node *node, const char *zone)
{
    for (size_t i = 0; i < node->region_count; i++) {
        if (strcmp(node->regions[i].zone, zone) == 0) {
            return node->regions[i].region;
        }
    }
    return "";
}

enum st_status
Nd_Read(const char *path, struct nd_node *out)
{
    memset(out, 0, sizeof(*out));
    json_error_t error;
    json_t *file = json_load_file(path, 0, &error);
    if (file == NULL) {
        return St_Fail(ST_INVALID, "settings %s, line %d: %s", path,
                       error.line, error.text);
    }
    enum st_status status = read_file(file, out);
    json_decref(file);
    return status;
}
