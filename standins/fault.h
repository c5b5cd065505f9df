/*
 * Faults that a test asks a stand-in for: which requests they hit, how often
 * and what goes wrong.
 */
#ifndef STANDINS_FAULT_H
#define STANDINS_FAULT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"

#define Fl_NAME_MAX 64

enum fl_mode {
    FL_NONE,
    FL_REFUSE,       /* 503 (cloud: 409), no effect */
    FL_RESET_BEFORE, /* closed without an answer, no effect */
    FL_RESET_AFTER,  /* effect, then closed without an answer */
    FL_LOST_ANSWER,  /* effect, silence for the delay, then closed */
    FL_DELAY,        /* effect at once, answer after the delay */
    FL_GARBAGE,      /* effect, then an answer that is no JSON */
    FL_TRUNCATE,     /* effect, answer cut in the middle */
    FL_STALE_READ,   /* the state of the moment the fault was set */
    FL_SHORT_TAIL,   /* a log that ends "records" earlier */
    FL_SLOW_BYTES,   /* one byte every delay */
    FL_ERROR_500,    /* effect, then 500 */
    FL_CROSSED,      /* the answer to another request */
    FL_SLOW,         /* "factor" times as slow */
    FL_FAIL,         /* weight store: the load ends as failed */
};

struct fl_fault {
    enum fl_mode mode;
    char target[Fl_NAME_MAX]; /* empty or "all": every target */
    char path[Fl_NAME_MAX];   /* prefix; empty: every path */
    char stream[Fl_NAME_MAX]; /* empty: every stream */
    int count;                /* requests still to hit; -1: no end */
    int after;                /* requests to let pass first */
    int when_running_over;    /* only while more than this run; -1: always */
    int64_t delay_usec;
    int tokens;  /* truncate: tokens before the cut; -1: half of the body */
    int records; /* short_tail: records left out */
    double factor;
};

/* What a request is about; the strings are never NULL. */
struct fl_query {
    const char *target;
    const char *path;
    const char *stream;
    int running;
};

struct fl_table;

struct fl_table *Fl_Create(void);
void Fl_Destroy(struct fl_table *table);
enum st_status Fl_Add(struct fl_table *table, const json_t *spec);
void Fl_Clear(struct fl_table *table);
struct fl_fault Fl_Take(struct fl_table *table, const struct fl_query *query);
json_t *Fl_List(const struct fl_table *table);

#endif
