/* Gossip rows about parts that crash endpoints (see poison.h), in msgpack. */
#ifndef POLICY_POISON_PACK_H
#define POLICY_POISON_PACK_H

#include <msgpack.h>

#include "policy/poison.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Each list is one array of numbers, row after row. */
void Pz_PackCrashes(msgpack_packer *packer, const struct pz_crash *rows,
                    size_t count);
void Pz_PackClears(msgpack_packer *packer, const struct pz_clear *rows,
                   size_t count);
void Pz_PackQuarantines(msgpack_packer *packer,
                        const struct pz_quarantine *rows, size_t count);
/* Read at most "rows_max" rows; return their number, 0 if it is no array. */
size_t Pz_ReadCrashes(const msgpack_object *list, struct pz_crash *out,
                      size_t rows_max);
size_t Pz_ReadClears(const msgpack_object *list, struct pz_clear *out,
                     size_t rows_max);
size_t Pz_ReadQuarantines(const msgpack_object *list,
                          struct pz_quarantine *out, size_t rows_max);

#ifdef __cplusplus
}
#endif

#endif
