#include "policy/requests/admission_wait.h"

#include "policy/groups/group_wait.h"
#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // A call with at least so many tenths of the route's time left counts as a first call.
    constexpr int firstCallTenths = 9;
    // Shortest pause, as a fraction of the longest one that a caller accepts.
    constexpr double minPauseFraction = 0.5;
    // Slots become free at random moments, at an entry VM few within a caller's target, so that their number varies
    // by about its square root. With a smaller margin many are refused who would have been on time.
    constexpr double refusalDeviations = 2;

} // namespace

milliseconds expectedFirstEvent(const first_event_times& times, milliseconds openFor, milliseconds patience)
{
    const milliseconds expected = openFor < openingTime ? std::max(times.mean, times.meanAfterOpening) : times.mean;
    return std::min(expected, patience / 2);
}

admission_wait planAdmissionWait(const admission_wait_input& input)
{
    constexpr milliseconds none { 0 };
    admission_wait wait;
    if (input.firstTime)
        wait.timely = std::max(none, input.latencyTarget - input.firstEvent - input.waited);
    const milliseconds patienceLeft = input.patience - input.waited;
    // An answer that the deadline would cut off must not take the slot of one that can finish.
    // A caller that leaves before its first event must not take the slot of one that gets it.
    const milliseconds longest = std::min(input.timeLeft - input.run, patienceLeft - std::max(input.firstEvent, input.slowFirstEvent));
    wait.timely = std::min(wait.timely, std::max(none, longest));
    wait.late = std::max(none, longest - wait.timely);
    return wait;
}

std::vector<admission_stage> planAdmission(const admission_wait_input& input)
{
    if (input.begun)
        return { { resumedStreamPriority, std::min(input.timeLeft, resumeWait) } };
    // With a slot free no wait has to be predicted, and only requests that are sent show how long the
    // first event takes now.
    if (input.slotsFree)
        return { { timelyPriority, input.timeLeft } };
    const admission_wait wait = planAdmissionWait(input);
    std::vector<admission_stage> stages;
    if (wait.timely > milliseconds(0))
        stages.push_back({ timelyPriority, wait.timely });
    stages.push_back({ input.firstTime ? latePriority : lastChancePriority, wait.late });
    return stages;
}

milliseconds predictSlotWait(const slot_forecast& forecast)
{
    const double startsPerSlot = forecast.queue.startsUntil / std::max(1, forecast.slots);
    return milliseconds(static_cast<std::int64_t>(startsPerSlot * static_cast<double>(forecast.run.count())));
}

// Load pattern: for some seconds more callers than slots. They would wait until their patience ends, be refused
// all the same and come back with little time left.
bool shouldReturnLater(const admission_wait_input& input, const slot_forecast& forecast)
{
    if (input.begun || input.slotsFree || !input.firstTime || input.latencyTarget <= milliseconds(0))
        return false;
    // The next slot that becomes free would be its own, and could stay empty if it were refused.
    if (forecast.queue.ahead == 0)
        return false;
    const double runMs = std::max(1.0, static_cast<double>(forecast.run.count()));
    const double startsInTime = static_cast<double>(planAdmissionWait(input).timely.count()) * std::max(1, forecast.slots) / runMs;
    return forecast.queue.startsUntil > startsInTime + refusalDeviations * std::sqrt(startsInTime);
}

bool isFirstCall(milliseconds timeLeftAtFirst, milliseconds fullTime)
{
    return timeLeftAtFirst >= fullTime * firstCallTenths / 10;
}

milliseconds backlogRetryDelay(milliseconds timeLeft, double draw)
{
    const auto longest = static_cast<double>(longestRetryPause(timeLeft).count());
    return milliseconds(static_cast<std::int64_t>(longest * (minPauseFraction + (1 - minPauseFraction) * draw)));
}

} // namespace rampgap
