// Predicts how many tokens each expert of a layer gets in the next interval.
#pragma once

#include <vector>

namespace rampgap {

// Double exponential smoothing: a level and a trend for each expert, both of the logarithm, since
// popularity changes by factors.
class popularity_estimate {
public:
    // `damping` in [0, 1]: the share of the last change that is expected to continue.
    popularity_estimate(std::size_t experts, double levelWeight, double damping);

    void observe(const std::vector<double>& counts);
    std::vector<double> predicted() const;
    bool ready() const { return m_observations > 0; }

private:
    double m_levelWeight;
    double m_damping;
    std::vector<double> m_level;
    std::vector<double> m_trend;
    std::size_t m_observations = 0;
};

} // namespace rampgap
