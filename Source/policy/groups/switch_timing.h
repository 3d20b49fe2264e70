// Chooses how many steps ahead a change of placement takes effect, so that no step has to wait for it.
#pragma once

#include "policy/common/verdict.h"

#include <cstdint>
#include <deque>

namespace rampgap {

class switch_timing {
public:
    // Records how long it took from the order to hold a step until all ranks were armed and the step was released.
    void recordArming(milliseconds took);
    // Steps between the newest known one and the one that the change takes effect at. `pass`: mean duration
    // of the group's passes; 0: not known.
    std::uint64_t stepsAhead(milliseconds pass) const;

private:
    // The last few.
    std::deque<milliseconds> m_armings;
};

} // namespace rampgap
