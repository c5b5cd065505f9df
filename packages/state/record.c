#include "state/record.h"

#include <bsd/string.h>
#include <string.h>

/*
 * Encodes a record as JSON text, which the caller frees.  The caller keeps
 * ownership of the body.
 */
enum st_status
Rc_Format(const struct rc_record *record, char **out)
{
    json_t *root = json_pack(
        "{s:i, s:s, s:I, s:I, s:I, s:s, s:O}", "v", Rc_SCHEMA, "n",
        record->writer.node, "i", (json_int_t)record->writer.incarnation, "s",
        (json_int_t)record->sequence, "t", (json_int_t)record->wall_ms, "k",
        record->kind, "d", record->body);
    *out = root != NULL ? json_dumps(root, JSON_COMPACT) : NULL;
    json_decref(root);
    if (*out == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a record");
    }
    return ST_OK;
}

/*
 * Decodes a record; Rc_Clear() frees it.  Returns ST_INVALID if the text is
 * not a record of this system; readers skip such texts.
 */
enum st_status
Rc_Parse(const char *text, uint64_t offset, struct rc_record *out)
{
    memset(out, 0, sizeof(*out));
    json_t *root = json_loads(text, 0, NULL);
    const char *node = Rc_Text(root, "n");
    const char *kind = Rc_Text(root, "k");
    json_t *body = json_object_get(root, "d");
    out->offset = offset;
    out->schema = (int)Rc_Number(root, "v");
    out->writer.incarnation = (uint64_t)Rc_Number(root, "i");
    out->sequence = (uint64_t)Rc_Number(root, "s");
    out->wall_ms = Rc_Number(root, "t");
    bool fits =
        strlcpy(out->writer.node, node, sizeof(out->writer.node)) <
            sizeof(out->writer.node) &&
        strlcpy(out->kind, kind, sizeof(out->kind)) < sizeof(out->kind);
    bool ours = fits && out->schema > 0 && out->sequence > 0 &&
                node[0] != '\0' && json_is_object(body);
    if (ours) {
        out->body = json_incref(body);
    }
    json_decref(root);
    if (!ours) {
        return St_Fail(ST_INVALID,
                       "offset %llu holds no record of this system; let "
                       "nothing else write to this stream",
                       (unsigned long long)offset);
    }
    return ST_OK;
}

void
Rc_Clear(struct rc_record *record)
{
    json_decref(record->body);
    record->body = NULL;
}

bool
Rc_IsKind(const struct rc_record *record, const char *kind)
{
    return strcmp(record->kind, kind) == 0;
}

/*
 * Orders writers by node, then by incarnation; returns 0 for the same writer.
 */
int
Rc_CompareWriters(const struct rc_writer *a, const struct rc_writer *b)
{
    int order = strcmp(a->node, b->node);
    if (order != 0) {
        return order;
    }
    return (a->incarnation > b->incarnation) -
           (a->incarnation < b->incarnation);
}

const char *
Rc_Text(const json_t *body, const char *name)
{
    const char *text = json_string_value(json_object_get(body, name));
    return text != NULL ? text : "";
}

int64_t
Rc_Number(const json_t *body, const char *name)
{
    return json_integer_value(json_object_get(body, name));
}
