// Retries: only where they are safe, and always bounded.

#include "policy/requests/retry_policy.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

const instant start = instant() + std::chrono::hours(1);

} // namespace

TEST_CASE("a request that may have run and is not repeatable is never retried")
{
    CHECK(rc::check("safe retries", [] {
        retry_budget budget(100);
        retry_input question;
        question.last.ran = *rc::gen::element(verdict::not_run, verdict::may_have_run, verdict::ran);
        question.last.reason = static_cast<failure_reason>(*rc::gen::inRange(0, 20));
        question.repeatable = *rc::gen::arbitrary<bool>();
        question.answerStarted = *rc::gen::arbitrary<bool>();
        question.otherBackendLeft = *rc::gen::arbitrary<bool>();
        question.attemptsMade = *rc::gen::inRange(1, 6);
        question.now = start;
        question.deadline = start + milliseconds(*rc::gen::inRange(-10, 10));
        if (!mayRetry(question, budget))
            return;
        RC_ASSERT(question.repeatable || question.last.ran == verdict::not_run);
        RC_ASSERT(!question.answerStarted);
        RC_ASSERT(question.otherBackendLeft);
        RC_ASSERT(question.attemptsMade < maxRequestAttempts);
        RC_ASSERT(question.now < question.deadline);
    }));
}

TEST_CASE("under a full outage the budget bounds the attempts to 1.1 times the requests")
{
    retry_budget budget(10);
    constexpr int requests = 10'000;
    int attempts = 0;
    for (int i = 0; i < requests; ++i) {
        budget.recordRequest();
        retry_input question { notRun(failure_reason::connection_lost, ""), true, false, true, 1, start + milliseconds(100), start };
        ++attempts;
        while (mayRetry(question, budget)) {
            ++attempts;
            ++question.attemptsMade;
        }
    }
    CHECK(attempts > requests);
    CHECK(attempts <= requests * 11 / 10 + 3);
}
