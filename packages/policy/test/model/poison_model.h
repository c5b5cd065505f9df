// A simulation of hosts that send requests to endpoints, some of which crash
// on a part of a prompt, and that gossip what they observe.
#ifndef POLICY_TEST_POISON_MODEL_H
#define POLICY_TEST_POISON_MODEL_H

#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy/poison.h"

namespace cg {

struct PoisonScenario {
    size_t hosts = 7;
    size_t endpoints = 9;
    double per_sec = 100;          // requests
    double poison_fraction = 0.02; // of the requests, per poisonous part
    int poison_parts = 1;          // number of parts that crash endpoints
    int customers = 5;
    bool all_customers = false;      // all of them send poison requests
    bool poison_first = false;       // the poisonous part is the first one
    double message_loss = 0;         // fraction
    int64_t message_delay_max = 0;   // microseconds
    double first_event_usec = 80000; // mean time to the first event
    // Requests that crash endpoints by themselves, and how often each is
    // repeated at a random host.
    int poison_requests = 0;
    double repeat_seconds = 0.2;
    // Fraction of the sound requests with one of few contents, as if all
    // callers asked for the same few pages.
    double common_fraction = 0;
    // Seconds at which a fraction of all endpoints crashes for other reasons.
    std::vector<double> crash_times = {};
    double crash_fraction = 0;
    // Fraction of all requests that are reset, from second 6 to 9.
    double reset_fraction = 0;
    double restart_every = 0; // seconds between restarts of single hosts
    double restart_all = 0;   // second at which all hosts restart; 0: never
    double seconds = 16;
};

// How a host reacts to crashes.
struct PoisonPolicy {
    pz_rule rule;
    bool gossip = true;        // hosts exchange what they observe
    bool limit_retries = true; // no third endpoint after two crashes
};

// Sound requests have no poisonous part.  Detection counts as late from 3 s
// after the fifth crash of a part for poison requests, and from 6 s after it
// for sound requests.
struct PoisonResult {
    int crashes = 0;          // of endpoints, by poisonous parts
    int poison_sent_late = 0; // late poison requests sent to an endpoint
    // The same of a request that crashes endpoints by itself, late from 3 s
    // after the third crash on; the largest number of one request.
    int request_crashes = 0;
    int request_sent_late = 0;
    int sound_requests = 0;     // late, without retries by callers
    int sound_served = 0;       // late
    int sound_refused = 0;      // by a quarantine, at any time
    int sound_held = 0;         // by a hold, at any time
    int sound_refused_late = 0; // by a quarantine, late
};

PoisonResult SimulatePoison(const PoisonScenario &scenario,
                            const PoisonPolicy &policy, unsigned seed);

} // namespace cg

#endif
