// Estimates how long an operation takes, with a margin for its variation.
#pragma once

#include "policy/common/verdict.h"

namespace rampgap {

// Smoothed mean and deviation, as TCP estimates its round-trip time (RFC 6298).
class delay_estimate {
public:
    // `prior` is the estimate until the first observation.
    explicit delay_estimate(milliseconds prior)
        : m_meanMs(static_cast<double>(prior.count()))
    {
    }

    void observe(milliseconds taken);
    // Mean plus two deviations: a timeout for the operation.
    milliseconds value() const;
    // The expected delay.
    milliseconds mean() const;

private:
    double m_meanMs;
    double m_deviationMs = 0;
    bool m_observed = false;
};

} // namespace rampgap
