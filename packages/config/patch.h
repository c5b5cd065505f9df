/*
 * JSON merge patches (RFC 7386).
 */
#ifndef CONFIG_PATCH_H
#define CONFIG_PATCH_H

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

json_t *Mp_Apply(const json_t *target, const json_t *patch);
json_t *Mp_Diff(const json_t *before, const json_t *after);

#ifdef __cplusplus
}
#endif

#endif
