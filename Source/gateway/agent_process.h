// The process beside a model engine: answers the calls of its group's leader, passes them on
// to other agents, and leads the group when it is its turn.
#pragma once

#include "gateway/gateway_process.h"
#include "gateway/group_leader.h"
#include "policy/group_roster.h"
#include "policy/leadership.h"

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
    // Reads the own engine's state and tells the fleet of its group.
    awaitable<void> watchLoop();
    // Tells the fleet that the own engine's process has ended, and with it the epoch of its group.
    awaitable<void> noteUnanswered();
    // Tells the other agents at once when the own engine has moved to another group.
    void noteGroup(const rank_view&, const std::string& ownId);
    // Asks those agents whose group is not known.
    void askGroups(const std::string& ownId);
    // Asks a few agents of the group whether its leader calls them.
    void askForLeader(const std::string& ownId);
    void sendMembership(const std::string& ownId, const listed_backend& to, bool wantsReply);
    void takeMembership(const gateway::rank_membership&, const boost::asio::ip::udp::endpoint& from);
    awaitable<void> receiveLoop();
    // Looks at all ranks and tells the entry VMs what it saw, while this agent leads.
    awaitable<void> lookLoop();
    awaitable<void> lookAndTell();
    // Changes placements; beside the looking, since a change takes longer than a look.
    awaitable<void> leadLoop();
    bool leads();
    void noteLeader();
    group_members knownMembers();
    awaitable<void> watchSignals();
    void configure();
    void receive(const std::string& bytes, const boost::asio::ip::udp::endpoint& from);
    void sendDatagram(const std::string& bytes, const boost::asio::ip::udp::endpoint&);
    std::vector<std::string> pool();
    // The engines of the own group in a fixed order.
    std::vector<std::string> members();
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
    std::unique_ptr<peer_exchange> m_peers;
    std::unique_ptr<http_server> m_orders;
    std::unique_ptr<http_server> m_metricsPort;
    page_handler m_metricsPages;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::signal_set m_signals;
    // What the own engine last said of its group.
    std::string m_group;
    std::uint32_t m_groupSize = 0;
    std::uint64_t m_epoch = 0;
    // The last one that was logged.
    std::string m_leaderId;
    instant m_ranksToldAt {};
};

} // namespace rampgap
