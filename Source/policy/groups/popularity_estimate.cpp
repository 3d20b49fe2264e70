#include "policy/groups/popularity_estimate.h"

#include <cmath>

namespace rampgap {

namespace {

    constexpr double trendWeight = 0.3;
    // Keeps the logarithm finite for an expert that got no tokens.
    constexpr double floorCount = 0.5;

} // namespace

popularity_estimate::popularity_estimate(std::size_t experts, double levelWeight, double damping)
    : m_levelWeight(levelWeight)
    , m_damping(damping)
    , m_level(experts, 0.0)
    , m_trend(experts, 0.0)
{
}

void popularity_estimate::observe(const std::vector<double>& counts)
{
    for (std::size_t expert = 0; expert < m_level.size(); ++expert) {
        const double observed = std::log(counts[expert] + floorCount);
        if (m_observations == 0) {
            m_level[expert] = observed;
            continue;
        }
        const double before = m_level[expert];
        const double expected = before + m_damping * m_trend[expert];
        m_level[expert] = expected + m_levelWeight * (observed - expected);
        m_trend[expert] += trendWeight * (m_level[expert] - before - m_trend[expert]);
    }
    ++m_observations;
}

std::vector<double> popularity_estimate::predicted() const
{
    std::vector<double> counts(m_level.size());
    for (std::size_t expert = 0; expert < counts.size(); ++expert)
        counts[expert] = std::exp(m_level[expert] + m_damping * m_trend[expert]);
    return counts;
}

} // namespace rampgap
