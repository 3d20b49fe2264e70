#include "gateway/group_caller.h"

#include <algorithm>

namespace rampgap {

group_caller::group_caller(process_context& context, fleet_state& state, rank_link& link, double linkMbps)
    : m_context(context)
    , m_state(state)
    , m_link(link)
    , m_linkMbps(linkMbps)
{
}

void group_caller::setCaller(std::string leader, std::string group, std::size_t ranks)
{
    m_leader = std::move(leader);
    m_group = std::move(group);
    m_ranks = ranks;
}

call_limits group_caller::limits(std::size_t largestMessage) const
{
    return { m_linkMbps, m_ranks, largestMessage };
}

std::vector<call_target> group_caller::targets(const std::vector<std::string>& ids) const
{
    std::vector<call_target> found;
    for (std::size_t i = 0; i < ids.size(); ++i) {
        const auto* listed = m_state.backends().find(ids[i]);
        if (listed)
            found.push_back({ static_cast<std::uint32_t>(i), ids[i], listed->address, 0, m_reach.reachability(ids[i], m_context.now()) });
    }
    return found;
}

std::string group_caller::zoneOf(const call_target& target) const
{
    const auto* listed = m_state.backends().find(target.backendId);
    return listed ? listed->zone : std::string();
}

awaitable<group_outcome> group_caller::call(std::vector<call_target> targets, std::optional<map_order> order, bool wantsChoices, milliseconds budget)
{
    // Neighbours in the list become one part: so a call crosses zones once a part.
    std::stable_sort(targets.begin(), targets.end(), [this](const call_target& a, const call_target& b) { return zoneOf(a) < zoneOf(b); });
    group_question question { m_leader, m_group, std::move(order), wantsChoices };
    auto outcome = co_await m_link.call(std::move(question), targets, budget);
    noteReach(targets, outcome);
    co_return outcome;
}

awaitable<rank_outcome> group_caller::orderDirectly(call_target target, map_order order)
{
    group_question question { m_leader, m_group, std::move(order), false };
    auto outcome = co_await m_link.orderDirectly(std::move(question), std::move(target));
    co_return outcome;
}

// An engine that was asked in place of its agent says nothing about the agent.
void group_caller::noteReach(const std::vector<call_target>& targets, const group_outcome& outcome)
{
    for (const auto& rank : outcome.ranks) {
        const auto target = std::find_if(targets.begin(), targets.end(), [&rank](const call_target& asked) { return asked.index == rank.index; });
        const bool throughAgent = target != targets.end() && target->reachability != agent_reachability::unreachable;
        if (throughAgent)
            m_reach.record(target->backendId, rank.reached, m_context.now());
    }
}

} // namespace rampgap
