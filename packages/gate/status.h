/* The services in the status document of the administration API. */
#ifndef GATE_STATUS_H
#define GATE_STATUS_H

#include <jansson.h>

#include "gate/gate.h"

json_t *Sd_Services(const struct gt_gate *gate);

#endif
