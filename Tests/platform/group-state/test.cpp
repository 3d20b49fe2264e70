// Guards against wrong states of expert groups: updates arrive in any order, confirmations stop, and
// reports may be from an earlier incarnation or epoch.
#include "policy/groups/expert_choice_counter.h"
#include "policy/groups/group_directory.h"
#include "policy/groups/group_monitor.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

const instant zero {};
constexpr milliseconds lifetime { 1'500 };
// Hash of an engine whose group is not known.
constexpr std::uint32_t engine = 7;

group_update update(std::uint64_t epoch, bool open)
{
    return { { "model", "g" }, { epoch, open } };
}

rank_view viewOf(std::uint32_t rank, std::uint64_t epoch = 1)
{
    rank_view view;
    view.group = "g";
    view.epoch = epoch;
    view.rank = rank;
    view.open = true;
    view.groupSize = 2;
    return view;
}

} // namespace

TEST_CASE("the order in which updates arrive makes no difference")
{
    CHECK(rc::check([] {
        std::vector<group_update> all { update(1, true), update(1, false), update(2, true), update(2, false), update(3, true) };
        const auto order = *rc::gen::container<std::vector<std::size_t>>(12, rc::gen::inRange<std::size_t>(0, all.size()));
        group_directory board(lifetime);
        std::size_t latest = 0;
        for (const auto index : order) {
            board.mergeUpdate(all[index], milliseconds(0), zero);
            latest = std::max(latest, index);
        }
        RC_ASSERT(board.closed("model", zero) == !all[latest].phase.open);
    }));
}

TEST_CASE("a closed group that is not confirmed no longer counts as closed")
{
    group_directory board(lifetime);
    board.mergeUpdate(update(1, false), milliseconds(0), zero);
    CHECK(board.closed("model", zero + lifetime - milliseconds(1)));
    CHECK_FALSE(board.closed("model", zero + lifetime));
    CHECK_FALSE(board.closed("other", zero));
}

TEST_CASE("a service with one open group is open")
{
    group_directory board(lifetime);
    board.mergeUpdate(update(1, false), milliseconds(0), zero);
    board.mergeUpdate({ { "model", "h" }, { 1, true } }, milliseconds(0), zero);
    CHECK_FALSE(board.closed("model", zero));
}

TEST_CASE("ranks that are armed without a hold are left as they are, a stray hold is cleaned up")
{
    monitor_settings settings;
    settings.demand.layerSets = 1;
    settings.demand.experts = 2;
    group_monitor monitor(settings);
    auto armed = viewOf(0);
    armed.armedPlacement = 9;
    armed.armedStep = 50;
    monitor.observe({ "a", armed, {} }, zero);
    monitor.observe({ "b", viewOf(1), {} }, zero);
    CHECK((monitor.decide(zero) == leader_task::none));
    CHECK((monitor.decide(zero + milliseconds(700)) == leader_task::none));
    auto held = viewOf(1);
    held.heldStep = 50;
    monitor.observe({ "b", held, {} }, zero + milliseconds(700));
    CHECK((monitor.decide(zero + milliseconds(700)) == leader_task::none));
    CHECK((monitor.decide(zero + milliseconds(700) + settings.strayHoldTimeout) == leader_task::clean_up));
}

TEST_CASE("a hold at a rank that was never observed before is cleaned up")
{
    group_monitor monitor(monitor_settings {});
    monitor.observe({ "a", viewOf(0), {} }, zero);
    CHECK((monitor.decide(zero) == leader_task::none));
    auto held = viewOf(1);
    held.heldStep = 50;
    monitor.observe({ "frozen", held, {} }, zero);
    CHECK((monitor.decide(zero + monitor_settings {}.strayHoldTimeout) == leader_task::none));
    CHECK((monitor.decide(zero + monitor_settings {}.strayHoldTimeout * 2) == leader_task::clean_up));
}

TEST_CASE("a new epoch starts from placement 0")
{
    monitor_settings settings;
    settings.demand.layerSets = 1;
    settings.demand.experts = 2;
    settings.demand.leastChoices = 1;
    group_monitor monitor(settings);
    for (std::uint32_t rank = 0; rank < 2; ++rank) {
        auto view = viewOf(rank);
        view.placementInUse = 300;
        monitor.observe({ std::to_string(rank), view, { 5, 5 } }, zero);
    }
    CHECK((monitor.decide(zero) == leader_task::query_placement));
    monitor.setPlacement(300, initialPlacement(1, 2, 2));
    CHECK((monitor.decide(zero) == leader_task::none));
    for (std::uint32_t rank = 0; rank < 2; ++rank)
        monitor.observe({ std::to_string(rank), viewOf(rank, 2), { 5, 5 } }, zero);
    CHECK((monitor.decide(zero) == leader_task::query_placement));
    CHECK(monitor.placementInUse() == 0);
}

TEST_CASE("a refusal by an engine with free slots closes its group until a later update shows it open")
{
    group_directory board(milliseconds(1'500));
    const instant start {};
    CHECK(!board.closed("drafts", start));
    board.recordRefusal("drafts", engine, start);
    CHECK(board.closed("drafts", start));
    CHECK(board.closedFor("drafts", start + milliseconds(100)) == milliseconds(100));
    CHECK(!board.closed("letters", start));
    // An update from before the refusal does not end the suspicion; a later one does.
    board.mergeUpdate({ { "drafts", "g" }, { 1, true } }, milliseconds(50), start + milliseconds(20));
    CHECK(board.closed("drafts", start + milliseconds(20)));
    board.mergeUpdate({ { "drafts", "g" }, { 1, true } }, milliseconds(5), start + milliseconds(100));
    CHECK(!board.closed("drafts", start + milliseconds(100)));
}

TEST_CASE("a suspicion that is not confirmed expires")
{
    group_directory board(milliseconds(1'500));
    const instant start {};
    board.recordRefusal("drafts", engine, start);
    board.recordRefusal("drafts", engine, start + milliseconds(400));
    CHECK(board.closed("drafts", start + milliseconds(900)));
    CHECK(board.closedFor("drafts", start + milliseconds(900)) == milliseconds(900));
    CHECK(!board.closed("drafts", start + milliseconds(1'000)));
}

TEST_CASE("continued counts give the difference, counts that decreased have started again")
{
    expert_choice_counter counter;
    CHECK(counter.countSinceLast({ 5, 7 }, 1).empty());
    CHECK(counter.countSinceLast({ 6, 9 }, 1) == std::vector<std::uint64_t> { 1, 2 });
    CHECK(counter.countSinceLast({ 3, 10 }, 1) == std::vector<std::uint64_t> { 3, 10 });
    CHECK(counter.countSinceLast({ 3, 10, 4 }, 1).empty());
    // Another incarnation whose counts are already higher than the last ones of the one before.
    CHECK(counter.countSinceLast({ 30, 20, 40 }, 2) == std::vector<std::uint64_t> { 30, 20, 40 });
}

TEST_CASE("a group that opens again is planned with the popularity from before it closed")
{
    monitor_settings settings;
    settings.demand.layerSets = 1;
    settings.demand.experts = 4;
    settings.demand.leastChoices = 1'000;
    settings.limits.slotsPerRank = 3;
    group_monitor monitor(settings);
    const auto observeAll = [&](std::uint64_t epoch, std::vector<std::uint64_t> choices, instant now) {
        monitor.observe({ "a", viewOf(0, epoch), choices }, now);
        monitor.observe({ "b", viewOf(1, epoch), choices }, now);
    };
    // Placement 0 assigns experts 0 and 2 to the first rank: expert 0 is most of the work.
    observeAll(1, { 9'000, 100, 100, 100 }, zero);
    REQUIRE((monitor.decide(zero) == leader_task::query_placement));
    // Closed for six seconds with unchanged counts, then open in a new epoch.
    const instant later = zero + milliseconds(6'000);
    observeAll(2, { 0, 0, 0, 0 }, later);
    REQUIRE((monitor.decide(later) == leader_task::query_placement));
    monitor.setPlacement(0, initialPlacement(1, 4, 2));
    CHECK((monitor.decide(later) == leader_task::change_placement));
}

TEST_CASE("the first few choices after a closure do not replace the popularity from before it")
{
    monitor_settings settings;
    settings.demand.layerSets = 1;
    settings.demand.experts = 4;
    settings.demand.leastChoices = 1'000;
    settings.limits.slotsPerRank = 3;
    group_monitor monitor(settings);
    const instant later = zero + milliseconds(6'000);
    for (const std::uint32_t rank : { 0U, 1U })
        monitor.observe({ "x", viewOf(rank, 1), { 9'000, 100, 100, 100 } }, zero);
    for (const std::uint32_t rank : { 0U, 1U })
        monitor.observe({ "x", viewOf(rank, 2), { 1, 1, 1, 1 } }, later);
    monitor.setPlacement(0, initialPlacement(1, 4, 2));
    CHECK((monitor.decide(later) == leader_task::change_placement));
}

TEST_CASE("a refusal in one of several groups does not close the others")
{
    group_directory board(milliseconds(1'500));
    board.mergeUpdate({ { "model", "whole" }, { 1, true } }, milliseconds(0), zero);
    // 301 engines in groups of 63: the last group lacks ranks and never opens.
    board.mergeUpdate({ { "model", "short" }, { 0, false } }, milliseconds(0), zero);
    board.recordRefusal("model", engine, zero + milliseconds(10));
    CHECK_FALSE(board.closed("model", zero + milliseconds(10)));
}

TEST_CASE("a late view of an engine's earlier incarnation does not replace the present one")
{
    group_monitor monitor(monitor_settings {});
    rank_view present = viewOf(0);
    present.incarnation = 2;
    present.orders = 1;
    monitor.observe({ "a", present, {} }, zero);
    rank_view earlier = viewOf(0);
    earlier.incarnation = 1;
    earlier.orders = 40;
    earlier.preparedPlacement = 9;
    earlier.fresh = false;
    monitor.observe({ "a", earlier, {} }, zero + milliseconds(100));
    CHECK(monitor.view(0) == present);
    // A view of another incarnation replaces the present one if that has expired, or if it comes from the
    // engine's own machine.
    monitor.observe({ "a", earlier, {} }, zero + milliseconds(900));
    CHECK(monitor.view(0) == earlier);
    present.incarnation = 3;
    monitor.observe({ "a", present, {} }, zero + milliseconds(950));
    CHECK(monitor.view(0) == present);
}

TEST_CASE("a group is known from its first update until it is forgotten")
{
    group_directory board(lifetime);
    CHECK_FALSE(board.hasGroups("model", zero));
    board.mergeUpdate(update(1, false), milliseconds(0), zero);
    CHECK(board.hasGroups("model", zero));
    CHECK_FALSE(board.hasGroups("other", zero));
    CHECK_FALSE(board.hasGroups("model", zero + milliseconds(20'000)));
}

TEST_CASE("a closing stays known once the group has opened again, and an opening is none")
{
    // Streams that their servers had broken off in a closing that was over, or that nobody had heard of, ended as complete.
    const instant closedAt = zero + milliseconds(100);
    group_directory board(lifetime);
    board.recordMember(engine, { "model", "g" });
    board.mergeUpdate(update(1, true), milliseconds(0), zero);
    CHECK_FALSE(board.lastClosing("model", engine));
    board.mergeUpdate(update(1, false), milliseconds(20), closedAt + milliseconds(20));
    board.mergeUpdate(update(2, true), milliseconds(0), closedAt + milliseconds(300));
    CHECK(board.lastClosing("model", engine) == closedAt);
    // The news of a closing were lost: the next epoch shows it.
    const instant again = closedAt + milliseconds(900);
    board.mergeUpdate(update(3, true), milliseconds(0), again);
    CHECK(board.lastClosing("model", engine) == again);
    // A server whose group is not known may be in any of the service's.
    CHECK(board.lastClosing("model", engine + 1) == again);
    CHECK_FALSE(board.lastClosing("other", engine));
}
