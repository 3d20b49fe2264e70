// Decides whether a failed attempt may be retried.
#pragma once

#include "policy/common/verdict.h"
#include "policy/requests/retry_budget.h"

namespace rampgap {

// Input of the decision.
struct retry_input {
    failure last;
    bool repeatable = true;
    bool answerStarted = false;
    bool otherBackendLeft = false;
    int attemptsMade = 1;
    instant deadline;
    instant now;
};

inline constexpr int maxRequestAttempts = 3;

// True if a retry is safe, useful and within the budget; it then consumes a token of the budget.
bool mayRetry(const retry_input&, retry_budget&);

} // namespace rampgap
