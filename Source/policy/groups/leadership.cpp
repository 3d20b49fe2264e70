#include "policy/groups/leadership.h"

#include <algorithm>

namespace rampgap {

namespace {

    std::size_t positionOf(const std::string& id, const std::vector<std::string>& members)
    {
        return static_cast<std::size_t>(std::find(members.begin(), members.end(), id) - members.begin());
    }

} // namespace

std::string_view toString(takeover_reason reason)
{
    switch (reason) {
    case takeover_reason::no_leader:
        return "no leader";
    case takeover_reason::leader_silent:
        return "leader silent";
    case takeover_reason::step_held:
        return "leader silent while a step is held";
    }
    return "unknown";
}

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
    const milliseconds timeout = holds(now) ? holdTimeout() : m_settings.leaderTimeout;
    return !m_leading && m_waitingSince && now - *m_waitingSince >= timeout / 2;
}

std::optional<duration> leadership::recordHold(bool held, instant now)
{
    if (held) {
        if (!m_heldSince)
            m_heldSince = now;
        m_heldAt = now;
        return std::nullopt;
    }
    if (!m_heldSince)
        return std::nullopt;
    const duration length = now - *m_heldSince;
    m_heldSince.reset();
    return length;
}

bool leadership::holds(instant now) const
{
    return m_everCalled && m_heldSince && now - m_heldAt < m_settings.holdLifetime;
}

// The leader of a large group on slow links polls less often.
milliseconds leadership::holdTimeout() const
{
    return std::max(m_settings.holdTimeout, 2 * m_callInterval);
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

std::optional<takeover_reason> leadership::reasonToLead(std::size_t position, instant now) const
{
    const duration silent = now - *m_waitingSince;
    if (holds(now) && silent >= holdTimeout())
        return takeover_reason::step_held;
    if (silent < takeoverTimeout(position))
        return std::nullopt;
    return m_everCalled ? takeover_reason::leader_silent : takeover_reason::no_leader;
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
    else if (const auto reason = reasonToLead(position, now); !m_leading && reason) {
        m_leading = true;
        m_reason = *reason;
        m_silentBefore = now - *m_waitingSince;
    }
    if (m_leading) {
        m_leader = own;
        m_waitingSince = now;
    }
    return m_leading;
}

} // namespace rampgap
