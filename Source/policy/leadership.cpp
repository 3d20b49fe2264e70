#include "policy/leadership.h"

#include <algorithm>

namespace rampgap {

namespace {

    std::size_t positionOf(const std::string& id, const std::vector<std::string>& members)
    {
        return static_cast<std::size_t>(std::find(members.begin(), members.end(), id) - members.begin());
    }

} // namespace

void leadership::noteCalled(const std::string& caller, instant at)
{
    if (m_everCalled && m_quietSince && at < *m_quietSince)
        return;
    m_leader = caller;
    m_everCalled = true;
    m_quietSince = at;
}

bool leadership::inDoubt(instant now) const
{
    return !m_leading && m_quietSince && now - *m_quietSince >= m_settings.patience / 2;
}

std::optional<instant> leadership::lastCall(instant now) const
{
    if (m_leading)
        return now;
    return m_everCalled ? m_quietSince : std::nullopt;
}

milliseconds leadership::patienceOf(std::size_t position) const
{
    const auto staggers = static_cast<std::int64_t>(std::min(position, m_settings.mostStaggers));
    if (!m_everCalled)
        return m_settings.firstPatience + staggers * m_settings.stagger;
    return m_settings.patience + staggers * m_settings.stagger;
}

bool leadership::leads(const std::string& own, const std::vector<std::string>& members, instant now)
{
    const std::size_t position = positionOf(own, members);
    if (position == members.size()) {
        m_leading = false;
        m_quietSince.reset();
        return false;
    }
    if (!m_quietSince)
        m_quietSince = now;
    const bool calledByOther = !m_leader.empty() && m_leader != own;
    if (m_leading && calledByOther && positionOf(m_leader, members) < position)
        m_leading = false;
    else if (!m_leading && now - *m_quietSince >= patienceOf(position))
        m_leading = true;
    if (m_leading) {
        m_leader = own;
        m_quietSince = now;
    }
    return m_leading;
}

} // namespace rampgap
