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
