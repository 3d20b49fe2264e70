#include "policy/freshness_schedule.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A source that has no newer proof, or whose answer was lost, is asked again after this. Proofs
    // pass two hops in a large zone, and their age must stay below what makes a process read by itself.
    constexpr milliseconds askAgainAfter { 80 };

} // namespace

void freshness_schedule::recordProof(instant freshAsOf, instant now)
{
    if (freshAsOf <= m_freshAsOf)
        return;
    m_freshAsOf = freshAsOf;
    m_renewedAt = now;
}

instant freshness_schedule::dueAt() const
{
    return std::max(m_renewedAt + m_renewalInterval, m_askedAt + askAgainAfter);
}

} // namespace rampgap
