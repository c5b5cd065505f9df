#include "edge/quarantine_record.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log_line.h"

/* Delay before the records are read again after a failed read. */
#define Qr_RETRY_USEC (1 * Ck_USEC_PER_SEC)
/* A record is rewritten when its time of the last request is this old. */
#define Qr_RENEW_USEC (120 * Ck_USEC_PER_SEC)
#define Qr_TEXT_MAX 96
/* Doubts that this host keeps in the store at the same time; a rack that ends
   may put many requests in doubt. */
#define Qr_DOUBTS_MAX 4
/* "SERVICE-CUSTOMER-PART", and "DECIDED REQUESTED" in usec since 1970. */
#define Qr_KEY_FORMAT "%08x-%08x-%08x"
#define Qr_VALUE_FORMAT "%lld %lld"

/* A record as it is in the store or is to be written there. */
struct record {
    struct pz_quarantine quarantine;
    int64_t written_requested_at; /* quarantine.requested_at as last written */
    bool written;                 /* the store is up to date */
    bool own_doubt;               /* a doubt that this host has written */
    bool removed; /* the record is to be removed from the store */
};

struct qr_records {
    struct ag_store *store;
    const struct ck_clock *clock;
    qr_fn loaded;
    void *arg;
    bool listing;
    bool listed;
    int64_t list_tried_at;
    bool writing;
    struct pz_key writing_key; /* key of the write in progress */
    bool writing_removal;      /* the write removes the record */
    int64_t writing_requested_at;
    size_t count;
    struct record records[Pz_QUARANTINES_MAX];
};

struct qr_records *
Qr_Create(struct ag_store *store, const struct ck_clock *clock, qr_fn loaded,
          void *arg)
{
    struct qr_records *records = calloc(1, sizeof(*records));
    if (records != NULL) {
        records->store = store;
        records->clock = clock;
        records->loaded = loaded;
        records->arg = arg;
    }
    return records;
}

void
Qr_Destroy(struct qr_records *records)
{
    free(records);
}

static struct record *
find(struct qr_records *records, const struct pz_key *key)
{
    for (size_t i = 0; i < records->count; i++) {
        if (memcmp(&records->records[i].quarantine.key, key, sizeof(*key)) ==
            0) {
            return &records->records[i];
        }
    }
    return NULL;
}

static struct record *
find_or_add(struct qr_records *records, const struct pz_quarantine *quarantine)
{
    struct record *record = find(records, &quarantine->key);
    if (record == NULL && records->count < Pz_QUARANTINES_MAX) {
        record = &records->records[records->count++];
        *record = (struct record){.quarantine = *quarantine};
    }
    return record;
}

void
Qr_Keep(struct qr_records *records, const struct pz_quarantine *quarantine)
{
    struct record *record = find_or_add(records, quarantine);
    if (record == NULL) {
        Ln_Log(LN_FAILURE, "part.unrecorded", "\"part\":\"%08x\"",
               quarantine->key.part);
        return;
    }
    record->quarantine = *quarantine;
    record->own_doubt = false;
    record->removed = false;
    record->written = false;
}

static bool
is_doubt(const struct record *record)
{
    return record->quarantine.requested_at == Pz_DOUBT;
}

bool
Qr_HasDoubt(struct qr_records *records, const struct pz_key *key)
{
    const struct record *record = find(records, key);
    return record != NULL && is_doubt(record);
}

static size_t
count_doubts(const struct qr_records *records)
{
    size_t count = 0;
    for (size_t i = 0; i < records->count; i++) {
        count += records->records[i].own_doubt;
    }
    return count;
}

void
Qr_KeepDoubt(struct qr_records *records, const struct pz_quarantine *doubt)
{
    struct record *record = find(records, &doubt->key);
    if (record != NULL && !is_doubt(record)) {
        return;
    }
    if (record == NULL && count_doubts(records) < Qr_DOUBTS_MAX) {
        record = find_or_add(records, doubt);
    }
    if (record != NULL) {
        record->quarantine = *doubt;
        record->own_doubt = true;
        record->removed = false;
        record->written = false;
    }
    else {
        Ln_Log(LN_FAILURE, "doubt.unrecorded", "\"request\":\"%08x\"",
               doubt->key.part);
    }
}

void
Qr_Remove(struct qr_records *records, const struct pz_key *key)
{
    struct pz_quarantine quarantine = {.key = *key};
    struct record *record = find_or_add(records, &quarantine);
    if (record != NULL) {
        record->removed = true;
        record->written = false;
    }
}

/* Returns false when key or value is not in the format of these records. */
static bool
decode(const struct ag_record *record, struct pz_quarantine *out)
{
    char key[Qr_TEXT_MAX];
    char value[Qr_TEXT_MAX];
    long long decided;
    long long requested;
    snprintf(key, sizeof(key), "%.*s", (int)record->key_len, record->key);
    snprintf(value, sizeof(value), "%.*s", (int)record->len,
             (const char *)record->value);
    memset(out, 0, sizeof(*out));
    if (sscanf(key, Qr_KEY_FORMAT, &out->key.service, &out->key.customer,
               &out->key.part) != 3 ||
        sscanf(value, Qr_VALUE_FORMAT, &decided, &requested) != 2) {
        return false;
    }
    out->decided_at = decided;
    out->requested_at = requested;
    return true;
}

static void
on_listed(void *arg, const struct ag_result *result)
{
    struct qr_records *records = arg;
    records->listing = false;
    records->listed = result->status == AG_OK;
    for (size_t i = 0; records->listed && i < result->count; i++) {
        struct pz_quarantine quarantine;
        if (result->records[i].value != NULL &&
            decode(&result->records[i], &quarantine)) {
            struct record *record = find_or_add(records, &quarantine);
            if (record != NULL) {
                record->written = true;
                record->written_requested_at = quarantine.requested_at;
            }
            Ln_Log(LN_STATE, "part.loaded",
                   "\"part\":\"%08x\",\"decided_at\":%lld,"
                   "\"requested_at\":%lld",
                   quarantine.key.part, (long long)quarantine.decided_at,
                   (long long)quarantine.requested_at);
            records->loaded(records->arg, &quarantine);
        }
    }
}

static void
on_written(void *arg, const struct ag_result *result)
{
    struct qr_records *records = arg;
    records->writing = false;
    struct record *record = find(records, &records->writing_key);
    if (record == NULL || record->removed != records->writing_removal ||
        result->status != AG_OK) {
        return;
    }
    Ln_Log(LN_STATE, "part.recorded",
           "\"part\":\"%08x\",\"decided_at\":%lld,\"removed\":%d",
           record->quarantine.key.part,
           (long long)record->quarantine.decided_at, record->removed);
    record->written = true;
    record->written_requested_at = records->writing_requested_at;
    if (record->removed) {
        *record = records->records[--records->count];
    }
}

static void
write_record(struct qr_records *records, const struct record *record)
{
    const struct pz_quarantine *quarantine = &record->quarantine;
    char key[Qr_TEXT_MAX];
    char value[Qr_TEXT_MAX];
    snprintf(key, sizeof(key), Qr_KEY_FORMAT, quarantine->key.service,
             quarantine->key.customer, quarantine->key.part);
    int len = record->removed ? 0
                              : snprintf(value, sizeof(value), Qr_VALUE_FORMAT,
                                         (long long)quarantine->decided_at,
                                         (long long)quarantine->requested_at);
    records->writing = true;
    records->writing_key = quarantine->key;
    records->writing_removal = record->removed;
    records->writing_requested_at = quarantine->requested_at;
    Ag_Append(records->store, AG_QUARANTINES, -1, key, value, (size_t)len,
              on_written, records);
}

static void
update_requested_at(struct qr_records *records,
                    const struct pz_quarantine *quarantine)
{
    struct record *record = find_or_add(records, quarantine);
    if (record != NULL && !record->removed) {
        record->quarantine.requested_at = quarantine->requested_at;
        if (quarantine->requested_at - record->written_requested_at >
            Qr_RENEW_USEC) {
            record->written = false;
        }
    }
}

/* Writes the first outdated record; only one write is in progress at once. */
static void
write_next(struct qr_records *records)
{
    for (size_t i = 0; i < records->count && !records->writing; i++) {
        if (!records->records[i].written) {
            write_record(records, &records->records[i]);
        }
    }
}

/* Has the doubts removed that this host has written and that are past. */
static void
remove_past_doubts(struct qr_records *records, int64_t true_now)
{
    for (size_t i = 0; i < records->count; i++) {
        struct record *record = &records->records[i];
        if (record->own_doubt && !record->removed &&
            true_now - record->quarantine.decided_at > Pz_DOUBT_TTL_USEC) {
            record->removed = true;
            record->written = false;
        }
    }
}

void
Qr_Tick(struct qr_records *records, const struct pz_quarantine *quarantines,
        size_t count, int64_t true_now)
{
    remove_past_doubts(records, true_now);
    for (size_t i = 0; i < count; i++) {
        update_requested_at(records, &quarantines[i]);
    }
    int64_t now = Ck_Now(records->clock);
    bool backing_off = records->list_tried_at != 0 &&
                       now - records->list_tried_at < Qr_RETRY_USEC;
    if (!records->listed && !records->listing && !backing_off) {
        records->list_tried_at = now;
        records->listing = true;
        Ag_Newest(records->store, AG_QUARANTINES, NULL, on_listed, records);
    }
    if (records->listed && !records->writing) {
        write_next(records);
    }
}
