// Decides which experts to copy where, so that the most loaded rank of each layer set has
// little more than the mean.
#pragma once

#include "policy/rank_types.h"

#include <vector>

namespace rampgap {

struct planner_limits {
    std::size_t slotsPerRank = 8;
    // New experts of a rank and layer set that one preparation may bring.
    std::size_t newPerSet = 3;
    // New experts of a rank over all layer sets: each takes time to copy.
    std::size_t newPerRank = 4;
    // Most loaded rank against the mean that is not worth a copy.
    double targetSkew = 1.12;

    bool operator==(const planner_limits&) const = default;
};

// Share of the choices of each expert, by layer set.
using expert_shares = std::vector<std::vector<double>>;

// How much longer than usual each rank takes for the same work; 1 is usual.
using rank_paces = std::vector<double>;

// Time of the slowest rank over that of a rank with the mean load and the usual pace, for
// one layer set.
double layerSkew(const std::vector<std::vector<std::uint16_t>>& ranks, const std::vector<double>& shares, const rank_paces&);
// Mean of the layer sets: what a pass's expert part is lengthened by.
double groupSkew(const group_placement&, const expert_shares&, const rank_paces&);

// Placement 0, as engines have it when a group opens: experts are dealt to the ranks in turn.
group_placement initialPlacement(std::size_t sets, std::size_t experts, std::size_t ranks);

// A better placement within the limits; the given one if there is none.
group_placement planPlacement(const group_placement& current, const expert_shares&, const rank_paces&, const planner_limits&);

// New experts over all layer sets: of all ranks together, and of the rank that has most.
std::size_t allNewExperts(const group_placement& from, const group_placement& to);
std::size_t mostNewExperts(const group_placement& from, const group_placement& to);

} // namespace rampgap
