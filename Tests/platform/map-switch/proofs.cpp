// Guards against a rank that counts as claimed, held, armed, disarmed or released by what an old reading shows, or by the answer to
// something else.
#include "cleanup_cases.h"

#include <doctest/doctest.h>

using namespace rampgap;
using namespace rampgap::cleanup_cases;

TEST_CASE("a claim rests on its answer: a reading without one proves nothing")
{
    hold_cleanup change(1, ranks, fence);
    const auto current = viewOf(older, 0, 0);
    for (const auto reply : { order_reply::unanswered, order_reply::conflict, order_reply::refused }) {
        answer(change, 0, reply, current);
        CHECK(isPending(change, 0));
    }
    answer(change, 0, order_reply::already, current);
    CHECK_FALSE(isPending(change, 0));
}

TEST_CASE("a rank that its own agent's reading shows as unarmed is ordered by name all the same: the reading may be old")
{
    auto change = securedWith({ older, older, older });
    REQUIRE((change.phase() == switch_phase::arming));
    CHECK_FALSE(isPending(change, lastArmed));
    for (const std::size_t rank : { std::size_t { 0 }, holder, lastArmed }) {
        const auto order = orderFor(change, rank);
        CHECK((order.kind == map_order_kind::arm));
        CHECK(order.placement == older);
        CHECK(order.step == heldStep);
        answer(change, rank, order_reply::already, viewOf(older, 0, 0));
    }
    CHECK((change.phase() == switch_phase::releasing));
}

TEST_CASE("a rank is armed anew by its answer: a reading may show an armed placement that has been disarmed since")
{
    auto change = securedWith({ older, older, older });
    answer(change, 0, order_reply::unanswered, viewOf(older, older, 0));
    CHECK(isPending(change, 0));
}

TEST_CASE("a hold that is carried out late is refused by a rank that has released it: the release has a higher fence")
{
    SUBCASE("of a change")
    {
        map_switch change(newer, std::make_shared<group_placement>(), 1, ranks, 0, { 1, fence });
        group_model group(ranks);
        map_order hold;
        while (!change.ended()) {
            const auto next = change.pending().front();
            if (next.order.kind == map_order_kind::hold)
                hold = next.order;
            answer(change, next.rank, group.apply(next.rank, next.order), group.view(next.rank));
        }
        REQUIRE((change.phase() == switch_phase::done));
        CHECK((group.apply(1, hold) == order_reply::fenced));
    }
    SUBCASE("of a clean-up")
    {
        auto change = securedWith({ older, older, older });
        for (const std::size_t rank : { std::size_t { 0 }, holder, lastArmed })
            answer(change, rank, order_reply::already, viewOf(older, 0, 0));
        REQUIRE((orderFor(change, holder).kind == map_order_kind::release));
        CHECK(orderFor(change, holder).fence > fence);
    }
}

TEST_CASE("a hold that a reading shows is ordered anew: an earlier leader may have released it since")
{
    hold_cleanup change(1, ranks, fence);
    for (std::size_t rank = 0; rank < ranks; ++rank)
        answer(change, rank, order_reply::already, viewOf(older, older, rank == holder ? heldStep : 0));
    REQUIRE((orderFor(change, holder).kind == map_order_kind::hold));
    answer(change, holder, order_reply::unanswered, viewOf(older, older, heldStep));
    CHECK((change.phase() == switch_phase::securing));
    // The step has begun.
    answer(change, holder, order_reply::conflict, viewOf(older, older, heldStep));
    CHECK((change.phase() == switch_phase::failed));
}

TEST_CASE("a known hold that is refused is no claim: the rank's fence is raised by another order")
{
    hold_cleanup change(1, ranks, fence, std::nullopt, { { holder, heldStep } });
    REQUIRE((orderFor(change, holder).kind == map_order_kind::hold));
    answer(change, holder, order_reply::conflict, viewOf(older, 0, heldStep));
    CHECK((orderFor(change, holder).kind == map_order_kind::disarm));
}

TEST_CASE("ranks are armed anew only when no step before the held one can begin: they may be armed for it")
{
    hold_cleanup change(1, ranks, fence);
    auto view = viewOf(older, 0, 0);
    view.step = heldStep - 3;
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        view.heldStep = rank == holder ? heldStep : 0;
        answer(change, rank, order_reply::already, view);
    }
    answer(change, holder, order_reply::already, view);
    REQUIRE((change.phase() == switch_phase::securing));
    REQUIRE(change.pending().size() == 1);
    const auto next = change.pending().front();
    CHECK(next.rank != holder);
    CHECK(next.order.step == heldStep - 2);
    answer(change, next.rank, order_reply::already, view);
    CHECK((change.phase() == switch_phase::arming));
    REQUIRE_FALSE(change.pending().empty());
    CHECK(change.pending().front().order.step == heldStep - 2);
}

TEST_CASE("the answer to an order to disarm is enough: an old reading that still shows the placement is not waited for")
{
    auto change = disarmingWith({ older, newer, older });
    REQUIRE((change.phase() == switch_phase::disarming_leader));
    answer(change, lastArmed, order_reply::already, viewOf(newer, newer, 0));
    CHECK((change.phase() == switch_phase::disarming));
    CHECK_FALSE(isPending(change, lastArmed));
}

TEST_CASE("a conflict is no proof that a rank is disarmed: the placement may be in use")
{
    auto change = disarmingWith({ older, newer, older });
    answer(change, 1, order_reply::conflict, viewOf(newer, 0, 0));
    CHECK(isPending(change, 1));
}

TEST_CASE("an answer to an order without any state after it proves nothing: it may be a copy of an earlier answer")
{
    auto change = disarmingWith({ older, newer, older });
    change.handleReply(1, orderFor(change, 1), order_reply::already, nullptr);
    rank_view ofNoGroup;
    answer(change, 1, order_reply::already, ofNoGroup);
    CHECK(isPending(change, 1));
}

TEST_CASE("the answer to a claim, or to an order with an earlier fence, is not taken for one to an order to disarm")
{
    auto change = disarmingWith({ older, newer, older });
    auto sent = orderFor(change, 1);
    const auto current = viewOf(newer, 0, 0);
    sent.placement = 1;
    change.handleReply(1, sent, order_reply::already, &current);
    CHECK(isPending(change, 1));
    sent = orderFor(change, 1);
    --sent.fence;
    change.handleReply(1, sent, order_reply::already, &current);
    CHECK(isPending(change, 1));
}

TEST_CASE("a rank that has prepared another placement than the one ordered gets an order that names it")
{
    auto change = securedWith({ older, older, older });
    REQUIRE(orderFor(change, 0).placement == older);
    answer(change, 0, order_reply::conflict, viewOf(newer, newer, 0));
    REQUIRE((change.phase() == switch_phase::securing));
    for (std::size_t rank = 0; rank < ranks; ++rank)
        answer(change, rank, order_reply::already, viewOf(newer, newer, orderFor(change, rank).step));
    REQUIRE((orderFor(change, holder).kind == map_order_kind::arm));
    CHECK(orderFor(change, holder).placement == newer);
    answer(change, holder, order_reply::already, viewOf(newer, newer, heldStep));
    REQUIRE((change.phase() == switch_phase::disarming_leader));
    answer(change, lastArmed, order_reply::already, viewOf(newer, 0, 0));
    CHECK(orderFor(change, 0).placement == newer);
}

TEST_CASE("a rank that holds a step is not taken as unarmed by an older reading: it is ordered what the others have prepared")
{
    auto change = securedWith({ older, 0, 0 });
    REQUIRE((change.phase() == switch_phase::securing));
    answer(change, 0, order_reply::already, viewOf(older, 0, orderFor(change, 0).step));
    answer(change, lastArmed, order_reply::already, viewOf(older, 0, orderFor(change, lastArmed).step));
    // This reading shows no hold, so the holder may have prepared a placement since: nothing is decided by it.
    answer(change, holder, order_reply::already, viewOf(0, 0, 0));
    CHECK((change.phase() == switch_phase::securing));
    answer(change, holder, order_reply::already, viewOf(0, 0, heldStep));
    REQUIRE((orderFor(change, holder).kind == map_order_kind::arm));
    CHECK(orderFor(change, holder).placement == older);
}

TEST_CASE("a held step is released where no rank has prepared anything: an engine forgets a placement that is in use")
{
    auto change = securedWith({ 0, 0, 0 });
    REQUIRE((change.phase() == switch_phase::securing));
    for (std::size_t rank = 0; rank < ranks; ++rank)
        answer(change, rank, order_reply::already, viewOf(0, 0, orderFor(change, rank).step));
    CHECK((change.phase() == switch_phase::releasing_aborted));
    CHECK(isPending(change, holder));
}

TEST_CASE("a step counts as released by the answer to the order, and not by a reading that may be from before the hold")
{
    auto change = disarmingWith({ older, newer, older });
    for (const std::size_t rank : { lastArmed, std::size_t { 0 }, holder })
        answer(change, rank, order_reply::already, viewOf(older, 0, 0));
    REQUIRE((change.phase() == switch_phase::releasing_aborted));
    answer(change, holder, order_reply::unanswered, viewOf(0, 0, 0));
    CHECK(isPending(change, holder));
    answer(change, holder, order_reply::already, viewOf(0, 0, heldStep));
    CHECK_FALSE(isPending(change, holder));
    // The marks.
    answer(change, 0, order_reply::already, viewOf(0, 0, 0));
    CHECK_FALSE(change.ended());
    answer(change, lastArmed, order_reply::already, viewOf(0, 0, 0));
    CHECK(change.ended());
}

TEST_CASE("a leader arms the ranks only after the holding rank's answer: a reading may show an earlier hold of the same step")
{
    map_switch change(newer, std::make_shared<group_placement>(), 1, ranks, 0, { 1, fence });
    for (std::size_t rank = 0; rank < ranks; ++rank)
        answer(change, rank, order_reply::accepted, viewOf(newer, 0, 0));
    REQUIRE((change.phase() == switch_phase::holding));
    REQUIRE(change.heldStep() == heldStep);
    answer(change, 1, order_reply::unanswered, viewOf(newer, 0, heldStep));
    CHECK((change.phase() == switch_phase::holding));
    answer(change, 1, order_reply::already, viewOf(newer, 0, 0));
    CHECK((change.phase() == switch_phase::arming));
}

TEST_CASE("an order that did not reach a rank is no refusal: it shows nothing of what the rank has prepared or holds")
{
    auto change = securedWith({ older, older, older });
    answer(change, 0, order_reply::refused, viewOf(older, 0, 0));
    CHECK((change.phase() == switch_phase::arming));
    CHECK(isPending(change, 0));

    auto undone = securedWith({ older, 0, 0 });
    answer(undone, 0, order_reply::already, viewOf(older, 0, orderFor(undone, 0).step));
    answer(undone, lastArmed, order_reply::already, viewOf(older, 0, orderFor(undone, lastArmed).step));
    answer(undone, holder, order_reply::already, viewOf(0, 0, heldStep));
    REQUIRE((undone.phase() == switch_phase::arming));
    answer(undone, holder, order_reply::refused, viewOf(0, 0, heldStep));
    CHECK(isPending(undone, holder));
}
