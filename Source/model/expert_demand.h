// Which experts are in demand: a power law over an order that shifts.
#pragma once

#include "policy/groups/placement_planner.h"

#include <random>
#include <vector>

namespace rampgap::model {

class expert_demand {
public:
    expert_demand(std::size_t layerSets, std::size_t experts, double exponent, std::uint64_t seed);

    // Deals a share of the experts anew.
    void shift(double share);
    const expert_shares& shares() const { return m_shares; }

private:
    void update();

    double m_exponent;
    std::mt19937_64 m_random;
    std::vector<std::vector<std::size_t>> m_orders;
    expert_shares m_shares;
};

} // namespace rampgap::model
