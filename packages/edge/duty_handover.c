/*
 * State that the lease holder records with its renewals for the next holder.
 */
#include <string.h>

#include "edge/duty_internal.h"

/*
 * A renewal is brought forward when a tenant's spending exceeds this multiple
 * of the recorded value: all daemons may die at any moment, and quota whose
 * use is not recorded could be spent again.
 */
#define Du_RECENT_MIN_GROWTH 1.2

bool
du_recent_increased(const struct du_duty *duty)
{
    for (size_t i = 0; i < duty->recent_count; i++) {
        double recorded_spend = 0;
        for (size_t j = 0; j < duty->recorded_count; j++) {
            if (duty->recorded[j].tenant == duty->recent[i].tenant) {
                recorded_spend = duty->recorded[j].past.newer;
            }
        }
        if (duty->recent[i].heavy &&
            duty->recent[i].past.newer >
                recorded_spend * Du_RECENT_MIN_GROWTH) {
            return true;
        }
    }
    return false;
}

void
Du_SetNeed(struct du_duty *duty, const struct du_need *need)
{
    for (size_t i = 0; i < duty->need_count; i++) {
        if (duty->needs[i].service == need->service) {
            duty->needs[i] = *need;
            return;
        }
    }
    if (duty->need_count < Du_NEEDS_MAX) {
        duty->needs[duty->need_count++] = *need;
    }
}

const struct du_need *
Du_FindNeed(const struct du_duty *duty, uint32_t service)
{
    for (size_t i = 0; i < duty->need_count; i++) {
        if (duty->needs[i].service == service) {
            return &duty->needs[i];
        }
    }
    return NULL;
}

void
Du_SetRecent(struct du_duty *duty, const struct qt_recent *rows, size_t count)
{
    duty->recent_count = count < Qt_RECENT_MAX ? count : Qt_RECENT_MAX;
    memcpy(duty->recent, rows, duty->recent_count * sizeof(*rows));
}

size_t
Du_InheritedRecent(const struct du_duty *duty, const struct qt_recent **out)
{
    *out = duty->inherited;
    return duty->inherited_count;
}

bool
Du_SetMove(struct du_duty *duty, const struct ro_standing *standing)
{
    struct ro_standing *found = NULL;
    for (size_t i = 0; i < duty->move_count; i++) {
        if (duty->moves[i].service == standing->service) {
            found = &duty->moves[i];
        }
    }
    if (found == NULL) {
        if (duty->move_count == Du_MOVES_MAX) {
            return false;
        }
        found = &duty->moves[duty->move_count++];
        memset(found, 0, sizeof(*found));
    }
    if (found->order != standing->order || found->state != standing->state ||
        found->service != standing->service) {
        *found = *standing;
        duty->moves_recorded = false;
        duty->moves_sent = false;
    }
    return duty->moves_recorded;
}

size_t
Du_Moves(const struct du_duty *duty, const struct ro_standing **out)
{
    *out = duty->moves;
    return duty->move_count;
}
