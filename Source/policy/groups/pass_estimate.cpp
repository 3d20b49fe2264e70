#include "policy/groups/pass_estimate.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // The median of the gaps that end within it is one sample: a delay in the network reaches few of the streams.
    constexpr milliseconds samplePeriod { 100 };
    // Long enough to average three samples, short against the time in which the load can change.
    constexpr double timeConstantMs = 300;
    // A measure says nothing of the present load when it is older.
    constexpr milliseconds measureLifetime { 500 };
    // Passes vary by sets of experts and prompts. Only excesses over the mean count, so that the estimate falls as
    // soon as passes become shorter; four mean excesses are about two standard deviations.
    constexpr double excessesAboveMean = 4;
    // A held step is one long gap at all streams, and no pass.
    constexpr double outlierFactor = 3;
    // The leader publishes a mean; a stream is late when one of its passes is.
    constexpr double publishedMargin = 1.1;
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
        m_published = measured_pass { static_cast<double>(publishedPass->count()) * publishedMargin, sequences, false };
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
    if (first)
        m_excessMs = 0;
    m_meanMs += weight * (ms - m_meanMs);
    m_sequences += weight * (sequences - m_sequences);
    m_excessMs += weight * (std::max(0.0, ms - m_meanMs) - m_excessMs);
    m_sampledAt = now;
    std::erase_if(m_recent, [now](const sample& each) { return now - each.at >= measureLifetime; });
    m_recent.push_back({ ms, now });
}

std::optional<measured_pass> pass_estimate::value(instant now) const
{
    if (m_sampledAt && now - *m_sampledAt < measureLifetime) {
        // After a jump the excess is large for a while; no pass was longer than the longest.
        const auto longest = std::max_element(m_recent.begin(), m_recent.end(), [](const sample& a, const sample& b) { return a.ms < b.ms; });
        return measured_pass { std::min(m_meanMs + excessesAboveMean * m_excessMs, std::max(m_meanMs, longest->ms)), m_sequences, true };
    }
    if (m_published && now - m_publishedAt < measureLifetime)
        return m_published;
    return std::nullopt;
}

} // namespace rampgap
