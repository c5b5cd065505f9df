/* cornelctl, the operators' command; docs/man/cornelctl.1 describes it. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "command.h"

#define Ct_WAIT_DEFAULT_SEC 15

enum option_key {
    KEY_ADMIN = 256,
    KEY_BACK,
    KEY_COUNT,
    KEY_JSON,
    KEY_OUT,
    KEY_SVG,
    KEY_TLS,
    KEY_WAIT,
};

struct command {
    const char *name;
    const char *operand; /* name shown in errors; NULL: takes no operand */
    bool multiple;       /* accepts several operands */
    int (*run)(const struct ct_options *options);
};

static const struct command commands[] = {
    {"check", "FILE", false, Ct_Check},
    {"diff", "FILE", false, Ct_Diff},
    {"evacuate", "DATA-CENTRE", false, Ct_Evacuate},
    {"explain", "FILE", true, Ct_Explain},
    {"generate", "FILE", false, Ct_Generate},
    {"key", "NAME", false, Ct_Key},
    {"publish", "FILE", false, Ct_Publish},
    {"status", NULL, false, Ct_Status},
    {"watch", NULL, false, Ct_Watch},
};

struct command_line {
    struct ct_options options;
    const struct command *command;
};

static const struct argp_option option_list[] = {
    {"admin", KEY_ADMIN, "IP:PORT[,...]", 0,
     "administration addresses of daemons; the first that answers is used", 0},
    {"back", KEY_BACK, NULL, 0, "evacuate: use the data centre again", 0},
    {"count", KEY_COUNT, "N", 0, "watch: look N times, then end", 0},
    {"json", KEY_JSON, NULL, 0, "status, explain: print JSON", 0},
    {"out", KEY_OUT, "DIR", 0, "generate: write one file a section", 0},
    {"svg", KEY_SVG, "FILE", 0, "explain: write a timeline into FILE", 0},
    {"tls", KEY_TLS, NULL, 0, "speak TLS to the daemons", 0},
    {"wait", KEY_WAIT, "SECONDS", 0,
     "publish, evacuate: wait so long for every daemon (15)", 0},
    {0},
};

static const char description[] =
    "Checks, generates, compares and publishes the configuration of "
    "cornelgate, evacuates data centres, shows what its daemons report, and "
    "explains their logs."
    "\vCommands: check FILE, generate FILE, diff FILE, publish FILE, "
    "evacuate DATA-CENTRE, status, "
    "watch, key NAME, explain FILE... The key of your team is taken from the "
    "environment "
    "variable CORNELGATE_ADMIN_KEY.";

static const struct command *
find_command(const char *name)
{
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return &commands[i];
        }
    }
    return NULL;
}

static double
parse_number(const char *text, struct argp_state *state, const char *option)
{
    char *end;
    double value = strtod(text, &end);
    if (end == text || *end != '\0' || !(value >= 0 && value <= 86400)) {
        argp_error(state, "%s %s: give a number from 0 to 86400", option,
                   text);
    }
    return value;
}

static void
take_argument(struct command_line *line, const char *argument,
              struct argp_state *state)
{
    if (line->command == NULL) {
        line->command = find_command(argument);
        if (line->command == NULL) {
            argp_error(state, "there is no command \"%s\"; see --help",
                       argument);
        }
    }
    else if (line->command->operand != NULL && line->options.operand == NULL) {
        line->options.operand = argument;
        line->options.files = &state->argv[state->next - 1];
        line->options.file_count = 1;
    }
    else if (line->command->multiple) {
        line->options.file_count++;
    }
    else {
        argp_error(state, "\"%s\" is one word too many", argument);
    }
}

static void
check_command_line(const struct command_line *line, struct argp_state *state)
{
    if (line->command == NULL) {
        argp_error(state, "name a command; see --help");
    }
    else if (line->command->operand != NULL && line->options.operand == NULL) {
        argp_error(state, "%s needs a %s", line->command->name,
                   line->command->operand);
    }
}

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    struct command_line *line = state->input;
    switch (key) {
    case KEY_ADMIN:
        line->options.admins = text;
        break;
    case KEY_BACK:
        line->options.back = true;
        break;
    case KEY_COUNT:
        line->options.count = (int)parse_number(text, state, "--count");
        break;
    case KEY_JSON:
        line->options.json = true;
        break;
    case KEY_OUT:
        line->options.out_dir = text;
        break;
    case KEY_SVG:
        line->options.svg = text;
        break;
    case KEY_TLS:
        line->options.tls = true;
        break;
    case KEY_WAIT:
        line->options.wait_usec =
            (int64_t)(parse_number(text, state, "--wait") * Ck_USEC_PER_SEC);
        break;
    case ARGP_KEY_ARG:
        take_argument(line, text, state);
        break;
    case ARGP_KEY_END:
        check_command_line(line, state);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static const struct argp argp = {
    .options = option_list,
    .parser = parse_option,
    .args_doc = "COMMAND [FILE... | NAME]",
    .doc = description,
};

/* Prints a failure to standard error and returns its exit status. */
int
Ct_Report(enum st_status status)
{
    if (status == ST_OK) {
        return CT_DONE;
    }
    fprintf(stderr, "cornelctl: %s\n", St_Message());
    switch (status) {
    case ST_INVALID:
    case ST_NOT_FOUND:
        return CT_INVALID;
    case ST_CONFLICT:
        return CT_CONFLICT;
    case ST_DENIED:
        return CT_DENIED;
    case ST_UNAVAILABLE:
    case ST_TIMEOUT:
    case ST_UNKNOWN:
    case ST_OVERLOAD:
        return CT_UNAVAILABLE;
    default:
        return CT_FAILED;
    }
}

int
main(int argc, char **argv)
{
    struct command_line line = {
        .options = {
            .key = getenv("CORNELGATE_ADMIN_KEY"),
            .admins = getenv("CORNELGATE_ADMIN"),
            .wait_usec = Ct_WAIT_DEFAULT_SEC * Ck_USEC_PER_SEC,
        }};
    argp_err_exit_status = CT_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &line);
    return line.command->run(&line.options);
}
