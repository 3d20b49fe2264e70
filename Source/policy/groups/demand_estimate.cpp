#include "policy/groups/demand_estimate.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace rampgap {

namespace {

    // For so many half-lives after a shift the average is replaced by the newest choices; in this time
    // those from before the shift lose three quarters of their weight.
    constexpr int newestHalfLives = 2;

    double remainingWeight(double elapsedMs, milliseconds halfLife)
    {
        return std::exp2(-elapsedMs / static_cast<double>(halfLife.count()));
    }

} // namespace

demand_estimate::demand_estimate(demand_settings settings)
    : m_settings(settings)
    , m_average(settings.layerSets * settings.experts, 0.0)
    , m_newest(m_average)
    , m_shiftedAt(settings.layerSets)
{
}

void demand_estimate::add(const std::vector<std::uint64_t>& choices, instant now)
{
    const bool anyChoice = std::any_of(choices.begin(), choices.end(), [](std::uint64_t count) { return count > 0; });
    if (choices.size() != m_average.size() || !anyChoice)
        return;
    const double sinceLast = std::chrono::duration<double, std::milli>(now - m_at).count();
    // While a group is closed nothing is chosen, and the previous demand stays the best estimate.
    const double elapsed = std::min(sinceLast, static_cast<double>(m_settings.maxReportGap.count()));
    const double averageWeight = remainingWeight(elapsed, m_settings.halfLife);
    const double newestWeight = remainingWeight(elapsed, m_settings.newestHalfLife);
    m_at = now;
    for (std::size_t i = 0; i < choices.size(); ++i) {
        m_average[i] = m_average[i] * averageWeight + static_cast<double>(choices[i]);
        m_newest[i] = m_newest[i] * newestWeight + static_cast<double>(choices[i]);
    }
    for (std::size_t set = 0; set < m_settings.layerSets; ++set)
        followShift(set, now);
    m_sum = std::accumulate(m_average.begin(), m_average.end(), 0.0);
}

// As a shift is detected, some of the newest choices are still from before it: the average follows
// them until these have faded.
void demand_estimate::followShift(std::size_t set, instant now)
{
    if (hasShifted(set))
        m_shiftedAt[set] = now;
    if (!m_shiftedAt[set] || now - *m_shiftedAt[set] > newestHalfLives * m_settings.newestHalfLife)
        return;
    const auto from = static_cast<std::ptrdiff_t>(set * m_settings.experts);
    std::copy_n(m_newest.begin() + from, m_settings.experts, m_average.begin() + from);
}

bool demand_estimate::hasShifted(std::size_t set) const
{
    const double average = sumOf(m_average, set);
    const double newest = sumOf(m_newest, set);
    if (newest * static_cast<double>(m_settings.layerSets) < m_settings.leastChoices)
        return false;
    const std::size_t from = set * m_settings.experts;
    const std::size_t to = from + m_settings.experts;
    double moved = 0;
    for (std::size_t i = from; i < to; ++i)
        moved += std::abs(m_average[i] / average - m_newest[i] / newest) / 2;
    return moved > m_settings.shiftDistance;
}

double demand_estimate::sumOf(const std::vector<double>& choices, std::size_t set) const
{
    const auto from = choices.begin() + static_cast<std::ptrdiff_t>(set * m_settings.experts);
    return std::accumulate(from, from + static_cast<std::ptrdiff_t>(m_settings.experts), 0.0);
}

expert_shares demand_estimate::shares() const
{
    expert_shares estimate(m_settings.layerSets, std::vector<double>(m_settings.experts, 1.0 / static_cast<double>(m_settings.experts)));
    for (std::size_t set = 0; set < m_settings.layerSets; ++set) {
        const double sum = sumOf(m_average, set);
        for (std::size_t e = 0; e < m_settings.experts && sum > 0; ++e)
            estimate[set][e] = m_average[set * m_settings.experts + e] / sum;
    }
    return estimate;
}

} // namespace rampgap
