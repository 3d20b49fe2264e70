// Datagrams between the processes of the fleet: who is there, who has how much work where,
// and proofs of freshness for a process that the store does not answer.
#pragma once

#include "gateway/crash_gossip.h"
#include "gateway/limit_exchange.h"
#include "gateway/snapshot_exchange.h"
#include "policy/group_directory.h"
#include "policy/load_table.h"
#include "policy/peer_table.h"

#include <boost/asio/ip/udp.hpp>
#include <memory>

namespace rampgap {

struct peer_exchange_settings {
    unsigned short datagramPort = 0;
    // Port of every process's control interface; 0 for a process without one.
    unsigned short controlPort = 0;
    // Between two reports of work to each peer.
    milliseconds reportInterval { 250 };
    // A proof older than this is looked for at peers.
    milliseconds proofWanted { 500 };
};

class peer_exchange : private datagram_sender {
public:
    static result<std::unique_ptr<peer_exchange>> open(process_context&, decision_log&, fleet_state&, load_table&, group_directory&, crash_history&, server_limits&, peer_table, peer_exchange_settings);
    ~peer_exchange() override;

    void start();
    // Tells all peers that this process stops.
    void announceLeaving();
    const peer_table& peers() const { return m_peers; }
    // Tells all peers at once that something newer is published.
    void announceState();
    // Tells the entry VMs how many requests are at each rank, through one of each zone;
    // leaders of groups only.
    void tellRanks(const group_key&, const group_slowdown&, const load_report_by_hash&);
    // Tells a few entry VMs of a change in a group, which tell others; agents only.
    void tellGroup(const group_update&);
    // Tells the fleet what is new in the history of crashes.
    void tellCrashes() { m_crashes.tell(); }
    // Asks the arbiters of servers with a limit for grants.
    void askForGrants() { m_limits.ask(); }
    void setSeeds(std::vector<std::string> hosts) { m_peers.setSeeds(std::move(hosts)); }
    const snapshot_exchange& snapshots() const { return m_snapshots; }
    // True if each other seed has said what it holds.
    bool heardAllSeeds() const { return m_peers.seedsToContact().empty(); }

private:
    peer_exchange(process_context&, decision_log&, fleet_state&, load_table&, group_directory&, crash_history&, server_limits&, peer_table, peer_exchange_settings, boost::asio::ip::udp::socket);

    awaitable<void> receiveLoop();
    // Asks the seeds until this process holds something.
    awaitable<void> joinLoop();
    // Asks for the processes that these know; their answers tell their revision too.
    void askForKnown(const std::vector<std::string>& hosts);
    awaitable<void> reportLoop();
    awaitable<void> proofLoop();
    void noteSummary(const peer_info& sender, const state_summary&);
    void receive(const gateway::peer_datagram&, const std::string& host);
    void answerQuestion(const gateway::peer_datagram&, const std::string& host);
    void takeAnswer(const gateway::peer_datagram&);
    gateway::peer_datagram makeDatagram() const override;
    // True if any was news.
    bool takeGroups(const gateway::peer_datagram&);
    void takeRanks(const gateway::peer_datagram&);
    // Tells random peers of what has just changed in the groups.
    void spreadGroups();
    // Sends a datagram on to the entry VMs of the own zone.
    void passOn(gateway::peer_datagram);
    void addKnown(gateway::peer_datagram&) const;
    void send(const std::string& host, const gateway::peer_datagram&) override;
    void askForProof();

    process_context& m_context;
    decision_log& m_log;
    fleet_state& m_state;
    load_table& m_loads;
    group_directory& m_groups;
    crash_history& m_history;
    peer_table m_peers;
    peer_exchange_settings m_settings;
    boost::asio::ip::udp::socket m_socket;
    snapshot_exchange m_snapshots;
    crash_gossip m_crashes;
    limit_exchange m_limits;
    std::uint64_t m_nonce = 0;
    std::map<std::uint64_t, instant> m_questions;
    bool m_leaving = false;
    state_summary m_announced;
};

} // namespace rampgap
