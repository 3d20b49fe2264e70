// Percentiles of samples.
#pragma once

#include <algorithm>
#include <vector>

namespace rampgap::bench {

// The value that a share of `part` (0 to 1) of the samples does not exceed.
inline double percentile(std::vector<double> samples, double part)
{
    if (samples.empty())
        return 0;
    const auto index = std::min(samples.size() - 1, static_cast<std::size_t>(part * static_cast<double>(samples.size())));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index), samples.end());
    return samples[index];
}

inline double mean(const std::vector<double>& samples)
{
    double total = 0;
    for (const double sample : samples)
        total += sample;
    return samples.empty() ? 0 : total / static_cast<double>(samples.size());
}

} // namespace rampgap::bench
