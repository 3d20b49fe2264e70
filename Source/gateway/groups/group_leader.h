// Polls the ranks of a group and changes its expert placement while this agent is its leader.
#pragma once

#include "gateway/fleet/fleet_state.h"
#include "gateway/groups/group_caller.h"
#include "policy/groups/change_numbers.h"
#include "policy/groups/group_monitor.h"
#include "policy/groups/group_roster.h"
#include "policy/groups/hold_cleanup.h"
#include "policy/groups/map_switch.h"
#include "policy/groups/pass_model.h"
#include "policy/groups/step_rate.h"
#include "policy/groups/switch_timing.h"
#include "policy/routing/load_table.h"

#include <set>

namespace rampgap {

// The group to lead, as far as this agent knows it.
struct group_members {
    std::string group;
    std::string ownId;
    std::vector<std::string> members;
    // Servers of the service whose group is not known.
    std::vector<std::string> unknown;
};

class group_leader {
public:
    // `linkMbps`: bandwidth of this agent's machine.
    group_leader(process_context&, decision_log&, fleet_state&, rank_link&, group_roster&, double linkMbps);

    // Applies the engines' published costs; new ones discard what was measured, once a change in progress has ended.
    // `longestGap`: the shortest `target_gap_ms` of the service's routes: a longer pause between two events of a stream is late.
    void configure(const engine_costs&, milliseconds longestGap);
    bool configured() const { return m_monitor.has_value(); }
    // Queries the state of all ranks, and in some polls also their expert counts.
    awaitable<void> poll(group_members);
    // Polls the ranks after a takeover from the leader `silent`, without it.
    awaitable<void> takeOver(group_members, const std::string& silent);
    // From the start of one poll to the start of the next, in a group of this many ranks.
    milliseconds pollIntervalFor(std::size_t ranks) const;
    // From the start of one poll to the start of the next.
    milliseconds pollInterval() const { return pollPlan().pause; }
    // Name of the group that this agent observes as its leader; empty before its first poll as one.
    std::string group() const { return m_monitor ? m_monitor->group() : std::string(); }
    // Requests at each open rank whose state is known.
    load_report_by_hash rankLoads() const;
    // What lengthens the group's steps now; empty if not known.
    group_slowdown slowdown() const;
    // Mean duration of the group's passes; 0 until it was measured.
    milliseconds measuredPass() const { return m_stepRate.mean(m_context.now()); }
    // Decides on the next task and returns when it is done. To be called repeatedly.
    awaitable<void> runNextTask(group_members);

private:
    void setUp(const engine_costs&);
    // Applies costs that were published during a change.
    void applyPendingCosts();
    // Ends a change that no longer fits the group, or whose orders have had no effect for long.
    void abandonIfUseless(rank_change&, instant phaseBegan) const;
    // Observes this group from now on. If it is another one than before, what was measured of the former is discarded.
    void followGroup(const std::string& group);
    awaitable<void> learnPlacement();
    awaitable<void> changePlacement(const std::string& ownBackendId);
    awaitable<void> cleanUp(const std::string& ownBackendId);
    // Sends the orders of a change until it has ended. Returns since when a step may have been held.
    awaitable<std::optional<instant>> executeChange(rank_change&, milliseconds prepareTime);
    // Observes the states that a poll of `ids` returned.
    void observe(const group_outcome&, const std::vector<std::string>& ids, instant now);
    awaitable<void> sendRound(rank_change&, milliseconds prepareTime);
    awaitable<void> sendToAll(rank_change&, std::vector<rank_order_to_send>, milliseconds prepareTime);
    // `orders`: those of this round, whose replies are recorded; `sent` is sent for them, or nothing to only query the state.
    awaitable<void> callRanks(rank_change&, std::vector<rank_order_to_send> orders, std::optional<map_order> sent, std::vector<call_target>, milliseconds budget);
    awaitable<void> sendDirectly(rank_change&, std::vector<rank_order_to_send>);
    void recordOutcome(rank_change&, const map_order& sent, const rank_outcome&, const std::vector<std::string>& ids);
    std::vector<call_target> targetsFor(const std::vector<rank_order_to_send>&) const;
    poll_plan pollPlan() const;
    std::vector<std::string> idsToPoll(group_members) const;
    // Size of the expert counts of one rank, or of their sum over all ranks.
    std::size_t countsBytes() const;
    // Rank of this server in the monitored group, if it is known.
    std::optional<std::size_t> rankOf(const std::string& backendId) const;
    void logEnd(const rank_change&, instant began, std::string_view event);

    process_context& m_context;
    decision_log& m_log;
    fleet_state& m_state;
    rank_link& m_link;
    group_caller m_caller;
    group_roster& m_roster;
    engine_costs m_costs;
    milliseconds m_longestGap { 0 };
    // Costs that are applied when the change in progress has ended.
    std::optional<engine_costs> m_pendingCosts;
    bool m_changing = false;
    std::optional<group_monitor> m_monitor;
    step_rate m_stepRate;
    // Ranks that have received the contents of the placement being prepared.
    std::set<std::uint32_t> m_copyingRanks;
    switch_timing m_timing;
    int m_polls = 0;
    change_numbers m_numbers;
};

} // namespace rampgap
