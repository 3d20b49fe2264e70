// The process beside a model engine: reports the rank to its group's leader, carries out a
// leader's orders, and leads the group when it is its turn.
#pragma once

#include "gateway/gateway_process.h"
#include "gateway/group_leader.h"
#include "policy/choice_counter.h"
#include "policy/group_roster.h"
#include "policy/leader_choice.h"

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
    awaitable<void> reportLoop();
    // Begins a new epoch of the group, if this is one.
    void noteEpoch(const rank_view&);
    // Tells the other agents at once when the own engine has moved to another group.
    void noteGroup(const rank_view&, const std::string& ownId);
    // Asks those agents whose group is not known.
    void askGroups(const std::string& ownId);
    void sendMembership(const std::string& ownId, const listed_backend& to, bool wantsReply);
    void takeMembership(const gateway::rank_membership&, const boost::asio::ip::udp::endpoint& from);
    // Whether this report is to carry counts.
    bool countsDue(const rank_view&, std::uint64_t tick);
    awaitable<void> receiveLoop();
    awaitable<void> leadLoop();
    awaitable<void> tellLoop();
    bool leads();
    awaitable<void> watchSignals();
    void configure();
    void sendReport(const rank_view&, std::vector<std::uint64_t> choices);
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
    load_board m_loads;
    group_board m_groups;
    rank_link m_link;
    group_leader m_leader;
    leader_choice m_choice;
    group_roster m_roster;
    std::unique_ptr<peer_exchange> m_peers;
    std::unique_ptr<http_server> m_orders;
    std::unique_ptr<http_server> m_metricsPort;
    page_handler m_metricsPages;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::signal_set m_signals;
    choice_counter m_choices;
    // What the own engine last said of its group.
    std::string m_group;
    std::uint32_t m_groupSize = 0;
    // The group's epoch and when it was first seen open.
    std::uint64_t m_epoch = 0;
    instant m_epochSince {};
    std::uint64_t m_reports = 0;
    std::string m_leaderId;
};

} // namespace rampgap
