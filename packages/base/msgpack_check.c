/*
 * Validates msgpack lengths before the library unpacks the data.  The library
 * allocates memory for a declared number of elements before it reads them:
 * five bytes that declare four billion elements made it request 256 GiB. Every
 * element takes at least one byte, so no count may exceed the bytes left.
 */
#include "base/msgpack_check.h"

#define Mp_FIX_ARRAY 0x90
#define Mp_FIX_MAP 0x80
#define Mp_FIX_STRING 0xa0
#define Mp_FIRST_TYPED 0xc0
#define Mp_NEGATIVE 0xe0

/* Layout of an element of type 0xc0 to 0xdf after its first byte. */
struct mp_layout {
    uint8_t length_bytes;       /* size of the length or count field */
    uint8_t fixed_bytes;        /* further bytes of fixed size */
    uint8_t elements_per_count; /* 1 array, 2 map; 0: the field counts bytes */
};

static const struct mp_layout layouts[] = {
    {0, 0, 0},  {0, 0, 0}, {0, 0, 0}, {0, 0, 0}, /* nil, unused, false, true */
    {1, 0, 0},  {2, 0, 0}, {4, 0, 0},            /* bytes */
    {1, 1, 0},  {2, 1, 0}, {4, 1, 0},            /* extension */
    {0, 4, 0},  {0, 8, 0},                       /* floating point */
    {0, 1, 0},  {0, 2, 0}, {0, 4, 0}, {0, 8, 0}, /* unsigned */
    {0, 1, 0},  {0, 2, 0}, {0, 4, 0}, {0, 8, 0}, /* signed */
    {0, 2, 0},  {0, 3, 0}, {0, 5, 0}, {0, 9, 0}, /* extension of fixed size */
    {0, 17, 0},                                  /* extension of 16 bytes */
    {1, 0, 0},  {2, 0, 0}, {4, 0, 0},            /* string */
    {2, 0, 1},  {4, 0, 1},                       /* array */
    {2, 0, 2},  {4, 0, 2},                       /* map */
};

/*
 * Reads the size of an element without its children, and their number. Returns
 * false if the data ends within the length field.
 */
static bool
read_element(const uint8_t *data, size_t left, uint64_t *size,
             uint64_t *elements)
{
    uint8_t first = data[0];
    *size = 1;
    *elements = 0;
    if (first < Mp_FIX_MAP || first >= Mp_NEGATIVE) {
        return true;
    }
    if (first < Mp_FIX_ARRAY) {
        *elements = 2 * (uint64_t)(first - Mp_FIX_MAP);
        return true;
    }
    if (first < Mp_FIX_STRING) {
        *elements = first - Mp_FIX_ARRAY;
        return true;
    }
    if (first < Mp_FIRST_TYPED) {
        *size += first - Mp_FIX_STRING;
        return true;
    }
    const struct mp_layout *layout = &layouts[first - Mp_FIRST_TYPED];
    uint64_t length = 0;
    if (left < 1U + layout->length_bytes) {
        return false;
    }
    for (int i = 1; i <= layout->length_bytes; i++) {
        length = length << 8 | data[i];
    }
    *size += layout->length_bytes + layout->fixed_bytes;
    *elements = length * layout->elements_per_count;
    *size += layout->elements_per_count == 0 ? length : 0;
    return true;
}

/* Returns true if the data is long enough for all lengths it declares. */
bool
Mp_LengthsFit(const uint8_t *data, size_t len)
{
    uint64_t pending = 1; /* elements not read yet */
    size_t at = 0;
    while (pending > 0) {
        uint64_t size;
        uint64_t elements;
        if (at == len ||
            !read_element(data + at, len - at, &size, &elements) ||
            size > len - at) {
            return false;
        }
        at += size;
        pending += elements - 1;
        if (pending > len - at) {
            return false;
        }
    }
    return true;
}
