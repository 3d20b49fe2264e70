#include "policy/requests/return_schedule.h"

#include "policy/groups/group_wait.h"
#include "policy/requests/admission_wait.h"
#include <algorithm>
#include <numeric>

namespace rampgap {

namespace {

    // Long enough that callers of one cell do not arrive as a burst, short against the pauses.
    constexpr milliseconds cellLength { 100 };
    // Below this free part a cell counts as taken; sums of parts may differ from whole starts by it.
    constexpr double minFree = 1e-6;
    // An urgency shares the moments if one of its callers was refused within this time.
    constexpr milliseconds urgencyMemory { 2'000 };
    // Half of the patience of most callers: how long one waits for a start in the mean.
    constexpr milliseconds waitAfterReturn { 1'000 };

    std::int64_t cellOf(instant time)
    {
        return time.time_since_epoch() / cellLength;
    }

    milliseconds pauseUntil(std::int64_t cell, double draw, instant now, milliseconds longest)
    {
        const auto within = std::chrono::duration_cast<duration>(cellLength * draw);
        const auto pause = std::chrono::duration_cast<milliseconds>(instant(cellLength * cell) + within - now);
        return std::clamp(pause, milliseconds(0), longest);
    }

    // Callers do not comply with a longer pause, or could not get a complete answer after it.
    milliseconds longestUsefulPause(const return_request& request)
    {
        return std::min(longestRetryPause(request.timeLeft), request.timeLeft - request.run);
    }

} // namespace

double returnRate(const return_capacity& capacity)
{
    if (capacity.slots <= 0 || capacity.run <= milliseconds(0))
        return 0;
    const double starts = capacity.slots / std::chrono::duration<double>(capacity.run).count();
    return std::max(starts / lastChanceNth, starts - capacity.newCallers);
}

std::optional<milliseconds> return_schedule::reserve(const return_request& request, instant now)
{
    advance(now);
    const milliseconds longest = longestUsefulPause(request);
    if (m_rate <= 0 || longest <= milliseconds(0))
        return std::nullopt;
    const std::int64_t next = firstCellAfterWaiting();
    const std::int64_t last = lastCell(now, longest);
    const std::int64_t begin = firstCellFor(request.urgency, next, last, now);
    std::int64_t chosen = begin;
    while (chosen <= last && !hasStart(chosen))
        ++chosen;
    // Moments that nobody more urgent has taken are not left unused.
    for (std::int64_t cell = begin - 1; chosen > last && cell >= next; --cell) {
        if (hasStart(cell))
            chosen = cell;
    }
    if (chosen > last)
        return std::nullopt;
    take(chosen, m_firstCell + static_cast<std::int64_t>(cellCount));
    return pauseUntil(chosen, request.draw, now, longest);
}

// A caller without a free moment competes with those who were promised a start, so that fewer are promised around its return; not for
// longer, as it mostly leaves without one.
milliseconds return_schedule::leastReserved(const return_request& request, instant now)
{
    advance(now);
    const milliseconds longest = longestRetryPause(request.timeLeft);
    const std::int64_t last = lastCell(now, longest);
    std::int64_t chosen = last;
    for (std::int64_t cell = last - (last - m_firstCell) / 2; cell < last; ++cell) {
        if (returnsIn(cell) < returnsIn(chosen))
            chosen = cell;
    }
    take(chosen, chosen + waitAfterReturn / cellLength);
    return pauseUntil(chosen, request.draw, now, longest);
}

int return_schedule::returnsAhead(instant now)
{
    advance(now);
    return std::accumulate(m_returns.begin(), m_returns.end(), 0);
}

std::int64_t return_schedule::lastCell(instant now, milliseconds longest) const
{
    return std::min(cellOf(now + longest), m_firstCell + static_cast<std::int64_t>(cellCount) - 1);
}

void return_schedule::advance(instant now)
{
    const std::int64_t cell = cellOf(now);
    const auto passed = std::min(cell - m_firstCell, static_cast<std::int64_t>(cellCount));
    for (std::int64_t i = 0; i < passed; ++i) {
        reservedIn(m_firstCell + i) = 0;
        returnsIn(m_firstCell + i) = 0;
    }
    m_firstCell = std::max(m_firstCell, cell);
}

std::int64_t return_schedule::firstCellAfterWaiting()
{
    double waiting = m_waiting;
    std::int64_t cell = m_firstCell + 1;
    const std::int64_t end = m_firstCell + static_cast<std::int64_t>(cellCount);
    for (; cell < end && waiting > 0; ++cell)
        waiting -= std::max(0.0, freeIn(cell));
    return cell;
}

double return_schedule::freeIn(std::int64_t cell)
{
    return m_rate * std::chrono::duration<double>(cellLength).count() - reservedIn(cell);
}

// A cell whose rest is small must not promise a start that becomes free only seconds later.
bool return_schedule::hasStart(std::int64_t cell)
{
    if (freeIn(cell) < minFree)
        return false;
    const std::chrono::duration<double> spacing { 1 / m_rate };
    const auto cells = static_cast<std::int64_t>((waitAfterReturn + spacing) / cellLength);
    const std::int64_t end = std::min(cell + cells, m_firstCell + static_cast<std::int64_t>(cellCount));
    double sum = 0;
    for (; cell < end && sum < 1 - minFree; ++cell)
        sum += std::max(0.0, freeIn(cell));
    return sum >= 1 - minFree;
}

// A process with two slots starts less than one request in a cell, so that one start takes the free parts of many cells.
void return_schedule::take(std::int64_t cell, std::int64_t end)
{
    double rest = 1;
    ++returnsIn(cell);
    end = std::min(end, m_firstCell + static_cast<std::int64_t>(cellCount));
    for (; cell < end && rest > 0; ++cell) {
        const double part = std::clamp(freeIn(cell), 0.0, rest);
        reservedIn(cell) += part;
        rest -= part;
    }
}

std::int64_t return_schedule::firstCellFor(int urgency, std::int64_t next, std::int64_t last, instant now)
{
    const int own = std::clamp(urgency, 0, urgencyCount - 1);
    m_askedAt[static_cast<std::size_t>(own)] = now;
    int moreUrgent = 0;
    int all = 0;
    for (int i = 0; i < urgencyCount; ++i) {
        const auto& askedAt = m_askedAt[static_cast<std::size_t>(i)];
        if (!askedAt || now - *askedAt > urgencyMemory)
            continue;
        ++all;
        moreUrgent += i < own ? 1 : 0;
    }
    return next + std::max<std::int64_t>(0, last - next) * moreUrgent / all;
}

} // namespace rampgap
