#include "policy/shared_retry_budget.h"

#include <algorithm>

namespace rampgap {

shared_retry_budget::shared_retry_budget(retry_bounds bounds, instant startedAt)
    : m_bounds(bounds)
    , m_startedAt(startedAt)
{
}

void shared_retry_budget::setSharers(std::size_t count)
{
    m_sharers = std::max<std::size_t>(1, count);
}

void shared_retry_budget::forgetOld(window& held, instant now) const
{
    while (!held.requests.empty() && now - held.requests.front() > m_bounds.window)
        held.requests.pop_front();
    while (!held.tries.empty() && now - held.tries.front() > m_bounds.window)
        held.tries.pop_front();
}

void shared_retry_budget::noteRequest(const std::string& service, instant now)
{
    auto& held = m_services[service];
    forgetOld(held, now);
    held.requests.push_back(now);
}

bool shared_retry_budget::has(const std::string& service, instant now)
{
    auto& held = m_services[service];
    forgetOld(held, now);
    const bool started = now - m_startedAt < m_bounds.window;
    const double allowance = started ? 0 : m_bounds.allowance / static_cast<double>(m_sharers);
    const double share = m_bounds.ratio * static_cast<double>(held.requests.size()) + allowance;
    return static_cast<double>(held.tries.size() + 1) <= m_bounds.caution * share;
}

bool shared_retry_budget::take(const std::string& service, instant now)
{
    if (!has(service, now))
        return false;
    m_services[service].tries.push_back(now);
    return true;
}

} // namespace rampgap
