/*
 * What every stand-in shares: its loop and server, the "ready" line, JSON
 * answers, and the faults of an answer.
 */
#ifndef STANDINS_SERVE_H
#define STANDINS_SERVE_H

#include <jansson.h>
#include <stdbool.h>

#include "standins/fault.h"
#include "web/loop.h"
#include "web/server.h"

struct sv_program;

/* Work that outlives the handler of its request; the request's user data. */
struct sv_job {
    void (*gone)(struct sv_job *job); /* the caller went away */
    void (*drained)(struct sv_job *job);
};

struct sv_options {
    const char *address;
    int port;
    void (*request)(void *arg, struct hs_request *request);
    void *arg;
    const char *default_target; /* of faults that name none; may be NULL */
};

/* An answer with its fault; "body" is a reference that is handed over. */
struct sv_answer {
    int code;
    json_t *body;
    int retry_after_sec;    /* 0: no such header */
    const char *request_id; /* x-request-id; NULL: none */
};

enum st_status Sv_Create(const struct sv_options *options,
                         struct sv_program **out);
struct lp_loop *Sv_Loop(const struct sv_program *program);
struct fl_table *Sv_Faults(const struct sv_program *program);
int Sv_Port(const struct sv_program *program);
void Sv_ReadyAlso(struct sv_program *program, const char *name, int number);
void Sv_Run(struct sv_program *program);
void Sv_Destroy(struct sv_program *program);

bool Sv_Is(const struct hs_request *request, const char *method,
           const char *path);
int64_t Sv_QueryNumber(const struct hs_request *request, const char *name,
                       int64_t fallback);
json_t *Sv_BodyJson(const struct hs_request *request);
bool Sv_Before(struct hs_request *request, const struct fl_fault *fault);
void Sv_Answer(struct sv_program *program, struct hs_request *request,
               const struct fl_fault *fault, struct sv_answer *answer);
void Sv_Reply(struct sv_program *program, struct hs_request *request, int code,
              json_t *body);
bool Sv_Control(struct sv_program *program, struct hs_request *request);

#endif
