#include "policy/common/timeline.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace rampgap {

std::string_view toString(event_kind kind)
{
    static constexpr std::array<std::string_view, 14> names {
        "started", "ready", "leaving", "request_received", "request_sent", "request_refused", "request_started",
        "request_finished", "request_lost", "revision_in_force", "revision_refused", "peer_state", "map_switch", "paused"
    };
    return names[static_cast<std::size_t>(kind)];
}

event_ring::event_ring(std::string process, std::string zone, std::size_t capacity)
    : m_process(std::move(process))
    , m_zone(std::move(zone))
    , m_capacity(capacity)
{
}

void event_ring::add(event_kind kind, std::string correlation, std::string detail, std::int64_t wallNs, std::int64_t steadyNs)
{
    ++m_clock;
    ++m_sequence;
    m_events.push_back({ m_process, m_zone, m_sequence, m_clock, wallNs, steadyNs, kind, std::move(correlation), std::move(detail) });
    if (m_events.size() > m_capacity) {
        m_events.pop_front();
        ++m_dropped;
    }
}

void event_ring::observe(std::uint64_t clock)
{
    m_clock = std::max(m_clock, clock);
}

std::vector<timeline_event> mergeTimelines(std::vector<timeline_event> events)
{
    std::sort(events.begin(), events.end(), [](const timeline_event& a, const timeline_event& b) {
        return std::tie(a.clock, a.wallNs, a.process, a.sequence) < std::tie(b.clock, b.wallNs, b.process, b.sequence);
    });
    return events;
}

} // namespace rampgap
