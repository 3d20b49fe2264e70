// Decides what happens to a request whose expert group is closed: it waits here, or is refused with
// a retry delay.
#pragma once

#include "policy/common/verdict.h"

namespace rampgap {

struct group_wait_input {
    // Time until the caller's deadline.
    milliseconds timeLeft { 0 };
    // Time without an answer after which the caller gives up.
    milliseconds patience { 2'000 };
    // How much of its patience has been used already, at servers or here.
    milliseconds waited { 0 };
    // Time from getting a request slot of an engine to the end of the answer, as observed lately.
    milliseconds run { 0 };
    // From getting a request slot just after an opening to the first event, as observed lately.
    milliseconds firstEvent { 0 };
    // How long the service has had no open group.
    milliseconds closedFor { 0 };
    // The caller was not refused before, so that it can come back and be on time then.
    bool mayReturn = false;
};

struct group_wait_decision {
    // How long to wait for the group to open; 0: refuse at once.
    milliseconds wait { 0 };
    // After which time the refused caller should retry.
    milliseconds retryAfter { 0 };

    bool operator==(const group_wait_decision&) const = default;
};

// Load pattern: a group closes for 1 to 10 s, for a time that cannot be predicted: an engine that is
// replaced is back in a second, a network partition lasts six. A caller that may return is told so at
// once, unless the closure has just begun: it is on time if the group is open when it comes back, and waits then,
// so that it is served if the group opens within 4.5 s of its first attempt. Any other caller waits as long as a first
// event can still come within its patience, and is then given the longest retry delay that it complies with.
// A caller that can no longer get a complete answer is refused at once, and so are all callers once the closure has
// lasted so long that hardly any of them would see its end: a group may never open.
group_wait_decision decideGroupWait(const group_wait_input&);

// The longest retry delay that a caller complies with. A process that has lost the store refuses with
// this delay, since the balancer takes two seconds to send callers elsewhere.
milliseconds longestRetryPause(milliseconds timeLeft);

// How long a stream that was interrupted waits for a request slot or for a group to open: its caller
// gives up after a gap of two seconds, most of which the stalled group has used.
inline constexpr milliseconds resumeWait { 300 };

// Time without an event after which callers of streams give up.
milliseconds callerPatience(milliseconds latencyTarget, milliseconds gapTarget);

} // namespace rampgap
