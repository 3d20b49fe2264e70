#include "policy/backend_directory.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Weight of the newest try in the share of failures: about the last eight tries count.
    constexpr double newestTryWeight = 0.12;
    // A server that fails more than this share of its tries is left alone for a while.
    // Below it a second try costs less than the capacity that would be lost.
    constexpr double tooManyFailures = 0.22;
    // A trial after this long finds a server that has recovered; measured faults last seconds.
    constexpr milliseconds failingPause { 1'500 };
    // A refused or timed-out connection: first and longest pause, doubled in between.
    constexpr milliseconds firstUnreachablePause { 250 };
    constexpr milliseconds longestUnreachablePause { 2'000 };
    constexpr milliseconds silentPause { 1'500 };
    constexpr milliseconds refusedPause { 40 };

    milliseconds unreachablePause(int inRow)
    {
        auto pause = firstUnreachablePause;
        for (int i = 1; i < inRow && pause < longestUnreachablePause; ++i)
            pause *= 2;
        return std::min(pause, longestUnreachablePause);
    }

    // Entries lapse and come back; a server that leaves and is missing for longer has gone.
    constexpr milliseconds leavingMemory { 600'000 };

    const backend_health unknownHealth;

} // namespace

bool backend_directory::list(const listed_backend& listed)
{
    auto& held = m_entries[listed.id];
    const std::string addressBefore = held.listed.address;
    // Not only a higher one: clocks of two starts may differ, the list's order does not.
    const bool restarted = held.listed.incarnation != 0 && listed.incarnation != held.listed.incarnation;
    if (restarted) {
        held = {};
        m_leaving.erase(listed.id);
    }
    held.listed = listed;
    held.keptUntil.reset();
    noteNewestAt(listed.address);
    if (!addressBefore.empty() && addressBefore != listed.address)
        noteNewestAt(addressBefore);
    return restarted;
}

void backend_directory::setServices(std::set<std::string> services)
{
    m_services = std::move(services);
    std::set<std::string> addresses;
    for (const auto& [id, held] : m_entries)
        addresses.insert(held.listed.address);
    for (const auto& address : addresses)
        noteNewestAt(address);
}

bool backend_directory::serves(const listed_backend& listed) const
{
    return !m_services || m_services->contains(listed.service);
}

// After an entry has gone, an older one at its address counts again. One that is only kept is of
// an earlier listing, after which a restored store gives out its revisions again: until the doubt
// ended (2 s, and 5 s at an agent) it would have kept out the server that is listed there.
void backend_directory::noteNewestAt(const std::string& address)
{
    m_newestAt.erase(address);
    for (const auto& [id, held] : m_entries) {
        if (held.listed.address == address && serves(held.listed) && !held.keptUntil) {
            auto& newest = m_newestAt[address];
            newest = std::max(newest, held.listed.createdAt);
        }
    }
}

void backend_directory::unlist(const std::string& id, instant now, instant keepUntil)
{
    const auto held = m_entries.find(id);
    if (held == m_entries.end())
        return;
    const instant until = std::max(keepUntil, now + m_lapsedLife);
    if (now >= until || held->second.listed.draining) {
        remove(id);
        return;
    }
    held->second.keptUntil = until;
    noteNewestAt(held->second.listed.address);
}

void backend_directory::keepNoLongerThan(instant until)
{
    if (m_lapsedLife > milliseconds(0))
        return;
    for (auto& [id, held] : m_entries) {
        if (held.keptUntil)
            held.keptUntil = std::min(*held.keptUntil, until);
    }
}

void backend_directory::remove(const std::string& id)
{
    const auto held = m_entries.find(id);
    if (held == m_entries.end())
        return;
    const std::string address = held->second.listed.address;
    m_entries.erase(held);
    noteNewestAt(address);
}

void backend_directory::settle(instant now)
{
    std::vector<std::string> expired;
    for (const auto& [id, held] : m_entries) {
        if (held.keptUntil && now >= *held.keptUntil)
            expired.push_back(id);
    }
    for (const auto& id : expired)
        remove(id);
    for (auto& [id, seenAt] : m_leaving)
        seenAt = m_entries.contains(id) ? now : seenAt;
    std::erase_if(m_leaving, [now](const auto& held) { return now - held.second >= leavingMemory; });
}

bool backend_directory::noteLeaving(const std::string& id, instant now)
{
    return m_leaving.insert_or_assign(id, now).second;
}

void backend_directory::noteResult(const std::string& id, try_result result, instant now)
{
    const auto held = m_entries.find(id);
    if (held == m_entries.end())
        return;
    auto& health = held->second.health;
    const bool failed = result != try_result::answered && result != try_result::refused;
    health.failureShare += newestTryWeight * ((failed ? 1.0 : 0.0) - health.failureShare);
    health.unreachableInRow = result == try_result::unreachable ? health.unreachableInRow + 1 : 0;
    switch (result) {
    case try_result::answered:
        break;
    case try_result::refused:
        health.avoidedUntil = std::max(health.avoidedUntil, now + refusedPause);
        break;
    case try_result::unreachable:
        health.avoidedUntil = std::max(health.avoidedUntil, now + unreachablePause(health.unreachableInRow));
        break;
    case try_result::silent:
        health.avoidedUntil = std::max(health.avoidedUntil, now + silentPause);
        break;
    case try_result::failed:
        if (health.failureShare > tooManyFailures)
            health.avoidedUntil = std::max(health.avoidedUntil, now + failingPause);
        break;
    case try_result::replaced:
        held->second.replaced = true;
        break;
    }
}

bool backend_directory::open(const std::string& id) const
{
    const auto held = m_entries.find(id);
    if (held == m_entries.end() || held->second.listed.draining || held->second.replaced || m_leaving.contains(id))
        return false;
    const auto newest = m_newestAt.find(held->second.listed.address);
    if (newest == m_newestAt.end())
        return true;
    return !held->second.keptUntil && held->second.listed.createdAt >= newest->second;
}

bool backend_directory::avoided(const std::string& id, instant now) const
{
    return health(id).avoidedUntil > now;
}

const backend_health& backend_directory::health(const std::string& id) const
{
    const auto held = m_entries.find(id);
    return held == m_entries.end() ? unknownHealth : held->second.health;
}

const listed_backend* backend_directory::find(const std::string& id) const
{
    const auto held = m_entries.find(id);
    return held == m_entries.end() ? nullptr : &held->second.listed;
}

const listed_backend* backend_directory::findByAddress(const std::string& address) const
{
    for (const auto& [id, held] : m_entries) {
        if (held.listed.address == address && open(id))
            return &held.listed;
    }
    return nullptr;
}

const listed_backend* backend_directory::findByHost(const std::string& host, const std::string& service) const
{
    for (const auto& [id, held] : m_entries) {
        const auto& address = held.listed.address;
        if (held.listed.service == service && address.substr(0, address.rfind(':')) == host && open(id))
            return &held.listed;
    }
    return nullptr;
}

std::vector<std::string> backend_directory::pool(const std::string& service) const
{
    std::vector<std::string> ids;
    for (const auto& [id, held] : m_entries) {
        if (held.listed.service == service && open(id))
            ids.push_back(id);
    }
    return ids;
}

} // namespace rampgap
