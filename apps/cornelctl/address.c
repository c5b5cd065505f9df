#include "address.h"

#include <arpa/inet.h>
#include <bsd/string.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define Ar_LINE_MAX 4096
#define Ar_PORT_MAX 65535

static enum st_status
fail_invalid(const char *text)
{
    return St_Fail(ST_INVALID,
                   "--admin: \"%s\" will not do: give IP:PORT, such as "
                   "10.0.0.1:7002 or [fd00::1]:7002, several with commas",
                   text);
}

static bool
is_ip(const char *text)
{
    unsigned char bytes[sizeof(struct in6_addr)];
    return inet_pton(AF_INET, text, bytes) == 1 ||
           inet_pton(AF_INET6, text, bytes) == 1;
}

static enum st_status
parse_one(const char *text, struct ar_target *target)
{
    const char *colon = strrchr(text, ':');
    if (colon == NULL) {
        return fail_invalid(text);
    }
    bool brackets = text[0] == '[' && colon > text && colon[-1] == ']';
    const char *start = brackets ? text + 1 : text;
    size_t len = (size_t)(colon - start) - (brackets ? 1 : 0);
    if (len >= sizeof(target->address)) {
        return fail_invalid(text);
    }
    memcpy(target->address, start, len);
    target->address[len] = '\0';
    char *end;
    long port = strtol(colon + 1, &end, 10);
    if (end == colon + 1 || *end != '\0' || port < 1 || port > Ar_PORT_MAX ||
        !is_ip(target->address)) {
        return fail_invalid(text);
    }
    target->port = (int)port;
    return ST_OK;
}

/* Parses "IP:PORT[,IP:PORT...]"; IPv6 addresses may have brackets. */
enum st_status
Ar_Parse(const char *text, struct ar_list *out)
{
    out->count = 0;
    if (text == NULL) {
        return St_Fail(ST_INVALID, "--admin is missing: give the "
                                   "administration address of a daemon, "
                                   "IP:PORT");
    }
    char line[Ar_LINE_MAX];
    if (strlcpy(line, text, sizeof(line)) >= sizeof(line)) {
        return fail_invalid("a list of more than 4095 bytes");
    }
    char *rest = line;
    char *item;
    while ((item = strsep(&rest, ",")) != NULL) {
        if (out->count == Ar_TARGETS_MAX) {
            return fail_invalid("a list of more than 64 addresses");
        }
        enum st_status status = parse_one(item, &out->items[out->count]);
        if (status != ST_OK) {
            return status;
        }
        out->count++;
    }
    return ST_OK;
}
