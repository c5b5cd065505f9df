/* The command that evacuates a data centre or returns it to service. */
#include <stdio.h>
#include <string.h>

#include "admin.h"
#include "config/config.h"

static const json_t *
find_section(const json_t *config, const char *wanted)
{
    size_t i;
    json_t *entry;
    json_array_foreach (json_object_get(config, "sections"), i, entry) {
        const char *name = json_string_value(json_object_get(entry, "name"));
        if (name != NULL && strcmp(name, wanted) == 0) {
            return entry;
        }
    }
    return NULL;
}

/* Fails with a message that lists the configured data centres. */
static enum st_status
fail_unknown(const json_t *centres, const char *wanted)
{
    char names[512] = "";
    const char *name;
    json_t *value;
    json_object_foreach ((json_t *)centres, name, value) {
        size_t at = strlen(names);
        snprintf(names + at, sizeof(names) - at, "%s%s", at > 0 ? ", " : "",
                 name);
    }
    return St_Fail(ST_NOT_FOUND,
                   "there is no data centre \"%s\": name one of %s", wanted,
                   names[0] != '\0' ? names : "those that you publish first");
}

/*
 * Publishes the evacuation or return unless the data centre already has that
 * state.  "offset" receives the log offset of the change, or of the
 * configuration in force if nothing changed.
 */
static enum st_status
set_evacuated(struct am_session *session, const struct ct_options *options,
              int64_t deadline, const json_t *config, uint64_t *offset)
{
    const json_t *section = find_section(config, Cf_PLATFORM);
    const json_t *centres =
        json_object_get(json_object_get(section, "body"), "data_centres");
    const json_t *centre = json_object_get(centres, options->operand);
    if (centre == NULL) {
        return fail_unknown(centres, options->operand);
    }
    *offset =
        (uint64_t)json_integer_value(json_object_get(config, "in_force"));
    if (json_is_true(json_object_get(centre, "evacuated")) != options->back) {
        printf("%s: unchanged\n", options->operand);
        return ST_OK;
    }
    json_t *patch = json_pack("{s:{s:{s:b}}}", "data_centres",
                              options->operand, "evacuated", !options->back);
    struct am_change change = {
        .section = Cf_PLATFORM,
        .base =
            (uint64_t)json_integer_value(json_object_get(section, "offset")),
        .patch = true,
        .body = patch,
    };
    enum st_status status = Am_Publish(session, deadline, &change);
    json_decref(patch);
    if (status == ST_OK) {
        *offset = change.offset;
    }
    return status;
}

static long long
count_in_flight(const json_t *status, const char *centre)
{
    long long in_flight = 0;
    size_t i;
    size_t j;
    json_t *service;
    json_t *endpoint;
    json_array_foreach (json_object_get(status, "services"), i, service) {
        json_array_foreach (json_object_get(service, "endpoints"), j,
                            endpoint) {
            const char *data_centre =
                json_string_value(json_object_get(endpoint, "data_centre"));
            if (data_centre != NULL && strcmp(data_centre, centre) == 0) {
                in_flight +=
                    json_integer_value(json_object_get(endpoint, "in_flight"));
            }
        }
    }
    return in_flight;
}

/* Prints how many requests each daemon has in flight in a data centre. */
static void
print_in_flight(struct am_session *session, const char *centre)
{
    for (size_t i = 0; i < session->targets.count; i++) {
        const struct ar_target *target = &session->targets.items[i];
        json_t *status;
        session->current = i;
        if (Am_Call(session, "GET", "/admin/v1/status", NULL, &status) ==
            ST_OK) {
            printf("%s port %d: %lld requests under way in %s\n",
                   target->address, target->port,
                   count_in_flight(status, centre), centre);
        }
        json_decref(status);
    }
}

/* cornelctl evacuate DATA-CENTRE [--back] --admin LIST [--wait SECONDS] */
int
Ct_Evacuate(const struct ct_options *options)
{
    struct am_session session;
    json_t *config = NULL;
    uint64_t offset = 0;
    int64_t began = Ck_Now(Ck_System());
    int64_t deadline = began + options->wait_usec;
    enum st_status status = Am_Open(options, &session);
    if (status == ST_OK) {
        status = Am_Get(&session, "/admin/v1/config", &config);
    }
    if (status == ST_OK) {
        status = set_evacuated(&session, options, deadline, config, &offset);
    }
    json_decref(config);
    if (status != ST_OK) {
        return Ct_Report(status);
    }
    int done = Ct_WaitEverywhere(&session, began, deadline, offset);
    print_in_flight(&session, options->operand);
    return done;
}
