// Guards against a clean-up that leaves out a rank which may be armed, and against marks that stay.
#include "cleanup_cases.h"

#include <doctest/doctest.h>

using namespace rampgap;
using namespace rampgap::cleanup_cases;

namespace {

// A clean-up that has claimed all ranks but that of the silent leader, 1: rank 0 seems not to be armed.
hold_cleanup withoutSilentLeader()
{
    const std::uint64_t placement = placementNumber(5, 1);
    hold_cleanup change(1, ranks, fence, 1);
    answer(change, 0, order_reply::already, viewOf(placement, 0, 0));
    answer(change, holder, order_reply::already, viewOf(placement, placement, heldStep));
    answer(change, holder, order_reply::already, viewOf(placement, placement, heldStep));
    return change;
}

} // namespace

TEST_CASE("a silent leader's rank is left out only if a reading that shows this clean-up's mark shows another rank as unarmed")
{
    const std::uint64_t placement = placementNumber(5, 1);
    auto change = withoutSilentLeader();
    REQUIRE((change.phase() == switch_phase::securing));
    const std::uint64_t mark = orderFor(change, 0).step;
    CHECK(mark > heldStep);
    answer(change, 0, order_reply::already, viewOf(placement, 0, 0));
    CHECK((change.phase() == switch_phase::securing));
    SUBCASE("it is")
    {
        answer(change, 0, order_reply::already, viewOf(placement, 0, mark));
        CHECK((change.phase() == switch_phase::disarming));
        CHECK_FALSE(isPending(change, 1));
    }
    SUBCASE("it is armed: the older reading was from before")
    {
        answer(change, 0, order_reply::already, viewOf(placement, placement, mark));
        CHECK((change.phase() == switch_phase::claiming));
        CHECK(isPending(change, 1));
    }
    SUBCASE("it has prepared a newer placement")
    {
        answer(change, 0, order_reply::already, viewOf(newer, 0, mark));
        CHECK((change.phase() == switch_phase::claiming));
    }
    SUBCASE("it holds another step")
    {
        answer(change, 0, order_reply::conflict, viewOf(placement, 0, 0));
        CHECK((change.phase() == switch_phase::claiming));
    }
}

TEST_CASE("JSON carries the step of a mark exactly, for as long as it does the fences")
{
    constexpr std::uint64_t in2100 = 4'102'444'800'000;
    constexpr std::uint64_t exact = std::uint64_t { 1 } << 53U;
    const std::uint64_t placement = placementNumber(5, 1);
    hold_cleanup change(1, ranks, fenceNumber(in2100, 2), 1, { { holder, heldStep } });
    answer(change, 0, order_reply::already, viewOf(placement, 0, 0));
    answer(change, holder, order_reply::already, viewOf(placement, placement, heldStep));
    REQUIRE((change.phase() == switch_phase::securing));
    REQUIRE(orderFor(change, 0).fence < exact);
    CHECK(orderFor(change, 0).step > firstMarkStep);
    CHECK(orderFor(change, 0).step < exact);
}

TEST_CASE("what a marked reading has shown is not undone by an older one")
{
    const std::uint64_t placement = placementNumber(5, 1);
    hold_cleanup change(1, 4, fence, 1, { { holder, heldStep } });
    answer(change, 0, order_reply::already, viewOf(placement, 0, 0));
    answer(change, 3, order_reply::already, viewOf(placement, 0, 0));
    answer(change, holder, order_reply::already, viewOf(placement, placement, heldStep));
    REQUIRE((change.phase() == switch_phase::securing));
    const auto sent = orderFor(change, 0);
    const auto armed = viewOf(placement, placement, sent.step);
    const auto older = viewOf(placement, 0, 0);
    change.handleReply(0, sent, order_reply::already, &armed);
    change.handleReply(0, sent, order_reply::already, &older);
    answer(change, 3, order_reply::already, armed);
    // All marked ranks are armed, so the silent one may be, too.
    CHECK((change.phase() == switch_phase::claiming));
}

TEST_CASE("marks are released: those of this clean-up if its silent rank stays silent, and those that an earlier one has left")
{
    auto change = withoutSilentLeader();
    const std::uint64_t mark = orderFor(change, 0).step;
    answer(change, 0, order_reply::conflict, viewOf(older, 0, 0));
    change.cancel();
    CHECK((orderFor(change, 0).kind == map_order_kind::release));
    CHECK(orderFor(change, 0).step == mark);

    hold_cleanup next(1, ranks, fence + 1);
    for (std::size_t rank = 0; rank < ranks; ++rank)
        answer(next, rank, order_reply::already, viewOf(older, 0, rank == 0 ? mark : 0));
    CHECK((next.phase() == switch_phase::releasing_aborted));
    CHECK((orderFor(next, 0).kind == map_order_kind::release));
    CHECK(orderFor(next, 0).step == mark);
}
