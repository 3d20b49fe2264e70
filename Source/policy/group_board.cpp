#include "policy/group_board.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Agents tell of a change within some ten milliseconds, and confirm what holds each
    // 100 ms; a suspicion that nobody confirms or denies for longer comes from lost news.
    constexpr milliseconds suspicionLife { 600 };

} // namespace

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

// Of several groups the refusal closes one, and which one is not known here: the others
// may be open.
void group_board::noteRefusal(const std::string& service, instant now)
{
    const auto groups = std::count_if(m_groups.begin(), m_groups.end(), [&](const auto& group) { return group.second.news.service == service; });
    if (groups > 1)
        return;
    if (!suspected(service, now))
        m_suspicions[service] = { now, now };
    else
        m_suspicions[service].confirmedAt = now;
}

const group_board::suspicion* group_board::suspected(const std::string& service, instant now) const
{
    const auto held = m_suspicions.find(service);
    if (held == m_suspicions.end() || now - held->second.confirmedAt >= suspicionLife)
        return nullptr;
    return shownOpenAfter(service, held->second.confirmedAt) ? nullptr : &held->second;
}

bool group_board::shownOpenAfter(const std::string& service, instant at) const
{
    return std::any_of(m_groups.begin(), m_groups.end(), [&](const auto& group) {
        const entry& held = group.second;
        return held.news.service == service && held.news.phase.open && held.confirmedAt > at;
    });
}

bool group_board::closed(const std::string& service, instant now) const
{
    if (suspected(service, now))
        return true;
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
    if (const auto* suspicion = suspected(service, now))
        shortest = std::chrono::duration_cast<milliseconds>(now - suspicion->since);
    for (const auto& [name, held] : m_groups) {
        if (held.news.service == service && !held.news.phase.open)
            shortest = std::min(shortest, std::chrono::duration_cast<milliseconds>(now - held.changedAt));
    }
    return shortest == milliseconds::max() ? milliseconds(0) : shortest;
}

milliseconds group_board::openFor(const std::string& service, instant now) const
{
    milliseconds longest { 0 };
    for (const auto& [name, held] : m_groups) {
        if (held.news.service == service && held.news.phase.open)
            longest = std::max(longest, std::chrono::duration_cast<milliseconds>(now - held.changedAt));
    }
    return longest;
}

std::vector<std::pair<group_news, milliseconds>> group_board::news(instant now) const
{
    std::vector<std::pair<group_news, milliseconds>> all;
    for (const auto& [name, held] : m_groups)
        all.emplace_back(held.news, std::chrono::duration_cast<milliseconds>(now - held.confirmedAt));
    return all;
}

} // namespace rampgap
