#include "policy/requests/start_budget.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // Free slots are filled over this time: about the age of the counts, so that few starts which these do not
    // show yet are given out twice.
    constexpr double fillSeconds = 0.3;
    // Least part of the ending requests that is replaced: counted requests that nobody waits for must not stop all others.
    constexpr double leastPartOfEnds = 0.1;
    // Time over which the part of competing entry VMs is averaged, and the least one assumed.
    constexpr double wantedTimeSeconds = 2;
    constexpr double minWantedPart = 0.05;
    // Limits the chance of an entry VM that had nothing to start for long.
    constexpr double maxDrawSeconds = 0.1;
    // Below this part of the capacity there is room for what arrives until the counts show it.
    constexpr double roomyPart = 0.8;
    // As long as callers wait: after a full group, all entry VMs have a request to start at the same moment.
    constexpr milliseconds crowdedTime { 1'500 };

    double seconds(duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

} // namespace

void start_budget::update(const admission_share_input& input, milliseconds run, bool wanted, double draw, instant now)
{
    const double capacity = sharedCapacity(input);
    const double ends = input.load / std::max(0.1, seconds(run));
    const double perSecond = std::max(leastPartOfEnds * ends, ends + (capacity - input.load) / fillSeconds);
    const double elapsed = m_updatedAt ? seconds(now - *m_updatedAt) : 0;
    m_wantedPart += (1 - std::exp(-elapsed / wantedTimeSeconds)) * ((m_wanted ? 1 : 0) - m_wantedPart);
    m_wanted = wanted;
    const double competing = static_cast<double>(std::max<std::size_t>(1, input.entries)) * std::max(minWantedPart, m_wantedPart);
    // Starts that were kept while there was room would be used although there is none any more.
    if (input.load > capacity)
        m_starts = 0;
    // Drawn at random: saved up, the parts of all entry VMs would reach one start at the same moment.
    if (wanted && draw < perSecond / competing * std::min(maxDrawSeconds, elapsed))
        m_starts = 1;
    m_updatedAt = now;
    if (input.load >= roomyPart * capacity)
        m_crowdedAt = now;
    else if (!m_crowdedAt || now - *m_crowdedAt >= crowdedTime)
        m_starts = 1;
}

void start_budget::recordStart()
{
    m_starts = std::max(0, m_starts - 1);
}

} // namespace rampgap
