/* Which daemon is responsible for which job, by rank among the members. */
#include <string.h>

#include "base/hash.h"
#include "gate/peers_internal.h"

/* Daemons that watch an endpoint, or poll the config stream often. */
#define Pe_WATCHERS 2

/*
 * The member responsible for a job.  The claim slots alone need it 800 times a
 * second, and each lookup ranks all members, so the result is cached until
 * the membership table changes.
 */
static const struct mb_record *
member_for(struct pe_peers *peers, const char *key)
{
    uint64_t generation = Mb_Generation(Nd_Members(peers->node)) + 1;
    uint64_t hash = Hash_String(key, 0);
    struct pe_job_memo *memo = &peers->job_memos[hash % Pe_JOB_CACHE_ENTRIES];
    if (memo->key != hash || memo->generation != generation) {
        memo->key = hash;
        memo->generation = generation;
        memo->member = Nd_Responsible(peers->node, key, NULL);
    }
    return memo->member;
}

/* The daemon responsible for a job; NULL: this daemon. */
const char *
Pe_Responsible(struct pe_peers *peers, const char *key)
{
    const struct mb_record *member = member_for(peers, key);
    if (member == NULL || strcmp(member->id, Nd_Id(peers->node)) == 0) {
        return NULL;
    }
    return member->id;
}

/*
 * Whether this daemon is one of the two in its data centre that poll the
 * config stream at short intervals.
 */
bool
Pe_IsConfigReader(const struct pe_peers *peers)
{
    const struct mb_record *readers[Pe_WATCHERS];
    size_t count =
        Nd_RankByKey(peers->node, "config-readers",
                     peers->gate->options->data_centre, readers, Pe_WATCHERS);
    for (size_t i = 0; i < count; i++) {
        if (strcmp(readers[i]->id, Nd_Id(peers->node)) == 0) {
            return true;
        }
    }
    return count == 0;
}

static bool
ranks_as_watcher(const struct pe_peers *peers, const struct ch_info *info)
{
    const struct mb_record *watchers[Pe_WATCHERS];
    size_t count = Nd_RankByKey(peers->node, info->id, info->data_centre,
                                watchers, Pe_WATCHERS);
    if (count == 0) {
        count =
            Nd_RankByKey(peers->node, info->id, NULL, watchers, Pe_WATCHERS);
    }
    for (size_t i = 0; i < count; i++) {
        if (strcmp(watchers[i]->id, Nd_Id(peers->node)) == 0) {
            return true;
        }
    }
    return false;
}

/*
 * Whether this daemon is one of the two that watch an endpoint.  Watchers are
 * in the data centre of the endpoint, or anywhere if it has no daemon.
 */
bool
Pe_IsWatcher(struct pe_peers *peers, const struct ch_info *info)
{
    uint64_t generation = Mb_Generation(Nd_Members(peers->node)) + 1;
    uint64_t key = Hash_String(info->id, Hash_String(info->data_centre, 0));
    struct pe_watch_memo *memo =
        &peers->watch_memos[key % Pe_WATCH_CACHE_ENTRIES];
    if (memo->key != key || memo->generation != generation) {
        memo->key = key;
        memo->generation = generation;
        memo->watches = ranks_as_watcher(peers, info);
    }
    return memo->watches;
}
