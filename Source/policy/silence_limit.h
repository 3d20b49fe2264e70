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

    bool operator==(const first_event_question&) const = default;
};

// Load pattern: one of three answers in a service is lost on its way, without a reset, while
// the others come as usual; then also all engines of a service that are slow at once. Asks for
// another try once the first event is overdue by what is usual now, as long as the second try
// can still reach the caller; empty where it could not, or where every try is that slow.
std::optional<milliseconds> firstEventLimit(const first_event_question&);

} // namespace rampgap
