#include "policy/groups/leadership.h"

#include <algorithm>

namespace rampgap {

namespace {

    std::size_t positionOf(const std::string& id, const std::vector<std::string>& members)
    {
        return static_cast<std::size_t>(std::find(members.begin(), members.end(), id) - members.begin());
    }

} // namespace

void leadership::recordCall(const std::string& caller, instant at)
{
    if (m_everCalled && m_waitingSince && at < *m_waitingSince)
        return;
    m_leader = caller;
    m_everCalled = true;
    m_waitingSince = at;
}

bool leadership::leaderOverdue(instant now) const
{
    return !m_leading && m_waitingSince && now - *m_waitingSince >= m_settings.leaderTimeout / 2;
}

std::optional<instant> leadership::lastCall(instant now) const
{
    if (m_leading)
        return now;
    return m_everCalled ? m_waitingSince : std::nullopt;
}

milliseconds leadership::takeoverTimeout(std::size_t position) const
{
    const auto staggers = static_cast<std::int64_t>(std::min(position, m_settings.maxStaggers));
    if (!m_everCalled)
        return m_settings.startupTimeout + staggers * m_settings.stagger;
    return m_settings.leaderTimeout + staggers * m_settings.stagger;
}

bool leadership::leads(const std::string& own, const std::vector<std::string>& members, instant now)
{
    const std::size_t position = positionOf(own, members);
    if (position == members.size()) {
        m_leading = false;
        m_waitingSince.reset();
        return false;
    }
    if (!m_waitingSince)
        m_waitingSince = now;
    const bool otherLeads = !m_leader.empty() && m_leader != own;
    if (m_leading && otherLeads && positionOf(m_leader, members) < position)
        m_leading = false;
    else if (!m_leading && now - *m_waitingSince >= takeoverTimeout(position))
        m_leading = true;
    if (m_leading) {
        m_leader = own;
        m_waitingSince = now;
    }
    return m_leading;
}

} // namespace rampgap
