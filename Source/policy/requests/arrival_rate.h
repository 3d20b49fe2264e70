// Estimates how many requests arrive in a second.
#pragma once

#include "policy/common/instant.h"

namespace rampgap {

// Exponentially weighted: arrivals of the last seconds count most, so that the end of a burst shows soon.
class arrival_rate {
public:
    void record(instant now);
    double perSecond(instant now) const;

private:
    double m_perSecond = 0;
    instant m_updatedAt;
};

} // namespace rampgap
