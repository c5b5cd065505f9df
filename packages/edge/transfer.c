#include "edge/transfer.h"

#include <stdio.h>
#include <stdlib.h>

#include "edge/transfer_internal.h"

struct tr_transfers *
Tr_Create(struct ga_gate *gate)
{
    struct tr_transfers *transfers = calloc(1, sizeof(*transfers));
    if (transfers != NULL) {
        transfers->gate = gate;
        TAILQ_INIT(&transfers->moves);
        transfers->started = Mt_Get(gate->registry, MT_COUNTER,
                                    "cornelgate_stream_moves_total", "");
        transfers->succeeded =
            Mt_Get(gate->registry, MT_COUNTER,
                   "cornelgate_stream_moves_succeeded_total", "");
    }
    return transfers;
}

void
tr_count_failed(struct tr_transfers *transfers, const char *why)
{
    char labels[Ec_NAME_MAX];
    snprintf(labels, sizeof(labels), "why=\"%s\"", why);
    Mt_Add(Mt_Get(transfers->gate->registry, MT_COUNTER,
                  "cornelgate_stream_moves_failed_total", labels),
           1);
}

void
Tr_Destroy(struct tr_transfers *transfers)
{
    if (transfers == NULL) {
        return;
    }
    struct tr_move *move;
    struct tr_move *next;
    TAILQ_FOREACH_SAFE (move, &transfers->moves, link, next) {
        tr_destroy_move(move);
    }
    free(transfers);
}

/*
 * A run that was told to stop is cut off, if its answer has a length or is
 * chunked; any other answer seems to end as usual.
 */
bool
Tr_HoldEnd(struct xc_exchange *exchange, enum cn_outcome outcome)
{
    struct tr_move *move = exchange->move;
    const struct xc_attempt *attempt = &exchange->attempt;
    if (move == NULL || move->call != STOP || attempt->overflow ||
        (outcome == CN_COMPLETE && !attempt->to_close)) {
        return false;
    }
    move->ended = true;
    move->outcome = outcome;
    return true;
}

void
Tr_NoteRelease(struct xc_exchange *exchange)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    if (exchange->move != NULL) {
        tr_leave_move(exchange->move);
    }
    if (attempt->moved && attempt->head_at == 0) {
        Tr_NoteAnswer(exchange, false);
    }
}

void
tr_note_not_continued(struct tr_transfers *transfers, const char *id,
                      const struct fl_endpoint *endpoint, int status)
{
    tr_count_failed(transfers, "not continued");
    Ln_Log(LN_FAILURE, "transfer.failed",
           "\"id\":\"%s\",\"to\":\"%s\",\"why\":\"not continued\","
           "\"status\":%d",
           id, endpoint->entry.id, status);
}

void
Tr_NoteAnswer(struct xc_exchange *exchange, bool good)
{
    struct tr_transfers *transfers = exchange->gate->transfers;
    const struct xc_attempt *attempt = &exchange->attempt;
    if (good) {
        Mt_Add(transfers->succeeded, 1);
        return;
    }
    tr_note_not_continued(transfers, exchange->info.id, attempt->endpoint,
                          attempt->status);
}
