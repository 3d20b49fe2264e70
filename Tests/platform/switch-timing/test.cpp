// How many steps ahead a change of placement takes effect: streams must not stop while the ranks are armed.
#include "policy/groups/switch_timing.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

// For how long the group waits at the held step: it is reached after the remaining part of the pass
// under way, at worst none, and the whole passes between.
milliseconds waitAtHeldStep(std::uint64_t stepsAhead, milliseconds pass, milliseconds arming)
{
    const milliseconds reached = pass * static_cast<std::int64_t>(stepsAhead - 1);
    return std::max(milliseconds(0), arming - reached);
}

switch_timing afterArmings(milliseconds took)
{
    switch_timing timing;
    for (int i = 0; i < 20; ++i)
        timing.recordArming(took);
    return timing;
}

} // namespace

TEST_CASE("no step waits for the ranks to be armed, whether passes are short or long")
{
    for (const milliseconds arming : { milliseconds(40), milliseconds(60), milliseconds(100), milliseconds(200) }) {
        const switch_timing timing = afterArmings(arming);
        for (const milliseconds pass : { milliseconds(45), milliseconds(60), milliseconds(90), milliseconds(140), milliseconds(500) })
            CHECK(waitAtHeldStep(timing.stepsAhead(pass), pass, arming) == milliseconds(0));
    }
}

TEST_CASE("a change does not come later than it must")
{
    CHECK(afterArmings(milliseconds(50)).stepsAhead(milliseconds(140)) == 2);
    CHECK(afterArmings(milliseconds(50)).stepsAhead(milliseconds(60)) == 2);
    CHECK(afterArmings(milliseconds(2'000)).stepsAhead(milliseconds(50)) == 6);
    CHECK(afterArmings(milliseconds(200)).stepsAhead(milliseconds(0)) == 2);
}
