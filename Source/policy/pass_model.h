// How long the passes of an expert group take, from the published figures of its engines.
#pragma once

#include "policy/fleet_configuration.h"

namespace rampgap {

// What lengthens the steps of a group now.
struct group_strain {
    // Predicted expert part of a step over that of an even load.
    double expertSkew = 1;
    // Of the ranks; over 1 if one is slow.
    double slowestPace = 1;

    bool operator==(const group_strain&) const = default;
};

// Milliseconds of a pass of a group whose ranks each write `sequences` answers and read the
// prompts that come for them.
double passTime(const engine_costs&, double sequences, const group_strain&);

// Of the longest gap that callers accept, what a predicted pass may take: passes vary.
milliseconds timelyPass(milliseconds longestGap);

// Sequences that each rank should write at once: as many as leave streams an event each
// `longestGap`, or all that it can run where that is worth more. At most its capacity.
int sequencesToRun(const engine_costs&, const group_strain&, milliseconds longestGap);

} // namespace rampgap
