/*
 * The parts of the platform's stand-in: log, host list, cloud and weight
 * store, each behind the requests of docs/INTERFACES.md and with a few
 * controls of its own below /standin/.  Each "Serve" function returns false
 * when the request is none of its own.
 */
#ifndef STANDINS_PLATFORM_H
#define STANDINS_PLATFORM_H

#include "standins/serve.h"

struct pl_options {
    const char *address;
    int port;
    double append_rate; /* appends a second over all streams */
    int keep;           /* records a stream keeps readable; 0: all */
    int64_t lag_usec;   /* of the host list */
    int64_t start_usec; /* of a cloud host */
    double load_rate;   /* weight loads a second */
    int64_t load_usec;  /* of one weight load */
};

struct pl_log;
struct pl_hosts;
struct pl_cloud;
struct pl_weights;

struct pl_log *Pl_LogCreate(struct sv_program *program,
                            const struct pl_options *options);
void Pl_LogDestroy(struct pl_log *log);
void Pl_LogMark(struct pl_log *log);
bool Pl_LogServe(struct pl_log *log, struct hs_request *request);

struct pl_hosts *Pl_HostsCreate(struct sv_program *program,
                                const struct pl_options *options);
void Pl_HostsDestroy(struct pl_hosts *hosts);
void Pl_HostsMark(struct pl_hosts *hosts);
bool Pl_HostsServe(struct pl_hosts *hosts, struct hs_request *request);

struct pl_cloud *Pl_CloudCreate(struct sv_program *program,
                                const struct pl_options *options);
void Pl_CloudDestroy(struct pl_cloud *cloud);
bool Pl_CloudServe(struct pl_cloud *cloud, struct hs_request *request);

struct pl_weights *Pl_WeightsCreate(struct sv_program *program,
                                    const struct pl_options *options);
void Pl_WeightsDestroy(struct pl_weights *weights);
bool Pl_WeightsServe(struct pl_weights *weights, struct hs_request *request);

#endif
