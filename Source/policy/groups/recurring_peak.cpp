#include "policy/groups/recurring_peak.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Half the time between two peaks that are to be told apart. Twenty cells cover three to four shifts of demand.
    constexpr milliseconds cellLength { 500 };
    // Two peaks are separate if the value between them fell to this part of the lower one.
    constexpr double valleyPart = 0.75;

    std::int64_t cellNumber(instant time)
    {
        return time.time_since_epoch() / cellLength;
    }

} // namespace

void recurring_peak::record(double value, instant now)
{
    const std::int64_t number = cellNumber(now);
    cell& current = m_cells[static_cast<std::size_t>(number) % cellCount];
    if (current.number != number)
        current = { number, 0 };
    current.highest = std::max(current.highest, value);
}

double recurring_peak::highestIn(std::int64_t number) const
{
    const cell& found = m_cells[static_cast<std::size_t>(number) % cellCount];
    return found.number == number ? found.highest : 0;
}

// Load pattern: demand shifts each two to three seconds, and for half a second a sequence adds two to three times its usual
// time to a pass. An answer that is written for two seconds nearly always sees such a pass, and is late by it: what may run
// at once has to follow these passes before the next one comes. A single excess, however long, predicts nothing and does not count.
double recurring_peak::value(instant now) const
{
    const std::int64_t last = cellNumber(now);
    const std::int64_t first = last - static_cast<std::int64_t>(cellCount) + 1;
    double best = 0;
    for (std::int64_t from = first; from <= last; ++from) {
        const double earlier = highestIn(from);
        if (earlier <= best)
            continue;
        double valley = earlier;
        for (std::int64_t to = from + 1; to <= last; ++to) {
            const double next = highestIn(to);
            if (next <= 0)
                continue;
            valley = std::min(valley, next);
            const double lower = std::min(earlier, next);
            if (valley <= valleyPart * lower)
                best = std::max(best, lower);
        }
    }
    return best;
}

} // namespace rampgap
