// What a request does whose expert group is closed: wait here, or come back.
#pragma once

#include "policy/verdict.h"

#include <optional>

namespace rampgap {

struct group_wait_question {
    // How long the group has been closed.
    milliseconds closedFor { 0 };
    // Until the caller's deadline.
    milliseconds timeLeft { 0 };
    // Silence after which the caller gives up by itself.
    milliseconds patience { 2'000 };
    // How much of its patience is gone already, at servers or here.
    milliseconds waited { 0 };
    // The caller was not refused before, as far as can be told.
    bool firstTime = true;
    // Random, from 0 to 1: callers that come back together meet full ranks again.
    double draw = 0;
};

struct group_wait_decision {
    // Wait so long for the group to open; 0: refuse at once.
    milliseconds wait { 0 };
    // When the refused caller should come back.
    milliseconds retryAfter { 0 };

    bool operator==(const group_wait_decision&) const = default;
};

// A caller that comes back in time and is then served at once has lost less than one that
// waited, but it comes back only once and keeps to a pause of a third of its time.
group_wait_decision decideGroupWait(const group_wait_question&);

// The longest pause that a caller keeps to before it comes back; what a process that has lost
// the store says, since the balancer takes two seconds to send callers elsewhere.
milliseconds longestPause(milliseconds timeLeft);

// How long a begun stream that was cut off waits for a place or an opening: its caller leaves
// after a gap of two seconds, most of which the stalled group has used.
inline constexpr milliseconds resumeWait { 300 };

// Silence after which callers of streams give up.
milliseconds callerPatience(milliseconds latencyTarget, milliseconds gapTarget);

} // namespace rampgap
