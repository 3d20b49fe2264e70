// Foretells whether a request that cannot be on time any more will get a place before its
// caller gives up.
#pragma once

#include "policy/verdict.h"

#include <deque>

namespace rampgap {

class turn_forecast {
public:
    // A request that can be on time wants a place: it goes before those that cannot.
    void noteTimely(instant now);
    // One that cannot got a place.
    void noteLateTurn(instant now);
    // A place came free.
    void noteEnd(instant now);

    // Load pattern: a burst of twice what the engines can serve, or a backlog after a closure.
    // `ahead` wait already. True if one more is likely to get its turn within `longest`: held
    // without one a caller loses more than by a refusal at once, and it could have come back.
    bool mayWait(int ahead, milliseconds longest, instant now);

private:
    double lateTurnsPerSecond(instant now);

    std::deque<instant> m_timely;
    std::deque<instant> m_lateTurns;
    std::deque<instant> m_ends;
};

} // namespace rampgap
