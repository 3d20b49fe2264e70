// Predicts how long the passes of an expert group take, from the published figures of its engines.
#pragma once

#include "policy/configuration/fleet_configuration.h"
#include "policy/groups/pass_estimate.h"

#include <optional>

namespace rampgap {

// What lengthens the steps of a group at present: load skew, the pace of its slowest rank, and the measured time of a sequence.
struct group_slowdown {
    // Predicted expert part of a step divided by that of an even load.
    double expertSkew = 1;
    // Pace of the slowest rank: how much longer than usual it takes; 1 if none is slow.
    double slowestPace = 1;
    // Measured time that a sequence adds to a pass, divided by the predicted one.
    double tokenFactor = 1;

    bool operator==(const group_slowdown&) const = default;
};

// Milliseconds of a pass of a group whose ranks each generate `sequences` answers and read the
// prompts that arrive for them.
double passTime(const engine_costs&, double sequences, const group_slowdown&);

// Longest predicted pass for callers that accept gaps up to `longestGap`; leaves a margin, since passes
// vary.
milliseconds passTimeLimit(milliseconds longestGap);

// Sequences that each rank should run at once, as a mean over the ranks: as many as still give each stream
// an event within `longestGap`, or its whole capacity where that serves more.
double sequencesToRun(const engine_costs&, const group_slowdown&, milliseconds longestGap);

// Measured time that a sequence adds to a pass, divided by the predicted one; `published` is what the leader
// says of skew and pace. Empty if the pass does not tell: too few sequences, or passes so long that a
// step must be held or a rank slow.
std::optional<double> tokenFactor(const engine_costs&, const group_slowdown& published, const measured_pass&);

} // namespace rampgap
