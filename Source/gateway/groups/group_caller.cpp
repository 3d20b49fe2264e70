#include "gateway/groups/group_caller.h"

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
    std::vector<call_target> targets;
    for (std::size_t i = 0; i < ids.size(); ++i) {
        const auto* listed = m_state.backends().find(ids[i]);
        if (listed)
            targets.push_back({ static_cast<std::uint32_t>(i), ids[i], listed->address, 0, m_reachability.reachability(ids[i], m_context.now()) });
    }
    return targets;
}

std::string group_caller::zoneOf(const call_target& target) const
{
    const auto* listed = m_state.backends().find(target.backendId);
    return listed ? listed->zone : std::string();
}

awaitable<group_outcome> group_caller::call(std::vector<call_target> targets, std::optional<map_order> order, bool wantsExpertCounts, milliseconds budget)
{
    // Neighbours in the list are called as one part, so sorting by zone lets each part cross zones
    // only once.
    std::stable_sort(targets.begin(), targets.end(), [this](const call_target& a, const call_target& b) { return zoneOf(a) < zoneOf(b); });
    group_query query { m_leader, m_group, std::move(order), wantsExpertCounts };
    auto outcome = co_await m_link.call(std::move(query), targets, budget);
    recordReachability(targets, outcome);
    co_return outcome;
}

awaitable<rank_outcome> group_caller::orderDirectly(call_target target, map_order order)
{
    group_query query { m_leader, m_group, std::move(order), false };
    auto outcome = co_await m_link.orderDirectly(std::move(query), std::move(target));
    co_return outcome;
}

// The outcome of an engine that was called directly says nothing about its agent.
void group_caller::recordReachability(const std::vector<call_target>& targets, const group_outcome& outcome)
{
    for (const auto& rank : outcome.ranks) {
        const auto target = std::find_if(targets.begin(), targets.end(), [&rank](const call_target& asked) { return asked.index == rank.index; });
        const bool throughAgent = target != targets.end() && target->reachability != agent_reachability::unreachable;
        if (throughAgent)
            m_reachability.record(target->backendId, rank.reached, m_context.now());
    }
}

} // namespace rampgap
