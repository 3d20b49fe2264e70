// When a request may be sent to another server.
#include "policy/requests/attempt_rules.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

TEST_CASE("a request that may have run is sent again only if it may run twice")
{
    CHECK(rc::check([] {
        further_attempt_input question;
        question.ran = *rc::gen::element(verdict::not_run, verdict::may_have_run, verdict::ran);
        question.repeatable = *rc::gen::arbitrary<bool>();
        question.resumable = *rc::gen::arbitrary<bool>();
        question.maxAttempts = *rc::gen::inRange(1, 4);
        question.possibleRuns = *rc::gen::inRange(0, 5);
        question.serversTried = *rc::gen::inRange<std::size_t>(0, 12);
        question.answerBegun = *rc::gen::arbitrary<bool>();
        if (!mayAttemptAgain(question))
            return;
        RC_ASSERT(question.ran == verdict::not_run || question.repeatable);
        RC_ASSERT(!question.answerBegun || question.resumable);
        RC_ASSERT(question.possibleRuns < question.maxAttempts);
    }));
    CHECK(mayAttemptAgain({ verdict::not_run, false, false, 1, 0, 1, false }));
    CHECK_FALSE(mayAttemptAgain({ verdict::not_run, false, false, 1, 0, 8, false }));
}

TEST_CASE("a silent stream is resumed elsewhere sooner if another group can resume it")
{
    CHECK(streamSilenceLimit(true) < streamSilenceLimit(false));
    // The first event of the resumed stream must still reach a caller that leaves after two seconds.
    CHECK(streamSilenceLimit(true) + milliseconds(1'000) <= milliseconds(2'000));
}
