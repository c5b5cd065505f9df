#include "state/keeper_internal.h"

/* Whether a slot is open; it need not be ready. */
bool
Kp_IsOpen(const struct kp_keeper *keeper, int slot)
{
    return keeper->slots[slot].open;
}

/* Whether a slot is open and has read its stream to the tail. */
bool
Kp_IsReady(const struct kp_keeper *keeper, int slot)
{
    return keeper->slots[slot].open &&
           Sn_Phase(keeper->slots[slot].replica) == SN_READY;
}

/* Number of claims, results and releases that are not settled. */
size_t
Kp_Pending(const struct kp_keeper *keeper)
{
    size_t count = 0;
    for (int i = 0; i < Cl_SLOTS; i++) {
        const struct kp_slot *slot = &keeper->slots[i];
        const struct kp_pending *pending;
        TAILQ_FOREACH (pending, &slot->pending, link) {
            count++;
        }
        count += slot->writer != NULL ? Wr_Pending(slot->writer) : 0;
    }
    return count;
}

/* Number of keys in the tables of the open slots. */
size_t
Kp_Keys(const struct kp_keeper *keeper)
{
    size_t count = 0;
    for (int i = 0; i < Cl_SLOTS; i++) {
        if (keeper->slots[i].open) {
            count += Cl_Count(keeper->slots[i].table);
        }
    }
    return count;
}
