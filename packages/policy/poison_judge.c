/* Decides which prompt parts to quarantine. */
#include <stdlib.h>

#include "policy/poison_internal.h"

/* A request is not retried after its parts crashed this many endpoints. */
#define Pz_RETRY_CRASHES_MAX 2

/*
 * A part is quarantined for all customers when it crashed endpoints in
 * requests of at least this many.
 */
#define Pz_CUSTOMERS_MIN 2

/*
 * While something else may explain the crashes of a request, be it another one
 * in quarantine or that endpoints crash for all requests alike, it is stopped
 * after this many crashes more.
 */
#define Pz_UNCLEAR_CRASHES 2
/* Endpoints crash for all alike once so many other requests met two crashes.
 */
#define Pz_HIT_TWICE_MAX 3

/* Crashes this close together may have one common cause. */
#define Pz_SIMULTANEOUS_USEC (50 * Ck_USEC_PER_MSEC)

/* Holds do not count. */
static bool
is_quarantined(const struct pz_table *table, const struct pz_key *key)
{
    struct pz_key all = pz_all_customers(key);
    const struct pz_quarantine *own = pz_find_quarantine(table, key);
    return (own != NULL && own->requested_at != Pz_HOLD) ||
           pz_find_quarantine(table, &all) != NULL;
}

/*
 * Whether the crash of a quarantined part or request explains the one that
 * implicates another.  It does not when the quarantined one had received no
 * headers yet and the other had.  A whole request explains no part: the part
 * may be the reason why the request crashes endpoints.
 */
static bool
accounts_for(const struct pz_crash *quarantined, const struct pz_crash *other)
{
    return quarantined->endpoint == other->endpoint &&
           !pz_same_key(&quarantined->key, &other->key) &&
           (quarantined->depth != Pz_CONTENT || other->depth == Pz_CONTENT) &&
           (quarantined->head_received || !other->head_received);
}

static void
mark_explained(struct pz_table *table, int64_t now)
{
    struct pz_crash_entry *entry;
    TAILQ_FOREACH (entry, &table->crashes, link) {
        entry->quarantined = is_quarantined(table, &entry->crash.key);
        entry->explained = false;
        table->pending |= !pz_is_counted(table, entry, now);
    }
    struct pz_crash_entry *other;
    TAILQ_FOREACH (entry, &table->crashes, link) {
        TAILQ_FOREACH (other, &table->crashes, link) {
            if (entry->quarantined &&
                accounts_for(&entry->crash, &other->crash)) {
                other->explained = table->rule.explain_crashes;
            }
        }
    }
}

static int
compare_ends(const void *a, const void *b)
{
    int64_t left = ((const struct pz_crash *)a)->ended_at;
    int64_t right = ((const struct pz_crash *)b)->ended_at;
    return left < right ? -1 : left > right;
}

static bool
matches_key(const struct pz_key *key, const struct pz_crash *crash)
{
    return crash->key.part == key->part &&
           crash->key.service == key->service &&
           (key->customer == Pz_ALL_CUSTOMERS ||
            crash->key.customer == key->customer);
}

/* The counted crashes that implicate a part, ordered by time. */
static size_t
list_counted(const struct pz_table *table, const struct pz_key *key,
             const struct pz_chain_rule *rule, struct pz_crash *out,
             int64_t now)
{
    size_t count = 0;
    int64_t cleared_at = pz_cleared_at(table, key);
    const struct pz_crash_entry *entry;
    TAILQ_FOREACH (entry, &table->crashes, link) {
        if (matches_key(key, &entry->crash) &&
            entry->crash.ended_at > cleared_at &&
            (entry->crash.head_received || !rule->after_head) &&
            (!entry->explained || rule->explained) &&
            pz_is_counted(table, entry, now)) {
            out[count++] = entry->crash;
        }
    }
    qsort(out, count, sizeof(*out), compare_ends);
    return count;
}

/*
 * Whether a crash is the next of the chain.  Requests of several customers
 * with the part may have waited at the same endpoint, which counts once.  A
 * request may also be retried from one endpoint to the next while all of them
 * crash for a common cause; these crashes count once as well.
 */
static bool
extends_chain(const struct pz_table *table, const struct pz_chain *chain,
              const struct pz_crash *crash)
{
    if (chain->length == 0 || !table->rule.in_sequence) {
        return chain->length == 0 || crash->endpoint != chain->endpoint;
    }
    return crash->sent_at >= chain->last_at &&
           crash->ended_at >= chain->last_at + Pz_SIMULTANEOUS_USEC;
}

struct pz_chain
pz_find_chain(const struct pz_table *table, const struct pz_key *key,
              const struct pz_chain_rule *rule, int64_t now)
{
    static struct pz_crash crashes[Pz_CRASHES_MAX];
    struct pz_chain chain = {0};
    uint32_t last_request = 0;
    size_t count = list_counted(table, key, rule, crashes, now);
    for (size_t i = 0; i < count; i++) {
        const struct pz_crash *crash = &crashes[i];
        chain.customers +=
            i == 0 || crash->key.customer != crashes[i - 1].key.customer;
        if (!extends_chain(table, &chain, crash)) {
            continue;
        }
        chain.first_at = chain.length == 0 ? crash->ended_at : chain.first_at;
        chain.length++;
        chain.last_at = crash->ended_at;
        chain.endpoint = crash->endpoint;
        chain.requests += crash->request != last_request;
        last_request = crash->request;
        chain.depth = crash->depth;
    }
    return chain;
}

static const struct pz_chain_rule any_time = {false, false};
static const struct pz_chain_rule after_head = {.after_head = true};
static const struct pz_chain_rule with_explained = {.explained = true};

struct suspect {
    struct pz_key key;
    struct pz_chain chain;
    uint32_t answers;
    bool hold; /* something else may explain its crashes */
};

/* Whether other requests of the service were answered since "since". */
static bool
others_answered(const struct pz_table *table, uint32_t service, int64_t since)
{
    return table->rule.other_answers == 0 ||
           pz_answers_since(table, service, since) >=
               table->rule.other_answers;
}

/* Whether the entry is the second one of its key. */
static bool
is_second(const struct pz_table *table, const struct pz_crash_entry *entry)
{
    int earlier = 0;
    const struct pz_crash_entry *other;
    TAILQ_FOREACH (other, &table->crashes, link) {
        if (other == entry) {
            break;
        }
        earlier += pz_same_key(&other->crash.key, &entry->crash.key);
    }
    return earlier == 1;
}

/*
 * Whether many other requests met two crashes.  It does not matter whether
 * they were answered since.
 */
static bool
hits_all_alike(const struct pz_table *table, const struct pz_key *key)
{
    int others = 0;
    const struct pz_crash_entry *entry;
    TAILQ_FOREACH (entry, &table->crashes, link) {
        others += entry->crash.depth == Pz_CONTENT &&
                  !pz_same_key(&entry->crash.key, key) &&
                  is_second(table, entry);
    }
    return others > Pz_HIT_TWICE_MAX;
}

/* Whether the request as a whole is to be held or put in quarantine. */
static bool
check_content(struct pz_table *table, const struct pz_crash *crash,
              struct suspect *out, int64_t now)
{
    out->key = crash->key;
    out->answers = pz_answer_count(table, &crash->key, now);
    int factor = out->answers > 0 ? table->rule.answered_factor : 1;
    int crashes_min = table->rule.content_crashes * factor;
    out->chain = pz_find_chain(table, &crash->key, &with_explained, now);
    if (out->chain.length < crashes_min) {
        return false;
    }
    bool clear = out->chain.length >= crashes_min + Pz_UNCLEAR_CRASHES ||
                 (pz_find_chain(table, &crash->key, &any_time, now).length >=
                      crashes_min &&
                  !hits_all_alike(table, &crash->key));
    bool answered =
        others_answered(table, pz_service_of(crash), out->chain.first_at);
    table->pending |= clear && !answered;
    out->hold = !clear || !answered;
    return !out->hold || (now - out->chain.last_at < Pz_HOLD_TTL_USEC &&
                          pz_find_quarantine(table, &crash->key) == NULL);
}

/* Whether the part meets the conditions of the rule. */
static bool
check_part(struct pz_table *table, const struct pz_key *key,
           struct suspect *out, int64_t now)
{
    const struct pz_rule *rule = &table->rule;
    out->key = *key;
    out->hold = false;
    out->answers = pz_answer_count(table, key, now);
    int factor = out->answers > 0 ? rule->answered_factor : 1;
    bool all = key->customer == Pz_ALL_CUSTOMERS;
    out->chain = pz_find_chain(table, key, &after_head, now);
    if (out->chain.length < rule->crashes_after_head * factor) {
        out->chain = pz_find_chain(table, key, &any_time, now);
        if (all || out->chain.length < rule->crashes * factor) {
            return false;
        }
    }
    if (out->chain.requests < rule->requests ||
        (all && out->chain.customers < Pz_CUSTOMERS_MIN)) {
        return false;
    }
    bool answered = others_answered(table, key->service, out->chain.first_at);
    table->pending |= !answered;
    return answered;
}

static bool
is_likelier(const struct suspect *a, const struct suspect *b)
{
    if (a->hold != b->hold) {
        return b->hold;
    }
    if (a->answers != b->answers) {
        return a->answers < b->answers;
    }
    if (a->chain.length != b->chain.length) {
        return a->chain.length > b->chain.length;
    }
    return a->chain.depth > b->chain.depth;
}

struct search {
    bool found;
    struct suspect likeliest;
};

static void
add_suspect(struct search *search, const struct suspect *suspect)
{
    if (!search->found || is_likelier(suspect, &search->likeliest)) {
        search->likeliest = *suspect;
        search->found = true;
    }
}

static void
consider_part(struct pz_table *table, const struct pz_key *key,
              struct search *search, int64_t now)
{
    struct suspect suspect;
    if (!is_quarantined(table, key) && check_part(table, key, &suspect, now)) {
        add_suspect(search, &suspect);
    }
}

static void
consider(struct pz_table *table, const struct pz_crash *crash,
         struct search *search, int64_t now)
{
    struct suspect suspect;
    struct pz_key all = pz_all_customers(&crash->key);
    if (crash->depth != Pz_CONTENT) {
        consider_part(table, &crash->key, search, now);
        consider_part(table, &all, search, now);
    }
    else if (!is_quarantined(table, &crash->key) &&
             check_content(table, crash, &suspect, now)) {
        add_suspect(search, &suspect);
    }
}

/* Whether an earlier entry has the same key. */
static bool
is_duplicate(const struct pz_table *table, const struct pz_crash_entry *entry)
{
    const struct pz_crash_entry *other;
    TAILQ_FOREACH (other, &table->crashes, link) {
        if (other == entry) {
            return false;
        }
        if (pz_same_key(&other->crash.key, &entry->crash.key)) {
            return true;
        }
    }
    return false;
}

/* The most likely cause among the suspects; false: there is no suspect. */
static bool
find_likeliest(struct pz_table *table, struct suspect *out, int64_t now)
{
    struct search search = {0};
    mark_explained(table, now);
    const struct pz_crash_entry *entry;
    TAILQ_FOREACH (entry, &table->crashes, link) {
        if (!is_duplicate(table, entry)) {
            consider(table, &entry->crash, &search, now);
        }
    }
    *out = search.likeliest;
    return search.found;
}

/* Reports the requests of this host under which two endpoints crashed. */
static void
report_doubts(struct pz_table *table, int64_t now)
{
    struct pz_crash_entry *entry;
    TAILQ_FOREACH (entry, &table->crashes, link) {
        const struct pz_crash *crash = &entry->crash;
        if (!entry->local || entry->reported || crash->depth != Pz_CONTENT ||
            !pz_is_counted(table, entry, now)) {
            continue;
        }
        struct pz_chain chain =
            pz_find_chain(table, &crash->key, &with_explained, now);
        if (chain.length >= Pz_DOUBT_CRASHES &&
            chain.last_at == crash->ended_at) {
            struct pz_quarantine doubt = {crash->key, chain.last_at, Pz_DOUBT};
            entry->reported = true;
            table->ops->doubted(table->arg, &doubt);
        }
    }
}

void
Pz_Evaluate(struct pz_table *table, int64_t now)
{
    pz_expire(table, now);
    if (table->changed && table->ops->doubted != NULL) {
        report_doubts(table, now);
    }
    if ((!table->changed && !table->pending) ||
        now - table->started_at < table->rule.startup_grace_usec) {
        return;
    }
    table->changed = false;
    table->pending = false;
    struct suspect likeliest;
    while (find_likeliest(table, &likeliest, now)) {
        struct pz_quarantine quarantine = {likeliest.key,
                                           likeliest.chain.last_at,
                                           likeliest.hold ? Pz_HOLD : now};
        if (!pz_add_quarantine(table, &quarantine)) {
            return;
        }
        table->ops->quarantined(table->arg, &quarantine,
                                likeliest.chain.length, false);
    }
}

static bool
crashed_several(const struct pz_table *table, const struct pz_key *key,
                int64_t now)
{
    return pz_answer_count(table, key, now) == 0 &&
           pz_find_chain(table, key, &any_time, now).length >=
               Pz_RETRY_CRASHES_MAX;
}

bool
Pz_DeniesRetry(const struct pz_table *table, const struct pz_request *request,
               int64_t now)
{
    struct pz_key whole = pz_content_key(request);
    if (request->content != 0 && pz_find_quarantine(table, &whole) != NULL) {
        return true;
    }
    for (size_t i = 0; i < request->count && !TAILQ_EMPTY(&table->crashes);
         i++) {
        struct pz_key key = {request->service, request->customer,
                             request->parts[i]};
        if (crashed_several(table, &key, now)) {
            return true;
        }
    }
    return false;
}
