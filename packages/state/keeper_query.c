#include "state/keeper_internal.h"

/* Whether a slot is open, be it ready or not. */
bool
Kp_IsOpen(const struct kp_keeper *keeper, int slot)
{
    return keeper->slots[slot].open;
}

/* Whether a slot answers claims. */
bool
Kp_IsReady(const struct kp_keeper *keeper, int slot)
{
    return keeper->slots[slot].open &&
           Sn_Phase(keeper->slots[slot].replica) == SN_READY;
}

/* Claims, results and releases that are not settled yet. */
size_t
Kp_Pending(const struct kp_keeper *keeper)
{
    size_t count = 0;
    for (int i = 0; i < Cl_SLOTS; i++) {
        const struct kp_slot *slot = &keeper->slots[i];
        const struct kp_wait *wait;
        TAILQ_FOREACH (wait, &slot->waits, link) {
            count++;
        }
        count += slot->writer != NULL ? Wr_Pending(slot->writer) : 0;
    }
    return count;
}

/* Keys remembered in the slots that are open. */
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
