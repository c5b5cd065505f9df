/* What the machine, or its limits on this process, allow. */
#ifndef BASE_MACHINE_H
#define BASE_MACHINE_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Memory in bytes: the machine's, or a lower limit of the process. */
int64_t Mc_MemoryBytes(void);
/* Descriptors that the process may open. */
size_t Mc_Files(void);
/*
 * From now on large allocations are given back to the machine when they are
 * freed.  The C library would keep them for the process, in pieces between
 * which what is still in use lies.
 */
void Mc_GiveBackLarge(void);

#ifdef __cplusplus
}
#endif

#endif
