#include "policy/limits/limit_arbiter.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A grant is used at any moment of its lifetime, so that a window of time may also see requests of grants from before it.
    constexpr double safetyFactor = 0.9;
    // More requests a second than one server has connections for. Tokens are counted as whole numbers, whose range a limit without
    // this bound may leave: nothing would be granted then.
    constexpr double maxPerSecond = 1'000'000;
    // As many requests as a server accepts in this time can be granted at once.
    constexpr double burstSeconds = 1;
    // One token for any requester and one that is reserved for the more urgent.
    constexpr double minBurst = 2;
    constexpr double urgentReserve = 1;
    // Questions per second that an arbiter is to get from all requesters for all its servers, or as many as it can grant
    // requests if those are more.
    constexpr double minQuestionsPerSecond = 8;
    constexpr milliseconds minAskAgainDelay { 100 };
    constexpr milliseconds maxAskAgainDelay { 20'000 };
    // A requester that has not asked for a grant for this long does not count any more when the arbiter
    // works out how often each requester may ask.
    constexpr milliseconds requesterLifetime { 30'000 };
    // Entry VMs that were known this long ago may be cut off and still be sending.
    constexpr milliseconds fleetMemory { 30'000 };
    constexpr milliseconds denialLifetime { 2'000 };

} // namespace

void limit_arbiter::recordFleetSize(std::size_t entries, instant now)
{
    m_entries = entries;
    if (entries < m_maxEntries && now - m_maxSeenAt < fleetMemory)
        return;
    m_maxEntries = entries;
    m_maxSeenAt = now;
}

// In a partitioned fleet each part has an arbiter of its own, and their grants add up.
double limit_arbiter::visibleFraction() const
{
    return static_cast<double>(m_entries) / static_cast<double>(m_maxEntries);
}

milliseconds limit_arbiter::askAgainDelay(instant now)
{
    std::size_t pairs = 0;
    double grantsPerSecond = 0;
    for (auto& [server, entry] : m_buckets) {
        std::erase_if(entry.requesters, [now](const auto& requester) { return now - requester.second >= requesterLifetime; });
        pairs += entry.requesters.size();
        grantsPerSecond += entry.requesters.empty() ? 0 : entry.perSecond;
    }
    std::erase_if(m_buckets, [](const auto& entry) { return entry.second.requesters.empty(); });
    const auto delay = milliseconds(static_cast<std::int64_t>(1'000 * static_cast<double>(pairs) / std::max(minQuestionsPerSecond, grantsPerSecond)));
    return std::clamp(delay, minAskAgainDelay, maxAskAgainDelay);
}

bool limit_arbiter::moreUrgentDenied(const bucket& entry, int priority, instant now)
{
    const auto end = entry.deniedAt.lower_bound(priority);
    return std::any_of(entry.deniedAt.begin(), end, [now](const auto& denial) { return now - denial.second < denialLifetime; });
}

// A bucket starts empty: the server may have had another arbiter a moment ago.
grant_answer limit_arbiter::answer(const std::string& requester, const grant_question& query, double perSecond, instant now)
{
    const double rate = std::max(safetyFactor * std::min(perSecond, maxPerSecond), minPerSecond) * visibleFraction();
    auto& entry = m_buckets.try_emplace(query.server, bucket { token_bucket(0, now), rate, {}, {} }).first->second;
    entry.tokens.fill(rate, std::max(minBurst, rate * burstSeconds), now);
    entry.perSecond = rate;
    entry.requesters[requester] = now;
    const double reserve = moreUrgentDenied(entry, query.priority, now) ? urgentReserve : 0;
    const int granted = std::clamp(static_cast<int>(entry.tokens.tokens() - reserve), 0, std::max(0, query.wanted));
    entry.tokens.take(granted);
    if (granted == 0)
        entry.deniedAt[query.priority] = now;
    return { query.server, granted, askAgainDelay(now) };
}

} // namespace rampgap
