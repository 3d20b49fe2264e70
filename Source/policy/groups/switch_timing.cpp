#include "policy/groups/switch_timing.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Assumed until an arming was observed: two levels of calls between zones, and orders to engines.
    constexpr milliseconds initialArming { 60 };
    // The longest of so many armings counts: while some orders are not answered, arming takes three times as long, and a
    // mean would follow only after several changes.
    constexpr std::size_t armingsKept = 4;
    // The newest known step is up to a pass old, and the held one must not have begun when the order arrives.
    constexpr std::uint64_t minSteps = 2;
    // With more, the new placement would come too late for the shift of demand that it answers.
    constexpr std::uint64_t maxSteps = 6;

} // namespace

void switch_timing::recordArming(milliseconds took)
{
    m_armings.push_back(took);
    if (m_armings.size() > armingsKept)
        m_armings.pop_front();
}

// Load pattern: a group at low load makes a pass in half the time that its ranks need to be armed, so that
// every change would stop all streams for the other half. With more passes until the held step, arming ends before it.
std::uint64_t switch_timing::stepsAhead(milliseconds pass) const
{
    if (pass <= milliseconds(0))
        return minSteps;
    const milliseconds arming = m_armings.empty() ? initialArming : *std::max_element(m_armings.begin(), m_armings.end());
    const auto passes = static_cast<std::uint64_t>((arming + pass - milliseconds(1)) / pass);
    return std::clamp(passes + 1, minSteps, maxSteps);
}

} // namespace rampgap
