// Leads the change of the expert placement of a group, while this agent is its leader.
#pragma once

#include "gateway/fleet_state.h"
#include "gateway/rank_link.h"
#include "policy/group_monitor.h"
#include "policy/load_board.h"
#include "policy/map_switch.h"

namespace rampgap {

class group_leader {
public:
    group_leader(process_context&, decision_log&, fleet_state&, rank_link&);

    // Starts over with the published figures of the service.
    void configure(const engine_costs&);
    bool configured() const { return m_monitor.has_value(); }
    void observe(const rank_observation&);
    // Requests at each rank that was observed lately.
    load_report_by_hash rankLoads() const;
    // One look at what there is to do; returns when it is done. Call again and again.
    awaitable<void> work(std::vector<std::string> members, std::string ownBackendId);

private:
    awaitable<void> lookAtMissing(std::vector<std::string> members);
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
    engine_costs m_costs;
    std::optional<group_monitor> m_monitor;
    std::uint64_t m_lastFence = 0;
    instant m_lastDirectLook {};
};

} // namespace rampgap
