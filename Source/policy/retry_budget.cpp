#include "policy/retry_budget.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A few retries are free after a start; the cap bounds the burst after a calm.
    constexpr double startTokens = 3;
    constexpr double maxTokens = 20;
    constexpr double percentBase = 100;

} // namespace

retry_budget::retry_budget(int percent)
    : m_share(percent / percentBase)
    , m_tokens(startTokens)
{
}

void retry_budget::noteRequest()
{
    m_tokens = std::min(maxTokens, m_tokens + m_share);
}

bool retry_budget::take()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace rampgap
