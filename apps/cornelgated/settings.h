/* Settings of the daemon, from flags and environment variables. */
#ifndef CORNELGATED_SETTINGS_H
#define CORNELGATED_SETTINGS_H

#include "base/event.h"
#include "gate/gate.h"

struct settings {
    struct gt_options options;
    enum ev_level log_level;
};

enum st_status Set_Read(int argc, char **argv, struct settings *settings);

#endif
