#include "policy/limits/engine_throttle.h"

#include <algorithm>

namespace rampgap {

namespace {

    // As many requests as the engine accepts in this time may come at once.
    constexpr double burstSeconds = 1;
    constexpr milliseconds leavingRetryAfter { 500 };
    constexpr milliseconds minRetryDelay { 20 };
    constexpr milliseconds maxRetryDelay { 10'000 };
    // An entry VM that was not refused for this long is taken to have no requests for the engine.
    constexpr milliseconds refusalLifetime { 10'000 };

} // namespace

void engine_throttle::recordReportedLimit(std::optional<double> perSecond, instant now)
{
    if (perSecond && !m_perSecond)
        m_tokens = token_bucket(0, now);
    m_perSecond = perSecond;
    if (!perSecond)
        m_refusedAt.clear();
}

void engine_throttle::recordBackoff(milliseconds backoff, instant now)
{
    m_backoffUntil = std::max(m_backoffUntil, now + std::min(backoff, maxBackoff));
}

void engine_throttle::forget()
{
    m_leaving = false;
    m_backoffUntil = {};
    m_perSecond.reset();
    m_refusedAt.clear();
}

result<void> engine_throttle::enter(const std::string& entry, instant now)
{
    if (m_leaving)
        return notRun(failure_reason::leaving, "the engine is leaving", leavingRetryAfter);
    if (now < m_backoffUntil)
        return notRun(failure_reason::server_backoff, "the engine asked to back off", std::chrono::ceil<milliseconds>(m_backoffUntil - now));
    if (!m_perSecond)
        return boost::outcome_v2::success();
    m_tokens.fill(rate(), std::max(1.0, rate() * burstSeconds), now);
    if (m_tokens.tokens() < 1)
        return notRun(failure_reason::server_limit, "the engine takes no more requests now", retryDelayFor(entry, now));
    m_tokens.take(1);
    m_refusedAt.erase(entry);
    return boost::outcome_v2::success();
}

// Entry VMs that retried at the same moment would be refused again, so each gets a delay that grows with
// the number of refused VMs.
milliseconds engine_throttle::retryDelayFor(const std::string& entry, instant now)
{
    std::erase_if(m_refusedAt, [now](const auto& refused) { return now - refused.second >= refusalLifetime; });
    m_refusedAt[entry] = now;
    const auto delay = milliseconds(static_cast<std::int64_t>(1'000 * static_cast<double>(m_refusedAt.size()) / rate()));
    return std::clamp(delay, minRetryDelay, maxRetryDelay);
}

} // namespace rampgap
