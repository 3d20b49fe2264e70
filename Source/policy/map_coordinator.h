// Coordinates map switches of one group: all ranks prepare, then all commit.
#pragma once

#include "policy/map_message.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rampgap {

// In lock-step a group without one rank does nothing, so "all ranks" costs no availability.
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
    // `owner` names the coordinator and its start: no two may use the same.
    map_coordinator(std::string owner, std::size_t ranks);

    // Claims the group from all ranks; also after a timeout, and to come back once outranked.
    std::vector<rank_message> claim();
    // Proposes the next map, in force from `step`; ignored unless idle. The map gets the
    // next free id.
    std::vector<rank_message> propose(step_number step);
    std::vector<rank_message> take(std::size_t rank, const map_message& answer);
    // What is still unanswered, to be sent again after a timeout.
    std::vector<rank_message> pending() const;

    coordinator_phase phase() const { return m_phase; }
    // The map that the present or last switch is about.
    map_id map() const { return m_map; }
    // The highest step that a rank reported.
    step_number highestStep() const;
    void noteStep(step_number step) { m_noted = step; }
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
    step_number m_noted = 0;
    std::uint64_t m_commits = 0;
};

} // namespace rampgap
