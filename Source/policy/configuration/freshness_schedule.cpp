#include "policy/configuration/freshness_schedule.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A source that has no newer proof, or whose answer was lost, is asked again after this. Proofs
    // pass two hops in a large zone, and their age must stay below what makes a process read by itself.
    constexpr milliseconds askAgainAfter { 50 };

} // namespace

instant freshness_schedule::dueAt() const
{
    return std::max(m_freshAsOf + m_replacedAt, m_askedAt + askAgainAfter);
}

} // namespace rampgap
