/* Listings of all newest records, which come in pages. */
#include <stdlib.h>
#include <string.h>

#include "edge/feed_internal.h"

#define Fe_HOSTS_USEC (30 * Ck_USEC_PER_MSEC)

/* What a whole listing lacks was removed, unless it is newer than that. */
static void
end_listing(struct follow *follow)
{
    struct known *known;
    RB_FOREACH (known, known_tree, &follow->known) {
        if (!known->listed && fe_forget(follow, known, follow->listing_end) &&
            follow->changed < follow->listing_end) {
            follow->changed = follow->listing_end;
        }
    }
    follow->from = follow->listing_end;
    follow->base = follow->listing_end;
    follow->listed = true;
    follow->listed_at = Ck_Now(follow->feed->options.clock);
    follow->changed = fe_later_of(follow->changed, follow->listing_changed);
    follow->after[0] = '\0';
}

static void
begin_listing(struct follow *follow, int64_t end)
{
    struct known *known;
    RB_FOREACH (known, known_tree, &follow->known) {
        known->listed = false;
    }
    follow->listing_end = end;
    follow->listing_changed = 0;
}

void
fe_on_listed(void *arg, const struct ag_result *result)
{
    struct follow *follow = arg;
    if (result->status != AG_OK) {
        follow->after[0] = '\0';
        fe_note_failure(follow);
        return;
    }
    fe_note_answer(follow);
    follow->waiting = true;
    if (follow->after[0] == '\0') {
        if (result->end < follow->highest) {
            /* A reading from before what is known already. */
            Lp_TimerSet(follow->timer, Fe_RETRY_USEC);
            return;
        }
        begin_listing(follow, result->end);
    }
    /*
     * The number stands for all that came before it; given before the last
     * page, those who fetch from here would pass over what that page has.  A
     * later page may show a record of after the listing's end; what came
     * between is still to be read.
     */
    int64_t changed = fe_take_records(follow, result);
    follow->listing_changed = fe_later_of(
        follow->listing_changed,
        changed < follow->listing_end ? changed : follow->listing_end);
    if (result->more && result->count > 0) {
        const struct ag_record *last = &result->records[result->count - 1];
        size_t len = last->key_len < sizeof(follow->after) - 1
                         ? last->key_len
                         : sizeof(follow->after) - 1;
        memcpy(follow->after, last->key, len);
        follow->after[len] = '\0';
    }
    else {
        end_listing(follow);
    }
    /* The addresses of other hosts are on their way with the first page. */
    bool first = follow->paged_at == 0;
    if (first) {
        follow->paged_at = follow->answered_at;
    }
    Lp_TimerSet(follow->timer, first && !follow->listed ? Fe_HOSTS_USEC : 0);
}

/*
 * Whoever still reads some seconds after its listing does so because nobody
 * else does: then its listing is the newest that there is.
 */
void
fe_number_listing(struct follow *follow, int64_t now)
{
    if (follow->from >= 0 && follow->changed < follow->base &&
        now - follow->listed_at > Fe_RELIST_USEC) {
        follow->changed = follow->base;
    }
}
