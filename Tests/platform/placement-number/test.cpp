// Guards against two placements of one epoch with the same number, also when leaders do not know of
// each other, restart, or have a clock that went back.
#include "policy/groups/group_monitor.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace rampgap;

TEST_CASE("leaders that do not know of each other choose different numbers, also in the same millisecond")
{
    CHECK(rc::check([] {
        const auto now = *rc::gen::inRange<std::uint64_t>(1'700'000'000'000, 1'900'000'000'000);
        std::set<std::uint64_t> numbers;
        for (std::uint32_t rank = 0; rank < 63; ++rank) {
            const group_monitor monitor { monitor_settings {} };
            RC_ASSERT(numbers.insert(monitor.nextPlacement(rank, now)).second);
            // The same leader after a restart, which takes longer than a millisecond.
            RC_ASSERT(numbers.insert(monitor.nextPlacement(rank, now + 1)).second);
        }
    }));
}

TEST_CASE("a new number is above all reported ones, also if the wall clock went back")
{
    group_monitor monitor { monitor_settings {} };
    rank_view view;
    view.groupSize = 1;
    view.open = true;
    view.preparedPlacement = 1'000'000;
    monitor.observe({ "a", view, {} }, instant {});
    CHECK(monitor.nextPlacement(5, 10) > 1'000'000);
}
