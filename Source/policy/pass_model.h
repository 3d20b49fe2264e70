// How long the passes of an expert group take, from the published figures of its engines.
#pragma once

#include "policy/fleet_configuration.h"

namespace rampgap {

// Step time over that of ranks with the usual pace and an even load of the experts.
// `expertSkew`: predicted expert part of a step over that of an even load; `slowestPace`: of
// the ranks, over 1 if one is slow.
double stepStretch(const engine_costs&, double expertSkew, double slowestPace);

// Milliseconds of a pass of a group whose ranks each write `sequences` answers and read the
// prompts that come for them.
double passTime(const engine_costs&, double sequences, double stretch);

// Sequences that each rank may write at once so that streams get an event each `longestGap`;
// at least 1, at most the engine's capacity.
int sequencesWithin(const engine_costs&, double stretch, milliseconds longestGap);

} // namespace rampgap
