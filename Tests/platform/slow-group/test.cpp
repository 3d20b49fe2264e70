// Load pattern: one rank of one group becomes slow, or demand shifts there. All ranks run in
// lock-step, so every stream of the group is late, whichever rank it is at.
#include "policy/routing/upstream_choice.h"
#include "support/engine_costs.h"

#include <doctest/doctest.h>
#include <map>

using namespace rampgap;

namespace {

const instant zero {};
const std::string service = "model";
constexpr int ranksOfGroup = 24;
constexpr int capacity = 10;

struct fleet {
    fleet()
    {
        for (const std::string group : { "a", "b", "c" }) {
            for (int rank = 0; rank < ranksOfGroup; ++rank) {
                const std::string id = group + std::to_string(rank);
                backends.list({ id, service, "10.0." + group + "." + std::to_string(rank) + ":80", group, capacity, false, 1 });
                groups.recordMember(backendHash(id), { service, group });
            }
            groups.mergeUpdate({ { service, group }, { 1, true } }, milliseconds(0), zero);
        }
    }

    void setRequests(const std::string& group, int each)
    {
        load_report_by_hash counts;
        for (int rank = 0; rank < ranksOfGroup; ++rank)
            counts[backendHash(group + std::to_string(rank))] = { each, 0, 1 };
        loads.mergeRankLoads(counts, zero);
    }

    // How many of 300 requests each group gets.
    std::map<std::string, int> choices(milliseconds longestGap)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < 300; ++i) {
            upstream_input input;
            input.service = service;
            input.costs = test::usualCosts();
            input.promptTokens = 800;
            input.ownZone = std::string(1, static_cast<char>('a' + i % 3));
            input.now = zero;
            input.longestGap = longestGap;
            ++counts[upstream_choice().choose(input, backends, loads, groups, server_backpressure(), random).substr(0, 1)];
        }
        return counts;
    }

    backend_directory backends;
    load_table loads { milliseconds(600) };
    group_directory groups { milliseconds(1'500) };
    std::mt19937_64 random { 5 };
};

} // namespace

TEST_CASE("a group with a rank five times slower gets no requests while the others have free slots")
{
    fleet made;
    for (const std::string group : { "a", "b", "c" })
        made.setRequests(group, 4);
    made.groups.recordSlowdown({ service, "a" }, { 1.2, 5 }, zero);
    CHECK(made.choices(milliseconds(150))["a"] == 0);
    // Where callers accept any pause it is as good as the others.
    CHECK(made.choices(milliseconds(0))["a"] > 50);
    // With the others full its ranks get requests, although they are late.
    made.setRequests("b", capacity);
    made.setRequests("c", capacity);
    CHECK(made.choices(milliseconds(150))["a"] > 250);
}

TEST_CASE("a group in which demand has just shifted gets only what it can run in time")
{
    fleet made;
    const group_slowdown shifted { 3, 1 };
    made.groups.recordSlowdown({ service, "a" }, shifted, zero);
    const int limit = sequencesToRun(test::usualCosts(), shifted, milliseconds(135));
    REQUIRE(limit > 1);
    REQUIRE(limit < capacity);
    for (const std::string group : { "b", "c" })
        made.setRequests(group, limit);
    made.setRequests("a", limit - 1);
    CHECK(made.choices(milliseconds(150))["a"] > 50);
    made.setRequests("a", limit);
    CHECK(made.choices(milliseconds(150))["a"] == 0);
}
