#include "policy/requests/shared_retry_budget.h"

#include <algorithm>

namespace rampgap {

shared_retry_budget::shared_retry_budget(retry_bounds bounds, instant startedAt)
    : m_bounds(bounds)
    , m_startedAt(startedAt)
{
}

void shared_retry_budget::setSharingProcesses(std::size_t count)
{
    m_sharers = std::max<std::size_t>(1, count);
}

void shared_retry_budget::expire(window& usage, instant now) const
{
    while (!usage.requests.empty() && now - usage.requests.front() > m_bounds.window)
        usage.requests.pop_front();
    while (!usage.retries.empty() && now - usage.retries.front() > m_bounds.window)
        usage.retries.pop_front();
}

void shared_retry_budget::recordRequest(const std::string& service, instant now)
{
    auto& usage = m_services[service];
    expire(usage, now);
    usage.requests.push_back(now);
}

bool shared_retry_budget::allowsRetry(const std::string& service, instant now)
{
    auto& usage = m_services[service];
    expire(usage, now);
    const bool justStarted = now - m_startedAt < m_bounds.window;
    const double allowance = justStarted ? 0 : m_bounds.allowance / static_cast<double>(m_sharers);
    const double share = m_bounds.ratio * static_cast<double>(usage.requests.size()) + allowance;
    return static_cast<double>(usage.retries.size() + 1) <= m_bounds.caution * share;
}

bool shared_retry_budget::tryConsume(const std::string& service, instant now)
{
    if (!allowsRetry(service, now))
        return false;
    m_services[service].retries.push_back(now);
    return true;
}

} // namespace rampgap
