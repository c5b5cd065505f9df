#include "base/log_line.h"

#include <bsd/string.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define Ln_LINE_MAX 1024
#define Ln_BUFFER_BYTES 65536
#define Ln_WRITE_BYTES                                                        \
    4096 /* a writable pipe accepts this much without blocking */
/*
 * Rate and burst of a token bucket, in lines.  A daemon handles some tens of
 * requests a second with a few lines each.  At ten times that rate it is
 * overloaded, and lines about single successful requests explain nothing.
 */
#define Ln_PER_SEC 200.0
#define Ln_BURST 400.0
/* Fraction of the burst that is reserved for lines that are not ordinary. */
#define Ln_ORDINARY_RESERVE 0.5

static struct {
    int fd;
    bool open;
    const struct ck_clock *clock;
    char node[96];
    double tokens;
    int64_t refilled_at;
    unsigned long suppressed;
    size_t len;
    char buffer[Ln_BUFFER_BYTES];
} out;

void
Ln_Open(int fd, const struct ck_clock *clock, const char *node)
{
    out.fd = fd;
    out.open = true;
    out.clock = clock;
    out.tokens = Ln_BURST;
    out.refilled_at = Ck_Now(clock);
    strlcpy(out.node, node, sizeof(out.node));
}

static bool
take_token(enum ln_class weight)
{
    int64_t now = Ck_Now(out.clock);
    out.tokens +=
        (double)(now - out.refilled_at) * Ln_PER_SEC / (double)Ck_USEC_PER_SEC;
    out.refilled_at = now;
    if (out.tokens > Ln_BURST) {
        out.tokens = Ln_BURST;
    }
    double required =
        weight == LN_ORDINARY ? Ln_BURST * Ln_ORDINARY_RESERVE : 1;
    if (out.tokens < required || out.len + Ln_LINE_MAX > Ln_BUFFER_BYTES) {
        return false;
    }
    out.tokens -= 1;
    return true;
}

static void
append(const char *event, const char *members)
{
    int64_t wall_usec = Ck_Wall(out.clock);
    int len =
        snprintf(out.buffer + out.len, Ln_LINE_MAX,
                 "{\"t\":%lld.%03lld,\"node\":\"%s\",\"ev\":\"%s\"%s%s}\n",
                 (long long)(wall_usec / Ck_USEC_PER_SEC),
                 (long long)(wall_usec % Ck_USEC_PER_SEC / Ck_USEC_PER_MSEC),
                 out.node, event, members[0] == '\0' ? "" : ",", members);
    if (len > 0 && len < Ln_LINE_MAX) {
        out.len += (size_t)len;
    }
    else {
        out.suppressed++;
    }
}

void
Ln_Log(enum ln_class weight, const char *event, const char *fmt, ...)
{
    if (!out.open) {
        return;
    }
    if (!take_token(weight)) {
        out.suppressed++;
        return;
    }
    char members[Ln_LINE_MAX];
    va_list args;
    va_start(args, fmt);
    vsnprintf(members, sizeof(members), fmt, args);
    va_end(args);
    append(event, members);
}

void
Ln_Flush(void)
{
    if (!out.open) {
        return;
    }
    if (out.suppressed > 0 && out.len + Ln_LINE_MAX <= Ln_BUFFER_BYTES) {
        char members[64];
        snprintf(members, sizeof(members), "\"lines\":%lu", out.suppressed);
        out.suppressed = 0;
        append("log.suppressed", members);
    }
    while (out.len > 0) {
        struct pollfd poller = {.fd = out.fd, .events = POLLOUT};
        if (poll(&poller, 1, 0) != 1 || (poller.revents & POLLOUT) == 0) {
            return;
        }
        size_t want = out.len < Ln_WRITE_BYTES ? out.len : Ln_WRITE_BYTES;
        ssize_t n = write(out.fd, out.buffer, want);
        if (n <= 0) {
            return;
        }
        out.len -= (size_t)n;
        memmove(out.buffer, out.buffer + n, out.len);
    }
}

void
Ln_Sanitize(char *text)
{
    for (; *text != '\0'; text++) {
        unsigned char c = (unsigned char)*text;
        if (c < ' ' || c > '~' || c == '"' || c == '\\') {
            *text = '?';
        }
    }
}
