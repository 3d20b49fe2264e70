// Guards against ranks that use different maps in one step, and against groups that cannot step any
// more: messages are lost, delayed, reordered and duplicated, any agent may restart, and two
// coordinators may be active at once.

#include "group_model.h"

#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>

using namespace rampgap;
using namespace rampgap::test;

namespace {

// Applies one random event; `draw(bound)` gives a number below the bound.
template <class Draw>
void anyEvent(group_model& group, std::size_t ranks, Draw draw)
{
    // Mostly one coordinator is active; sometimes an old one resumes or a new one starts.
    const std::size_t coordinator = draw(8) == 0 ? 1 : 0;
    const std::size_t inFlight = group.inFlight().size();
    const std::size_t event = draw(100);
    if (event < 2)
        group.restartAgent(draw(ranks));
    else if (event < 4)
        group.restartCoordinator(coordinator);
    else if (event < 12)
        group.propose(coordinator, draw(10));
    else if (event < 15)
        group.resend(coordinator);
    else if (event < 30)
        group.stepTogether();
    else if (inFlight == 0)
        return;
    else if (event < 32)
        group.lose(draw(inFlight));
    else
        group.deliver(event < 75 ? 0 : draw(inFlight), event % 20 == 0);
}

void randomEvent(group_model& group, std::size_t ranks)
{
    anyEvent(group, ranks, [](std::size_t bound) { return *rc::gen::inRange<std::size_t>(0, bound); });
}

void seededEvent(group_model& group, std::size_t ranks, std::mt19937& random)
{
    anyEvent(group, ranks, [&](std::size_t bound) { return random() % bound; });
}

} // namespace

TEST_CASE("all ranks use one map in every step, and the group steps again after healing")
{
    std::uint64_t commits = 0;
    std::uint64_t steps = 0;
    CHECK(rc::check("one map", [&] {
        const auto ranks = *rc::gen::inRange<std::size_t>(2, 5);
        group_model group(ranks, 2);
        group.send(0, group.coordinator(0).pending());
        for (int i = 0; i < 600; ++i) {
            randomEvent(group, ranks);
            RC_ASSERT(group.sameMaps());
        }
        commits += group.commits();
        steps += group.steps();
        RC_ASSERT(group.settle(0));
        const auto before = group.steps();
        for (int i = 0; i < 10; ++i)
            RC_ASSERT(group.stepTogether());
        RC_ASSERT(group.steps() == before + 10);
    }));
    MESSAGE("steps: " << steps << ", switches committed: " << commits);
    CHECK(commits > 20);
}

TEST_CASE("20,000 schedules of fixed seeds use one map in each step and recover from many points")
{
    constexpr std::uint32_t schedules = 20'000;
    std::uint64_t broken = 0;
    std::uint64_t switches = 0;
    for (std::uint32_t seed = 0; seed < schedules; ++seed) {
        std::mt19937 random(seed);
        const std::size_t ranks = 2 + seed % 2;
        group_model group(ranks, 2);
        group.send(0, group.coordinator(0).pending());
        for (int i = 0; i < 150 && group.sameMaps(); ++i) {
            seededEvent(group, ranks, random);
            if (i % 50 != 49)
                continue;
            group_model healed = group;
            const bool settled = healed.settle(0);
            const auto before = healed.steps();
            for (int step = 0; step < 10; ++step)
                healed.stepTogether();
            broken += settled && healed.sameMaps() && healed.steps() == before + 10 ? 0 : 1;
        }
        broken += group.sameMaps() ? 0 : 1;
        switches += group.commits();
    }
    MESSAGE("switches in force: " << switches);
    CHECK(broken == 0);
    CHECK(switches > 1'000);
}

TEST_CASE("an order is carried out only if the engine's state after it shows it")
{
    const engine_order stage { engine_order_kind::stage, 5, 9 };
    const rank_state none { 7, 1, 2, 0, 0 };
    const rank_state staged { 7, 1, 2, 5, 9 };
    const rank_state committed { 7, 5, 9, 0, 0 };
    CHECK(isCarriedOut(stage, staged));
    CHECK_FALSE(isCarriedOut(stage, none));
    CHECK_FALSE(isCarriedOut(stage, { 7, 1, 2, 5, 11 }));
    CHECK(isCarriedOut({ engine_order_kind::commit, 5, 9 }, committed));
    CHECK_FALSE(isCarriedOut({ engine_order_kind::commit, 5, 9 }, none));
    CHECK(isCarriedOut({ engine_order_kind::abort, 5, 0 }, none));
    CHECK_FALSE(isCarriedOut({ engine_order_kind::abort, 5, 0 }, staged));
}

TEST_CASE("a rank refuses an old fence and orders for an earlier incarnation")
{
    const rank_state idle { 10, 0, 0, 0, 0 };
    map_participant rank(5, idle);
    const auto send = [&](map_message_kind kind, std::uint64_t fence, std::uint64_t incarnation) {
        map_message message;
        message.kind = kind;
        message.fence = { fence, "c" };
        message.incarnation = incarnation;
        message.map = 1;
        message.step = 20;
        return rank.handle(message, idle).answer.kind;
    };
    CHECK((send(map_message_kind::claim, 7, 0) == map_message_kind::state));
    CHECK((send(map_message_kind::claim, 6, 0) == map_message_kind::refused));
    CHECK((send(map_message_kind::prepare, 6, 5) == map_message_kind::refused));
    CHECK((send(map_message_kind::prepare, 8, 5) == map_message_kind::refused));
    CHECK((send(map_message_kind::prepare, 7, 4) == map_message_kind::refused));
    CHECK((send(map_message_kind::prepare, 7, 5) == map_message_kind::prepared));
}

TEST_CASE("a rank refuses a switch at a step that is too near, and a late order for a map that is decided")
{
    const rank_state idle { 10, 0, 0, 0, 0 };
    map_participant rank(5, idle);
    const auto send = [&](map_message_kind kind, step_number step, const rank_state& state) {
        map_message message;
        message.kind = kind;
        message.fence = { 7, "c" };
        message.incarnation = 5;
        message.map = 1;
        message.step = step;
        return rank.handle(message, state).answer.kind;
    };
    CHECK((send(map_message_kind::claim, 0, idle) == map_message_kind::state));
    CHECK((send(map_message_kind::prepare, 11, idle) == map_message_kind::refused));
    CHECK((send(map_message_kind::prepare, 12, idle) == map_message_kind::prepared));
    CHECK((send(map_message_kind::abort, 12, { 10, 0, 0, 1, 12 }) == map_message_kind::aborted));
    CHECK((send(map_message_kind::prepare, 12, idle) == map_message_kind::refused));
}

TEST_CASE("a coordinator ignores answers for another map")
{
    map_coordinator coordinator("c", 2);
    coordinator.claim();
    const auto answer = [&](std::size_t rank, map_message_kind kind, map_id map) {
        map_message message;
        message.kind = kind;
        message.fence = { 1, "c" };
        message.incarnation = 5;
        message.map = map;
        coordinator.handleAnswer(rank, message);
    };
    for (const auto kind : { map_message_kind::state, map_message_kind::confirmed }) {
        answer(0, kind, 0);
        answer(1, kind, 0);
    }
    REQUIRE((coordinator.phase() == coordinator_phase::idle));
    for (map_id map = 1; map <= 2; ++map) {
        coordinator.propose(100 * map);
        answer(0, map_message_kind::prepared, map);
        // A late answer of the first switch arrives again during the second.
        answer(1, map_message_kind::prepared, 1);
        if (map == 2)
            break;
        answer(0, map_message_kind::committed, map);
        answer(1, map_message_kind::committed, map);
    }
    CHECK((coordinator.phase() == coordinator_phase::preparing));
}

TEST_CASE("without faults no step is delayed")
{
    group_model group(4, 1);
    REQUIRE(group.settle(0));
    for (int i = 0; i < 50; ++i) {
        group.propose(0, 4);
        // Prepare, answer and commit all arrive before step 4.
        while (!group.inFlight().empty())
            group.deliver(0, false);
        for (int step = 0; step < 6; ++step)
            CHECK(group.stepTogether());
    }
    CHECK(group.commits() == 50);
    CHECK(group.waited() == 0);
}
