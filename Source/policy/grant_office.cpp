#include "policy/grant_office.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Grants are used at any moment of their life, so a window sees those of a longer one.
    constexpr double caution = 0.9;
    // What a server takes in this time can be granted at once.
    constexpr double burstSeconds = 1;
    // One for whoever comes, and one that is kept for the more urgent.
    constexpr double leastBurst = 2;
    constexpr double urgentReserve = 1;
    // Questions a second that an arbiter wants of all askers for all its servers.
    constexpr double questionsPerSecond = 8;
    constexpr milliseconds shortestPause { 100 };
    constexpr milliseconds longestPause { 20'000 };
    // Who has not asked for so long has no use for the server.
    constexpr milliseconds askerLife { 30'000 };
    // VMs that were there such a while ago may be cut off and sending all the same.
    constexpr milliseconds fleetMemory { 30'000 };
    constexpr milliseconds deniedLife { 2'000 };

} // namespace

void grant_office::noteFleet(std::size_t entries, instant now)
{
    m_entries = entries;
    if (entries < m_mostEntries && now - m_mostSeenAt < fleetMemory)
        return;
    m_mostEntries = entries;
    m_mostSeenAt = now;
}

// Of a fleet in parts each has an arbiter of its own, and their grants add up.
double grant_office::part() const
{
    return static_cast<double>(m_entries) / static_cast<double>(m_mostEntries);
}

milliseconds grant_office::pause(instant now)
{
    std::size_t pairs = 0;
    for (auto& [server, held] : m_buckets) {
        std::erase_if(held.askers, [now](const auto& asker) { return now - asker.second >= askerLife; });
        pairs += held.askers.size();
    }
    std::erase_if(m_buckets, [](const auto& held) { return held.second.askers.empty(); });
    const auto fair = milliseconds(static_cast<std::int64_t>(1'000 * static_cast<double>(pairs) / questionsPerSecond));
    return std::clamp(fair, shortestPause, longestPause);
}

bool grant_office::moreUrgentDenied(const bucket& held, int priority, instant now)
{
    const auto end = held.denied.lower_bound(priority);
    return std::any_of(held.denied.begin(), end, [now](const auto& each) { return now - each.second < deniedLife; });
}

// A bucket begins empty: its server may have had another arbiter a moment ago.
grant_answer grant_office::answer(const std::string& asker, const grant_question& question, double perSecond, instant now)
{
    const double rate = std::max(caution * perSecond, leastPerSecond) * part();
    auto& held = m_buckets.try_emplace(question.server, bucket { token_bucket(0, now), {}, {} }).first->second;
    held.tokens.fill(rate, std::max(leastBurst, rate * burstSeconds), now);
    held.askers[asker] = now;
    const double reserve = moreUrgentDenied(held, question.priority, now) ? urgentReserve : 0;
    const int granted = std::clamp(static_cast<int>(held.tokens.tokens() - reserve), 0, std::max(0, question.wanted));
    held.tokens.take(granted);
    if (granted == 0)
        held.denied[question.priority] = now;
    return { question.server, granted, pause(now) };
}

} // namespace rampgap
