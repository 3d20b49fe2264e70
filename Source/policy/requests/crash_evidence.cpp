#include "policy/requests/crash_evidence.h"

#include <algorithm>

namespace rampgap {

namespace {

    // The same as `crashRetention` after a single crash in the middle of the request's answer.
    constexpr std::chrono::minutes retentionOfOne { 1 };
    constexpr std::size_t maxCrashesKept = 8;

} // namespace

std::set<observed_crash>::const_iterator crash_evidence::find(std::uint32_t server) const
{
    return std::find_if(m_crashes.begin(), m_crashes.end(), [server](const observed_crash& crash) { return crash.server == server; });
}

// Two VMs may have seen the same crash, one of them a moment later in the answer: early takes
// precedence. If there are more crashes than are kept, every process keeps the same ones.
std::optional<crash_evidence::addition> crash_evidence::add(const observed_crash& crash)
{
    const auto existing = find(crash.server);
    if (existing != m_crashes.end()) {
        if (existing->early || !crash.early)
            return std::nullopt;
        m_crashes.erase(existing);
    }
    m_crashes.insert(crash);
    if (m_crashes.size() <= maxCrashesKept)
        return addition {};
    const observed_crash last = *m_crashes.rbegin();
    m_crashes.erase(last);
    m_cleared.erase(last.server);
    return addition { last.server };
}

bool crash_evidence::clear(const std::vector<observed_crash>& crashes)
{
    bool changed = false;
    for (const auto& crash : crashes)
        changed = (concerns(crash.server) && m_cleared.insert(crash.server).second) || changed;
    m_wasCleared = m_wasCleared || changed;
    return changed;
}

std::vector<observed_crash> crash_evidence::uncleared() const
{
    std::vector<observed_crash> found;
    std::copy_if(m_crashes.begin(), m_crashes.end(), std::back_inserter(found), [this](const observed_crash& crash) { return !isCleared(crash.server); });
    return found;
}

std::vector<observed_crash> crash_evidence::cleared() const
{
    std::vector<observed_crash> found;
    std::copy_if(m_crashes.begin(), m_crashes.end(), std::back_inserter(found), [this](const observed_crash& crash) { return isCleared(crash.server); });
    return found;
}

// A request that a server has run to its end is not suspected again until it has as many uncleared
// crashes as block any request: servers of another version may crash under it, one after the other.
crash_evidence::weight crash_evidence::strength() const
{
    weight uncleared;
    for (const auto& crash : m_crashes) {
        if (isCleared(crash.server))
            continue;
        ++uncleared.crashes;
        uncleared.early += crash.early ? 1 : 0;
    }
    if (anyCleared() && uncleared.crashes < blockingCrashes)
        return {};
    return uncleared;
}

milliseconds crash_evidence::retention() const
{
    const bool isKept = m_crashes.size() >= blockingEarlyCrashes || strength().early > 0;
    return isKept ? crashRetention : retentionOfOne;
}

} // namespace rampgap
