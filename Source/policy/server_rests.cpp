#include "policy/server_rests.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A first request that is not answered for so long says nothing of the rest.
    constexpr milliseconds trialLife { 500 };
    constexpr milliseconds longestRest = std::chrono::hours(24);

} // namespace

void server_rests::noteAsked(server_hash server, milliseconds asked, instant now)
{
    auto& held = m_rests[server];
    held.until = std::max(held.until, now + std::min(asked, longestRest));
    held.triedAt.reset();
}

// An answer to a request from before the rest does not end it.
void server_rests::noteAnswered(server_hash server, instant now)
{
    const auto held = m_rests.find(server);
    if (held != m_rests.end() && now >= held->second.until)
        m_rests.erase(held);
}

void server_rests::use(server_hash server, instant now)
{
    const auto held = m_rests.find(server);
    if (held != m_rests.end())
        held->second.triedAt = now;
}

duration server_rests::remaining(server_hash server, instant now) const
{
    const auto held = m_rests.find(server);
    if (held == m_rests.end())
        return duration(0);
    const instant tried = held->second.triedAt ? *held->second.triedAt + trialLife : now;
    return std::max(held->second.until, tried) - now;
}

std::optional<milliseconds> server_rests::untilFirst(const std::vector<server_hash>& servers, instant now) const
{
    if (m_rests.empty() || servers.empty())
        return std::nullopt;
    duration first = duration::max();
    for (const server_hash server : servers)
        first = std::min(first, remaining(server, now));
    if (first <= duration(0))
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(first);
}

} // namespace rampgap
