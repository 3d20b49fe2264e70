#include "policy/requests/silence_limit.h"

#include <algorithm>

namespace rampgap {

namespace {

    // An engine that is only busy has answered by this multiple of the typical delay.
    constexpr int overdueFactor = 2;
    // Attempts at busier engines are not given up: with 0.7 or more of the slots in use, as after a group
    // opens and during a network cut, first events are late although no answer was lost: 250 attempts would be given up in vain.
    constexpr double maxBusyFraction = 0.6;
    // Time for the refusal or the first event to reach the caller.
    constexpr milliseconds callerMargin { 120 };

} // namespace

std::optional<milliseconds> firstEventLimit(const first_event_input& input)
{
    if (input.busyFraction > maxBusyFraction)
        return std::nullopt;
    const milliseconds latestOnTime = input.latencyTarget - input.waited - input.typicalDelay;
    if (latestOnTime >= input.typicalDelay)
        return latestOnTime;
    const milliseconds limit = std::max(input.typicalDelay * overdueFactor, input.latencyTarget);
    const milliseconds latest = input.patience - input.waited - input.typicalDelay - callerMargin;
    if (limit > latest)
        return std::nullopt;
    return limit;
}

} // namespace rampgap
