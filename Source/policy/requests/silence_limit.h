// How long an attempt may stay silent before the request is sent to another server.
#pragma once

#include "policy/common/verdict.h"

#include <optional>

namespace rampgap {

struct first_event_input {
    // Typical time from sending to the first event, as recently observed: mean and two deviations.
    milliseconds typicalDelay { 0 };
    milliseconds latencyTarget { 0 };
    // Silence after which the caller gives up, and how much of it has passed.
    milliseconds patience { 0 };
    milliseconds waited { 0 };
    // Fraction of the service's request slots that are in use.
    double busyFraction = 0;

    bool operator==(const first_event_input&) const = default;
};

// The silence after which an attempt is given up for a second one; empty if it is to go on.
//
// Load pattern: one of three answers of a service is lost on its way without a connection reset, while
// the others come as usual; or all engines of a service become slow at once. The limit is the last moment
// at which a second attempt can still be on time, if the first event is overdue by then, and otherwise
// twice the typical delay, but no less than the latency target. The second attempt has no limit and its
// delay is observed in full: where all engines become slow, the typical delay grows with it, and no more
// attempts are given up. Empty while most slots are in use, since a late first event has then waited for a slot
// and a second attempt would wait again, and if the second attempt could not reach the caller in time.
std::optional<milliseconds> firstEventLimit(const first_event_input&);

} // namespace rampgap
