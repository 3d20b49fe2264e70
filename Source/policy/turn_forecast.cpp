#include "policy/turn_forecast.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Long enough for a few events at an entry VM with seven requests a second, short enough
    // to follow the end of a burst.
    constexpr milliseconds window { 2'000 };
    constexpr double millisecondsPerSecond = 1'000;

    std::size_t countLately(std::deque<instant>& events, instant now)
    {
        while (!events.empty() && now - events.front() > window)
            events.pop_front();
        return events.size();
    }

} // namespace

void turn_forecast::noteTimely(instant now)
{
    m_timely.push_back(now);
    countLately(m_timely, now);
}

void turn_forecast::noteLateTurn(instant now)
{
    m_lateTurns.push_back(now);
    countLately(m_lateTurns, now);
}

void turn_forecast::noteEnd(instant now)
{
    m_ends.push_back(now);
    countLately(m_ends, now);
}

// What comes free beyond what those who can be on time take; at least what was seen.
double turn_forecast::lateTurnsPerSecond(instant now)
{
    const auto ends = static_cast<double>(countLately(m_ends, now));
    const auto timely = static_cast<double>(countLately(m_timely, now));
    const auto turns = static_cast<double>(countLately(m_lateTurns, now));
    return std::max(turns, ends - timely) * millisecondsPerSecond / static_cast<double>(window.count());
}

bool turn_forecast::mayWait(int ahead, milliseconds longest, instant now)
{
    // One always may: it finds out when places come free again.
    if (ahead == 0)
        return longest > milliseconds(0);
    const double turns = lateTurnsPerSecond(now) * static_cast<double>(longest.count()) / millisecondsPerSecond;
    return ahead + 1 <= turns;
}

} // namespace rampgap
