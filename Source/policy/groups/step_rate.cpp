#include "policy/groups/step_rate.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // The slope over this time follows a change within 0.3 s. A poll sees one to three steps, and its reports
    // may be as old as a pass: two polls alone give a pass that is wrong by up to half.
    constexpr double windowMs = 600;
    // After a longer time without a poll or a step it is not known whether the group made passes at all.
    constexpr milliseconds longestPause { 1'000 };
    // Polls come each 0.1 to 0.3 s; an older measure says nothing of the present load.
    constexpr milliseconds lifetime { 500 };

} // namespace

void step_rate::record(const group_progress& progress, instant now)
{
    if (progress.epoch != m_epoch)
        *this = step_rate();
    m_epoch = progress.epoch;
    // An idle or held group begins no step: such a pause must not count as a long pass.
    if (!progress.steady || progress.active == 0) {
        m_last.reset();
        return;
    }
    if (m_last && now - m_stepAt > longestPause) {
        m_points.clear();
        m_last.reset();
    }
    // The time before the first poll, or since a discarded one, is left out.
    if (!m_last) {
        m_last = { progress.step, now };
        m_stepAt = now;
        if (m_points.empty())
            m_points.push_back({});
        return;
    }
    // A poll that reached only ranks with older reports shows a step that is already known.
    const std::uint64_t step = std::max(progress.step, m_last->step);
    if (step > m_last->step)
        m_stepAt = now;
    const point& before = m_points.back();
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - m_last->at).count();
    m_points.push_back({ before.runningMs + elapsedMs, before.steps + static_cast<double>(step - m_last->step) });
    m_last = { step, now };
    while (m_points.back().runningMs - m_points.front().runningMs > windowMs)
        m_points.pop_front();
}

milliseconds step_rate::mean(instant now) const
{
    if (m_points.size() < 2 || now - m_stepAt > lifetime)
        return milliseconds(0);
    const auto count = static_cast<double>(m_points.size());
    point middle;
    for (const point& next : m_points) {
        middle.runningMs += next.runningMs / count;
        middle.steps += next.steps / count;
    }
    double time = 0;
    double steps = 0;
    for (const point& next : m_points) {
        time += (next.runningMs - middle.runningMs) * (next.runningMs - middle.runningMs);
        steps += (next.runningMs - middle.runningMs) * (next.steps - middle.steps);
    }
    return steps > 0 ? milliseconds(std::lround(time / steps)) : milliseconds(0);
}

} // namespace rampgap
