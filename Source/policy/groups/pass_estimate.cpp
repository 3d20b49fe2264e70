#include "policy/groups/pass_estimate.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // The median of the gaps that end within it is one sample: a delay in the network reaches few of the streams.
    constexpr milliseconds samplePeriod { 100 };
    // Averages three samples. A shift of demand lengthens passes for about this time; following it at once would make
    // callers wait although the passes stay short enough.
    constexpr double timeConstantMs = 300;
    // A measure says nothing of the present load when it is older.
    constexpr milliseconds measureLifetime { 500 };
    // A held step is one long gap at all streams, and no pass.
    constexpr double outlierFactor = 3;
    // Bounds memory between two updates.
    constexpr std::size_t maxGaps = 512;

    double inMs(duration time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }

} // namespace

void pass_estimate::recordGap(duration gap, instant now)
{
    if (m_gapsMs.empty())
        m_gapsSince = now;
    if (m_gapsMs.size() < maxGaps)
        m_gapsMs.push_back(inMs(gap));
}

void pass_estimate::update(double sequences, std::optional<milliseconds> publishedPass, instant now)
{
    if (publishedPass) {
        m_published = measured_pass { static_cast<double>(publishedPass->count()), sequences, false };
        m_publishedAt = now;
    }
    if (m_gapsMs.empty() || now - m_gapsSince < samplePeriod)
        return;
    const auto middle = m_gapsMs.begin() + static_cast<std::ptrdiff_t>(m_gapsMs.size() / 2);
    std::nth_element(m_gapsMs.begin(), middle, m_gapsMs.end());
    const double median = *middle;
    m_gapsMs.clear();
    if (!isSingleOutlier(median))
        addSample(median, sequences, now);
}

bool pass_estimate::isSingleOutlier(double ms)
{
    const bool wasOutlier = m_lastWasOutlier;
    m_lastWasOutlier = m_sampledAt && ms > m_meanMs * outlierFactor;
    return m_lastWasOutlier && !wasOutlier;
}

// Durations and counts are averaged alike: with a count that is newer than the passes, a load that rises would
// seem to be cheap and be raised further.
void pass_estimate::addSample(double ms, double sequences, instant now)
{
    const bool first = !m_sampledAt || now - *m_sampledAt >= measureLifetime;
    const double weight = first ? 1 : 1 - std::exp(-inMs(now - *m_sampledAt) / timeConstantMs);
    m_meanMs += weight * (ms - m_meanMs);
    m_sequences += weight * (sequences - m_sequences);
    m_sampledAt = now;
}

std::optional<measured_pass> pass_estimate::value(instant now) const
{
    if (m_sampledAt && now - *m_sampledAt < measureLifetime)
        return measured_pass { m_meanMs, m_sequences, true };
    if (m_published && now - m_publishedAt < measureLifetime)
        return m_published;
    return std::nullopt;
}

} // namespace rampgap
