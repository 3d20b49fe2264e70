#include "support/engine_costs.h"

namespace rampgap::test {

engine_costs usualCosts()
{
    engine_costs made;
    made.capacity = 10;
    made.stepMs = 4.55;
    made.perSequenceMs = 0.905;
    made.contextMsPerThousand = 0.0183;
    made.stepsPerPass = 5;
    made.prefillTokensPerMs = 61.4;
    made.usualPromptTokens = 850;
    made.usualAnswerTokens = 95;
    made.expertShare = 0.85;
    return made;
}

} // namespace rampgap::test
