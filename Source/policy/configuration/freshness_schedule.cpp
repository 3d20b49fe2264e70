#include "policy/configuration/freshness_schedule.h"

#include <algorithm>

namespace rampgap {

instant freshness_schedule::dueAt() const
{
    return std::max(m_freshAsOf + m_pace.replacedAt, m_askedAt + m_pace.askAgainAfter);
}

} // namespace rampgap
