#include "policy/groups/group_directory.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Agents publish a change within a few tens of milliseconds, and confirm the state each
    // 100 ms; a suspicion that nothing confirms or refutes for longer comes from lost updates.
    constexpr milliseconds suspicionTimeout { 600 };
    // Groups are formed again under other names. A group that was not confirmed for longer than
    // any network partition that is planned for no longer keeps its service open.
    constexpr milliseconds forgottenAfter { 10'000 };
    // Servers of one group that must fail in a row. A lost packet fails an attempt too: with 3 in
    // 100 packets lost, two failures in a row are one in a thousand.
    constexpr std::size_t failuresOfGroup = 2;
    // How long a group is avoided after its last failure, until one request tries it again.
    constexpr milliseconds avoidTime { 1'000 };
    // Leaders publish the state of their groups each 100 to 200 ms, and other ranks and entry VMs
    // pass it on each 250 to 400 ms: without a fault, updates are at most 500 ms old.
    constexpr milliseconds unconfirmedAfter { 600 };
    constexpr milliseconds recentlyConfirmed { 400 };
    // A measured pass is valid until the load or the demand has had time to change.
    constexpr milliseconds measuredPassLifetime { 500 };

} // namespace

group_directory::group_directory(milliseconds lifetime)
    : m_lifetime(lifetime)
{
}

bool group_directory::mergeUpdate(const group_update& update, milliseconds age, instant now)
{
    const instant at = now - age;
    const auto found = m_groups.find(update.key);
    if (found == m_groups.end()) {
        m_groups[update.key] = { update.phase, at, at, update.phase.open ? std::nullopt : std::optional(at) };
        return true;
    }
    const auto knownRank = found->second.phase.rank();
    if (update.phase.rank() < knownRank)
        return false;
    const bool changed = update.phase.rank() > knownRank;
    found->second.confirmedAt = changed ? at : std::max(found->second.confirmedAt, at);
    if (changed)
        found->second.changedAt = at;
    if (update.phase.closings() > found->second.phase.closings())
        found->second.closedAt = at;
    found->second.phase = update.phase;
    return changed;
}

void group_directory::recordMember(std::uint32_t backendHash, const group_key& key)
{
    m_members[backendHash] = key;
}

void group_directory::recordSlowdown(const group_key& key, const group_slowdown& slowdown, instant now)
{
    m_slowdowns[key] = { slowdown, now };
}

void group_directory::recordPublishedPass(const group_key& key, milliseconds pass, instant now)
{
    m_publishedPasses[key] = { pass, now };
}

std::optional<milliseconds> group_directory::publishedPass(const group_key& key, instant now) const
{
    const auto found = m_publishedPasses.find(key);
    if (found == m_publishedPasses.end() || now - found->second.second >= measuredPassLifetime)
        return std::nullopt;
    return found->second.first;
}

void group_directory::recordTokenFactor(const group_key& key, double factor, instant now)
{
    m_tokenFactors[key] = { factor, now };
}

group_slowdown group_directory::slowdownAt(const std::string& service, std::uint32_t backendHash, instant now) const
{
    const group_key key = groupKeyOf(service, backendHash);
    const auto found = m_slowdowns.find(key);
    group_slowdown slowdown = found != m_slowdowns.end() && now - found->second.second < m_lifetime ? found->second.first : group_slowdown {};
    const auto factor = m_tokenFactors.find(key);
    if (factor != m_tokenFactors.end() && now - factor->second.second < measuredPassLifetime)
        slowdown.tokenFactor = factor->second.first;
    return slowdown;
}

bool group_directory::knownClosed(const entry& state, instant now) const
{
    return !state.phase.open && now - state.confirmedAt < m_lifetime;
}

group_key group_directory::groupKeyOf(const std::string& service, std::uint32_t backendHash) const
{
    const auto member = m_members.find(backendHash);
    if (member != m_members.end() && member->second.service == service)
        return member->second;
    const auto first = m_groups.lower_bound({ service, {} });
    if (first == m_groups.end() || first->first.service != service)
        return { service, {} };
    // With a single group the server can be in no other; with several it may be in any of them.
    const auto second = std::next(first);
    const bool only = second == m_groups.end() || second->first.service != service;
    return only ? first->first : group_key { service, {} };
}

void group_directory::recordRefusal(const std::string& service, std::uint32_t backendHash, instant now)
{
    const group_key key = groupKeyOf(service, backendHash);
    const bool severalGroups = key.group.empty() && m_groups.lower_bound(key) != m_groups.end() && m_groups.lower_bound(key)->first.service == service;
    if (severalGroups)
        return;
    if (!suspected(key, now))
        m_suspicions[key] = { now, now };
    else
        m_suspicions[key].confirmedAt = now;
}

const group_directory::suspicion* group_directory::suspected(const group_key& key, instant now) const
{
    const auto found = m_suspicions.find(key);
    if (found == m_suspicions.end() || now - found->second.confirmedAt >= suspicionTimeout)
        return nullptr;
    // A suspicion from before any group of the service was known ends with the first open one.
    const auto confirmedOpenAfter = [&](const group_key& of) {
        const auto group = m_groups.find(of);
        return group != m_groups.end() && group->second.phase.open && group->second.confirmedAt > found->second.confirmedAt;
    };
    if (!key.group.empty())
        return confirmedOpenAfter(key) ? nullptr : &found->second;
    const auto keys = groupsOf(key.service, now);
    return std::any_of(keys.begin(), keys.end(), confirmedOpenAfter) ? nullptr : &found->second;
}

void group_directory::recordReachability(const std::string& service, std::uint32_t backendHash, bool reached, instant now)
{
    const group_key key = groupKeyOf(service, backendHash);
    if (key.group.empty())
        return;
    if (reached) {
        m_failures.erase(key);
        return;
    }
    recent_failures& failures = m_failures[key];
    failures.servers.insert(backendHash);
    failures.last = now;
}

bool group_directory::failedRecently(const group_key& key, instant now) const
{
    const auto found = m_failures.find(key);
    return found != m_failures.end() && found->second.servers.size() >= failuresOfGroup && now - found->second.last < avoidTime;
}

bool group_directory::unconfirmed(const group_key& key, instant now) const
{
    const auto found = m_groups.find(key);
    if (found == m_groups.end() || now - found->second.confirmedAt < unconfirmedAfter)
        return false;
    const auto keys = groupsOf(key.service, now);
    return std::any_of(keys.begin(), keys.end(), [&](const group_key& other) { return now - m_groups.at(other).confirmedAt < recentlyConfirmed; });
}

// Load pattern: a zone with a whole group in it is cut off, and its servers stay listed for
// seconds. Found out server by server, each of the 24 servers would cost each of 42 entry VMs one
// connection timeout, 0.25 s of a target of 0.5 s.
bool group_directory::isUnreachable(const std::string& service, std::uint32_t backendHash, instant now) const
{
    const group_key key = groupKeyOf(service, backendHash);
    return !key.group.empty() && (failedRecently(key, now) || unconfirmed(key, now));
}

bool group_directory::hasOtherOpenGroup(const std::string& service, std::uint32_t backendHash, instant now) const
{
    const group_key own = groupKeyOf(service, backendHash);
    const auto keys = groupsOf(service, now);
    return std::any_of(keys.begin(), keys.end(), [&](const group_key& key) {
        return key != own && !closed(key, now) && !failedRecently(key, now) && !unconfirmed(key, now);
    });
}

std::optional<milliseconds> group_directory::stateAge(const std::string& service, std::uint32_t backendHash, instant now) const
{
    const auto found = m_groups.find(groupKeyOf(service, backendHash));
    if (found == m_groups.end())
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(now - found->second.confirmedAt);
}

std::optional<instant> group_directory::lastClosing(const std::string& service, std::uint32_t backendHash) const
{
    const group_key key = groupKeyOf(service, backendHash);
    std::optional<instant> last;
    for (auto group = m_groups.lower_bound(key); group != m_groups.end() && group->first.service == service; ++group) {
        if (key.group.empty() || group->first == key)
            last = std::max(last, group->second.closedAt);
    }
    return last;
}

std::vector<group_key> group_directory::groupsOf(const std::string& service, instant now) const
{
    std::vector<group_key> keys;
    for (auto group = m_groups.lower_bound({ service, {} }); group != m_groups.end() && group->first.service == service; ++group) {
        if (now - group->second.confirmedAt < forgottenAfter)
            keys.push_back(group->first);
    }
    return keys;
}

bool group_directory::closed(const group_key& key, instant now) const
{
    const auto found = m_groups.find(key);
    return (found != m_groups.end() && knownClosed(found->second, now)) || suspected(key, now);
}

bool group_directory::closedAt(const std::string& service, std::uint32_t backendHash, instant now) const
{
    return closed(groupKeyOf(service, backendHash), now);
}

bool group_directory::closed(const std::string& service, instant now) const
{
    if (suspected({ service, {} }, now))
        return true;
    const auto keys = groupsOf(service, now);
    return !keys.empty() && std::all_of(keys.begin(), keys.end(), [&](const group_key& key) { return closed(key, now); });
}

milliseconds group_directory::closedFor(const std::string& service, instant now) const
{
    instant since = now;
    bool any = false;
    const auto consider = [&](instant at) {
        since = any ? std::max(since, at) : at;
        any = true;
    };
    if (const auto* suspicion = suspected({ service, {} }, now))
        consider(suspicion->since);
    for (const auto& key : groupsOf(service, now)) {
        const entry& state = m_groups.at(key);
        if (!state.phase.open)
            consider(state.changedAt);
        else if (const auto* suspicion = suspected(key, now))
            consider(suspicion->since);
    }
    return std::chrono::duration_cast<milliseconds>(now - since);
}

milliseconds group_directory::openFor(const std::string& service, instant now) const
{
    milliseconds longest { 0 };
    for (const auto& key : groupsOf(service, now)) {
        const entry& state = m_groups.at(key);
        if (state.phase.open)
            longest = std::max(longest, std::chrono::duration_cast<milliseconds>(now - state.changedAt));
    }
    return longest;
}

std::vector<std::pair<group_update, milliseconds>> group_directory::updates(instant now) const
{
    std::vector<std::pair<group_update, milliseconds>> all;
    for (const auto& [key, state] : m_groups) {
        if (now - state.confirmedAt < forgottenAfter)
            all.emplace_back(group_update { key, state.phase }, std::chrono::duration_cast<milliseconds>(now - state.confirmedAt));
    }
    return all;
}

} // namespace rampgap
