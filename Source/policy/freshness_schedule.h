// When a process asks its peers how fresh their copies of the store are.
#pragma once

#include "policy/verdict.h"

namespace rampgap {

// The proofs of a reader are renewed in a fixed rhythm. So this process asks about when the next
// renewal is due, and again after a short time while it gets no newer proof.
class freshness_schedule {
public:
    // `renewalInterval`: time between two proofs that this process wants.
    explicit freshness_schedule(milliseconds renewalInterval)
        : m_renewalInterval(renewalInterval)
    {
    }

    // This process knows since now that its copy was current at `freshAsOf`.
    void recordProof(instant freshAsOf, instant now);
    void recordAsked(instant now) { m_askedAt = now; }
    // When to ask next.
    instant dueAt() const;

private:
    milliseconds m_renewalInterval;
    instant m_freshAsOf {};
    instant m_renewedAt {};
    instant m_askedAt {};
};

} // namespace rampgap
