#include "policy/limits/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // A bucket holds this many seconds of its rate, and at least one request.
    constexpr double burstSeconds = 1.0;
    constexpr milliseconds concurrencyRetryAfter { 500 };

} // namespace

void rate_limiter::setShare(double share)
{
    m_share = std::clamp(share, 0.001, 1.0);
}

result<void> rate_limiter::enter(const workspace_declaration& workspace, instant now)
{
    bucket& limits = m_buckets[workspace.name];
    const double rate = workspace.requestsPerSecond * m_share;
    if (workspace.concurrent > 0) {
        const int allowed = std::max(1, static_cast<int>(std::ceil(workspace.concurrent * m_share)));
        if (limits.running >= allowed)
            return notRun(failure_reason::rate_limited, "the workspace runs as many requests as it may", concurrencyRetryAfter);
    }
    if (rate > 0) {
        const double capacity = std::max(1.0, rate * burstSeconds);
        if (!limits.tokens)
            limits.tokens = token_bucket(capacity, now);
        limits.tokens->fill(rate, capacity, now);
        if (limits.tokens->tokens() < 1) {
            const auto wait = milliseconds(static_cast<std::int64_t>(std::ceil((1 - limits.tokens->tokens()) / rate * 1000)));
            return notRun(failure_reason::rate_limited, "the workspace exceeds its rate", wait);
        }
        limits.tokens->take(1);
    }
    ++limits.running;
    return boost::outcome_v2::success();
}

void rate_limiter::leave(const std::string& workspace)
{
    const auto found = m_buckets.find(workspace);
    if (found != m_buckets.end() && found->second.running > 0)
        --found->second.running;
}

} // namespace rampgap
