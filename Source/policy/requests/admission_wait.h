// How long a request waits for a request slot at the engines, and with which priority.
#pragma once

#include "policy/requests/admission_queue.h"

#include <vector>

namespace rampgap {

// Priorities of requests that wait for a slot, served in this order: interrupted streams that are to
// be resumed, requests that can still be on time, requests that were refused before and may not get
// another chance, and all others.
inline constexpr int resumedStreamPriority = 1;
inline constexpr int timelyPriority = 2;
inline constexpr int lastChancePriority = 3;
inline constexpr int latePriority = 4;

// Every fourth slot that becomes free is reserved for lastChancePriority: after a closure, requests that
// can be on time would take all slots for two to three seconds, and callers on their last chance would get
// no answer: of 1,900 around an opening 115 without the reservation, 47 with every sixth slot, none with every
// fourth. 1,674 of them were on time without it, 1,551 with every fourth slot, 1,394 with every second.
inline constexpr int lastChanceNth = 4;

// Assumed time from getting a slot to the first event until one was observed: the prompt, two passes
// of full ranks by the published figures of current engines, and a round trip.
inline constexpr milliseconds initialFirstEventDelay { 200 };
// Assumed time from getting a slot to the end of the answer until one was observed.
inline constexpr milliseconds initialRunTime { 1'500 };
// Assumed time from getting a slot just after an opening to the first event until one was observed: the prompts
// of all slots are read at once.
inline constexpr milliseconds initialOpeningFirstEvent { 400 };
// Time after an opening in which the requests that waited for it get their first events.
inline constexpr milliseconds openingTime { 1'000 };
// Passes until the first event of a request: the one under way as it gets a slot and the one that reads its prompt.
inline constexpr int firstEventPasses = 2;

struct admission_wait_input {
    // Time to the first event within which the answer has its full value for the caller.
    milliseconds latencyTarget { 0 };
    // From getting a slot to the first event, as recently observed.
    milliseconds firstEvent { 0 };
    // What the caller has to expect now if that is longer, such as after an opening. A wait leaves it as much of its
    // patience; 0: firstEvent.
    milliseconds slowFirstEvent { 0 };
    // From getting a slot to the end of the answer, as recently observed.
    milliseconds run { 0 };
    // Since the request arrived.
    milliseconds waited { 0 };
    // Until the caller's deadline.
    milliseconds timeLeft { 0 };
    // Silence after which the caller gives up.
    milliseconds patience { 0 };
    // The caller was probably not refused before. The latency target counts from the first call, so that a
    // repeated call cannot meet it.
    bool firstTime = true;
    // A stream that was cut off and is to be resumed.
    bool begun = false;
    bool slotsFree = false;
};

// Times from getting a slot to the first event, as observed lately.
struct first_event_times {
    milliseconds mean { 0 };
    // Of requests that were sent just after an opening.
    milliseconds meanAfterOpening { 0 };
};

// How long a caller has to expect to wait for its first event once it has a slot. `openFor`: time since the service has
// an open group. At most half of the patience: requests that are sent show when first events are faster again.
milliseconds expectedFirstEvent(const first_event_times&, milliseconds openFor, milliseconds patience);

// Two waits, one after the other: first among requests that can be on time, then behind them.
struct admission_wait {
    milliseconds timely { 0 };
    milliseconds late { 0 };

    bool operator==(const admission_wait&) const = default;
};

// Load pattern: a backlog after a slow rank or a closed group, while new callers arrive at the usual
// rate. In order of arrival all requests would be late until the backlog is gone, which at a load of
// 0.8 of the capacity takes four times as long as the backlog took to grow. An answer on time is worth
// twice a late one, so requests that can still be on time go first, and the backlog gets the remaining slots.
admission_wait planAdmissionWait(const admission_wait_input&);

// A wait at one priority, at most `longest`.
struct admission_stage {
    int priority = timelyPriority;
    milliseconds longest { 0 };

    bool operator==(const admission_stage&) const = default;
};

// The stages of a request's wait, one after the other until it gets a slot.
std::vector<admission_stage> planAdmission(const admission_wait_input&);

// What is known of the wait for a slot as a request arrives.
struct slot_forecast {
    queue_forecast queue;
    int slots = 1;
    // From getting a slot to the end of the answer, as recently observed.
    milliseconds run { 0 };
};

milliseconds predictSlotWait(const slot_forecast&);

// True if the request can be refused as it arrives: it is very unlikely to be on time, and its caller
// can come back. Requires a moment to come back at (return_schedule).
bool shouldReturnLater(const admission_wait_input&, const slot_forecast&);

// True if the caller has probably not been refused before: a refused caller comes back after a pause
// with the same deadline, and so with less time left. `fullTime`: the whole time that the route gives a request.
bool isFirstCall(milliseconds timeLeftAtFirst, milliseconds fullTime);

// When a caller that got no slot is to come back: a backlog lasts longer than a few round trips, and
// callers who return at the same moment would cause the next one. `draw`: a random number, 0 to 1.
milliseconds backlogRetryDelay(milliseconds timeLeft, double draw);

} // namespace rampgap
