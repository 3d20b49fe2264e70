#include "policy/group_board.h"

#include <algorithm>

namespace rampgap {

group_board::group_board(milliseconds life)
    : m_life(life)
{
}

bool group_board::note(const group_news& news, milliseconds age, instant now)
{
    const instant at = now - age;
    const auto held = m_groups.find(news.group);
    if (held == m_groups.end()) {
        m_groups[news.group] = { news, at, at };
        return true;
    }
    const auto known = held->second.news.phase.rank();
    if (news.phase.rank() < known)
        return false;
    const bool changed = news.phase.rank() > known;
    held->second.confirmedAt = changed ? at : std::max(held->second.confirmedAt, at);
    if (changed)
        held->second.changedAt = at;
    held->second.news = news;
    return changed;
}

bool group_board::knownClosed(const entry& held, instant now) const
{
    return !held.news.phase.open && now - held.confirmedAt < m_life;
}

bool group_board::closed(const std::string& service, instant now) const
{
    bool any = false;
    for (const auto& [name, held] : m_groups) {
        if (held.news.service != service)
            continue;
        if (!knownClosed(held, now))
            return false;
        any = true;
    }
    return any;
}

milliseconds group_board::closedFor(const std::string& service, instant now) const
{
    milliseconds shortest = milliseconds::max();
    for (const auto& [name, held] : m_groups) {
        if (held.news.service == service && !held.news.phase.open)
            shortest = std::min(shortest, std::chrono::duration_cast<milliseconds>(now - held.changedAt));
    }
    return shortest == milliseconds::max() ? milliseconds(0) : shortest;
}

std::vector<std::pair<group_news, milliseconds>> group_board::news(instant now) const
{
    std::vector<std::pair<group_news, milliseconds>> all;
    for (const auto& [name, held] : m_groups)
        all.emplace_back(held.news, std::chrono::duration_cast<milliseconds>(now - held.confirmedAt));
    return all;
}

} // namespace rampgap
