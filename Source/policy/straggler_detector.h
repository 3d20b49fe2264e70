// Finds ranks that are slow for long against their peers.
#pragma once

#include <cstddef>
#include <vector>

namespace rampgap {

// What the detector says of one rank. `speed` is 1 for a rank like its peers.
struct rank_verdict {
    double speed = 1;
    bool straggler = false;
    // Intervals in a row in which the rank was slow.
    std::size_t slowFor = 0;

    bool operator==(const rank_verdict&) const = default;
};

class straggler_detector {
public:
    // Reported after `patience` slow intervals in a row.
    straggler_detector(std::size_t ranks, std::size_t patience);

    // Time per unit of work of each rank in one interval.
    void observe(const std::vector<double>& timePerWork);
    const std::vector<rank_verdict>& verdicts() const { return m_verdicts; }
    // Speeds for the placement; a short stall changes nothing.
    std::vector<double> speeds() const;

private:
    std::size_t m_patience;
    std::vector<rank_verdict> m_verdicts;
    std::vector<double> m_smoothed;
};

} // namespace rampgap
