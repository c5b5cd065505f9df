/*
 * Status codes shared by all packages.  A function that can fail returns an
 * enum st_status.  St_Message returns the message of the last failure, which
 * names the remedy and stays valid until the next failure.
 */
#ifndef BASE_STATUS_H
#define BASE_STATUS_H

#ifdef __cplusplus
extern "C" {
#endif

enum st_status {
    ST_OK = 0,
    ST_INVALID,     /* the input is wrong; the message says which part */
    ST_NOT_FOUND,   /* the named thing does not exist */
    ST_CONFLICT,    /* a concurrent write was applied first */
    ST_DENIED,      /* the caller may not do this */
    ST_OVERLOAD,    /* a limit was reached; try again later */
    ST_TIMEOUT,     /* no answer in time; the effect is unknown */
    ST_UNAVAILABLE, /* the peer could not be reached; no effect */
    ST_UNKNOWN,     /* the effect of an earlier step cannot be known */
    ST_NO_MEMORY,   /* an allocation or a fixed table is exhausted */
    ST_INTERNAL,    /* a defect of this program */
};

enum st_status St_Fail(enum st_status kind, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
const char *St_Message(void);
const char *St_Name(enum st_status kind);

#ifdef __cplusplus
}
#endif

#endif
