/* Stand-in for the platform, for tests and the demonstration. */
#include "standins/platform.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"

enum key {
    KEY_ADDRESS = 256,
    KEY_PORT,
    KEY_APPEND_RATE,
    KEY_KEEP,
    KEY_LAG_MS,
    KEY_START_MS,
    KEY_LOAD_RATE,
    KEY_LOAD_MS,
};

static const struct argp_option option_list[] = {
    {"address", KEY_ADDRESS, "IP", 0, "address to listen on", 0},
    {"port", KEY_PORT, "N", 0, "port; 0 picks a free one", 0},
    {"append-rate", KEY_APPEND_RATE, "N", 0, "appends a second", 0},
    {"keep", KEY_KEEP, "N", 0, "records kept a stream; 0: all", 0},
    {"lag-ms", KEY_LAG_MS, "MS", 0, "lag of the host list", 0},
    {"start-ms", KEY_START_MS, "MS", 0, "start of a cloud host", 0},
    {"load-rate", KEY_LOAD_RATE, "N", 0, "weight loads a second", 0},
    {"load-ms", KEY_LOAD_MS, "MS", 0, "time of a weight load", 0},
    {0},
};

struct platform {
    struct sv_program *program;
    struct pl_log *log;
    struct pl_hosts *hosts;
    struct pl_cloud *cloud;
    struct pl_weights *weights;
};

static error_t
parse(int key, char *text, struct argp_state *state)
{
    struct pl_options *options = state->input;
    switch (key) {
    case KEY_ADDRESS:
        options->address = text;
        break;
    case KEY_PORT:
        options->port = (int)strtol(text, NULL, 10);
        break;
    case KEY_APPEND_RATE:
        options->append_rate = strtod(text, NULL);
        break;
    case KEY_KEEP:
        options->keep = (int)strtol(text, NULL, 10);
        break;
    case KEY_LAG_MS:
        options->lag_usec = strtoll(text, NULL, 10) * Ck_USEC_PER_MSEC;
        break;
    case KEY_START_MS:
        options->start_usec = strtoll(text, NULL, 10) * Ck_USEC_PER_MSEC;
        break;
    case KEY_LOAD_RATE:
        options->load_rate = strtod(text, NULL);
        break;
    case KEY_LOAD_MS:
        options->load_usec = strtoll(text, NULL, 10) * Ck_USEC_PER_MSEC;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static const struct argp argp = {
    .options = option_list,
    .parser = parse,
    .doc = "Stand-in for log, host list, cloud and weight store.",
};

static void
on_request(void *arg, struct hs_request *request)
{
    struct platform *platform = arg;
    if (Sv_Is(request, "POST", "/standin/fault")) {
        Pl_LogMark(platform->log);
        Pl_HostsMark(platform->hosts);
    }
    if (!Pl_LogServe(platform->log, request) &&
        !Pl_HostsServe(platform->hosts, request) &&
        !Pl_CloudServe(platform->cloud, request) &&
        !Pl_WeightsServe(platform->weights, request) &&
        !Sv_Control(platform->program, request)) {
        Sv_Reply(platform->program, request, 404,
                 json_pack("{s:s}", "error", "no such path"));
    }
}

static void
platform_create(struct platform *platform, const struct pl_options *options)
{
    platform->log = Pl_LogCreate(platform->program, options);
    platform->hosts = Pl_HostsCreate(platform->program, options);
    platform->cloud = Pl_CloudCreate(platform->program, options);
    platform->weights = Pl_WeightsCreate(platform->program, options);
    if (platform->log == NULL || platform->hosts == NULL ||
        platform->cloud == NULL || platform->weights == NULL) {
        abort();
    }
}

int
main(int argc, char **argv)
{
    struct pl_options options = {
        .address = "127.0.0.1",
        .append_rate = 400,
        .load_rate = 2,
        .load_usec = 100 * Ck_USEC_PER_MSEC,
    };
    if (argp_parse(&argp, argc, argv, 0, NULL, &options) != 0) {
        return 2;
    }
    struct platform platform = {0};
    struct sv_options serve = {
        .address = options.address,
        .port = options.port,
        .request = on_request,
        .arg = &platform,
    };
    if (Sv_Create(&serve, &platform.program) != ST_OK) {
        fprintf(stderr, "standin_platform: %s\n", St_Message());
        return 1;
    }
    platform_create(&platform, &options);
    Sv_Run(platform.program);
    Sv_Destroy(platform.program);
    Pl_LogDestroy(platform.log);
    Pl_HostsDestroy(platform.hosts);
    Pl_CloudDestroy(platform.cloud);
    Pl_WeightsDestroy(platform.weights);
    return 0;
}
