// Measures how long the passes of an expert group take, from the steps that its ranks report.
#pragma once

#include "policy/common/verdict.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace rampgap {

// What the newest reports of a group's ranks say of its passes.
struct group_progress {
    std::uint64_t epoch = 0;
    // The newest step that any rank has begun.
    std::uint64_t step = 0;
    // Requests that run on all ranks together.
    int active = 0;
    // False while a rank reports a hold or a group that is not open.
    bool steady = false;

    bool operator==(const group_progress&) const = default;
};

class step_rate {
public:
    // Records what one poll of the ranks showed.
    void record(const group_progress&, instant now);
    // Excludes the time since the last poll: the group was kept from beginning a step.
    void discardSample() { m_last.reset(); }
    // Mean duration of a pass; 0 if none was measured in the last 0.5 s.
    milliseconds mean(instant now) const;

private:
    struct poll {
        std::uint64_t step = 0;
        instant at;
    };
    // Time in which the group made passes, and the steps counted in it.
    struct point {
        double runningMs = 0;
        double steps = 0;
    };

    std::uint64_t m_epoch = 0;
    std::optional<poll> m_last;
    std::deque<point> m_points;
    // When a poll last showed a new step.
    instant m_stepAt {};
};

} // namespace rampgap
