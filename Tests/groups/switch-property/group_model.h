// Simulates a group of ranks in lock-step, its coordinators and the messages between them.
#pragma once

#include "policy/groups/map_coordinator.h"
#include "policy/groups/map_participant.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace rampgap::test {

// The engine of a rank: it keeps its state when its agent restarts, and knows no fences.
class rank_engine {
public:
    const rank_state& report() const { return m_state; }
    void carryOut(const engine_order&);
    bool ready() const { return mayStart(m_state, m_state.step + 1); }
    // Runs the next step; returns the map that it used.
    map_id step();

    bool operator==(const rank_engine&) const = default;

private:
    rank_state m_state;
    map_id m_before = 0;
};

struct message_in_flight {
    bool toCoordinator = false;
    std::size_t coordinator = 0;
    std::size_t rank = 0;
    map_message message;

    bool operator==(const message_in_flight&) const = default;
};

class group_model {
public:
    group_model(std::size_t ranks, std::size_t coordinators);

    // Runs one step of all ranks if none waits; false if any step so far used different maps.
    bool stepTogether();
    void send(std::size_t coordinator, const std::vector<rank_message>&);
    // Delivers a message, and removes it unless a copy is to be kept.
    void deliver(std::size_t index, bool keepCopy);
    void lose(std::size_t index);
    void restartAgent(std::size_t rank);
    // Replaces a crashed coordinator by a new one without state.
    void restartCoordinator(std::size_t coordinator);
    void propose(std::size_t coordinator, step_number ahead);
    void resend(std::size_t coordinator);
    // Ends all faults: one coordinator claims, and all messages are delivered until it is idle; true if it is.
    bool settle(std::size_t coordinator);

    const std::vector<message_in_flight>& inFlight() const { return m_inFlight; }
    std::uint64_t steps() const { return m_steps; }
    std::uint64_t waited() const { return m_waited; }
    // Number of switches that took effect.
    std::uint64_t commits() const { return m_switches; }
    bool sameMaps() const { return m_sameMaps; }
    const map_coordinator& coordinator(std::size_t index) const { return m_coordinators[index]; }

private:
    std::vector<rank_engine> m_engines;
    std::vector<map_participant> m_agents;
    std::vector<map_coordinator> m_coordinators;
    std::vector<message_in_flight> m_inFlight;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_steps = 0;
    std::uint64_t m_waited = 0;
    std::uint64_t m_switches = 0;
    map_id m_lastMap = 0;
    bool m_sameMaps = true;
};

} // namespace rampgap::test
