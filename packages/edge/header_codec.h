/*
 * Metadata of requests and answers, decoded from the header fields of the
 * protocol variant ("wire") in use.
 */
#ifndef EDGE_HEADER_CODEC_H
#define EDGE_HEADER_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "web/http1.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Hd_ID_MAX 96
#define Hd_KEY_MAX 160
#define Hd_PARTS_MAX 33
#define Hd_VERSION_MAX 32

/* A part of a prompt: the unit of an engine's prefix cache. */
struct hd_part {
    uint64_t id;
    int tokens;
};

struct hd_request_info {
    char id[Hd_ID_MAX];
    char key[Hd_KEY_MAX];
    bool has_key;
    bool many_keys; /* several keys or ids: the request is to be refused */
    int64_t deadline_usec; /* how long the caller waits; -1: not given */
    int64_t last_event;    /* the caller resumes after it; -1: no resume */
    bool has_token_counts; /* tokens_in and tokens_out are given */
    int64_t tokens_in;
    int64_t tokens_out;
    int64_t length_hint; /* caller's estimate of the output; -1: none */
    struct hd_part parts[Hd_PARTS_MAX];
    size_t part_count;
};

struct hd_answer {
    bool id_matches; /* has no request id, or the id of this request */
    bool echoed;     /* has the id of this request */
    bool sealed;     /* has the endpoint's seal */
    bool not_run;    /* the endpoint did not run the request */
    bool encoded; /* has a content encoding: the body was altered in transit */
    /* Refusals in a second that the endpoint tolerates; -1: not given. */
    int refusals_borne;
    /* Requests a second that the endpoint takes from all hosts together;
       below 0: not given. */
    double rate_limit;
    bool rate_limit_invalid; /* given, but not a number that can be used */
    char version[Hd_VERSION_MAX]; /* of the weights; empty: not given */
};

/* Values of the header fields added to a request for an endpoint. */
struct hd_send {
    const char *endpoint; /* identity of the endpoint that must answer */
    const char *tenant;   /* NULL: none */
    int64_t left_usec;    /* time to the deadline */
    int priority;         /* 0 is the most urgent */
    int64_t resume_after; /* id of the last event passed on; -1: none */
    const char *version;  /* required version of the weights; NULL: any */
    /* Address and handle of the KV cache that the run continues from; NULL:
       none. */
    const char *kv_from;
};

#define Hd_HANDLE_MAX 128
#define Hd_KV_REQUEST_MAX 1024

/* A request to an endpoint to copy the KV cache of a run. */
struct hd_kv_move {
    const char *id;     /* of the run's request */
    const char *source; /* address of the endpoint that runs it */
    const char *target; /* address of the endpoint that gets the copy */
    bool last;          /* the run is stopped before it is copied */
};

enum hd_kv_outcome {
    HD_KV_COPIED,
    HD_KV_NO_RUN,
    HD_KV_BUSY,    /* another call for the run is in progress */
    HD_KV_NO_ROOM, /* no room at the target, or the target is unreachable */
    HD_KV_INVALID, /* not an answer of the protocol */
};

struct hd_kv_answer {
    enum hd_kv_outcome outcome;
    char handle[Hd_HANDLE_MAX]; /* of the copy; empty: none */
    int64_t events;             /* that the run has produced */
};

/*
 * Calls that move KV caches.  The encoders write a whole request and return
 * its length, or 0 if it does not fit.
 */
struct hd_kv_calls {
    size_t (*encode_move)(const struct hd_kv_move *move, char *out,
                          size_t size);
    /* Frees the copy that "handle" names at its source. */
    size_t (*encode_free)(const char *source, const char *handle, char *out,
                          size_t size);
    void (*decode_move)(int status, const char *body, size_t len,
                        struct hd_kv_answer *answer);
    /* Asks an endpoint for its report. */
    size_t (*encode_report)(const char *source, char *out, size_t size);
    /* The time until the endpoint leaves, in microseconds; -1: not reported.
     */
    int64_t (*decode_report)(int status, const char *body, size_t len);
};

struct hd_wire {
    void (*decode_request)(const struct h1_head *head,
                           struct hd_request_info *info);
    void (*decode_answer)(const struct h1_head *head, const char *id,
                          struct hd_answer *answer);
    /* Whether a field is dropped from callers' requests: only hosts set it. */
    bool (*reserved)(struct h1_text name);
    /* Writes the fields of "send"; returns the length. */
    size_t (*encode_send)(const struct hd_send *send, char *out, size_t size);
    /* Names of header fields. */
    const char *retry_after;      /* delay in seconds */
    const char *request_id;       /* id of the caller's request */
    const char *last_event;       /* id to resume after; lower case */
    const struct hd_kv_calls *kv; /* NULL: KV caches are not moved */
    /* Prefix, with its colon, of the first line of an event from which on the
       version of the weights differs. */
    const char *event_version;
};

#ifdef __cplusplus
}
#endif

#endif
