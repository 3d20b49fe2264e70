#include "policy/retry_policy.h"

namespace rampgap {

namespace {

    bool isSafe(const retry_question& question)
    {
        if (question.answerStarted)
            return false;
        return question.last.ran == verdict::not_run || question.repeatable;
    }

    // Reasons that another backend would only repeat.
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

bool mayRetry(const retry_question& question, retry_budget& budget)
{
    if (!isSafe(question) || isFinal(question.last.reason))
        return false;
    if (!question.otherBackendLeft || question.triesMade >= maxTries || question.now >= question.deadline)
        return false;
    return budget.take();
}

} // namespace rampgap
