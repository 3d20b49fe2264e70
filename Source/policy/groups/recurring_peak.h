// The highest value that a quantity has reached at least twice in the last seconds, with lower values in between.
#pragma once

#include "policy/common/verdict.h"

#include <array>
#include <cstdint>

namespace rampgap {

class recurring_peak {
public:
    void record(double value, instant now);
    // 0 if no peak has recurred.
    double value(instant now) const;

private:
    static constexpr std::size_t cellCount = 20;

    // The highest value of a cell of time; 0 where nothing was recorded.
    struct cell {
        std::int64_t number = 0;
        double highest = 0;
    };

    double highestIn(std::int64_t number) const;

    std::array<cell, cellCount> m_cells {};
};

} // namespace rampgap
