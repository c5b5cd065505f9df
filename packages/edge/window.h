/*
 * Sliding-window rate limiter: what a customer spent in the last window and
 * how much the limit still allows.  Pure: the caller passes the time, in
 * microseconds of one clock.
 *
 * The limit is a bound on every window of a fixed length.  A token bucket that
 * keeps that bound refuses a customer who is over the limit for seconds up to
 * the burst in every window after the first, although the bound would allow
 * it.
 */
#ifndef EDGE_WINDOW_H
#define EDGE_WINDOW_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The window slides in this number of steps: a cost expires at most 1/32 of
 * the length early or late, well within the gossip lag between hosts.
 */
#define Wn_STEPS 32

struct wn_slice {
    double spent;
    double allowed; /* accrued at the rate in force during the slice */
    double burst;   /* the burst in force at the end of the slice */
};

struct wn_window {
    int64_t step_usec;                    /* 0: not started */
    int64_t slice;                        /* number of the newest slice */
    int64_t advanced_to;                  /* time of the last advance */
    struct wn_slice slices[Wn_STEPS + 1]; /* the oldest counts in part */
};

/* Cost spent in the window, known or assumed. */
struct wn_past {
    double older; /* spent in the older half of the window */
    double newer; /* spent in the newer half */
};

/*
 * Starts an empty window, as if the limit had been in force for the whole
 * window before.
 */
void Wn_Start(struct wn_window *window, int64_t length_usec, double per_sec,
              double burst, int64_t now);
/* Replaces the costs in the window, spread evenly over each half. */
void Wn_SetPast(struct wn_window *window, const struct wn_past *past);
/* Applies a lower limit to the whole window, past slices included. */
void Wn_Lower(struct wn_window *window, double per_sec, double burst);
/* Advances to "now"; rate and burst were in force since the last advance. */
void Wn_Advance(struct wn_window *window, double per_sec, double burst,
                int64_t now);
/* Spends a cost now; a negative cost releases a reserve. */
void Wn_Spend(struct wn_window *window, double cost);
/*
 * Refunds a cost in the slice in which it was spent; does nothing if that has
 * left the window.  To be called after Wn_Advance().
 */
void Wn_Refund(struct wn_window *window, double cost, int64_t spent_at);

/* Cost that may still be spent; negative when the limit is exceeded. */
double Wn_Room(const struct wn_window *window);
struct wn_past Wn_Past(const struct wn_window *window);
/*
 * The highest rate, in cost a second, at which the limit allows spending
 * throughout the next window; a higher rate leaves nothing for later.
 * "pending" was spent and is not in the window yet.
 */
double Wn_SustainedRate(const struct wn_window *window, double per_sec,
                        double pending);
/* Microseconds until "room" may be spent, if nothing is spent meanwhile. */
int64_t Wn_Wait(const struct wn_window *window, double per_sec, double room);

#ifdef __cplusplus
}
#endif

#endif
