// When a process asks its peers how fresh their copies of the store are.
#pragma once

#include "policy/common/verdict.h"

namespace rampgap {

struct freshness_pace {
    // Age of a proof at which a newer one is expected: a reader replaces it after two waits of its watch.
    milliseconds replacedAt { 1'610 };
    // A source that has no newer proof, or whose answer was lost, is asked again after this, and then after
    // pauses that double up to the longest. Proofs pass two hops in a large zone, and their age must stay
    // below what makes a process read by itself.
    milliseconds askAgainAfter { 50 };
    milliseconds longestPause { 400 };

    bool operator==(const freshness_pace&) const = default;
};

// This process asks when its proof has the age at which a newer one is expected, whenever it has
// learned of it, and again after a short time while it gets no newer one.
class freshness_schedule {
public:
    explicit freshness_schedule(freshness_pace pace)
        : m_pace(pace)
    {
    }

    void recordProof(instant freshAsOf);
    void recordAsked(instant now);
    // When to ask next.
    instant dueAt() const;

private:
    freshness_pace m_pace;
    instant m_freshAsOf {};
    instant m_askedAt {};
    // Pause after the latest question.
    milliseconds m_pause { 0 };
};

} // namespace rampgap
