// Decides when callers that are refused for want of room are to come back.
#pragma once

#include "policy/common/verdict.h"

#include <deque>
#include <optional>

namespace rampgap {

struct return_request {
    // Until the caller's deadline.
    milliseconds timeLeft { 0 };
    // Time that an answer takes once it has a slot.
    milliseconds run { 0 };
    // Priority of the request; 0 is the most urgent.
    int urgency = 0;
};

// Hands out moments at the rate at which this process can start requests of returning callers, so that
// those who come back find a slot instead of each other.
class return_schedule {
public:
    // Sets how many requests of returning callers this process can start in a second.
    void setRate(double perSecond) { m_rate = perSecond; }
    // Reserves the next free moment and returns the time until it; empty if none is free within the longest
    // pause that the caller complies with.
    std::optional<milliseconds> reserve(const return_request&, instant now);

private:
    double m_rate = 0;
    // Reserved moments that are still to come.
    std::deque<instant> m_reserved;
};

} // namespace rampgap
