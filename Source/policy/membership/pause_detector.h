// Detects that the process did not run for a while, since it was stopped or its VM was paused.
#pragma once

#include "policy/common/verdict.h"

namespace rampgap {

// A longer gap between two checks counts as a pause.
inline constexpr milliseconds pauseThreshold { 1'000 };

class pause_detector {
public:
    using wall_instant = std::chrono::system_clock::time_point;

    pause_detector(instant now, wall_instant wall);

    // True if the process was paused since the last check. Either clock may show it: the clock of a paused
    // VM can stop, while its wall clock is set as it resumes.
    bool check(instant now, wall_instant wall);
    // The number of pauses so far. A request that was read in an earlier epoch may be stale.
    std::uint64_t epoch() const { return m_epoch; }
    // Records a pause that only another process could see, not the clocks of this one.
    void recordPause() { ++m_epoch; }

private:
    instant m_last;
    wall_instant m_lastWall;
    std::uint64_t m_epoch = 0;
};

} // namespace rampgap
