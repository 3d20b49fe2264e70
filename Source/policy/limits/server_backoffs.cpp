#include "policy/limits/server_backoffs.h"

#include <algorithm>

namespace rampgap {

namespace {

    // If the first request is not answered within this time, another one is sent.
    constexpr milliseconds firstRequestTimeout { 500 };

} // namespace

void server_backoffs::recordBackoff(server_hash server, milliseconds requested, instant now)
{
    auto& entry = m_backoffs[server];
    entry.until = std::max(entry.until, now + std::min(requested, maxBackoff));
    entry.firstSentAt.reset();
}

// An answer to a request from before the backoff does not end it.
void server_backoffs::recordAnswered(server_hash server, instant now)
{
    const auto entry = m_backoffs.find(server);
    if (entry != m_backoffs.end() && now >= entry->second.until)
        m_backoffs.erase(entry);
}

void server_backoffs::recordSent(server_hash server, instant now)
{
    const auto entry = m_backoffs.find(server);
    if (entry != m_backoffs.end())
        entry->second.firstSentAt = now;
}

duration server_backoffs::remaining(server_hash server, instant now) const
{
    const auto entry = m_backoffs.find(server);
    if (entry == m_backoffs.end())
        return duration(0);
    const instant firstRequestEnd = entry->second.firstSentAt ? *entry->second.firstSentAt + firstRequestTimeout : now;
    return std::max(entry->second.until, firstRequestEnd) - now;
}

std::optional<milliseconds> server_backoffs::untilFirst(const std::vector<server_hash>& servers, instant now) const
{
    if (m_backoffs.empty() || servers.empty())
        return std::nullopt;
    duration first = duration::max();
    for (const server_hash server : servers)
        first = std::min(first, remaining(server, now));
    if (first <= duration(0))
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(first);
}

} // namespace rampgap
