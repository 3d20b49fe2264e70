#include "policy/server_backoffs.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A first request that is not answered for so long says nothing of the backoff.
    constexpr milliseconds trialLife { 500 };

} // namespace

void server_backoffs::noteAsked(server_hash server, milliseconds asked, instant now)
{
    auto& held = m_backoffs[server];
    held.until = std::max(held.until, now + std::min(asked, longestBackoff));
    held.triedAt.reset();
}

// An answer to a request from before the backoff does not end it.
void server_backoffs::noteAnswered(server_hash server, instant now)
{
    const auto held = m_backoffs.find(server);
    if (held != m_backoffs.end() && now >= held->second.until)
        m_backoffs.erase(held);
}

void server_backoffs::use(server_hash server, instant now)
{
    const auto held = m_backoffs.find(server);
    if (held != m_backoffs.end())
        held->second.triedAt = now;
}

duration server_backoffs::remaining(server_hash server, instant now) const
{
    const auto held = m_backoffs.find(server);
    if (held == m_backoffs.end())
        return duration(0);
    const instant tried = held->second.triedAt ? *held->second.triedAt + trialLife : now;
    return std::max(held->second.until, tried) - now;
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
