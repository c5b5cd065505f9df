/* Reads listings of the newest records, page by page. */
#include <stdlib.h>
#include <string.h>

#include "edge/feed_internal.h"

#define Fe_DISCOVERY_DELAY_USEC (30 * Ck_USEC_PER_MSEC)

/*
 * A record that a complete listing lacks was removed, unless the record is
 * newer than the listing.
 */
static void
end_listing(struct reader *reader)
{
    struct cached *cached;
    RB_FOREACH (cached, record_tree, &reader->records) {
        if (!cached->listed &&
            fe_apply_removal(reader, cached, reader->listing_end) &&
            reader->changes_end < reader->listing_end) {
            reader->changes_end = reader->listing_end;
        }
    }
    reader->next_offset = reader->listing_end;
    reader->base = reader->listing_end;
    reader->listed = true;
    reader->listed_at = Ck_Now(reader->feed->options.clock);
    reader->changes_end =
        fe_max(reader->changes_end, reader->listing_changes_end);
    reader->list_after[0] = '\0';
}

static void
begin_listing(struct reader *reader, int64_t end)
{
    struct cached *cached;
    RB_FOREACH (cached, record_tree, &reader->records) {
        cached->listed = false;
    }
    reader->listing_end = end;
    reader->listing_changes_end = 0;
}

void
fe_on_listed(void *arg, const struct ag_result *result)
{
    struct reader *reader = arg;
    if (result->status != AG_OK) {
        reader->list_after[0] = '\0';
        fe_note_failure(reader);
        return;
    }
    fe_note_success(reader);
    reader->reading = true;
    if (reader->list_after[0] == '\0') {
        if (result->end < reader->newest_end) {
            /* The listing is older than records that were already applied. */
            Lp_TimerSet(reader->timer, Fe_RETRY_USEC);
            return;
        }
        begin_listing(reader, result->end);
    }
    /*
     * changes_end stands for all changes before it. If it were raised before
     * the last page, peers that fetch from this daemon would skip the changes
     * on that page. A later page may hold a record from after the listing's
     * end; the records between that end and the record are still to be read,
     * so changes_end is limited to the listing's end.
     */
    int64_t changed = fe_apply_records(reader, result);
    reader->listing_changes_end =
        fe_max(reader->listing_changes_end,
               changed < reader->listing_end ? changed : reader->listing_end);
    if (result->more && result->count > 0) {
        const struct ag_record *last = &result->records[result->count - 1];
        size_t len = last->key_len < sizeof(reader->list_after) - 1
                         ? last->key_len
                         : sizeof(reader->list_after) - 1;
        memcpy(reader->list_after, last->key, len);
        reader->list_after[len] = '\0';
    }
    else {
        end_listing(reader);
    }
    /*
     * The addresses of other hosts arrive at about the same time as the first
     * page.
     */
    bool first = reader->first_page_at == 0;
    if (first) {
        reader->first_page_at = reader->answered_at;
    }
    Lp_TimerSet(reader->timer,
                first && !reader->listed ? Fe_DISCOVERY_DELAY_USEC : 0);
}

/*
 * A daemon that still reads some seconds after its listing does so because too
 * few others read, so its listing is the newest there is.
 */
void
fe_publish_listing(struct reader *reader, int64_t now)
{
    if (reader->next_offset >= 0 && reader->changes_end < reader->base &&
        now - reader->listed_at > Fe_RELIST_USEC) {
        reader->changes_end = reader->base;
    }
}
