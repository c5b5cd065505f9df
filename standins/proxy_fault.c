#include <string.h>

#include "base/clock.h"
#include "standins/proxy.h"

static int64_t
value_of(const json_t *spec, const char *mode)
{
    const json_t *value = json_object_get(spec, "value");
    if (value == NULL) {
        value = json_object_get(spec, mode);
    }
    return json_integer_value(value);
}

static bool
add_to_way(struct px_way_faults *way, const char *mode, int64_t value)
{
    if (strcmp(mode, "blackhole") == 0) {
        way->blackhole = true;
    }
    else if (strcmp(mode, "half_close") == 0) {
        way->half_close = true;
    }
    else if (strcmp(mode, "delay_ms") == 0) {
        way->delay_usec = value * Ck_USEC_PER_MSEC;
    }
    else if (strcmp(mode, "slow_bytes") == 0) {
        way->slow_bytes = value > 0 ? value : 1;
    }
    else if (strcmp(mode, "reset_after_bytes") == 0) {
        way->reset_after = value > 0 ? value : 1;
    }
    else if (strcmp(mode, "drop_percent") == 0) {
        way->drop_percent = (int)value;
    }
    else if (strcmp(mode, "duplicate_percent") == 0) {
        way->duplicate_percent = (int)value;
    }
    else {
        return false;
    }
    return true;
}

/*
 * Adds a fault to those in force: a mode, its value, and a direction ("up",
 * "down"; missing: both).  Fails with ST_INVALID for an unknown mode.
 */
enum st_status
Px_FaultAdd(struct px_faults *faults, const json_t *spec)
{
    const char *mode = json_string_value(json_object_get(spec, "mode"));
    const char *only = json_string_value(json_object_get(spec, "direction"));
    if (mode == NULL) {
        return St_Fail(ST_INVALID, "name a fault as \"mode\"");
    }
    if (strcmp(mode, "cut") == 0) {
        faults->cut = true;
        return ST_OK;
    }
    if (strcmp(mode, "refuse") == 0) {
        faults->refuse = true;
        return ST_OK;
    }
    int64_t value = value_of(spec, mode);
    bool known = true;
    if (only == NULL || strcmp(only, "up") == 0) {
        known = add_to_way(&faults->ways[PX_UP], mode, value);
    }
    if (only == NULL || strcmp(only, "down") == 0) {
        known = add_to_way(&faults->ways[PX_DOWN], mode, value);
    }
    return known ? ST_OK
                 : St_Fail(ST_INVALID, "\"%s\" is no fault of a proxy", mode);
}
