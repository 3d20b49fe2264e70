// Guards against mixing up the expert groups of one service: each has its own leader, opens and closes
// on its own, and is chosen on its own.
#include "policy/groups/group_directory.h"
#include "policy/groups/group_monitor.h"
#include "policy/groups/group_roster.h"
#include "policy/routing/upstream_choice.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

const instant zero {};
constexpr milliseconds lifetime { 1'500 };
const std::string service = "model";

rank_view viewOf(const std::string& group, std::uint32_t rank, std::uint64_t epoch = 1)
{
    rank_view view;
    view.group = group;
    view.epoch = epoch;
    view.rank = rank;
    view.open = true;
    view.groupSize = 2;
    return view;
}

monitor_settings smallSettings()
{
    monitor_settings settings;
    settings.demand.layerSets = 1;
    settings.demand.experts = 4;
    settings.demand.leastChoices = 1;
    return settings;
}

std::string idOf(const std::string& group, std::uint32_t rank)
{
    return group + std::to_string(rank);
}

struct fleet {
    backend_directory backends;
    load_table loads { milliseconds(600) };
    group_directory groups { lifetime };
    server_backpressure backpressure;
    std::mt19937_64 random { 5 };
};

// Groups a, b and c of four engines each, all open and known.
void addGroups(fleet& made)
{
    for (const std::string group : { "a", "b", "c" }) {
        made.groups.mergeUpdate({ { service, group }, { 1, true } }, milliseconds(0), zero);
        for (std::uint32_t rank = 0; rank < 4; ++rank) {
            const std::string id = idOf(group, rank);
            made.backends.list({ id, service, "10.0.0.1" + group + std::to_string(rank) + ":80", "z", 10, false, 1 });
            made.groups.recordMember(backendHash(id), { service, group });
        }
    }
}

upstream_input ask()
{
    upstream_input input;
    input.service = service;
    input.costs = engine_costs {};
    input.ownZone = "z";
    input.now = zero;
    return input;
}

} // namespace

TEST_CASE("a monitor ignores the ranks of other groups, whatever order the reports come in")
{
    CHECK(rc::check([] {
        group_monitor alone(smallSettings());
        group_monitor among(smallSettings());
        alone.follow("a");
        among.follow("a");
        const auto order = *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 4));
        instant now = zero;
        for (const int pick : order) {
            now += milliseconds(20);
            const auto rank = static_cast<std::uint32_t>(pick % 2);
            const std::string group = pick < 2 ? "a" : "b";
            // The other group is in a later epoch, holds a step and is armed.
            rank_view view = viewOf(group, rank, group == "a" ? 1 : 9);
            view.heldStep = group == "a" ? 0 : 40;
            view.armedPlacement = group == "a" ? 0 : 77;
            const rank_observation observation { idOf(group, rank), view, { 8, 1, 1, 1 } };
            among.observe(observation, now);
            if (group == "a")
                alone.observe(observation, now);
        }
        RC_ASSERT(among.epoch() == alone.epoch());
        RC_ASSERT(among.backendIds() == alone.backendIds());
        RC_ASSERT(among.holds().empty());
        RC_ASSERT(among.armedPlacement() == 0);
        RC_ASSERT(among.complete(now) == alone.complete(now));
        RC_ASSERT((among.decide(now) == alone.decide(now)));
    }));
}

TEST_CASE("an agent whose engine moves to another group drops what it knew of the former group's ranks")
{
    group_monitor monitor(smallSettings());
    monitor.observe({ "a0", viewOf("a", 0, 3), {} }, zero);
    monitor.observe({ "a1", viewOf("a", 1, 3), {} }, zero);
    REQUIRE(monitor.complete(zero));
    monitor.follow("b");
    CHECK(monitor.groupSize() == 0);
    CHECK(monitor.backendIds().empty());
    // An epoch lower than the other group's: epochs of two groups are not comparable.
    monitor.observe({ "b0", viewOf("b", 0, 1), {} }, zero);
    CHECK(monitor.epoch() == 1);
}

TEST_CASE("agents lead and report within their own group only")
{
    group_roster roster;
    std::vector<std::string> pool;
    for (const std::string group : { "a", "b", "c" }) {
        for (std::uint32_t rank = 0; rank < 3; ++rank)
            pool.push_back(idOf(group, rank));
    }
    CHECK(roster.members(pool, "a", 3).empty());
    for (const auto& id : pool)
        roster.recordGroup(id, id.substr(0, 1), zero);
    CHECK(roster.members(pool, "b", 3) == std::vector<std::string> { "b0", "b1", "b2" });
    // A rank moves to another group.
    roster.recordGroup("b1", "c", zero);
    CHECK(roster.members(pool, "b", 3) == std::vector<std::string> { "b0", "b2" });
    CHECK(roster.members(pool, "c", 3) == std::vector<std::string> { "b1", "c0", "c1", "c2" });
}

TEST_CASE("where all servers fit in one group, those of an unknown group belong to it")
{
    group_roster roster;
    roster.recordGroup("a0", "a", zero);
    CHECK(roster.members({ "a0", "a1" }, "a", 2) == std::vector<std::string> { "a0", "a1" });
    CHECK(roster.members({ "a0", "a1", "b0" }, "a", 2) == std::vector<std::string> { "a0" });
    CHECK(roster.unknown({ "a0", "a1", "b0" }) == std::vector<std::string> { "a1", "b0" });
}

TEST_CASE("servers are queried for their group until they report it, and again after a while")
{
    group_roster roster;
    const std::vector<std::string> pool { "own", "x", "y" };
    CHECK(roster.selectDueQueries(pool, "own", zero) == std::vector<std::string> { "x", "y" });
    CHECK(roster.selectDueQueries(pool, "own", zero + milliseconds(499)).empty());
    roster.recordGroup("x", "a", zero + milliseconds(100));
    CHECK(roster.selectDueQueries(pool, "own", zero + milliseconds(500)) == std::vector<std::string> { "y" });
    CHECK(roster.selectDueQueries(pool, "own", zero + milliseconds(10'100)) == std::vector<std::string> { "x", "y" });
    // A replaced server has another id, and its group is not known.
    roster.selectDueQueries({ "own", "y" }, "own", zero + milliseconds(10'200));
    CHECK(roster.groupOf("x").empty());
}

TEST_CASE("a closed group excludes its own servers from the choice and no others")
{
    fleet made;
    addGroups(made);
    const upstream_choice choice;
    made.groups.mergeUpdate({ { service, "b" }, { 1, false } }, milliseconds(0), zero);
    CHECK_FALSE(made.groups.closed(service, zero));
    std::map<char, int> chosen;
    for (int i = 0; i < 300; ++i)
        ++chosen[choice.choose(ask(), made.backends, made.loads, made.groups, made.backpressure, made.random).front()];
    CHECK(chosen['b'] == 0);
    CHECK(chosen['a'] > 100);
    CHECK(chosen['c'] > 100);
    CHECK(poolLoad({ service, std::nullopt, milliseconds(0), milliseconds(0), zero }, made.backends, made.loads, made.groups, made.backpressure).capacity == 80);
}

TEST_CASE("a refusal by an engine with free slots closes its own group and no other")
{
    fleet made;
    addGroups(made);
    made.groups.recordRefusal(service, backendHash("c2"), zero + milliseconds(10));
    const instant now = zero + milliseconds(20);
    CHECK(made.groups.closedAt(service, backendHash("c0"), now));
    CHECK_FALSE(made.groups.closedAt(service, backendHash("a0"), now));
    CHECK_FALSE(made.groups.closed(service, now));
    // A refusal by an engine of an unknown group closes no group.
    made.groups.recordRefusal(service, backendHash("new"), now);
    CHECK_FALSE(made.groups.closed(service, now));
    made.groups.mergeUpdate({ { service, "c" }, { 1, true } }, milliseconds(0), now);
    CHECK_FALSE(made.groups.closedAt(service, backendHash("c0"), now));
}

TEST_CASE("a service is closed when all of its groups are, from the time when the last of them closed")
{
    fleet made;
    addGroups(made);
    instant now = zero;
    for (const std::string group : { "a", "b", "c" }) {
        CHECK_FALSE(made.groups.closed(service, now));
        now += milliseconds(100);
        made.groups.mergeUpdate({ { service, group }, { 1, false } }, milliseconds(0), now);
    }
    CHECK(made.groups.closed(service, now));
    CHECK(made.groups.closedFor(service, now + milliseconds(50)) == milliseconds(50));
    // Where no group is open all servers are candidates: the known state may be wrong.
    CHECK_FALSE(upstream_choice().choose(ask(), made.backends, made.loads, made.groups, made.backpressure, made.random).empty());
    made.groups.mergeUpdate({ { service, "b" }, { 2, true } }, milliseconds(0), now);
    CHECK_FALSE(made.groups.closed(service, now));
}

TEST_CASE("groups of two services may have the same name")
{
    group_directory board(lifetime);
    board.mergeUpdate({ { "model", "a" }, { 1, true } }, milliseconds(0), zero);
    board.mergeUpdate({ { "letters", "a" }, { 1, false } }, milliseconds(0), zero);
    CHECK_FALSE(board.closed("model", zero));
    CHECK(board.closed("letters", zero));
}

TEST_CASE("a group that was formed again under another name does not keep its service open")
{
    group_directory board(lifetime);
    board.mergeUpdate({ { service, "old" }, { 1, true } }, milliseconds(0), zero);
    const instant later = zero + milliseconds(10'000);
    board.mergeUpdate({ { service, "new" }, { 1, false } }, milliseconds(0), later);
    CHECK(board.closed(service, later));
    CHECK(board.updates(later).size() == 1);
}
