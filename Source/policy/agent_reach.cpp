#include "policy/agent_reach.h"

namespace rampgap {

namespace {

    // Until its agent is tried again the engine is asked directly. Machines that were killed
    // are back after some seconds: a fifth of that, so that little is asked in vain.
    constexpr milliseconds silentFor { 700 };

} // namespace

void agent_reach::note(const std::string& backendId, bool reached, instant now)
{
    if (reached)
        m_unreachedAt.erase(backendId);
    else
        m_unreachedAt[backendId] = now;
}

agent_trust agent_reach::trust(const std::string& backendId, instant now) const
{
    const auto unreached = m_unreachedAt.find(backendId);
    if (unreached == m_unreachedAt.end())
        return agent_trust::good;
    return now - unreached->second < silentFor ? agent_trust::silent : agent_trust::doubtful;
}

} // namespace rampgap
