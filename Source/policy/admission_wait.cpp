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
    // An answer that would be cut by the deadline takes the place of one that would not.
    const milliseconds longest = std::min(question.timeLeft - question.run, patienceLeft - question.firstEvent);
    wait.timely = std::min(wait.timely, std::max(none, longest));
    wait.late = std::max(none, longest - wait.timely);
    return wait;
}

} // namespace rampgap
