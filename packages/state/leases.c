#include "state/leases.h"

#include <bsd/string.h>
#include <bsd/sys/tree.h>
#include <stdlib.h>
#include <string.h>

#define Le_TERM_USEC (15 * Ck_USEC_PER_SEC)
#define Le_MARGIN_USEC Ck_USEC_PER_SEC

struct le_job {
    RB_ENTRY(le_job) node;
    char name[Ls_JOB_MAX];
    struct ls_agent agent;
};

static int
compare(struct le_job *a, struct le_job *b)
{
    return strcmp(a->name, b->name);
}

RB_HEAD(le_tree, le_job);
RB_GENERATE_INTERNAL(le_tree, le_job, node, compare,
                     static __attribute__((unused)))

struct le_table {
    struct le_tree jobs;
    const struct ck_clock *clock;
    struct rc_writer self;
    struct wr_writer *writer;
    struct ls_terms terms;
};

/* Creates an empty set of leases; it must outlive its writer. */
enum st_status
Le_Create(const struct le_options *options, struct le_table **out)
{
    struct le_table *table = calloc(1, sizeof(*table));
    if (table == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for leases");
    }
    RB_INIT(&table->jobs);
    table->clock = options->clock;
    table->self = options->self;
    table->writer = options->writer;
    table->terms.term_usec =
        options->term_usec > 0 ? options->term_usec : Le_TERM_USEC;
    table->terms.margin_usec =
        options->margin_usec > 0 ? options->margin_usec : Le_MARGIN_USEC;
    *out = table;
    return ST_OK;
}

/* Frees the leases; their writer must be destroyed before. */
void
Le_Destroy(struct le_table *table)
{
    if (table == NULL) {
        return;
    }
    struct le_job *job;
    struct le_job *next;
    RB_FOREACH_SAFE (job, le_tree, &table->jobs, next) {
        RB_REMOVE(le_tree, &table->jobs, job);
        free(job);
    }
    free(table);
}

static struct le_job *
find(const struct le_table *table, const char *name)
{
    struct le_job probe;
    strlcpy(probe.name, name, sizeof(probe.name));
    /* RB_FIND() does not modify the tree but takes no const pointer. */
    return RB_FIND(le_tree, (struct le_tree *)&table->jobs, &probe);
}

static struct le_job *
find_or_add(struct le_table *table, const char *name)
{
    struct le_job *job = find(table, name);
    if (job != NULL) {
        return job;
    }
    job = calloc(1, sizeof(*job));
    if (job == NULL) {
        abort(); /* replicas would diverge without this job */
    }
    strlcpy(job->name, name, sizeof(job->name));
    Ls_Init(&job->agent, &table->self, &table->terms);
    RB_INSERT(le_tree, &table->jobs, job);
    return job;
}

/*
 * Sets whether this host should hold a job's lease.  "order_usec" is how long
 * an order stays valid at endpoints that do not check fencing numbers, 0 if
 * all endpoints check them; every host must pass the same value.
 */
enum st_status
Le_Want(struct le_table *table, const char *name, bool wanted,
        int64_t order_usec)
{
    if (name[0] == '\0' || strlen(name) >= Ls_JOB_MAX) {
        return St_Fail(ST_INVALID, "job name of %zu bytes; use 1 to %d",
                       strlen(name), Ls_JOB_MAX - 1);
    }
    struct le_job *job = find_or_add(table, name);
    job->agent.terms.order_usec = order_usec;
    Ls_Want(&job->agent, wanted);
    return ST_OK;
}

static void
change_written(void *arg, enum wr_result result, uint64_t sequence)
{
    struct le_job *job = arg;
    if (result == WR_NOT_WRITTEN) {
        Ls_NotWritten(&job->agent);
    }
}

static void
append(struct le_table *table, struct le_job *job, enum ls_op op, int64_t now)
{
    struct ls_change change = {.op = op, .base = job->agent.lease.last};
    strlcpy(change.job, job->name, sizeof(change.job));
    Ls_BeforeSend(&job->agent, op, now);
    if (Wr_Put(table->writer, BG_LEASE, Ls_KIND, Ls_Body(&change),
               now + table->terms.term_usec, change_written, job) != ST_OK) {
        Ls_NotWritten(&job->agent);
    }
}

/*
 * Appends the lease records that are due.  "ready" and "tail_read_at" are the
 * results of Sn_AtTail() for the control stream's replica: no lease is taken
 * while the replica's state is not known.
 */
void
Le_Tick(struct le_table *table, bool ready, int64_t tail_read_at)
{
    if (!ready) {
        return;
    }
    int64_t now = Ck_Now(table->clock);
    struct le_job *job;
    RB_FOREACH (job, le_tree, &table->jobs) {
        enum ls_op op = Ls_Due(&job->agent, now, tail_read_at);
        if (op != LS_NOTHING) {
            append(table, job, op, now);
        }
    }
}

/*
 * Clears the leases; which leases this host wants and its records in flight
 * stay.
 */
void
Le_Reset(struct le_table *table)
{
    struct ls_lease none = {.last = 0};
    struct le_job *job;
    RB_FOREACH (job, le_tree, &table->jobs) {
        Ls_Loaded(&job->agent, &none, Ck_Now(table->clock));
    }
}

/* Applies the next record of the stream. */
void
Le_Apply(struct le_table *table, const struct rc_record *record)
{
    struct ls_change change;
    if (!Rc_IsKind(record, Ls_KIND) || !Ls_Read(record->body, &change)) {
        return;
    }
    struct le_job *job = find_or_add(table, change.job);
    Ls_Applied(&job->agent, &record->writer, record->offset, &change,
               Ck_Now(table->clock));
}

/*
 * Loads the snapshot entry of one job; entries of other modules are ignored.
 */
void
Le_Load(struct le_table *table, const json_t *entry)
{
    const char *name = Rc_Text(entry, "lease");
    if (name[0] == '\0') {
        return;
    }
    struct ls_lease lease = {
        .holder.incarnation = (uint64_t)Rc_Number(entry, "i"),
        .last = (uint64_t)Rc_Number(entry, "last"),
        .fence = (uint64_t)Rc_Number(entry, "fence"),
    };
    strlcpy(lease.holder.node, Rc_Text(entry, "n"), sizeof(lease.holder.node));
    Ls_Loaded(&find_or_add(table, name)->agent, &lease, Ck_Now(table->clock));
}

/* Appends the snapshot entries of all jobs to a list. */
void
Le_Save(const struct le_table *table, json_t *list)
{
    struct le_tree *jobs = (struct le_tree *)&table->jobs;
    struct le_job *job;
    RB_FOREACH (job, le_tree, jobs) {
        const struct ls_lease *lease = &job->agent.lease;
        if (lease->last == 0) {
            continue;
        }
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:I, s:I, s:I}", "lease", job->name,
                            "n", lease->holder.node, "i",
                            (json_int_t)lease->holder.incarnation, "last",
                            (json_int_t)lease->last, "fence",
                            (json_int_t)lease->fence));
    }
}

/*
 * Calls Ls_MayAct() with the current time.  Must be called right before each
 * order is sent.
 */
bool
Le_MayAct(const struct le_table *table, const char *name,
          struct ls_permit *out)
{
    const struct le_job *job = find(table, name);
    return job != NULL && Ls_MayAct(&job->agent, Ck_Now(table->clock), out);
}

/* Whether this host holds the job's lease according to the log. */
bool
Le_Holds(const struct le_table *table, const char *name)
{
    const struct le_job *job = find(table, name);
    return job != NULL && Ls_Holds(&job->agent);
}

/* Gets a job's lease; returns false if the log has no record of it. */
bool
Le_Get(const struct le_table *table, const char *name, struct ls_lease *out)
{
    const struct le_job *job = find(table, name);
    if (job == NULL || job->agent.lease.last == 0) {
        return false;
    }
    *out = job->agent.lease;
    return true;
}

/* Number of leases that this host holds. */
size_t
Le_Held(const struct le_table *table)
{
    struct le_tree *jobs = (struct le_tree *)&table->jobs;
    struct le_job *job;
    size_t count = 0;
    RB_FOREACH (job, le_tree, jobs) {
        count += Ls_Holds(&job->agent) ? 1 : 0;
    }
    return count;
}
