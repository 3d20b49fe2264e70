// Guards against a group that copies experts for gains that callers do not notice. Load pattern: other
// experts are in demand each three seconds, at half of the load that the group can carry or near all of it.
#include "model/expert_demand.h"
#include "policy/groups/group_monitor.h"
#include "support/engine_costs.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

const instant zero {};
constexpr std::uint32_t ranks = 24;
constexpr std::size_t layerSets = 16;
constexpr std::size_t experts = 96;
constexpr milliseconds pollInterval { 100 };
constexpr milliseconds changeTime { 270 };
constexpr milliseconds shiftPause { 3'600 };
constexpr double shiftedShare = 0.55;
constexpr double choicesPerPoll = 8'000;

monitor_settings settingsWith(double gainWithHeadroom)
{
    monitor_settings settings;
    settings.demand.layerSets = layerSets;
    settings.demand.experts = experts;
    settings.limits.slotsPerRank = 5;
    settings.limits.maxNewPerRank = 2;
    settings.minGain = 0.053;
    settings.minGainWithHeadroom = gainWithHeadroom;
    settings.costs = test::usualCosts();
    return settings;
}

struct outcome {
    int changes = 0;
    int copies = 0;
    double meanPass = 0;
    // Share of the polls at which passes were longer than the gap.
    double late = 0;
};

outcome replay(double gainWithHeadroom, int requestsPerRank, milliseconds gap = milliseconds(150))
{
    group_monitor monitor(settingsWith(gainWithHeadroom));
    monitor.setLongestGap(gap);
    model::expert_demand demand(layerSets, experts, 0.92, 9);
    group_placement inUse = initialPlacement(layerSets, experts, ranks);
    std::uint64_t number = 0;
    std::optional<std::pair<instant, group_placement>> changing;
    outcome result;
    int polls = 0;
    for (instant now = zero; now < zero + milliseconds(30'000); now += pollInterval, ++polls) {
        if ((now - zero) % shiftPause == milliseconds(0))
            demand.shift(shiftedShare);
        const auto& shares = demand.shares();
        if (changing && now >= changing->first) {
            inUse = changing->second;
            monitor.recordPlacementChange(++number, inUse);
            changing.reset();
        }
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            rank_view view;
            view.group = "g";
            view.epoch = 1;
            view.rank = rank;
            view.open = true;
            view.groupSize = ranks;
            view.placementInUse = number;
            view.active = requestsPerRank;
            monitor.observe({ "s" + std::to_string(rank), view, {} }, now);
        }
        std::vector<std::uint64_t> choices;
        for (const auto& set : shares) {
            for (const double share : set)
                choices.push_back(static_cast<std::uint64_t>(share * choicesPerPoll));
        }
        monitor.recordChoices(choices, now);
        const double skew = groupSkew(inUse, shares, rank_paces(ranks, 1));
        const double pass = passTime(test::usualCosts(), requestsPerRank, { skew, 1 }) * (changing ? 1.15 : 1);
        result.meanPass += pass;
        result.late += pass > static_cast<double>(gap.count()) ? 1 : 0;
        if (changing)
            continue;
        const auto task = monitor.decide(now);
        if (task == leader_task::query_placement)
            monitor.setPlacement(number, inUse);
        if (task != leader_task::change_placement)
            continue;
        ++result.changes;
        result.copies += static_cast<int>(totalNewExperts(inUse, monitor.planned()));
        changing.emplace(now + changeTime, monitor.planned());
    }
    result.meanPass /= polls;
    result.late /= polls;
    return result;
}

} // namespace

TEST_CASE("at half of the load a group copies half as many experts, and no more passes are late")
{
    for (const int load : { 3, 5, 7 }) {
        const outcome eager = replay(0.053, load);
        const outcome now = replay(0.16, load);
        INFO(load << ": " << eager.copies << " and " << now.copies << " copies, passes of " << eager.meanPass << " and " << now.meanPass << " ms");
        CHECK(now.copies * 100 <= eager.copies * 55);
        CHECK(now.meanPass <= eager.meanPass * 1.08);
        CHECK(now.late <= eager.late + 0.01);
    }
}

TEST_CASE("without headroom every gain is used")
{
    const outcome eager = replay(0.053, 9, milliseconds(60));
    CHECK(replay(0.16, 9, milliseconds(60)).copies == eager.copies);
    // The same where callers give no gap.
    CHECK(replay(0.16, 5, milliseconds(0)).copies == eager.copies);
}
