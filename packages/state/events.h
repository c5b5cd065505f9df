/* The numbered events of this package. */
#ifndef STATE_EVENTS_H
#define STATE_EVENTS_H

#include "base/event.h"

#define EV(number, name, level, meaning, todo) Ev_DEFINE(number, name, level)
#include "state/events.def"
#undef EV

#endif
