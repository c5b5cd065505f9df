#include "gate/status.h"

#include "gate/endpoints.h"

static const char *
state_name(enum ch_state state)
{
    switch (state) {
    case CH_LIVE:
        return "live";
    case CH_SUSPECT:
        return "suspect";
    case CH_LEAVING:
        return "leaving";
    }
    return "live";
}

static json_t *
endpoint_status(const struct gt_gate *gate, const struct ch_endpoint *endpoint,
                int64_t now)
{
    const struct ch_info *info = Ch_Info(endpoint);
    const char *state = state_name(Ch_State(endpoint));
    if (Ch_IsCold(endpoint, now) && Ch_State(endpoint) == CH_LIVE) {
        state = "cold";
    }
    if (Ch_Ejected(endpoint, now)) {
        state = "ejected";
    }
    if (Cf_IsEvacuated(gate->config, info->data_centre)) {
        state = "evacuated";
    }
    return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i}", "id", info->id,
                     "data_centre", info->data_centre, "version",
                     info->version, "state", state, "in_flight",
                     Ch_InFlight(endpoint), "limit", Ch_Limit(endpoint));
}

static json_t *
service_status(const struct gt_gate *gate, const struct cf_service *service)
{
    int64_t now = Ck_Now(gate->clock);
    json_t *endpoints = json_array();
    const struct ch_table *table = Ep_Table(gate->endpoints, service->name);
    struct ch_endpoint *endpoint = table != NULL ? Ch_First(table) : NULL;
    for (; endpoint != NULL; endpoint = Ch_Next(endpoint)) {
        json_array_append_new(endpoints, endpoint_status(gate, endpoint, now));
    }
    return json_pack("{s:s,s:s,s:s,s:s,s:o}", "name", service->name, "team",
                     service->team, "kind",
                     service->kind == CF_ENGINE ? "engine" : "plain",
                     "version", service->move.to, "endpoints", endpoints);
}

/* A new array of the services with their endpoints, in this daemon's view. */
json_t *
Sd_Services(const struct gt_gate *gate)
{
    json_t *list = json_array();
    const struct cf_config *config = gate->config;
    for (size_t i = 0; config != NULL && i < config->service_count; i++) {
        json_array_append_new(list,
                              service_status(gate, &config->services[i]));
    }
    return list;
}
