#include "policy/group_board.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Agents tell of a change within some ten milliseconds, and confirm what holds each
    // 100 ms; a suspicion that nobody confirms or denies for longer comes from lost news.
    constexpr milliseconds suspicionLife { 600 };
    // Groups are formed anew under other names; one that nobody has confirmed for longer
    // than any partition that is planned for does not keep its service open.
    constexpr milliseconds forgottenAfter { 10'000 };
    // Servers of one group that must fail in a row. A lost packet fails a try too: at 3 in 100
    // packets two in a row are one in a thousand.
    constexpr std::size_t failuresOfGroup = 2;
    // After the last failure, until one request tries the group again.
    constexpr milliseconds reachPause { 1'000 };
    // Leaders tell of their groups each 100 to 200 ms, other ranks and entry VMs pass it on each
    // 250 to 400 ms: of 14,000 requests at 42 entry VMs none found news older than 500 ms.
    constexpr milliseconds unheardAfter { 600 };
    constexpr milliseconds heardLately { 400 };

} // namespace

group_board::group_board(milliseconds life)
    : m_life(life)
{
}

bool group_board::note(const group_news& news, milliseconds age, instant now)
{
    const instant at = now - age;
    const auto held = m_groups.find(news.key);
    if (held == m_groups.end()) {
        m_groups[news.key] = { news.phase, at, at };
        return true;
    }
    const auto known = held->second.phase.rank();
    if (news.phase.rank() < known)
        return false;
    const bool changed = news.phase.rank() > known;
    held->second.confirmedAt = changed ? at : std::max(held->second.confirmedAt, at);
    if (changed)
        held->second.changedAt = at;
    held->second.phase = news.phase;
    return changed;
}

void group_board::noteMember(std::uint32_t backendHash, const group_key& key)
{
    m_members[backendHash] = key;
}

void group_board::noteStrain(const group_key& key, const group_strain& strain, instant now)
{
    m_strains[key] = { strain, now };
}

group_strain group_board::strainAt(const std::string& service, std::uint32_t backendHash, instant now) const
{
    const auto told = m_strains.find(keyOf(service, backendHash));
    return told != m_strains.end() && now - told->second.second < m_life ? told->second.first : group_strain {};
}

bool group_board::knownClosed(const entry& held, instant now) const
{
    return !held.phase.open && now - held.confirmedAt < m_life;
}

group_key group_board::keyOf(const std::string& service, std::uint32_t backendHash) const
{
    const auto member = m_members.find(backendHash);
    if (member != m_members.end() && member->second.service == service)
        return member->second;
    const auto first = m_groups.lower_bound({ service, {} });
    if (first == m_groups.end() || first->first.service != service)
        return { service, {} };
    // With one group the server can be in no other; with several it may be in any.
    const auto second = std::next(first);
    const bool only = second == m_groups.end() || second->first.service != service;
    return only ? first->first : group_key { service, {} };
}

void group_board::noteRefusal(const std::string& service, std::uint32_t backendHash, instant now)
{
    const group_key key = keyOf(service, backendHash);
    const bool severalGroups = key.group.empty() && m_groups.lower_bound(key) != m_groups.end() && m_groups.lower_bound(key)->first.service == service;
    if (severalGroups)
        return;
    if (!suspected(key, now))
        m_suspicions[key] = { now, now };
    else
        m_suspicions[key].confirmedAt = now;
}

const group_board::suspicion* group_board::suspected(const group_key& key, instant now) const
{
    const auto held = m_suspicions.find(key);
    if (held == m_suspicions.end() || now - held->second.confirmedAt >= suspicionLife)
        return nullptr;
    // A suspicion from before any group was heard of ends with the first that is open.
    const auto shownOpenAfter = [&](const group_key& of) {
        const auto group = m_groups.find(of);
        return group != m_groups.end() && group->second.phase.open && group->second.confirmedAt > held->second.confirmedAt;
    };
    if (!key.group.empty())
        return shownOpenAfter(key) ? nullptr : &held->second;
    const auto keys = keysOf(key.service, now);
    return std::any_of(keys.begin(), keys.end(), shownOpenAfter) ? nullptr : &held->second;
}

void group_board::noteReach(const std::string& service, std::uint32_t backendHash, bool reached, instant now)
{
    const group_key key = keyOf(service, backendHash);
    if (key.group.empty())
        return;
    if (reached) {
        m_reach.erase(key);
        return;
    }
    reach& seen = m_reach[key];
    seen.unreached.insert(backendHash);
    seen.lastFailure = now;
}

bool group_board::failsLately(const group_key& key, instant now) const
{
    const auto seen = m_reach.find(key);
    return seen != m_reach.end() && seen->second.unreached.size() >= failuresOfGroup && now - seen->second.lastFailure < reachPause;
}

bool group_board::unheard(const group_key& key, instant now) const
{
    const auto held = m_groups.find(key);
    if (held == m_groups.end() || now - held->second.confirmedAt < unheardAfter)
        return false;
    const auto keys = keysOf(key.service, now);
    return std::any_of(keys.begin(), keys.end(), [&](const group_key& other) { return now - m_groups.at(other).confirmedAt < heardLately; });
}

// Load pattern: a zone with a whole group in it is cut off, and its servers stay listed for
// seconds. Learnt one by one, 24 servers cost each of 42 entry VMs a connection's time limit
// each, 0.25 s of a target of 0.5 s.
bool group_board::outOfReach(const std::string& service, std::uint32_t backendHash, instant now) const
{
    const group_key key = keyOf(service, backendHash);
    return !key.group.empty() && (failsLately(key, now) || unheard(key, now));
}

bool group_board::openElsewhere(const std::string& service, std::uint32_t backendHash, instant now) const
{
    const group_key own = keyOf(service, backendHash);
    const auto keys = keysOf(service, now);
    return std::any_of(keys.begin(), keys.end(), [&](const group_key& key) {
        return key != own && !closed(key, now) && !failsLately(key, now) && !unheard(key, now);
    });
}

std::optional<milliseconds> group_board::newsAge(const std::string& service, std::uint32_t backendHash, instant now) const
{
    const auto held = m_groups.find(keyOf(service, backendHash));
    if (held == m_groups.end())
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(now - held->second.confirmedAt);
}

std::vector<group_key> group_board::keysOf(const std::string& service, instant now) const
{
    std::vector<group_key> keys;
    for (auto group = m_groups.lower_bound({ service, {} }); group != m_groups.end() && group->first.service == service; ++group) {
        if (now - group->second.confirmedAt < forgottenAfter)
            keys.push_back(group->first);
    }
    return keys;
}

bool group_board::closed(const group_key& key, instant now) const
{
    const auto held = m_groups.find(key);
    return (held != m_groups.end() && knownClosed(held->second, now)) || suspected(key, now);
}

bool group_board::closedAt(const std::string& service, std::uint32_t backendHash, instant now) const
{
    return closed(keyOf(service, backendHash), now);
}

bool group_board::closed(const std::string& service, instant now) const
{
    if (suspected({ service, {} }, now))
        return true;
    const auto keys = keysOf(service, now);
    return !keys.empty() && std::all_of(keys.begin(), keys.end(), [&](const group_key& key) { return closed(key, now); });
}

milliseconds group_board::closedFor(const std::string& service, instant now) const
{
    instant since = now;
    bool any = false;
    const auto consider = [&](instant at) {
        since = any ? std::max(since, at) : at;
        any = true;
    };
    if (const auto* suspicion = suspected({ service, {} }, now))
        consider(suspicion->since);
    for (const auto& key : keysOf(service, now)) {
        const entry& held = m_groups.at(key);
        if (!held.phase.open)
            consider(held.changedAt);
        else if (const auto* suspicion = suspected(key, now))
            consider(suspicion->since);
    }
    return std::chrono::duration_cast<milliseconds>(now - since);
}

milliseconds group_board::openFor(const std::string& service, instant now) const
{
    milliseconds longest { 0 };
    for (const auto& key : keysOf(service, now)) {
        const entry& held = m_groups.at(key);
        if (held.phase.open)
            longest = std::max(longest, std::chrono::duration_cast<milliseconds>(now - held.changedAt));
    }
    return longest;
}

std::vector<std::pair<group_news, milliseconds>> group_board::news(instant now) const
{
    std::vector<std::pair<group_news, milliseconds>> all;
    for (const auto& [key, held] : m_groups) {
        if (now - held.confirmedAt < forgottenAfter)
            all.emplace_back(group_news { key, held.phase }, std::chrono::duration_cast<milliseconds>(now - held.confirmedAt));
    }
    return all;
}

} // namespace rampgap
