#include "model/expert_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace rampgap::model {

expert_demand::expert_demand(std::size_t layerSets, std::size_t experts, double exponent, std::uint64_t seed)
    : m_exponent(exponent)
    , m_random(seed)
    , m_orders(layerSets, std::vector<std::size_t>(experts))
    , m_shares(layerSets, std::vector<double>(experts))
{
    for (auto& order : m_orders) {
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), m_random);
    }
    update();
}

void expert_demand::shift(double share)
{
    for (auto& order : m_orders) {
        std::uniform_int_distribution<std::size_t> other(0, order.size() - 1);
        for (auto& place : order) {
            if (std::bernoulli_distribution(share)(m_random))
                std::swap(place, order[other(m_random)]);
        }
    }
    update();
}

void expert_demand::update()
{
    for (std::size_t set = 0; set < m_orders.size(); ++set) {
        double sum = 0;
        for (std::size_t e = 0; e < m_orders[set].size(); ++e)
            sum += m_shares[set][e] = std::pow(1.0 + static_cast<double>(m_orders[set][e]), -m_exponent);
        for (double& share : m_shares[set])
            share /= sum;
    }
}

} // namespace rampgap::model
