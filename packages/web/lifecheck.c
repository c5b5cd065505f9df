#include "web/lifecheck.h"

#include <stdio.h>
#include <stdlib.h>

#define Lc_REQUEST "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n"
#define Lc_REQUEST_MAX 512

struct lc_check {
    struct sk_sock *sock;
    lc_done_fn done;
    void *arg;
};

static void
end(struct lc_check *check, bool answered)
{
    lc_done_fn done = check->done;
    void *arg = check->arg;
    Lc_Cancel(check);
    done(arg, answered);
}

static void
on_data(void *arg, const char *data, size_t len)
{
    (void)data;
    (void)len;
    end(arg, true);
}

static void
on_closed(void *arg, bool clean)
{
    (void)clean;
    end(arg, false);
}

static const struct sk_ops sock_ops = {
    .data = on_data,
    .closed = on_closed,
};

struct lc_check *
Lc_Start(struct sk_sock *sock, const char *host, const char *path,
         lc_done_fn done, void *arg)
{
    char request[Lc_REQUEST_MAX];
    int len = snprintf(request, sizeof(request), Lc_REQUEST, path, host);
    struct lc_check *check = calloc(1, sizeof(*check));
    if (check == NULL || len < 0 || (size_t)len >= sizeof(request)) {
        free(check);
        Sk_Close(sock);
        return NULL;
    }
    check->sock = sock;
    check->done = done;
    check->arg = arg;
    Sk_SetOwner(sock, &sock_ops, check);
    Sk_Write(sock, request, (size_t)len);
    return check;
}

void
Lc_Cancel(struct lc_check *check)
{
    if (check != NULL) {
        Sk_Close(check->sock);
        free(check);
    }
}
