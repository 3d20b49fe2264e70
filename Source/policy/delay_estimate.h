// How long something usually takes, with a margin for how much that varies.
#pragma once

#include "policy/verdict.h"

namespace rampgap {

// Smoothed mean and deviation, as TCP estimates its round trips (RFC 6298).
class delay_estimate {
public:
    // `prior` stands until the first observation.
    explicit delay_estimate(milliseconds prior)
        : m_meanMs(static_cast<double>(prior.count()))
    {
    }

    void observe(milliseconds taken);
    // Mean and two deviations: what to wait for before giving up.
    milliseconds value() const;
    // What to expect.
    milliseconds mean() const;

private:
    double m_meanMs;
    double m_deviationMs = 0;
    bool m_observed = false;
};

} // namespace rampgap
