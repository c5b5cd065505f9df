/* Prints the differences between two JSON documents, one value per line. */
#ifndef CORNELCTL_CHANGES_H
#define CORNELCTL_CHANGES_H

#include <jansson.h>
#include <stdio.h>

size_t Ch_Print(FILE *out, const char *path, const json_t *before,
                const json_t *after);

#endif
