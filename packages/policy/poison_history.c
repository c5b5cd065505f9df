/*
 * The answers to requests with a prompt part, in a set-associative table of
 * fixed size.  The part with the fewest answers is evicted first, so a stream
 * of new parts evicts only other new parts.
 */
#include <string.h>

#include "base/hash.h"
#include "policy/poison_internal.h"

/* A part that was not answered for this long is treated as new. */
#define Pz_HISTORY_TTL_USEC (120 * Ck_USEC_PER_SEC)
#define Pz_ANSWER_COUNT_MAX 1000000

bool
pz_same_key(const struct pz_key *a, const struct pz_key *b)
{
    return a->part == b->part && a->customer == b->customer &&
           a->service == b->service;
}

struct pz_key
pz_all_customers(const struct pz_key *key)
{
    return (struct pz_key){key->service, Pz_ALL_CUSTOMERS, key->part};
}

static size_t
set_index(const struct pz_key *key)
{
    return Hash_Bytes(key, sizeof(*key), 0) & (Pz_SETS - 1);
}

struct pz_history *
pz_find_history(const struct pz_table *table, const struct pz_key *key)
{
    const struct pz_history *set = table->history[set_index(key)];
    for (size_t i = 0; i < Pz_WAYS; i++) {
        if (set[i].count > 0 && pz_same_key(&set[i].key, key)) {
            return (struct pz_history *)&set[i];
        }
    }
    return NULL;
}

/* Whether "a" is evicted before "b". */
static bool
evicts_before(const struct pz_history *a, const struct pz_history *b,
              int64_t now)
{
    bool a_old = now - a->answered_at > Pz_HISTORY_TTL_USEC;
    bool b_old = now - b->answered_at > Pz_HISTORY_TTL_USEC;
    if (a_old != b_old) {
        return a_old;
    }
    return a->count != b->count ? a->count < b->count
                                : a->answered_at < b->answered_at;
}

static struct pz_history *
evict_for(struct pz_table *table, const struct pz_key *key, int64_t now)
{
    struct pz_history *set = table->history[set_index(key)];
    struct pz_history *least = &set[0];
    for (size_t i = 1; i < Pz_WAYS; i++) {
        if (evicts_before(&set[i], least, now)) {
            least = &set[i];
        }
    }
    *least = (struct pz_history){.key = *key};
    return least;
}

void
pz_note_answer(struct pz_table *table, const struct pz_key *key,
               uint32_t count, int64_t at)
{
    struct pz_history *history = pz_find_history(table, key);
    if (history == NULL) {
        history = evict_for(table, key, at);
    }
    if (at - history->answered_at > Pz_HISTORY_TTL_USEC) {
        history->count = 0;
    }
    history->count += count;
    history->count = history->count < Pz_ANSWER_COUNT_MAX
                         ? history->count
                         : Pz_ANSWER_COUNT_MAX;
    history->answered_at =
        at > history->answered_at ? at : history->answered_at;
}

int64_t
pz_cleared_at(const struct pz_table *table, const struct pz_key *key)
{
    const struct pz_history *history = pz_find_history(table, key);
    return history == NULL ? 0 : history->answered_at;
}

uint32_t
pz_answer_count(const struct pz_table *table, const struct pz_key *key,
                int64_t now)
{
    const struct pz_history *history = pz_find_history(table, key);
    return history == NULL || now - history->answered_at > Pz_HISTORY_TTL_USEC
               ? 0
               : history->count;
}

static struct pz_recent_answers *
find_recent(const struct pz_table *table, uint32_t service)
{
    for (size_t i = 0; i < table->service_count; i++) {
        if (table->recent_answers[i].service == service) {
            return (struct pz_recent_answers *)&table->recent_answers[i];
        }
    }
    return NULL;
}

void
pz_note_service_answer(struct pz_table *table, uint32_t service, int64_t now)
{
    struct pz_recent_answers *recent_answers = find_recent(table, service);
    if (recent_answers == NULL) {
        if (table->service_count == Pz_SERVICES_MAX) {
            return;
        }
        recent_answers = &table->recent_answers[table->service_count++];
        recent_answers->service = service;
    }
    recent_answers->at[recent_answers->next] = now;
    recent_answers->next = (recent_answers->next + 1) % Pz_RECENT_ANSWERS;
}

int
pz_answers_since(const struct pz_table *table, uint32_t service, int64_t since)
{
    const struct pz_recent_answers *recent_answers =
        find_recent(table, service);
    int count = 0;
    for (size_t i = 0; recent_answers != NULL && i < Pz_RECENT_ANSWERS; i++) {
        count += recent_answers->at[i] >= since;
    }
    return count;
}
