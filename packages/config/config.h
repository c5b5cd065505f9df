/*
 * The configuration in force, as typed values.  It is built from the sections
 * that teams publish on the platform's log; see sections.h for how sections
 * are accepted.  A configuration is immutable once built.
 */
#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/hash.h"
#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Cf_NAME_MAX 48
#define Cf_PATH_MAX 128
#define Cf_REGIONS_MAX 16
#define Cf_SECTION_MAX 64          /* bytes of a section's name with NUL */
#define Cf_SECTION_BYTES_MAX 60000 /* so that a section fits one record */
#define Cf_PLATFORM "platform"     /* section shared by all teams */
#define Cf_TEAM_PREFIX "team/"     /* team/NAME: the section of one team */
/* Author of the first platform section, before any team has a key. */
#define Cf_BOOTSTRAP "bootstrap"

enum cf_kind {
    CF_ENGINE, /* a model engine behind the completions API */
    CF_PLAIN,  /* an HTTP service behind a path prefix */
};

enum cf_role {
    CF_VIEWER,  /* may read its team's section */
    CF_EDITOR,  /* may also publish its team's section */
    CF_OPERATOR /* may read and publish every section */
};

struct cf_data_centre {
    char name[Cf_NAME_MAX];
    char region[Cf_NAME_MAX];
    bool evacuated; /* no new requests go to its endpoints */
};

/* Allowed regions of requests; an empty list allows every region. */
struct cf_regions {
    size_t count;
    char names[Cf_REGIONS_MAX][Cf_NAME_MAX];
};

struct cf_team {
    char name[Cf_NAME_MAX];
    char key_digest[Hash_DIGEST_HEX];
    enum cf_role role;
};

struct cf_customer {
    char name[Cf_NAME_MAX];
    char team[Cf_NAME_MAX];
    char key_digest[Hash_DIGEST_HEX]; /* digest of the bearer key */
    double weight;                    /* in the fair queue; 1 is usual */
    double requests_per_sec; /* over all daemons together; 0: no limit */
    int max_in_flight;       /* over all daemons together; 0: no limit */
    size_t body_max;         /* bytes */
    struct cf_regions regions;
};

/* The target version of a service and the deadline of the move to it. */
struct cf_move {
    char from[Cf_NAME_MAX]; /* empty: no move, all traffic to "to" */
    char to[Cf_NAME_MAX];
    double first_share;   /* share of traffic of the first step, e.g. 0.02 */
    int64_t deadline_sec; /* seconds since 1970; 0: none */
    bool withdrawn;       /* the operator rolled the move back */
};

struct cf_service {
    char name[Cf_NAME_MAX];
    char team[Cf_NAME_MAX];
    enum cf_kind kind;
    char prefix[Cf_PATH_MAX]; /* plain: path prefix, e.g. "/box-office/" */
    bool idempotent;          /* plain: every request may be retried */
    bool fenced;              /* endpoints refuse stale fencing tokens */
    int64_t first_token_usec; /* target for the 95th percentile */
    int64_t token_usec;       /* target between tokens, 95th percentile */
    int64_t deadline_usec;    /* used if a request has no deadline */
    int slots;                /* concurrent requests per endpoint */
    int replicas_min;
    int replicas_max;
    double headroom;        /* share of capacity kept free */
    bool survive_dc_loss;   /* plan for loss of the largest data centre */
    double reclaimable_max; /* highest share on spot hosts */
    int64_t cold_usec;      /* how long an endpoint is cold after start */
    double cold_per_sec;    /* rate limit of a cold endpoint; 0: none */
    struct cf_regions regions;
    struct cf_move move;
};

/*
 * Customers and teams are sorted by key digest, services and data centres by
 * name.
 */
struct cf_config {
    uint64_t offset; /* log offset that this configuration reflects */
    struct cf_data_centre *data_centres;
    size_t data_centre_count;
    struct cf_team *teams;
    size_t team_count;
    struct cf_customer *customers;
    size_t customer_count;
    struct cf_service *services;
    size_t service_count;
    int references;
};

/*
 * A section as a JSON document.  "platform" has the lists "data_centres" and
 * "teams", "team/NAME" has "customers" and "services".  Each list is an object
 * keyed by name, so that a merge patch can change one entry, or an array of
 * objects with a "name".  The fields have the names of the struct fields above
 * without "team" and "offset"; unknown fields are ignored.
 */
struct cf_section {
    const char *name;
    const char *json;
};

enum st_status Cf_Build(const struct cf_section *sections, size_t count,
                        uint64_t offset, struct cf_config **out);
struct cf_config *Cf_Ref(struct cf_config *config);
void Cf_Destroy(struct cf_config *config);

bool Cf_IsEvacuated(const struct cf_config *config, const char *data_centre);
/* Whether the region is in the list, or the list is empty. */
bool Cf_AllowsRegion(const struct cf_regions *regions, const char *region);
const struct cf_customer *Cf_CustomerByKey(const struct cf_config *config,
                                           const char *key_digest);
const struct cf_service *Cf_ServiceByName(const struct cf_config *config,
                                          const char *name);
const struct cf_service *Cf_ServiceByPath(const struct cf_config *config,
                                          const char *path);
const struct cf_team *Cf_TeamByKey(const struct cf_config *config,
                                   const char *key_digest);
const struct cf_team *Cf_TeamByName(const struct cf_config *config,
                                    const char *name);
bool Cf_IsName(const char *text);
bool Cf_MayPublish(const struct cf_config *config, const char *team,
                   const char *section);
bool Cf_MayRead(const struct cf_config *config, const char *team,
                const char *section);

#ifdef __cplusplus
}
#endif

#endif
