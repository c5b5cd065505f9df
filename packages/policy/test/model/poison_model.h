// A model of hosts that send requests to endpoints, some of which end under
// a part of their prompts, and tell each other what they saw.
#ifndef POLICY_TEST_POISON_MODEL_H
#define POLICY_TEST_POISON_MODEL_H

#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy/poison.h"

namespace cg {

struct PoisonScene {
    size_t hosts = 7;
    size_t endpoints = 9;
    double per_sec = 100;   // requests
    double poisoned = 0.02; // of these, per poisonous part
    int parts = 1;          // that end endpoints
    int customers = 5;
    bool any_customer = false;        // bad requests come from all of them
    bool first = false;               // the bad part stands first
    double lost = 0;                  // words
    int64_t late = 0;                 // of words, at most
    double begin_usec = 80000;        // mean time to the first event
    std::vector<double> crashes = {}; // seconds, of a part of all endpoints
    double crash_part = 0;
    double resets = 0;        // part of all requests, from second 6 to 9
    double restart_every = 0; // seconds between starts of hosts, one by one
    double restart_all = 0;   // second at which all start again; 0: never
    double seconds = 16;
};

// What a host does with what it sees.
struct PoisonWay {
    pz_rule rule;
    bool words = true;  // hosts tell each other
    bool doubts = true; // no third endpoint for what ended two
};

struct PoisonPlayed {
    int ended = 0; // endpoints, by the parts
    int late = 0;  // bad requests sent later than 3 s after the fifth end
    int sound = 0; // after that time
    int served = 0;
    int refused = 0;      // sound ones, by a stop, at any time
    int refused_late = 0; // from that time on
};

PoisonPlayed PlayPoison(const PoisonScene &scene, const PoisonWay &way,
                        unsigned seed);

} // namespace cg

#endif
