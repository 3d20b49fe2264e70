#include "policy/groups/group_wait.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Callers comply with a retry delay of up to a third of the time that they have left.
    constexpr int retryDelayPart = 3;
    // Reserved so that the refusal reaches a caller before it gives up: several round trips to the
    // caller, and the scheduling delay of a busy process.
    constexpr milliseconds patienceMargin { 120 };
    constexpr milliseconds minPatience { 2'000 };
    constexpr int patienceTargets = 4;
    constexpr int patienceGaps = 8;
    // How long closures last is not known; then one that has lasted for c ends within w with a
    // probability of w / (w + c). A caller waits only where this is at least the given value: with
    // a wait of 1.9 s, up to a closure of 10.6 s.
    constexpr double minOpeningProbability = 0.15;
    // A closure that is younger may be a refusal by a single engine, or end before the caller is late.
    constexpr milliseconds briefClosure { 300 };

    bool mayOpenWithin(milliseconds wait, milliseconds closedFor)
    {
        const auto w = static_cast<double>(wait.count());
        return w >= minOpeningProbability * (w + static_cast<double>(closedFor.count()));
    }

} // namespace

group_wait_decision decideGroupWait(const group_wait_input& input)
{
    constexpr milliseconds none { 0 };
    // A group that opens too late for the first event would spend a slot on a caller that leaves.
    const milliseconds margin = std::max(patienceMargin, input.firstEvent);
    const milliseconds patienceLeft = input.patience - input.waited - margin;
    const milliseconds servable = input.timeLeft - input.run;
    milliseconds wait = std::max(none, std::min(patienceLeft, servable));
    if (!mayOpenWithin(wait, input.closedFor))
        wait = none;
    // Held callers would all be late, and all be sent at the moment of the opening. Those who are told at once come
    // back spread as they came, and are on time if the group is open by then.
    if (input.mayReturn)
        wait = std::min(wait, std::max(none, briefClosure - input.closedFor));
    return { wait, std::max(none, std::min(longestRetryPause(input.timeLeft - wait), servable - wait)) };
}

milliseconds longestRetryPause(milliseconds timeLeft)
{
    return std::max(milliseconds(0), timeLeft) / retryDelayPart;
}

milliseconds callerPatience(milliseconds latencyTarget, milliseconds gapTarget)
{
    return std::max({ minPatience, latencyTarget * patienceTargets, gapTarget * patienceGaps });
}

} // namespace rampgap
