// An agent passes on to its engine no more than the engine's current incarnation asks for.
#include "policy/limits/engine_throttle.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

instant at(int ms) { return instant(std::chrono::hours(1)) + milliseconds(ms); }

} // namespace

TEST_CASE("an engine's limit applies from its first report until a report without it, or until the engine's restart")
{
    engine_throttle intake;
    CHECK(intake.enter("e1", at(0)).has_value());
    intake.recordReportedLimit(2.0, at(0));
    CHECK_FALSE(intake.enter("e1", at(0)).has_value());
    int taken = 0;
    for (int now = 0; now < 10'000; now += 10)
        taken += intake.enter("e1", at(now)).has_value() ? 1 : 0;
    CHECK(taken >= 18);
    CHECK(taken <= 22);
    intake.recordReportedLimit(std::nullopt, at(10'000));
    CHECK(intake.enter("e1", at(10'000)).has_value());
    intake.recordReportedLimit(2.0, at(10'000));
    intake.forget();
    CHECK(intake.enter("e1", at(10'000)).has_value());
}

TEST_CASE("entry VMs that an engine's limit refused are told different times to retry")
{
    engine_throttle intake;
    intake.recordReportedLimit(1.0, at(0));
    milliseconds last { 0 };
    for (const std::string entry : { "e1", "e2", "e3", "e4" }) {
        const auto refused = intake.enter(entry, at(0));
        REQUIRE_FALSE(refused.has_value());
        CHECK((refused.error().reason == failure_reason::server_limit));
        CHECK(refused.error().retryAfter.value() > last);
        last = refused.error().retryAfter.value();
    }
}

TEST_CASE("an engine that accepts nothing gets a request now and then")
{
    engine_throttle intake;
    intake.recordReportedLimit(0.0, at(0));
    int taken = 0;
    for (int now = 0; now < 60'000; now += 100)
        taken += intake.enter("e1", at(now)).has_value() ? 1 : 0;
    CHECK(taken >= 5);
    CHECK(taken <= 7);
}

TEST_CASE("an engine's backoff is not shortened, and ends with the engine's restart")
{
    engine_throttle intake;
    intake.recordBackoff(milliseconds(3'000), at(0));
    intake.recordBackoff(milliseconds(500), at(100));
    const auto refused = intake.enter("e1", at(1'000));
    REQUIRE_FALSE(refused.has_value());
    CHECK((refused.error().reason == failure_reason::server_backoff));
    CHECK((refused.error().retryAfter == milliseconds(2'000)));
    CHECK(intake.enter("e1", at(3'000)).has_value());
    CHECK(intake.recordLeaving());
    CHECK_FALSE(intake.recordLeaving());
    CHECK((intake.enter("e1", at(3'000)).error().reason == failure_reason::leaving));
    intake.forget();
    CHECK(intake.enter("e1", at(3'000)).has_value());
}
