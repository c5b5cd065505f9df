/*
 * When parts of prompts began: a table of fixed size, in which a part that
 * began often stays before one that began once, so that ever new parts take
 * each other's place only.
 */
#include <string.h>

#include "base/hash.h"
#include "policy/poison_internal.h"

/* A part that has not begun for so long is new again. */
#define Pz_KNOWN_USEC (120 * Ck_USEC_PER_SEC)
#define Pz_COUNT_MAX 1000000

bool
pz_same(const struct pz_key *a, const struct pz_key *b)
{
    return a->part == b->part && a->customer == b->customer &&
           a->service == b->service;
}

struct pz_key
pz_any(const struct pz_key *key)
{
    return (struct pz_key){key->service, Pz_ANY, key->part};
}

static size_t
set_of(const struct pz_key *key)
{
    return Hash_Bytes(key, sizeof(*key), 0) & (Pz_SETS - 1);
}

struct pz_seen *
pz_find_seen(const struct pz_table *table, const struct pz_key *key)
{
    const struct pz_seen *set = table->seen[set_of(key)];
    for (size_t i = 0; i < Pz_WAYS; i++) {
        if (set[i].count > 0 && pz_same(&set[i].key, key)) {
            return (struct pz_seen *)&set[i];
        }
    }
    return NULL;
}

/* Whether "a" is the one to be forgotten. */
static bool
is_worth_less(const struct pz_seen *a, const struct pz_seen *b, int64_t now)
{
    bool a_old = now - a->at > Pz_KNOWN_USEC;
    bool b_old = now - b->at > Pz_KNOWN_USEC;
    if (a_old != b_old) {
        return a_old;
    }
    return a->count != b->count ? a->count < b->count : a->at < b->at;
}

static struct pz_seen *
take_place(struct pz_table *table, const struct pz_key *key, int64_t now)
{
    struct pz_seen *set = table->seen[set_of(key)];
    struct pz_seen *least = &set[0];
    for (size_t i = 1; i < Pz_WAYS; i++) {
        if (is_worth_less(&set[i], least, now)) {
            least = &set[i];
        }
    }
    *least = (struct pz_seen){.key = *key};
    return least;
}

void
pz_see(struct pz_table *table, const struct pz_key *key, uint32_t count,
       int64_t at)
{
    struct pz_seen *seen = pz_find_seen(table, key);
    if (seen == NULL) {
        seen = take_place(table, key, at);
    }
    if (at - seen->at > Pz_KNOWN_USEC) {
        seen->count = 0;
    }
    seen->count += count;
    seen->count = seen->count < Pz_COUNT_MAX ? seen->count : Pz_COUNT_MAX;
    seen->at = at > seen->at ? at : seen->at;
}

int64_t
pz_cleared_at(const struct pz_table *table, const struct pz_key *key)
{
    const struct pz_seen *seen = pz_find_seen(table, key);
    return seen == NULL ? 0 : seen->at;
}

uint32_t
pz_seen_count(const struct pz_table *table, const struct pz_key *key,
              int64_t now)
{
    const struct pz_seen *seen = pz_find_seen(table, key);
    return seen == NULL || now - seen->at > Pz_KNOWN_USEC ? 0 : seen->count;
}

static struct pz_begins *
find_begins(const struct pz_table *table, uint32_t service)
{
    for (size_t i = 0; i < table->service_count; i++) {
        if (table->begins[i].service == service) {
            return (struct pz_begins *)&table->begins[i];
        }
    }
    return NULL;
}

void
pz_note_begin(struct pz_table *table, uint32_t service, int64_t now)
{
    struct pz_begins *begins = find_begins(table, service);
    if (begins == NULL) {
        if (table->service_count == Pz_SERVICES_MAX) {
            return;
        }
        begins = &table->begins[table->service_count++];
        begins->service = service;
    }
    begins->at[begins->next] = now;
    begins->next = (begins->next + 1) % Pz_BEGINS_MAX;
}

int
pz_begun_since(const struct pz_table *table, uint32_t service, int64_t since)
{
    const struct pz_begins *begins = find_begins(table, service);
    int count = 0;
    for (size_t i = 0; begins != NULL && i < Pz_BEGINS_MAX; i++) {
        count += begins->at[i] >= since;
    }
    return count;
}
