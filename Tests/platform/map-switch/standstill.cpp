// Guards against a clean-up that takes a reading from before its claim for a rank's state: every point at which machines can stand
// still in the middle of a change, with its orders in their buffers, and every age of the readings after they wake.
#include "engine_model.h"
#include "policy/groups/placement_number.h"

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
    // Orders of the change that are carried out before the machines stand still.
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
    void reply(map_switch& change, const rank_order_to_send& next)
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
        auto change = map_switch::cleanUp(1, ranks, fence);
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

// The pending order for a rank, or an empty one.
map_order orderFor(const map_switch& change, std::size_t rank)
{
    for (const auto& next : change.pending()) {
        if (next.rank == rank)
            return next.order;
    }
    return {};
}

// A clean-up that has claimed all ranks; rank 1 is armed with `placement`.
map_switch claimedWith(std::uint64_t placement)
{
    auto change = map_switch::cleanUp(1, ranks, 7);
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        rank_view view;
        view.epoch = 1;
        view.step = 10;
        view.preparedPlacement = placement;
        view.armedPlacement = rank == 1 ? placement : 0;
        view.armedStep = rank == 1 ? 12 : 0;
        view.heldStep = rank == 2 ? 12 : 0;
        change.handleReply(rank, orderFor(change, rank), order_reply::already, &view);
    }
    return change;
}

rank_view viewOf(std::uint64_t armed, std::uint64_t held, bool fresh)
{
    rank_view view;
    view.epoch = 1;
    view.step = 10;
    view.armedPlacement = armed;
    view.armedStep = armed == 0 ? 0 : 12;
    view.heldStep = held;
    view.fresh = fresh;
    return view;
}

} // namespace

TEST_CASE("a claim waits for a reading from after its answer")
{
    auto change = map_switch::cleanUp(1, ranks, 7);
    const auto old = viewOf(0, 12, false);
    change.handleReply(0, orderFor(change, 0), order_reply::already, &old);
    CHECK(change.pending().size() == ranks);
    CHECK(change.awaitsReading());
    const auto current = viewOf(0, 12, true);
    change.handleReply(0, orderFor(change, 0), order_reply::already, &current);
    CHECK(change.pending().size() == ranks - 1);
    CHECK_FALSE(change.awaitsReading());
}

TEST_CASE("the answer to an order to disarm is enough: an old reading that still shows the placement is not waited for")
{
    const std::uint64_t placement = placementNumber(5, ranks);
    auto change = claimedWith(placement);
    REQUIRE((change.phase() == switch_phase::disarming));
    const auto old = viewOf(placement, 0, false);
    change.handleReply(1, orderFor(change, 1), order_reply::already, &old);
    for (const auto& next : change.pending())
        CHECK(next.rank != 1);
}

TEST_CASE("an answer to an order without any state after it proves nothing: it may be a copy of an earlier answer")
{
    const std::uint64_t placement = placementNumber(5, ranks);
    auto change = claimedWith(placement);
    change.handleReply(1, orderFor(change, 1), order_reply::already, nullptr);
    rank_view ofNoGroup;
    change.handleReply(1, orderFor(change, 1), order_reply::already, &ofNoGroup);
    bool pending = false;
    for (const auto& next : change.pending())
        pending = pending || next.rank == 1;
    CHECK(pending);
}

TEST_CASE("a rank that is armed with another placement than the one ordered gets an order that names it")
{
    auto change = claimedWith(placementNumber(5, ranks));
    const std::uint64_t other = placementNumber(6, ranks);
    const auto current = viewOf(other, 0, true);
    change.handleReply(1, orderFor(change, 1), order_reply::already, &current);
    bool named = false;
    for (const auto& next : change.pending())
        named = named || (next.rank == 1 && next.order.placement == other);
    CHECK(named);
}

TEST_CASE("a step counts as released by the answer to the order, and not by a reading that may be from before the hold")
{
    auto change = claimedWith(placementNumber(5, ranks));
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        const auto disarmed = viewOf(0, rank == 2 ? 12 : 0, true);
        change.handleReply(rank, orderFor(change, rank), order_reply::already, &disarmed);
    }
    REQUIRE((change.phase() == switch_phase::releasing_aborted));
    const auto beforeHold = viewOf(0, 0, false);
    change.handleReply(2, orderFor(change, 2), order_reply::unanswered, &beforeHold);
    CHECK_FALSE(change.ended());
    const auto stillHeld = viewOf(0, 12, false);
    change.handleReply(2, orderFor(change, 2), order_reply::already, &stillHeld);
    CHECK(change.ended());
}
