#include "policy/membership/reachability_tracker.h"

namespace rampgap {

namespace {

    // How long an unreachable agent is bypassed, with direct calls to its engine, before it is
    // called again. A killed machine is back after a few seconds; a fifth of that notices its
    // return early and wastes few calls.
    constexpr milliseconds bypassTime { 700 };

} // namespace

void reachability_tracker::record(const std::string& backendId, bool reached, instant now)
{
    if (reached)
        m_failedAt.erase(backendId);
    else
        m_failedAt[backendId] = now;
}

agent_reachability reachability_tracker::reachability(const std::string& backendId, instant now) const
{
    const auto failed = m_failedAt.find(backendId);
    if (failed == m_failedAt.end())
        return agent_reachability::forwards;
    return now - failed->second < bypassTime ? agent_reachability::unreachable : agent_reachability::answers_only;
}

} // namespace rampgap
