// What a request does whose expert group is closed: wait here, or come back.
#pragma once

#include "policy/verdict.h"

namespace rampgap {

struct group_wait_question {
    // Until the caller's deadline.
    milliseconds timeLeft { 0 };
    // Silence after which the caller gives up by itself.
    milliseconds patience { 2'000 };
    // How much of its patience is gone already, at servers or here.
    milliseconds waited { 0 };
    // From a place at an engine to the end of the answer, as lately observed.
    milliseconds run { 0 };
    // How long no group has been open.
    milliseconds closedFor { 0 };
};

struct group_wait_decision {
    // Wait so long for the group to open; 0: refuse at once.
    milliseconds wait { 0 };
    // When the refused caller should come back.
    milliseconds retryAfter { 0 };

    bool operator==(const group_wait_decision&) const = default;
};

// Load pattern: a group closes for 1 to 10 s, and nobody can tell how long: an engine that is
// replaced is back in a second, a cut lasts six. A caller that is held as long as its patience
// lasts, told to pause as long as it keeps to, and held again is served if the group opens within
// 6.5 s of its first try; refused at once with a pause, within 5. Whoever cannot be answered
// to the end any more is refused at once, and so is everybody once the closure has lasted so
// long that hardly any of them would see its end: a group may never open.
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
