// Decides whether a failed try may be followed by another.
#pragma once

#include "policy/retry_budget.h"
#include "policy/verdict.h"

namespace rampgap {

// What the decision depends on.
struct retry_question {
    failure last;
    bool repeatable = true;
    bool answerStarted = false;
    bool otherBackendLeft = false;
    int triesMade = 1;
    instant deadline;
    instant now;
};

inline constexpr int maxTries = 3;

// True if another try is safe, useful and within the budget; takes from the budget.
bool mayRetry(const retry_question&, retry_budget&);

} // namespace rampgap
