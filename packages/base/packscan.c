/*
 * A look at msgpack before the library unpacks it.  The library allocates
 * for a declared number of elements before they come: five bytes that claim
 * four billion made it ask for 256 GiB.  Every element takes a byte at
 * least, so no count may exceed the bytes that are left.
 */
#include "base/packscan.h"

#define Mp_FIX_ARRAY 0x90
#define Mp_FIX_MAP 0x80
#define Mp_FIX_STRING 0xa0
#define Mp_FIRST_TYPED 0xc0
#define Mp_NEGATIVE 0xe0

/* Of the types 0xc0 to 0xdf: what follows the first byte. */
struct mp_form {
    uint8_t length_bytes; /* of a length or a count */
    uint8_t fixed;        /* bytes besides */
    uint8_t per_count;    /* elements for each of a count; 0: bytes */
};

static const struct mp_form forms[] = {
    {0, 0, 0},  {0, 0, 0}, {0, 0, 0}, {0, 0, 0}, /* nil, none, false, true */
    {1, 0, 0},  {2, 0, 0}, {4, 0, 0},            /* bytes */
    {1, 1, 0},  {2, 1, 0}, {4, 1, 0},            /* extension */
    {0, 4, 0},  {0, 8, 0},                       /* floating point */
    {0, 1, 0},  {0, 2, 0}, {0, 4, 0}, {0, 8, 0}, /* unsigned */
    {0, 1, 0},  {0, 2, 0}, {0, 4, 0}, {0, 8, 0}, /* signed */
    {0, 2, 0},  {0, 3, 0}, {0, 5, 0}, {0, 9, 0}, /* extension of one size */
    {0, 17, 0},                                  /* extension of 16 bytes */
    {1, 0, 0},  {2, 0, 0}, {4, 0, 0},            /* string */
    {2, 0, 1},  {4, 0, 1},                       /* array */
    {2, 0, 2},  {4, 0, 2},                       /* map */
};

/* Size of an element's own bytes and how many elements it holds. */
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
    const struct mp_form *form = &forms[first - Mp_FIRST_TYPED];
    uint64_t length = 0;
    if (left < 1U + form->length_bytes) {
        return false;
    }
    for (int i = 1; i <= form->length_bytes; i++) {
        length = length << 8 | data[i];
    }
    *size += form->length_bytes + form->fixed;
    *elements = length * form->per_count;
    *size += form->per_count == 0 ? length : 0;
    return true;
}

/* True when all that the bytes declare can be in them. */
bool
Mp_CountsFit(const uint8_t *data, size_t len)
{
    uint64_t due = 1; /* elements still to come */
    size_t at = 0;
    while (due > 0) {
        uint64_t size;
        uint64_t elements;
        if (at == len ||
            !read_element(data + at, len - at, &size, &elements) ||
            size > len - at) {
            return false;
        }
        at += size;
        due += elements - 1;
        if (due > len - at) {
            return false;
        }
    }
    return true;
}
