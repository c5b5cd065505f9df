/* The numbered events of this package. */
#ifndef GATE_EVENTS_H
#define GATE_EVENTS_H

#include "base/event.h"

#define EV(number, name, level, meaning, todo) Ev_DEFINE(number, name, level)
#include "gate/events.def"
#undef EV

#endif
