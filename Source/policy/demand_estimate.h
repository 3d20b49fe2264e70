// Which experts are in demand, from the choices that the ranks of a group report.
#pragma once

#include "policy/placement_planner.h"
#include "policy/verdict.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace rampgap {

struct demand_settings {
    std::size_t layerSets = 0;
    std::size_t experts = 0;
    // Weight of the past falls by half in this time; long, since a single report says little.
    milliseconds halfLife { 700 };
    // The same for the newest choices, which show a shift: about one report of each rank.
    milliseconds newestHalfLife { 80 };
    // Longer gaps between reports fade the past no further: the ranks of an open group report
    // more often.
    milliseconds longestGap { 100 };
    // Part of a layer set's choices that moved to other experts and is taken for a shift.
    // Reports of one demand are 0.06 apart in the median, 0.12 at most in nine of ten.
    double shiftDistance = 0.15;
    // Choices that mean anything.
    double leastChoices = 20'000;

    bool operator==(const demand_settings&) const = default;
};

// Averages while demand stays, and starts over in a layer set whose demand has shifted. A
// plain average follows a shift after its half-life, in which the group runs at the skew of
// the old demand.
class demand_estimate {
public:
    explicit demand_estimate(demand_settings);

    // `choices`: of one rank since its last report, set by set and expert by expert.
    void add(const std::vector<std::uint64_t>& choices, instant now);
    // True once enough choices were seen.
    bool known() const { return m_sum >= m_settings.leastChoices; }
    expert_shares shares() const;

private:
    void followShift(std::size_t set, instant now);
    bool hasShifted(std::size_t set) const;
    double sumOf(const std::vector<double>& choices, std::size_t set) const;

    demand_settings m_settings;
    std::vector<double> m_average;
    std::vector<double> m_newest;
    // When each layer set's demand was last found elsewhere than in the average.
    std::vector<std::optional<instant>> m_shiftedAt;
    double m_sum = 0;
    instant m_at {};
};

} // namespace rampgap
