#include "gate/peer_poison.h"

#include <msgpack.h>
#include <string.h>

#include "base/msgpack_check.h"
#include "policy/poison_pack.h"

size_t
Pp_Write(const char *key, const struct gq_rows *rows, char *out, size_t size)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    size_t count = 0;
    if (strcmp(key, Pp_CRASHED) == 0) {
        count = rows->crash_count;
        Pz_PackCrashes(&packer, rows->crashes, count);
    }
    else if (strcmp(key, Pp_CONTENT_CRASHED) == 0) {
        count = rows->content_crash_count;
        Pz_PackCrashes(&packer, rows->content_crashes, count);
    }
    else if (strcmp(key, Pp_CLEARED) == 0) {
        count = rows->clear_count;
        Pz_PackClears(&packer, rows->clears, count);
    }
    else {
        count = rows->quarantine_count;
        Pz_PackQuarantines(&packer, rows->quarantines, count);
    }
    size_t len = count > 0 && buffer.size <= size ? buffer.size : 0;
    memcpy(out, buffer.data, len);
    msgpack_sbuffer_destroy(&buffer);
    return len;
}

static void
read_rows(const char *key, const msgpack_object *list, struct gq_rows *out)
{
    if (strcmp(key, Pp_CRASHED) == 0) {
        out->crash_count = Pz_ReadCrashes(list, out->crashes, Gq_CRASHES_MAX);
    }
    else if (strcmp(key, Pp_CONTENT_CRASHED) == 0) {
        out->content_crash_count =
            Pz_ReadCrashes(list, out->content_crashes, Gq_CRASHES_MAX);
    }
    else if (strcmp(key, Pp_CLEARED) == 0) {
        out->clear_count = Pz_ReadClears(list, out->clears, Gq_CLEARS_MAX);
    }
    else {
        out->quarantine_count =
            Pz_ReadQuarantines(list, out->quarantines, Gq_QUARANTINES_MAX);
    }
}

bool
Pp_Read(const char *key, const void *value, size_t len, struct gq_rows *out)
{
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    memset(out, 0, sizeof(*out));
    bool good = Mp_LengthsFit(value, len) &&
                msgpack_unpack_next(&unpacked, value, len, NULL) ==
                    MSGPACK_UNPACK_SUCCESS &&
                unpacked.data.type == MSGPACK_OBJECT_ARRAY;
    if (good) {
        read_rows(key, &unpacked.data, out);
    }
    msgpack_unpacked_destroy(&unpacked);
    return good;
}
