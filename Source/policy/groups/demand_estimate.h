// Estimates the demand for each expert from the router choices that the ranks of a group report.
#pragma once

#include "policy/common/verdict.h"
#include "policy/groups/placement_planner.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace rampgap {

struct demand_settings {
    std::size_t layerSets = 0;
    std::size_t experts = 0;
    // Half-life of the average's weights; long, since a single report is a small sample.
    milliseconds halfLife { 700 };
    // Half-life of the newest choices, which reveal a shift: about one report of each rank.
    milliseconds newestHalfLife { 80 };
    // Longer gaps between reports don't reduce the weights any further: the ranks of an open group
    // report more often.
    milliseconds maxReportGap { 100 };
    // If a larger fraction of a layer set's choices moved to other experts, its demand has shifted.
    // Under unchanged demand reports differ by 0.06 in the median, nine of ten by at most 0.12.
    double shiftDistance = 0.15;
    // Smallest number of choices from which an estimate is made.
    double leastChoices = 20'000;

    bool operator==(const demand_settings&) const = default;
};

// Averages while demand is steady, and starts over in a layer set whose demand has shifted. A plain
// average would follow a shift only after its half-life, and until then the group would run with
// the skew of a placement for the old demand.
class demand_estimate {
public:
    explicit demand_estimate(demand_settings);

    // `choices`: of one rank since its last report, by layer set and expert.
    void add(const std::vector<std::uint64_t>& choices, instant now);
    // True once enough choices were reported.
    bool known() const { return m_sum >= m_settings.leastChoices; }
    expert_shares shares() const;

private:
    void followShift(std::size_t set, instant now);
    bool hasShifted(std::size_t set) const;
    double sumOf(const std::vector<double>& choices, std::size_t set) const;

    demand_settings m_settings;
    std::vector<double> m_average;
    std::vector<double> m_newest;
    // When each layer set's demand was last found to differ from the average.
    std::vector<std::optional<instant>> m_shiftedAt;
    double m_sum = 0;
    instant m_at {};
};

} // namespace rampgap
