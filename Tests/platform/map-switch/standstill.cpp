// Guards against a clean-up that takes a reading from before its claim for a rank's state: every point at which machines can stand
// still in the middle of a change, with its orders in their buffers, and every age of the readings after they wake.
#include "engine_model.h"
#include "policy/groups/placement_number.h"

#include <array>
#include <doctest/doctest.h>

using namespace rampgap;

namespace {

constexpr std::size_t ranks = 3;
constexpr std::size_t firstLeader = 0;
// Until then a machine that has woken may show what it showed before.
constexpr int lagRounds = 2;
constexpr int maxRounds = 30;

// Bits that choose what is not determined: how old each reading is.
class choices {
public:
    explicit choices(unsigned bits)
        : m_bits(bits)
    {
    }

    bool next()
    {
        const bool chosen = m_bits & 1U;
        m_bits >>= 1U;
        return chosen;
    }

private:
    unsigned m_bits;
};

struct scenario {
    // How many of the change's orders the engines carry out before some machines stand still.
    int ordersBefore = 0;
    // Machines that stand still, as a bit for each rank, and in which round of the clean-up they wake.
    unsigned frozen = 0;
    int wakesInRound = 0;
    // Whether the orders that a frozen machine has not carried out wait in its buffer, or are lost.
    bool buffered = true;
    unsigned ages = 0;

    bool isFrozen(std::size_t rank) const { return frozen >> rank & 1U; }
};

class run {
public:
    explicit run(const scenario& played)
        : m_played(played)
        , m_ages(played.ages)
        , m_change(placementNumber(5, firstLeader), std::make_shared<group_placement>(), 1, ranks, firstLeader, { 2, 50 })
    {
    }

    // True if the step was released in time, with one placement in each step.
    bool isSound()
    {
        begin();
        for (std::uint64_t fence = 100; m_group.anyHold() && fence < 200; fence += 10)
            cleanUp(fence);
        if (m_group.anyHold())
            return false;
        finishFirstLeader();
        for (int i = 0; i < 6; ++i)
            m_group.step();
        return m_group.consistent();
    }

private:
    void reply(rank_change& change, const rank_order_to_send& next)
    {
        const auto answer = m_group.apply(next.rank, next.order);
        const auto after = m_group.view(next.rank);
        change.handleReply(next.rank, next.order, answer, &after);
    }

    void begin()
    {
        int sent = 0;
        while (!m_change.ended() && sent < m_played.ordersBefore) {
            const auto orders = m_change.pending();
            for (const auto& next : orders) {
                if (sent++ < m_played.ordersBefore)
                    reply(m_change, next);
                else if (m_played.isFrozen(next.rank) && m_played.buffered)
                    m_buffers[next.rank].push_back(next.order);
            }
        }
        // The next round of the change was on its way to the machines that stand still.
        for (const auto& next : m_change.pending()) {
            if (m_played.isFrozen(next.rank) && m_played.buffered)
                m_buffers[next.rank].push_back(next.order);
        }
        for (std::size_t rank = 0; rank < ranks; ++rank)
            m_before[rank] = m_group.view(rank);
    }

    void wake()
    {
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            for (const auto& order : m_buffers[rank])
                m_group.apply(rank, order);
            m_buffers[rank].clear();
        }
        m_awake = true;
    }

    void cleanUp(std::uint64_t fence)
    {
        hold_cleanup change(1, ranks, fence);
        std::array<std::optional<int>, ranks> answeredIn;
        for (int round = 0; round < maxRounds && !change.ended(); ++round) {
            if (!m_awake && round >= m_played.wakesInRound)
                wake();
            for (const auto& next : change.pending()) {
                if (!m_played.isFrozen(next.rank)) {
                    reply(change, next);
                    continue;
                }
                if (!m_awake)
                    continue;
                // The agents that stood still are not counted on yet: the engines are called from another machine.
                const auto answer = m_group.apply(next.rank, next.order);
                if (!answeredIn[next.rank])
                    answeredIn[next.rank] = round;
                const bool fresh = round >= *answeredIn[next.rank] + lagRounds;
                rank_view after = !fresh && m_ages.next() ? m_before[next.rank] : m_group.view(next.rank);
                after.fresh = fresh;
                change.handleReply(next.rank, next.order, answer, &after);
            }
        }
        if (!change.ended())
            change.abandon("no effect");
    }

    // The first leader was not frozen, or has woken: it goes on until it notices.
    void finishFirstLeader()
    {
        for (int round = 0; round < 5; ++round) {
            for (const auto& next : m_change.pending())
                reply(m_change, next);
        }
    }

    scenario m_played;
    choices m_ages;
    group_model m_group { ranks };
    map_switch m_change;
    std::array<std::vector<map_order>, ranks> m_buffers;
    // What the machines showed as they stopped.
    std::array<rank_view, ranks> m_before;
    bool m_awake = false;
};

std::string describe(const scenario& played)
{
    return std::to_string(played.ordersBefore) + " orders before, frozen " + std::to_string(played.frozen) + ", wakes in round " + std::to_string(played.wakesInRound)
        + (played.buffered ? ", buffered" : ", lost") + ", ages " + std::to_string(played.ages);
}

} // namespace

TEST_CASE("one or two machines stand still at any point of a change, and show old readings as they wake")
{
    // Three to prepare, one to hold, three to arm, one to release.
    constexpr int allOrders = 8;
    constexpr unsigned ageBits = 6;
    int played = 0;
    for (int before = 0; before <= allOrders; ++before) {
        for (unsigned frozen = 1; frozen < 7; ++frozen) {
            for (int wakes = 0; wakes <= 3; ++wakes) {
                for (const bool buffered : { true, false }) {
                    for (unsigned ages = 0; ages < 1U << ageBits; ++ages) {
                        const scenario next { before, frozen, wakes, buffered, ages };
                        ++played;
                        CHECK_MESSAGE(run(next).isSound(), describe(next));
                    }
                }
            }
        }
    }
    CHECK(played == 9 * 6 * 4 * 2 * 64);
}

namespace {

constexpr std::size_t holder = 2;
// Its leader holds steps at the holder.
constexpr std::size_t lastArmed = 1;
constexpr std::uint64_t heldStep = 12;
constexpr std::uint64_t fence = 7;

// The pending order for a rank, or an empty one.
map_order orderFor(const rank_change& change, std::size_t rank)
{
    for (const auto& next : change.pending()) {
        if (next.rank == rank)
            return next.order;
    }
    return {};
}

bool isPending(const rank_change& change, std::size_t rank)
{
    return orderFor(change, rank).fence != 0;
}

rank_view viewOf(std::uint64_t prepared, std::uint64_t armed, std::uint64_t held)
{
    rank_view view;
    view.epoch = 1;
    view.step = heldStep - 1;
    view.preparedPlacement = prepared;
    view.armedPlacement = armed;
    view.armedStep = armed == 0 ? 0 : heldStep;
    view.heldStep = held;
    return view;
}

void answer(rank_change& change, std::size_t rank, order_reply reply, const rank_view& after)
{
    change.handleReply(rank, orderFor(change, rank), reply, &after);
}

// A clean-up that has claimed all ranks and secured the hold; each reading shows the rank as prepared and not armed.
hold_cleanup securedWith(const std::array<std::uint64_t, ranks>& prepared)
{
    hold_cleanup change(1, ranks, fence);
    for (std::size_t rank = 0; rank < ranks; ++rank)
        answer(change, rank, order_reply::already, viewOf(prepared[rank], 0, rank == holder ? heldStep : 0));
    answer(change, holder, order_reply::already, viewOf(prepared[holder], 0, heldStep));
    return change;
}

// The same after the ranks had prepared different placements, so that all are to be disarmed: those that hold no step are marked,
// and the one that does is armed with what it seems to have prepared.
hold_cleanup disarmingWith(const std::array<std::uint64_t, ranks>& prepared)
{
    auto change = securedWith(prepared);
    for (std::size_t rank = 0; rank < ranks; ++rank)
        answer(change, rank, order_reply::already, viewOf(prepared[rank], 0, orderFor(change, rank).step));
    answer(change, holder, order_reply::already, viewOf(prepared[holder], 0, 0));
    return change;
}

// Made by no rank of the group.
constexpr std::uint64_t older = placementNumber(5, ranks);
constexpr std::uint64_t newer = placementNumber(6, ranks);

} // namespace

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
