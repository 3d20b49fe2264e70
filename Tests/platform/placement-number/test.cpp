// Guards against two placements of one epoch with the same number, and two changes with one fence, also when leaders do not know of
// each other, restart, or have a clock that went back.
#include "policy/groups/change_numbers.h"
#include "policy/groups/group_monitor.h"
#include "policy/groups/placement_number.h"

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
            RC_ASSERT(numbers.insert(change_numbers().nextPlacement(rank, 0, now)).second);
            // The same leader after a restart, which takes longer than a millisecond.
            RC_ASSERT(numbers.insert(change_numbers().nextPlacement(rank, 0, now + 1)).second);
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
    CHECK(change_numbers().nextPlacement(5, monitor.highestPlacement(), 10) > 1'000'000);
}

TEST_CASE("a leader whose clock is behind gives each of its changes another number, also before any rank has shown the last one")
{
    change_numbers numbers;
    constexpr std::uint64_t highest = 1'000'000;
    const auto first = numbers.nextPlacement(5, highest, 10);
    CHECK(numbers.nextPlacement(5, highest, 10) > first);
}

TEST_CASE("no two leaders give a change the same fence, in the same millisecond either, nor one that a cancelled change uses")
{
    CHECK(rc::check([] {
        const auto now = *rc::gen::inRange<std::uint64_t>(1'700'000'000'000, 1'900'000'000'000);
        std::set<std::uint64_t> fences;
        for (std::uint32_t rank = 0; rank < 63; ++rank) {
            change_numbers numbers;
            for (const std::uint64_t at : { now, now, now - 1 }) {
                const auto fence = numbers.nextFence(rank, at);
                RC_ASSERT(fences.insert(fence).second);
                RC_ASSERT(fences.insert(fence + 1).second);
            }
        }
    }));
}

TEST_CASE("the fence of a later change is higher, whichever leader's it is, and JSON carries it exactly")
{
    constexpr std::uint64_t now = 1'900'000'000'000;
    constexpr std::uint64_t exact = std::uint64_t { 1 } << 53U;
    CHECK(change_numbers().nextFence(0, now + 1) > change_numbers().nextFence(leadersPerNumber - 1, now) + 1);
    CHECK(change_numbers().nextFence(leadersPerNumber - 1, now) < exact);
}

TEST_CASE("a leader whose clock is behind is not refused by ranks that have seen its predecessor's fence")
{
    constexpr std::uint64_t now = 1'800'000'000'000;
    const auto earlier = change_numbers().nextFence(7, now + 5'000);
    change_numbers numbers;
    numbers.recordFence(earlier + 1);
    CHECK(numbers.nextFence(3, now) > earlier + 1);
}

TEST_CASE("a fence that no leader makes, as from a damaged message, does not raise this leader's own beyond what can be counted")
{
    constexpr std::uint64_t now = 1'800'000'000'000;
    change_numbers numbers;
    numbers.recordFence(~std::uint64_t { 0 });
    const auto fence = numbers.nextFence(3, now);
    CHECK(fence == change_numbers().nextFence(3, now));
    CHECK(numbers.nextFence(3, now) > fence);
}
