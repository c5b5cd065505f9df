#include "gate/gate.h"

#include <stdio.h>

#include "base/event.h"
#include "gate/endpoints.h"
#include "gate/events.h"
#include "gate/intake.h"

#define Gt_LABEL_MAX 160

static long long
in_ms(int64_t usec)
{
    return (long long)(usec < 0 ? usec : usec / Ck_USEC_PER_MSEC);
}

/*
 * Puts a configuration in force and takes a reference to it; requests keep the
 * configuration they began with.  A configuration that is not newer than the
 * one in force is ignored, so that a daemon never returns to an older one.
 */
void
Gt_SetConfig(struct gt_gate *gate, struct cf_config *config,
             const struct gt_origin *origin)
{
    if (gate->config != NULL && config->offset <= gate->config->offset) {
        return;
    }
    if (gate->config != NULL) {
        Cf_Destroy(gate->config);
    }
    gate->config = Cf_Ref(config);
    Ep_Configure(gate->endpoints, config);
    In_Configure(gate->intake, config);
    Ev_Log(&GT_CONFIG_IN_FORCE,
           "offset=%llu by=%s age_ms=%lld word_ms=%lld unread_ms=%lld",
           (unsigned long long)config->offset, origin->source,
           in_ms(origin->age_usec), in_ms(origin->since_announced_usec),
           in_ms(origin->since_log_read_usec));
}

/* Adds one to a counter with at most one label. */
void
Gt_Count(struct gt_gate *gate, const char *name, const char *label,
         const char *value)
{
    char labels[Gt_LABEL_MAX] = "";
    if (label != NULL) {
        snprintf(labels, sizeof(labels), "%s=\"%s\"", label, value);
    }
    Mt_Add(Mt_Get(gate->metrics, MT_COUNTER, name, labels), 1);
}
