// When a process asks its peers how fresh their copies of the store are.
#pragma once

#include "policy/common/verdict.h"

namespace rampgap {

// A reader replaces each proof by a newer one when the older one has a certain age. So this process
// asks when its own proof has that age, whenever it has learned of it, and again after a short time
// while it gets no newer one.
class freshness_schedule {
public:
    // `replacedAt`: age of a proof at which a newer one is expected.
    explicit freshness_schedule(milliseconds replacedAt)
        : m_replacedAt(replacedAt)
    {
    }

    void recordProof(instant freshAsOf) { m_freshAsOf = freshAsOf; }
    void recordAsked(instant now) { m_askedAt = now; }
    // When to ask next.
    instant dueAt() const;

private:
    milliseconds m_replacedAt;
    instant m_freshAsOf {};
    instant m_askedAt {};
};

} // namespace rampgap
