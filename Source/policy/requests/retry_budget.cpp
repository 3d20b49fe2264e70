#include "policy/requests/retry_budget.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A few retries are allowed right after a start; the maximum bounds the burst after a time without retries.
    constexpr double initialTokens = 3;
    constexpr double maxTokens = 20;
    constexpr double percentBase = 100;

} // namespace

retry_budget::retry_budget(int percent)
    : m_tokensPerRequest(percent / percentBase)
    , m_tokens(initialTokens)
{
}

void retry_budget::recordRequest()
{
    m_tokens = std::min(maxTokens, m_tokens + m_tokensPerRequest);
}

bool retry_budget::tryConsume()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace rampgap
