// How many requests an entry VM may start at a group with fewer than four request slots for each entry VM.
#pragma once

#include "policy/requests/admission_share.h"

#include <optional>

namespace rampgap {

// Load pattern: 500 entry VMs before a group that may run 300 requests. A share of a slot cannot be held,
// and whoever takes a whole one when the counts show room takes it together with all others. So each
// gets its part of the starts in place of the slots: of as many as end, and of what is free.
class start_budget {
public:
    // To be called for each request that arrives or ends, and each 0.1 s while one waits. `wanted`: a request waits to
    // be started. `draw`: uniform in [0, 1), a new one each time. `run`: typical time from the start of a request to the end of its answer.
    void update(const admission_share_input&, milliseconds run, bool wanted, double draw, instant now);
    void recordStart();
    int starts() const { return m_starts; }

private:
    int m_starts = 0;
    // Part of the time in which requests wait here: about that of the entry VMs that compete for a start.
    double m_wantedPart = 0.5;
    bool m_wanted = false;
    std::optional<instant> m_updatedAt;
    // When the group was last seen nearly full.
    std::optional<instant> m_crowdedAt;
};

} // namespace rampgap
