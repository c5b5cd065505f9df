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
lr_recent_increased(const struct lr_lease *lease)
{
    for (size_t i = 0; i < lease->recent_count; i++) {
        double recorded_spend = 0;
        for (size_t j = 0; j < lease->recorded_count; j++) {
            if (lease->recorded[j].tenant == lease->recent[i].tenant) {
                recorded_spend = lease->recorded[j].past.newer;
            }
        }
        if (lease->recent[i].near_limit &&
            lease->recent[i].past.newer >
                recorded_spend * Lr_RECENT_MIN_GROWTH) {
            return true;
        }
    }
    return false;
}

void
Lr_SetNeed(struct lr_lease *lease, const struct lr_need *need)
{
    for (size_t i = 0; i < lease->need_count; i++) {
        if (lease->needs[i].service == need->service) {
            lease->needs[i] = *need;
            return;
        }
    }
    if (lease->need_count < Lr_NEEDS_MAX) {
        lease->needs[lease->need_count++] = *need;
    }
}

const struct lr_need *
Lr_FindNeed(const struct lr_lease *lease, uint32_t service)
{
    for (size_t i = 0; i < lease->need_count; i++) {
        if (lease->needs[i].service == service) {
            return &lease->needs[i];
        }
    }
    return NULL;
}

void
Lr_SetRecent(struct lr_lease *lease, const struct qt_recent *rows,
             size_t count)
{
    lease->recent_count = count < Qt_RECENT_MAX ? count : Qt_RECENT_MAX;
    memcpy(lease->recent, rows, lease->recent_count * sizeof(*rows));
}

size_t
Lr_InheritedRecent(const struct lr_lease *lease, const struct qt_recent **out)
{
    *out = lease->inherited;
    return lease->inherited_count;
}

bool
Lr_SetMove(struct lr_lease *lease, const struct ro_status *status)
{
    struct ro_status *found = NULL;
    for (size_t i = 0; i < lease->move_count; i++) {
        if (lease->moves[i].service == status->service) {
            found = &lease->moves[i];
        }
    }
    if (found == NULL) {
        if (lease->move_count == Lr_MOVES_MAX) {
            return false;
        }
        found = &lease->moves[lease->move_count++];
        memset(found, 0, sizeof(*found));
    }
    if (found->order != status->order || found->state != status->state ||
        found->service != status->service) {
        *found = *status;
        lease->moves_recorded = false;
        lease->moves_sent = false;
    }
    return lease->moves_recorded;
}

size_t
Lr_Moves(const struct lr_lease *lease, const struct ro_status **out)
{
    *out = lease->moves;
    return lease->move_count;
}
