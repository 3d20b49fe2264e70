// Timeline: typed events of one process; those of all processes are merged in causal order.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace rampgap {

enum class event_kind {
    started,
    ready,
    leaving,
    request_received,
    request_sent,
    request_refused,
    request_started,
    request_finished,
    request_lost,
    revision_in_force,
    revision_refused,
    peer_state,
    map_switch,
    paused,
};

std::string_view toString(event_kind);

// `clock` is a Lamport time: an event that another caused has a higher one.
struct timeline_event {
    std::string process;
    std::string zone;
    std::uint64_t sequence = 0;
    std::uint64_t clock = 0;
    std::int64_t wallNs = 0;
    std::int64_t steadyNs = 0;
    event_kind kind = event_kind::started;
    std::string correlation;
    std::string detail;

    bool operator==(const timeline_event&) const = default;
};

// The last events of one process, bounded.
class event_ring {
public:
    event_ring(std::string process, std::string zone, std::size_t capacity);

    void add(event_kind, std::string correlation, std::string detail, std::int64_t wallNs, std::int64_t steadyNs);
    // A message arrived whose sender's clock was `clock`.
    void observe(std::uint64_t clock);
    std::uint64_t clock() const { return m_clock; }
    const std::deque<timeline_event>& events() const { return m_events; }
    std::uint64_t dropped() const { return m_dropped; }

private:
    std::string m_process;
    std::string m_zone;
    std::size_t m_capacity;
    std::uint64_t m_clock = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_dropped = 0;
    std::deque<timeline_event> m_events;
};

// All events in an order in which no effect precedes its cause.
std::vector<timeline_event> mergeTimelines(std::vector<timeline_event>);

} // namespace rampgap
