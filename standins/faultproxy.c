/* A forwarder that spoils what passes, for tests of failing networks. */
#include <argp.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/proxy.h"
#include "standins/serve.h"

#define ADDRESS_MAX 64

enum key {
    KEY_ADDRESS = 256,
    KEY_PORT,
    KEY_LISTEN_PORT,
    KEY_TO,
    KEY_UDP,
    KEY_SEED,
};

static const struct argp_option option_list[] = {
    {"address", KEY_ADDRESS, "IP", 0, "address to listen on", 0},
    {"port", KEY_PORT, "N", 0, "control port; 0 picks a free one", 0},
    {"listen-port", KEY_LISTEN_PORT, "N", 0, "port of the forwarder", 0},
    {"to", KEY_TO, "IP:PORT", 0, "where to forward", 0},
    {"udp", KEY_UDP, NULL, 0, "forward datagrams as well", 0},
    {"seed", KEY_SEED, "N", 0, "seed of the random choices", 0},
    {0},
};

struct options {
    const char *address;
    int port;
    int listen_port;
    const char *to;
    bool udp;
    uint64_t seed;
};

struct faultproxy {
    struct sv_program *program;
    struct px_proxy proxy;
    struct px_tcp *tcp;
    struct px_udp *udp;
};

static error_t
parse(int key, char *text, struct argp_state *state)
{
    struct options *options = state->input;
    switch (key) {
    case KEY_ADDRESS:
        options->address = text;
        break;
    case KEY_PORT:
        options->port = (int)strtol(text, NULL, 10);
        break;
    case KEY_LISTEN_PORT:
        options->listen_port = (int)strtol(text, NULL, 10);
        break;
    case KEY_TO:
        options->to = text;
        break;
    case KEY_UDP:
        options->udp = true;
        break;
    case KEY_SEED:
        options->seed = strtoull(text, NULL, 10);
        break;
    case ARGP_KEY_END:
        if (options->to == NULL) {
            argp_error(state, "name the target with --to IP:PORT");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static const struct argp argp = {
    .options = option_list,
    .parser = parse,
    .doc = "Forwards connections and datagrams with faults on demand.",
};

static json_t *
counts(const struct px_counts *counts)
{
    return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
                     "connections", (json_int_t)counts->connections, "open",
                     (json_int_t)counts->open, "resets",
                     (json_int_t)counts->resets, "up_bytes",
                     (json_int_t)counts->bytes[PX_UP], "down_bytes",
                     (json_int_t)counts->bytes[PX_DOWN], "up_datagrams",
                     (json_int_t)counts->datagrams[PX_UP], "down_datagrams",
                     (json_int_t)counts->datagrams[PX_DOWN], "dropped",
                     (json_int_t)counts->dropped, "duplicated",
                     (json_int_t)counts->duplicated);
}

static void
add_fault(struct faultproxy *self, struct hs_request *request)
{
    json_t *spec = Sv_BodyJson(request);
    enum st_status status = Px_FaultAdd(&self->proxy.faults, spec);
    json_decref(spec);
    if (status != ST_OK) {
        Sv_Reply(self->program, request, 400,
                 json_pack("{s:s}", "error", St_Message()));
        return;
    }
    Px_TcpApply(self->tcp);
    Sv_Reply(self->program, request, 200, json_object());
}

static void
on_request(void *arg, struct hs_request *request)
{
    struct faultproxy *self = arg;
    if (Sv_Is(request, "POST", "/standin/fault")) {
        add_fault(self, request);
    }
    else if (Sv_Is(request, "POST", "/standin/clear")) {
        memset(&self->proxy.faults, 0, sizeof(self->proxy.faults));
        Px_TcpApply(self->tcp);
        Sv_Reply(self->program, request, 200, json_object());
    }
    else if (Sv_Is(request, "GET", "/standin/counts")) {
        Sv_Reply(self->program, request, 200, counts(&self->proxy.counts));
    }
    else {
        Sv_Reply(self->program, request, 404,
                 json_pack("{s:s}", "error", "no such path"));
    }
}

static bool
set_addresses(struct px_proxy *proxy, const struct options *options)
{
    char address[ADDRESS_MAX];
    const char *colon = strrchr(options->to, ':');
    if (colon == NULL || colon - options->to >= ADDRESS_MAX) {
        return false;
    }
    memcpy(address, options->to, (size_t)(colon - options->to));
    address[colon - options->to] = '\0';
    proxy->target.sin_family = AF_INET;
    proxy->target.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
    proxy->listen.sin_family = AF_INET;
    proxy->listen.sin_port = htons((uint16_t)options->listen_port);
    return inet_pton(AF_INET, address, &proxy->target.sin_addr) == 1 &&
           inet_pton(AF_INET, options->address, &proxy->listen.sin_addr) == 1;
}

static enum st_status
open_proxy(struct faultproxy *self, const struct options *options)
{
    if (!set_addresses(&self->proxy, options)) {
        return St_Fail(ST_INVALID, "give IP numbers and --to IP:PORT");
    }
    struct sv_options serve = {
        .address = options->address,
        .port = options->port,
        .request = on_request,
        .arg = self,
    };
    enum st_status status = Sv_Create(&serve, &self->program);
    if (status != ST_OK) {
        return status;
    }
    self->proxy.loop = Sv_Loop(self->program);
    Rn_Seed(&self->proxy.random, options->seed);
    status = Px_TcpCreate(&self->proxy, &self->tcp);
    if (status == ST_OK && options->udp) {
        status = Px_UdpCreate(&self->proxy, &self->udp);
    }
    return status;
}

int
main(int argc, char **argv)
{
    struct options options = {.address = "127.0.0.1", .seed = 1};
    struct faultproxy self = {0};
    if (argp_parse(&argp, argc, argv, 0, NULL, &options) != 0) {
        return 2;
    }
    if (open_proxy(&self, &options) != ST_OK) {
        fprintf(stderr, "standin_faultproxy: %s\n", St_Message());
        return 1;
    }
    Sv_ReadyAlso(self.program, "listen_port",
                 ntohs(self.proxy.listen.sin_port));
    Sv_Run(self.program);
    Px_UdpDestroy(self.udp);
    Px_TcpDestroy(self.tcp);
    Sv_Destroy(self.program);
    return 0;
}
