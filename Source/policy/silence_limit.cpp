#include "policy/silence_limit.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Of what is usual with its deviations: an engine that is merely busy has answered by then.
    constexpr int overdueFactor = 2;
    // On a day without lost answers 250 tries were given up in the seconds after an opening and
    // during a cut, when 0.7 of the places and more were taken.
    constexpr double mostBusy = 0.6;
    // Kept for the refusal or the first event to reach the caller.
    constexpr milliseconds callerMargin { 120 };

} // namespace

std::optional<milliseconds> firstEventLimit(const first_event_question& question)
{
    if (question.busyPart > mostBusy)
        return std::nullopt;
    const milliseconds inTime = question.latencyTarget - question.waited - question.usual;
    if (inTime >= question.usual)
        return inTime;
    const milliseconds limit = std::max(question.usual * overdueFactor, question.latencyTarget);
    const milliseconds latest = question.patience - question.waited - question.usual - callerMargin;
    if (limit > latest)
        return std::nullopt;
    return limit;
}

} // namespace rampgap
