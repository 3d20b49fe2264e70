// Estimates how long the passes of one expert group take, from the gaps between events of own streams.
#pragma once

#include "policy/common/verdict.h"

#include <optional>
#include <vector>

namespace rampgap {

struct measured_pass {
    // Mean duration.
    double meanMs = 0;
    // Mean sequences that each rank ran during these passes.
    double sequences = 0;
    // Measured by streams of this process, not by the group's leader.
    bool own = false;
};

class pass_estimate {
public:
    // The time between two events of a stream of the group.
    void recordGap(duration gap, instant now);
    // To be called at least each 100 ms while gaps are recorded. `sequences`: mean that each rank runs by the
    // latest counts; `publishedPass`: mean duration as the group's leader measured it.
    void update(double sequences, std::optional<milliseconds> publishedPass, instant now);
    // Empty if nothing was measured in the last 0.5 s.
    std::optional<measured_pass> value(instant now) const;

private:
    void addSample(double ms, double sequences, instant now);
    // A much longer pass counts only if the next one is as long.
    bool isSingleOutlier(double ms);

    // Gaps since the last sample was taken from them.
    std::vector<double> m_gapsMs;
    instant m_gapsSince {};
    double m_meanMs = 0;
    double m_sequences = 0;
    bool m_lastWasOutlier = false;
    std::optional<instant> m_sampledAt;
    std::optional<measured_pass> m_published;
    instant m_publishedAt {};
};

} // namespace rampgap
