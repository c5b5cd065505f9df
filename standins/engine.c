/* Stand-in for a model engine or, with --plain, for a plain service. */
#include "standins/engine.h"

#include <argp.h>
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "standins/plain.h"

enum key {
    KEY_ADDRESS = 256,
    KEY_PORT,
    KEY_PLAIN,
    KEY_FENCED,
    KEY_SERVICE,
    KEY_VERSION,
    KEY_SLOTS,
    KEY_TOKEN_US,
    KEY_FIRST_US,
    KEY_PREFILL_US,
    KEY_CACHE_BLOCKS,
    KEY_EVENT_GAP,
    KEY_EVENT_LAG_MS,
    KEY_LOAD_LAG_MS,
    KEY_KV_US,
    KEY_WORK_US,
    KEY_COLD_MS,
    KEY_COLD_PER_SEC,
    KEY_POISON,
};

static const struct argp_option option_list[] = {
    {"address", KEY_ADDRESS, "IP", 0, "address to listen on", 0},
    {"port", KEY_PORT, "N", 0, "port; 0 picks a free one", 0},
    {"plain", KEY_PLAIN, NULL, 0, "be a plain service", 0},
    {"fenced", KEY_FENCED, NULL, 0, "refuse orders with an older fence", 0},
    {"service", KEY_SERVICE, "NAME", 0, "service in the load report", 0},
    {"version", KEY_VERSION, "NAME", 0, "version in the load report", 0},
    {"slots", KEY_SLOTS, "N", 0, "requests run at once", 0},
    {"token-us", KEY_TOKEN_US, "US", 0, "time of a token", 0},
    {"first-us", KEY_FIRST_US, "US", 0, "least time to the first token", 0},
    {"prefill-us-per-token", KEY_PREFILL_US, "US", 0,
     "time of a prompt token that is not cached", 0},
    {"cache-blocks", KEY_CACHE_BLOCKS, "N", 0, "prefix cache, 64 bytes each",
     0},
    {"event-gap", KEY_EVENT_GAP, "N", 0, "lose every n-th cache event", 0},
    {"event-lag-ms", KEY_EVENT_LAG_MS, "MS", 0, "lag of cache events", 0},
    {"load-lag-ms", KEY_LOAD_LAG_MS, "MS", 0, "period of load reports", 0},
    {"kv-us-per-token", KEY_KV_US, "US", 0, "time to move a cached token", 0},
    {"cold-ms", KEY_COLD_MS, "MS", 0, "cold for so long after the start", 0},
    {"cold-per-sec", KEY_COLD_PER_SEC, "N", 0,
     "requests a second that it bears while cold; 0: all", 0},
    {"work-us", KEY_WORK_US, "US", 0, "plain: time of a run", 0},
    {"poison", KEY_POISON, "TEXT", 0,
     "end soon after an answer to a prompt with it has begun", 0},
    {0},
};

static int64_t
number(const char *text)
{
    return strtoll(text, NULL, 10);
}

static error_t
parse_times(int key, const char *text, struct ep_options *options)
{
    switch (key) {
    case KEY_TOKEN_US:
        options->token_usec = number(text);
        break;
    case KEY_FIRST_US:
        options->first_usec = number(text);
        break;
    case KEY_PREFILL_US:
        options->prefill_usec = number(text);
        break;
    case KEY_EVENT_LAG_MS:
        options->event_usec = number(text) * Ck_USEC_PER_MSEC;
        break;
    case KEY_LOAD_LAG_MS:
        options->load_lag_usec = number(text) * Ck_USEC_PER_MSEC;
        break;
    case KEY_KV_US:
        options->kv_usec = number(text);
        break;
    case KEY_WORK_US:
        options->work_usec = number(text);
        break;
    case KEY_COLD_MS:
        options->cold_usec = number(text) * Ck_USEC_PER_MSEC;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static error_t
parse(int key, char *text, struct argp_state *state)
{
    struct ep_options *options = state->input;
    switch (key) {
    case KEY_ADDRESS:
        options->address = text;
        break;
    case KEY_PORT:
        options->port = (int)number(text);
        break;
    case KEY_PLAIN:
        options->plain = true;
        break;
    case KEY_FENCED:
        options->fenced = true;
        break;
    case KEY_SERVICE:
        strlcpy(options->service, text, sizeof(options->service));
        break;
    case KEY_VERSION:
        strlcpy(options->version, text, sizeof(options->version));
        break;
    case KEY_SLOTS:
        options->slots = (int)number(text);
        break;
    case KEY_CACHE_BLOCKS:
        options->cache_blocks = (int)number(text);
        break;
    case KEY_COLD_PER_SEC:
        options->cold_per_sec = (int)number(text);
        break;
    case KEY_EVENT_GAP:
        options->event_gap = (int)number(text);
        break;
    case KEY_POISON:
        options->poison = text;
        break;
    default:
        return parse_times(key, text, options);
    }
    return 0;
}

static const struct argp argp = {
    .options = option_list,
    .parser = parse,
    .doc = "Stand-in for a model engine or a plain service.",
};

struct standin {
    struct ep_endpoint endpoint;
    struct en_engine *engine; /* or */
    struct pn_plain *plain;
};

static void
on_request(void *arg, struct hs_request *request)
{
    struct standin *standin = arg;
    if (Ep_Control(&standin->endpoint, request)) {
        return;
    }
    if (standin->plain != NULL) {
        Pn_Serve(standin->plain, request);
    }
    else {
        En_Serve(standin->engine, request);
    }
}

static void
serve(struct standin *standin, const struct ep_options *options)
{
    Ep_Open(&standin->endpoint, options);
    if (options->plain) {
        standin->plain = Pn_Create(&standin->endpoint);
    }
    else {
        standin->engine = En_Create(&standin->endpoint);
    }
    Sv_Run(standin->endpoint.program);
    Sv_Destroy(standin->endpoint.program);
    if (options->plain) {
        Pn_Destroy(standin->plain);
    }
    else {
        En_Destroy(standin->engine);
    }
    Ep_Close(&standin->endpoint);
}

int
main(int argc, char **argv)
{
    struct ep_options options = {
        .address = "127.0.0.1",
        .service = "assistant",
        .version = "1",
        .slots = 8,
        .token_usec = 1000,
        .cache_blocks = 1024,
        .kv_usec = 10,
    };
    if (argp_parse(&argp, argc, argv, 0, NULL, &options) != 0) {
        return 2;
    }
    struct standin standin = {0};
    struct sv_options server = {
        .address = options.address,
        .port = options.port,
        .request = on_request,
        .arg = &standin,
        .default_target = "run",
    };
    if (Sv_Create(&server, &standin.endpoint.program) != ST_OK) {
        fprintf(stderr, "standin_engine: %s\n", St_Message());
        return 1;
    }
    serve(&standin, &options);
    return 0;
}
