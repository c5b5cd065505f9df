#include "gate/control.h"

#include <stdlib.h>

#include "state/snapshot.h"

struct ct_control {
    struct ct_options options;
    struct wr_writer *writer;
    struct le_table *leases;
    struct sn_replica *replica;
};

static void
reset(void *arg)
{
    struct ct_control *control = arg;
    Le_Reset(control->leases);
    control->options.component.reset(control->options.component.arg);
}

static void
apply(void *arg, const struct rc_record *record)
{
    struct ct_control *control = arg;
    Le_Apply(control->leases, record);
    control->options.component.apply(control->options.component.arg, record);
}

static json_t *
save(void *arg)
{
    struct ct_control *control = arg;
    json_t *list = json_array();
    Le_Save(control->leases, list);
    control->options.component.save(control->options.component.arg, list);
    return list;
}

static void
load(void *arg, const json_t *entry)
{
    struct ct_control *control = arg;
    Le_Load(control->leases, entry);
    control->options.component.load(control->options.component.arg, entry);
}

static const struct sn_ops replica_ops = {
    .reset = reset,
    .apply = apply,
    .save = save,
    .load = load,
};

/* Starts to read the stream. */
enum st_status
Ct_Create(const struct ct_options *options, struct ct_control **out)
{
    struct ct_control *control = calloc(1, sizeof(*control));
    if (control == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the control stream");
    }
    control->options = *options;
    struct wr_options writer = {
        .log = options->log,
        .stream = "control",
        .self = options->self,
        .clock = options->clock,
        .budget = options->budget,
    };
    enum st_status status = Wr_Create(&writer, &control->writer);
    struct le_options leases = {
        .clock = options->clock,
        .self = options->self,
        .writer = control->writer,
    };
    if (status == ST_OK) {
        status = Le_Create(&leases, &control->leases);
    }
    struct sn_options replica = {
        .log = options->log,
        .stream = "control",
        .clock = options->clock,
        .writer = control->writer,
        .ops = &replica_ops,
        .arg = control,
    };
    if (status == ST_OK) {
        status = Sn_Create(&replica, &control->replica);
    }
    if (status != ST_OK) {
        Ct_Destroy(control);
        return status;
    }
    *out = control;
    return ST_OK;
}

void
Ct_Destroy(struct ct_control *control)
{
    if (control == NULL) {
        return;
    }
    if (control->replica != NULL) {
        Sn_Destroy(control->replica);
    }
    if (control->writer != NULL) {
        Wr_Destroy(control->writer);
    }
    if (control->leases != NULL) {
        Le_Destroy(control->leases);
    }
    free(control);
}

/* Polls the stream, renews leases and sends queued appends, as due. */
void
Ct_Tick(struct ct_control *control)
{
    int64_t requested_at = 0;
    Sn_Tick(control->replica);
    bool ready = Sn_AtTail(control->replica, &requested_at);
    Le_Tick(control->leases, ready, requested_at);
    Wr_Tick(control->writer);
}

/* Sets whether this daemon writes the snapshots of the stream. */
void
Ct_SetSnapshotWriter(struct ct_control *control, bool writing)
{
    Sn_EnableSnapshots(control->replica, writing);
}

/* Appends a record; the reference to "body" is taken, also on failure. */
enum st_status
Ct_Append(struct ct_control *control, const char *kind, json_t *body,
          int64_t deadline, wr_done_fn done, void *arg)
{
    enum st_status status =
        Wr_Put(control->writer, BG_LEASE, kind, body, deadline, done, arg);
    if (status == ST_OK) {
        Sn_ReadNow(control->replica);
    }
    return status;
}

struct le_table *
Ct_Leases(struct ct_control *control)
{
    return control->leases;
}

/* True once the stream has been read to its end. */
bool
Ct_Ready(const struct ct_control *control)
{
    return Sn_Phase(control->replica) == SN_READY;
}
