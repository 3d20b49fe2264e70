// Leads the change of the expert placement of a group, while this agent is its leader.
#pragma once

#include "gateway/fleet_state.h"
#include "gateway/rank_link.h"
#include "policy/group_monitor.h"
#include "policy/group_roster.h"
#include "policy/load_board.h"
#include "policy/map_switch.h"
#include "policy/pass_model.h"

namespace rampgap {

// The group to lead, as far as its agent knows it.
struct group_members {
    std::string group;
    std::string ownId;
    std::vector<std::string> members;
    // Servers of the service whose group nobody has told.
    std::vector<std::string> unknown;
};

class group_leader {
public:
    group_leader(process_context&, decision_log&, fleet_state&, rank_link&, group_roster&);

    // Starts over with the published figures of the service.
    void configure(const engine_costs&);
    bool configured() const { return m_monitor.has_value(); }
    void observe(const rank_observation&);
    // The group that it follows; empty before the first work.
    std::string group() const { return m_monitor ? m_monitor->group() : std::string(); }
    // Requests at each rank that was observed lately.
    load_report_by_hash rankLoads() const;
    // What lengthens the group's steps now, as far as it is known.
    group_strain strain() const;
    // One look at what there is to do; returns when it is done. Call again and again.
    awaitable<void> work(group_members);

private:
    awaitable<void> lookAtMissing(group_members);
    awaitable<void> learnPlacement();
    awaitable<void> changePlacement(const std::string& ownBackendId);
    awaitable<void> cleanUp();
    // Sends the orders of a change until it has ended.
    awaitable<void> carryOut(map_switch&, milliseconds prepareTime);
    awaitable<void> sendRound(map_switch&, milliseconds prepareTime);
    // Time to copy one expert to a rank, by the published figures.
    double copyMs() const;
    std::uint64_t nextFence();
    void logEnd(const map_switch&, instant began, std::string_view what);

    process_context& m_context;
    decision_log& m_log;
    fleet_state& m_state;
    rank_link& m_link;
    group_roster& m_roster;
    engine_costs m_costs;
    std::optional<group_monitor> m_monitor;
    std::uint64_t m_lastFence = 0;
    instant m_lastDirectLook {};
};

} // namespace rampgap
