/* Queries on a request. */
#include <ctype.h>
#include <string.h>

#include "web/server_internal.h"

/* The method in upper case. */
const char *
Hs_Method(const struct hs_request *request)
{
    return request->method;
}

/* The decoded path without the query. */
const char *
Hs_Path(const struct hs_request *request)
{
    return request->path;
}

/* Percent-encodes what may not stand in a path or query as it is. */
static size_t
encode(const char *text, const char *keep, char *out, size_t size)
{
    static const char hex[] = "0123456789ABCDEF";
    size_t n = 0;
    for (; *text != '\0' && n + 4 < size; text++) {
        unsigned char c = (unsigned char)*text;
        if (isalnum(c) || strchr(keep, c) != NULL) {
            out[n++] = (char)c;
            continue;
        }
        out[n++] = '%';
        out[n++] = hex[c >> 4];
        out[n++] = hex[c & 15];
    }
    out[n] = '\0';
    return *text == '\0' ? n : size;
}

/*
 * The path and query as they are sent on to an endpoint.  The library has
 * decoded both; a "&" that was encoded within a query value cannot be told
 * from a separator any more.  False when it does not fit.
 */
bool
Hs_Target(const struct hs_request *request, char *out, size_t size)
{
    size_t n = encode(request->path, "/-._~!$'()*+,;:@=&", out, size);
    if (n >= size || request->query[0] == '\0') {
        return n < size;
    }
    if (n + 2 >= size) {
        return false;
    }
    out[n++] = '?';
    return encode(request->query, "/?-._~!$'()*,;:@=&", out + n, size - n) <
           size - n;
}

/* A kept header by its lower-case name, or NULL. */
const char *
Hs_Header(const struct hs_request *request, const char *name)
{
    const char *const *names = request->server->headers;
    for (size_t i = 0; names != NULL && names[i] != NULL && i < Hs_HEADERS_MAX;
         i++) {
        if (strcmp(names[i], name) == 0) {
            return request->values[i];
        }
    }
    return NULL;
}

/* Copies one query argument; false when it is missing or too long. */
bool
Hs_Query(const struct hs_request *request, const char *name, char *out,
         size_t size)
{
    size_t name_len = strlen(name);
    const char *at = request->query;
    while (at != NULL && *at != '\0') {
        if (strncmp(at, name, name_len) == 0 && at[name_len] == '=') {
            const char *value = at + name_len + 1;
            size_t len = strcspn(value, "&");
            if (len >= size) {
                return false;
            }
            memcpy(out, value, len);
            out[len] = '\0';
            return true;
        }
        at = strchr(at, '&');
        at = at != NULL ? at + 1 : NULL;
    }
    return false;
}

/* The body, NUL-terminated; an empty string when there is none. */
const char *
Hs_Body(const struct hs_request *request, size_t *len)
{
    size_t all = request->body.len;
    if (len != NULL) {
        *len = all > 0 ? all - 1 : 0; /* without the NUL */
    }
    return all > 0 ? request->body.data : "";
}

/* Keeps a pointer of the handler with the request. */
void
Hs_SetUser(struct hs_request *request, void *user)
{
    request->user = user;
}

/* The pointer given to Hs_SetUser(), NULL before. */
void *
Hs_User(const struct hs_request *request)
{
    return request->user;
}
