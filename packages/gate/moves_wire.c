#include "gate/moves_wire.h"

#include <bsd/string.h>
#include <string.h>

static const char *
text_of(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text != NULL ? text : "";
}

static int64_t
number_of(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

/* Encodes the body of a record; a new reference. */
json_t *
Mw_WriteRecord(const struct mw_record *record)
{
    const struct mv_move *move = &record->move;
    const struct mv_plan *plan = &move->plan;
    return json_pack(
        "{s:I,s:s,s:s,s:s,s:f,s:I,s:b,s:i,s:f,s:I,s:I,s:I,s:b,s:s,s:s}",
        "fence", (json_int_t)record->fence, "service", plan->service, "from",
        plan->from, "to", plan->to, "first_share", plan->first_share,
        "deadline", (json_int_t)plan->deadline, "withdrawn", plan->withdrawn,
        "phase", (int)move->phase, "share", move->share, "started",
        (json_int_t)move->started, "phase_since",
        (json_int_t)move->phase_since, "step_since",
        (json_int_t)move->step_since, "peak_seen", move->peak_seen, "reason",
        move->reason, "sentence", record->sentence);
}

/* Decodes the body of a record; false when it is malformed. */
bool
Mw_ReadRecord(const json_t *body, struct mw_record *out)
{
    memset(out, 0, sizeof(*out));
    struct mv_move *move = &out->move;
    struct mv_plan *plan = &move->plan;
    int phase = (int)number_of(body, "phase");
    out->fence = (uint64_t)number_of(body, "fence");
    strlcpy(plan->service, text_of(body, "service"), sizeof(plan->service));
    strlcpy(plan->from, text_of(body, "from"), sizeof(plan->from));
    strlcpy(plan->to, text_of(body, "to"), sizeof(plan->to));
    plan->first_share =
        json_number_value(json_object_get(body, "first_share"));
    plan->deadline = number_of(body, "deadline");
    plan->withdrawn = json_is_true(json_object_get(body, "withdrawn"));
    move->phase = (enum mv_phase)phase;
    move->share = json_number_value(json_object_get(body, "share"));
    move->started = number_of(body, "started");
    move->phase_since = number_of(body, "phase_since");
    move->step_since = number_of(body, "step_since");
    move->peak_seen = json_is_true(json_object_get(body, "peak_seen"));
    strlcpy(move->reason, text_of(body, "reason"), sizeof(move->reason));
    strlcpy(out->sentence, text_of(body, "sentence"), sizeof(out->sentence));
    return plan->service[0] != '\0' && plan->to[0] != '\0' &&
           phase >= MV_PLANNED && phase <= MV_ROLLED_BACK;
}

static json_t *
pair(const uint32_t values[MV_SIDES])
{
    return json_pack("[i,i]", (int)values[MV_OLD], (int)values[MV_NEW]);
}

/* The buckets that are not empty, as [bucket, count, ...]. */
static json_t *
buckets(const uint32_t *counts)
{
    json_t *list = json_array();
    for (int i = 0; i < Mv_BUCKETS; i++) {
        if (counts[i] > 0) {
            json_array_append_new(list, json_integer(i));
            json_array_append_new(list, json_integer(counts[i]));
        }
    }
    return list;
}

/* Encodes a report as JSON text to be freed; NULL when out of memory. */
char *
Mw_WriteReport(const struct mw_report *report)
{
    json_t *cells = json_array();
    for (size_t i = 0; i < report->count; i++) {
        const struct mv_cell *cell = &report->cells[i];
        json_array_append_new(
            cells, json_pack("{s:s,s:i,s:o,s:o,s:[o,o],s:o,s:o}", "r",
                             cell->route, "c", cell->request_class, "n",
                             pair(cell->count), "f", pair(cell->failed), "t",
                             buckets(cell->first_token[MV_OLD]),
                             buckets(cell->first_token[MV_NEW]), "p",
                             pair(cell->paced), "s", pair(cell->slow_pace)));
    }
    json_t *root =
        json_pack("{s:s,s:s,s:s,s:I,s:o}", "service", report->service, "to",
                  report->to, "router", report->router, "seq",
                  (json_int_t)report->sequence, "cells", cells);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static void
read_pair(const json_t *list, uint32_t out[MV_SIDES])
{
    out[MV_OLD] = (uint32_t)json_integer_value(json_array_get(list, 0));
    out[MV_NEW] = (uint32_t)json_integer_value(json_array_get(list, 1));
}

static void
read_buckets(const json_t *list, uint32_t *out)
{
    for (size_t i = 0; i + 1 < json_array_size(list); i += 2) {
        json_int_t bucket = json_integer_value(json_array_get(list, i));
        if (bucket >= 0 && bucket < Mv_BUCKETS) {
            out[bucket] =
                (uint32_t)json_integer_value(json_array_get(list, i + 1));
        }
    }
}

static void
read_cell(const json_t *item, struct mv_cell *out)
{
    const json_t *times = json_object_get(item, "t");
    strlcpy(out->route, text_of(item, "r"), sizeof(out->route));
    out->request_class = (int)number_of(item, "c");
    read_pair(json_object_get(item, "n"), out->count);
    read_pair(json_object_get(item, "f"), out->failed);
    read_buckets(json_array_get(times, MV_OLD), out->first_token[MV_OLD]);
    read_buckets(json_array_get(times, MV_NEW), out->first_token[MV_NEW]);
    read_pair(json_object_get(item, "p"), out->paced);
    read_pair(json_object_get(item, "s"), out->slow_pace);
}

/* Decodes a report; false when it is malformed. */
bool
Mw_ReadReport(const char *text, size_t len, struct mw_report *out)
{
    memset(out, 0, sizeof(*out));
    json_t *root = json_loadb(text, len, 0, NULL);
    const json_t *cells = json_object_get(root, "cells");
    strlcpy(out->service, text_of(root, "service"), sizeof(out->service));
    strlcpy(out->to, text_of(root, "to"), sizeof(out->to));
    strlcpy(out->router, text_of(root, "router"), sizeof(out->router));
    out->sequence = (uint64_t)number_of(root, "seq");
    for (size_t i = 0; i < json_array_size(cells) && i < Mv_CELLS_MAX; i++) {
        read_cell(json_array_get(cells, i), &out->cells[i]);
        out->count++;
    }
    json_decref(root);
    return out->service[0] != '\0' && out->router[0] != '\0';
}
