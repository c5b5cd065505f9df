// Loads on which placement policies are compared.
#ifndef MODEL_TEST_LOADS_H
#define MODEL_TEST_LOADS_H

#include "model/placing.h"

namespace cg {

constexpr me_speed kFastEngine = {
    .slots = 48,
    .memory_tokens = 556741,
    .chunk_tokens = 1024,
    .step_usec = 2770,
    .running_usec = 14.5,
    .context_usec = 7.6,
    .prefill_usec = 1 / 0.0852,
    .attention_usec = 275,
};

constexpr me_speed kSlowEngine = {
    .slots = 64,
    .memory_tokens = 626012,
    .chunk_tokens = 4096,
    .step_usec = 3700,
    .running_usec = 19.3,
    .context_usec = 10.2,
    .prefill_usec = 1 / 0.0639,
    .attention_usec = 367,
};

// Settings that the loads have in common; the caller fills in the kinds.
inline mp_load
ThreeKinds(const me_speed &speed, size_t hosts, size_t engines,
           double requests_per_sec)
{
    mp_load load = {};
    load.hosts = hosts;
    load.engines = engines;
    load.data_centres = 4;
    load.requests_per_sec = requests_per_sec;
    load.seconds = 20;
    load.report_usec = 400000;
    load.speed = speed;
    load.kind_count = 3;
    return load;
}

// Many short prompts and few long ones, some of them very long.
inline mp_load
ShortAmongLong(size_t hosts, size_t engines, double requests_per_sec)
{
    mp_load load = ThreeKinds(kFastEngine, hosts, engines, requests_per_sec);
    load.kinds[0] = {"digest",
                     62,
                     {6610, 1.4, 54600},
                     {{{512, 0.4, 1280}, 3}, {{4870, 0.7, 14600}, 569}},
                     {382, 0.44, 1120},
                     800,
                     5.9};
    load.kinds[1] = {"chat",
                     262,
                     {628, 1.0, 3310},
                     {{{119, 0.4, 298}, 40}, {{79, 0.7, 238}, 2101}},
                     {291, 0.69, 954},
                     400,
                     1.8};
    load.kinds[2] = {"tag",
                     113,
                     {1800, 1.3, 6870},
                     {{{341, 0.4, 851}, 40}, {{227, 0.7, 681}, 695}},
                     {23, 1.4, 90},
                     400,
                     0.53};
    return load;
}

// Half of the prompts are long, and most of a long prompt is shared.
inline mp_load
LongAndShared(size_t hosts, size_t engines, double requests_per_sec)
{
    mp_load load = ThreeKinds(kSlowEngine, hosts, engines, requests_per_sec);
    load.kinds[0] = {"review",
                     138,
                     {3720, 1.1, 53200},
                     {{{13300, 0.7, 39900}, 1176}, {{0, 0, 0}, 0}},
                     {120, 1.4, 479},
                     1000,
                     3.4};
    load.kinds[1] = {"check",
                     110,
                     {2890, 1.0, 39600},
                     {{{2520, 0.4, 6290}, 4}, {{3780, 0.7, 11300}, 414}},
                     {52, 1.4, 209},
                     800,
                     2.7};
    load.kinds[2] = {"query",
                     237,
                     {1110, 1.0, 3790},
                     {{{210, 0.4, 524}, 40}, {{140, 0.7, 419}, 2012}},
                     {172, 0.89, 600},
                     600,
                     0.32};
    return load;
}

// The kinds of ShortAmongLong with hundreds of hosts, which report less often,
// and engines with few slots.
inline mp_load
HundredsOfHosts(size_t hosts, size_t engines, double requests_per_sec)
{
    mp_load load = ShortAmongLong(hosts, engines, requests_per_sec);
    load.data_centres = 6;
    load.report_usec = 600000;
    load.speed.slots = 16;
    load.speed.memory_tokens = 476791;
    load.kinds[0].weight = 298;
    load.kinds[0].shared[0].variants = 1;
    load.kinds[0].shared[1].variants = 1125;
    load.kinds[1].weight = 430;
    load.kinds[2].weight = 604;
    load.kinds[2].shared[0].variants = 160;
    load.kinds[2].shared[1].variants = 5134;
    load.kinds[2].target_msec = 500;
    return load;
}

} // namespace cg

#endif
