#include "edge/packed.h"

#include <string.h>

bool
Pk_CopyString(const msgpack_object *object, char *out, size_t size)
{
    if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= size) {
        return false;
    }
    /* The pointer of an empty string may be NULL. */
    if (object->via.str.size > 0) {
        memcpy(out, object->via.str.ptr, object->via.str.size);
    }
    out[object->via.str.size] = '\0';
    return true;
}
