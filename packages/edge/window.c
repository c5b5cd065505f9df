#include "edge/window.h"

#include <math.h>

#include "base/clock.h"

#define Wn_COUNT (Wn_STEPS + 1)

static int64_t
length_of(const struct wn_window *window)
{
    return window->step_usec * Wn_STEPS;
}

static double
allowance(double per_sec, int64_t usec)
{
    return per_sec * (double)usec / (double)Ck_USEC_PER_SEC;
}

/* The slice "steps" before the newest. */
static struct wn_slice *
slice_before(struct wn_window *window, int64_t steps)
{
    return &window->slices[(window->slice + Wn_COUNT - steps) % Wn_COUNT];
}

static const struct wn_slice *
peek_before(const struct wn_window *window, int64_t steps)
{
    return &window->slices[(window->slice + Wn_COUNT - steps) % Wn_COUNT];
}

/* Fraction of a slice within the window: the oldest slides out of it. */
static double
covered_fraction(const struct wn_window *window, int steps_before)
{
    return steps_before < Wn_STEPS
               ? 1
               : 1 - (double)(window->advanced_to % window->step_usec) /
                         (double)window->step_usec;
}

void
Wn_Start(struct wn_window *window, int64_t length_usec, double per_sec,
         double burst, int64_t now)
{
    window->step_usec = length_usec / Wn_STEPS;
    window->slice = now / window->step_usec;
    window->advanced_to = now;
    for (int i = 0; i < Wn_COUNT; i++) {
        window->slices[i] =
            (struct wn_slice){0, allowance(per_sec, window->step_usec), burst};
    }
    slice_before(window, 0)->allowed =
        allowance(per_sec, now % window->step_usec);
}

/*
 * The newest slice gets no cost because it has just begun.  The oldest slice
 * counts for the older half.
 */
void
Wn_SetPast(struct wn_window *window, const struct wn_past *past)
{
    const int half = Wn_STEPS / 2;
    for (int i = 0; i < Wn_COUNT; i++) {
        double spent = i <= half ? past->newer / half : past->older / half;
        slice_before(window, i)->spent = i == 0 ? 0 : spent;
    }
}

/*
 * Discards the unused allowance of the higher limit.  Also forgives the cost
 * beyond the lower limit that was spent under the higher one: otherwise the
 * customer would be refused for most of a window.
 */
void
Wn_Lower(struct wn_window *window, double per_sec, double burst)
{
    for (int i = 0; i < Wn_COUNT; i++) {
        struct wn_slice *slice = slice_before(window, i);
        int64_t usec = i == 0 ? window->advanced_to % window->step_usec
                              : window->step_usec;
        slice->allowed = fmin(slice->allowed, allowance(per_sec, usec));
        slice->spent = fmin(slice->spent, slice->allowed);
        slice->burst = fmin(slice->burst, burst);
    }
}

void
Wn_Advance(struct wn_window *window, double per_sec, double burst, int64_t now)
{
    if (now / window->step_usec - window->slice >= Wn_COUNT) {
        Wn_Start(window, length_of(window), per_sec, burst, now);
        return;
    }
    while (window->advanced_to < now) {
        int64_t end = (window->slice + 1) * window->step_usec;
        int64_t until = end < now ? end : now;
        struct wn_slice *newest = slice_before(window, 0);
        newest->allowed += allowance(per_sec, until - window->advanced_to);
        newest->burst = burst;
        window->advanced_to = until;
        if (until == end) {
            window->slice++;
            *slice_before(window, 0) = (struct wn_slice){0, 0, burst};
        }
    }
}

void
Wn_Spend(struct wn_window *window, double cost)
{
    slice_before(window, 0)->spent += cost;
}

/* Cost that a lower limit has already removed is not refunded. */
void
Wn_Refund(struct wn_window *window, double cost, int64_t spent_at)
{
    int64_t steps = window->slice - spent_at / window->step_usec;
    if (steps >= 0 && steps < Wn_COUNT) {
        struct wn_slice *slice = slice_before(window, steps);
        slice->spent -= fmin(cost, fmax(slice->spent, 0));
    }
}

double
Wn_Room(const struct wn_window *window)
{
    double room = 0;
    double burst = 0;
    for (int i = 0; i < Wn_COUNT; i++) {
        const struct wn_slice *slice = peek_before(window, i);
        double fraction = covered_fraction(window, i);
        room += (slice->allowed - slice->spent) * fraction;
        burst = slice->burst > burst ? slice->burst : burst;
    }
    return room + burst;
}

struct wn_past
Wn_Past(const struct wn_window *window)
{
    struct wn_past past = {0, 0};
    for (int i = 0; i < Wn_COUNT; i++) {
        double fraction = covered_fraction(window, i);
        double spent = peek_before(window, i)->spent * fraction;
        if (i <= Wn_STEPS / 2) {
            past.newer += spent;
        }
        else {
            past.older += spent;
        }
    }
    return past;
}

/*
 * The limit is checked at the end of each step but the first: of the oldest
 * slice, only microseconds may be left, too short for a rate.
 */
double
Wn_SustainedRate(const struct wn_window *window, double per_sec,
                 double pending)
{
    double available = Wn_Room(window) - pending;
    double seconds = 0;
    double rate = INFINITY;
    for (int i = Wn_STEPS; i > 0; i--) {
        const struct wn_slice *slice = peek_before(window, i);
        double fraction = covered_fraction(window, i);
        double step = (double)window->step_usec * fraction;
        available += (slice->spent - slice->allowed) * fraction;
        available += allowance(per_sec, window->step_usec) * fraction;
        seconds += step / (double)Ck_USEC_PER_SEC;
        if (i < Wn_STEPS) {
            rate = fmin(rate, available / seconds);
        }
    }
    return fmax(rate, 0);
}

int64_t
Wn_Wait(const struct wn_window *window, double per_sec, double room)
{
    double available = Wn_Room(window);
    int64_t wait = 0;
    for (int i = Wn_STEPS; i > 0 && available < room; i--) {
        const struct wn_slice *slice = peek_before(window, i);
        double fraction = covered_fraction(window, i);
        available += (slice->spent - slice->allowed) * fraction;
        available += allowance(per_sec, window->step_usec) * fraction;
        wait += (int64_t)((double)window->step_usec * fraction);
    }
    return wait;
}
