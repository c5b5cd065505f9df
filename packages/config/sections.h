/*
 * The sections in force, a state machine over the records of the "config"
 * stream.  A record names the offset of the section that it builds on.  It is
 * accepted if that is the section's current offset, its author may publish
 * the section, and the result is valid.  Every reader of the same records
 * reaches the same verdicts, so concurrent changes need no coordinator.  This
 * module does no input or output.
 *
 * A record's body is a JSON object:
 *   "kind"     "section" (a whole body) or "patch" (a merge patch, RFC 7386)
 *   "section"  name of the section
 *   "base"     offset of the section that it builds on, 0 when there is none
 *   "author"   name of the team that publishes
 *   "id"       idempotency key of the publisher; optional
 *   "body"     the section, or the patch
 */
#ifndef CONFIG_SECTIONS_H
#define CONFIG_SECTIONS_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "config/config.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Sc_ID_MAX 40        /* bytes of a publisher's id, with its NUL */
#define Sc_REASON_MAX 256   /* bytes of a verdict's reason, with its NUL */
#define Sc_VERDICTS_MAX 64  /* stored; older ones are overwritten */
#define Sc_RECORD_MAX 65536 /* bytes of one record of the log */

struct sc_state;

/* Whether a record was accepted, and why not. */
struct sc_verdict {
    uint64_t offset;
    char id[Sc_ID_MAX];
    char section[Cf_SECTION_MAX];
    enum st_status status;      /* ST_OK, ST_CONFLICT, ST_DENIED, ST_INVALID */
    char reason[Sc_REASON_MAX]; /* names the remedy; empty when accepted */
};

struct sc_section {
    const char *name;
    uint64_t offset;  /* of its last record; base of the next change */
    const char *body; /* compact JSON, lists keyed by name */
};

enum st_status Sc_Create(struct sc_state **out);
void Sc_Destroy(struct sc_state *state);
enum st_status Sc_Apply(struct sc_state *state, uint64_t offset,
                        const char *json);
void Sc_SkipTo(struct sc_state *state, uint64_t offset);
enum st_status Sc_Restore(struct sc_state *state, const char *snapshot);

char *Sc_Snapshot(const struct sc_state *state);
enum st_status Sc_Check(const struct sc_state *state, const char *json);
uint64_t Sc_Offset(const struct sc_state *state);
struct cf_config *Sc_Config(const struct sc_state *state);
size_t Sc_SectionCount(const struct sc_state *state);
struct sc_section Sc_SectionAt(const struct sc_state *state, size_t index);
uint64_t Sc_SectionOffset(const struct sc_state *state, const char *name);
const struct sc_verdict *Sc_VerdictAt(const struct sc_state *state,
                                      uint64_t offset);
const struct sc_verdict *Sc_VerdictById(const struct sc_state *state,
                                        const char *id);

#ifdef __cplusplus
}
#endif

#endif
