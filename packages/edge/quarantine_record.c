#include "edge/quarantine_record.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/line.h"

/* A call that came to nothing is made again after so long. */
#define Qr_AGAIN_USEC (1 * Ck_USEC_PER_SEC)
/* A record that stays says again when the part was last asked for. */
#define Qr_RENEW_USEC (120 * Ck_USEC_PER_SEC)
#define Qr_TEXT_MAX 96
/* "SERVICE-CUSTOMER-PART", and "DECIDED SEEN" in microseconds. */
#define Qr_KEY_FORMAT "%08x-%08x-%08x"
#define Qr_VALUE_FORMAT "%lld %lld"

/* A record as it stands in the store, or shall stand there. */
struct record {
    struct pz_stop stop;
    int64_t written_seen; /* what it says there of the last request */
    bool written;
    bool gone; /* to be removed */
};

struct qr_records {
    struct ag_store *store;
    const struct ck_clock *clock;
    qr_fn heard;
    void *arg;
    bool listing;
    bool listed;
    int64_t tried_at;
    bool writing;
    struct pz_key under_way; /* being written */
    bool under_way_gone;
    int64_t under_way_seen;
    size_t count;
    struct record records[Pz_STOPS_MAX];
};

struct qr_records *
Qr_Create(struct ag_store *store, const struct ck_clock *clock, qr_fn heard,
          void *arg)
{
    struct qr_records *records = calloc(1, sizeof(*records));
    if (records != NULL) {
        records->store = store;
        records->clock = clock;
        records->heard = heard;
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
        if (memcmp(&records->records[i].stop.key, key, sizeof(*key)) == 0) {
            return &records->records[i];
        }
    }
    return NULL;
}

static struct record *
add(struct qr_records *records, const struct pz_stop *stop)
{
    struct record *record = find(records, &stop->key);
    if (record == NULL && records->count < Pz_STOPS_MAX) {
        record = &records->records[records->count++];
        *record = (struct record){.stop = *stop};
    }
    return record;
}

void
Qr_Keep(struct qr_records *records, const struct pz_stop *stop)
{
    struct record *record = add(records, stop);
    if (record == NULL) {
        Ln_Log(LN_FAILURE, "part.unrecorded", "\"part\":\"%08x\"",
               stop->key.part);
        return;
    }
    record->stop = *stop;
    record->gone = false;
    record->written = false;
}

void
Qr_Remove(struct qr_records *records, const struct pz_key *key)
{
    struct pz_stop stop = {.key = *key};
    struct record *record = add(records, &stop);
    if (record != NULL) {
        record->gone = true;
        record->written = false;
    }
}

/* False: not a record of ours. */
static bool
decode(const struct ag_record *record, struct pz_stop *out)
{
    char key[Qr_TEXT_MAX];
    char value[Qr_TEXT_MAX];
    long long decided;
    long long seen;
    snprintf(key, sizeof(key), "%.*s", (int)record->key_len, record->key);
    snprintf(value, sizeof(value), "%.*s", (int)record->len,
             (const char *)record->value);
    memset(out, 0, sizeof(*out));
    if (sscanf(key, Qr_KEY_FORMAT, &out->key.service, &out->key.customer,
               &out->key.part) != 3 ||
        sscanf(value, Qr_VALUE_FORMAT, &decided, &seen) != 2) {
        return false;
    }
    out->decided_at = decided;
    out->seen_at = seen;
    return true;
}

static void
on_listed(void *arg, const struct ag_result *result)
{
    struct qr_records *records = arg;
    records->listing = false;
    records->listed = result->status == AG_OK;
    for (size_t i = 0; records->listed && i < result->count; i++) {
        struct pz_stop stop;
        if (result->records[i].value != NULL &&
            decode(&result->records[i], &stop)) {
            struct record *record = add(records, &stop);
            if (record != NULL) {
                record->written = true;
                record->written_seen = stop.seen_at;
            }
            records->heard(records->arg, &stop);
        }
    }
}

static void
on_written(void *arg, const struct ag_result *result)
{
    struct qr_records *records = arg;
    records->writing = false;
    struct record *record = find(records, &records->under_way);
    if (record == NULL || record->gone != records->under_way_gone ||
        result->status != AG_OK) {
        return;
    }
    record->written = true;
    record->written_seen = records->under_way_seen;
    if (record->gone) {
        *record = records->records[--records->count];
    }
}

static void
write_record(struct qr_records *records, const struct record *record)
{
    const struct pz_stop *stop = &record->stop;
    char key[Qr_TEXT_MAX];
    char value[Qr_TEXT_MAX];
    snprintf(key, sizeof(key), Qr_KEY_FORMAT, stop->key.service,
             stop->key.customer, stop->key.part);
    int len = record->gone ? 0
                           : snprintf(value, sizeof(value), Qr_VALUE_FORMAT,
                                      (long long)stop->decided_at,
                                      (long long)stop->seen_at);
    records->writing = true;
    records->under_way = stop->key;
    records->under_way_gone = record->gone;
    records->under_way_seen = stop->seen_at;
    Ag_Append(records->store, AG_STOPS, -1, key, value, (size_t)len,
              on_written, records);
}

static void
renew(struct qr_records *records, const struct pz_stop *stop)
{
    struct record *record = add(records, stop);
    if (record != NULL && !record->gone) {
        record->stop.seen_at = stop->seen_at;
        if (stop->seen_at - record->written_seen > Qr_RENEW_USEC) {
            record->written = false;
        }
    }
}

/* One write at a time. */
static void
write_next(struct qr_records *records)
{
    for (size_t i = 0; i < records->count && !records->writing; i++) {
        if (!records->records[i].written) {
            write_record(records, &records->records[i]);
        }
    }
}

void
Qr_Tick(struct qr_records *records, const struct pz_stop *stops, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        renew(records, &stops[i]);
    }
    int64_t now = Ck_Now(records->clock);
    bool waits =
        records->tried_at != 0 && now - records->tried_at < Qr_AGAIN_USEC;
    if (!records->listed && !records->listing && !waits) {
        records->tried_at = now;
        records->listing = true;
        Ag_Newest(records->store, AG_STOPS, NULL, on_listed, records);
    }
    if (records->listed && !records->writing) {
        write_next(records);
    }
}
