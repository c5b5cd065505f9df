/*
 * Endpoint selection for a request.  Pure: takes the candidates and returns
 * one of them.  The selection takes into account that many hosts choose by
 * load reports that lag, that a long prompt delays the first tokens of the
 * requests beside it, and that a prompt part in the endpoint's prefix cache
 * need not be read again.
 */
#ifndef EDGE_PLACE_H
#define EDGE_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct pl_candidate {
    int64_t prefill_tokens;  /* prompt tokens queued there by all hosts */
    int64_t uncached_tokens; /* prompt tokens not in its cache, as this host
                                knows */
    int64_t uncached_shared; /* of these, in parts that requests share */
    /* Hash of prompt group and endpoint; the endpoints with the highest hashes
       are the homes that the group prefers. */
    uint64_t home_hash;
    double sample_hash; /* hash of request and endpoint, 0 to 1 */
    double failing;     /* fraction of recent answers that failed, 0 to 1 */
    double slowness;    /* time to the first byte / mean of the service */
    double speed; /* relative to the mean of the service; 0 counts as 1 */
    /* output tokens that the requests there will generate; 0: not known */
    int64_t output_tokens;
    int slots;
    int running;      /* requests there of all hosts */
    bool same_zone;   /* in this host's data centre */
    bool last_resort; /* ejected, or may be cold: only if there is no other */
    bool tried;       /* the request was sent there before */
    bool full;        /* closed to this host, see Xc_ClosedBy() */
    bool unused;      /* room within its rate limit is about to be lost */
    bool long_lane;   /* in the lane for long prompts or patient requests */
};

enum pl_verdict {
    PL_CHOSEN,
    PL_BUSY, /* all eligible endpoints are at their limit */
    PL_NONE, /* no eligible endpoint */
};

struct pl_limits {
    bool engine;
    double fill_max; /* most requests at an endpoint, as a multiple of its
                        slots */
    bool lanes;      /* the service has two lanes of endpoints */
    bool is_long;    /* the request belongs in the long lane */
    bool patient;    /* see Pl_IsPatient(); only where there are lanes */
    /* Fraction of the endpoints that is sampled in addition to the group's
       homes; 1: all. */
    double sampled_fraction;
    /* Latency target less the time since arrival; negative: missed. */
    int64_t target_usec;
    double prefill_rate; /* tokens a second at speed 1; 0: not known */
};

struct pl_choice {
    size_t index;
    int64_t prefill_tokens; /* prompt tokens it is expected to read */
    int64_t expected_usec;  /* time to the first event; 0: not known */
};

/* Whether a candidate can be chosen. */
enum pl_state {
    PL_OPEN,
    PL_TRIED,
    PL_FULL,
    PL_NOT_SAMPLED,
    PL_AT_LIMIT, /* has no slot, and enough requests wait for one */
};

/* Evaluation of a candidate; the costs are set only if it is PL_OPEN. */
struct pl_judgement {
    enum pl_state state;
    bool last_resort;
    double cost;
    double expected; /* time to the first event, in tokens read at speed 1 */
};

/* The most urgent priority and tightest latency target of the routes. */
struct pl_urgency {
    int least_priority; /* of the most urgent route */
    int64_t least_target_usec;
};

enum pl_verdict Pl_Choose(const struct pl_candidate *candidates, size_t count,
                          const struct pl_limits *limits,
                          struct pl_choice *choice);
/*
 * The same; also stores the evaluation of each candidate, unless "judgements"
 * is NULL.
 */
enum pl_verdict Pl_ChooseAndJudge(const struct pl_candidate *candidates,
                                  size_t count, const struct pl_limits *limits,
                                  struct pl_choice *choice,
                                  struct pl_judgement *judgements);
/* Whether the choice prefers an open candidate to another. */
bool Pl_IsBetter(const struct pl_judgement *judgement,
                 const struct pl_judgement *other);
/* The expected time to the first event; 0: not known. */
int64_t Pl_ExpectedUsec(const struct pl_limits *limits,
                        const struct pl_judgement *judgement);

/*
 * Fraction of the endpoints, in order of their hashes, that is reserved for
 * long prompts; 0: no endpoints are reserved.  "long_share" is the fraction of
 * all prompt tokens that belongs to long prompts.
 */
double Pl_LongLaneFraction(size_t endpoints, double long_share);
/*
 * The same for patient requests, in a service that has such routes.
 * "patient_share" is their fraction of all prompt tokens.
 */
double Pl_PatientLaneFraction(size_t endpoints, double patient_share);
/*
 * Whether a route's requests have slack that urgent requests to the same
 * service lack: its priority is less urgent than the most urgent one, and its
 * latency target is a multiple of the least one.
 */
bool Pl_IsPatient(const struct pl_urgency *service, int priority,
                  int64_t target_usec);
/*
 * Fraction of the endpoints that each request samples.  "unreported" is the
 * number of requests that all hosts send within the lag of their load reports.
 * All hosts see the same endpoint idle; if all chose it, it would get about a
 * second's requests of the whole service before the reports show it.
 */
double Pl_SampledFraction(size_t endpoints, double unreported);
/* Whether a prompt of this size counts as long. */
bool Pl_IsLong(int64_t tokens);

#ifdef __cplusplus
}
#endif

#endif
