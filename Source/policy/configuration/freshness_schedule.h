// When a process asks its peers for the freshness of their copies of the store.
#pragma once

#include "policy/common/verdict.h"

namespace rampgap {

struct freshness_pace {
    // Age of the own freshness at which a reader has a newer one: after two waits of its watch.
    milliseconds renewedAt { 1'610 };
    // A peer that knows nothing newer, or whose answer was lost, is asked again after this, and then after
    // pauses that double up to the longest. The freshness passes two hops in a large zone, and its age
    // must stay below the one at which a process reads the store by itself.
    milliseconds askAgainAfter { 50 };
    milliseconds longestPause { 400 };

    bool operator==(const freshness_pace&) const = default;
};

// This process asks when its own freshness has the age at which a newer one is expected, whenever it
// has learned of it, and again after a short time while it gets no newer one.
class freshness_schedule {
public:
    explicit freshness_schedule(freshness_pace pace)
        : m_pace(pace)
    {
    }

    // The own copy is known to be current as of `freshAsOf`.
    void recordFreshness(instant freshAsOf);
    void recordAsked(instant now);
    // When to ask next.
    instant dueAt() const;

private:
    freshness_pace m_pace;
    instant m_freshAsOf {};
    instant m_askedAt {};
    // Pause after the latest query.
    milliseconds m_pause { 0 };
};

} // namespace rampgap
