// Permits and pauses: requests that an entry VM sends after it was paused, with an old permit, are refused.

#include "policy/membership/pause_detector.h"
#include "policy/requests/permit_issuer.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

const instant start = instant() + std::chrono::hours(1);

} // namespace

TEST_CASE("a permit is valid for its lifetime on the agent's clock and no longer")
{
    CHECK(rc::check("permit life", [] {
        const permit_issuer issuer(7, start);
        const auto issued = milliseconds(*rc::gen::inRange(0, 1'000'000));
        const auto age = milliseconds(*rc::gen::inRange(0, 10'000));
        const std::string permit = issuer.issue(start + issued);
        RC_ASSERT(issuer.check(permit, start + issued + age).has_value() == (age <= permitLifetime));
    }));
}

TEST_CASE("a permit of another incarnation, of the future, or malformed is refused as not run")
{
    const permit_issuer issuer(7, start);
    CHECK((permit_issuer(8, start).check(issuer.issue(start), start).error().ran == verdict::not_run));
    CHECK(issuer.check(issuer.issue(start + milliseconds(50)), start).has_error());
    CHECK(rc::check("any text", [&](const std::string& text) {
        const auto checked = issuer.check(text, start);
        RC_ASSERT(!checked || text == issuer.issue(start));
    }));
}

TEST_CASE("a gap on either clock is detected once")
{
    const auto wall = std::chrono::system_clock::time_point();
    pause_detector detector(start, wall);
    CHECK_FALSE(detector.check(start + milliseconds(900), wall + milliseconds(900)));
    CHECK(detector.check(start + milliseconds(2'500), wall + milliseconds(2'500)));
    CHECK_FALSE(detector.check(start + milliseconds(2'600), wall + milliseconds(2'600)));
    // The boot clock of a paused VM stopped, and only the wall clock shows the pause.
    CHECK(detector.check(start + milliseconds(2'700), wall + milliseconds(60'000)));
    CHECK(detector.epoch() == 2);
}
