// The process that runs beside a model engine: answers the calls of its group's leader, forwards
// them to other agents, and leads the group when it is chosen to.
#pragma once

#include "gateway/groups/group_leader.h"
#include "gateway/process/gateway_process.h"
#include "policy/groups/group_member_list.h"
#include "policy/groups/leadership.h"

#include <boost/asio/ip/udp.hpp>

namespace rampgap {

namespace gateway {
    class rank_membership;
}

class agent_process : public http_handler {
public:
    static result<std::unique_ptr<agent_process>> start(process_context&, decision_log&, gateway_settings, const fleet_decoder&, rank_port&);
    ~agent_process();

    awaitable<void> handle(http_exchange&) override;

private:
    agent_process(process_context&, decision_log&, gateway_settings, const fleet_decoder&, rank_port&);

    result<void> openPorts();
    // Reads the own engine's state periodically and publishes the state of its group.
    awaitable<void> pollOwnEngineLoop();
    // Probes an engine that did not answer; publishes its group as closed if its process has ended.
    awaitable<void> probeSilentEngine();
    // Stores the own engine's group; tells the other agents at once when it has changed.
    void recordOwnGroup(const rank_view&, const std::string& ownId);
    // Asks the agents whose group is not known.
    void requestUnknownGroups(const std::string& ownId);
    // Asks a few agents of the group which leader calls them, and when it last did.
    void requestLeader(const std::string& ownId);
    void sendMembership(const std::string& ownId, const listed_backend& to, bool wantsReply);
    void mergeMembership(const gateway::rank_membership&, const boost::asio::ip::udp::endpoint& from);
    awaitable<void> receiveLoop();
    // Polls all ranks and sends their loads to the entry VMs while this agent leads.
    awaitable<void> pollGroupLoop();
    awaitable<void> pollGroupAndReport(group_members);
    // Changes placements while this agent leads. Runs beside polling, since a change takes longer
    // than a poll.
    awaitable<void> changePlacementLoop();
    void logLeaderChange();
    // Records whether the own engine holds a step.
    void recordHold(const rank_view&);
    // Asks for the leader's last call if it is overdue while a step is held.
    void checkHold();
    // The group to lead now; empty if this agent does not lead one, or its own engine is not in service.
    std::optional<group_members> groupToLead();
    awaitable<void> watchSignals();
    void configure();
    void receive(const std::string& bytes, const boost::asio::ip::udp::endpoint& from);
    void sendDatagram(const std::string& bytes, const boost::asio::ip::udp::endpoint&);
    const std::vector<std::string>& pool();
    // Ids of the servers in the own group, in a fixed order.
    const std::vector<std::string>& members();
    const listed_backend* ownBackend();

    process_context& m_context;
    decision_log& m_log;
    gateway_settings m_settings;
    rank_port& m_port;
    fleet_state m_state;
    load_table m_loads;
    group_directory m_groups;
    crash_history m_history;
    server_limits m_limits;
    rank_link m_link;
    group_leader m_leader;
    leadership m_leadership;
    group_roster m_roster;
    group_member_list m_members;
    // When servers of unknown group are queried next.
    instant m_nextQueriesAt {};
    std::unique_ptr<peer_exchange> m_peers;
    std::unique_ptr<http_server> m_callPort;
    std::unique_ptr<http_server> m_metricsPort;
    page_handler m_metricsPages;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::signal_set m_signals;
    // Group, size and epoch as the own engine last reported them.
    std::string m_group;
    std::uint32_t m_groupSize = 0;
    std::uint64_t m_epoch = 0;
    // The leader that was last logged.
    std::string m_leaderId;
    // The leader from which this agent has just taken over; empty if none.
    std::string m_silentLeader;
    instant m_leaderAskedAt {};
    instant m_rankLoadsSentAt {};
};

} // namespace rampgap
