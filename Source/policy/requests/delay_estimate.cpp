#include "policy/requests/delay_estimate.h"

#include <cmath>

namespace rampgap {

namespace {

    // Weights of RFC 6298.
    constexpr double meanWeight = 0.125;
    constexpr double deviationWeight = 0.25;
    constexpr double deviations = 2;

} // namespace

void delay_estimate::observe(milliseconds taken)
{
    const auto takenMs = static_cast<double>(taken.count());
    if (!m_observed) {
        m_observed = true;
        m_meanMs = takenMs;
        m_deviationMs = takenMs / 2;
        return;
    }
    m_deviationMs += deviationWeight * (std::abs(takenMs - m_meanMs) - m_deviationMs);
    m_meanMs += meanWeight * (takenMs - m_meanMs);
}

milliseconds delay_estimate::value() const
{
    return milliseconds(static_cast<std::int64_t>(m_meanMs + deviations * m_deviationMs));
}

milliseconds delay_estimate::mean() const
{
    return milliseconds(static_cast<std::int64_t>(m_meanMs));
}

} // namespace rampgap
