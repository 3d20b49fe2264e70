#include "policy/routing/backend_directory.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Weight of the latest attempt in the failure share: about the last eight attempts count.
    constexpr double latestAttemptWeight = 0.12;
    // A server with a higher failure share is avoided for a while. Below it, retries cost less
    // than the capacity that would be lost.
    constexpr double maxFailureShare = 0.22;
    // After this time a failing server is tried again; observed faults last seconds.
    constexpr milliseconds failingPause { 1'500 };
    // Pause after a refused or timed-out connection, doubled from the first to the longest.
    constexpr milliseconds firstUnreachablePause { 250 };
    constexpr milliseconds longestUnreachablePause { 2'000 };
    constexpr milliseconds silentPause { 1'500 };
    constexpr milliseconds refusedPause { 40 };

    milliseconds unreachablePause(int failuresInRow)
    {
        auto pause = firstUnreachablePause;
        for (int i = 1; i < failuresInRow && pause < longestUnreachablePause; ++i)
            pause *= 2;
        return std::min(pause, longestUnreachablePause);
    }

    // Entries may lapse and be listed again, so a leaving server is remembered for this long after it was last listed.
    constexpr milliseconds leavingRetention { 600'000 };

    const backend_health unknownHealth;

} // namespace

bool backend_directory::list(const listed_backend& listed)
{
    ++m_revision;
    auto& known = m_entries[listed.id];
    const std::string addressBefore = known.listed.address;
    // Any other incarnation counts, not only a higher one: the clock may have been set back
    // between two starts, but list entries arrive in order.
    const bool restarted = known.listed.incarnation != 0 && listed.incarnation != known.listed.incarnation;
    if (restarted) {
        known = {};
        m_leaving.erase(listed.id);
    }
    known.listed = listed;
    known.keptUntil.reset();
    updateNewestAt(listed.address);
    if (!addressBefore.empty() && addressBefore != listed.address)
        updateNewestAt(addressBefore);
    return restarted;
}

void backend_directory::setServices(std::set<std::string> services)
{
    ++m_revision;
    m_services = std::move(services);
    std::set<std::string> addresses;
    for (const auto& [id, known] : m_entries)
        addresses.insert(known.listed.address);
    for (const auto& address : addresses)
        updateNewestAt(address);
}

bool backend_directory::serves(const listed_backend& listed) const
{
    return !m_services || m_services->contains(listed.service);
}

// When an entry is removed, an older one at its address becomes valid again. Entries that are
// missing from the list do not count: a restored store reuses revision numbers, so the higher
// creation revision of a missing entry would shut out the server that is now listed at its address
// until the missing one is dropped (after 2 s, 5 s at an agent).
void backend_directory::updateNewestAt(const std::string& address)
{
    m_newestAt.erase(address);
    for (const auto& [id, known] : m_entries) {
        if (known.listed.address == address && serves(known.listed) && !known.keptUntil) {
            auto& newest = m_newestAt[address];
            newest = std::max(newest, known.listed.createdAt);
        }
    }
}

void backend_directory::unlist(const std::string& id, instant now, instant keepUntil)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end())
        return;
    const instant until = std::max(keepUntil, now + m_lapsedRetention);
    if (now >= until || known->second.listed.draining) {
        remove(id);
        return;
    }
    ++m_revision;
    known->second.keptUntil = until;
    updateNewestAt(known->second.listed.address);
}

void backend_directory::limitRetention(instant until)
{
    if (m_lapsedRetention > milliseconds(0))
        return;
    for (auto& [id, known] : m_entries) {
        if (known.keptUntil)
            known.keptUntil = std::min(*known.keptUntil, until);
    }
}

void backend_directory::remove(const std::string& id)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end())
        return;
    ++m_revision;
    const std::string address = known->second.listed.address;
    m_entries.erase(known);
    updateNewestAt(address);
}

void backend_directory::removeExpired(instant now)
{
    std::vector<std::string> expired;
    for (const auto& [id, known] : m_entries) {
        if (known.keptUntil && now >= *known.keptUntil)
            expired.push_back(id);
    }
    for (const auto& id : expired)
        remove(id);
    for (auto& [id, seenAt] : m_leaving)
        seenAt = m_entries.contains(id) ? now : seenAt;
    m_revision += std::erase_if(m_leaving, [now](const auto& known) { return now - known.second >= leavingRetention; });
}

bool backend_directory::recordLeaving(const std::string& id, instant now)
{
    const bool isNew = m_leaving.insert_or_assign(id, now).second;
    m_revision += isNew ? 1 : 0;
    return isNew;
}

void backend_directory::recordResult(const std::string& id, attempt_result result, instant now)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end())
        return;
    auto& health = known->second.health;
    const bool failed = result != attempt_result::answered && result != attempt_result::refused;
    health.failureShare += latestAttemptWeight * ((failed ? 1.0 : 0.0) - health.failureShare);
    health.unreachableInRow = result == attempt_result::unreachable ? health.unreachableInRow + 1 : 0;
    switch (result) {
    case attempt_result::answered:
        break;
    case attempt_result::refused:
        health.avoidedUntil = std::max(health.avoidedUntil, now + refusedPause);
        break;
    case attempt_result::unreachable:
        health.avoidedUntil = std::max(health.avoidedUntil, now + unreachablePause(health.unreachableInRow));
        break;
    case attempt_result::silent:
        health.avoidedUntil = std::max(health.avoidedUntil, now + silentPause);
        break;
    case attempt_result::failed:
        if (health.failureShare > maxFailureShare)
            health.avoidedUntil = std::max(health.avoidedUntil, now + failingPause);
        break;
    case attempt_result::replaced:
        known->second.replaced = true;
        ++m_revision;
        break;
    }
}

bool backend_directory::setEvacuated(const std::string& zone, bool evacuated)
{
    const bool changed = evacuated ? m_evacuatedZones.insert(zone).second : m_evacuatedZones.erase(zone) > 0;
    m_revision += changed ? 1 : 0;
    return changed;
}

bool backend_directory::acceptsWork(const std::string& id) const
{
    return isActive(id) && !m_evacuatedZones.contains(m_entries.at(id).listed.zone);
}

bool backend_directory::isActive(const std::string& id) const
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end() || known->second.listed.draining || known->second.replaced || m_leaving.contains(id))
        return false;
    const auto newest = m_newestAt.find(known->second.listed.address);
    if (newest == m_newestAt.end())
        return true;
    return !known->second.keptUntil && known->second.listed.createdAt >= newest->second;
}

bool backend_directory::avoided(const std::string& id, instant now) const
{
    return health(id).avoidedUntil > now;
}

const backend_health& backend_directory::health(const std::string& id) const
{
    const auto known = m_entries.find(id);
    return known == m_entries.end() ? unknownHealth : known->second.health;
}

const listed_backend* backend_directory::find(const std::string& id) const
{
    const auto known = m_entries.find(id);
    return known == m_entries.end() ? nullptr : &known->second.listed;
}

const listed_backend* backend_directory::findByAddress(const std::string& address) const
{
    for (const auto& [id, known] : m_entries) {
        if (known.listed.address == address && isActive(id))
            return &known.listed;
    }
    return nullptr;
}

const listed_backend* backend_directory::findByHost(const std::string& host, const std::string& service) const
{
    for (const auto& [id, known] : m_entries) {
        const auto& address = known.listed.address;
        if (known.listed.service == service && address.substr(0, address.rfind(':')) == host && isActive(id))
            return &known.listed;
    }
    return nullptr;
}

// Agents ask for the list 50 times a second, entry VMs for each request. The lists change when an entry does, which is rare.
const backend_directory::service_lists& backend_directory::listsOf(const std::string& service) const
{
    auto& lists = m_lists[service];
    if (lists.revision == m_revision)
        return lists;
    lists = { m_revision, {}, {} };
    for (const auto& [id, known] : m_entries) {
        if (known.listed.service != service || !isActive(id))
            continue;
        lists.active.push_back(id);
        if (!m_evacuatedZones.contains(known.listed.zone))
            lists.pool.push_back(id);
    }
    return lists;
}

const std::vector<std::string>& backend_directory::activeServers(const std::string& service) const
{
    return listsOf(service).active;
}

const std::vector<std::string>& backend_directory::pool(const std::string& service) const
{
    return listsOf(service).pool;
}

std::size_t backend_directory::countInZone(const std::string& zone) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&zone](const auto& known) { return known.second.listed.zone == zone; }));
}

} // namespace rampgap
