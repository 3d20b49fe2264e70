#include "policy/try_rules.h"

namespace rampgap {

namespace {

    // Servers that one request is offered to at the most, refusals and failed connections
    // counted: of the servers listed a few may be gone, not all.
    constexpr std::size_t mostTries = 8;
    // A stream whose engine is silent for longer than a stalled group's bound (settings) and
    // this is taken elsewhere; callers leave after a gap of two seconds.
    constexpr milliseconds streamSilence { 1'750 };
    // The same where another group could go on with the stream. Steps held by a change of the
    // placement end within half a second; a caller leaves after two, and the first event of a
    // resumed stream takes 0.2 to 0.5 s.
    constexpr milliseconds silenceOfOneGroup { 900 };

} // namespace

bool mayTryAgain(const another_try_question& question)
{
    if (question.ran != verdict::not_run && !question.repeatable)
        return false;
    // A plain answer that has begun cannot be taken back; a stream goes on after its last event.
    if (question.begun && !question.resumable)
        return false;
    return question.runs < question.maxAttempts && question.tried < mostTries;
}

milliseconds streamSilenceLimit(bool openElsewhere)
{
    return openElsewhere ? silenceOfOneGroup : streamSilence;
}

} // namespace rampgap
