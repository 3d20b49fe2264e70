#include "policy/groups/pass_model.h"

#include <algorithm>

namespace rampgap {

namespace {

    constexpr int passTenthsOfGap = 9;
    constexpr double tokensPerThousand = 1'000;
    // Value of a late answer as a share of that of one on time, about as the users rate it.
    constexpr double lateAnswerValue = 0.5;

    // Time that one sequence adds to a pass: its steps, and its part of the prompts read meanwhile.
    double sequenceTime(const engine_costs& costs)
    {
        const double meanContext = costs.usualPromptTokens + costs.usualAnswerTokens / 2;
        const double step = costs.perSequenceMs + costs.contextMsPerThousand * meanContext / tokensPerThousand;
        const double passes = std::max(1.0, costs.usualAnswerTokens / std::max(1, costs.stepsPerPass));
        return step * costs.stepsPerPass + costs.usualPromptTokens / costs.prefillTokensPerMs / passes;
    }

    // Answers for each millisecond, up to a common factor.
    double rate(const engine_costs& costs, int sequences, const group_slowdown& slowdown)
    {
        return sequences / passTime(costs, sequences, slowdown);
    }

} // namespace

double passTime(const engine_costs& costs, double sequences, const group_slowdown& slowdown)
{
    const double forTokens = sequences * sequenceTime(costs) * slowdown.tokenFactor;
    const double ownPart = costs.stepMs * costs.stepsPerPass + (1 - costs.expertShare) * forTokens;
    return slowdown.slowestPace * ownPart + slowdown.expertSkew * costs.expertShare * forTokens;
}

milliseconds passTimeLimit(milliseconds longestGap)
{
    return longestGap * passTenthsOfGap / 10;
}

// Load pattern: a shift of demand triples the expert part for half a second; with fewer sequences
// the passes stay short enough. A rank that is twelve times slower makes every pass late, however
// few sequences run: then ranks that use their whole capacity serve most requests, though late.
int sequencesToRun(const engine_costs& costs, const group_slowdown& slowdown, milliseconds longestGap)
{
    const int capacity = std::max(1, costs.capacity);
    int timely = 0;
    while (timely < capacity && passTime(costs, timely + 1, slowdown) <= static_cast<double>(longestGap.count()))
        ++timely;
    const bool preferTimely = timely > 0 && rate(costs, timely, slowdown) >= lateAnswerValue * rate(costs, capacity, slowdown);
    return preferTimely ? timely : capacity;
}

} // namespace rampgap
