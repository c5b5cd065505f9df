/*
 * Statistics of lost requests, from the daemons' logs.  The refusal or end of
 * a request is joined by request id with the endpoint it was sent to. Requests
 * are counted by reason, customer, route, endpoint and second.
 *
 * Logs of many daemons may be read one after the other, compressed or not.
 * Memory grows with the number of requests in flight at one time and with the
 * number of different names, not with the length of the logs.
 */
#ifndef LOSS_LOSS_H
#define LOSS_LOSS_H

#include <stdbool.h>
#include <stdio.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ls_losses;

/* Returns NULL if an allocation fails. */
struct ls_losses *Ls_Create(void);
void Ls_Destroy(struct ls_losses *losses);

/*
 * Reads one line, with or without its newline.  A line that is not an event of
 * a daemon is counted and skipped.
 */
void Ls_AddLine(struct ls_losses *losses, const char *line);
/*
 * Reads a log file, plain or compressed with gzip.  Returns ST_NOT_FOUND if it
 * cannot be read.  Truncated compressed data counts as one malformed line.
 */
enum st_status Ls_AddFile(struct ls_losses *losses, const char *path);
/* Call after the last line: counts requests still in flight as lost. */
void Ls_Finish(struct ls_losses *losses);

/* Print the statistics; they return false if writing fails. */
bool Ls_PrintText(const struct ls_losses *losses, FILE *out);
bool Ls_PrintJson(const struct ls_losses *losses, FILE *out);
/* Prints a chart of the requests served, late and lost in each second. */
bool Ls_PrintSvg(const struct ls_losses *losses, FILE *out);

#ifdef __cplusplus
}
#endif

#endif
