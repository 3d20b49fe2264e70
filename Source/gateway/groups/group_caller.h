// Calls all ranks of a group, or a single one, and tracks which agents answer.
#pragma once

#include "gateway/fleet/fleet_state.h"
#include "gateway/groups/rank_link.h"
#include "policy/membership/reachability_tracker.h"

namespace rampgap {

class group_caller {
public:
    // `linkMbps`: bandwidth of this agent's machine.
    group_caller(process_context&, fleet_state&, rank_link&, double linkMbps);

    // Sets the leader and the group named in calls, and the group's size.
    void setCaller(std::string leader, std::string group, std::size_t ranks);
    // Limits for calls whose largest message has this size.
    call_limits limits(std::size_t largestMessage) const;

    // Records that the agent of this server probably does not answer.
    void recordSilent(const std::string& backendId) { m_reachability.record(backendId, false, m_context.now()); }
    // Targets for those of the servers that are listed; a target's index is its position in `ids`.
    std::vector<call_target> targets(const std::vector<std::string>& ids) const;
    // Sends an order, or without one only queries the state. Outcomes have the indices of the targets.
    awaitable<group_outcome> call(std::vector<call_target>, std::optional<map_order>, bool wantsExpertCounts, milliseconds budget);
    // Sends an order straight to the engine, not through its agent.
    awaitable<rank_outcome> orderDirectly(call_target, map_order);

private:
    void recordReachability(const std::vector<call_target>&, const group_outcome&);
    std::string zoneOf(const call_target&) const;

    process_context& m_context;
    fleet_state& m_state;
    rank_link& m_link;
    double m_linkMbps;
    std::string m_leader;
    std::string m_group;
    std::size_t m_ranks = 0;
    reachability_tracker m_reachability;
};

} // namespace rampgap
