#include "model/event_queue.h"

namespace rampgap::model {

void event_queue::at(instant when, std::function<void()> action)
{
    m_events.push({ std::max(when, m_now), m_number++, std::move(action) });
}

void event_queue::runUntil(instant end)
{
    while (!m_events.empty() && m_events.top().at < end) {
        // The queue shows its top as constant; the action is needed after it is gone.
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    m_now = end;
}

} // namespace rampgap::model
