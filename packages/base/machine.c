#include "base/machine.h"

#include <malloc.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#define Mc_LARGE_BYTES (128 << 10)
/* The limit of the control group that a process of a container is in. */
#define Mc_GROUP_LIMIT "/sys/fs/cgroup/memory.max"

static int64_t
limit_of(__rlimit_resource_t resource)
{
    struct rlimit limit;
    if (getrlimit(resource, &limit) != 0 || limit.rlim_cur > INT64_MAX) {
        return INT64_MAX;
    }
    return (int64_t)limit.rlim_cur;
}

/* INT64_MAX without one. */
static int64_t
group_limit(void)
{
    FILE *file = fopen(Mc_GROUP_LIMIT, "re");
    long long bytes = INT64_MAX;
    if (file != NULL) {
        if (fscanf(file, "%lld", &bytes) != 1) {
            bytes = INT64_MAX;
        }
        fclose(file);
    }
    return bytes;
}

static int64_t
lower(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

int64_t
Mc_MemoryBytes(void)
{
    int64_t bytes =
        (int64_t)sysconf(_SC_PHYS_PAGES) * (int64_t)sysconf(_SC_PAGESIZE);
    bytes = lower(bytes, group_limit());
    bytes = lower(bytes, limit_of(RLIMIT_AS));
    return lower(bytes, limit_of(RLIMIT_DATA));
}

/* Setting it, even to its default, keeps the threshold from growing. */
void
Mc_GiveBackLarge(void)
{
    mallopt(M_MMAP_THRESHOLD, Mc_LARGE_BYTES);
    mallopt(M_TRIM_THRESHOLD, Mc_LARGE_BYTES);
}

size_t
Mc_Files(void)
{
    return (size_t)limit_of(RLIMIT_NOFILE);
}
