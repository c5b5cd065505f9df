/*
 * State that the lease holder records with its renewals for the next holder.
 */
#include <string.h>

#include "edge/leader_internal.h"

/*
 * A renewal is brought forward when a tenant's spending exceeds this multiple
 * of the recorded value: all daemons may die at any moment, and quota whose
 * use is not recorded could be spent again.
 */
#define Lr_RECENT_MIN_GROWTH 1.2

bool
lr_recent_increased(const struct lr_lease *duty)
{
    for (size_t i = 0; i < duty->recent_count; i++) {
        double recorded_spend = 0;
        for (size_t j = 0; j < duty->recorded_count; j++) {
            if (duty->recorded[j].tenant == duty->recent[i].tenant) {
                recorded_spend = duty->recorded[j].past.newer;
            }
        }
        if (duty->recent[i].near_limit &&
            duty->recent[i].past.newer >
                recorded_spend * Lr_RECENT_MIN_GROWTH) {
            return true;
        }
    }
    return false;
}

void
Lr_SetNeed(struct lr_lease *duty, const struct lr_need *need)
{
    for (size_t i = 0; i < duty->need_count; i++) {
        if (duty->needs[i].service == need->service) {
            duty->needs[i] = *need;
            return;
        }
    }
    if (duty->need_count < Lr_NEEDS_MAX) {
        duty->needs[duty->need_count++] = *need;
    }
}

const struct lr_need *
Lr_FindNeed(const struct lr_lease *duty, uint32_t service)
{
    for (size_t i = 0; i < duty->need_count; i++) {
        if (duty->needs[i].service == service) {
            return &duty->needs[i];
        }
    }
    return NULL;
}

void
Lr_SetRecent(struct lr_lease *duty, const struct qt_recent *rows, size_t count)
{
    duty->recent_count = count < Qt_RECENT_MAX ? count : Qt_RECENT_MAX;
    memcpy(duty->recent, rows, duty->recent_count * sizeof(*rows));
}

size_t
Lr_InheritedRecent(const struct lr_lease *duty, const struct qt_recent **out)
{
    *out = duty->inherited;
    return duty->inherited_count;
}

bool
Lr_SetMove(struct lr_lease *duty, const struct ro_status *standing)
{
    struct ro_status *found = NULL;
    for (size_t i = 0; i < duty->move_count; i++) {
        if (duty->moves[i].service == standing->service) {
            found = &duty->moves[i];
        }
    }
    if (found == NULL) {
        if (duty->move_count == Lr_MOVES_MAX) {
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
Lr_Moves(const struct lr_lease *duty, const struct ro_status **out)
{
    *out = duty->moves;
    return duty->move_count;
}
