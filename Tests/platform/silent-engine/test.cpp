// Load patterns: some answers are lost without a connection reset, or all engines become slow at once.
#include "policy/requests/delay_estimate.h"
#include "policy/requests/shared_retry_budget.h"
#include "policy/requests/silence_limit.h"

#include <doctest/doctest.h>
#include <random>

using namespace rampgap;

namespace {

const instant zero {};
constexpr milliseconds target { 500 };
constexpr milliseconds patience { 2'000 };
constexpr milliseconds never { 1'000'000 };

struct outcome {
    int requests = 0;
    // Callers that got their first event before they gave up, and those that got it within the target.
    int served = 0;
    int inTime = 0;
    int secondAttempts = 0;
};

// One entry VM with 7 requests per second for `length`; `firstEvent` draws the time to the first event of one attempt.
template <typename Draw>
outcome replay(milliseconds length, Draw&& firstEvent)
{
    outcome seen;
    delay_estimate typicalDelay(milliseconds(200));
    shared_retry_budget budget({ 0.2, 234, milliseconds(10'000), 0.8 }, zero - milliseconds(20'000));
    budget.setSharingProcesses(42);
    for (instant now = zero; now < zero + length; now += milliseconds(143)) {
        ++seen.requests;
        budget.recordRequest("model", now);
        const milliseconds first = firstEvent(now);
        const auto limit = firstEventLimit({ typicalDelay.value(), target, patience, milliseconds(0) });
        if (!limit || first <= *limit || !budget.allowsRetry("model", now)) {
            seen.served += first <= patience ? 1 : 0;
            seen.inTime += first <= target ? 1 : 0;
            if (first <= patience)
                typicalDelay.observe(first);
            continue;
        }
        budget.tryConsume("model", now);
        ++seen.secondAttempts;
        const milliseconds second = firstEvent(now);
        if (second != never)
            typicalDelay.observe(second);
        seen.served += *limit + second <= patience ? 1 : 0;
        seen.inTime += *limit + second <= target ? 1 : 0;
    }
    return seen;
}

} // namespace

TEST_CASE("one in ten answers is lost: nearly all callers are served by a second attempt")
{
    std::mt19937_64 random { 3 };
    const auto seen = replay(milliseconds(10'000), [&random](instant) {
        if (std::bernoulli_distribution(0.1)(random))
            return never;
        return milliseconds(std::uniform_int_distribution<int>(170, 300)(random));
    });
    CHECK(seen.served >= seen.requests * 97 / 100);
    CHECK(seen.secondAttempts <= seen.requests * 15 / 100);
}

TEST_CASE("where first events come early enough a second attempt is still on time")
{
    std::mt19937_64 random { 5 };
    const auto seen = replay(milliseconds(60'000), [&random](instant) {
        if (std::bernoulli_distribution(0.1)(random))
            return never;
        return milliseconds(std::uniform_int_distribution<int>(150, 220)(random));
    });
    // With a limit of twice the typical delay it would be 88 in 100.
    CHECK(seen.inTime >= seen.requests * 96 / 100);
    CHECK(seen.secondAttempts <= seen.requests * 15 / 100);
}

TEST_CASE("all engines become twice as slow: second attempts stop once that is known")
{
    std::mt19937_64 random { 6 };
    const auto seen = replay(milliseconds(20'000), [&random](instant now) {
        const int factor = now - zero < milliseconds(5'000) ? 1 : 2;
        return milliseconds(factor * std::uniform_int_distribution<int>(150, 220)(random));
    });
    CHECK(seen.secondAttempts <= seen.requests / 10);
    CHECK(seen.served == seen.requests);
}

TEST_CASE("all engines become six times slower: no storm of second attempts")
{
    std::mt19937_64 random { 4 };
    const auto seen = replay(milliseconds(20'000), [&random](instant now) {
        const int factor = now - zero < milliseconds(5'000) ? 1 : 6;
        return milliseconds(factor * std::uniform_int_distribution<int>(170, 300)(random));
    });
    // The estimate has adapted after a few observations.
    CHECK(seen.secondAttempts <= seen.requests / 10);
    CHECK(seen.served >= seen.requests * 9 / 10);
}

TEST_CASE("no second attempt that could not reach the caller in time")
{
    CHECK(firstEventLimit({ milliseconds(280), target, patience, milliseconds(0) }) == milliseconds(560));
    CHECK(firstEventLimit({ milliseconds(240), target, patience, milliseconds(0) }) == milliseconds(260));
    // A request that has waited has no time left for a second attempt on time.
    CHECK(firstEventLimit({ milliseconds(240), target, patience, milliseconds(100) }) == target);
    // No second attempt where it would only wait for a slot again.
    CHECK_FALSE(firstEventLimit({ milliseconds(240), target, patience, milliseconds(0), 0.7 }));
    CHECK(firstEventLimit({ milliseconds(240), target, patience, milliseconds(0), 0.5 }));
    CHECK_FALSE(firstEventLimit({ milliseconds(700), target, patience, milliseconds(0) }));
    CHECK_FALSE(firstEventLimit({ milliseconds(280), target, patience, milliseconds(1'200) }));
}
