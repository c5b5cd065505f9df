/* What is held for the clients of all ports of a daemon, and who yields. */
#include "web/ledger.h"
#include "base/machine.h"
#include "gate/events.h"
#include "gate/gate.h"

static void
on_yielded(void *arg, const struct lg_yield *yield)
{
    struct gt_gate *gate = arg;
    Gt_Count(gate, "cg_connections_yielded_total", "why",
             Lg_WhyName(yield->why));
    if (yield->log) {
        Ev_Log(&GT_YIELDED,
               "port=%s peer=%s why=%s phase=%s bytes=%zu unread=%zu ms=%lld",
               yield->port, yield->peer, Lg_WhyName(yield->why), yield->phase,
               yield->bytes, yield->unread,
               (long long)(yield->age / Ck_USEC_PER_MSEC));
    }
}

/* Creates the ledger by the settings or, without them, by the machine. */
enum st_status
Gt_CreateLedger(struct gt_gate *gate)
{
    int64_t memory = gate->options->memory_bytes;
    struct lg_options options = {
        .clock = gate->clock,
        .bound = Lg_Bound(memory > 0 ? memory : Mc_MemoryBytes(), Mc_Files()),
        .yielded = on_yielded,
        .arg = gate,
    };
    gate->ledger = Lg_Create(&options);
    return gate->ledger != NULL
               ? ST_OK
               : St_Fail(ST_NO_MEMORY, "no memory for the ledger");
}
