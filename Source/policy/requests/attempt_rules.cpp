#include "policy/requests/attempt_rules.h"

namespace rampgap {

namespace {

    // Maximum number of servers to which one request is sent, including refusals and failed connections:
    // a few of the listed servers may be gone, but not all.
    constexpr std::size_t maxServersTried = 8;
    // Longer than the bound in the settings after which a group counts as stalled, and short enough for
    // callers, who leave after a gap of two seconds.
    constexpr milliseconds streamSilence { 1'750 };
    // The same where another group could resume the stream. Steps that are delayed by a change of the
    // placement end within half a second, a caller leaves after two seconds, and the first event of a
    // resumed stream takes 0.2 to 0.5 s.
    constexpr milliseconds silenceWithOtherGroup { 900 };

} // namespace

bool mayAttemptAgain(const further_attempt_input& input)
{
    if (input.ran != verdict::not_run && !input.repeatable)
        return false;
    // A plain answer that has begun cannot be revoked; a stream can be resumed after its last event.
    if (input.answerBegun && !input.resumable)
        return false;
    return input.possibleRuns < input.maxAttempts && input.serversTried < maxServersTried;
}

milliseconds streamSilenceLimit(bool openElsewhere)
{
    return openElsewhere ? silenceWithOtherGroup : streamSilence;
}

} // namespace rampgap
