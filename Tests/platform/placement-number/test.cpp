// Two placements of one epoch never share a number, whoever led when.
#include "policy/group_monitor.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace rampgap;

TEST_CASE("leaders that know of no other, at any time, choose different numbers")
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

TEST_CASE("a number is above all that a rank has shown, also if the time of day went back")
{
    group_monitor monitor { monitor_settings {} };
    rank_view view;
    view.groupSize = 1;
    view.open = true;
    view.preparedPlacement = 1'000'000;
    monitor.observe({ "a", view, {} }, instant {});
    CHECK(monitor.nextPlacement(5, 10) > 1'000'000);
}
