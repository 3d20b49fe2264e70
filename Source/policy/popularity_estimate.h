// Predicts how many tokens each expert of a layer gets in the next interval.
#pragma once

#include <vector>

namespace rampgap {

// A level and a trend per expert, both in the logarithm: popularity drifts by factors.
class popularity_estimate {
public:
    // `damping` in [0, 1]: how far the last change is taken to go on.
    popularity_estimate(std::size_t experts, double levelWeight, double damping);

    void observe(const std::vector<double>& counts);
    std::vector<double> predicted() const;
    bool ready() const { return m_seen > 0; }

private:
    double m_levelWeight;
    double m_damping;
    std::vector<double> m_level;
    std::vector<double> m_trend;
    std::size_t m_seen = 0;
};

} // namespace rampgap
