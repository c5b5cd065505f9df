/*
 * What a request and an answer say about themselves, decoded once from the
 * headers of the wire in use.
 */
#ifndef EDGE_ASK_H
#define EDGE_ASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "web/http1.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Ak_ID_MAX 96
#define Ak_KEY_MAX 160
#define Ak_PARTS_MAX 33
#define Ak_VERSION_MAX 32

/* A part of a prompt that engines cache by itself, in order. */
struct ak_part {
    uint64_t id;
    int tokens;
};

struct ak_ask {
    char id[Ak_ID_MAX];
    char key[Ak_KEY_MAX];
    bool has_key;
    bool two_keys;         /* ambiguous: to be refused */
    int64_t deadline_usec; /* how long the caller waits; -1: not said */
    int64_t last_event;    /* the caller resumes after it; -1: from the start
                            */
    bool counted;          /* the token counts are known */
    int64_t tokens_in;
    int64_t tokens_out;
    struct ak_part parts[Ak_PARTS_MAX];
    size_t part_count;
};

struct ak_answer {
    bool own;     /* echoes the request's id, or bears none */
    bool echoed;  /* echoes the request's id */
    bool sealed;  /* bears the endpoint's signature */
    bool not_run; /* the endpoint says that it did not run the request */
    bool encoded; /* the body is not the endpoint's */
    /* Refusals in a second that its endpoint bears; -1: not said. */
    int refusals_borne;
    char version[Ak_VERSION_MAX]; /* of the weights; empty: not said */
};

/* What is set on a request that goes to an endpoint. */
struct ak_send {
    const char *endpoint; /* the identity that must answer */
    const char *tenant;   /* NULL: none */
    int64_t left_usec;
    int rank;
    int64_t resume_after; /* last event already passed on; -1: none */
    const char *version;  /* the weights that must answer; NULL: any */
};

struct ak_wire {
    void (*decode_ask)(const struct h1_head *head, struct ak_ask *ask);
    void (*decode_answer)(const struct h1_head *head, const char *id,
                          struct ak_answer *answer);
    /* Whether a caller's field is for the system alone to set. */
    bool (*reserved)(struct h1_text name);
    /* Writes the fields of "send"; returns the length. */
    size_t (*encode_send)(const struct ak_send *send, char *out, size_t size);
    /* Names of fields. */
    const char *retry_after;   /* the wait in seconds */
    const char *request_id;    /* of the caller's attempt */
    const char *last_event;    /* the caller resumes after it; lower case */
    const char *event_version; /* line in an event from which on the weights
                                  are others, with its colon */
};

#ifdef __cplusplus
}
#endif

#endif
