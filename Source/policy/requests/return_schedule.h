// Decides when callers that are refused for want of room are to come back.
#pragma once

#include "policy/common/verdict.h"

#include <array>
#include <cstdint>
#include <optional>

namespace rampgap {

struct return_request {
    // Until the caller's deadline.
    milliseconds timeLeft { 0 };
    // Time that an answer takes once it has a slot.
    milliseconds run { 0 };
    // Priority of the request; 0 is the most urgent.
    int urgency = 0;
    // A random number, 0 to 1: spreads the callers of one cell.
    double draw = 0.5;
};

struct return_capacity {
    // Request slots that this process may use.
    int slots = 0;
    // Time that an answer takes once it has a slot.
    milliseconds run { 0 };
    // Callers that come for the first time, in a second.
    double newCallers = 0;
};

// Requests of returning callers that this process can start in a second: what new callers leave, at least
// the part of the starts that is reserved for the last chance.
double returnRate(const return_capacity&);

// Hands out moments at the rate at which this process can start requests of returning callers, so that
// those who come back find a slot instead of each other. Memory is bounded: it counts starts in cells of time.
class return_schedule {
public:
    // Sets how many requests of returning callers this process can start in a second.
    void setRate(double perSecond) { m_rate = perSecond; }
    double rate() const { return m_rate; }
    // Sets how many callers on their last chance wait here now; they get the next starts.
    void setWaiting(int waiting) { m_waiting = waiting; }
    // Reserves the next free moment and returns the time until it; empty if none is free within the longest
    // pause that the caller complies with, or if it could not finish then.
    std::optional<milliseconds> reserve(const return_request&, instant now);
    // The pause of a caller that is refused although no moment is free: the least reserved one of the later half.
    milliseconds leastReserved(const return_request&, instant now);
    // Callers that were told to come back and have not yet.
    int returnsAhead(instant now);

private:
    static constexpr std::size_t cellCount = 128;
    static constexpr int urgencyCount = 10;

    // The last cell that a caller can come back in: within the pause, and counted.
    std::int64_t lastCell(instant now, milliseconds longest) const;
    // Forgets the cells that have passed.
    void advance(instant now);
    double& reservedIn(std::int64_t cell) { return m_reserved[static_cast<std::size_t>(cell) % cellCount]; }
    int& returnsIn(std::int64_t cell) { return m_returns[static_cast<std::size_t>(cell) % cellCount]; }
    double freeIn(std::int64_t cell);
    // True if a caller that comes back in this cell can be started soon after.
    bool hasStart(std::int64_t cell);
    // The first cell whose starts are not all needed by those who wait now.
    std::int64_t firstCellAfterWaiting();
    // Takes one start from the free parts of this cell and the following ones, fewer than `end`.
    void take(std::int64_t cell, std::int64_t end);
    // The first cell that a caller of this urgency is to get while there are others of higher urgency.
    std::int64_t firstCellFor(int urgency, std::int64_t next, std::int64_t last, instant now);

    double m_rate = 0;
    int m_waiting = 0;
    // Starts reserved in each cell, by its number modulo the count.
    std::array<double, cellCount> m_reserved {};
    // Callers that come back in each cell.
    std::array<int, cellCount> m_returns {};
    std::int64_t m_firstCell = 0;
    std::array<std::optional<instant>, urgencyCount> m_askedAt {};
};

} // namespace rampgap
