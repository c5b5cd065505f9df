#include "policy/liveness.h"

#include <bsd/sys/queue.h>
#include <stdlib.h>

#define Lv_ROWS_MAX 256
/* Bytes that arrive this soon after a break may have been in transit. */
#define Lv_IN_TRANSIT_USEC (50 * Ck_USEC_PER_MSEC)
#define Lv_CHECK_INTERVAL_USEC (250 * Ck_USEC_PER_MSEC)
/* Interval between checks of an ended start, which may return. */
#define Lv_RETURN_INTERVAL_USEC (500 * Ck_USEC_PER_MSEC)
/* A doubt that nobody could settle is dropped. */
#define Lv_DOUBT_TTL_USEC (6 * Ck_USEC_PER_SEC)
/* An ended start is forgotten; its entry is gone from the list by then. */
#define Lv_ENDED_TTL_USEC (60 * Ck_USEC_PER_SEC)

struct row {
    TAILQ_ENTRY(row) link;
    uint32_t start;
    enum lv_state state;
    enum lv_witness witness; /* of its end */
    bool relayed;            /* all its breaks were behind peers */
    int unanswered;
    int64_t broke_at;      /* the first break */
    int64_t last_broke_at; /* the last one */
    int64_t checked_at;
};

TAILQ_HEAD(row_list, row);

struct lv_table {
    struct lv_rule rule;
    const struct lv_ops *ops;
    void *arg;
    struct row_list rows; /* oldest first */
    struct row_list free_rows;
    struct row pool[Lv_ROWS_MAX];
};

struct lv_rule
Lv_DefaultRule(void)
{
    return (struct lv_rule){
        .connection_is_life = false,
        .relayed = true,
        .unanswered_min = 2,
    };
}

struct lv_table *
Lv_Create(const struct lv_rule *rule, const struct lv_ops *ops, void *arg)
{
    struct lv_table *table = calloc(1, sizeof(*table));
    if (table != NULL) {
        table->rule = *rule;
        table->ops = ops;
        table->arg = arg;
        TAILQ_INIT(&table->rows);
        TAILQ_INIT(&table->free_rows);
        for (size_t i = 0; i < Lv_ROWS_MAX; i++) {
            TAILQ_INSERT_TAIL(&table->free_rows, &table->pool[i], link);
        }
    }
    return table;
}

void
Lv_Destroy(struct lv_table *table)
{
    free(table);
}

static struct row *
find(const struct lv_table *table, uint32_t start)
{
    struct row *row;
    TAILQ_FOREACH (row, &table->rows, link) {
        if (row->start == start) {
            return row;
        }
    }
    return NULL;
}

static void
forget(struct lv_table *table, struct row *row)
{
    TAILQ_REMOVE(&table->rows, row, link);
    TAILQ_INSERT_TAIL(&table->free_rows, row, link);
}

/* Settles the doubt; a start that lives is forgotten. */
static void
judge(struct lv_table *table, struct row *row, enum lv_state state,
      enum lv_witness witness)
{
    uint32_t start = row->start;
    row->state = state;
    row->witness = witness;
    if (state == LV_LIVES) {
        forget(table, row);
    }
    table->ops->judged(table->arg, start, state, witness);
}

/* Forgets the end of a start, which is asked no more whether it returned. */
static void
give_back(struct lv_table *table, struct row *row)
{
    uint32_t start = row->start;
    forget(table, row);
    table->ops->returned(table->arg, start);
}

/* Takes a free row, or that of the oldest end; NULL: all are in doubt. */
static struct row *
take_row(struct lv_table *table)
{
    struct row *row;
    if (!TAILQ_EMPTY(&table->free_rows)) {
        return TAILQ_FIRST(&table->free_rows);
    }
    TAILQ_FOREACH (row, &table->rows, link) {
        if (row->state == LV_ENDED) {
            give_back(table, row);
            break;
        }
    }
    return TAILQ_FIRST(&table->free_rows);
}

bool
Lv_NoteBreak(struct lv_table *table, uint32_t start, bool relayed,
             int64_t sent_at, int64_t now)
{
    if (relayed && !table->rule.relayed) {
        return false;
    }
    struct row *row = find(table, start);
    if (row != NULL) {
        if (sent_at >= row->broke_at) {
            return false;
        }
        row->relayed &= relayed;
        row->last_broke_at = now;
        return true;
    }
    row = take_row(table);
    if (row == NULL) {
        return false;
    }
    TAILQ_REMOVE(&table->free_rows, row, link);
    *row = (struct row){
        .start = start,
        .state = LV_IN_DOUBT,
        .relayed = relayed,
        .broke_at = now,
        .last_broke_at = now,
    };
    TAILQ_INSERT_TAIL(&table->rows, row, link);
    return true;
}

void
Lv_NoteBytes(struct lv_table *table, uint32_t start, int64_t now)
{
    struct row *row = find(table, start);
    if (row == NULL || now - row->last_broke_at <= Lv_IN_TRANSIT_USEC) {
        return;
    }
    if (row->state == LV_IN_DOUBT) {
        judge(table, row, LV_LIVES, LV_BYTES);
        return;
    }
    give_back(table, row);
}

void
Lv_NoteConnection(struct lv_table *table, uint32_t start, bool accepted,
                  int64_t since, int64_t now)
{
    struct row *row = find(table, start);
    if (row == NULL || since < row->broke_at) {
        return;
    }
    if (!accepted) {
        if (row->state == LV_IN_DOUBT) {
            judge(table, row, LV_ENDED, LV_REFUSED);
        }
        return;
    }
    if (table->rule.connection_is_life) {
        Lv_NoteBytes(table, start, now);
    }
    else if (row->state == LV_ENDED && row->witness == LV_REFUSED) {
        /* Who refused before is not who accepts now. */
        give_back(table, row);
    }
}

void
Lv_NoteUnanswered(struct lv_table *table, uint32_t start, int64_t since)
{
    struct row *row = find(table, start);
    if (row != NULL && since >= row->broke_at) {
        row->unanswered++;
    }
}

void
Lv_NoteEnded(struct lv_table *table, uint32_t start, int64_t ended_at)
{
    struct row *row = find(table, start);
    if (row != NULL && row->state == LV_IN_DOUBT &&
        llabs(row->broke_at - ended_at) < Lv_SILENCE_USEC) {
        judge(table, row, LV_ENDED, LV_TOLD);
    }
}

void
Lv_NoteCut(struct lv_table *table, uint32_t start)
{
    struct row *row = find(table, start);
    if (row != NULL && row->state == LV_IN_DOUBT && !row->relayed) {
        judge(table, row, LV_LIVES, LV_CUT);
    }
}

/* Settles a doubt that has lasted long enough without bytes. */
static void
judge_silence(struct lv_table *table, struct row *row, int64_t now)
{
    bool asked =
        !row->relayed || row->unanswered >= table->rule.unanswered_min;
    if (now - row->broke_at < Lv_SILENCE_USEC) {
        return;
    }
    if (asked) {
        judge(table, row, LV_ENDED, LV_SILENT);
    }
    else if (!table->ops->listed(table->arg, row->start)) {
        judge(table, row, LV_ENDED, LV_TOLD);
    }
    else if (now - row->broke_at >= Lv_DOUBT_TTL_USEC) {
        judge(table, row, LV_LIVES, LV_UNASKED);
    }
}

void
Lv_Tick(struct lv_table *table, int64_t now)
{
    struct row *row;
    struct row *next;
    TAILQ_FOREACH_SAFE (row, &table->rows, link, next) {
        if (row->state == LV_IN_DOUBT) {
            judge_silence(table, row, now);
        }
        else if (now - row->broke_at >= Lv_ENDED_TTL_USEC) {
            give_back(table, row);
        }
    }
}

enum lv_state
Lv_State(const struct lv_table *table, uint32_t start)
{
    const struct row *row = find(table, start);
    return row == NULL ? LV_LIVES : row->state;
}

bool
Lv_IsSilent(const struct lv_table *table, uint32_t start)
{
    const struct row *row = find(table, start);
    if (row == NULL) {
        return false;
    }
    return row->state == LV_ENDED ? row->witness != LV_REFUSED
                                  : row->unanswered > 0;
}

bool
Lv_IsEmpty(const struct lv_table *table)
{
    return TAILQ_EMPTY(&table->rows);
}

bool
Lv_BeginCheck(struct lv_table *table, uint32_t start, int64_t now)
{
    struct row *row = find(table, start);
    if (row == NULL ||
        (row->state == LV_ENDED && row->witness == LV_REFUSED)) {
        return false;
    }
    int64_t interval = row->state == LV_ENDED ? Lv_RETURN_INTERVAL_USEC
                                              : Lv_CHECK_INTERVAL_USEC;
    if (row->checked_at != 0 && now - row->checked_at < interval) {
        return false;
    }
    row->checked_at = now;
    return true;
}

const char *
Lv_WitnessName(enum lv_witness witness)
{
    static const char *const names[] = {"bytes", "refused", "silent",
                                        "told",  "unasked", "cut"};
    return names[witness];
}
