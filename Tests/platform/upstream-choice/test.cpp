// Choice of a server by load, health and zone.
#include "policy/routing/upstream_choice.h"

#include <doctest/doctest.h>
#include <map>

using namespace rampgap;

namespace {

const instant zero {};

struct fleet {
    backend_directory backends;
    load_table loads { milliseconds(600) };
    group_directory groups { milliseconds(1'500) };
    server_backpressure backpressure;
    std::mt19937_64 random { 5 };
};

void addServers(fleet& made, int servers)
{
    for (int i = 0; i < servers; ++i)
        made.backends.list({ "s" + std::to_string(i), "model", "10.0.0." + std::to_string(i) + ":80", "a", 12, false, 1 });
}

upstream_input ask(const std::vector<std::string>& tried = {})
{
    upstream_input input;
    input.service = "model";
    engine_costs costs;
    costs.stepMs = 4.5;
    costs.perSequenceMs = 0.9;
    costs.stepsPerPass = 4;
    costs.prefillTokensPerMs = 61;
    input.costs = costs;
    input.promptTokens = 800;
    input.tried = tried;
    input.ownZone = "a";
    input.now = zero;
    return input;
}

} // namespace

TEST_CASE("entry VMs with the same old counts do not all choose the same server")
{
    fleet made;
    addServers(made, 60);
    load_report_by_hash counts;
    for (int i = 0; i < 60; ++i)
        counts[backendHash("s" + std::to_string(i))] = { i == 0 ? 0 : 5, 0, 1 };
    made.loads.mergeRankLoads(counts, zero);
    const upstream_choice choice;
    std::map<std::string, int> chosen;
    for (int entry = 0; entry < 40; ++entry)
        ++chosen[choice.choose(ask(), made.backends, made.loads, made.groups, made.backpressure, made.random)];
    for (const auto& [id, count] : chosen)
        CHECK(count <= 8);
}

TEST_CASE("a full server is chosen only if all are full")
{
    fleet made;
    addServers(made, 20);
    load_report_by_hash counts;
    for (int i = 0; i < 20; ++i)
        counts[backendHash("s" + std::to_string(i))] = { i == 7 ? 3 : 12, 0, 1 };
    made.loads.mergeRankLoads(counts, zero);
    const upstream_choice choice;
    for (int i = 0; i < 30; ++i)
        CHECK(choice.choose(ask(), made.backends, made.loads, made.groups, made.backpressure, made.random) == "s7");
}

TEST_CASE("a server that was tried or is avoided is chosen only if no other is left")
{
    fleet made;
    addServers(made, 2);
    const upstream_choice choice;
    CHECK(choice.choose(ask({ "s0" }), made.backends, made.loads, made.groups, made.backpressure, made.random) == "s1");
    made.backends.recordResult("s1", attempt_result::unreachable, zero);
    for (int i = 0; i < 10; ++i)
        CHECK(choice.choose(ask(), made.backends, made.loads, made.groups, made.backpressure, made.random) == "s0");
    CHECK(choice.choose(ask({ "s0" }), made.backends, made.loads, made.groups, made.backpressure, made.random) == "s1");
    CHECK(choice.choose(ask({ "s0", "s1" }), made.backends, made.loads, made.groups, made.backpressure, made.random).empty());
}

TEST_CASE("an avoided server gets no requests even if the others have more load")
{
    fleet made;
    addServers(made, 3);
    made.backends.recordResult("s1", attempt_result::silent, zero);
    // Answers since then have brought its failure share close to 0, but the pause still holds.
    for (int i = 0; i < 40; ++i)
        made.backends.recordResult("s1", attempt_result::answered, zero);
    made.loads.mergeRankLoads({ { backendHash("s0"), { 10, 0, 1 } }, { backendHash("s2"), { 10, 0, 1 } }, { backendHash("s1"), { 0, 0, 1 } } }, zero);
    const upstream_choice choice;
    for (int i = 0; i < 20; ++i)
        CHECK(choice.choose(ask(), made.backends, made.loads, made.groups, made.backpressure, made.random) != "s1");
}

TEST_CASE("counts of the engines override reports of peers, and include what was sent since")
{
    load_table loads(milliseconds(600));
    loads.mergePeerState("p", { { backendHash("s"), { 9, 100, 1 } } }, zero);
    CHECK(loads.total("s", zero).requests == 9);
    loads.mergeRankLoads({ { backendHash("s"), { 4, 0, 1 } } }, zero);
    CHECK(loads.total("s", zero).requests == 4);
    loads.recordSent("s", 50, zero);
    CHECK(loads.total("s", zero).requests == 5);
    CHECK(loads.total("s", zero + milliseconds(500)).requests == 4);
    loads.recordEnded("s", 50);
    CHECK(loads.own("s").requests == 0);
    CHECK(loads.total("s", zero + milliseconds(700)).requests == 0);
}

TEST_CASE("only servers that a leader has reported are known to be ranks of its group")
{
    load_table loads(milliseconds(400));
    CHECK_FALSE(loads.isKnownRank("a"));
    loads.mergeRankLoads({ { backendHash("a"), { 2, 0, 1 } } }, instant {});
    CHECK(loads.isKnownRank("a"));
    CHECK_FALSE(loads.isKnownRank("b"));
}
