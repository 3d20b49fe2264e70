// Checks with the real encoders that the messages of the largest planned group take no more than a third
// of any machine's link.
#include "gateway/groups/expert_count_codec.h"
#include "gateway/groups/placement_codec.h"
#include "gateway/groups/rank_wire.h"
#include "gateway/peers/peer_wire.h"
#include "policy/groups/placement_planner.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

struct deployment {
    std::size_t ranks;
    std::size_t layerSets;
    std::size_t experts;
    std::size_t slots;
    std::size_t entries;
    std::size_t zones;
    double agentMbps;
    double entryMbps;
};

const deployment large { 129, 16, 258, 3, 149, 5, 6, 40 };
const deployment grown { 63, 8, 252, 5, 40, 3, 8, 40 };
const deployment threeGroups { 24, 16, 96, 5, 32, 3, 8, 40 };

constexpr std::size_t packet = 1'472;
// Overhead of HTTP and TCP per call or answer.
constexpr std::size_t envelope = 300;

rank_view typicalView(std::size_t rank)
{
    rank_view view;
    view.group = "assistant-llm-g0";
    view.epoch = 3;
    view.rank = static_cast<std::uint32_t>(rank);
    view.open = true;
    view.groupSize = 129;
    view.step = 4'000;
    view.placementInUse = 1'760'000'000'000'000;
    view.preparedPlacement = 1'760'000'000'000'000;
    view.orders = 60;
    view.active = 6;
    view.pace = 1.0;
    return view;
}

std::size_t callBytes(std::size_t targets)
{
    gateway::group_call call;
    call.set_leader("i-0e678589ac");
    call.set_group("assistant-llm-g0");
    for (std::size_t i = 0; i < targets; ++i)
        addTargets(call, { { static_cast<std::uint32_t>(i), "i-0e678589ac", "10.105.64.25:8289", 0, agent_reachability::forwards } });
    return call.ByteSizeLong() + envelope;
}

std::size_t answerBytes(const deployment& deployed, std::size_t targets, bool withChoices)
{
    gateway::group_answer answer;
    if (withChoices)
        answer.set_choices(packExpertCounts(std::vector<std::uint64_t>(deployed.layerSets * deployed.experts, 77)));
    for (std::size_t i = 0; i < targets; ++i) {
        auto* rank = answer.add_ranks();
        rank->set_index(static_cast<std::uint32_t>(i));
        rank->set_reached(true);
        *rank->mutable_view() = toWire(typicalView(i));
    }
    return answer.ByteSizeLong() + envelope;
}

// Bytes that the caller sends and receives in one poll of so many targets.
std::size_t pollBytes(const deployment& deployed, std::size_t targets, bool withChoices)
{
    std::size_t bytes = 0;
    for (const auto& part : splitCall(std::vector<call_target>(targets)))
        bytes += callBytes(part.size()) + answerBytes(deployed, part.size(), withChoices);
    return bytes;
}

poll_plan pollPlanOf(const deployment& deployed)
{
    return planPolls({ deployed.agentMbps, deployed.ranks, deployed.layerSets * deployed.experts }, milliseconds(100));
}

double shareOfLink(std::size_t bytes, milliseconds each, double mbps)
{
    return static_cast<double>(bytes) * 8 / (mbps * 1'000) / static_cast<double>(each.count());
}

std::vector<gateway::peer_datagram> loadDatagrams(const deployment& deployed)
{
    gateway::peer_datagram common;
    *common.mutable_sender() = toWire(peer_info { "10.105.64.25", "hall-charguia", peer_role::agent, 1'796'000'000'000'000'000 });
    common.set_revision(123'456);
    const group_key key { "assistant-llm", "assistant-llm-g0" };
    addGroups(common, { { { key, { 3, true } }, milliseconds(40) } });
    load_report_by_hash loads;
    for (std::size_t i = 0; i < deployed.ranks; ++i)
        loads[backendHash(std::to_string(i))] = { 6, 0, 1.0 };
    return rankDatagrams(common, { key, { 1.3, 1.0 }, milliseconds(84), loads });
}

std::size_t bytesOf(const std::vector<gateway::peer_datagram>& datagrams)
{
    std::size_t bytes = 0;
    for (const auto& datagram : datagrams)
        bytes += datagram.ByteSizeLong();
    return bytes;
}

} // namespace

TEST_CASE("polling all ranks and reporting their loads take at most a third of the leader's link")
{
    for (const auto& deployed : { large, grown, threeGroups }) {
        const poll_plan plan = pollPlanOf(deployed);
        const std::size_t others = deployed.ranks - 1;
        const auto polls = static_cast<std::size_t>(plan.pollsPerCounts);
        const std::size_t bytes = pollBytes(deployed, others, true) + (polls - 1) * pollBytes(deployed, others, false) + polls * deployed.zones * bytesOf(loadDatagrams(deployed));
        CHECK(shareOfLink(bytes, plan.pause * plan.pollsPerCounts, deployed.agentMbps) < 0.34);
        CHECK(plan.pause * plan.pollsPerCounts <= milliseconds(300));
        CHECK(plan.pause <= milliseconds(150));
    }
}

TEST_CASE("an agent that forwards a poll sends and receives no more than its leader")
{
    const auto parts = splitCall(std::vector<call_target>(large.ranks - 1));
    CHECK(pollBytes(large, parts.front().size() - 1, true) <= pollBytes(large, large.ranks - 1, true));
}

TEST_CASE("a placement reaches all ranks through 6 Mbit/s links within the budget of its call")
{
    const std::size_t contents = packPlacement(initialPlacement(large.layerSets, large.experts, large.ranks)).size();
    // With all expert slots in use.
    const std::size_t largestContents = large.layerSets * large.ranks * (2 + large.slots * 9) / 8 + 8;
    CHECK(contents < largestContents);
    CHECK(largestContents < 7'600);
    const call_limits limits { large.agentMbps, large.ranks - 1, largestContents };
    const double onceMs = static_cast<double>(callFanout * (largestContents + callBytes(22))) * 8 / (large.agentMbps * 1'000);
    CHECK(onceMs * static_cast<double>(callDepth(large.ranks - 1)) < static_cast<double>(callBudget(limits).count()));
    CHECK(callBudget(limits) < milliseconds(1'000));
}

TEST_CASE("the loads of 129 ranks fit one packet, those of 390 take three")
{
    const auto one = loadDatagrams(large);
    REQUIRE(one.size() == 1);
    CHECK(one.front().ByteSizeLong() <= packet);
    deployment larger = large;
    larger.ranks = 390;
    const auto several = loadDatagrams(larger);
    CHECK(several.size() == 3);
    std::size_t ranks = 0;
    for (const auto& datagram : several) {
        CHECK(datagram.ByteSizeLong() <= packet);
        ranks += ranksOf(datagram).loads.size();
    }
    CHECK(ranks == larger.ranks);
}

// For each poll a random entry VM of the zone is chosen to forward the loads.
TEST_CASE("forwarding loads in their zone takes 0.06 of an entry VM's link during one poll, and 0.002 on average")
{
    const std::size_t inZone = large.entries / large.zones;
    const std::size_t bytes = bytesOf(loadDatagrams(large)) * (1 + inZone);
    const double whileForwarding = shareOfLink(bytes, pollPlanOf(large).pause, large.entryMbps);
    CHECK(whileForwarding < 0.06);
    CHECK(whileForwarding / static_cast<double>(inZone) < 0.002);
}
