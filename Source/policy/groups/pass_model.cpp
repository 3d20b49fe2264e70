#include "policy/groups/pass_model.h"

#include <algorithm>

namespace rampgap {

namespace {

    constexpr int passTenthsOfGap = 9;
    constexpr double tokensPerThousand = 1'000;
    // Value of a late answer as a share of that of one on time, about as the users rate it.
    constexpr double lateAnswerValue = 0.5;
    // With fewer, the fixed part of a pass hides the time for tokens.
    constexpr double minMeasuredSequences = 1;
    // Work for tokens explains passes up to this many times as long as predicted. A rank that is slower
    // lengthens the fixed part too: with fewer sequences its group would be as late and serve less.
    constexpr double maxPassRatio = 2.5;
    constexpr double minTokenFactor = 0.5;
    constexpr double maxTokenFactor = 6;

    // Time that one sequence adds to a pass: its steps, and its part of the prompts read meanwhile.
    double sequenceTime(const engine_costs& costs)
    {
        const double meanContext = costs.usualPromptTokens + costs.usualAnswerTokens / 2;
        const double step = costs.perSequenceMs + costs.contextMsPerThousand * meanContext / tokensPerThousand;
        const double passes = std::max(1.0, costs.usualAnswerTokens / std::max(1, costs.stepsPerPass));
        return step * costs.stepsPerPass + costs.usualPromptTokens / costs.prefillTokensPerMs / passes;
    }

    // Answers for each millisecond, up to a common factor.
    double rate(const engine_costs& costs, double sequences, const group_slowdown& slowdown)
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
double sequencesToRun(const engine_costs& costs, const group_slowdown& slowdown, milliseconds longestGap)
{
    const double capacity = std::max(1, costs.capacity);
    const double fixed = passTime(costs, 0, slowdown);
    const double eachMs = passTime(costs, 1, slowdown) - fixed;
    const double forTokens = static_cast<double>(longestGap.count()) - fixed;
    const double timely = forTokens >= eachMs * capacity ? capacity : forTokens / eachMs;
    const bool preferTimely = timely >= 1 && rate(costs, timely, slowdown) >= lateAnswerValue * rate(costs, capacity, slowdown);
    return preferTimely ? timely : capacity;
}

std::optional<double> tokenFactor(const engine_costs& costs, const group_slowdown& published, const measured_pass& measured)
{
    if (measured.sequences < minMeasuredSequences)
        return std::nullopt;
    const group_slowdown predicted { published.expertSkew, published.slowestPace, 1 };
    const double fixed = passTime(costs, 0, predicted);
    const double whole = passTime(costs, measured.sequences, predicted);
    if (whole <= fixed || measured.meanMs > maxPassRatio * whole)
        return std::nullopt;
    return std::clamp((measured.meanMs - fixed) / (whole - fixed), minTokenFactor, maxTokenFactor);
}

} // namespace rampgap
