#include "config/patch.h"

/* Applies one member of the patch; nonzero without memory. */
static int
apply_member(json_t *result, const char *name, const json_t *patch)
{
    if (json_is_null(patch)) {
        json_object_del(result, name);
        return 0;
    }
    json_t *value = Mp_Apply(json_object_get(result, name), patch);
    return json_object_set_new(result, name, value);
}

/*
 * Returns a new value: the target (NULL for none) with the patch applied.  A
 * patch that is not an object replaces the target; a null member of the patch
 * removes that member.  Returns NULL without memory.
 */
json_t *
Mp_Apply(const json_t *target, const json_t *patch)
{
    if (!json_is_object(patch)) {
        return json_deep_copy(patch);
    }
    json_t *result =
        json_is_object(target) ? json_copy((json_t *)target) : json_object();
    const char *name;
    json_t *member;
    json_object_foreach ((json_t *)patch, name, member) {
        if (apply_member(result, name, member) != 0) {
            json_decref(result);
            return NULL;
        }
    }
    return result;
}

static json_t *
diff_member(const json_t *before, const json_t *after)
{
    if (json_is_object(before) && json_is_object(after)) {
        return Mp_Diff(before, after);
    }
    return json_deep_copy(after);
}

/*
 * Returns the patch that turns "before" into "after", both objects without
 * null members.  Returns an empty object if they are equal, NULL without
 * memory.
 */
json_t *
Mp_Diff(const json_t *before, const json_t *after)
{
    json_t *patch = json_object();
    const char *name;
    json_t *member;
    json_object_foreach ((json_t *)before, name, member) {
        if (json_object_get(after, name) == NULL) {
            json_object_set_new(patch, name, json_null());
        }
    }
    json_object_foreach ((json_t *)after, name, member) {
        const json_t *previous = json_object_get(before, name);
        if (previous != NULL && json_equal(previous, member)) {
            continue;
        }
        json_t *change = diff_member(previous, member);
        if (json_object_set_new(patch, name, change) != 0) {
            json_decref(patch);
            return NULL;
        }
    }
    return patch;
}
