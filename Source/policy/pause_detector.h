// Finds out that the process did not run for a while: stopped, or its VM paused.
#pragma once

#include "policy/verdict.h"

namespace rampgap {

// A gap between two looks longer than this counts as a pause.
inline constexpr milliseconds longestGap { 1'000 };

class pause_detector {
public:
    using wall_instant = std::chrono::system_clock::time_point;

    pause_detector(instant now, wall_instant wall);

    // True if the process was paused since the last look. Either clock may show it: the
    // steady clock of a paused VM can stand still while the wall clock is set on waking.
    bool look(instant now, wall_instant wall);
    // How many pauses were found; requests of an earlier epoch may be old.
    std::uint64_t epoch() const { return m_epoch; }
    // Something outside showed a pause that the own clocks did not.
    void notePause() { ++m_epoch; }

private:
    instant m_last;
    wall_instant m_lastWall;
    std::uint64_t m_epoch = 0;
};

} // namespace rampgap
