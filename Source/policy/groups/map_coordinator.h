// Coordinates the map switches of one group in two phases: all ranks prepare, then all commit.
#pragma once

#include "policy/groups/map_message.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rampgap {

// Phases of a coordinator. Requiring all ranks costs no availability: a group in lock-step makes no
// progress without one of its ranks anyway.
enum class coordinator_phase { outranked,
    claiming,
    confirming,
    idle,
    preparing,
    committing,
    aborting };

struct rank_message {
    std::size_t rank = 0;
    map_message message;

    bool operator==(const rank_message&) const = default;
};

class map_coordinator {
public:
    // `owner` identifies the coordinator and its incarnation: no two may use the same.
    map_coordinator(std::string owner, std::size_t ranks);

    // Claims the group from all ranks; also after a timeout, and to claim again after being outranked.
    std::vector<rank_message> claim();
    // Starts the switch to the next map, in force from `step`; ignored unless idle. The map gets the
    // next free id.
    std::vector<rank_message> propose(step_number step);
    // Handles the answer of a rank; returns the messages to send next.
    std::vector<rank_message> handleAnswer(std::size_t rank, const map_message& answer);
    // The messages that are still unanswered, to be sent again after a timeout.
    std::vector<rank_message> pending() const;

    coordinator_phase phase() const { return m_phase; }
    // The map of the present or last switch.
    map_id map() const { return m_map; }
    // The highest step that a rank reported.
    step_number highestStep() const;
    // Records a step that was read from an engine.
    void recordStep(step_number step) { m_recordedStep = step; }
    std::uint64_t commits() const { return m_commits; }

private:
    std::vector<rank_message> enter(coordinator_phase);
    std::vector<rank_message> resolve();
    map_message order(std::size_t rank) const;
    bool anyCommitted() const;
    std::vector<rank_message> outrank(const map_fence&);

    std::size_t m_ranks;
    map_fence m_fence;
    coordinator_phase m_phase = coordinator_phase::claiming;
    std::vector<std::optional<map_message>> m_states;
    std::set<std::size_t> m_answers;
    map_id m_map = 0;
    step_number m_step = 0;
    step_number m_recordedStep = 0;
    std::uint64_t m_commits = 0;
};

} // namespace rampgap
