// How long a request waits for a place at the engines, and before whom.
#pragma once

#include "policy/verdict.h"

#include <vector>

namespace rampgap {

// Order of those who wait for a place: begun streams, those that can be on time, those that were
// refused before and cannot come back again, others.
inline constexpr int begunUrgency = 1;
inline constexpr int timelyUrgency = 2;
inline constexpr int lastChanceUrgency = 3;
inline constexpr int lateUrgency = 4;

// Of the places that come free, every fourth is for a last chance: after a closure there are
// two to three seconds in which those that can be on time take all others. Replayed, of 1,900
// callers around an opening 115 were lost before, none with this, 47 with every sixth; on time
// were 1,674 before, 1,551 with this, 1,394 with every second.
inline constexpr int lastChanceNth = 4;

// From a place to the first event, until one was seen: the prompt and two passes of full ranks
// by the published figures of today's engines, and a round trip.
inline constexpr milliseconds priorFirstEvent { 200 };
// From a place to the end of the answer, until one was seen.
inline constexpr milliseconds priorRun { 1'500 };
// A request that gets a place waits for the pass under way and the one that reads its prompt.
inline constexpr int firstEventGaps = 2;

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
    // A stream that was cut off and is to go on.
    bool begun = false;
    bool placesFree = false;
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

// One turn of waiting among those of an urgency.
struct admission_stage {
    int urgency = timelyUrgency;
    milliseconds longest { 0 };

    bool operator==(const admission_stage&) const = default;
};

// The stages of a request's wait, one after the other until it has a place.
std::vector<admission_stage> planAdmission(const admission_wait_question&);

// True if the caller has not been refused before, as far as its time tells: whoever is refused
// comes back after a pause, with the same deadline. `fullTime`: of the route.
bool isFirstCall(milliseconds timeLeftAtFirst, milliseconds fullTime);

// When a caller who found no place is to come back: a backlog lasts longer than a few round
// trips, and callers who return at one moment would make the next one. `draw`: 0 to 1.
milliseconds backlogPause(milliseconds timeLeft, double draw);

} // namespace rampgap
