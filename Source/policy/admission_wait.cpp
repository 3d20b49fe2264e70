#include "policy/admission_wait.h"

#include <algorithm>

namespace rampgap {

admission_wait planAdmissionWait(const admission_wait_question& question)
{
    constexpr milliseconds none { 0 };
    admission_wait wait;
    if (question.firstTime)
        wait.timely = std::max(none, question.latencyTarget - question.firstEvent - question.waited);
    const milliseconds patienceLeft = question.patience - question.waited;
    const milliseconds longest = std::min(question.timeLeft, patienceLeft) - question.firstEvent;
    wait.timely = std::min(wait.timely, std::max(none, longest));
    wait.late = std::max(none, longest - wait.timely);
    return wait;
}

} // namespace rampgap
