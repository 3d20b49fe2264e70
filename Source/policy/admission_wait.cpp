#include "policy/admission_wait.h"

#include "policy/group_wait.h"
#include <algorithm>

namespace rampgap {

namespace {

    constexpr int firstTimeTenths = 9;
    // Of the longest pause that a caller keeps to.
    constexpr double leastPausePart = 0.5;

} // namespace

admission_wait planAdmissionWait(const admission_wait_question& question)
{
    constexpr milliseconds none { 0 };
    admission_wait wait;
    if (question.firstTime)
        wait.timely = std::max(none, question.latencyTarget - question.firstEvent - question.waited);
    const milliseconds patienceLeft = question.patience - question.waited;
    // An answer that would be cut by the deadline takes the place of one that would not.
    const milliseconds longest = std::min(question.timeLeft - question.run, patienceLeft - question.firstEvent);
    wait.timely = std::min(wait.timely, std::max(none, longest));
    wait.late = std::max(none, longest - wait.timely);
    return wait;
}

std::vector<admission_stage> planAdmission(const admission_wait_question& question)
{
    if (question.begun)
        return { { begunUrgency, std::min(question.timeLeft, resumeWait) } };
    // With a place free nothing has to be predicted; and only what is sent shows how long the
    // first event takes now.
    if (question.placesFree)
        return { { timelyUrgency, question.timeLeft } };
    const admission_wait wait = planAdmissionWait(question);
    std::vector<admission_stage> stages;
    if (wait.timely > milliseconds(0))
        stages.push_back({ timelyUrgency, wait.timely });
    stages.push_back({ question.firstTime ? lateUrgency : lastChanceUrgency, wait.late });
    return stages;
}

bool isFirstCall(milliseconds timeLeftAtFirst, milliseconds fullTime)
{
    return timeLeftAtFirst >= fullTime * firstTimeTenths / 10;
}

milliseconds backlogPause(milliseconds timeLeft, double draw)
{
    const auto longest = static_cast<double>(longestPause(timeLeft).count());
    return milliseconds(static_cast<std::int64_t>(longest * (leastPausePart + (1 - leastPausePart) * draw)));
}

} // namespace rampgap
