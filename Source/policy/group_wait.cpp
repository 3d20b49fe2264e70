#include "policy/group_wait.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Cuts and crashes of the users' list last about 5.5 s. The ranks stall for the first
    // 1.5 s of it before they close, and a group forms in 0.6 s.
    constexpr milliseconds usualClosure { 4'600 };
    // An opened group is slow until its first placement follows popularity, and those who
    // could not come back wait for it too: who comes back by then is served late.
    constexpr milliseconds settleTime { 600 };
    // A longer outage is looked at again this often.
    constexpr milliseconds leastRemaining { 400 };
    // Callers keep to a pause of up to a third of the time that they have left.
    constexpr int pausePart = 3;
    // Kept for the refusal to reach a caller that is about to give up: several round trips
    // to callers, and the turn of a busy process.
    constexpr milliseconds patienceMargin { 120 };
    constexpr milliseconds leastPatience { 2'000 };
    constexpr int patienceTargets = 4;
    constexpr int patienceGaps = 8;

    milliseconds spread(milliseconds from, milliseconds to, double draw)
    {
        return from + milliseconds(static_cast<std::int64_t>(draw * static_cast<double>((to - from).count())));
    }

} // namespace

group_wait_decision decideGroupWait(const group_wait_question& question)
{
    const milliseconds remaining = std::max(leastRemaining, usualClosure - question.closedFor);
    const milliseconds longest = longestPause(question.timeLeft);
    if (question.firstTime && remaining <= longest)
        return { milliseconds(0), spread(std::min(longest, remaining + settleTime), longest, question.draw) };
    const milliseconds patienceLeft = question.patience - question.waited - patienceMargin;
    const milliseconds wait = std::max(milliseconds(0), std::min(patienceLeft, question.timeLeft - patienceMargin));
    return { wait, std::min(longestPause(question.timeLeft - wait), std::max(leastRemaining, remaining - wait)) };
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
