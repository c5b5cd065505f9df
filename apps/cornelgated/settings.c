#include "settings.h"

#include <argp.h>
#include <bsd/stdlib.h>
#include <stdlib.h>
#include <string.h>

#define Set_PORT_MAX 65535
#define Set_DRAIN_DEFAULT_SEC 120
#define Set_DRAIN_MAX_SEC 86400
#define Set_CLUSTER_KEY_MIN 16
#define Set_MEMORY_MAX_MB (1 << 24)

enum option_key {
    KEY_NODE_ID = 256,
    KEY_ADDRESS,
    KEY_PORT,
    KEY_ADMIN_PORT,
    KEY_PEER_PORT,
    KEY_DATA_CENTRE,
    KEY_REGION,
    KEY_LOG,
    KEY_HOSTS,
    KEY_CLOUD,
    KEY_WEIGHTS,
    KEY_TLS_CERT,
    KEY_TLS_KEY,
    KEY_DRAIN_SECONDS,
    KEY_BOOTSTRAP_DIGEST,
    KEY_LOG_LEVEL,
    KEY_MEMORY_MB,
};

static const struct argp_option flags[] = {
    {"node-id", KEY_NODE_ID, "NAME", 0, "name of this daemon", 0},
    {"address", KEY_ADDRESS, "IP", 0, "address to listen on", 0},
    {"port", KEY_PORT, "N", 0, "port for callers; 0 picks one", 0},
    {"admin-port", KEY_ADMIN_PORT, "N", 0, "port for operators", 0},
    {"peer-port", KEY_PEER_PORT, "N", 0, "port for other daemons", 0},
    {"data-centre", KEY_DATA_CENTRE, "NAME", 0, "where this host is", 0},
    {"region", KEY_REGION, "NAME", 0, "region of the data centre", 0},
    {"log", KEY_LOG, "IP:PORT", 0, "the platform's log", 0},
    {"hosts", KEY_HOSTS, "IP:PORT", 0, "the platform's host list", 0},
    {"cloud", KEY_CLOUD, "IP:PORT", 0, "the cloud's interface", 0},
    {"weights", KEY_WEIGHTS, "IP:PORT", 0, "the weight store", 0},
    {"tls-cert", KEY_TLS_CERT, "FILE", 0, "certificate for callers", 0},
    {"tls-key", KEY_TLS_KEY, "FILE", 0, "key of the certificate", 0},
    {"drain-seconds", KEY_DRAIN_SECONDS, "N", 0, "longest planned stop", 0},
    {"bootstrap-digest", KEY_BOOTSTRAP_DIGEST, "HEX", 0,
     "digest of the first operator's key", 0},
    {"memory-mb", KEY_MEMORY_MB, "N", 0,
     "memory of this host; 0, if not given: as the host says", 0},
    {"log-level", KEY_LOG_LEVEL, "LEVEL", 0, "error, warn, info or debug", 0},
    {0},
};

static enum st_status
read_number(const char *name, const char *text, int max, int *out)
{
    const char *problem = NULL;
    *out = (int)strtonum(text, 0, max, &problem);
    if (problem != NULL) {
        return St_Fail(ST_INVALID, "%s '%s' is %s; give 0 to %d", name, text,
                       problem, max);
    }
    return ST_OK;
}

static enum st_status
read_level(const char *text, enum ev_level *out)
{
    static const struct {
        const char *name;
        enum ev_level level;
    } levels[] = {
        {"error", EV_ERROR},
        {"warn", EV_WARN},
        {"info", EV_INFO},
        {"debug", EV_DEBUG},
    };
    for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
        if (strcmp(levels[i].name, text) == 0) {
            *out = levels[i].level;
            return ST_OK;
        }
    }
    return St_Fail(ST_INVALID,
                   "log level '%s' is unknown; use error, warn, info or debug",
                   text);
}

static enum st_status
set_option(struct settings *settings, int key, char *value)
{
    struct gt_options *options = &settings->options;
    int number;
    enum st_status status;
    switch (key) {
    case KEY_NODE_ID:
        options->node_id = value;
        return ST_OK;
    case KEY_ADDRESS:
        options->address = value;
        return ST_OK;
    case KEY_PORT:
        return read_number("port", value, Set_PORT_MAX, &options->port);
    case KEY_ADMIN_PORT:
        return read_number("admin-port", value, Set_PORT_MAX,
                           &options->admin_port);
    case KEY_PEER_PORT:
        return read_number("peer-port", value, Set_PORT_MAX,
                           &options->peer_port);
    case KEY_DATA_CENTRE:
        options->data_centre = value;
        return ST_OK;
    case KEY_REGION:
        options->region = value;
        return ST_OK;
    case KEY_LOG:
        return Jc_ParseTarget(value, &options->log);
    case KEY_HOSTS:
        return Jc_ParseTarget(value, &options->hosts);
    case KEY_CLOUD:
        return Jc_ParseTarget(value, &options->cloud);
    case KEY_WEIGHTS:
        return Jc_ParseTarget(value, &options->weights);
    case KEY_TLS_CERT:
        options->tls_cert_file = value;
        return ST_OK;
    case KEY_TLS_KEY:
        options->tls_key_file = value;
        return ST_OK;
    case KEY_DRAIN_SECONDS:
        status =
            read_number("drain-seconds", value, Set_DRAIN_MAX_SEC, &number);
        options->drain_usec = number * Ck_USEC_PER_SEC;
        return status;
    case KEY_BOOTSTRAP_DIGEST:
        options->bootstrap_digest = value;
        return ST_OK;
    case KEY_MEMORY_MB:
        status = read_number("memory-mb", value, Set_MEMORY_MAX_MB, &number);
        options->memory_bytes = (int64_t)number << 20;
        return status;
    case KEY_LOG_LEVEL:
        return read_level(value, &settings->log_level);
    default:
        return St_Fail(ST_INTERNAL, "unknown option %d", key);
    }
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    if (key == ARGP_KEY_ARG) {
        argp_error(state, "unexpected argument '%s'", arg);
        return EINVAL;
    }
    if (key < KEY_NODE_ID || key > KEY_MEMORY_MB) {
        return ARGP_ERR_UNKNOWN;
    }
    if (set_option(state->input, key, arg) != ST_OK) {
        argp_error(state, "%s", St_Message());
        return EINVAL;
    }
    return 0;
}

/* Reads the variable of a flag: CORNELGATE_DATA_CENTRE for "data-centre". */
static char *
from_environment(const char *flag)
{
    char name[64] = "CORNELGATE_";
    size_t at = strlen(name);
    for (; *flag != '\0' && at + 1 < sizeof(name); flag++) {
        name[at++] = *flag == '-' ? '_' : (char)(*flag - 'a' + 'A');
    }
    name[at] = '\0';
    return getenv(name);
}

static enum st_status
read_environment(struct settings *settings)
{
    for (size_t i = 0; flags[i].name != NULL; i++) {
        char *value = from_environment(flags[i].name);
        if (value != NULL &&
            set_option(settings, flags[i].key, value) != ST_OK) {
            return ST_INVALID;
        }
    }
    return ST_OK;
}

static enum st_status
check_options(const struct gt_options *options)
{
    if (options->node_id == NULL || options->data_centre == NULL ||
        options->region == NULL) {
        return St_Fail(ST_INVALID,
                       "give --node-id, --data-centre and --region");
    }
    if (options->log.port == 0 || options->hosts.port == 0) {
        return St_Fail(ST_INVALID, "give --log and --hosts as IP:PORT");
    }
    if (options->cluster_key == NULL ||
        strlen(options->cluster_key) < Set_CLUSTER_KEY_MIN) {
        return St_Fail(ST_INVALID,
                       "set CORNELGATE_CLUSTER_KEY to the cluster's key of "
                       "at least %d bytes; the same on every daemon",
                       Set_CLUSTER_KEY_MIN);
    }
    if ((options->tls_cert_file == NULL) != (options->tls_key_file == NULL)) {
        return St_Fail(ST_INVALID, "give both --tls-cert and --tls-key");
    }
    return ST_OK;
}

/*
 * Reads the settings; flags override environment variables.  ST_INVALID: the
 * message states what to give instead.  The cluster key is read only from the
 * environment, because other users of the host can see a process's arguments
 * but not its environment.
 */
enum st_status
Set_Read(int argc, char **argv, struct settings *settings)
{
    memset(settings, 0, sizeof(*settings));
    settings->log_level = EV_INFO;
    settings->options.address = "127.0.0.1";
    settings->options.drain_usec = Set_DRAIN_DEFAULT_SEC * Ck_USEC_PER_SEC;
    settings->options.cluster_key = getenv("CORNELGATE_CLUSTER_KEY");
    if (read_environment(settings) != ST_OK) {
        return ST_INVALID;
    }
    const struct argp argp = {
        .options = flags,
        .parser = parse_option,
        .doc = "Serves callers before model engines and plain services.",
    };
    argp_parse(&argp, argc, argv, 0, NULL, settings);
    return check_options(&settings->options);
}
