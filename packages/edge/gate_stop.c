/* The graceful shutdown of the daemon. */
#include "edge/gate_internal.h"
#include "edge/gate_parts.h"

/*
 * Times of a graceful shutdown, from its start.  The load balancer checks the
 * readiness once a second and removes a host after two failed checks, so
 * callers connect for about three seconds more; on open connections they send
 * requests as long as those last.  Idle connections are closed before that;
 * running requests may go on until shortly before the platform kills the
 * process.
 */
#define Ga_STOP_IDLE_USEC (1500 * Ck_USEC_PER_MSEC)
#define Ga_STOP_STREAMS_USEC (2700 * Ck_USEC_PER_MSEC)
#define Ga_STOP_MIN_USEC (3800 * Ck_USEC_PER_MSEC)
#define Ga_STOP_MARGIN_USEC (300 * Ck_USEC_PER_MSEC)

static bool
peers_serve(const struct ga_gate *gate)
{
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (Ms_Alive(gate->mesh, peer) && !peer->stopping) {
            return true;
        }
    }
    return false;
}

/*
 * Closes the listening socket when no caller is connected, or at the latest
 * before the time limit: connections made while the process exits would be
 * reset.
 */
static void
end_listening(struct ga_gate *gate, int64_t elapsed, int64_t limit)
{
    bool due =
        (elapsed > Ga_STOP_MIN_USEC && Sv_Connections(gate->callers) == 0) ||
        elapsed > limit - Ls_ENDING_MOST - Ga_TICK_USEC;
    if (gate->listening == GA_LISTENING && due) {
        gate->listening = GA_CLOSING;
    }
    struct ls_ending ending = {0};
    if (gate->listening != GA_CLOSING ||
        !Sv_StopListening(gate->callers, &ending)) {
        return;
    }
    gate->listening = GA_CLOSED;
    Ln_Log(LN_STATE, "listening.ended",
           "\"took_ms\":%lld,\"half_open\":%d,\"taken_late\":%zu,"
           "\"lost\":%zu,\"filtered\":%s,\"accept_error\":%d",
           (long long)(ending.took / Ck_USEC_PER_MSEC), ending.half_open,
           ending.taken_late, ending.lost, ending.filtered ? "true" : "false",
           ending.error);
}

void
ga_step_stop(struct ga_gate *gate)
{
    int64_t elapsed = Ga_Now(gate) - gate->stopping_at;
    if (peers_serve(gate)) {
        Lr_Release(gate->lease);
    }
    if (elapsed > Ga_STOP_IDLE_USEC) {
        Sv_CloseIdle(gate->callers, Ga_TICK_USEC);
    }
    int64_t limit = gate->options.node->grace_usec - Ga_STOP_MARGIN_USEC;
    end_listening(gate, elapsed, limit);
    /* Callers that are already connected are answered first. */
    if ((gate->listening == GA_CLOSED && Sv_Connections(gate->callers) == 0 &&
         Th_Count(gate->tunnel) == 0) ||
        elapsed > limit) {
        Ln_Log(LN_STATE, "process.stopped", "\"open\":%zu",
               Sv_Open(gate->callers));
        Ln_Flush();
        Lp_Stop(gate->options.loop);
    }
}

/*
 * Whether the shutdown may cut a request that arrives now.  A stream may last
 * longer than the time left; refused at once, it is served by another host.
 */
bool
Ga_StopMayCut(const struct ga_gate *gate, const struct ec_route *route)
{
    return gate->stopping_at != 0 && route->kind == EC_STREAM &&
           Ga_Now(gate) - gate->stopping_at > Ga_STOP_STREAMS_USEC;
}

void
Ga_Stop(struct ga_gate *gate)
{
    if (gate->stopping_at != 0) {
        return;
    }
    gate->stopping_at = Ga_Now(gate);
    Sv_Drain(gate->callers);
    Ln_Log(LN_STATE, "process.stopping", "\"open\":%zu,\"connections\":%zu",
           Sv_Open(gate->callers), Sv_Connections(gate->callers));
}
