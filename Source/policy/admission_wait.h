// How long a request waits for a place at the engines, and before whom.
#pragma once

#include "policy/verdict.h"

namespace rampgap {

struct admission_wait_question {
    // Time to the first event within which the caller has the full value.
    milliseconds latencyTarget { 0 };
    // From a place to the first event, as lately observed.
    milliseconds firstEvent { 0 };
    // From a place to the end of the answer, as lately observed.
    milliseconds run { 0 };
    // Since the request came.
    milliseconds waited { 0 };
    // Until the caller's deadline.
    milliseconds timeLeft { 0 };
    // Silence after which the caller gives up by itself.
    milliseconds patience { 0 };
    // The caller was not refused before, as far as can be told: its target counts from then.
    bool firstTime = true;
};

// Both in a row: first among those that can be on time, then behind them.
struct admission_wait {
    milliseconds timely { 0 };
    milliseconds late { 0 };

    bool operator==(const admission_wait&) const = default;
};

// Load pattern: a backlog after a slow rank or a closed group, with new callers at the usual
// rate. Served in the order in which they came, all are late until the backlog has gone,
// which at 0.8 of the capacity takes four times as long as it took to grow. An answer on time
// is worth twice a late one, so whoever can still be on time goes first, and the backlog
// takes what is left.
admission_wait planAdmissionWait(const admission_wait_question&);

} // namespace rampgap
