// Guards against ranks that use different placements in one step, and against a step that stays held. Random runs of two leaders
// and three engines: orders are lost or late, machines stand still, and leaders are killed at any point.
#include "engine_model.h"
#include "policy/groups/placement_number.h"

#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

constexpr std::size_t ranks = 3;

struct late_order {
    std::size_t rank;
    map_order order;
    int delay;
};

// A leader that carries out one change, until the change ends or the leader is killed.
struct leader {
    std::unique_ptr<rank_change> change;
    int rounds = 0;
    switch_phase phase = switch_phase::preparing;
    int roundsInPhase = 0;
    // The last direct order that each engine has carried out: it is not sent again.
    std::array<std::optional<map_order>, ranks> carriedOut;
};

bool isSameOrder(const map_order& a, const map_order& b)
{
    return a.kind == b.kind && a.placement == b.placement && a.step == b.step && a.fence == b.fence;
}

class world {
public:
    // `silentRanks`: clean-ups begin without a rank that may be silent.
    // `oldReadings`: also an agent on a rank's own machine reads states that are old, and all may be far older than is published.
    explicit world(std::uint32_t seed, bool silentRanks = false, bool oldReadings = false)
        : m_random(seed)
        , m_silentRanks(silentRanks)
        , m_oldReadings(oldReadings)
    {
    }

    void run()
    {
        for (int turn = 0; turn < 400; ++turn)
            takeTurn();
        settle();
    }

    const group_model& group() const { return m_group; }
    int changes() const { return m_done; }

private:
    // Readings from another machine are up to this many turns old.
    static constexpr int reportLag = 4;
    // With `oldReadings`: longer than a whole change takes.
    static constexpr int longestAge = 60;
    static constexpr int longestPhase = 60;

    int draw(int below) { return std::uniform_int_distribution<int>(0, below - 1)(m_random); }

    void takeTurn()
    {
        beginTurn();
        if (draw(3) == 0)
            stepGroup();
        applyLate();
        if (draw(50) == 0)
            standStill();
        // A leader does not count on the agent of this rank for a while, and calls its engine directly.
        if (draw(10) == 0)
            m_direct[static_cast<std::size_t>(draw(2))][static_cast<std::size_t>(draw(ranks))] = draw(2) == 0;
        const auto acting = static_cast<std::size_t>(draw(2));
        if (m_standstill[acting] > 0)
            return;
        if (!m_leaders[acting].change && draw(10) == 0)
            begin(m_leaders[acting]);
        if (m_leaders[acting].change)
            act(m_leaders[acting]);
        // Killed: its change stays unfinished.
        if (draw(60) == 0)
            m_leaders[static_cast<std::size_t>(draw(2))] = leader();
    }

    void beginTurn()
    {
        ++m_turn;
        std::array<rank_view, ranks> views;
        for (std::size_t rank = 0; rank < ranks; ++rank)
            views[rank] = m_group.view(rank);
        m_past.push_front(views);
        m_past.resize(std::min<std::size_t>(m_past.size(), m_oldReadings && !m_settling ? longestAge : reportLag));
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            if (m_standstill[rank] > 0 && --m_standstill[rank] == 0)
                wake(rank);
        }
    }

    // One machine, or two at the same time, with their engines, agents and leaders.
    void standStill()
    {
        const int length = 5 + draw(80);
        const int machines = 1 + draw(2);
        for (int i = 0; i < machines; ++i)
            m_standstill[static_cast<std::size_t>(draw(ranks))] = length;
    }

    void wake(std::size_t rank)
    {
        for (const auto& order : m_buffers[rank])
            m_group.apply(rank, order);
        m_buffers[rank].clear();
    }

    void stepGroup()
    {
        if (std::all_of(m_standstill.begin(), m_standstill.end(), [](int turns) { return turns == 0; }))
            m_group.step();
    }

    void begin(leader& acting)
    {
        m_fence += 10;
        const auto ownRank = static_cast<std::size_t>(&acting - m_leaders.data());
        if (m_group.anyHold())
            acting.change = std::make_unique<hold_cleanup>(1, ranks, m_fence, m_silentRanks ? std::optional<std::size_t>(draw(ranks)) : std::nullopt, seenHolds());
        else
            acting.change = std::make_unique<map_switch>(placementNumber(m_fence, ownRank), std::make_shared<group_placement>(), 1, ranks, ownRank, switch_settings { 2, m_fence });
        acting.rounds = 0;
    }

    // What a leader's last readings show of holds: some turns old.
    std::vector<rank_hold> seenHolds()
    {
        std::vector<rank_hold> seen;
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            const std::uint64_t step = m_past[static_cast<std::size_t>(draw(static_cast<int>(m_past.size())))][rank].heldStep;
            if (step != 0 && draw(2) == 0)
                seen.emplace_back(rank, step);
        }
        return seen;
    }

    void act(leader& acting)
    {
        const auto orders = acting.change->pending();
        for (const auto& next : orders) {
            if (!acting.change)
                break;
            send(acting, next);
        }
        acting.roundsInPhase = acting.change->phase() == acting.phase ? acting.roundsInPhase + 1 : 0;
        acting.phase = acting.change->phase();
        if (++acting.rounds > 12 + draw(14) + (acting.change->awaitsReading() ? reportLag : 0))
            acting.change->cancel();
        if (acting.roundsInPhase > longestPhase)
            acting.change->abandon("no effect");
        if (acting.change->ended()) {
            m_done += acting.change->phase() == switch_phase::done ? 1 : 0;
            acting.change.reset();
        }
    }

    void send(leader& acting, const rank_order_to_send& next)
    {
        const auto unanswered = [&] { acting.change->handleReply(next.rank, next.order, order_reply::unanswered, nullptr); };
        if (m_standstill[next.rank] > 0) {
            // The order waits in the buffers of the machine, or is lost with the connection.
            if (draw(2) == 0)
                m_buffers[next.rank].push_back(next.order);
            return unanswered();
        }
        const int fault = m_settling ? 9 : draw(10);
        if (fault == 0)
            m_late.push_back({ next.rank, next.order, 5 + draw(60) });
        if (fault <= 1)
            return unanswered();
        const auto ownRank = static_cast<std::size_t>(&acting - m_leaders.data());
        const bool direct = next.rank != ownRank && m_direct[ownRank][next.rank];
        auto& before = acting.carriedOut[next.rank];
        const bool repeated = direct && before && isSameOrder(*before, next.order);
        const order_reply reply = repeated ? order_reply::already : m_group.apply(next.rank, next.order);
        // A leader reads a rank's state some time after the rank has carried out its order: meanwhile a step may have begun.
        if (!m_settling && draw(4) == 0)
            stepGroup();
        rank_view after = m_group.view(next.rank);
        if (direct) {
            if (reply == order_reply::accepted || reply == order_reply::already)
                before = next.order;
            after = m_past[static_cast<std::size_t>(draw(static_cast<int>(m_past.size())))][next.rank];
            after.fresh = false;
        } else if (m_oldReadings)
            after = m_past[static_cast<std::size_t>(draw(static_cast<int>(m_past.size())))][next.rank];
        // The answer to the order is lost. In half of the cases the leader still gets the state that it reads next.
        if (fault == 2 && draw(2) == 0)
            return unanswered();
        acting.change->handleReply(next.rank, next.order, fault == 2 ? order_reply::unanswered : reply, &after);
    }

    void applyLate()
    {
        for (auto& late : m_late)
            --late.delay;
        for (const auto& late : m_late) {
            if (late.delay == 0)
                m_group.apply(late.rank, late.order);
        }
        std::erase_if(m_late, [](const late_order& late) { return late.delay <= 0; });
    }

    // Ends all faults; the next leader cleans up what is left.
    void settle()
    {
        m_settling = true;
        m_leaders = {};
        m_standstill = {};
        for (std::size_t rank = 0; rank < ranks; ++rank)
            wake(rank);
        while (!m_late.empty()) {
            beginTurn();
            m_group.step();
            applyLate();
        }
        for (int turn = 0; turn < 40 && m_group.anyHold(); ++turn) {
            beginTurn();
            if (!m_leaders[0].change)
                begin(m_leaders[0]);
            if (m_leaders[0].change)
                act(m_leaders[0]);
        }
        for (int i = 0; i < 10; ++i)
            m_group.step();
    }

    std::mt19937 m_random;
    bool m_silentRanks;
    bool m_oldReadings;
    group_model m_group { ranks };
    std::array<leader, 2> m_leaders;
    // By leader and rank.
    std::array<std::array<bool, ranks>, 2> m_direct {};
    // Turns for which a machine stands still: its leader does nothing, and its engine carries out what has arrived as it wakes.
    std::array<int, ranks> m_standstill {};
    std::array<std::vector<map_order>, ranks> m_buffers;
    std::vector<late_order> m_late;
    // The ranks' states at the beginning of the last turns, the newest first.
    std::deque<std::array<rank_view, ranks>> m_past;
    int m_turn = 0;
    std::uint64_t m_fence = 100;
    int m_done = 0;
    bool m_settling = false;
};

} // namespace

TEST_CASE("two leaders, lost and late orders, kills, standstills, old readings: one placement in each step, no hold left")
{
    int changes = 0;
    CHECK(rc::check([&changes] {
        world made(*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<bool>());
        made.run();
        changes += made.changes();
        RC_ASSERT(made.group().consistent());
        RC_ASSERT(!made.group().anyHold());
    }));
    CHECK(changes > 100);
}

TEST_CASE("one placement in each step, however old the readings are that the ranks' own agents take")
{
    int changes = 0;
    CHECK(rc::check([&changes] {
        world made(*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<bool>(), true);
        made.run();
        changes += made.changes();
        RC_ASSERT(made.group().consistent());
        RC_ASSERT(!made.group().anyHold());
    }));
    // Few come through with such readings, but the runs are not idle.
    CHECK(changes > 20);
}

// Seed 360918: a clean-up was killed after it had disarmed two ranks but not that of the leader, whose
// machine then froze; to the next clean-up the group looked as if it had never been armed. Seed 34965: the same where the ranks had
// prepared different placements.
TEST_CASE("seeds that once made ranks use different placements")
{
    for (const std::uint32_t seed : { 360'918U, 34'965U }) {
        world made(seed, seed == 34'965U);
        made.run();
        CHECK(made.group().consistent());
        CHECK_FALSE(made.group().anyHold());
    }
}

TEST_CASE("without faults a change completes and takes effect at the held step")
{
    group_model group(ranks);
    map_switch change(200, std::make_shared<group_placement>(), 1, ranks, 1, { 2, 5 });
    int rounds = 0;
    while (!change.ended() && ++rounds < 20) {
        for (const auto& next : change.pending()) {
            const auto reply = group.apply(next.rank, next.order);
            const auto after = group.view(next.rank);
            change.handleReply(next.rank, next.order, reply, &after);
        }
    }
    CHECK((change.phase() == switch_phase::done));
    while (group.steps() < change.heldStep())
        REQUIRE(group.step());
    CHECK(group.engine(0).inUse == 200);
    CHECK(group.consistent());
}

TEST_CASE("a change that is not confirmed in time disarms all ranks before it releases the step")
{
    group_model group(ranks);
    map_switch change(200, std::make_shared<group_placement>(), 1, ranks, 0, { 2, 5 });
    const auto sendAll = [&](std::size_t silentRank) {
        for (const auto& next : change.pending()) {
            if (next.rank == silentRank)
                continue;
            const auto reply = group.apply(next.rank, next.order);
            const auto after = group.view(next.rank);
            change.handleReply(next.rank, next.order, reply, &after);
        }
    };
    sendAll(ranks);
    sendAll(ranks);
    REQUIRE((change.phase() == switch_phase::arming));
    sendAll(2);
    CHECK((change.phase() == switch_phase::arming));
    change.cancel();
    // The leader's own rank comes first.
    CHECK((change.phase() == switch_phase::disarming_leader));
    sendAll(2);
    CHECK((change.phase() == switch_phase::disarming));
    sendAll(2);
    // The silent rank may still be armed by a late order: the step stays held.
    CHECK((change.phase() == switch_phase::disarming));
    CHECK(group.anyHold());
    sendAll(ranks);
    sendAll(ranks);
    CHECK((change.phase() == switch_phase::failed));
    CHECK_FALSE(group.anyHold());
    // The late order arrives now and is refused because of its fence.
    map_order late;
    late.kind = map_order_kind::arm;
    late.placement = 200;
    late.step = change.heldStep();
    late.fence = 5;
    CHECK((group.apply(2, late) == order_reply::fenced));
}

namespace {

// Sends the pending orders of a change, except those to ranks that cannot be reached.
void sendReachable(group_model& group, rank_change& change, std::size_t unreachable)
{
    for (const auto& next : change.pending()) {
        if (next.rank == unreachable)
            continue;
        const auto reply = group.apply(next.rank, next.order);
        const auto after = group.view(next.rank);
        change.handleReply(next.rank, next.order, reply, &after);
    }
}

} // namespace

TEST_CASE("a step held by a leader whose machine freezes is released by a clean-up without its rank")
{
    group_model group(ranks);
    const std::size_t frozen = 0;
    map_switch change(placementNumber(5, frozen), std::make_shared<group_placement>(), 1, ranks, frozen, { 2, 5 });
    sendReachable(group, change, ranks);
    sendReachable(group, change, ranks);
    REQUIRE((change.phase() == switch_phase::arming));
    REQUIRE(group.anyHold());
    // Its machine freezes here, with one rank armed and its own engine unreachable.
    map_order arm = change.pending().front().order;
    REQUIRE((group.apply(1, arm) == order_reply::already));
    hold_cleanup cleanUp(1, ranks, 7);
    sendReachable(group, cleanUp, frozen);
    CHECK((cleanUp.phase() == switch_phase::claiming));
    cleanUp.cancel();
    // First the hold is made certain, and the unarmed rank is marked.
    CHECK((cleanUp.phase() == switch_phase::securing));
    sendReachable(group, cleanUp, frozen);
    CHECK((cleanUp.phase() == switch_phase::disarming));
    sendReachable(group, cleanUp, frozen);
    sendReachable(group, cleanUp, frozen);
    CHECK(cleanUp.ended());
    CHECK_FALSE(group.anyHold());
    // It resumes: its orders are refused, and its own rank is never armed.
    for (int round = 0; round < 5; ++round)
        sendReachable(group, change, ranks);
    CHECK((change.phase() == switch_phase::failed));
    CHECK(group.engine(frozen).armed == 0);
    for (int i = 0; i < 5; ++i)
        REQUIRE(group.step());
    CHECK(group.consistent());
}

TEST_CASE("a clean-up waits for a silent rank that may be armed")
{
    group_model group(ranks);
    const std::size_t frozen = 0;
    map_switch change(placementNumber(5, frozen), std::make_shared<group_placement>(), 1, ranks, frozen, { 2, 5 });
    for (int round = 0; round < 4; ++round)
        sendReachable(group, change, ranks);
    // All are armed; the release was not sent.
    REQUIRE((change.phase() == switch_phase::releasing));
    hold_cleanup cleanUp(1, ranks, 7);
    sendReachable(group, cleanUp, frozen);
    cleanUp.cancel();
    CHECK((cleanUp.phase() == switch_phase::failed));
    CHECK(group.anyHold());
}
