// Decides which experts to move between ranks: few moves, each worth the weights that it loads.
#pragma once

#include "policy/common/verdict.h"
#include "policy/groups/expert_placement.h"

#include <memory>
#include <string_view>
#include <vector>

namespace rampgap {

// How an operator weighs step-time skew against the cost of moves.
struct rebalance_settings {
    // Skew up to which no expert is moved.
    double targetSkew = 1.05;
    // Smallest reduction of the slowest rank's time, as a share of the mean, that justifies loading one
    // weight. Decreases with the weight of skew, increases with the weight of cost.
    double gainPerMove = 0.002;
    std::size_t maxMoves = 128;

    static rebalance_settings make(double skewWeight, double costWeight);
    bool operator==(const rebalance_settings&) const = default;
};

// A policy gets the predicted popularity of one layer and the speeds of the ranks.
class rebalancer {
public:
    virtual ~rebalancer() = default;

    virtual expert_placement decide(const expert_placement& current, const std::vector<double>& popularity, const std::vector<double>& speeds) const = 0;

    // "static" (no changes), "full" (a new greedy placement, matched to the old one to save moves) or
    // "few_moves".
    static result<std::unique_ptr<rebalancer>> make(std::string_view name, rebalance_settings);
};

} // namespace rampgap
