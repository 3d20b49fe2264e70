#include "policy/pass_model.h"

#include <algorithm>

namespace rampgap {

namespace {

    constexpr int timelyGapTenths = 9;
    constexpr double tokensPerThousand = 1'000;
    // Of an answer on time: about what the users give for a late one.
    constexpr double lateWorth = 0.5;

    // A sequence in a pass: its steps, and its part of the prompts read meanwhile.
    double sequenceTime(const engine_costs& costs)
    {
        const double meanContext = costs.usualPromptTokens + costs.usualAnswerTokens / 2;
        const double step = costs.perSequenceMs + costs.contextMsPerThousand * meanContext / tokensPerThousand;
        const double passes = std::max(1.0, costs.usualAnswerTokens / std::max(1, costs.stepsPerPass));
        return step * costs.stepsPerPass + costs.usualPromptTokens / costs.prefillTokensPerMs / passes;
    }

    // Answers for each millisecond, but for a factor that all have in common.
    double rate(const engine_costs& costs, int sequences, const group_strain& strain)
    {
        return sequences / passTime(costs, sequences, strain);
    }

} // namespace

double passTime(const engine_costs& costs, double sequences, const group_strain& strain)
{
    const double forTokens = sequences * sequenceTime(costs);
    const double ownPart = costs.stepMs * costs.stepsPerPass + (1 - costs.expertShare) * forTokens;
    return strain.slowestPace * ownPart + strain.expertSkew * costs.expertShare * forTokens;
}

milliseconds timelyPass(milliseconds longestGap)
{
    return longestGap * timelyGapTenths / 10;
}

// Load pattern: a shift of demand triples the expert part for half a second; with fewer
// sequences the passes stay short enough. A rank twelve times slower makes each pass late
// whatever runs in it: then full ranks serve most, though late.
int sequencesToRun(const engine_costs& costs, const group_strain& strain, milliseconds longestGap)
{
    const int capacity = std::max(1, costs.capacity);
    int timely = 0;
    while (timely < capacity && passTime(costs, timely + 1, strain) <= static_cast<double>(longestGap.count()))
        ++timely;
    const bool worthIt = timely > 0 && rate(costs, timely, strain) >= lateWorth * rate(costs, capacity, strain);
    return worthIt ? timely : capacity;
}

} // namespace rampgap
