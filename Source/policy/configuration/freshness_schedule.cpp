#include "policy/configuration/freshness_schedule.h"

#include <algorithm>

namespace rampgap {

void freshness_schedule::recordFreshness(instant freshAsOf)
{
    if (freshAsOf > m_freshAsOf)
        m_pause = milliseconds(0);
    m_freshAsOf = freshAsOf;
}

// Load pattern: the store is down, and no process learns of a newer freshness. If each of 531 asked each
// 50 ms, a reader would get two thousand queries a second, and more in a larger fleet.
void freshness_schedule::recordAsked(instant now)
{
    m_askedAt = now;
    m_pause = std::clamp(m_pause * 2, m_pace.askAgainAfter, std::max(m_pace.askAgainAfter, m_pace.longestPause));
}

instant freshness_schedule::dueAt() const
{
    return std::max(m_freshAsOf + m_pace.renewedAt, m_askedAt + m_pause);
}

} // namespace rampgap
