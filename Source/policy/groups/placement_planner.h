// Decides which experts to copy to which ranks, so that the load of the most loaded rank of each
// layer set is close to the mean.
#pragma once

#include "policy/groups/rank_types.h"

#include <vector>

namespace rampgap {

struct planner_limits {
    std::size_t slotsPerRank = 8;
    // Most new experts that one preparation may add to a rank in one layer set.
    std::size_t maxNewPerSet = 3;
    // Most new experts of a rank over all layer sets: each takes time to copy.
    std::size_t maxNewPerRank = 4;
    // Load of the most loaded rank divided by the mean, up to which no expert is copied.
    double targetSkew = 1.12;

    bool operator==(const planner_limits&) const = default;
};

// Share of the choices of each expert, by layer set.
using expert_shares = std::vector<std::vector<double>>;

// How much longer than usual each rank takes for the same work; 1 is usual.
using rank_paces = std::vector<double>;

// Time of the slowest rank divided by that of a rank with the mean load and the usual pace, for one
// layer set.
double layerSkew(const std::vector<std::vector<std::uint16_t>>& ranks, const std::vector<double>& shares, const rank_paces&);
// Mean over the layer sets: the factor by which the expert part of a pass is longer.
double groupSkew(const group_placement&, const expert_shares&, const rank_paces&);

// Placement 0, with which engines start when a group opens: experts are assigned to the ranks in turn.
group_placement initialPlacement(std::size_t sets, std::size_t experts, std::size_t ranks);

// A better placement within the limits; the given one if there is none.
group_placement planPlacement(const group_placement& current, const expert_shares&, const rank_paces&, const planner_limits&);

// Number of new experts over all layer sets: of all ranks together, and of the rank with the most.
std::size_t totalNewExperts(const group_placement& from, const group_placement& to);
std::size_t maxNewExperts(const group_placement& from, const group_placement& to);

} // namespace rampgap
