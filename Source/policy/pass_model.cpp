#include "policy/pass_model.h"

#include <algorithm>

namespace rampgap {

namespace {

    constexpr double tokensPerThousand = 1'000;

    // A sequence in a pass: its steps, and its part of the prompts read meanwhile.
    double sequenceTime(const engine_costs& costs)
    {
        const double meanContext = costs.usualPromptTokens + costs.usualAnswerTokens / 2;
        const double step = costs.perSequenceMs + costs.contextMsPerThousand * meanContext / tokensPerThousand;
        const double passes = std::max(1.0, costs.usualAnswerTokens / std::max(1, costs.stepsPerPass));
        return step * costs.stepsPerPass + costs.usualPromptTokens / costs.prefillTokensPerMs / passes;
    }

} // namespace

double stepStretch(const engine_costs& costs, double expertSkew, double slowestPace)
{
    return (1 - costs.expertShare) * slowestPace + costs.expertShare * expertSkew;
}

double passTime(const engine_costs& costs, double sequences, double stretch)
{
    return stretch * (costs.stepMs * costs.stepsPerPass + sequences * sequenceTime(costs));
}

int sequencesWithin(const engine_costs& costs, double stretch, milliseconds longestGap)
{
    const double forSequences = static_cast<double>(longestGap.count()) / std::max(1.0, stretch) - costs.stepMs * costs.stepsPerPass;
    const auto fitting = static_cast<int>(forSequences / std::max(0.001, sequenceTime(costs)));
    return std::clamp(fitting, 1, std::max(1, costs.capacity));
}

} // namespace rampgap
