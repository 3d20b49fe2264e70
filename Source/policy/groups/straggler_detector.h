// Finds ranks that are persistently slower than the other ranks.
#pragma once

#include <cstddef>
#include <vector>

namespace rampgap {

// Result for one rank. `speed` is relative to the other ranks: 1 unless the rank is a straggler.
struct rank_verdict {
    double speed = 1;
    bool straggler = false;
    // Intervals in a row in which the rank was slow.
    std::size_t slowIntervals = 0;

    bool operator==(const rank_verdict&) const = default;
};

class straggler_detector {
public:
    // A rank is a straggler after `minSlowIntervals` slow intervals in a row.
    straggler_detector(std::size_t ranks, std::size_t minSlowIntervals);

    // Time per unit of work of each rank in one interval.
    void observe(const std::vector<double>& timePerWork);
    const std::vector<rank_verdict>& verdicts() const { return m_verdicts; }
    // Speed of each rank for the placement; a short stall does not change it.
    std::vector<double> speeds() const;

private:
    std::size_t m_minSlowIntervals;
    std::vector<rank_verdict> m_verdicts;
    std::vector<double> m_smoothed;
};

} // namespace rampgap
