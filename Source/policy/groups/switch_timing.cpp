#include "policy/groups/switch_timing.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Assumed until an arming was observed: two levels of calls between zones, and orders to engines.
    constexpr milliseconds initialArming { 60 };
    // The newest known step is up to a pass old, and the held one must not have begun when the order arrives.
    constexpr std::uint64_t minSteps = 2;
    // With more, the new placement would come too late for the shift of demand that it answers.
    constexpr std::uint64_t maxSteps = 6;

} // namespace

switch_timing::switch_timing()
    : m_arming(initialArming)
{
}

// Load pattern: a group at low load makes a pass in half the time that its ranks need to be armed, so that
// every change would stop all streams for the other half. With more passes until the held step, arming ends before it.
std::uint64_t switch_timing::stepsAhead(milliseconds pass) const
{
    if (pass <= milliseconds(0))
        return minSteps;
    const auto passes = static_cast<std::uint64_t>((m_arming.value() + pass - milliseconds(1)) / pass);
    return std::clamp(passes + 1, minSteps, maxSteps);
}

} // namespace rampgap
