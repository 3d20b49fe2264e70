// Leads the change of the expert placement of a group, while this agent is its leader.
#pragma once

#include "gateway/fleet_state.h"
#include "gateway/group_caller.h"
#include "policy/group_monitor.h"
#include "policy/group_roster.h"
#include "policy/load_table.h"
#include "policy/map_switch.h"
#include "policy/pass_model.h"

#include <set>

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
    // `linkMbps`: of this agent's machine.
    group_leader(process_context&, decision_log&, fleet_state&, rank_link&, group_roster&, double linkMbps);

    // Starts over with the published figures of the service.
    // `longestGap`: between two events, as the strictest callers of the service accept it.
    void configure(const engine_costs&, milliseconds longestGap);
    bool configured() const { return m_monitor.has_value(); }
    // Asks all ranks for their state, and in due time for what was chosen there.
    awaitable<void> look(group_members);
    // From one look to the next.
    milliseconds lookInterval() const { return plannedLooks().pause; }
    // The group that it follows; empty before the first work.
    std::string group() const { return m_monitor ? m_monitor->group() : std::string(); }
    // Requests at each rank that was observed lately.
    load_report_by_hash rankLoads() const;
    // What lengthens the group's steps now, as far as it is known.
    group_slowdown slowdown() const;
    // One look at what there is to do; returns when it is done. Call again and again.
    awaitable<void> work(group_members);

private:
    void setUp(const engine_costs&);
    awaitable<void> learnPlacement();
    awaitable<void> changePlacement(const std::string& ownBackendId);
    awaitable<void> cleanUp();
    // Sends the orders of a change until it has ended.
    awaitable<void> carryOut(map_switch&, milliseconds prepareTime);
    awaitable<void> sendRound(map_switch&, milliseconds prepareTime);
    awaitable<void> sendToAll(map_switch&, std::vector<rank_order_to_send>, milliseconds prepareTime);
    awaitable<void> ask(map_switch&, map_order_kind, std::optional<map_order>, std::vector<call_target>, milliseconds budget);
    awaitable<void> sendDirectly(map_switch&, std::vector<rank_order_to_send>);
    void note(map_switch&, map_order_kind, const rank_outcome&, const std::vector<std::string>& ids);
    std::vector<call_target> targetsOf(const std::vector<rank_order_to_send>&) const;
    poll_plan plannedLooks() const;
    std::vector<std::string> idsToLookAt(group_members) const;
    // Counts of one rank, or their sum over all.
    std::size_t countsBytes() const;
    std::uint64_t nextFence();
    void logEnd(const map_switch&, instant began, std::string_view what);

    process_context& m_context;
    decision_log& m_log;
    fleet_state& m_state;
    rank_link& m_link;
    group_caller m_caller;
    group_roster& m_roster;
    engine_costs m_costs;
    std::optional<group_monitor> m_monitor;
    // Ranks that have taken the contents of the change under way.
    std::set<std::uint32_t> m_copying;
    int m_looks = 0;
    std::uint64_t m_lastFence = 0;
};

} // namespace rampgap
