/*
 * Measures configuration sections at several sizes: the bytes of a change and
 * of complete sections, and the time and memory of a change, of a day's
 * changes and of a snapshot.  docs/design/configuration.md contains its
 * output.
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "config/sections.h"

#define CHANGES_A_DAY 950
#define BODY_BYTES (1024 * 1024)
#define NAME_BYTES 64

struct size {
    int teams;
    int customers;
    int services;
};

static const struct size sizes[] = {
    {1, 5, 2}, {2, 10, 4}, {10, 130, 25}, {30, 400, 75}, {60, 800, 150}};

static char body[BODY_BYTES];
static char record[BODY_BYTES];

static void
fail(const char *where)
{
    fprintf(stderr, "config_bench: %s: %s\n", where, St_Message());
    exit(1);
}

static void
hash_name(const char *kind, int n, char out[Hash_DIGEST_HEX])
{
    char name[NAME_BYTES];
    snprintf(name, sizeof(name), "%s-%d", kind, n);
    Hash_Digest(name, strlen(name), out);
}

static size_t
platform_body(const struct size *size)
{
    char digest[Hash_DIGEST_HEX];
    size_t at = 0;
    at += (size_t)snprintf(body, BODY_BYTES, "{\"data_centres\":{");
    for (int i = 0; i < 7; i++) {
        at += (size_t)snprintf(body + at, BODY_BYTES - at,
                               "%s\"dc-%d\":{\"region\":\"region-%d\"}",
                               i > 0 ? "," : "", i, i / 4);
    }
    at += (size_t)snprintf(body + at, BODY_BYTES - at, "},\"teams\":{");
    for (int i = 0; i < size->teams; i++) {
        hash_name("team", i, digest);
        at += (size_t)snprintf(
            body + at, BODY_BYTES - at,
            "%s\"team-%d\":{\"key_digest\":\"%s\",\"role\":\"%s\"}",
            i > 0 ? "," : "", i, digest, i == 0 ? "operator" : "editor");
    }
    return at + (size_t)snprintf(body + at, BODY_BYTES - at, "}}");
}

static size_t
write_customer(size_t at, int n, const char *comma)
{
    char digest[Hash_DIGEST_HEX];
    hash_name("customer", n, digest);
    return at + (size_t)snprintf(
                    body + at, BODY_BYTES - at,
                    "%s\"customer-%d\":{\"key_digest\":\"%s\",\"weight\":1.25,"
                    "\"requests_per_sec\":12.5,\"max_in_flight\":120,"
                    "\"body_max\":1048576}",
                    comma, n, digest);
}

static size_t
write_service(size_t at, int n, const char *comma)
{
    return at +
           (size_t)snprintf(
               body + at, BODY_BYTES - at,
               "%s\"service-%d\":{\"kind\":\"engine\",\"fenced\":true,"
               "\"first_token_usec\":300000,\"token_usec\":33000,"
               "\"deadline_usec\":20000000,\"slots\":8,\"replicas_min\":2,"
               "\"replicas_max\":9,\"headroom\":0.25,\"reclaimable_max\":0.65,"
               "\"survive_dc_loss\":true,\"move\":{\"from\":\"v1\","
               "\"to\":\"v2\",\"first_share\":0.02,"
               "\"deadline_sec\":1797746400,\"withdrawn\":false}}",
               comma, n);
}

/*
 * Writes the customers and services whose number, modulo the number of teams,
 * is that of the team.
 */
static size_t
team_body(const struct size *size, int team)
{
    size_t at = (size_t)snprintf(body, BODY_BYTES, "{\"customers\":{");
    const char *comma = "";
    for (int i = team; i < size->customers; i += size->teams) {
        at = write_customer(at, i, comma);
        comma = ",";
    }
    at += (size_t)snprintf(body + at, BODY_BYTES - at, "},\"services\":{");
    comma = "";
    for (int i = team; i < size->services; i += size->teams) {
        at = write_service(at, i, comma);
        comma = ",";
    }
    return at + (size_t)snprintf(body + at, BODY_BYTES - at, "}}");
}

static size_t
apply(struct sc_state *state, const char *kind, const char *section,
      const char *author)
{
    uint64_t offset = Sc_Offset(state) + 1;
    int len = snprintf(
        record, sizeof(record),
        "{\"kind\":\"%s\",\"section\":\"%s\",\"base\":%" PRIu64
        ",\"author\":\"%s\",\"id\":\"%032" PRIx64 "\",\"body\":%s}",
        kind, section, Sc_SectionOffset(state, section), author, offset, body);
    if (Sc_Apply(state, offset, record) != ST_OK ||
        Sc_VerdictAt(state, offset)->status != ST_OK) {
        fail(section);
    }
    return (size_t)len;
}

/*
 * Applies a day's changes, each of the weight of one customer or the first
 * share of one service's move.
 */
static size_t
apply_day(struct sc_state *state, const struct size *size)
{
    char section[NAME_BYTES];
    size_t bytes = 0;
    for (int i = 0; i < CHANGES_A_DAY; i++) {
        if (i % 3 == 0) {
            int n = i % size->services;
            snprintf(section, sizeof(section), "team/team-%d",
                     n % size->teams);
            snprintf(body, BODY_BYTES,
                     "{\"services\":{\"service-%d\":{\"move\":"
                     "{\"first_share\":%.4f}}}}",
                     n, 0.01 + i * 0.0001);
        }
        else {
            int n = i % size->customers;
            snprintf(section, sizeof(section), "team/team-%d",
                     n % size->teams);
            snprintf(body, BODY_BYTES,
                     "{\"customers\":{\"customer-%d\":{\"weight\":%.3f}}}", n,
                     1 + i * 0.001);
        }
        bytes += apply(state, "patch", section, "team-0");
    }
    return bytes;
}

static size_t
publish_all(struct sc_state *state, const struct size *size)
{
    char section[NAME_BYTES];
    size_t bytes = platform_body(size);
    apply(state, "section", "platform", "bootstrap");
    for (int i = 0; i < size->teams; i++) {
        bytes += team_body(size, i);
        snprintf(section, sizeof(section), "team/team-%d", i);
        apply(state, "section", section, "team-0");
    }
    return bytes;
}

/*
 * Returns the microseconds of building the configuration from all sections, as
 * a daemon does at its start.
 */
static int64_t
time_build(const struct sc_state *state)
{
    size_t count = Sc_SectionCount(state);
    struct cf_section *sections = calloc(count, sizeof(*sections));
    if (sections == NULL) {
        fail("memory");
        return 0;
    }
    for (size_t i = 0; i < count; i++) {
        struct sc_section one = Sc_SectionAt(state, i);
        sections[i].name = one.name;
        sections[i].json = one.body;
    }
    struct cf_config *config = NULL;
    int64_t started_at = Ck_Now(Ck_System());
    if (Cf_Build(sections, count, 1, &config) != ST_OK) {
        fail("build");
    }
    int64_t elapsed_usec = Ck_Now(Ck_System()) - started_at;
    Cf_Destroy(config);
    free(sections);
    return elapsed_usec;
}

static void
measure(const struct size *size)
{
    struct sc_state *state;
    struct sc_state *restored;
    struct mallinfo2 before = mallinfo2();
    if (Sc_Create(&state) != ST_OK) {
        fail("create");
    }
    size_t section_bytes = publish_all(state, size);
    size_t memory_bytes = mallinfo2().uordblks - before.uordblks;
    int64_t build_usec = time_build(state);
    int64_t started_at = Ck_Now(Ck_System());
    size_t change_bytes = apply_day(state, size);
    int64_t changes_usec = Ck_Now(Ck_System()) - started_at;
    size_t memory_after_changes = mallinfo2().uordblks - before.uordblks;
    char *snapshot = Sc_Snapshot(state);
    if (snapshot == NULL || Sc_Create(&restored) != ST_OK) {
        fail("snapshot");
        return;
    }
    started_at = Ck_Now(Ck_System());
    if (Sc_Restore(restored, snapshot) != ST_OK) {
        fail("restore");
    }
    int64_t restore_usec = Ck_Now(Ck_System()) - started_at;
    printf("| %d | %d | %d | %zu | %zu | %zu | %.1f | %" PRId64
           " | %.2f | %zu | %zu | %" PRId64 " |\n",
           size->teams, size->customers, size->services, section_bytes,
           section_bytes / (size_t)(size->teams + 1),
           change_bytes / CHANGES_A_DAY, (double)changes_usec / CHANGES_A_DAY,
           build_usec, (double)changes_usec / 1000000, memory_bytes / 1024,
           memory_after_changes / 1024, restore_usec);
    free(snapshot);
    Sc_Destroy(state);
    Sc_Destroy(restored);
}

int
main(void)
{
    printf("| teams | customers | services | all sections, bytes | mean "
           "section, bytes | a change's record, bytes | Sc_Apply a change, us "
           "| Cf_Build of all, us | 950 changes, s | state, KiB | state after "
           "950 changes, KiB | restore from snapshot, us |\n");
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        measure(&sizes[i]);
    }
    return 0;
}
