#include "policy/requests/return_schedule.h"

#include "policy/groups/group_wait.h"
#include <algorithm>

namespace rampgap {

std::optional<milliseconds> return_schedule::reserve(const return_request& request, instant now)
{
    while (!m_reserved.empty() && m_reserved.front() <= now)
        m_reserved.pop_front();
    if (m_rate <= 0)
        return std::nullopt;
    const auto spacing = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / m_rate));
    const instant moment = std::max(now, m_reserved.empty() ? now : m_reserved.back()) + spacing;
    const auto pause = std::chrono::duration_cast<milliseconds>(moment - now);
    if (pause > longestRetryPause(request.timeLeft))
        return std::nullopt;
    m_reserved.push_back(moment);
    return pause;
}

} // namespace rampgap
