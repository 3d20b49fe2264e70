// Explores every order of messages and every single crash point in small groups: guards against ranks
// that use different maps in one step, and against groups that cannot step again after healing.

#include "../switch-property/group_model.h"

#include <doctest/doctest.h>
#include <functional>

using namespace rampgap;
using namespace rampgap::test;

namespace {

// Explores all interleavings of deliveries and steps, with up to `crashes` restarts.
class explorer {
public:
    explorer(std::size_t ranks, int crashes, int depth)
        : m_ranks(ranks)
    {
        group_model group(ranks, 2);
        REQUIRE(group.settle(0));
        group.propose(0, 2);
        explore(group, crashes, depth);
    }

    std::uint64_t states = 0;
    std::uint64_t violations = 0;
    std::uint64_t stuck = 0;
    std::uint64_t committed = 0;

private:
    void visit(group_model next, int crashes, int depth)
    {
        if (!next.sameMaps()) {
            ++violations;
            return;
        }
        explore(next, crashes, depth);
    }

    void explore(const group_model& group, int crashes, int depth)
    {
        ++states;
        committed += group.commits() > 0 ? 1 : 0;
        if (depth == 0) {
            group_model healed = group;
            const auto before = healed.steps();
            const bool settled = healed.settle(1);
            for (int i = 0; i < 5; ++i)
                violations += healed.stepTogether() ? 0 : 1;
            stuck += settled && healed.steps() == before + 5 ? 0 : 1;
            return;
        }
        for (std::size_t i = 0; i < group.inFlight().size(); ++i) {
            group_model next = group;
            next.deliver(i, false);
            visit(next, crashes, depth - 1);
        }
        group_model stepped = group;
        stepped.stepTogether();
        visit(stepped, crashes, depth - 1);
        if (crashes == 0)
            return;
        for (std::size_t rank = 0; rank < m_ranks; ++rank) {
            group_model next = group;
            next.restartAgent(rank);
            visit(next, crashes - 1, depth - 1);
        }
        // The other coordinator takes over while messages of the first one are still in flight.
        group_model takenOver = group;
        takenOver.restartCoordinator(1);
        visit(takenOver, crashes - 1, depth - 1);
    }

    std::size_t m_ranks;
};

} // namespace

TEST_CASE("two ranks: one map in each step for every message order and one crash or takeover at any point")
{
    const explorer all(2, 1, 10);
    MESSAGE("states: " << all.states << ", with a whole switch: " << all.committed);
    CHECK(all.violations == 0);
    CHECK(all.stuck == 0);
}

TEST_CASE("three ranks: one map in each step for every message order and one crash or takeover at any point")
{
    const explorer all(3, 1, 7);
    MESSAGE("states: " << all.states << ", with a whole switch: " << all.committed);
    CHECK(all.violations == 0);
    CHECK(all.stuck == 0);
}
