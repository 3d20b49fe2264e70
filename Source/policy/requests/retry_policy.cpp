#include "policy/requests/retry_policy.h"

namespace rampgap {

namespace {

    bool isSafe(const retry_input& input)
    {
        if (input.answerStarted)
            return false;
        return input.last.ran == verdict::not_run || input.repeatable;
    }

    // True if another backend would fail for the same reason.
    bool isFinal(failure_reason reason)
    {
        switch (reason) {
        case failure_reason::unauthenticated:
        case failure_reason::forbidden:
        case failure_reason::not_found:
        case failure_reason::invalid_request:
        case failure_reason::too_large:
        case failure_reason::rate_limited:
        case failure_reason::duplicate:
        case failure_reason::key_reused:
        case failure_reason::deadline:
            return true;
        default:
            return false;
        }
    }

} // namespace

bool mayRetry(const retry_input& input, retry_budget& budget)
{
    if (!isSafe(input) || isFinal(input.last.reason))
        return false;
    if (!input.otherBackendLeft || input.attemptsMade >= maxRequestAttempts || input.now >= input.deadline)
        return false;
    return budget.tryConsume();
}

} // namespace rampgap
