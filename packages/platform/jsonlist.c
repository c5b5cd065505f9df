#include "platform/jsonlist.h"

#include <stdbool.h>
#include <string.h>

struct text {
    const char *data;
    size_t len;
    size_t at;
};

static void
skip_space(struct text *text)
{
    while (text->at < text->len &&
           strchr(" \t\r\n", text->data[text->at]) != NULL &&
           text->data[text->at] != '\0') {
        text->at++;
    }
}

/* Whether the next character is this one; takes it then. */
static bool
take(struct text *text, char c)
{
    skip_space(text);
    if (text->at >= text->len || text->data[text->at] != c) {
        return false;
    }
    text->at++;
    return true;
}

/* Takes a string after its first quote; false without its end. */
static bool
skip_string(struct text *text)
{
    while (text->at < text->len) {
        char c = text->data[text->at++];
        if (c == '"') {
            return true;
        }
        text->at += c == '\\';
    }
    return false;
}

/*
 * Takes one value of any depth, up to the comma or bracket behind it; false
 * without its end.
 */
static bool
skip_value(struct text *text)
{
    size_t depth = 0;
    while (text->at < text->len) {
        char c = text->data[text->at];
        if (depth == 0 && (c == ',' || c == ']' || c == '}')) {
            return true;
        }
        text->at++;
        if (c == '"' && !skip_string(text)) {
            return false;
        }
        depth += c == '[' || c == '{';
        depth -= c == ']' || c == '}';
    }
    return false;
}

/* Moves on to the value of the member "name". */
static bool
find_member(struct text *text, const char *name)
{
    size_t name_len = strlen(name);
    if (!take(text, '{')) {
        return false;
    }
    do {
        if (!take(text, '"')) {
            return false;
        }
        size_t start = text->at;
        if (!skip_string(text)) {
            return false;
        }
        bool found = text->at - start - 1 == name_len &&
                     memcmp(text->data + start, name, name_len) == 0;
        if (!take(text, ':')) {
            return false;
        }
        if (found) {
            return true;
        }
    } while (skip_value(text) && take(text, ','));
    return false;
}

/* Whether the object ends in order behind the list. */
static bool
ends_whole(struct text *text)
{
    while (take(text, ',')) {
        if (!take(text, '"') || !skip_string(text) || !take(text, ':') ||
            !skip_value(text)) {
            return false;
        }
    }
    if (!take(text, '}')) {
        return false;
    }
    skip_space(text);
    return text->at == text->len;
}

json_t *
Jl_Read(const char *data, size_t len, const char *name, size_t *unreadable)
{
    struct text text = {data, len, 0};
    *unreadable = 0;
    if (!find_member(&text, name) || !take(&text, '[')) {
        return NULL;
    }
    json_t *list = json_array();
    bool whole = list != NULL;
    bool more = whole && !take(&text, ']');
    while (whole && more) {
        skip_space(&text);
        size_t start = text.at;
        whole = skip_value(&text);
        json_t *entry = whole ? json_loadb(data + start, text.at - start,
                                           JSON_DECODE_ANY, NULL)
                              : NULL;
        if (entry == NULL) {
            (*unreadable)++;
        }
        else {
            whole = json_array_append_new(list, entry) == 0;
        }
        more = whole && take(&text, ',');
        whole = whole && (more || take(&text, ']'));
    }
    if (!whole || !ends_whole(&text)) {
        json_decref(list);
        return NULL;
    }
    return list;
}

json_t *
Jl_ReadMember(const char *data, size_t len, const char *name)
{
    struct text text = {data, len, 0};
    if (!find_member(&text, name)) {
        return NULL;
    }
    size_t start = text.at;
    return skip_value(&text) ? json_loadb(data + start, text.at - start,
                                          JSON_DECODE_ANY, NULL)
                             : NULL;
}
