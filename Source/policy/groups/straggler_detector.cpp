#include "policy/groups/straggler_detector.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    constexpr double smoothing = 0.3;
    // A rank is slow if its time is above the median by this many deviations and by this share.
    constexpr double deviations = 4;
    constexpr double minExcess = 0.1;

    double median(std::vector<double> values)
    {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

} // namespace

straggler_detector::straggler_detector(std::size_t ranks, std::size_t minSlowIntervals)
    : m_minSlowIntervals(minSlowIntervals)
    , m_verdicts(ranks)
    , m_smoothed(ranks, 0.0)
{
}

// Uses the median and the median deviation, which a single straggler does not shift.
void straggler_detector::observe(const std::vector<double>& timePerWork)
{
    const double centre = median(timePerWork);
    std::vector<double> distances;
    distances.reserve(timePerWork.size());
    for (const double time : timePerWork)
        distances.push_back(std::abs(time - centre));
    const double limit = centre + std::max(deviations * median(distances), minExcess * centre);
    for (std::size_t rank = 0; rank < m_verdicts.size(); ++rank) {
        rank_verdict& verdict = m_verdicts[rank];
        const bool slow = timePerWork[rank] > limit;
        verdict.slowIntervals = slow ? verdict.slowIntervals + 1 : 0;
        m_smoothed[rank] = verdict.slowIntervals <= 1 ? timePerWork[rank] / centre : m_smoothed[rank] + smoothing * (timePerWork[rank] / centre - m_smoothed[rank]);
        verdict.straggler = verdict.slowIntervals >= m_minSlowIntervals;
        verdict.speed = verdict.straggler ? 1 / m_smoothed[rank] : 1;
    }
}

std::vector<double> straggler_detector::speeds() const
{
    std::vector<double> speeds;
    speeds.reserve(m_verdicts.size());
    for (const auto& verdict : m_verdicts)
        speeds.push_back(verdict.speed);
    return speeds;
}

} // namespace rampgap
