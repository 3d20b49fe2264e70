// How long a try may stay silent before the request is tried elsewhere.
#pragma once

#include "policy/verdict.h"

#include <optional>

namespace rampgap {

struct first_event_question {
    // From sending to the first event, as lately observed: mean and two deviations.
    milliseconds usual { 0 };
    milliseconds latencyTarget { 0 };
    // Silence after which the caller gives up by itself, and how much of it is gone.
    milliseconds patience { 0 };
    milliseconds waited { 0 };
    // Part of the service's places that are taken.
    double busyPart = 0;

    bool operator==(const first_event_question&) const = default;
};

// Load pattern: one of three answers in a service is lost on its way, without a reset, while
// the others come as usual; then also all engines of a service that are slow at once. Asks for
// another try once the first event is overdue by what is usual now: at the last moment at which
// the second one can still be on time, if it is overdue by then, and otherwise once it takes
// twice what is usual. The second try has no limit and is observed in full: where all engines
// turn slow what is usual grows by it, and no more tries are given up. Empty while most places are
// taken, when a late first event has waited for its turn and another try would wait again, and where the second try could not reach the caller any more.
std::optional<milliseconds> firstEventLimit(const first_event_question&);

} // namespace rampgap
