#include "policy/group_wait.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Callers keep to a pause of up to a third of the time that they have left.
    constexpr int pausePart = 3;
    // Kept for the refusal to reach a caller that is about to give up: several round trips
    // to callers, and the turn of a busy process.
    constexpr milliseconds patienceMargin { 120 };
    constexpr milliseconds leastPatience { 2'000 };
    constexpr int patienceTargets = 4;
    constexpr int patienceGaps = 8;
    // Nothing is known of how long closures last: then one that has lasted for c ends within w
    // with a chance of w / (w + c). Below this part of those who wait would see it: with a wait
    // of 1.9 s after 10.6 s.
    constexpr double leastChance = 0.15;

    bool mayOpenWithin(milliseconds wait, milliseconds closedFor)
    {
        const auto w = static_cast<double>(wait.count());
        return w >= leastChance * (w + static_cast<double>(closedFor.count()));
    }

} // namespace

group_wait_decision decideGroupWait(const group_wait_question& question)
{
    constexpr milliseconds none { 0 };
    const milliseconds patienceLeft = question.patience - question.waited - patienceMargin;
    const milliseconds servable = question.timeLeft - question.run;
    milliseconds wait = std::max(none, std::min(patienceLeft, servable));
    if (!mayOpenWithin(wait, question.closedFor))
        wait = none;
    return { wait, std::max(none, std::min(longestPause(question.timeLeft - wait), servable - wait)) };
}

milliseconds longestPause(milliseconds timeLeft)
{
    return std::max(milliseconds(0), timeLeft) / pausePart;
}

milliseconds callerPatience(milliseconds latencyTarget, milliseconds gapTarget)
{
    return std::max({ leastPatience, latencyTarget * patienceTargets, gapTarget * patienceGaps });
}

} // namespace rampgap
