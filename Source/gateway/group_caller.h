// Calls all ranks of a group, or one, and keeps account of which agents answer.
#pragma once

#include "gateway/fleet_state.h"
#include "gateway/rank_link.h"
#include "policy/reachability_tracker.h"

namespace rampgap {

class group_caller {
public:
    // `linkMbps`: of this agent's machine.
    group_caller(process_context&, fleet_state&, rank_link&, double linkMbps);

    // On whose behalf calls are made, and to how many ranks.
    void setCaller(std::string leader, std::string group, std::size_t ranks);
    // What the link allows for messages of this size at the most.
    call_limits limits(std::size_t largestMessage) const;

    // The servers that are listed; each target's index is its place in `ids`.
    std::vector<call_target> targets(const std::vector<std::string>& ids) const;
    // Without an order it asks for the state. The outcomes have the indices of the targets.
    awaitable<group_outcome> call(std::vector<call_target>, std::optional<map_order>, bool wantsChoices, milliseconds budget);
    // Gives an order to the engine itself.
    awaitable<rank_outcome> orderDirectly(call_target, map_order);

private:
    void noteReach(const std::vector<call_target>&, const group_outcome&);
    std::string zoneOf(const call_target&) const;

    process_context& m_context;
    fleet_state& m_state;
    rank_link& m_link;
    double m_linkMbps;
    std::string m_leader;
    std::string m_group;
    std::size_t m_ranks = 0;
    reachability_tracker m_reach;
};

} // namespace rampgap
