#include "policy/pause_detector.h"

namespace rampgap {

pause_detector::pause_detector(instant now, wall_instant wall)
    : m_last(now)
    , m_lastWall(wall)
{
}

bool pause_detector::look(instant now, wall_instant wall)
{
    const bool paused = now - m_last > longestGap || wall - m_lastWall > longestGap;
    m_last = now;
    m_lastWall = wall;
    if (paused)
        ++m_epoch;
    return paused;
}

} // namespace rampgap
