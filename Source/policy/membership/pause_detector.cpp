#include "policy/membership/pause_detector.h"

namespace rampgap {

pause_detector::pause_detector(instant now, wall_instant wall)
    : m_last(now)
    , m_lastWall(wall)
{
}

bool pause_detector::check(instant now, wall_instant wall)
{
    const bool paused = now - m_last > pauseThreshold || wall - m_lastWall > pauseThreshold;
    m_last = now;
    m_lastWall = wall;
    if (paused)
        ++m_epoch;
    return paused;
}

} // namespace rampgap
